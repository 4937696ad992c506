#include "guavaflow/allot.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>

typedef struct {
    GfName team;
    GfQuota amount;
    uint64_t base;
    UT_hash_handle hh;
} Part;

struct GfParts {
    Part *parts;
};

/* Creates an empty set of parts. */
GfParts *
GfParts_Create(void)
{
    GfParts *parts = calloc(1, sizeof(*parts));
    if (parts == NULL) {
        abort();
    }
    return parts;
}

/* Removes all parts. */
void
GfParts_Clear(GfParts *parts)
{
    Part *p;
    Part *tmp;
    HASH_ITER(hh, parts->parts, p, tmp)
    {
        HASH_DEL(parts->parts, p);
        free(p);
    }
}

/* Frees the set. */
void
GfParts_Destroy(GfParts *parts)
{
    if (parts != NULL) {
        GfParts_Clear(parts);
        free(parts);
    }
}

/* Replaces the set by a row of the form {teams: {NAME: [mcores, requests,
 * base version]}}. */
bool
GfParts_Load(GfParts *parts, const json_t *row, GfError *error)
{
    GfParts_Clear(parts);
    json_t *teams = json_object_get(row, "teams");
    const char *name;
    json_t *item;
    json_object_foreach(teams, name, item)
    {
        GfName team;
        json_int_t mcores = json_integer_value(json_array_get(item, 0));
        json_int_t requests = json_integer_value(json_array_get(item, 1));
        json_int_t base = json_integer_value(json_array_get(item, 2));
        if (!GfName_SetText(&team, name) || json_array_size(item) != 3 ||
            mcores < 0 || requests < 0 || base < 0) {
            return GfError_Set(error, GF_PROTOCOL,
                               "an allotment row is malformed at %s", name);
        }
        GfParts_Set(parts, &team,
                    (GfQuota){.mcores = (uint64_t)mcores,
                              .requests = (uint64_t)requests},
                    (uint64_t)base);
    }
    return true;
}

/* Returns the set as a row. */
json_t *
GfParts_Save(const GfParts *parts)
{
    json_t *teams = json_object();
    for (Part *p = parts->parts; p != NULL; p = p->hh.next) {
        json_object_set_new(teams, p->team.data,
                            json_pack("[I,I,I]", (json_int_t)p->amount.mcores,
                                      (json_int_t)p->amount.requests,
                                      (json_int_t)p->base));
    }
    return json_pack("{s:o}", "teams", teams);
}

/* Finds a team's part, or NULL. */
static Part *
find(const GfParts *parts, const GfName *team)
{
    Part *p;
    HASH_FIND(hh, parts->parts, team, sizeof(*team), p);
    return p;
}

/* Returns the number of teams that have a part. */
size_t
GfParts_Count(const GfParts *parts)
{
    return HASH_COUNT(parts->parts);
}

/* Returns a team that has a part, by index. */
GfName
GfParts_TeamAt(const GfParts *parts, size_t index)
{
    Part *p = parts->parts;
    while (index > 0 && p != NULL) {
        p = p->hh.next;
        index--;
    }
    assert(p != NULL);
    return p->team;
}

/* Returns what a team's part is worth under the control state in force. */
GfQuota
GfParts_Get(const GfParts *parts, const GfName *team, const GfControl *control)
{
    Part *p = find(parts, team);
    if (p == NULL) {
        return (GfQuota){0};
    }
    return GfControl_ScaleGrant(control, team, p->amount, p->base);
}

/* Sets a team's part as of a control version. */
void
GfParts_Set(GfParts *parts, const GfName *team, GfQuota amount,
            uint64_t base_version)
{
    Part *p = find(parts, team);
    if (p == NULL) {
        p = calloc(1, sizeof(*p));
        if (p == NULL) {
            abort();
        }
        p->team = *team;
        HASH_ADD(hh, parts->parts, team, sizeof(p->team), p);
    }
    p->amount = amount;
    p->base = base_version;
}

/* Returns the highest control version that any part is based on. A process
 * that has not yet that version may not change the set. */
uint64_t
GfParts_MaxBase(const GfParts *parts)
{
    uint64_t base = 0;
    for (Part *p = parts->parts; p != NULL; p = p->hh.next) {
        base = p->base > base ? p->base : base;
    }
    return base;
}

/* Bases all parts on the control state in force. */
void
GfParts_Normalize(GfParts *parts, const GfControl *control)
{
    for (Part *p = parts->parts; p != NULL; p = p->hh.next) {
        p->amount =
            GfControl_ScaleGrant(control, &p->team, p->amount, p->base);
        p->base = GfControl_Version(control);
    }
}

/* Returns by how much a limit rose. */
static uint64_t
raise_of(uint64_t before, uint64_t after)
{
    return after > before ? after - before : 0;
}

/* Brings the pool from one control state to the next: what is left after the
 * lowerings, and whatever the limits rose by. before may be NULL for the
 * first control state. */
void
GfPool_Adjust(GfParts *pool, const GfControl *before, const GfControl *after)
{
    assert(pool != NULL && after != NULL);
    GfParts_Normalize(pool, after);
    const GfBundle *bundle = GfControl_Bundle(after);
    for (size_t i = 0; i < GfBundle_TeamCount(bundle); i++) {
        const GfTeam *team = GfBundle_TeamAt(bundle, i);
        const GfTeam *old =
            before == NULL
                ? NULL
                : GfBundle_FindTeam(GfControl_Bundle(before), &team->name);
        GfQuota amount = GfParts_Get(pool, &team->name, after);
        amount.mcores +=
            raise_of(old == NULL ? 0 : old->limit_mcores, team->limit_mcores);
        amount.requests += raise_of(old == NULL ? 0 : old->limit_requests,
                                    team->limit_requests);
        GfParts_Set(pool, &team->name, amount, GfControl_Version(after));
    }
}

/* Returns how much one dimension yields. */
static uint64_t
take(uint64_t pool, uint64_t wanted, uint64_t least, size_t rack_count)
{
    uint64_t part = pool / (rack_count > 0 ? rack_count : 1);
    uint64_t bound = part > least ? part : least;
    uint64_t amount = wanted < bound ? wanted : bound;
    return amount < pool ? amount : pool;
}

/* Returns how much a rack takes from the pool when it lacks the wanted
 * amount: at most one rack's part of the pool, so that racks which ask at the
 * same time all get something, but at least what its next task needs. */
GfQuota
GfPool_Take(GfQuota pool, GfQuota wanted, GfQuota least, size_t rack_count)
{
    return (GfQuota){
        .mcores = take(pool.mcores, wanted.mcores, least.mcores, rack_count),
        .requests =
            take(pool.requests, wanted.requests, least.requests, rack_count)};
}
