/* The operators' configuration of a cell: queues, services, and teams with
 * their API keys and limits. Immutable once built; GfCellConfig_Destroy frees
 * it with all that it holds. */
#ifndef GUAVAFLOW_CELL_CONFIG_H
#define GUAVAFLOW_CELL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/name.h"

/* A queue is selected by the host name of a request and the longest matching
 * path prefix. A job is to be completed within stretch times the estimated
 * duration of its critical path, plus latency_target_ms. A request for advice
 * takes advice_ms, plus advice_ms_per_worker for each worker asked about. */
typedef struct {
    GfName name;
    GfStr host;
    GfStr path_prefix;
    GfName service;        /* its workers run the queue's jobs */
    uint32_t work_class;   /* 0 is scheduled first */
    uint32_t max_attempts; /* failed runs of a task before giving up */
    double stretch;
    int64_t latency_target_ms;
    bool open;         /* accepts jobs without an API key */
    bool needs_advice; /* tasks start only with a ticket from advice */
    double advice_ms;
    double advice_ms_per_worker;
    int64_t ticket_valid_ms; /* validity of a ticket; not used by scheduler */
} GfQueue;

/* Work that takes longer than its objective is late, and beyond this multiple
 * of the objective its result has no value to the caller; this is the
 * documented definition. */
#define GF_NO_VALUE_FACTOR 3

/* A team, whose jobs share resources with those of other teams by weight. */
typedef struct {
    GfName name;
    double weight;     /* relative share; 0 or less counts as 1 */
    GfResources limit; /* most in use at a time; 0 in a field: no limit */
    GfStr *keys;       /* API keys */
    size_t key_count;
} GfCellTeam;

/* A kind of workers that run the jobs of some queues. */
typedef struct {
    GfName name;
    bool admission_check; /* the setting admissionCheck; not used by the
                             scheduler */
} GfCellService;

/* A complete configuration; version is that of its document. */
typedef struct {
    int64_t version;
    GfQueue *queues;
    size_t queue_count;
    GfCellTeam *teams;
    size_t team_count;
    GfCellService *services;
    size_t service_count;
} GfCellConfig;

const GfQueue *GfCellConfig_FindQueue(const GfCellConfig *config,
                                      const GfName *name);
const GfQueue *GfCellConfig_Route(const GfCellConfig *config, const char *host,
                                  size_t host_len, const char *path);
int64_t GfQueue_AdviceMs(const GfQueue *queue);
int64_t GfQueue_ObjectiveMs(const GfQueue *queue, int64_t path_ms);
const GfCellTeam *GfCellConfig_FindTeam(const GfCellConfig *config,
                                        const GfName *name);
const GfCellTeam *GfCellConfig_FindTeamByKey(const GfCellConfig *config,
                                             const char *key);
void GfCellConfig_Destroy(GfCellConfig *config);

#endif
