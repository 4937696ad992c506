/* Data and functions that the files of GfRack share: workers with their
 * inventories and pending starts. */
#ifndef GUAVAFLOW_LEASE_RACK_PRIVATE_H
#define GUAVAFLOW_LEASE_RACK_PRIVATE_H

#include <uthash.h>

#include "guavaflow/rack.h"

/* A task in a worker's inventory. */
typedef struct {
    GfName id;
    GfTask task;
    UT_hash_handle hh;
} RackKnownTask;

/* A start that was sent and that no inventory confirms yet. */
typedef struct {
    GfName id;
    GfTaskSpec spec;
    bool accepted;
    int64_t version; /* inventory version at which it was accepted */
    UT_hash_handle hh;
} RackPendingStart;

/* A worker of the rack. */
typedef struct {
    GfName name;
    GfResourceVector capacity;
    int64_t lease;              /* id of the last lease, 0 if there was none */
    struct timespec held_until; /* end of the lease, less the margin */
    GfName boot;
    int64_t version; /* of the inventory; NO_INVENTORY before a grant */
    struct timespec received_at; /* when the last grant was applied */
    struct timespec dropped_at;  /* when the lease was last given up or lost */
    bool inventory_known;
    bool needs_fence; /* a start got no response under this lease */
    RackKnownTask *tasks;
    RackPendingStart *pending_starts;
} RackWorker;

/* The state behind guavaflow/rack.h. */
struct GfRack {
    GfRackConfig config;
    RackWorker **workers;
    size_t worker_count;
    uint64_t term;
    bool in_term;
};

void Rack_DeletePendingStart(RackWorker *w, RackPendingStart *s);
RackWorker *Rack_FindWorker(const GfRack *rack, const GfName *name);
bool Rack_IsHeld(const RackWorker *w, struct timespec now);
void Rack_UpdateTerm(GfRack *rack, struct timespec now);
RackKnownTask *Rack_FindKnownTask(const RackWorker *w, const GfName *id);

#endif
