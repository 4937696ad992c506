/* Sums, over a period, how long steps waited: by class and cause, and which
 * teams waited longest in each class. It answers the load in which hundreds of
 * steps wait at once: one summary a class stays readable where one line a step
 * would not. The caller numbers classes and causes.
 *
 * A report takes about 150 kB, however many steps and teams there are: each
 * class keeps GF_WAIT_TEAMS teams. The waits of further teams count in the
 * class's totals and in other_teams_ms. */
#ifndef GUAVAFLOW_WAIT_REPORT_H
#define GUAVAFLOW_WAIT_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "guavaflow/name.h"

#define GF_WAIT_CLASSES 4
#define GF_WAIT_CAUSES 7
/* Teams that are kept for each class. */
#define GF_WAIT_TEAMS 256
/* Teams that a summary names. */
#define GF_WAIT_WORST_TEAMS 3

typedef struct GfWaitReport GfWaitReport;

/* How long the steps of a team waited together. */
typedef struct {
    GfName team; /* empty: work without a team */
    int64_t waited_ms;
} GfTeamWait;

/* What one class waited in the period. */
typedef struct {
    uint32_t waiting; /* steps that wait now */
    int64_t total_ms; /* sum of by_cause_ms */
    int64_t by_cause_ms[GF_WAIT_CAUSES];
    GfTeamWait worst[GF_WAIT_WORST_TEAMS]; /* the longest wait first */
    size_t worst_count;
    int64_t other_teams_ms; /* of teams that are not kept */
} GfClassWaits;

GfWaitReport *GfWaitReport_Create(void);
void GfWaitReport_Destroy(GfWaitReport *report);
void GfWaitReport_Add(GfWaitReport *report, uint32_t work_class,
                      uint32_t cause, const GfName *team, int64_t ms);
void GfWaitReport_CountWaiting(GfWaitReport *report, uint32_t work_class);
void GfWaitReport_Summarize(const GfWaitReport *report, uint32_t work_class,
                            GfClassWaits *waits);
void GfWaitReport_Clear(GfWaitReport *report);

#endif
