/* Allotments: how much of each team's upper limit one rack may use, and the
 * pool, which has what no rack holds. The pool and each rack's allotments are
 * rows of the store. In every committed transaction the sum of all of a
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
typedef struct GfParts GfParts;

/* Sets of allotments. */
GfParts *GfParts_Create(void);
void GfParts_Destroy(GfParts *parts);
bool GfParts_Load(GfParts *parts, const json_t *row, GfError *error);
json_t *GfParts_Save(const GfParts *parts);
void GfParts_Clear(GfParts *parts);
size_t GfParts_Count(const GfParts *parts);
GfName GfParts_TeamAt(const GfParts *parts, size_t index);
GfQuota GfParts_Get(const GfParts *parts, const GfName *team,
                    const GfControl *control);
void GfParts_Set(GfParts *parts, const GfName *team, GfQuota amount,
                 uint64_t base_version);
uint64_t GfParts_MaxBase(const GfParts *parts);
void GfParts_Normalize(GfParts *parts, const GfControl *control);

/* The pool. */
void GfPool_Adjust(GfParts *pool, const GfControl *before,
                   const GfControl *after);
GfQuota GfPool_Take(GfQuota pool, GfQuota wanted, GfQuota least,
                    size_t rack_count);

#endif
