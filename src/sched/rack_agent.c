#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "rack_agent_private.h"

#define PART "rack"

/* Creates the scheduler of a rack. It holds no lease and knows no worker or
 * target yet. name and domain are copied; env stays the caller's and must
 * outlive the agent. The caller destroys the agent with GfRackAgent_Destroy.
 */
GfRackAgent *
GfRackAgent_Create(const GfRackEnv *env, const GfName *name,
                   const GfName *domain)
{
    assert(env != NULL && name != NULL && domain != NULL);
    GfRackAgent *agent = calloc(1, sizeof(*agent));
    if (agent == NULL) {
        abort();
    }
    agent->env = env;
    agent->name = *name;
    agent->domain = *domain;
    agent->random = (uint32_t)GfName_Hash(name, env->first_term) | 1;
    GfRackConfig config = {.name = *name,
                           .first_term = env->first_term,
                           .margin_ms =
                               (int32_t)env->settings->lease.margin_ms,
                           .rules = GF_RACK_ALL_RULES};
    agent->rack = GfRack_Create(&config);
    RackAllot_Init(agent);
    return agent;
}

/* Frees a worker's unsent acknowledgements. */
static void
free_acks(RackWorker *w)
{
    RackAck *ack;
    RackAck *tmp;
    HASH_ITER(hh, w->acks, ack, tmp)
    {
        HASH_DEL(w->acks, ack);
        free(ack);
    }
}

/* Frees the scheduler. The HTTP client of its env must have been destroyed
 * before, since open calls refer to the agent. NULL is allowed. */
void
GfRackAgent_Destroy(GfRackAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    for (size_t i = 0; i < agent->worker_count; i++) {
        free_acks(agent->workers[i]);
        free(agent->workers[i]);
    }
    RackAllot_Clear(agent);
    RackTeamLoad *load;
    RackTeamLoad *tmp;
    HASH_ITER(hh, agent->team_loads, load, tmp)
    {
        HASH_DEL(agent->team_loads, load);
        free(load);
    }
    free(agent->workers);
    free(agent->instances);
    GfRack_Destroy(agent->rack);
    free(agent);
}

/* Returns the rack's name, owned by the agent. */
const GfName *
GfRackAgent_Name(const GfRackAgent *agent)
{
    return &agent->name;
}

/* Returns the time of the clock that all agents of the entry use. */
struct timespec
RackAgent_Now(const GfRackAgent *agent)
{
    return GfClock_Now(agent->env->clock);
}

/* Returns the next pseudo-random number (xorshift, Marsaglia 2003). */
uint32_t
RackAgent_Random(GfRackAgent *agent)
{
    uint32_t x = agent->random;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    agent->random = x;
    return x;
}

/* Finds a worker by name, or returns NULL. */
RackWorker *
RackAgent_FindWorker(GfRackAgent *agent, const GfName *name)
{
    for (size_t i = 0; i < agent->worker_count; i++) {
        if (GfName_Equal(&agent->workers[i]->name, name)) {
            return agent->workers[i];
        }
    }
    return NULL;
}

/* Adds a worker to the agent and, without a lease, to the rack. */
static RackWorker *
add_worker(GfRackAgent *agent, const GfName *name)
{
    RackWorker *w = calloc(1, sizeof(*w));
    size_t bytes = (agent->worker_count + 1) * sizeof(*agent->workers);
    RackWorker **grown = realloc(agent->workers, bytes);
    if (w == NULL || grown == NULL) {
        abort();
    }
    w->agent = agent;
    w->name = *name;
    agent->workers = grown;
    agent->workers[agent->worker_count++] = w;
    GfRack_AddWorker(agent->rack, name, RackAgent_Now(agent));
    return w;
}

/* Adds or updates a worker or target of this rack from the platform's host
 * list. Other kinds of hosts, and unknown workers that are gone, are ignored.
 */
void
GfRackAgent_SetHost(GfRackAgent *agent, const GfHost *host)
{
    if (host->kind == GF_HOST_TARGET) {
        RackRequests_SetTarget(agent, host);
        return;
    }
    if (host->kind != GF_HOST_WORKER) {
        return;
    }
    RackWorker *w = RackAgent_FindWorker(agent, &host->name);
    if (w == NULL) {
        if (host->state == GF_HOST_GONE) {
            return;
        }
        w = add_worker(agent, &host->name);
    }
    snprintf(w->address, sizeof(w->address), "%s", host->address);
    w->port = host->port;
    w->state = host->state;
    bool gone = host->state == GF_HOST_GONE;
    if (gone && !w->gone) {
        w->gone_at = RackAgent_Now(agent);
    }
    w->gone = gone;
    if (!gone && !GfRack_HasWorker(agent->rack, &w->name)) {
        GfRack_AddWorker(agent->rack, &w->name, RackAgent_Now(agent));
    }
}

/* Removes the workers that the platform reports as gone from the rack, after
 * the longest time that a lease and then a task on them can last: ttl_ms plus
 * task_lapse_ms. */
static void
remove_gone_workers(GfRackAgent *agent, struct timespec now)
{
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    int64_t lapse_ms = (int64_t)lease->ttl_ms + lease->task_lapse_ms;
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (w->gone && GfRack_HasWorker(agent->rack, &w->name) &&
            GfTime_DiffMs(now, w->gone_at) > lapse_ms) {
            GfRack_RemoveWorker(agent->rack, &w->name, now);
        }
    }
}

/* Releases the leases held without a majority for ttl_ms while other workers
 * refuse theirs, and backs off for a random part of ttl_ms. Otherwise two
 * entries that want the same rack could block each other. */
static void
release_minority(GfRackAgent *agent, struct timespec now)
{
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    if (!agent->lease_refused || GfRack_HeldCount(agent->rack, now) == 0) {
        agent->minority_since = now;
        return;
    }
    if (GfTime_DiffMs(now, agent->minority_since) < lease->ttl_ms) {
        return;
    }
    RackLeases_ReleaseAll(agent);
    agent->lease_refused = false;
    agent->minority_since = now;
    agent->back_off_until =
        GfTime_AddMs(now, RackAgent_Random(agent) % lease->ttl_ms);
}

/* Sums the ids of the workers' last leases. */
static uint64_t
sum_leases(const GfRackAgent *agent)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < agent->worker_count; i++) {
        if (GfRack_HasWorker(agent->rack, &agent->workers[i]->name)) {
            sum +=
                (uint64_t)GfRack_Lease(agent->rack, &agent->workers[i]->name);
        }
    }
    return sum;
}

/* Records the start and the end of terms. At the end the queued requests are
 * refused. */
static void
update_term(GfRackAgent *agent, struct timespec now)
{
    if (!GfRack_InTerm(agent->rack, now)) {
        if (agent->term != 0) {
            GfLog(GF_LOG_INFO, PART, "term ended rack=%s", agent->name.data);
            agent->term = 0;
            agent->minority_since = now;
            RackRequests_Fail(agent, GF_LEASE_LOST);
        }
        return;
    }
    uint64_t term = GfRack_Term(agent->rack);
    if (agent->term != term) {
        agent->term = term;
        agent->term_started = now;
        agent->lease_refused = false;
        agent->released_clean = false;
        agent->term_lease_sum = 0;
        GfMetrics_Add(GF_METRIC_TERMS, 1);
        GfLog(GF_LOG_INFO, PART, "term started rack=%s leases=%zu workers=%zu",
              agent->name.data, GfRack_HeldCount(agent->rack, now),
              GfRack_WorkerCount(agent->rack));
    }
    if (agent->term_lease_sum == 0 && GfRack_IsComplete(agent->rack, now)) {
        agent->term_lease_sum = sum_leases(agent);
    }
}

/* Hands the rack over: refuses queued and new work and, once no request is
 * running and no start waits for an answer, releases all leases. */
static void
release_rack(GfRackAgent *agent, struct timespec now)
{
    agent->handing_over = true;
    RackRequests_Fail(agent, GF_NO_OWNER);
    if (agent->running > 0 || agent->starts != NULL) {
        return;
    }
    if (GfRack_HeldCount(agent->rack, now) > 0) {
        agent->released_clean =
            GfRack_IsComplete(agent->rack, now) && agent->term != 0;
        agent->released_lease_sum = sum_leases(agent);
        GfLog(GF_LOG_INFO, PART, "releasing all leases rack=%s",
              agent->name.data);
        RackLeases_ReleaseAll(agent);
    }
}

/* Runs the periodic work of the rack: leases, term, allotments, draining,
 * limits and the request queue. wanted tells whether this entry should
 * schedule the rack; if not, the rack is handed over. */
void
GfRackAgent_Tick(GfRackAgent *agent, bool wanted)
{
    struct timespec now = RackAgent_Now(agent);
    agent->wanted = wanted;
    remove_gone_workers(agent, now);
    update_term(agent, now);
    if (!wanted) {
        if (GfRack_HeldCount(agent->rack, now) > 0) {
            release_rack(agent, now);
        }
        if (GfRack_HeldCount(agent->rack, now) > 0) {
            RackLeases_Call(agent, now);
        }
        return;
    }
    agent->handing_over = false;
    if (agent->term == 0) {
        release_minority(agent, now);
    }
    if (!GfTime_Before(now, agent->back_off_until)) {
        RackLeases_Call(agent, now);
    }
    RackAllot_Tick(agent);
    RackTasks_Drain(agent);
    RackTasks_EnforceLimits(agent);
    RackRequests_Tick(agent);
}

/* Records that a former holder released the rack's leases cleanly, with no
 * request running. lease_sum is the sum of the ids of those leases. */
void
GfRackAgent_NoteCleanRelease(GfRackAgent *agent, uint64_t lease_sum)
{
    agent->predecessor_lease_sum = lease_sum;
}

/* Tells whether the targets' slots are known to be free, because the leases of
 * this term follow directly on ones released with no request running. A
 * worker's next lease has the next id, so the sum then has risen by one per
 * worker. */
bool
RackAgent_IsCleanTakeover(const GfRackAgent *agent)
{
    return agent->predecessor_lease_sum > 0 && agent->term_lease_sum > 0 &&
           agent->term_lease_sum ==
               agent->predecessor_lease_sum + GfRack_WorkerCount(agent->rack);
}

/* Tells whether this entry holds a majority of the rack's leases now. */
bool
GfRackAgent_IsHeld(GfRackAgent *agent)
{
    return GfRack_InTerm(agent->rack, RackAgent_Now(agent));
}

/* Tells whether this entry still holds a lease of the rack or has a request
 * running there. */
bool
GfRackAgent_HoldsAny(GfRackAgent *agent)
{
    return GfRack_HeldCount(agent->rack, RackAgent_Now(agent)) > 0 ||
           agent->running > 0;
}

/* Tells whether this entry's last release of the rack's leases was clean: in a
 * term, with all inventories known and no request running. lease_sum gets the
 * sum of the ids of the leases at the last release, 0 before the first. */
bool
GfRackAgent_WasReleasedClean(const GfRackAgent *agent, uint64_t *lease_sum)
{
    *lease_sum = agent->released_lease_sum;
    return agent->released_clean;
}

/* Tells whether work may be started on the rack now. If not, why gets the
 * reason; otherwise it is unchanged. */
bool
RackAgent_MayStart(GfRackAgent *agent, GfErrorKind *why)
{
    struct timespec now = RackAgent_Now(agent);
    if (!GfRack_InTerm(agent->rack, now)) {
        *why = GF_LEASE_LOST;
        return false;
    }
    if (agent->handing_over) {
        *why = GF_NO_OWNER;
        return false;
    }
    if (!GfControl_IsConfirmed(agent->env->control, now)) {
        *why = GF_NOT_CONFIRMED;
        return false;
    }
    if (GfControl_DomainIsOut(agent->env->control, &agent->domain)) {
        *why = GF_NO_OWNER;
        return false;
    }
    return true;
}

/* Replaces a worker's resources by another's if that one has more millicores.
 */
static void
keep_larger(GfResourceVector *largest, const GfResourceVector *other)
{
    if (other->mcores > largest->mcores) {
        *largest = *other;
    }
}

/* Fills in the report about the rack that this entry gives to others. Free
 * capacity counts only live workers that are not excluded. */
void
GfRackAgent_View(GfRackAgent *agent, GfRackView *view)
{
    struct timespec now = RackAgent_Now(agent);
    GfErrorKind why = GF_OK;
    memset(view, 0, sizeof(*view));
    view->rack = agent->name;
    view->holder = agent->env->member;
    view->reported_at = now;
    view->open = RackAgent_MayStart(agent, &why);
    view->term = GfRack_Term(agent->rack);
    for (size_t i = 0; i < agent->worker_count; i++) {
        const RackWorker *w = agent->workers[i];
        GfResourceVector capacity = GfRack_Capacity(agent->rack, &w->name);
        if (w->state != GF_HOST_GONE) {
            keep_larger(&view->largest_capacity, &capacity);
        }
        if (w->state != GF_HOST_LIVE ||
            GfTime_Before(now, w->excluded_until)) {
            continue;
        }
        GfResourceVector available =
            GfRack_FreeCapacity(agent->rack, &w->name, now);
        view->free_mcores += available.mcores;
        keep_larger(&view->largest_free, &available);
    }
    RackRequests_View(agent, view);
}

/* Returns a team's use of the rack: millicores of running and starting tasks,
 * and slots taken by requests. */
GfQuota
GfRackAgent_TeamUse(GfRackAgent *agent, const GfName *team)
{
    return (GfQuota){.mcores = GfRack_KnownUse(agent->rack, team),
                     .requests = RackRequests_TeamLoad(agent, team)};
}
