#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "rack_agent_private.h"

#define PART "limits"
#define RETRY_MS 500
#define MOVE_INTERVAL_MS 250
#define CUSHION_FACTOR 2
#define RETURN_INTERVAL_MS 2000
#define POOL_KEY "allot-pool"

/* Creates the rack's empty allotments. */
void
RackAllot_Init(GfRackAgent *agent)
{
    agent->allot.parts = GfParts_Create();
    agent->allot.pool = GfParts_Create();
}

/* Forgets what teams lack and used. */
static void
clear_demand(RackAllot *allot)
{
    RackDemand *d;
    RackDemand *tmp;
    HASH_ITER(hh, allot->demand, d, tmp)
    {
        HASH_DEL(allot->demand, d);
        free(d);
    }
}

/* Frees the rack's allotments. */
void
RackAllot_Clear(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    clear_demand(a);
    GfParts_Destroy(a->parts);
    GfParts_Destroy(a->pool);
    GfParts_Destroy(a->next_parts);
}

/* Finds a team's demand record, or adds it. */
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

/* Returns the key of the rack's row. */
static GfName
row_key(const GfRackAgent *agent)
{
    return GfName_Format("allot/%s", agent->name.data);
}

/* Notes how much more than it has a team would need. */
static uint64_t
lack(uint64_t use, uint64_t need, uint64_t have)
{
    return use + need > have ? use + need - have : 0;
}

/* Tells whether a team may start something of the given size within the
 * rack's allotment. What is lacking is noted as demand. With the store away
 * since the takeover, a team starts no more than it was found running. */
bool
RackAllot_Admits(GfRackAgent *agent, const GfName *team, GfQuota need)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (a->term != GfRack_Term(agent->rack)) {
        return false;
    }
    GfQuota have = GfParts_Get(a->parts, team, agent->env->control);
    GfQuota use = {.mcores = GfRack_TeamUse(agent->rack, team, now),
                   .requests = RackRequests_TeamLoad(agent, team)};
    RackDemand *d = get_demand(a, team);
    uint64_t mcores =
        need.mcores > 0 ? lack(use.mcores, need.mcores, have.mcores) : 0;
    uint64_t requests = need.requests > 0
                            ? lack(use.requests, need.requests, have.requests)
                            : 0;
    if (mcores == 0 && requests == 0) {
        uint64_t top = use.mcores + need.mcores;
        d->peak.mcores = top > d->peak.mcores ? top : d->peak.mcores;
        top = use.requests + need.requests;
        d->peak.requests = top > d->peak.requests ? top : d->peak.requests;
        return true;
    }
    if (mcores > 0) {
        d->lacking.mcores += need.mcores;
        d->least.mcores = mcores;
    }
    if (requests > 0 && d->lacking.requests <= agent->queued) {
        d->lacking.requests += need.requests;
        d->least.requests = requests;
    }
    return false;
}

/* Tells whether the rack's allotments of the running term are known. */
bool
RackAllot_IsKnown(const GfRackAgent *agent)
{
    return agent->allot.term == GfRack_Term(agent->rack) &&
           !agent->allot.frozen;
}

/* Returns by how many millicores a team's running tasks exceed the rack's
 * allotment. That happens only when the team's limit was lowered. */
uint64_t
RackAllot_Excess(GfRackAgent *agent, const GfName *team)
{
    GfQuota have = GfParts_Get(agent->allot.parts, team, agent->env->control);
    uint64_t use = GfRack_SeenUse(agent->rack, team);
    return use > have.mcores ? use - have.mcores : 0;
}

/* Sets the allotments to what each team was found running, for as long as
 * the rack's row cannot be read. */
static void
freeze(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    const GfBundle *bundle = GfControl_Bundle(agent->env->control);
    uint64_t term = GfRack_Term(agent->rack);
    if (a->term == term || bundle == NULL ||
        !GfRack_InTerm(agent->rack, now)) {
        return;
    }
    a->frozen = true;
    a->term = term;
    GfParts_Clear(a->parts);
    for (size_t i = 0; i < GfBundle_TeamCount(bundle); i++) {
        const GfTeam *team = GfBundle_TeamAt(bundle, i);
        GfQuota found = {.mcores = GfRack_SeenUse(agent->rack, &team->name)};
        GfParts_Set(a->parts, &team->name, found,
                    GfControl_Version(agent->env->control));
    }
    GfLog(GF_LOG_WARNING, PART,
          "Rack %s keeps what it was found running: the store is away.",
          agent->name.data);
}

/* Ends a try that failed; the next one reads the rows anew. */
static void
try_again(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    GfParts_Destroy(a->next_parts);
    a->next_parts = NULL;
    a->state = ALLOT_UNREAD;
    a->next_try = GfTime_AddMs(RackAgent_Now(agent), RETRY_MS);
}

/* Handles the outcome of a claim or a move. */
static void
on_commit(void *arg, const GfTxnOutcome *outcome)
{
    GfRackAgent *agent = arg;
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (outcome->state != GF_TXN_COMMITTED ||
        !GfRack_InTerm(agent->rack, now) ||
        a->work_term != GfRack_Term(agent->rack)) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES,
                      outcome->state != GF_TXN_CONFLICT &&
                          outcome->state != GF_TXN_COMMITTED);
        try_again(agent);
        return;
    }
    bool claimed = a->state == ALLOT_CLAIMING;
    GfParts_Destroy(a->parts);
    a->parts = a->next_parts;
    a->next_parts = NULL;
    a->row_version = outcome->version;
    if (claimed) {
        a->term = GfRack_Term(agent->rack);
        a->frozen = false;
    }
    a->state = ALLOT_READY;
    a->next_try = GfTime_AddMs(now, MOVE_INTERVAL_MS);
}

/* Commits the rack's next parts under a check of its row, with the pool if
 * that changes too. */
static void
commit_parts(GfRackAgent *agent, bool with_pool)
{
    RackAllot *a = &agent->allot;
    GfTxn *txn = GfTxn_Create();
    GfName key = row_key(agent);
    GfTxn_Check(txn, &key, a->row_version);
    json_t *row = GfParts_Save(a->next_parts);
    json_object_set_new(row, "holder", json_string(agent->env->holder.data));
    GfTxn_Put(txn, &key, row);
    if (with_pool) {
        GfName pool = GfName_Format("%s", POOL_KEY);
        GfTxn_Check(txn, &pool, a->pool_version);
        GfTxn_Put(txn, &pool, GfParts_Save(a->pool));
    }
    GfMetrics_Add(GF_METRIC_STORE_COMMITS, 1);
    GfStore_Commit(agent->env->store, txn, on_commit, agent);
    GfTxn_Destroy(txn);
}

/* Claims the rack's row, so that no transaction of a former holder can
 * change it any more. */
static void
on_row(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfRackAgent *agent = arg;
    RackAllot *a = &agent->allot;
    if (kind != GF_OK) {
        freeze(agent);
        try_again(agent);
        return;
    }
    GfName key = row_key(agent);
    a->row_version = 0;
    GfParts_Destroy(a->next_parts);
    a->next_parts = GfParts_Create();
    GfError error;
    for (size_t i = 0; i < count; i++) {
        if (GfName_Equal(&rows[i].key, &key)) {
            a->row_version = rows[i].version;
            if (!GfParts_Load(a->next_parts, rows[i].value, &error)) {
                GfLog(GF_LOG_ERROR, PART, "Rack %s: %s.", agent->name.data,
                      error.text);
            }
        }
    }
    a->state = ALLOT_CLAIMING;
    commit_parts(agent, false);
}

/* Returns what a team could give back: what it neither uses now nor used
 * since the last look. While the pool is not empty, a cushion stays with the
 * rack, so that the next burst finds it there. */
static uint64_t
spare(uint64_t have, uint64_t use, uint64_t peak, uint64_t pool)
{
    uint64_t keep = use > peak ? use : peak;
    if (pool > 0) {
        keep *= CUSHION_FACTOR;
    }
    return have > keep ? have - keep : 0;
}

/* Works out the moves of one team: takes what it lacks from the pool, or
 * gives back what it does not use. Returns whether anything moves. */
static bool
move_team(GfRackAgent *agent, const GfName *team, bool giving)
{
    RackAllot *a = &agent->allot;
    const GfControl *control = agent->env->control;
    uint64_t version = GfControl_Version(control);
    struct timespec now = RackAgent_Now(agent);
    RackDemand *d = get_demand(a, team);
    GfQuota have = GfParts_Get(a->next_parts, team, control);
    GfQuota pool = GfParts_Get(a->pool, team, control);
    GfQuota take =
        GfPool_Take(pool, d->lacking, d->least, *agent->env->rack_count);
    GfQuota give = {0};
    if (giving) {
        GfQuota use = {.mcores = GfRack_TeamUse(agent->rack, team, now),
                       .requests = RackRequests_TeamLoad(agent, team)};
        give.mcores =
            d->lacking.mcores > 0
                ? 0
                : spare(have.mcores, use.mcores, d->peak.mcores, pool.mcores);
        give.requests = d->lacking.requests > 0
                            ? 0
                            : spare(have.requests, use.requests,
                                    d->peak.requests, pool.requests);
    }
    d->lacking = (GfQuota){0};
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
    GfParts_Set(a->next_parts, team, have, version);
    GfParts_Set(a->pool, team, pool, version);
    /* What is given back may not be used from now on, committed or not. */
    GfQuota mine = GfParts_Get(a->parts, team, control);
    mine.mcores = mine.mcores < have.mcores ? mine.mcores : have.mcores;
    mine.requests =
        mine.requests < have.requests ? mine.requests : have.requests;
    GfParts_Set(a->parts, team, mine, version);
    return true;
}

/* Moves parts between the pool and the rack in one transaction. */
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
        !GfParts_Load(a->pool, rows[0].value, &error) ||
        GfParts_MaxBase(a->pool) > GfControl_Version(control)) {
        a->state = ALLOT_READY;
        a->next_try = GfTime_AddMs(now, RETRY_MS);
        return;
    }
    a->pool_version = rows[0].version;
    GfParts_Destroy(a->next_parts);
    json_t *copy = GfParts_Save(a->parts);
    a->next_parts = GfParts_Create();
    GfParts_Load(a->next_parts, copy, &error);
    json_decref(copy);
    GfParts_Normalize(a->next_parts, control);
    bool giving = !GfTime_Before(now, a->next_return);
    if (giving) {
        a->next_return = GfTime_AddMs(now, RETURN_INTERVAL_MS);
    }
    bool moves = false;
    RackDemand *d;
    RackDemand *tmp;
    HASH_ITER(hh, a->demand, d, tmp)
    {
        moves = move_team(agent, &d->team, giving) || moves;
    }
    if (moves) {
        commit_parts(agent, true);
        return;
    }
    a->state = ALLOT_READY;
    a->next_try = GfTime_AddMs(now, MOVE_INTERVAL_MS);
}

/* Tells whether any team lacks allotment. */
static bool
is_lacking(const RackAllot *a)
{
    for (RackDemand *d = a->demand; d != NULL; d = d->hh.next) {
        if (d->lacking.mcores + d->lacking.requests > 0) {
            return true;
        }
    }
    return false;
}

/* Tells whether any team has part of its allotment to spare. */
static bool
is_spare(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    for (RackDemand *d = a->demand; d != NULL; d = d->hh.next) {
        GfQuota have = GfParts_Get(a->parts, &d->team, agent->env->control);
        uint64_t mcores = GfRack_TeamUse(agent->rack, &d->team, now);
        uint32_t requests = RackRequests_TeamLoad(agent, &d->team);
        if (spare(have.mcores, mcores, d->peak.mcores, 0) > 0 ||
            spare(have.requests, requests, d->peak.requests, 0) > 0) {
            return true;
        }
    }
    return false;
}

/* Makes sure that every team of the rack's parts has a demand record, so
 * that what it does not use is given back. */
static void
note_parts(RackAllot *a)
{
    for (size_t i = 0; i < GfParts_Count(a->parts); i++) {
        GfName team = GfParts_TeamAt(a->parts, i);
        get_demand(a, &team);
    }
}

/* Reads and claims the rack's row in a new term; after that moves parts
 * toward the demand. */
void
RackAllot_Tick(GfRackAgent *agent)
{
    RackAllot *a = &agent->allot;
    struct timespec now = RackAgent_Now(agent);
    if (!GfRack_InTerm(agent->rack, now) || GfTime_Before(now, a->next_try) ||
        GfControl_Bundle(agent->env->control) == NULL) {
        return;
    }
    bool stale = a->term != GfRack_Term(agent->rack) || a->frozen;
    if (a->state == ALLOT_UNREAD || (a->state == ALLOT_READY && stale)) {
        if (a->term != GfRack_Term(agent->rack)) {
            a->frozen = false;
        }
        a->state = ALLOT_READING;
        a->work_term = GfRack_Term(agent->rack);
        GfName key = row_key(agent);
        GfStore_Read(agent->env->store, key.data, on_row, agent);
        return;
    }
    bool return_due = !GfTime_Before(now, a->next_return);
    if (return_due) {
        note_parts(a);
    }
    if (a->state == ALLOT_READY &&
        (is_lacking(a) || (return_due && is_spare(agent)))) {
        a->state = ALLOT_MOVING;
        a->work_term = a->term;
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
