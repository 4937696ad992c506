/* The specification of a job as submitted: its steps, their prerequisites, and
 * the resources that each of their tasks needs. A checked spec has at least
 * one step and no cyclic prerequisites. */
#ifndef GUAVAFLOW_JOB_SPEC_H
#define GUAVAFLOW_JOB_SPEC_H

#include <stdbool.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define GF_JOB_MAX_STEPS 64
#define GF_JOB_MAX_TASKS 4096
#define GF_JOB_MAX_OCCURRENCES 1024

/* Amounts of resources: the capacity of a worker, the needs of a task, or a
 * team's use or limit. */
typedef struct {
    int64_t mcores; /* thousandths of a processor core */
    int64_t memory_mb;
    int64_t accelerators;
} GfResources;

/* A step: a number of equal tasks that may start once all tasks of the
 * prerequisite steps are done. A name of length 0 is not set. */
typedef struct {
    uint32_t task_count;
    GfResources need;        /* of each task */
    int64_t estimate_ms;     /* expected run time of each task */
    uint32_t *prerequisites; /* indices of steps of the same job; owned */
    size_t prerequisite_count;
    uint32_t max_per_worker;   /* tasks on one worker at a time; 0: no limit */
    uint32_t max_interrupted;  /* most tasks that planned work may stop;
                                  not used by the scheduler */
    int64_t latency_target_ms; /* above 0: it serves, and backfill tasks
                                  must not slow it beyond this */
    GfName required_label;     /* runs only on workers with this label */
    GfName preferred_rack;     /* runs there if there is free capacity */
    GfName image;              /* what it runs; empty: not known */
    bool checkpointed; /* saves its state when stopped and can resume */
    bool gang;         /* all tasks run together or none does */
    bool same_rack;    /* a gang is placed in one rack if possible */
    bool speculative;  /* not used by the scheduler */
    bool long_running; /* runs until cancelled; restarted if it ends */
    bool backfill;     /* uses processors that other tasks leave idle */
} GfStepSpec;

/* A job: its steps, repeated for each occurrence. */
typedef struct {
    GfStr payload;     /* passed to every task unread; owned */
    GfStepSpec *steps; /* owned */
    size_t step_count;
    uint32_t occurrences; /* at least 1 */
    int64_t first_due_ms; /* wall clock; 0: at once */
    int64_t interval_ms;  /* between the due times of occurrences */
} GfJobSpec;

bool GfJobSpec_Check(const GfJobSpec *spec, GfError *error);
int64_t GfJobSpec_CriticalPathMs(const GfJobSpec *spec, int64_t per_step_ms);
void GfJobSpec_RemainingMs(const GfJobSpec *spec, int64_t per_step_ms,
                           int64_t *remaining_ms);
bool GfJobSpec_IsLongRunning(const GfJobSpec *spec);
void GfJobSpec_Clear(GfJobSpec *spec);

bool GfResources_Fit(GfResources capacity, GfResources used, GfResources need);
GfResources GfResources_Add(GfResources a, GfResources b);
GfResources GfResources_Subtract(GfResources a, GfResources b);

#endif
