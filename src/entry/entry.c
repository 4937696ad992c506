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
#define FAST_MS 10
#define BEAT_MS 500
#define SLOW_MS 1000
#define LAG_WARN_MS 300
#define CONTACT_MS 1600
#define FORGET_MS 60000
#define CONTROL_CONFIRM_MS 3000
#define STORE_HEARD_MS 2500
#define STOP_LIMIT_MS 30000
#define MAX_FAILURES 3
#define MAX_WAITING 500000
#define RETRY_TOKENS 100.0
#define ABANDONED_MS 8000
#define STAND_IN_MS 60000

/* Returns the time of the entry's clock. */
struct timespec
Entry_Now(const GfEntry *entry)
{
    return GfClock_Now(entry->clock);
}

/* Returns the next pseudo-random number (xorshift, Marsaglia 2003). */
uint32_t
Entry_Random(GfEntry *entry)
{
    uint32_t x = entry->random;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    entry->random = x;
    return x;
}

/* Tells whether the store answered a short while ago. */
bool
Entry_HasStore(const GfEntry *entry)
{
    return entry->store_heard.tv_sec != 0 &&
           GfTime_DiffMs(Entry_Now(entry), entry->store_heard) <
               STORE_HEARD_MS;
}

/* Finds the scheduler of a rack, or NULL. */
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

/* Tells whether a member's name is this entry's. */
bool
Entry_IsSelf(const GfEntry *entry, const GfName *member)
{
    return GfName_Equal(&entry->member, member);
}

/* Adds the scheduler of a rack that the host list names. */
static GfRackAgent *
add_rack(GfEntry *entry, const GfHost *host)
{
    size_t bytes = (entry->rack_count + 1) * sizeof(*entry->racks);
    GfRackAgent **grown = realloc(entry->racks, bytes);
    if (grown == NULL) {
        abort();
    }
    entry->racks = grown;
    bytes = (entry->rack_count + 1) * sizeof(*entry->keep_until);
    struct timespec *keep = realloc(entry->keep_until, bytes);
    if (keep == NULL) {
        abort();
    }
    entry->keep_until = keep;
    keep[entry->rack_count] = (struct timespec){0};
    bool *wanted =
        realloc(entry->wanted, (entry->rack_count + 1) * sizeof(*wanted));
    if (wanted == NULL) {
        abort();
    }
    entry->wanted = wanted;
    wanted[entry->rack_count] = false;
    GfRackAgent *agent =
        GfRackAgent_Create(&entry->rack_env, &host->rack, &host->domain);
    entry->racks[entry->rack_count++] = agent;
    return agent;
}

/* Takes the platform's host list. A rack begins with its first worker. */
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

/* Tells whether a rack has been without holder for so long that the entry
 * named by the hash seems unable to take it. Entries wait for different times,
 * so that one of them comes first. */
static bool
is_abandoned(const GfEntry *entry, const GfName *rack, struct timespec now)
{
    const GfRackView *view = GfFleet_Find(entry->fleet, rack);
    if (view == NULL || view->open ||
        GfTime_DiffMs(now, entry->started) < ABANDONED_MS) {
        return false;
    }
    uint64_t seed = GfName_Hash(rack, 1);
    int64_t turn = (int64_t)(GfName_Hash(&entry->member, seed) % 4);
    return GfTime_DiffMs(now, view->stated_at) > ABANDONED_MS * (1 + turn);
}

/* Tells whether this entry should schedule a rack: it is the one that the
 * hash names, or it stands in for that one for a while. */
static bool
wants_rack(GfEntry *entry, size_t index, struct timespec now)
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
        entry->keep_until[index] = GfTime_AddMs(now, STAND_IN_MS);
    }
    return GfTime_Before(now, entry->keep_until[index]);
}

/* States this entry's racks in its own view of the fleet. */
static void
update_own_views(GfEntry *entry)
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

/* Tells whether everything that this entry held has been handed over. */
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

/* Moves a planned stop on: first the balancer is given time to notice, then
 * no new callers are taken, and the loop ends once nothing is open. */
static void
tick_stop(GfEntry *entry, struct timespec now)
{
    int64_t passed = GfTime_DiffMs(now, entry->stop_began);
    if (passed < entry->settings->front.drain_ms) {
        return;
    }
    GfServer_StopAccepting(entry->server);
    if (is_drained(entry) || passed > STOP_LIMIT_MS) {
        GfLog(GF_LOG_INFO, PART, "The entry has stopped with %d calls open.",
              GfServer_OpenExchanges(entry->server));
        EntryPeers_SendBeats(entry);
        struct timeval grace = GfTime_ToTimeval(100);
        event_base_loopexit(entry->base, &grace);
        event_del(entry->fast_timer);
    }
}

/* Notes when the loop was held up: by a pause of the process, or by work that
 * takes too long on it. */
static void
watch_lag(GfEntry *entry, struct timespec now)
{
    int64_t lag = GfTime_DiffMs(now, entry->last_fast) - FAST_MS;
    if (entry->last_fast.tv_sec != 0 && lag > LAG_WARN_MS) {
        GfLog(GF_LOG_WARNING, PART, "The loop was held up for %lld ms.",
              (long long)lag);
    }
    if (entry->last_fast.tv_sec != 0 && lag > 0 &&
        (uint64_t)lag > GfMetrics_Get(GF_METRIC_LOOP_LAG_MAX_MS)) {
        GfMetrics_Set(GF_METRIC_LOOP_LAG_MAX_MS, (uint64_t)lag);
    }
    entry->last_fast = now;
}

/* Moves everything on that has short deadlines. */
static void
on_fast(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry *entry = arg;
    struct timespec now = Entry_Now(entry);
    watch_lag(entry, now);
    for (size_t i = 0; i < entry->rack_count; i++) {
        if (entry->wanted[i] || GfRackAgent_HoldsAny(entry->racks[i])) {
            GfRackAgent_Tick(entry->racks[i], entry->wanted[i]);
        }
    }
    update_own_views(entry);
    EntryPartitions_Tick(entry);
    GfJobTracker_Tick(entry->job_tracker);
    if (entry->stopping) {
        tick_stop(entry, now);
    }
}

/* Looks which racks this entry should schedule. */
static void
update_wanted(GfEntry *entry)
{
    struct timespec now = Entry_Now(entry);
    for (size_t i = 0; i < entry->rack_count; i++) {
        entry->wanted[i] = wants_rack(entry, i, now);
    }
}

/* Sends heartbeats and what travels with them. */
static void
on_beat(evutil_socket_t fd, short what, void *arg)
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
    update_wanted(entry);
    EntryPeers_SendBeats(entry);
    EntryJobs_SendEvents(entry);
    EntryJobs_Find(entry);
}

/* Sets the gauges that operators watch. */
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
              "%zu services run fewer tasks than wanted.", below);
    }
    GfMetrics_Set(GF_METRIC_MEMBERS_IN_CONTACT, contact);
    GfMetrics_Set(GF_METRIC_STORE_UNREACHABLE, !Entry_HasStore(entry));
    GfMetrics_Set(GF_METRIC_CONTROL_VERSION,
                  GfControl_Version(entry->control));
    GfMetrics_Set(GF_METRIC_CONTROL_CONFIRMED,
                  GfControl_IsConfirmed(entry->control, now));
    GfMetrics_Set(GF_METRIC_RACKS_WITHOUT_HOLDER,
                  GfFleet_WithoutHolder(entry->fleet));
    GfMetrics_Set(GF_METRIC_TASKS_WAITING,
                  GfJobTracker_CountState(entry->job_tracker, GF_JOB_WAITING));
    GfMetrics_Set(GF_METRIC_TASKS_RUNNING,
                  GfJobTracker_CountState(entry->job_tracker, GF_JOB_RUNNING));
    GfMetrics_Set(GF_METRIC_SERVICES_BELOW_COUNT, below);
}

/* Reads what lives in the platform's service. */
static void
on_slow(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry *entry = arg;
    struct timespec now = Entry_Now(entry);
    GfHosts_Poll(entry->hosts);
    EntryControl_Poll(entry);
    EntryPartitions_Poll(entry);
    GfMembers_Forget(entry->members, now);
    update_gauges(entry, now);
}

/* Starts a timer that repeats. */
static struct event *
start_timer(GfEntry *entry, int ms, event_callback_fn callback)
{
    struct event *timer =
        event_new(entry->base, -1, EV_PERSIST, callback, entry);
    struct timeval tv = GfTime_ToTimeval(ms);
    event_add(timer, &tv);
    return timer;
}

/* Creates the parts that do no I/O of their own. */
static void
create_state(GfEntry *entry)
{
    GfMemberConfig members = {.contact_ms = CONTACT_MS,
                              .forget_ms = FORGET_MS};
    entry->members = GfMembers_Create(&entry->member, &members);
    entry->control = GfControl_Create(CONTROL_CONFIRM_MS);
    entry->fleet = GfFleet_Create(entry->random);
    GfJobTrackerConfig keeper = {.partitions = entry->settings->partitions,
                                 .max_failures = MAX_FAILURES,
                                 .max_waiting = MAX_WAITING};
    entry->job_tracker =
        GfJobTracker_Create(&keeper, entry->fleet, entry->control,
                            entry->clock, &ENTRY_JOB_TRACKER_OPS, entry);
}

/* Creates the connections to the platform and what runs over them. */
static void
create_platform(GfEntry *entry)
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

/* Opens the listening sockets. */
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
    entry->rpc = GfRpcServer_Create(entry->base, s->peer.address,
                                    (uint16_t)s->peer.port,
                                    &ENTRY_PEER_PROGRAM, entry, error);
    return entry->rpc != NULL;
}

/* Creates an entry and opens its sockets. On failure the error tells why and
 * NULL is returned. */
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
    randombytes_buf(&entry->random, sizeof(entry->random));
    entry->incarnation >>= 2;
    entry->random |= 1;
    entry->retry_tokens = RETRY_TOKENS;
    entry->started = Entry_Now(entry);
    create_state(entry);
    create_platform(entry);
    if (!open_sockets(entry, error)) {
        GfEntry_Destroy(entry);
        return NULL;
    }
    entry->fast_timer = start_timer(entry, FAST_MS, on_fast);
    entry->beat_timer = start_timer(entry, BEAT_MS, on_beat);
    entry->slow_timer = start_timer(entry, SLOW_MS, on_slow);
    on_slow(-1, 0, entry);
    GfLog(GF_LOG_INFO, PART, "The entry serves callers on port %u.",
          settings->caller.port);
    return entry;
}

/* Begins a planned stop: work is handed over and nothing in flight is cut.
 * The loop ends when that is done. */
void
GfEntry_Stop(GfEntry *entry)
{
    if (entry->stopping) {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "A planned stop begins.");
    entry->stopping = true;
    entry->stop_began = Entry_Now(entry);
    GfMembers_SetSelfLeaving(entry->members);
    update_wanted(entry);
    EntryPeers_SendBeats(entry);
}

/* Frees a timer. */
static void
free_timer(struct event *timer)
{
    if (timer != NULL) {
        event_free(timer);
    }
}

/* Frees the entry with all its connections. */
void
GfEntry_Destroy(GfEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    free_timer(entry->fast_timer);
    free_timer(entry->beat_timer);
    free_timer(entry->slow_timer);
    GfServer_Destroy(entry->server);
    GfRpcServer_Destroy(entry->rpc);
    EntryPeers_Destroy(entry);
    GfHttp_Destroy(entry->http);
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_Destroy(entry->racks[i]);
    }
    free(entry->racks);
    free(entry->keep_until);
    free(entry->wanted);
    EntryIdem_Destroy(entry);
    EntryPartitions_Destroy(entry);
    GfJobTracker_Destroy(entry->job_tracker);
    GfHosts_Destroy(entry->hosts);
    GfStore_Destroy(entry->store);
    GfFleet_Destroy(entry->fleet);
    GfMembers_Destroy(entry->members);
    GfControl_Destroy(entry->control);
    free(entry->rows);
    free(entry);
}
