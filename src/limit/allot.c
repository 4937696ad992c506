#include "guavaflow/allot.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>

/* The allotment of one team. */
typedef struct {
    GfName team;
    GfQuota amount;
    uint64_t base_version;
    UT_hash_handle hh;
} Allotment;

struct GfAllotments {
    Allotment *by_team; /* hash table */
};

/* Creates an empty set. The caller destroys it with GfAllotments_Destroy. */
GfAllotments *
GfAllotments_Create(void)
{
    GfAllotments *set = calloc(1, sizeof(*set));
    if (set == NULL) {
        abort();
    }
    return set;
}

/* Removes all allotments from the set. */
void
GfAllotments_Clear(GfAllotments *set)
{
    Allotment *p;
    Allotment *tmp;
    HASH_ITER(hh, set->by_team, p, tmp)
    {
        HASH_DEL(set->by_team, p);
        free(p);
    }
}

/* Frees the set; NULL is allowed. */
void
GfAllotments_Destroy(GfAllotments *set)
{
    if (set != NULL) {
        GfAllotments_Clear(set);
        free(set);
    }
}

/* Replaces the set by a row of the form {teams: {NAME: [mcores, requests, base
 * version]}}; row stays the caller's. Returns false and sets error at the
 * first malformed team; the set then has the teams before it. */
bool
GfAllotments_Load(GfAllotments *set, const json_t *row, GfError *error)
{
    GfAllotments_Clear(set);
    json_t *teams = json_object_get(row, "teams");
    const char *name;
    json_t *item;
    json_object_foreach(teams, name, item)
    {
        GfName team;
        json_int_t mcores = json_integer_value(json_array_get(item, 0));
        json_int_t requests = json_integer_value(json_array_get(item, 1));
        json_int_t base_version = json_integer_value(json_array_get(item, 2));
        if (!GfName_SetText(&team, name) || json_array_size(item) != 3 ||
            mcores < 0 || requests < 0 || base_version < 0) {
            return GfError_Set(
                error, GF_PROTOCOL,
                "malformed allotment of team %s: expected [mcores, requests, "
                "base version], none negative",
                name);
        }
        GfAllotments_Set(set, &team,
                         (GfQuota){.mcores = (uint64_t)mcores,
                                   .requests = (uint64_t)requests},
                         (uint64_t)base_version);
    }
    return true;
}

/* Returns the set as a new row in the form that GfAllotments_Load reads. The
 * caller owns it. */
json_t *
GfAllotments_Save(const GfAllotments *set)
{
    json_t *teams = json_object();
    for (Allotment *p = set->by_team; p != NULL; p = p->hh.next) {
        json_object_set_new(teams, p->team.data,
                            json_pack("[I,I,I]", (json_int_t)p->amount.mcores,
                                      (json_int_t)p->amount.requests,
                                      (json_int_t)p->base_version));
    }
    return json_pack("{s:o}", "teams", teams);
}

/* Finds the allotment of a team, or returns NULL. */
static Allotment *
find(const GfAllotments *set, const GfName *team)
{
    Allotment *p;
    HASH_FIND(hh, set->by_team, team, sizeof(*team), p);
    return p;
}

/* Returns the number of teams in the set. */
size_t
GfAllotments_Count(const GfAllotments *set)
{
    return HASH_COUNT(set->by_team);
}

/* Returns the team at the given index, which must be less than
 * GfAllotments_Count. It walks the set from its start. */
GfName
GfAllotments_TeamAt(const GfAllotments *set, size_t index)
{
    Allotment *p = set->by_team;
    while (index > 0 && p != NULL) {
        p = p->hh.next;
        index--;
    }
    assert(p != NULL);
    return p->team;
}

/* Returns a team's allotment under the given control state, scaled down by
 * every lowering of the team's limit since the base version; 0 for a team that
 * isn't in the set, or if lowerings that old are no longer recorded. */
GfQuota
GfAllotments_Get(const GfAllotments *set, const GfName *team,
                 const GfControl *control)
{
    Allotment *p = find(set, team);
    if (p == NULL) {
        return (GfQuota){0};
    }
    return GfControl_ScaleGrant(control, team, p->amount, p->base_version);
}

/* Sets a team's allotment and the control version that it is based on. */
void
GfAllotments_Set(GfAllotments *set, const GfName *team, GfQuota amount,
                 uint64_t base_version)
{
    Allotment *p = find(set, team);
    if (p == NULL) {
        p = calloc(1, sizeof(*p));
        if (p == NULL) {
            abort();
        }
        p->team = *team;
        HASH_ADD(hh, set->by_team, team, sizeof(p->team), p);
    }
    p->amount = amount;
    p->base_version = base_version;
}

/* Returns the highest base version in the set, 0 if it is empty. A process
 * that hasn't got that control version yet must not change the set, since it
 * can't know the lowerings up to it. */
uint64_t
GfAllotments_MaxBaseVersion(const GfAllotments *set)
{
    uint64_t base_version = 0;
    for (Allotment *p = set->by_team; p != NULL; p = p->hh.next) {
        base_version =
            p->base_version > base_version ? p->base_version : base_version;
    }
    return base_version;
}

/* Scales all allotments to the given control state and makes its version their
 * base version. */
void
GfAllotments_Normalize(GfAllotments *set, const GfControl *control)
{
    for (Allotment *p = set->by_team; p != NULL; p = p->hh.next) {
        p->amount = GfControl_ScaleGrant(control, &p->team, p->amount,
                                         p->base_version);
        p->base_version = GfControl_Version(control);
    }
}

/* Returns by how much a limit was raised, or 0. */
static uint64_t
limit_increase(uint64_t before, uint64_t after)
{
    return after > before ? after - before : 0;
}

/* Brings the pool from one control state to the next: scales it down where
 * limits were lowered and adds what limits were raised by. before is NULL for
 * the first control state; the pool then gets the whole limits. */
void
GfPool_Adjust(GfAllotments *pool, const GfControl *before,
              const GfControl *after)
{
    assert(pool != NULL && after != NULL);
    GfAllotments_Normalize(pool, after);
    const GfBundle *bundle = GfControl_Bundle(after);
    for (size_t i = 0; i < GfBundle_TeamCount(bundle); i++) {
        const GfTeam *team = GfBundle_TeamAt(bundle, i);
        const GfTeam *old =
            before == NULL
                ? NULL
                : GfBundle_FindTeam(GfControl_Bundle(before), &team->name);
        GfQuota amount = GfAllotments_Get(pool, &team->name, after);
        amount.mcores += limit_increase(old == NULL ? 0 : old->limit_mcores,
                                        team->limit_mcores);
        amount.requests += limit_increase(
            old == NULL ? 0 : old->limit_requests, team->limit_requests);
        GfAllotments_Set(pool, &team->name, amount, GfControl_Version(after));
    }
}

/* Computes GfPool_AmountToTake for millicores or for requests. */
static uint64_t
take_amount(uint64_t pool, uint64_t wanted, uint64_t least, size_t rack_count)
{
    uint64_t equal_part = pool / (rack_count > 0 ? rack_count : 1);
    uint64_t bound = equal_part > least ? equal_part : least;
    uint64_t amount = wanted < bound ? wanted : bound;
    return amount < pool ? amount : pool;
}

/* Returns how much a rack that lacks the wanted amount may take from the pool,
 * which is not changed: at most an equal part for each rack, so that racks
 * which ask at the same time all get something, but at least what the rack's
 * next task or request lacks (least), as far as the pool has it. */
GfQuota
GfPool_AmountToTake(GfQuota pool, GfQuota wanted, GfQuota least,
                    size_t rack_count)
{
    return (GfQuota){.mcores = take_amount(pool.mcores, wanted.mcores,
                                           least.mcores, rack_count),
                     .requests = take_amount(pool.requests, wanted.requests,
                                             least.requests, rack_count)};
}
