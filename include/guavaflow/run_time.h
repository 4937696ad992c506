/* What runs really take, compared with the estimates that submitters give.
 * From each completed run the ratio of its run time to its estimate is kept,
 * by queue and by queue and team, as a histogram whose counts decay within
 * some tens of seconds. A pair with little evidence uses its queue's, and a
 * queue with little evidence uses the estimate as it is. Memory is bounded:
 * the pair that was observed least recently makes place for a new one. */
#ifndef GUAVAFLOW_RUN_TIME_H
#define GUAVAFLOW_RUN_TIME_H

#include <stddef.h>
#include <stdint.h>

#include "guavaflow/clock.h"
#include "guavaflow/name.h"

typedef struct GfRunTimes GfRunTimes;

/* What is known of a queue. The weight is that of the observed runs after
 * decay; the ratio is the median. */
typedef struct {
    GfName queue;
    double ratio;
    double weight;
} GfRunTimeSummary;

GfRunTimes *GfRunTimes_Create(void);
void GfRunTimes_Destroy(GfRunTimes *times);
void GfRunTimes_Observe(GfRunTimes *times, const GfName *queue,
                        const GfName *team, int64_t estimate_ms,
                        int64_t run_ms, struct timespec now);
int64_t GfRunTimes_RemainingMs(const GfRunTimes *times, const GfName *queue,
                               const GfName *team, int64_t estimate_ms,
                               int64_t elapsed_ms);
double GfRunTimes_ChanceWithin(const GfRunTimes *times, const GfName *queue,
                               const GfName *team, int64_t estimate_ms,
                               uint32_t count, int64_t limit_ms);
size_t GfRunTimes_Summarize(const GfRunTimes *times, GfRunTimeSummary *queues,
                            size_t max);

#endif
