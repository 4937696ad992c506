/* Workers of a rack, their leases and inventories, and terms. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rack_private.h"

/* Inventory version of a worker that granted no lease yet. */
#define NO_INVENTORY (-1)

/* Creates a rack without workers and without a term. The caller destroys it
 * with GfRack_Destroy. */
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

/* Removes the tasks known from a worker's inventory. */
static void
clear_inventory(RackWorker *w)
{
    RackKnownTask *k;
    RackKnownTask *tmp;
    HASH_ITER(hh, w->tasks, k, tmp)
    {
        HASH_DEL(w->tasks, k);
        free(k);
    }
}

/* Removes and frees one pending start. */
void
Rack_DeletePendingStart(RackWorker *w, RackPendingStart *s)
{
    HASH_DEL(w->pending_starts, s);
    free(s);
}

/* Frees a worker with its inventory and pending starts. */
static void
free_worker(RackWorker *w)
{
    clear_inventory(w);
    RackPendingStart *s;
    RackPendingStart *tmp;
    HASH_ITER(hh, w->pending_starts, s, tmp)
    {
        Rack_DeletePendingStart(w, s);
    }
    free(w);
}

/* Frees the rack with its workers. NULL is allowed. */
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

/* Returns the rack's name, owned by the rack. */
const GfName *
GfRack_Name(const GfRack *rack)
{
    return &rack->config.name;
}

/* Finds a worker by name, or returns NULL. */
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

/* Tells whether this holder has the worker's lease at the given time. */
bool
Rack_IsHeld(const RackWorker *w, struct timespec now)
{
    return w->lease != 0 && GfTime_Before(now, w->held_until);
}

/* Counts the workers whose lease is held at the given time. */
size_t
GfRack_HeldCount(const GfRack *rack, struct timespec now)
{
    size_t held = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        held += Rack_IsHeld(rack->workers[i], now);
    }
    return held;
}

/* Starts or ends the term according to the leases held now. Outside a term, an
 * inventory is valid only as long as the worker's lease is held. */
void
Rack_UpdateTerm(GfRack *rack, struct timespec now)
{
    bool holds_majority = GfRack_HeldCount(rack, now) * 2 > rack->worker_count;
    if (!holds_majority && (rack->config.rules & GF_RACK_FORGET_AFTER_TERM)) {
        for (size_t i = 0; i < rack->worker_count; i++) {
            RackWorker *w = rack->workers[i];
            if (!Rack_IsHeld(w, now)) {
                w->inventory_known = false;
                clear_inventory(w);
            }
        }
    }
    if (holds_majority && !rack->in_term) {
        rack->term++;
    }
    rack->in_term = holds_majority;
}

/* Adds a worker that the platform lists, without a lease. It counts toward the
 * majority from now on. A known worker is left as it is. */
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
    w->version = NO_INVENTORY;
    rack->workers = grown;
    rack->workers[rack->worker_count++] = w;
    Rack_UpdateTerm(rack, now);
}

/* Removes a worker that the platform reports as gone; it no longer counts
 * toward the majority. The caller must wait until no task of the worker can
 * still run. */
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

/* Returns the number of workers of the rack. */
size_t
GfRack_WorkerCount(const GfRack *rack)
{
    return rack->worker_count;
}

/* Returns the name of the worker at the given index, which must be less than
 * GfRack_WorkerCount. The rack owns it; removing a worker changes the order.
 */
const GfName *
GfRack_WorkerAt(const GfRack *rack, size_t index)
{
    assert(index < rack->worker_count);
    return &rack->workers[index]->name;
}

/* Tells whether the rack has a worker of the given name. */
bool
GfRack_HasWorker(const GfRack *rack, const GfName *worker)
{
    return Rack_FindWorker(rack, worker) != NULL;
}

/* Tells whether a grant is older than one applied before. Within one boot of
 * the worker the lease id, then the inventory version, gives the order. Across
 * boots only a response to a call that was sent after the last one arrived is
 * newer. */
static bool
is_stale(const RackWorker *w, const GfLeaseGrant *grant,
         struct timespec sent_at)
{
    if (w->version == NO_INVENTORY) {
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

/* Replaces the worker's inventory by the one of a grant. */
static void
replace_inventory(RackWorker *w, const GfLeaseGrant *grant)
{
    clear_inventory(w);
    for (size_t i = 0; i < grant->task_count; i++) {
        RackKnownTask *k = calloc(1, sizeof(*k));
        if (k == NULL) {
            abort();
        }
        k->task = grant->tasks[i];
        k->id = k->task.spec.id;
        HASH_ADD(hh, w->tasks, id, sizeof(k->id), k);
    }
    w->inventory_known = true;
}

/* Finds a task in the worker's inventory, or returns NULL. */
RackKnownTask *
Rack_FindKnownTask(const RackWorker *w, const GfName *id)
{
    RackKnownTask *k;
    HASH_FIND(hh, w->tasks, id, sizeof(*id), k);
    return k;
}

/* Removes the pending starts whose outcome is known: those that the inventory
 * lists, those that the worker accepted at the given version or before, and,
 * under a new lease, all, since commands under the old one can no longer take
 * effect. Calls back for those that the worker hasn't accepted; callback may
 * be NULL. */
static void
settle_pending_starts(RackWorker *w, int64_t version, bool new_lease,
                      GfPendingStartCallback callback, void *ctx)
{
    RackPendingStart *s;
    RackPendingStart *tmp;
    HASH_ITER(hh, w->pending_starts, s, tmp)
    {
        bool seen = Rack_FindKnownTask(w, &s->id) != NULL;
        bool answered = s->accepted && s->version <= version;
        if (!seen && !answered && !new_lease) {
            continue;
        }
        if (callback != NULL && !s->accepted) {
            callback(ctx, &w->name, &s->spec, seen);
        }
        Rack_DeletePendingStart(w, s);
    }
}

/* Applies a worker's grant of its lease, which counts from the time the call
 * was sent, and calls back for the pending starts that the grant settles;
 * callback may be NULL. Returns false, and applies nothing, if the worker is
 * unknown, the response is stale, the lease was given up after the call was
 * sent or has already expired, or the grant refers to an inventory that isn't
 * known. */
bool
GfRack_ApplyGrant(GfRack *rack, const GfName *worker,
                  const GfLeaseGrant *grant, struct timespec sent_at,
                  struct timespec now, GfPendingStartCallback callback,
                  void *ctx)
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
    if (!GfTime_Before(w->dropped_at, sent_at)) {
        /* Given up after the call was sent, so the grant is void. */
        return false;
    }
    struct timespec held_until =
        GfTime_AddMs(sent_at, grant->ttl_ms - rack->config.margin_ms);
    if (!GfTime_Before(now, held_until)) {
        return false;
    }
    if (grant->unchanged &&
        (!w->inventory_known || grant->version != w->version)) {
        return false;
    }
    bool new_lease =
        grant->lease != w->lease || !GfName_Equal(&grant->boot, &w->boot);
    if (new_lease || GfTime_Before(w->held_until, held_until)) {
        w->held_until = held_until;
    }
    w->lease = grant->lease;
    w->boot = grant->boot;
    w->version = grant->version;
    w->capacity = grant->capacity;
    w->received_at = now;
    if (!grant->unchanged) {
        replace_inventory(w, grant);
    }
    settle_pending_starts(w, grant->version, new_lease, callback, ctx);
    if (new_lease) {
        w->needs_fence = false;
    }
    Rack_UpdateTerm(rack, now);
    return true;
}

/* Records that this holder gave up a worker's lease or lost it to another
 * holder. */
void
GfRack_DropLease(GfRack *rack, const GfName *worker, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    RackWorker *w = Rack_FindWorker(rack, worker);
    if (w != NULL) {
        w->held_until = (struct timespec){0};
        w->dropped_at = now;
    }
    Rack_UpdateTerm(rack, now);
}

/* Tells whether the worker's lease is held at the given time; false for an
 * unknown worker. */
bool
GfRack_Holds(const GfRack *rack, const GfName *worker, struct timespec now)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w != NULL && Rack_IsHeld(w, now);
}

/* Returns the id of the worker's last lease, held or not; 0 if there was none.
 */
int64_t
GfRack_Lease(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL ? 0 : w->lease;
}

/* Returns the version of the worker's known inventory, or -1 if none is known.
 */
int64_t
GfRack_InventoryVersion(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL || !w->inventory_known ? NO_INVENTORY : w->version;
}

/* Tells whether a term is running; work may be started only then. Without the
 * rule GF_RACK_NEED_MAJORITY it is always true. */
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

/* Tells whether a term is running, every worker's lease is held and its
 * inventory known, and no lease must be replaced because a start got no
 * response. */
bool
GfRack_IsComplete(GfRack *rack, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        if (!Rack_IsHeld(w, now) || !w->inventory_known || w->needs_fence) {
            return false;
        }
    }
    return rack->in_term;
}
