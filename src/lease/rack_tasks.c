/* Tasks and starts on the workers of a rack, and the capacity they leave. */
#include <assert.h>
#include <stdlib.h>

#include "rack_private.h"

/* Returns a worker's free capacity: what running tasks and pending starts
 * leave of its capacity. Nothing if the lease isn't held, the inventory isn't
 * known, or the lease must be replaced. */
GfResourceVector
GfRack_FreeCapacity(const GfRack *rack, const GfName *worker,
                    struct timespec now)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    if (w == NULL || !Rack_IsHeld(w, now) || !w->inventory_known ||
        w->needs_fence) {
        return (GfResourceVector){0};
    }
    GfResourceVector available = w->capacity;
    for (RackKnownTask *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING) {
            available =
                GfResourceVector_Subtract(&available, &k->task.spec.need);
        }
    }
    for (RackPendingStart *s = w->pending_starts; s != NULL; s = s->hh.next) {
        if (Rack_FindKnownTask(w, &s->id) == NULL) {
            available = GfResourceVector_Subtract(&available, &s->spec.need);
        }
    }
    return available;
}

/* Returns the total capacity that the worker last reported, 0 before that. */
GfResourceVector
GfRack_Capacity(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL ? (GfResourceVector){0} : w->capacity;
}

/* Sums the millicores of a team's running tasks and pending starts on a
 * worker. */
static uint64_t
team_use_on(const RackWorker *w, const GfName *team)
{
    uint64_t use = 0;
    for (RackKnownTask *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING &&
            GfName_Equal(&k->task.spec.team, team)) {
            use += k->task.spec.need.mcores;
        }
    }
    for (RackPendingStart *s = w->pending_starts; s != NULL; s = s->hh.next) {
        if (GfName_Equal(&s->spec.team, team) &&
            Rack_FindKnownTask(w, &s->id) == NULL) {
            use += s->spec.need.mcores;
        }
    }
    return use;
}

/* Returns the most millicores that a team can have running on the rack. A
 * worker not seen in this term counts with its full capacity, one of unknown
 * capacity as unlimited (UINT32_MAX millicores). */
uint64_t
GfRack_TeamUse(GfRack *rack, const GfName *team, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    uint64_t use = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        if (w->inventory_known) {
            use += team_use_on(w, team);
        }
        else if (rack->config.rules & GF_RACK_RESERVE_UNSEEN) {
            use += w->capacity.mcores > 0 ? w->capacity.mcores : UINT32_MAX;
        }
    }
    return use;
}

/* Returns the millicores of a team's running tasks and pending starts, without
 * anything for unseen workers. */
uint64_t
GfRack_KnownUse(const GfRack *rack, const GfName *team)
{
    uint64_t use = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        use += team_use_on(rack->workers[i], team);
    }
    return use;
}

/* Finds a task in the known inventories; worker gets the name of the worker
 * that lists it. Returns NULL if none does. The rack owns the task, which is
 * valid until the worker's inventory is next replaced or forgotten. */
const GfTask *
GfRack_FindTask(const GfRack *rack, const GfName *task, GfName *worker)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackKnownTask *k = Rack_FindKnownTask(rack->workers[i], task);
        if (k != NULL) {
            *worker = rack->workers[i]->name;
            return &k->task;
        }
    }
    return NULL;
}

/* Tells whether an inventory lists a task or a start of it is pending. */
bool
GfRack_HasTask(const GfRack *rack, const GfName *task)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        RackPendingStart *s;
        HASH_FIND(hh, w->pending_starts, task, sizeof(*task), s);
        if (s != NULL || Rack_FindKnownTask(w, task) != NULL) {
            return true;
        }
    }
    return false;
}

/* Tells whether a start for a job of the given partition is pending. */
bool
GfRack_HasPendingStart(const GfRack *rack, uint32_t partition)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        for (RackPendingStart *s = rack->workers[i]->pending_starts; s != NULL;
             s = s->hh.next) {
            uint32_t p = 0;
            if (GfTask_Partition(&s->id, &p) && p == partition) {
                return true;
            }
        }
    }
    return false;
}

/* Records a start immediately before it is sent. It counts as use until its
 * outcome is known. The worker must be known and the task must not be pending
 * there. */
void
GfRack_StartSent(GfRack *rack, const GfName *worker, const GfTaskSpec *spec)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    assert(w != NULL);
    RackPendingStart *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->id = spec->id;
    s->spec = *spec;
    HASH_ADD(hh, w->pending_starts, id, sizeof(s->id), s);
}

/* Finds a pending start, or returns NULL. w may be NULL. */
static RackPendingStart *
find_pending_start(const RackWorker *w, const GfName *task)
{
    RackPendingStart *s = NULL;
    if (w != NULL) {
        HASH_FIND(hh, w->pending_starts, task, sizeof(*task), s);
    }
    return s;
}

/* Records that the worker accepted a start at the given inventory version. The
 * start stays pending until an inventory of that version or a later one is
 * known. */
void
GfRack_StartAccepted(GfRack *rack, const GfName *worker, const GfName *task,
                     int64_t version)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    RackPendingStart *s = find_pending_start(w, task);
    if (s == NULL) {
        return;
    }
    s->accepted = true;
    s->version = version;
    if (w->inventory_known && w->version >= version) {
        Rack_DeletePendingStart(w, s);
    }
}

/* Removes a pending start that did not take effect and can't any more. */
void
GfRack_StartRefused(GfRack *rack, const GfName *worker, const GfName *task)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    RackPendingStart *s = find_pending_start(w, task);
    if (s != NULL) {
        Rack_DeletePendingStart(w, s);
    }
}

/* Records that a start on the worker got no response. The worker gets no
 * further starts until a new lease has been granted, under which that start
 * can no longer take effect. */
void
GfRack_StartUnanswered(GfRack *rack, const GfName *worker)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    if (w != NULL) {
        w->needs_fence = true;
    }
}

/* Tells whether the worker's lease must be replaced by a new one because a
 * start got no response under it. */
bool
GfRack_NeedsFence(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w != NULL && w->needs_fence;
}

/* Calls back for each task in the known inventories, in no particular order.
 */
void
GfRack_ForEachTask(const GfRack *rack, GfTaskCallback callback, void *ctx)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        RackKnownTask *k;
        RackKnownTask *tmp;
        HASH_ITER(hh, w->tasks, k, tmp)
        {
            callback(ctx, &w->name, &k->task);
        }
    }
}
