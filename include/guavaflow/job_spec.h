/* What a caller hands in: the steps of a job and what each task of them
 * needs. */
#ifndef GUAVAFLOW_JOB_SPEC_H
#define GUAVAFLOW_JOB_SPEC_H

#include <stdbool.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define GF_JOB_MAX_STEPS 64
#define GF_JOB_MAX_TASKS 4096
#define GF_JOB_MAX_OCCURRENCES 1024

/* Room of a worker, what a task takes of it, or a team's upper limit. */
typedef struct {
    int64_t mcores;
    int64_t memory_mb;
    int64_t accelerators;
} GfAmounts;

typedef struct {
    uint32_t task_count;
    GfAmounts need;
    int64_t estimate_ms;
    uint32_t *prerequisites;
    size_t prerequisite_count;
    uint32_t max_per_worker; /* 0: no limit */
    uint32_t may_be_away;    /* tasks that planned work may take away */
    int64_t latency_target_ms;
    GfName required_label;
    GfName preferred_rack;
    GfName image;
    bool checkpointed;
    bool gang;
    bool same_rack;
    bool speculative;
    bool lasting; /* runs until cancelled and is restarted however it ends */
    bool filler;  /* uses processors that other tasks leave idle */
} GfStepSpec;

typedef struct {
    GfStr payload;
    GfStepSpec *steps;
    size_t step_count;
    uint32_t occurrences;
    int64_t first_due_ms; /* wall clock; 0: at once */
    int64_t interval_ms;
} GfJobSpec;

bool GfJobSpec_Check(const GfJobSpec *spec, GfError *error);
int64_t GfJobSpec_LongestChainMs(const GfJobSpec *spec, int64_t per_step_ms);
void GfJobSpec_RemainingMs(const GfJobSpec *spec, int64_t per_step_ms,
                           int64_t *remaining_ms);
bool GfJobSpec_Lasts(const GfJobSpec *spec);
void GfJobSpec_Clear(GfJobSpec *spec);

bool GfAmounts_Fit(GfAmounts room, GfAmounts used, GfAmounts need);
GfAmounts GfAmounts_Plus(GfAmounts a, GfAmounts b);
GfAmounts GfAmounts_Minus(GfAmounts a, GfAmounts b);

#endif
