#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "rack_agent_private.h"

#define PART "limits"
/* Pause after a failed store operation. */
#define RETRY_MS 500
/* Pause after a completed store operation. */
#define TRANSFER_INTERVAL_MS 250
/* While the pool has something left, a rack keeps this many times the use of a
 * team, so that a burst of work finds allotment on the rack. */
#define RESERVE_FACTOR 2
/* Interval at which a rack gives surplus back to the pool; surplus is measured
 * against the highest use of the interval. */
#define RETURN_INTERVAL_MS 2000
#define POOL_KEY "allot-pool"

/* Creates the rack's empty allotments. RackAllot_Clear frees them. */
void
RackAllot_Init(GfRackAgent *agent)
{
    agent->allot.usable = GfAllotments_Create();
    agent->allot.pool = GfAllotments_Create();
}

/* Removes the demand of all teams. */
static void
clear_demands(RackAllot *allot)
{
    RackDemand *d;
    RackDemand *tmp;
    HASH_ITER(hh, allot->demand, d, tmp)
    {
        HASH_DEL(allot->demand, d);
        free(d);
    }
}

/* Frees the rack's allotments and demand. */
void
RackAllot_Clear(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    clear_demands(a);
    GfAllotments_Destroy(a->usable);
    GfAllotments_Destroy(a->pool);
    GfAllotments_Destroy(a->planned);
}

/* Finds the demand record of a team, or adds an empty one. */
static RackDemand *
get_demand(RackAllot *allot, const GfName *team)
{
    RackDemand *d;
    HASH_FIND(hh, allot->demand, team, sizeof(*team), d);
    if (d == NULL) {
        d = calloc(1, sizeof(*d));
        if (d == NULL) {
            abort();
        }
        d->team = *team;
        HASH_ADD(hh, allot->demand, team, sizeof(d->team), d);
    }
    return d;
}

/* Returns the key of the rack's row in the store. */
static GfName
row_key(const GfRackAgent *agent)
{
    return GfName_Format("allot/%s", agent->name.data);
}

/* Returns by how much a use together with a further need exceeds what is
 * available. */
static uint64_t
shortfall(uint64_t use, uint64_t need, uint64_t have)
{
    return use + need > have ? use + need - have : 0;
}

/* Tells whether a team may start something of the given size within the rack's
 * allotment; nothing may start before the term's allotments are known. What
 * exceeds the allotment is added to the team's demand, so that the allotment
 * can grow from the pool; queued requests ask again on every tick, so their
 * demand is bounded by the queue length. If the store was unreachable since
 * the takeover, the allotments cover only what was found running. */
bool
RackAllot_Admits(GfRackAgent *agent, const GfName *team, GfQuota need)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (a->term != GfRack_Term(agent->rack)) {
        return false;
    }
    GfQuota have = GfAllotments_Get(a->usable, team, agent->env->control);
    GfQuota use = {.mcores = GfRack_TeamUse(agent->rack, team, now),
                   .requests = RackRequests_TeamLoad(agent, team)};
    RackDemand *d = get_demand(a, team);
    uint64_t mcores =
        need.mcores > 0 ? shortfall(use.mcores, need.mcores, have.mcores) : 0;
    uint64_t requests =
        need.requests > 0
            ? shortfall(use.requests, need.requests, have.requests)
            : 0;
    if (mcores == 0 && requests == 0) {
        uint64_t top = use.mcores + need.mcores;
        d->peak.mcores = top > d->peak.mcores ? top : d->peak.mcores;
        top = use.requests + need.requests;
        d->peak.requests = top > d->peak.requests ? top : d->peak.requests;
        return true;
    }
    if (mcores > 0) {
        d->wanted_amount.mcores += need.mcores;
        d->min_amount.mcores = mcores;
    }
    if (requests > 0 && d->wanted_amount.requests <= agent->queued) {
        d->wanted_amount.requests += need.requests;
        d->min_amount.requests = requests;
    }
    return false;
}

/* Tells whether the allotments are the stored ones, claimed in the running
 * term. */
bool
RackAllot_IsKnown(const GfRackAgent *agent)
{
    return agent->allot.term == GfRack_Term(agent->rack) &&
           !agent->allot.from_inventory;
}

/* Returns by how many millicores the running tasks of a team exceed the rack's
 * allotment. Only a lowered team limit causes an excess. */
uint64_t
RackAllot_Excess(GfRackAgent *agent, const GfName *team)
{
    GfQuota have =
        GfAllotments_Get(agent->allot.usable, team, agent->env->control);
    uint64_t use = GfRack_KnownUse(agent->rack, team);
    return use > have.mcores ? use - have.mcores : 0;
}

/* Sets each team's allotment to what it is found running, until the rack's row
 * can be read. Does nothing if this term has allotments already. */
static void
limit_to_running(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    const GfBundle *bundle = GfControl_Bundle(agent->env->control);
    uint64_t term = GfRack_Term(agent->rack);
    if (a->term == term || bundle == NULL ||
        !GfRack_InTerm(agent->rack, now)) {
        return;
    }
    a->from_inventory = true;
    a->term = term;
    GfAllotments_Clear(a->usable);
    for (size_t i = 0; i < GfBundle_TeamCount(bundle); i++) {
        const GfTeam *team = GfBundle_TeamAt(bundle, i);
        GfQuota found = {.mcores = GfRack_KnownUse(agent->rack, &team->name)};
        GfAllotments_Set(a->usable, &team->name, found,
                         GfControl_Version(agent->env->control));
    }
    GfLog(GF_LOG_WARNING, PART,
          "store unavailable, allotments limited to the running tasks rack=%s",
          agent->name.data);
}

/* Discards a failed operation; after RETRY_MS the next one reads the row
 * again. */
static void
schedule_retry(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    GfAllotments_Destroy(a->planned);
    a->planned = NULL;
    a->state = ALLOT_UNREAD;
    a->next_try = GfTime_AddMs(RackAgent_Now(agent), RETRY_MS);
}

/* Handles the outcome of the transaction that claims the rack's row or
 * transfers amounts. If it was committed in the running term, the new
 * allotments are in force; otherwise the row is read again. */
static void
on_commit(void *arg, const GfTxnOutcome *outcome)
{
    GfRackAgent *agent = arg;
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (outcome->state != GF_TXN_COMMITTED ||
        !GfRack_InTerm(agent->rack, now) ||
        a->operation_term != GfRack_Term(agent->rack)) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES,
                      outcome->state != GF_TXN_CONFLICT &&
                          outcome->state != GF_TXN_COMMITTED);
        schedule_retry(agent);
        return;
    }
    bool claimed = a->state == ALLOT_CLAIMING;
    GfAllotments_Destroy(a->usable);
    a->usable = a->planned;
    a->planned = NULL;
    a->row_version = outcome->version;
    if (claimed) {
        a->term = GfRack_Term(agent->rack);
        a->from_inventory = false;
    }
    a->state = ALLOT_READY;
    a->next_try = GfTime_AddMs(now, TRANSFER_INTERVAL_MS);
}

/* Commits the planned allotments as the rack's row, provided that the row is
 * unchanged in the store; with_pool adds the pool under the same condition. */
static void
commit_row(GfRackAgent *agent, bool with_pool)
{
    RackAllot *a = &agent->allot;
    GfTxn *txn = GfTxn_Create();
    GfName key = row_key(agent);
    GfTxn_Check(txn, &key, a->row_version);
    json_t *row = GfAllotments_Save(a->planned);
    json_object_set_new(row, "holder", json_string(agent->env->holder.data));
    GfTxn_Put(txn, &key, row);
    if (with_pool) {
        GfName pool = GfName_Format("%s", POOL_KEY);
        GfTxn_Check(txn, &pool, a->pool_version);
        GfTxn_Put(txn, &pool, GfAllotments_Save(a->pool));
    }
    GfMetrics_Add(GF_METRIC_STORE_COMMITS, 1);
    GfStore_Commit(agent->env->store, txn, on_commit, agent);
    GfTxn_Destroy(txn);
}

/* Claims the rack's row as read: writing it makes every transaction of a
 * former holder fail, since those check the old version. A missing row means
 * no allotments. If the store can't be reached, teams are limited to what they
 * run. */
static void
on_own_row(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfRackAgent *agent = arg;
    RackAllot *a = &agent->allot;
    if (kind != GF_OK) {
        limit_to_running(agent);
        schedule_retry(agent);
        return;
    }
    GfName key = row_key(agent);
    a->row_version = 0;
    GfAllotments_Destroy(a->planned);
    a->planned = GfAllotments_Create();
    GfError error;
    for (size_t i = 0; i < count; i++) {
        if (GfName_Equal(&rows[i].key, &key)) {
            a->row_version = rows[i].version;
            if (!GfAllotments_Load(a->planned, rows[i].value, &error)) {
                GfLog(
                    GF_LOG_ERROR, PART,
                    "allotment row of the rack is malformed rack=%s reason=%s",
                    agent->name.data, error.text);
            }
        }
    }
    a->state = ALLOT_CLAIMING;
    commit_row(agent, false);
}

/* Returns how much a team could give back: what it neither uses now nor used
 * since the last check (peak). While the pool isn't empty, RESERVE_FACTOR
 * times the use stays with the rack. */
static uint64_t
surplus(uint64_t have, uint64_t use, uint64_t peak, uint64_t pool)
{
    uint64_t keep = use > peak ? use : peak;
    if (pool > 0) {
        keep *= RESERVE_FACTOR;
    }
    return have > keep ? have - keep : 0;
}

/* Plans one team's transfer in the planned allotments and the pool: it takes
 * what the team wants from the pool and, if giving is set, gives its surplus
 * back. Clears the demand. Returns whether anything is transferred. */
static bool
transfer_team(GfRackAgent *agent, const GfName *team, bool giving)
{
    RackAllot *a = &agent->allot;
    const GfControl *control = agent->env->control;
    uint64_t version = GfControl_Version(control);
    struct timespec now = RackAgent_Now(agent);
    RackDemand *d = get_demand(a, team);
    GfQuota have = GfAllotments_Get(a->planned, team, control);
    GfQuota pool = GfAllotments_Get(a->pool, team, control);
    GfQuota take = GfPool_AmountToTake(pool, d->wanted_amount, d->min_amount,
                                       *agent->env->rack_count);
    GfQuota give = {0};
    if (giving) {
        GfQuota use = {.mcores = GfRack_TeamUse(agent->rack, team, now),
                       .requests = RackRequests_TeamLoad(agent, team)};
        give.mcores = d->wanted_amount.mcores > 0
                          ? 0
                          : surplus(have.mcores, use.mcores, d->peak.mcores,
                                    pool.mcores);
        give.requests = d->wanted_amount.requests > 0
                            ? 0
                            : surplus(have.requests, use.requests,
                                      d->peak.requests, pool.requests);
    }
    d->wanted_amount = (GfQuota){0};
    if (giving) {
        d->peak = (GfQuota){0};
    }
    if (take.mcores + take.requests + give.mcores + give.requests == 0) {
        return false;
    }
    have.mcores = have.mcores + take.mcores - give.mcores;
    have.requests = have.requests + take.requests - give.requests;
    pool.mcores = pool.mcores - take.mcores + give.mcores;
    pool.requests = pool.requests - take.requests + give.requests;
    GfAllotments_Set(a->planned, team, have, version);
    GfAllotments_Set(a->pool, team, pool, version);
    /* The rack may not use what it gives back from now on, even if the commit
     * seems to fail: another rack may have taken it already. */
    GfQuota mine = GfAllotments_Get(a->usable, team, control);
    mine.mcores = mine.mcores < have.mcores ? mine.mcores : have.mcores;
    mine.requests =
        mine.requests < have.requests ? mine.requests : have.requests;
    GfAllotments_Set(a->usable, team, mine, version);
    return true;
}

/* Plans the transfers between rack and pool from the pool's row and commits
 * them in one transaction. Nothing is transferred after the term has ended, or
 * while the pool is based on a newer control version than this entry has. */
static void
on_pool(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfRackAgent *agent = arg;
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    const GfControl *control = agent->env->control;
    GfError error;
    if (kind != GF_OK || count != 1 || !GfRack_InTerm(agent->rack, now) ||
        a->term != GfRack_Term(agent->rack) ||
        !GfAllotments_Load(a->pool, rows[0].value, &error) ||
        GfAllotments_MaxBaseVersion(a->pool) > GfControl_Version(control)) {
        a->state = ALLOT_READY;
        a->next_try = GfTime_AddMs(now, RETRY_MS);
        return;
    }
    a->pool_version = rows[0].version;
    GfAllotments_Destroy(a->planned);
    json_t *copy = GfAllotments_Save(a->usable);
    a->planned = GfAllotments_Create();
    GfAllotments_Load(a->planned, copy, &error);
    json_decref(copy);
    GfAllotments_Normalize(a->planned, control);
    bool giving = !GfTime_Before(now, a->next_return);
    if (giving) {
        a->next_return = GfTime_AddMs(now, RETURN_INTERVAL_MS);
    }
    bool moves = false;
    RackDemand *d;
    RackDemand *tmp;
    HASH_ITER(hh, a->demand, d, tmp)
    {
        moves = transfer_team(agent, &d->team, giving) || moves;
    }
    if (moves) {
        commit_row(agent, true);
        return;
    }
    a->state = ALLOT_READY;
    a->next_try = GfTime_AddMs(now, TRANSFER_INTERVAL_MS);
}

/* Tells whether any team was refused for lack of allotment. */
static bool
has_demand(const RackAllot *a)
{
    for (RackDemand *d = a->demand; d != NULL; d = d->hh.next) {
        if (d->wanted_amount.mcores + d->wanted_amount.requests > 0) {
            return true;
        }
    }
    return false;
}

/* Tells whether any team could give back part of its allotment if the pool
 * were empty. */
static bool
has_surplus(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    for (RackDemand *d = a->demand; d != NULL; d = d->hh.next) {
        GfQuota have =
            GfAllotments_Get(a->usable, &d->team, agent->env->control);
        uint64_t mcores = GfRack_TeamUse(agent->rack, &d->team, now);
        uint32_t requests = RackRequests_TeamLoad(agent, &d->team);
        if (surplus(have.mcores, mcores, d->peak.mcores, 0) > 0 ||
            surplus(have.requests, requests, d->peak.requests, 0) > 0) {
            return true;
        }
    }
    return false;
}

/* Adds a demand record for every team with an allotment on the rack, so that
 * allotments of teams that ask for nothing are given back too. */
static void
add_missing_demands(RackAllot *a)
{
    for (size_t i = 0; i < GfAllotments_Count(a->usable); i++) {
        GfName team = GfAllotments_TeamAt(a->usable, i);
        get_demand(a, &team);
    }
}

/* Advances the rack's allotments: in a new term it reads and claims the rack's
 * row; after that it transfers amounts from and to the pool by demand and
 * surplus. One store operation is open at a time. */
void
RackAllot_Tick(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (!GfRack_InTerm(agent->rack, now) || GfTime_Before(now, a->next_try) ||
        GfControl_Bundle(agent->env->control) == NULL) {
        return;
    }
    bool stale = a->term != GfRack_Term(agent->rack) || a->from_inventory;
    if (a->state == ALLOT_UNREAD || (a->state == ALLOT_READY && stale)) {
        if (a->term != GfRack_Term(agent->rack)) {
            a->from_inventory = false;
        }
        a->state = ALLOT_READING;
        a->operation_term = GfRack_Term(agent->rack);
        GfName key = row_key(agent);
        GfStore_Read(agent->env->store, key.data, on_own_row, agent);
        return;
    }
    bool return_due = !GfTime_Before(now, a->next_return);
    if (return_due) {
        add_missing_demands(a);
    }
    if (a->state == ALLOT_READY &&
        (has_demand(a) || (return_due && has_surplus(agent)))) {
        a->state = ALLOT_TRANSFERRING;
        a->operation_term = a->term;
        GfStore_Read(agent->env->store, POOL_KEY, on_pool, agent);
    }
    else if (return_due) {
        a->next_return = GfTime_AddMs(now, RETURN_INTERVAL_MS);
        RackDemand *d;
        RackDemand *tmp;
        HASH_ITER(hh, a->demand, d, tmp)
        {
            d->peak = (GfQuota){0};
        }
    }
}
