/* The callers of the advice service and the requests that they have open. Each
 * caller takes one request at a time. Requests for slow queues take many times
 * as long as those for quick ones, so some callers are kept for quick
 * requests: as many as these needed lately. A caller that fails pauses. */
#ifndef GUAVAFLOW_CALLERS_H
#define GUAVAFLOW_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#include "guavaflow/name.h"

typedef struct GfCallers GfCallers;

GfCallers *GfCallers_Create(void);
void GfCallers_Destroy(GfCallers *callers);
void GfCallers_Set(GfCallers *callers, const GfName *names, size_t count);
size_t GfCallers_Count(const GfCallers *callers);
size_t GfCallers_KeptForQuick(const GfCallers *callers, struct timespec now);
const GfName *GfCallers_Find(GfCallers *callers, bool slow,
                             struct timespec now, bool *is_last);
bool GfCallers_AreScarce(const GfCallers *callers, bool slow,
                         struct timespec now);
void GfCallers_Begin(GfCallers *callers, const GfName *name, bool slow,
                     struct timespec now);
void GfCallers_End(GfCallers *callers, const GfName *name, bool answered,
                   struct timespec now);

#endif
