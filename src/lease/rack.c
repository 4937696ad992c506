/* The workers of a rack and the leases held on them. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rack_private.h"

#define NEVER_SEEN (-1)

/* Creates a rack without workers. */
GfRack *
GfRack_Create(const GfRackConfig *config)
{
    assert(config != NULL);
    GfRack *rack = calloc(1, sizeof(*rack));
    if (rack == NULL) {
        abort();
    }
    rack->config = *config;
    rack->term = config->first_term;
    return rack;
}

/* Forgets the tasks seen on a worker. */
static void
clear_tasks(RackWorker *w)
{
    RackKnown *k;
    RackKnown *tmp;
    HASH_ITER(hh, w->tasks, k, tmp)
    {
        HASH_DEL(w->tasks, k);
        free(k);
    }
}

/* Removes one unanswered start. */
void
Rack_DeleteFlight(RackWorker *w, RackFlight *f)
{
    HASH_DEL(w->flights, f);
    free(f);
}

/* Frees a worker's record. */
static void
free_worker(RackWorker *w)
{
    clear_tasks(w);
    RackFlight *f;
    RackFlight *tmp;
    HASH_ITER(hh, w->flights, f, tmp)
    {
        Rack_DeleteFlight(w, f);
    }
    free(w);
}

/* Frees the rack. */
void
GfRack_Destroy(GfRack *rack)
{
    if (rack == NULL) {
        return;
    }
    for (size_t i = 0; i < rack->worker_count; i++) {
        free_worker(rack->workers[i]);
    }
    free(rack->workers);
    free(rack);
}

/* Returns the rack's name. */
const GfName *
GfRack_Name(const GfRack *rack)
{
    return &rack->config.name;
}

/* Finds a worker of the rack, or NULL. */
RackWorker *
Rack_FindWorker(const GfRack *rack, const GfName *name)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        if (GfName_Equal(&rack->workers[i]->name, name)) {
            return rack->workers[i];
        }
    }
    return NULL;
}

/* Tells whether the lease of a worker is held at the given time. */
bool
Rack_IsHeld(const RackWorker *w, struct timespec now)
{
    return w->lease != 0 && GfTime_Before(now, w->until);
}

/* Counts the workers whose lease is held. */
size_t
GfRack_HeldCount(const GfRack *rack, struct timespec now)
{
    size_t held = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        held += Rack_IsHeld(rack->workers[i], now);
    }
    return held;
}

/* Starts or ends the term by the leases held now. Outside a term what was
 * seen on a worker counts only while its lease lasts. */
void
Rack_UpdateTerm(GfRack *rack, struct timespec now)
{
    bool major = GfRack_HeldCount(rack, now) * 2 > rack->worker_count;
    if (!major && (rack->config.rules & GF_RACK_FORGET_AFTER_TERM)) {
        for (size_t i = 0; i < rack->worker_count; i++) {
            RackWorker *w = rack->workers[i];
            if (!Rack_IsHeld(w, now)) {
                w->known = false;
                clear_tasks(w);
            }
        }
    }
    if (major && !rack->in_term) {
        rack->term++;
    }
    rack->in_term = major;
}

/* Adds a worker on the platform's word. */
void
GfRack_AddWorker(GfRack *rack, const GfName *worker, struct timespec now)
{
    if (Rack_FindWorker(rack, worker) != NULL) {
        return;
    }
    Rack_UpdateTerm(rack, now);
    RackWorker *w = calloc(1, sizeof(*w));
    size_t bytes = (rack->worker_count + 1) * sizeof(*rack->workers);
    RackWorker **grown = realloc(rack->workers, bytes);
    if (w == NULL || grown == NULL) {
        abort();
    }
    w->name = *worker;
    w->version = NEVER_SEEN;
    rack->workers = grown;
    rack->workers[rack->worker_count++] = w;
    Rack_UpdateTerm(rack, now);
}

/* Removes a worker that the platform calls gone, once no task of it can be
 * alive; the caller keeps that time. */
void
GfRack_RemoveWorker(GfRack *rack, const GfName *worker, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    for (size_t i = 0; i < rack->worker_count; i++) {
        if (GfName_Equal(&rack->workers[i]->name, worker)) {
            free_worker(rack->workers[i]);
            rack->workers[i] = rack->workers[--rack->worker_count];
            break;
        }
    }
    Rack_UpdateTerm(rack, now);
}

/* Returns the number of workers. */
size_t
GfRack_WorkerCount(const GfRack *rack)
{
    return rack->worker_count;
}

/* Returns the name of a worker by index. */
const GfName *
GfRack_WorkerAt(const GfRack *rack, size_t index)
{
    assert(index < rack->worker_count);
    return &rack->workers[index]->name;
}

/* Tells whether the rack has a worker of that name. */
bool
GfRack_HasWorker(const GfRack *rack, const GfName *worker)
{
    return Rack_FindWorker(rack, worker) != NULL;
}

/* Tells whether an answer is older than one taken before. Within one boot
 * the lease id and then the inventory version order answers; across boots
 * only an answer to a call sent after the last one arrived is newer. */
static bool
is_stale(const RackWorker *w, const GfLeaseGrant *grant,
         struct timespec sent_at)
{
    if (w->version == NEVER_SEEN) {
        return false;
    }
    if (!GfName_Equal(&w->boot, &grant->boot)) {
        return GfTime_Before(sent_at, w->received_at);
    }
    if (grant->lease != w->lease) {
        return grant->lease < w->lease;
    }
    return grant->version < w->version;
}

/* Replaces what is known of the worker's tasks. */
static void
take_inventory(RackWorker *w, const GfLeaseGrant *grant)
{
    clear_tasks(w);
    for (size_t i = 0; i < grant->task_count; i++) {
        RackKnown *k = calloc(1, sizeof(*k));
        if (k == NULL) {
            abort();
        }
        k->task = grant->tasks[i];
        k->id = k->task.spec.id;
        HASH_ADD(hh, w->tasks, id, sizeof(k->id), k);
    }
    w->known = true;
}

/* Finds a task in the worker's inventory, or NULL. */
RackKnown *
Rack_FindKnown(const RackWorker *w, const GfName *id)
{
    RackKnown *k;
    HASH_FIND(hh, w->tasks, id, sizeof(*id), k);
    return k;
}

/* Drops the starts that the inventory settles: those it lists, those the
 * worker accepted at this version or before, and, under a new lease, all. */
static void
settle_flights(RackWorker *w, int64_t version, bool new_lease,
               GfFlightCallback callback, void *ctx)
{
    RackFlight *f;
    RackFlight *tmp;
    HASH_ITER(hh, w->flights, f, tmp)
    {
        bool seen = Rack_FindKnown(w, &f->id) != NULL;
        bool answered = f->accepted && f->version <= version;
        if (!seen && !answered && !new_lease) {
            continue;
        }
        if (callback != NULL && !f->accepted) {
            callback(ctx, &w->name, &f->spec, seen);
        }
        Rack_DeleteFlight(w, f);
    }
}

/* Takes a worker's grant of its lease, which counts from the time the call
 * was sent. Returns false if the answer is stale or its lease has lapsed;
 * then nothing changes. */
bool
GfRack_Granted(GfRack *rack, const GfName *worker, const GfLeaseGrant *grant,
               struct timespec sent_at, struct timespec now,
               GfFlightCallback callback, void *ctx)
{
    assert(rack != NULL && worker != NULL && grant != NULL);
    Rack_UpdateTerm(rack, now);
    RackWorker *w = Rack_FindWorker(rack, worker);
    if (w == NULL) {
        return false;
    }
    if ((rack->config.rules & GF_RACK_ORDER_INVENTORIES) &&
        is_stale(w, grant, sent_at)) {
        return false;
    }
    if (!GfTime_Before(w->given_up_at, sent_at)) {
        /* The lease was given up after this call had been sent. */
        return false;
    }
    struct timespec until =
        GfTime_AddMs(sent_at, grant->ttl_ms - rack->config.margin_ms);
    if (!GfTime_Before(now, until)) {
        return false;
    }
    if (grant->unchanged && (!w->known || grant->version != w->version)) {
        return false;
    }
    bool new_lease =
        grant->lease != w->lease || !GfName_Equal(&grant->boot, &w->boot);
    if (new_lease || GfTime_Before(w->until, until)) {
        w->until = until;
    }
    w->lease = grant->lease;
    w->boot = grant->boot;
    w->version = grant->version;
    w->capacity = grant->capacity;
    w->received_at = now;
    if (!grant->unchanged) {
        take_inventory(w, grant);
    }
    settle_flights(w, grant->version, new_lease, callback, ctx);
    if (new_lease) {
        w->tainted = false;
    }
    Rack_UpdateTerm(rack, now);
    return true;
}

/* Notes that this holder has given up a lease or lost it to another. */
void
GfRack_GivenUp(GfRack *rack, const GfName *worker, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    RackWorker *w = Rack_FindWorker(rack, worker);
    if (w != NULL) {
        w->until = (struct timespec){0};
        w->given_up_at = now;
    }
    Rack_UpdateTerm(rack, now);
}

/* Tells whether the worker's lease is held at the given time. */
bool
GfRack_Holds(const GfRack *rack, const GfName *worker, struct timespec now)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w != NULL && Rack_IsHeld(w, now);
}

/* Returns the id of the worker's last lease, 0 if there was none. */
int64_t
GfRack_Lease(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL ? 0 : w->lease;
}

/* Returns the version of the inventory that is known, -1 if none is. */
int64_t
GfRack_SeenVersion(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL || !w->known ? NEVER_SEEN : w->version;
}

/* Tells whether a term is running; only then work may be started. */
bool
GfRack_InTerm(GfRack *rack, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    return rack->in_term || !(rack->config.rules & GF_RACK_NEED_MAJORITY);
}

/* Returns the number of the running term, or of the last one. */
uint64_t
GfRack_Term(const GfRack *rack)
{
    return rack->term;
}

/* Tells whether the inventory of every worker is known under a lease held
 * now and no start is open to doubt. */
bool
GfRack_IsComplete(GfRack *rack, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        if (!Rack_IsHeld(w, now) || !w->known || w->tainted) {
            return false;
        }
    }
    return rack->in_term;
}
