#include "guavaflow/log_limit.h"

#include <assert.h>
#include <string.h>

#include "guavaflow/clock.h"

#define NS_PER_S 1e9
/* Interval of the reports of dropped lines. */
#define REPORT_INTERVAL_MS 1000

/* Tokens that a line of each level leaves to the levels above it. */
static const double RESERVED_LINES[GF_LOG_LEVELS] = {
    [GF_LOG_DEBUG] = GF_LOG_LINES_PER_S * 1.6,
    [GF_LOG_DETAIL] = GF_LOG_LINES_PER_S * 1.6,
    [GF_LOG_NOTICE] = GF_LOG_LINES_PER_S * 1.3,
    [GF_LOG_INFO] = GF_LOG_LINES_PER_S,
    [GF_LOG_WARNING] = 0,
    [GF_LOG_ERROR] = 0,
};

/* Refills the bucket for the time until now. */
static void
refill(GfLogLimit *limit, struct timespec now)
{
    if (!GfTime_Before(limit->refilled_at, now)) {
        return;
    }
    double s = (double)(now.tv_sec - limit->refilled_at.tv_sec) +
               (double)(now.tv_nsec - limit->refilled_at.tv_nsec) / NS_PER_S;
    limit->taken -= s * GF_LOG_LINES_PER_S;
    limit->taken = limit->taken < 0 ? 0 : limit->taken;
    limit->refilled_at = now;
}

/* Returns whether a line of this level may be written now. Takes no token. */
bool
GfLogLimit_Allows(GfLogLimit *limit, GfLogLevel level, struct timespec now)
{
    assert(limit != NULL && level < GF_LOG_LEVELS);
    refill(limit, now);
    return limit->taken + 1 <= GF_LOG_BURST_LINES - RESERVED_LINES[level];
}

/* Takes a token for a line that is written. */
void
GfLogLimit_Take(GfLogLimit *limit)
{
    limit->taken++;
}

/* Counts a line of this level that was not written, or not wholly. */
void
GfLogLimit_Drop(GfLogLimit *limit, GfLogLevel level, struct timespec now)
{
    assert(limit != NULL && level < GF_LOG_LEVELS);
    if (memcmp(limit->dropped, limit->reported, sizeof(limit->dropped)) == 0) {
        limit->dropping_since = now;
    }
    limit->dropped[level]++;
}

/* Returns the number of lines dropped since the start. */
uint64_t
GfLogLimit_Dropped(const GfLogLimit *limit)
{
    uint64_t total = 0;
    for (int i = 0; i < GF_LOG_LEVELS; i++) {
        total += limit->dropped[i];
    }
    return total;
}

/* Returns whether lines were dropped for REPORT_INTERVAL_MS without a report,
 * and writes them to *drops. They stay due until GfLogLimit_Reported. */
bool
GfLogLimit_ReportDue(const GfLogLimit *limit, struct timespec now,
                     GfLogDrops *drops)
{
    *drops = (GfLogDrops){0};
    for (int i = 0; i < GF_LOG_LEVELS; i++) {
        drops->count[i] = limit->dropped[i] - limit->reported[i];
        drops->total += drops->count[i];
    }
    drops->period_ms = GfTime_DiffMs(now, limit->dropping_since);
    return drops->total > 0 && drops->period_ms >= REPORT_INTERVAL_MS;
}

/* Records that all lines dropped so far are reported. */
void
GfLogLimit_Reported(GfLogLimit *limit)
{
    memcpy(limit->reported, limit->dropped, sizeof(limit->reported));
}
