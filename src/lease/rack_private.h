/* What the files of the rack share: its workers with the tasks seen there,
 * and the starts without an answer. */
#ifndef GUAVAFLOW_LEASE_RACK_PRIVATE_H
#define GUAVAFLOW_LEASE_RACK_PRIVATE_H

#include <uthash.h>

#include "guavaflow/rack.h"

typedef struct {
    GfName id;
    GfTask task;
    UT_hash_handle hh;
} RackKnown;

typedef struct {
    GfName id;
    GfTaskSpec spec;
    bool accepted;
    int64_t version;
    UT_hash_handle hh;
} RackFlight;

typedef struct {
    GfName name;
    GfRoom capacity;
    int64_t lease;
    struct timespec until;
    GfName boot;
    int64_t version;
    struct timespec received_at;
    struct timespec given_up_at;
    bool known;
    bool tainted;
    RackKnown *tasks;
    RackFlight *flights;
} RackWorker;

struct GfRack {
    GfRackConfig config;
    RackWorker **workers;
    size_t worker_count;
    uint64_t term;
    bool in_term;
};

void Rack_DeleteFlight(RackWorker *w, RackFlight *f);
RackWorker *Rack_FindWorker(const GfRack *rack, const GfName *name);
bool Rack_IsHeld(const RackWorker *w, struct timespec now);
void Rack_UpdateTerm(GfRack *rack, struct timespec now);
RackKnown *Rack_FindKnown(const RackWorker *w, const GfName *id);

#endif
