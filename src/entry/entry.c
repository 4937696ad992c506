#include "guavaflow/entry.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "entry"
/* Period of the timer for work with short deadlines. */
#define TICK_MS 10
#define HEARTBEAT_MS 500
/* Period of the reads from the platform and the store. */
#define POLL_MS 1000
#define LOOP_LAG_WARNING_MS 300
/* A member that missed three heartbeats in a row is out of contact. */
#define CONTACT_MS 1600
/* A member is forgotten after this time without contact and without being
 * listed in the store. */
#define MEMBER_FORGET_MS 60000
/* A control state confirmed longer ago admits no new work. */
#define CONTROL_CONFIRM_MS 3000
/* The store counts as reachable for this time after its last reply. */
#define STORE_REACHABLE_MS 2500
/* A planned stop ends after this time, also with calls still open. */
#define STOP_LIMIT_MS 30000
/* Limits of the job tracker: failed runs of a task, and tasks that wait. */
#define MAX_TASK_FAILURES 3
#define MAX_WAITING_TASKS 500000
/* Tokens for retries of requests that a new entry starts with. */
#define INITIAL_RETRY_TOKENS 100.0
/* A rack without holder for this time is taken by another entry than the one
 * chosen by the hash. */
#define RACK_ABANDONED_MS 8000
/* How long an entry then keeps the rack before the choice is made anew. */
#define STAND_IN_MS 60000

/* Returns the current time of the entry's clock. */
struct timespec
Entry_Now(const GfEntry *entry)
{
    return GfClock_Now(entry->clock);
}

/* Returns a pseudo-random number from 1 to UINT32_MAX (xorshift, Marsaglia
 * 2003); not for secrets. */
uint32_t
Entry_Random(GfEntry *entry)
{
    uint32_t x = entry->random_state;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    entry->random_state = x;
    return x;
}

/* Returns whether the store has replied in the last STORE_REACHABLE_MS. */
bool
Entry_StoreIsReachable(const GfEntry *entry)
{
    return entry->store_contact.tv_sec != 0 &&
           GfTime_DiffMs(Entry_Now(entry), entry->store_contact) <
               STORE_REACHABLE_MS;
}

/* Returns the scheduler of a rack, or NULL if the host list has not named the
 * rack. It stays owned by the entry, and the rack need not be held here. */
GfRackAgent *
Entry_FindRack(const GfEntry *entry, const GfName *name)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        if (GfName_Equal(GfRackAgent_Name(entry->racks[i]), name)) {
            return entry->racks[i];
        }
    }
    return NULL;
}

/* Returns whether a member's name is that of this entry. */
bool
Entry_IsSelf(const GfEntry *entry, const GfName *member)
{
    return GfName_Equal(&entry->member, member);
}

/* Creates the scheduler of a rack when the host list first names it. The
 * arrays of racks grow together. */
static GfRackAgent *
add_rack(GfEntry *entry, const GfHost *host)
{
    size_t bytes = (entry->rack_count + 1) * sizeof(*entry->racks);
    GfRackAgent **grown = realloc(entry->racks, bytes);
    if (grown == NULL) {
        abort();
    }
    entry->racks = grown;
    bytes = (entry->rack_count + 1) * sizeof(*entry->stand_in_until);
    struct timespec *stand_in_until = realloc(entry->stand_in_until, bytes);
    if (stand_in_until == NULL) {
        abort();
    }
    entry->stand_in_until = stand_in_until;
    stand_in_until[entry->rack_count] = (struct timespec){0};
    bool *should_hold = realloc(entry->should_hold, (entry->rack_count + 1) *
                                                        sizeof(*should_hold));
    if (should_hold == NULL) {
        abort();
    }
    entry->should_hold = should_hold;
    should_hold[entry->rack_count] = false;
    GfRackAgent *agent =
        GfRackAgent_Create(&entry->rack_env, &host->rack, &host->domain);
    entry->racks[entry->rack_count++] = agent;
    return agent;
}

/* Applies the platform's host list: creates the schedulers of new racks and
 * passes hosts to them. Targets come second, as a rack exists once a worker of
 * it is known. */
static void
on_hosts(void *ctx, GfErrorKind kind, const GfHost *hosts, size_t count)
{
    GfEntry *entry = ctx;
    if (kind != GF_OK) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const GfHost *host = &hosts[i];
        if (host->kind != GF_HOST_WORKER || host->rack.len == 0) {
            continue;
        }
        GfRackAgent *agent = Entry_FindRack(entry, &host->rack);
        if (agent == NULL) {
            agent = add_rack(entry, host);
        }
        GfFleet_AddRack(entry->fleet, &host->rack, &host->domain);
        GfRackAgent_SetHost(agent, host);
    }
    for (size_t i = 0; i < count; i++) {
        GfRackAgent *agent = Entry_FindRack(entry, &hosts[i].rack);
        if (hosts[i].kind == GF_HOST_TARGET && agent != NULL) {
            GfRackAgent_SetHost(agent, &hosts[i]);
        }
    }
}

/* Returns whether a rack has been without holder for so long that the entry
 * chosen by the hash seems unable to take it. The limit is one to four times
 * RACK_ABANDONED_MS, by a hash of the rack and the entry, so that not all
 * entries try to take the rack at once. An entry that started less than
 * RACK_ABANDONED_MS ago takes no rack this way. */
static bool
is_abandoned(const GfEntry *entry, const GfName *rack, struct timespec now)
{
    const GfRackView *view = GfFleet_Find(entry->fleet, rack);
    if (view == NULL || view->open ||
        GfTime_DiffMs(now, entry->started_at) < RACK_ABANDONED_MS) {
        return false;
    }
    uint64_t seed = GfName_Hash(rack, 1);
    int64_t turn = (int64_t)(GfName_Hash(&entry->member, seed) % 4);
    return GfTime_DiffMs(now, view->reported_at) >
           RACK_ABANDONED_MS * (1 + turn);
}

/* Returns whether this entry should schedule a rack: rendezvous hashing
 * chooses it among the members in contact, or it stands in for the chosen
 * entry, which has left the rack without holder. */
static bool
should_hold_rack(GfEntry *entry, size_t index, struct timespec now)
{
    GfName owner;
    const GfName *rack = GfRackAgent_Name(entry->racks[index]);
    if (entry->stopping ||
        !GfMembers_Owner(entry->members, rack, now, &owner)) {
        return false;
    }
    if (Entry_IsSelf(entry, &owner)) {
        return true;
    }
    if (is_abandoned(entry, rack, now)) {
        entry->stand_in_until[index] = GfTime_AddMs(now, STAND_IN_MS);
    }
    return GfTime_Before(now, entry->stand_in_until[index]);
}

/* Updates this entry's view of the fleet with the racks it holds, those it
 * just lost, and what each team uses on them. Heartbeats are made from this
 * view. */
static void
publish_own_views(GfEntry *entry)
{
    GfRackView view;
    size_t held = 0;
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent *agent = entry->racks[i];
        if (!GfRackAgent_IsHeld(agent)) {
            const GfRackView *v =
                GfFleet_Find(entry->fleet, GfRackAgent_Name(agent));
            if (v == NULL || !v->open || !Entry_IsSelf(entry, &v->holder)) {
                continue;
            }
        }
        held++;
        GfRackAgent_View(agent, &view);
        GfFleet_Update(entry->fleet, &view);
    }
    GfMetrics_Set(GF_METRIC_RACKS_HELD, held);
    const GfBundle *bundle = GfControl_Bundle(entry->control);
    for (size_t t = 0; bundle != NULL && t < GfBundle_TeamCount(bundle); t++) {
        const GfName *team = &GfBundle_TeamAt(bundle, t)->name;
        GfQuota sum = {0};
        for (size_t i = 0; i < entry->rack_count; i++) {
            if (!GfRackAgent_IsHeld(entry->racks[i])) {
                continue;
            }
            GfQuota use = GfRackAgent_TeamUse(entry->racks[i], team);
            sum.mcores += use.mcores;
            sum.requests += use.requests;
        }
        GfFleet_SetUse(entry->fleet, &entry->member, team, sum,
                       GfJobTracker_CountWaiting(entry->job_tracker, team));
    }
}

/* Returns whether a stopping entry has handed over its racks and partitions
 * and has no call open. */
static bool
is_drained(GfEntry *entry)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        if (GfRackAgent_HoldsAny(entry->racks[i])) {
            return false;
        }
    }
    return EntryPartitions_AreReleased(entry) && entry->open_calls == 0 &&
           GfServer_OpenExchanges(entry->server) == 0;
}

/* Advances a planned stop. For drain_ms the entry goes on accepting, so that
 * load balancers can notice that it is leaving. Then it accepts no new
 * connections, and the event loop ends once nothing is open or STOP_LIMIT_MS
 * has passed. */
static void
advance_stop(GfEntry *entry, struct timespec now)
{
    int64_t passed = GfTime_DiffMs(now, entry->stop_began_at);
    if (passed < entry->settings->front.drain_ms) {
        return;
    }
    GfServer_StopAccepting(entry->server);
    if (is_drained(entry) || passed > STOP_LIMIT_MS) {
        GfLog(GF_LOG_INFO, PART, "stopping the event loop open_calls=%d",
              GfServer_OpenExchanges(entry->server));
        EntryPeers_SendHeartbeats(entry);
        struct timeval grace = GfTime_ToTimeval(100);
        event_base_loopexit(entry->base, &grace);
        event_del(entry->tick_timer);
    }
}

/* Measures by how much a tick was late, and warns if the event loop was
 * blocked, because the process was paused or a callback took too long. */
static void
measure_loop_lag(GfEntry *entry, struct timespec now)
{
    int64_t lag = GfTime_DiffMs(now, entry->last_tick) - TICK_MS;
    if (entry->last_tick.tv_sec != 0 && lag > LOOP_LAG_WARNING_MS) {
        GfLog(GF_LOG_WARNING, PART, "event loop delayed lag_ms=%lld",
              (long long)lag);
    }
    if (entry->last_tick.tv_sec != 0 && lag > 0 &&
        (uint64_t)lag > GfMetrics_Get(GF_METRIC_LOOP_LAG_MAX_MS)) {
        GfMetrics_Set(GF_METRIC_LOOP_LAG_MAX_MS, (uint64_t)lag);
    }
    entry->last_tick = now;
}

/* Advances everything with short deadlines: racks, partitions, jobs and a
 * planned stop. */
static void
on_tick_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry *entry = arg;
    struct timespec now = Entry_Now(entry);
    measure_loop_lag(entry, now);
    for (size_t i = 0; i < entry->rack_count; i++) {
        if (entry->should_hold[i] || GfRackAgent_HoldsAny(entry->racks[i])) {
            GfRackAgent_Tick(entry->racks[i], entry->should_hold[i]);
        }
    }
    publish_own_views(entry);
    EntryPartitions_Tick(entry);
    GfJobTracker_Tick(entry->job_tracker);
    if (entry->stopping) {
        advance_stop(entry, now);
    }
}

/* Recomputes which racks this entry should schedule. */
static void
update_racks_to_hold(GfEntry *entry)
{
    struct timespec now = Entry_Now(entry);
    for (size_t i = 0; i < entry->rack_count; i++) {
        entry->should_hold[i] = should_hold_rack(entry, i, now);
    }
}

/* Closes the racks of members out of contact, recomputes which racks to hold,
 * and sends heartbeats, completions of tasks and inventory queries. */
static void
on_heartbeat_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry *entry = arg;
    struct timespec now = Entry_Now(entry);
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        const GfMember *m = GfMembers_At(entry->members, i);
        if (!GfMembers_InContact(entry->members, m, now)) {
            GfFleet_DropHolder(entry->fleet, &m->name);
            GfFleet_ClearUse(entry->fleet, &m->name);
        }
    }
    update_racks_to_hold(entry);
    EntryPeers_SendHeartbeats(entry);
    EntryJobs_ReportCompletions(entry);
    EntryJobs_LocateTasks(entry);
}

/* Updates the gauges of the metrics. Services that run fewer tasks than wanted
 * are logged when their number changes. */
static void
update_gauges(GfEntry *entry, struct timespec now)
{
    size_t contact = 0;
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        contact += GfMembers_InContact(entry->members,
                                       GfMembers_At(entry->members, i), now);
    }
    size_t below = GfJobTracker_CountIncompleteServices(entry->job_tracker);
    if (below > 0 && below != GfMetrics_Get(GF_METRIC_SERVICES_BELOW_COUNT)) {
        GfLog(GF_LOG_WARNING, PART,
              "services below their wanted task count services=%zu", below);
    }
    GfMetrics_Set(GF_METRIC_MEMBERS_IN_CONTACT, contact);
    GfMetrics_Set(GF_METRIC_STORE_UNREACHABLE, !Entry_StoreIsReachable(entry));
    GfMetrics_Set(GF_METRIC_CONTROL_VERSION,
                  GfControl_Version(entry->control));
    GfMetrics_Set(GF_METRIC_CONTROL_CONFIRMED,
                  GfControl_IsConfirmed(entry->control, now));
    GfMetrics_Set(GF_METRIC_RACKS_WITHOUT_HOLDER,
                  GfFleet_CountWithoutHolder(entry->fleet));
    GfMetrics_Set(GF_METRIC_TASKS_WAITING,
                  GfJobTracker_CountState(entry->job_tracker, GF_JOB_WAITING));
    GfMetrics_Set(GF_METRIC_TASKS_RUNNING,
                  GfJobTracker_CountState(entry->job_tracker, GF_JOB_RUNNING));
    GfMetrics_Set(GF_METRIC_SERVICES_BELOW_COUNT, below);
}

/* Reads the host list from the platform, and the control state and the
 * partitions from the store. */
static void
on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry *entry = arg;
    struct timespec now = Entry_Now(entry);
    GfHosts_Poll(entry->hosts);
    EntryControl_Poll(entry);
    EntryPartitions_Poll(entry);
    GfMembers_RemoveExpired(entry->members, now);
    update_gauges(entry, now);
}

/* Starts a timer that fires every ms milliseconds. The caller frees it. */
static struct event *
start_timer(GfEntry *entry, int ms, event_callback_fn callback)
{
    struct event *timer =
        event_new(entry->base, -1, EV_PERSIST, callback, entry);
    struct timeval tv = GfTime_ToTimeval(ms);
    event_add(timer, &tv);
    return timer;
}

/* Creates the modules that do no I/O of their own. */
static void
create_state(GfEntry *entry)
{
    GfMemberConfig members = {.contact_ms = CONTACT_MS,
                              .forget_ms = MEMBER_FORGET_MS};
    entry->members = GfMembers_Create(&entry->member, &members);
    entry->control = GfControl_Create(CONTROL_CONFIRM_MS);
    entry->fleet = GfFleet_Create(entry->random_state);
    GfJobTrackerConfig jobs = {.partitions = entry->settings->partitions,
                               .max_failures = MAX_TASK_FAILURES,
                               .max_waiting = MAX_WAITING_TASKS};
    entry->job_tracker =
        GfJobTracker_Create(&jobs, entry->fleet, entry->control, entry->clock,
                            &ENTRY_JOB_TRACKER_OPS, entry);
}

/* Creates the clients of the platform and the modules that use them. Terms of
 * racks are numbered from the random incarnation, its low 16 bits cleared, so
 * that two processes do not use the same numbers. */
static void
create_platform_clients(GfEntry *entry)
{
    const GfEndpoint *platform = &entry->settings->platform;
    entry->http = GfHttp_Create(entry->base);
    entry->store = GfHttpStore_Create(entry->http, platform->address,
                                      (uint16_t)platform->port);
    entry->hosts = GfHosts_Create(entry->http, platform->address,
                                  (uint16_t)platform->port, on_hosts, entry);
    entry->rack_env =
        (GfRackEnv){.base = entry->base,
                    .clock = entry->clock,
                    .http = entry->http,
                    .store = entry->store,
                    .control = entry->control,
                    .settings = entry->settings,
                    .holder = GfName_Format("%s/%08x", entry->member.data,
                                            (uint32_t)entry->incarnation),
                    .member = entry->member,
                    .first_term = entry->incarnation & 0xffffffffffff0000u,
                    .rack_count = &entry->rack_count};
    EntryPeers_Create(entry);
    EntryPartitions_Create(entry);
}

/* Opens the listening sockets for callers and for peers. Returns false and
 * sets the error if one cannot be opened. */
static bool
open_sockets(GfEntry *entry, GfError *error)
{
    const GfSettings *s = entry->settings;
    entry->server = GfServer_Create(
        entry->base, s->caller.address, (uint16_t)s->caller.port,
        s->front.max_body_bytes, EntryFront_Handle, entry, error);
    if (entry->server == NULL) {
        return false;
    }
    GfServer_SetLimits(
        entry->server,
        &(GfServerLimits){.max_connections = s->front.max_connections,
                          .max_held_bytes = s->front.max_held_bytes});
    entry->rpc = GfRpcServer_Create(entry->base, s->peer.address,
                                    (uint16_t)s->peer.port,
                                    &ENTRY_PEER_PROGRAM, entry, error);
    return entry->rpc != NULL;
}

/* Creates an entry, opens its sockets and starts its timers. base, settings
 * and clock are borrowed and must outlive it. Returns NULL and sets the error
 * if a socket cannot be opened. The caller frees the entry with
 * GfEntry_Destroy. */
GfEntry *
GfEntry_Create(struct event_base *base, const GfSettings *settings,
               const GfClock *clock, GfError *error)
{
    assert(base != NULL && settings != NULL && clock != NULL);
    GfEntry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    entry->base = base;
    entry->settings = settings;
    entry->clock = clock;
    GfName_SetText(&entry->member, settings->member);
    randombytes_buf(&entry->incarnation, sizeof(entry->incarnation));
    randombytes_buf(&entry->random_state, sizeof(entry->random_state));
    entry->incarnation >>= 2;
    entry->random_state |= 1;
    entry->retry_tokens = INITIAL_RETRY_TOKENS;
    entry->started_at = Entry_Now(entry);
    create_state(entry);
    create_platform_clients(entry);
    if (!open_sockets(entry, error)) {
        GfEntry_Destroy(entry);
        return NULL;
    }
    entry->tick_timer = start_timer(entry, TICK_MS, on_tick_timer);
    entry->heartbeat_timer =
        start_timer(entry, HEARTBEAT_MS, on_heartbeat_timer);
    entry->poll_timer = start_timer(entry, POLL_MS, on_poll_timer);
    on_poll_timer(-1, 0, entry);
    GfLog(GF_LOG_INFO, PART, "entry listening for callers port=%u",
          settings->caller.port);
    return entry;
}

/* Starts a planned stop; repeated calls have no effect. Racks and partitions
 * are handed over to other entries, and calls in progress are completed. The
 * event loop ends when this is done, after STOP_LIMIT_MS at the latest. */
void
GfEntry_Stop(GfEntry *entry)
{
    if (entry->stopping) {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "planned stop of the entry started");
    entry->stopping = true;
    entry->stop_began_at = Entry_Now(entry);
    GfMembers_SetSelfLeaving(entry->members);
    update_racks_to_hold(entry);
    EntryPeers_SendHeartbeats(entry);
}

/* Frees a timer; NULL is allowed. */
static void
free_timer(struct event *timer)
{
    if (timer != NULL) {
        event_free(timer);
    }
}

/* Frees the entry and closes its connections; NULL is allowed. Calls still in
 * progress get no answer. Servers and clients are freed before the modules
 * that their callbacks use. */
void
GfEntry_Destroy(GfEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    free_timer(entry->tick_timer);
    free_timer(entry->heartbeat_timer);
    free_timer(entry->poll_timer);
    GfServer_Destroy(entry->server);
    GfRpcServer_Destroy(entry->rpc);
    EntryPeers_Destroy(entry);
    GfHttp_Destroy(entry->http);
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_Destroy(entry->racks[i]);
    }
    free(entry->racks);
    free(entry->stand_in_until);
    free(entry->should_hold);
    EntryIdem_Destroy(entry);
    EntryPartitions_Destroy(entry);
    GfJobTracker_Destroy(entry->job_tracker);
    GfHosts_Destroy(entry->hosts);
    GfStore_Destroy(entry->store);
    GfFleet_Destroy(entry->fleet);
    GfMembers_Destroy(entry->members);
    GfControl_Destroy(entry->control);
    free(entry->member_rows);
    free(entry);
}
