/* The operators' configuration in force: queues, services, teams with their
 * keys and upper limits. Immutable once built. */
#ifndef GUAVAFLOW_CELL_CONFIG_H
#define GUAVAFLOW_CELL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/name.h"

/* A queue is selected by the caller's host name and the longest path prefix.
 * Work class 0 comes first. */
typedef struct {
    GfName name;
    GfName host;
    GfStr path_prefix;
    GfName service;
    uint32_t work_class;
    uint32_t max_attempts;
    double stretch;
    int64_t latency_target_ms;
    bool open; /* takes work without a key */
    bool needs_advice;
    double advice_ms;
    double advice_ms_per_worker;
    int64_t ticket_valid_ms;
} GfQueue;

typedef struct {
    GfName name;
    double weight;
    GfAmounts limit; /* 0 in a field: no limit */
    GfName *keys;
    size_t key_count;
} GfCellTeam;

typedef struct {
    GfName name;
    bool guards_capacity;
} GfCellService;

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
const GfCellTeam *GfCellConfig_FindTeam(const GfCellConfig *config,
                                        const GfName *name);
const GfCellTeam *GfCellConfig_TeamOfKey(const GfCellConfig *config,
                                         const char *key);
void GfCellConfig_Destroy(GfCellConfig *config);

#endif
