/* Allotments: how much of each team's upper limit one rack may use, and the
 * pool, which has what no rack holds. The pool and each rack's allotments are
 * rows of the store. After every committed transaction the sum of all of a
 * team's allotments, the pool included, is at most the team's limit.
 *
 * A set of allotments records for each team the control version that its
 * amount is based on (the base version). If a team's limit is lowered in a
 * later version, the amount is scaled down in proportion when it is read.
 *
 * Amounts are millicores of tasks and numbers of requests. Names passed in
 * are copied. Memory exhaustion ends the process. */
#ifndef GUAVAFLOW_ALLOT_H
#define GUAVAFLOW_ALLOT_H

#include <jansson.h>

#include "guavaflow/control.h"

/* A set of allotments, at most one for each team: those of a rack, or the
 * pool. */
typedef struct GfAllotments GfAllotments;

/* Sets of allotments. */
GfAllotments *GfAllotments_Create(void);
void GfAllotments_Destroy(GfAllotments *set);
bool GfAllotments_Load(GfAllotments *set, const json_t *row, GfError *error);
json_t *GfAllotments_Save(const GfAllotments *set);
void GfAllotments_Clear(GfAllotments *set);
size_t GfAllotments_Count(const GfAllotments *set);
GfName GfAllotments_TeamAt(const GfAllotments *set, size_t index);
GfQuota GfAllotments_Get(const GfAllotments *set, const GfName *team,
                         const GfControl *control);
void GfAllotments_Set(GfAllotments *set, const GfName *team, GfQuota amount,
                      uint64_t base_version);
uint64_t GfAllotments_MaxBaseVersion(const GfAllotments *set);
void GfAllotments_Normalize(GfAllotments *set, const GfControl *control);

/* The pool. */
void GfPool_Adjust(GfAllotments *pool, const GfControl *before,
                   const GfControl *after);
GfQuota GfPool_AmountToTake(GfQuota pool, GfQuota wanted, GfQuota least,
                            size_t rack_count);

#endif
