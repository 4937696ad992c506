/* The rate limit of log lines, by level: while there are more lines than it
 * allows, those of a higher level keep out those of a lower one, and never the
 * other way round. It is a token bucket of which each level leaves a part to
 * the levels above it. It does no I/O and reads no clock. */
#ifndef GUAVAFLOW_LOG_LIMIT_H
#define GUAVAFLOW_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "guavaflow/log.h"

/* Lines a second that are written in the long run, and at once after a quiet
 * time. */
#define GF_LOG_LINES_PER_S 250
#define GF_LOG_BURST_LINES (GF_LOG_LINES_PER_S * 2)

/* The state of the limit. All zeros is a limit with a full bucket. */
typedef struct {
    double taken; /* tokens that are missing from the bucket */
    struct timespec refilled_at;
    uint64_t dropped[GF_LOG_LEVELS];  /* since the start */
    uint64_t reported[GF_LOG_LEVELS]; /* part of dropped */
    struct timespec dropping_since;   /* first drop that is not reported */
} GfLogLimit;

/* Lines that were dropped in a period, by level. */
typedef struct {
    uint64_t total;
    uint64_t count[GF_LOG_LEVELS];
    int64_t period_ms;
} GfLogDrops;

bool GfLogLimit_Allows(GfLogLimit *limit, GfLogLevel level,
                       struct timespec now);
void GfLogLimit_Take(GfLogLimit *limit);
void GfLogLimit_Drop(GfLogLimit *limit, GfLogLevel level, struct timespec now);
uint64_t GfLogLimit_Dropped(const GfLogLimit *limit);
bool GfLogLimit_ReportDue(const GfLogLimit *limit, struct timespec now,
                          GfLogDrops *drops);
void GfLogLimit_Reported(GfLogLimit *limit);

#endif
