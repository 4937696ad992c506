/* What runs or starts on the workers of a rack, and the room it leaves. */
#include <assert.h>
#include <stdlib.h>

#include "rack_private.h"

/* Returns the room of a held worker that neither a task seen nor an
 * unanswered start takes; none if the lease is not held. */
GfRoom
GfRack_FreeRoom(const GfRack *rack, const GfName *worker, struct timespec now)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    if (w == NULL || !Rack_IsHeld(w, now) || !w->known || w->tainted) {
        return (GfRoom){0};
    }
    GfRoom room = w->capacity;
    for (RackKnown *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING) {
            room = GfRoom_Minus(&room, &k->task.spec.need);
        }
    }
    for (RackFlight *f = w->flights; f != NULL; f = f->hh.next) {
        if (Rack_FindKnown(w, &f->id) == NULL) {
            room = GfRoom_Minus(&room, &f->spec.need);
        }
    }
    return room;
}

/* Returns the worker's whole room as it was last reported. */
GfRoom
GfRack_Capacity(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w == NULL ? (GfRoom){0} : w->capacity;
}

/* Sums what a team has running or starting on a worker, in millicores. */
static uint64_t
use_on(const RackWorker *w, const GfName *team)
{
    uint64_t use = 0;
    for (RackKnown *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING &&
            GfName_Equal(&k->task.spec.team, team)) {
            use += k->task.spec.need.mcores;
        }
    }
    for (RackFlight *f = w->flights; f != NULL; f = f->hh.next) {
        if (GfName_Equal(&f->spec.team, team) &&
            Rack_FindKnown(w, &f->id) == NULL) {
            use += f->spec.need.mcores;
        }
    }
    return use;
}

/* Returns the most millicores that a team can have running on the rack. A
 * worker not seen in this term counts as filled by the team; one of unknown
 * size counts as having no limit. */
uint64_t
GfRack_TeamUse(GfRack *rack, const GfName *team, struct timespec now)
{
    Rack_UpdateTerm(rack, now);
    uint64_t use = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        if (w->known) {
            use += use_on(w, team);
        }
        else if (rack->config.rules & GF_RACK_RESERVE_UNSEEN) {
            use += w->capacity.mcores > 0 ? w->capacity.mcores : UINT32_MAX;
        }
    }
    return use;
}

/* Returns the millicores that a team is seen to have running or starting,
 * with nothing in reserve for unseen workers. */
uint64_t
GfRack_SeenUse(const GfRack *rack, const GfName *team)
{
    uint64_t use = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        use += use_on(rack->workers[i], team);
    }
    return use;
}

/* Finds a task in the known inventories and the worker that lists it, or
 * returns NULL. */
const GfTask *
GfRack_FindTask(const GfRack *rack, const GfName *task, GfName *worker)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackKnown *k = Rack_FindKnown(rack->workers[i], task);
        if (k != NULL) {
            *worker = rack->workers[i]->name;
            return &k->task;
        }
    }
    return NULL;
}

/* Tells whether a task is listed on a worker or is being started. */
bool
GfRack_HasTask(const GfRack *rack, const GfName *task)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        RackFlight *f;
        HASH_FIND(hh, w->flights, task, sizeof(*task), f);
        if (f != NULL || Rack_FindKnown(w, task) != NULL) {
            return true;
        }
    }
    return false;
}

/* Tells whether a start for a partition's job is unanswered. */
bool
GfRack_HasFlight(const GfRack *rack, uint32_t partition)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        for (RackFlight *f = rack->workers[i]->flights; f != NULL;
             f = f->hh.next) {
            uint32_t p = 0;
            if (GfTask_Partition(&f->id, &p) && p == partition) {
                return true;
            }
        }
    }
    return false;
}

/* Notes a start right before it is sent. */
void
GfRack_StartSent(GfRack *rack, const GfName *worker, const GfTaskSpec *spec)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    assert(w != NULL);
    RackFlight *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        abort();
    }
    f->id = spec->id;
    f->spec = *spec;
    HASH_ADD(hh, w->flights, id, sizeof(f->id), f);
}

/* Finds a start that is not settled, or NULL. */
static RackFlight *
find_flight(const RackWorker *w, const GfName *task)
{
    RackFlight *f = NULL;
    if (w != NULL) {
        HASH_FIND(hh, w->flights, task, sizeof(*task), f);
    }
    return f;
}

/* Notes that the worker accepted a start at the given inventory version. The
 * start counts until an inventory of that version or a later one is seen. */
void
GfRack_StartAccepted(GfRack *rack, const GfName *worker, const GfName *task,
                     int64_t version)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    RackFlight *f = find_flight(w, task);
    if (f == NULL) {
        return;
    }
    f->accepted = true;
    f->version = version;
    if (w->known && w->version >= version) {
        Rack_DeleteFlight(w, f);
    }
}

/* Notes that a start did not and will not take effect. */
void
GfRack_StartRefused(GfRack *rack, const GfName *worker, const GfName *task)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    RackFlight *f = find_flight(w, task);
    if (f != NULL) {
        Rack_DeleteFlight(w, f);
    }
}

/* Notes that a command to the worker got no answer. The lease is to be
 * replaced, so that the command can no longer take effect. */
void
GfRack_StartUnanswered(GfRack *rack, const GfName *worker)
{
    RackWorker *w = Rack_FindWorker(rack, worker);
    if (w != NULL) {
        w->tainted = true;
    }
}

/* Tells whether the worker's lease is to be replaced by a new one. */
bool
GfRack_NeedsFence(const GfRack *rack, const GfName *worker)
{
    const RackWorker *w = Rack_FindWorker(rack, worker);
    return w != NULL && w->tainted;
}

/* Calls back for each task that the known inventories list. */
void
GfRack_ForEachTask(const GfRack *rack, GfTaskCallback callback, void *ctx)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const RackWorker *w = rack->workers[i];
        RackKnown *k;
        RackKnown *tmp;
        HASH_ITER(hh, w->tasks, k, tmp)
        {
            callback(ctx, &w->name, &k->task);
        }
    }
}
