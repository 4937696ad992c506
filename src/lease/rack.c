#include "guavaflow/rack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define NEVER_SEEN (-1)

typedef struct {
    GfName id;
    GfTask task;
    UT_hash_handle hh;
} Known;

typedef struct {
    GfName id;
    GfTaskSpec spec;
    bool accepted;
    int64_t version;
    UT_hash_handle hh;
} Flight;

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
    Known *tasks;
    Flight *flights;
} Worker;

struct GfRack {
    GfRackConfig config;
    Worker **workers;
    size_t worker_count;
    uint64_t term;
    bool in_term;
};

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
clear_tasks(Worker *w)
{
    Known *k;
    Known *tmp;
    HASH_ITER(hh, w->tasks, k, tmp)
    {
        HASH_DEL(w->tasks, k);
        free(k);
    }
}

/* Removes one unanswered start. */
static void
delete_flight(Worker *w, Flight *f)
{
    HASH_DEL(w->flights, f);
    free(f);
}

/* Frees a worker's record. */
static void
free_worker(Worker *w)
{
    clear_tasks(w);
    Flight *f;
    Flight *tmp;
    HASH_ITER(hh, w->flights, f, tmp)
    {
        delete_flight(w, f);
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
static Worker *
find_worker(const GfRack *rack, const GfName *name)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        if (GfName_Equal(&rack->workers[i]->name, name)) {
            return rack->workers[i];
        }
    }
    return NULL;
}

/* Tells whether the lease of a worker is held at the given time. */
static bool
is_held(const Worker *w, struct timespec now)
{
    return w->lease != 0 && GfTime_Before(now, w->until);
}

/* Counts the workers whose lease is held. */
size_t
GfRack_HeldCount(const GfRack *rack, struct timespec now)
{
    size_t held = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        held += is_held(rack->workers[i], now);
    }
    return held;
}

/* Starts or ends the term by the leases held now. Outside a term what was
 * seen on a worker counts only while its lease lasts. */
static void
update_term(GfRack *rack, struct timespec now)
{
    bool major = GfRack_HeldCount(rack, now) * 2 > rack->worker_count;
    if (!major && (rack->config.rules & GF_RACK_FORGET_AFTER_TERM)) {
        for (size_t i = 0; i < rack->worker_count; i++) {
            Worker *w = rack->workers[i];
            if (!is_held(w, now)) {
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
    if (find_worker(rack, worker) != NULL) {
        return;
    }
    update_term(rack, now);
    Worker *w = calloc(1, sizeof(*w));
    size_t bytes = (rack->worker_count + 1) * sizeof(*rack->workers);
    Worker **grown = realloc(rack->workers, bytes);
    if (w == NULL || grown == NULL) {
        abort();
    }
    w->name = *worker;
    w->version = NEVER_SEEN;
    rack->workers = grown;
    rack->workers[rack->worker_count++] = w;
    update_term(rack, now);
}

/* Removes a worker that the platform calls gone, once no task of it can be
 * alive; the caller keeps that time. */
void
GfRack_RemoveWorker(GfRack *rack, const GfName *worker, struct timespec now)
{
    update_term(rack, now);
    for (size_t i = 0; i < rack->worker_count; i++) {
        if (GfName_Equal(&rack->workers[i]->name, worker)) {
            free_worker(rack->workers[i]);
            rack->workers[i] = rack->workers[--rack->worker_count];
            break;
        }
    }
    update_term(rack, now);
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
    return find_worker(rack, worker) != NULL;
}

/* Tells whether an answer is older than one taken before. Within one boot
 * the lease id and then the inventory version order answers; across boots
 * only an answer to a call sent after the last one arrived is newer. */
static bool
is_stale(const Worker *w, const GfLeaseGrant *grant, struct timespec sent_at)
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
take_inventory(Worker *w, const GfLeaseGrant *grant)
{
    clear_tasks(w);
    for (size_t i = 0; i < grant->task_count; i++) {
        Known *k = calloc(1, sizeof(*k));
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
static Known *
find_known(const Worker *w, const GfName *id)
{
    Known *k;
    HASH_FIND(hh, w->tasks, id, sizeof(*id), k);
    return k;
}

/* Drops the starts that the inventory settles: those it lists, those the
 * worker accepted at this version or before, and, under a new lease, all. */
static void
settle_flights(Worker *w, int64_t version, bool new_lease,
               GfFlightCallback callback, void *ctx)
{
    Flight *f;
    Flight *tmp;
    HASH_ITER(hh, w->flights, f, tmp)
    {
        bool seen = find_known(w, &f->id) != NULL;
        bool answered = f->accepted && f->version <= version;
        if (!seen && !answered && !new_lease) {
            continue;
        }
        if (callback != NULL && !f->accepted) {
            callback(ctx, &w->name, &f->spec, seen);
        }
        delete_flight(w, f);
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
    update_term(rack, now);
    Worker *w = find_worker(rack, worker);
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
    update_term(rack, now);
    return true;
}

/* Notes that this holder has given up a lease or lost it to another. */
void
GfRack_GivenUp(GfRack *rack, const GfName *worker, struct timespec now)
{
    update_term(rack, now);
    Worker *w = find_worker(rack, worker);
    if (w != NULL) {
        w->until = (struct timespec){0};
        w->given_up_at = now;
    }
    update_term(rack, now);
}

/* Tells whether the worker's lease is held at the given time. */
bool
GfRack_Holds(const GfRack *rack, const GfName *worker, struct timespec now)
{
    const Worker *w = find_worker(rack, worker);
    return w != NULL && is_held(w, now);
}

/* Returns the id of the worker's last lease, 0 if there was none. */
int64_t
GfRack_Lease(const GfRack *rack, const GfName *worker)
{
    const Worker *w = find_worker(rack, worker);
    return w == NULL ? 0 : w->lease;
}

/* Returns the version of the inventory that is known, -1 if none is. */
int64_t
GfRack_SeenVersion(const GfRack *rack, const GfName *worker)
{
    const Worker *w = find_worker(rack, worker);
    return w == NULL || !w->known ? NEVER_SEEN : w->version;
}

/* Tells whether a term is running; only then work may be started. */
bool
GfRack_InTerm(GfRack *rack, struct timespec now)
{
    update_term(rack, now);
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
    update_term(rack, now);
    for (size_t i = 0; i < rack->worker_count; i++) {
        const Worker *w = rack->workers[i];
        if (!is_held(w, now) || !w->known || w->tainted) {
            return false;
        }
    }
    return rack->in_term;
}

/* Returns the room of a held worker that neither a task seen nor an
 * unanswered start takes; none if the lease is not held. */
GfRoom
GfRack_FreeRoom(const GfRack *rack, const GfName *worker, struct timespec now)
{
    const Worker *w = find_worker(rack, worker);
    if (w == NULL || !is_held(w, now) || !w->known || w->tainted) {
        return (GfRoom){0};
    }
    GfRoom room = w->capacity;
    for (Known *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING) {
            room = GfRoom_Minus(&room, &k->task.spec.need);
        }
    }
    for (Flight *f = w->flights; f != NULL; f = f->hh.next) {
        if (find_known(w, &f->id) == NULL) {
            room = GfRoom_Minus(&room, &f->spec.need);
        }
    }
    return room;
}

/* Returns the worker's whole room as it was last reported. */
GfRoom
GfRack_Capacity(const GfRack *rack, const GfName *worker)
{
    const Worker *w = find_worker(rack, worker);
    return w == NULL ? (GfRoom){0} : w->capacity;
}

/* Sums what a team has running or starting on a worker, in millicores. */
static uint64_t
use_on(const Worker *w, const GfName *team)
{
    uint64_t use = 0;
    for (Known *k = w->tasks; k != NULL; k = k->hh.next) {
        if (k->task.state == GF_TASK_RUNNING &&
            GfName_Equal(&k->task.spec.team, team)) {
            use += k->task.spec.need.mcores;
        }
    }
    for (Flight *f = w->flights; f != NULL; f = f->hh.next) {
        if (GfName_Equal(&f->spec.team, team) &&
            find_known(w, &f->id) == NULL) {
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
    update_term(rack, now);
    uint64_t use = 0;
    for (size_t i = 0; i < rack->worker_count; i++) {
        const Worker *w = rack->workers[i];
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
        const Known *k = find_known(rack->workers[i], task);
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
        const Worker *w = rack->workers[i];
        Flight *f;
        HASH_FIND(hh, w->flights, task, sizeof(*task), f);
        if (f != NULL || find_known(w, task) != NULL) {
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
        for (Flight *f = rack->workers[i]->flights; f != NULL;
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
    Worker *w = find_worker(rack, worker);
    assert(w != NULL);
    Flight *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        abort();
    }
    f->id = spec->id;
    f->spec = *spec;
    HASH_ADD(hh, w->flights, id, sizeof(f->id), f);
}

/* Finds a start that is not settled, or NULL. */
static Flight *
find_flight(const Worker *w, const GfName *task)
{
    Flight *f = NULL;
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
    Worker *w = find_worker(rack, worker);
    Flight *f = find_flight(w, task);
    if (f == NULL) {
        return;
    }
    f->accepted = true;
    f->version = version;
    if (w->known && w->version >= version) {
        delete_flight(w, f);
    }
}

/* Notes that a start did not and will not take effect. */
void
GfRack_StartRefused(GfRack *rack, const GfName *worker, const GfName *task)
{
    Worker *w = find_worker(rack, worker);
    Flight *f = find_flight(w, task);
    if (f != NULL) {
        delete_flight(w, f);
    }
}

/* Notes that a command to the worker got no answer. The lease is to be
 * replaced, so that the command can no longer take effect. */
void
GfRack_StartUnanswered(GfRack *rack, const GfName *worker)
{
    Worker *w = find_worker(rack, worker);
    if (w != NULL) {
        w->tainted = true;
    }
}

/* Tells whether the worker's lease is to be replaced by a new one. */
bool
GfRack_NeedsFence(const GfRack *rack, const GfName *worker)
{
    const Worker *w = find_worker(rack, worker);
    return w != NULL && w->tainted;
}

/* Calls back for each task that the known inventories list. */
void
GfRack_ForEachTask(const GfRack *rack, GfTaskCallback callback, void *ctx)
{
    for (size_t i = 0; i < rack->worker_count; i++) {
        const Worker *w = rack->workers[i];
        Known *k;
        Known *tmp;
        HASH_ITER(hh, w->tasks, k, tmp)
        {
            callback(ctx, &w->name, &k->task);
        }
    }
}
