/* One entry: front end, peer, scheduler of some racks and owner of some
 * partitions, on one event loop. */
#ifndef GUAVAFLOW_ENTRY_H
#define GUAVAFLOW_ENTRY_H

#include <event2/event.h>

#include "guavaflow/clock.h"
#include "guavaflow/settings.h"

typedef struct GfEntry GfEntry;

GfEntry *GfEntry_Create(struct event_base *base, const GfSettings *settings,
                        const GfClock *clock, GfError *error);
void GfEntry_Stop(GfEntry *entry);
void GfEntry_Destroy(GfEntry *entry);

#endif
