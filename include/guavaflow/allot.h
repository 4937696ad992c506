/* Allotments: the part of each team's upper limit that one rack may use, and
 * the pool of what no rack holds. The sum of all parts never exceeds the
 * limit, in any committed transaction. */
#ifndef GUAVAFLOW_ALLOT_H
#define GUAVAFLOW_ALLOT_H

#include <jansson.h>

#include "guavaflow/control.h"

typedef struct GfParts GfParts;

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
void GfPool_Adjust(GfParts *pool, const GfControl *before,
                   const GfControl *after);
GfQuota GfPool_Take(GfQuota pool, GfQuota wanted, GfQuota least,
                    size_t rack_count);

#endif
