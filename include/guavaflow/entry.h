/* An entry: a server process that accepts requests and jobs from callers,
 * schedules some of the racks, and owns some of the partitions of jobs and
 * idempotency keys. Racks and partitions are divided among all entries that
 * are in contact. One process runs one entry on one event loop. */
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
