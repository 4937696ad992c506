#include "guavaflow/cell_config.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Workers asked about for each step when the critical path is computed for a
 * job's objective; this is part of the objective's documented definition. */
#define OBJECTIVE_ADVICE_WORKERS 30

/* Returns the ms for advice that the critical path of the queue's jobs counts
 * for each step. */
int64_t
GfQueue_AdviceMs(const GfQueue *queue)
{
    assert(queue != NULL);
    return queue->needs_advice
               ? (int64_t)(queue->advice_ms + queue->advice_ms_per_worker *
                                                  OBJECTIVE_ADVICE_WORKERS)
               : 0;
}

/* Returns the objective in ms from its submission of a job of the queue whose
 * critical path takes path_ms, advice included; 0 if the queue has none. */
int64_t
GfQueue_ObjectiveMs(const GfQueue *queue, int64_t path_ms)
{
    assert(queue != NULL);
    return (int64_t)(queue->stretch * (double)path_ms) +
           queue->latency_target_ms;
}

/* Returns the queue with this name, or NULL. The result belongs to config. */
const GfQueue *
GfCellConfig_FindQueue(const GfCellConfig *config, const GfName *name)
{
    assert(config != NULL && name != NULL);
    for (size_t i = 0; i < config->queue_count; i++) {
        if (GfName_Equal(&config->queues[i].name, name)) {
            return &config->queues[i];
        }
    }
    return NULL;
}

/* Returns the queue whose host name equals the first host_len bytes of host,
 * without regard to case, and whose prefix is the longest one that path begins
 * with; NULL if there is none. The result belongs to config. */
const GfQueue *
GfCellConfig_Route(const GfCellConfig *config, const char *host,
                   size_t host_len, const char *path)
{
    assert(config != NULL && host != NULL && path != NULL);
    const GfQueue *best = NULL;
    for (size_t i = 0; i < config->queue_count; i++) {
        const GfQueue *q = &config->queues[i];
        if (q->host.len != host_len ||
            (host_len > 0 && strncasecmp(q->host.data, host, host_len) != 0) ||
            strncmp(path, q->path_prefix.data, q->path_prefix.len) != 0) {
            continue;
        }
        if (best == NULL || q->path_prefix.len > best->path_prefix.len) {
            best = q;
        }
    }
    return best;
}

/* Returns the team with this name, or NULL. The result belongs to config. */
const GfCellTeam *
GfCellConfig_FindTeam(const GfCellConfig *config, const GfName *name)
{
    assert(config != NULL && name != NULL);
    for (size_t i = 0; i < config->team_count; i++) {
        if (GfName_Equal(&config->teams[i].name, name)) {
            return &config->teams[i];
        }
    }
    return NULL;
}

/* Returns the team that an API key belongs to, or NULL. The result belongs to
 * config. */
const GfCellTeam *
GfCellConfig_FindTeamByKey(const GfCellConfig *config, const char *key)
{
    assert(config != NULL && key != NULL);
    size_t len = strlen(key);
    for (size_t i = 0; i < config->team_count; i++) {
        const GfCellTeam *team = &config->teams[i];
        for (size_t k = 0; k < team->key_count; k++) {
            if (team->keys[k].len == len &&
                memcmp(team->keys[k].data, key, len) == 0) {
                return team;
            }
        }
    }
    return NULL;
}

/* Frees the configuration with all that it owns; NULL is ignored. */
void
GfCellConfig_Destroy(GfCellConfig *config)
{
    if (config == NULL) {
        return;
    }
    for (size_t i = 0; i < config->queue_count; i++) {
        GfStr_Clear(&config->queues[i].host);
        GfStr_Clear(&config->queues[i].path_prefix);
    }
    for (size_t i = 0; i < config->team_count; i++) {
        for (size_t k = 0; k < config->teams[i].key_count; k++) {
            GfStr_Clear(&config->teams[i].keys[k]);
        }
        free(config->teams[i].keys);
    }
    free(config->queues);
    free(config->teams);
    free(config->services);
    free(config);
}
