#include "guavaflow/fleet.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>

/* Blocked teams that are kept per rack; further ones replace them in turn. */
#define MAX_TEAM_BLOCKS 8
#define MCORES_PER_CORE 1000
/* The fleet counts as full when the free millicores of its usable racks are
 * less than this fraction of the millicores in use. */
#define FULL_DIVISOR 10

/* A team whose tasks skip a rack until the given time. */
typedef struct {
    GfName team;
    struct timespec until;
} TeamBlock;

/* A rack and the last report about it. */
typedef struct {
    GfName name;
    GfRackView view;
    GfName domain;
    TeamBlock blocks[MAX_TEAM_BLOCKS];
    size_t next_block_slot; /* index of the block to replace next */
    UT_hash_handle hh;
} Rack;

typedef struct {
    GfName member;
    GfName team;
} UseKey;

/* What one member reported about one team. */
typedef struct {
    UseKey key;
    GfQuota use;
    uint32_t waiting;
    UT_hash_handle hh;
} MemberUse;

/* A team's use and waiting tasks, summed over all members. */
typedef struct {
    GfName team;
    GfQuota use;
    uint64_t waiting;
    UT_hash_handle hh;
} TeamTotal;

struct GfFleet {
    Rack **racks;
    size_t count;
    Rack *by_name;
    uint32_t random; /* state of the generator, never 0 */
    uint64_t racks_examined;
    MemberUse *uses;
    TeamTotal *totals;
};

/* Creates a view without racks. The seed starts its pseudo-random choices. The
 * caller destroys it with GfFleet_Destroy. */
GfFleet *
GfFleet_Create(uint32_t seed)
{
    GfFleet *fleet = calloc(1, sizeof(*fleet));
    if (fleet == NULL) {
        abort();
    }
    fleet->random = seed | 1;
    return fleet;
}

/* Frees the view and every GfRackView that it returned. NULL is allowed. */
void
GfFleet_Destroy(GfFleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    MemberUse *u;
    MemberUse *tmp;
    HASH_ITER(hh, fleet->uses, u, tmp)
    {
        HASH_DEL(fleet->uses, u);
        free(u);
    }
    TeamTotal *total;
    TeamTotal *total_tmp;
    HASH_ITER(hh, fleet->totals, total, total_tmp)
    {
        HASH_DEL(fleet->totals, total);
        free(total);
    }
    HASH_CLEAR(hh, fleet->by_name);
    for (size_t i = 0; i < fleet->count; i++) {
        free(fleet->racks[i]);
    }
    free(fleet->racks);
    free(fleet);
}

/* Returns the next pseudo-random number (xorshift, Marsaglia 2003). */
static uint32_t
next_random(GfFleet *fleet)
{
    uint32_t x = fleet->random;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    fleet->random = x;
    return x;
}

/* Finds the record of a rack, or returns NULL if the rack is unknown. */
static Rack *
find(const GfFleet *fleet, const GfName *rack)
{
    Rack *r;
    HASH_FIND(hh, fleet->by_name, rack, sizeof(*rack), r);
    return r;
}

/* Adds a rack of the host list without a holder, or updates the failure domain
 * of a known one. */
void
GfFleet_AddRack(GfFleet *fleet, const GfName *rack, const GfName *domain)
{
    Rack *r = find(fleet, rack);
    if (r == NULL) {
        size_t bytes = (fleet->count + 1) * sizeof(*fleet->racks);
        Rack **grown = realloc(fleet->racks, bytes);
        r = calloc(1, sizeof(*r));
        if (grown == NULL || r == NULL) {
            abort();
        }
        fleet->racks = grown;
        fleet->racks[fleet->count++] = r;
        r->name = *rack;
        r->view.rack = *rack;
        HASH_ADD(hh, fleet->by_name, name, sizeof(r->name), r);
    }
    r->domain = *domain;
}

/* Replaces the view of a rack by a holder's report. A report that the rack is
 * closed doesn't replace an open view from another holder, so that a former
 * holder can't hide the current one. */
void
GfFleet_Update(GfFleet *fleet, const GfRackView *view)
{
    Rack *r = find(fleet, &view->rack);
    if (r == NULL) {
        return;
    }
    if (!view->open && r->view.open &&
        !GfName_Equal(&r->view.holder, &view->holder)) {
        return;
    }
    r->view = *view;
}

/* Closes the racks of a holder that is out of contact; they count as without
 * holder until a new report opens them. */
void
GfFleet_DropHolder(GfFleet *fleet, const GfName *holder)
{
    for (size_t i = 0; i < fleet->count; i++) {
        if (GfName_Equal(&fleet->racks[i]->view.holder, holder)) {
            fleet->racks[i]->view.open = false;
        }
    }
}

/* Closes those racks of a holder that it last reported before the given time:
 * it left them out of a newer heartbeat, so it no longer holds them. */
void
GfFleet_CloseStale(GfFleet *fleet, const GfName *holder, struct timespec since)
{
    for (size_t i = 0; i < fleet->count; i++) {
        GfRackView *v = &fleet->racks[i]->view;
        if (GfName_Equal(&v->holder, holder) &&
            GfTime_Before(v->reported_at, since)) {
            v->open = false;
        }
    }
}

/* Returns the number of known racks. */
size_t
GfFleet_Count(const GfFleet *fleet)
{
    return fleet->count;
}

/* Returns the view of the rack at the given index, which must be less than
 * GfFleet_Count. The fleet owns it. */
const GfRackView *
GfFleet_At(const GfFleet *fleet, size_t index)
{
    assert(index < fleet->count);
    return &fleet->racks[index]->view;
}

/* Returns the view of the named rack, owned by the fleet, or NULL if the rack
 * is unknown. */
const GfRackView *
GfFleet_Find(const GfFleet *fleet, const GfName *rack)
{
    Rack *r = find(fleet, rack);
    return r == NULL ? NULL : &r->view;
}

/* Returns the failure domain of the named rack, owned by the fleet, or NULL if
 * the rack is unknown. */
const GfName *
GfFleet_Domain(const GfFleet *fleet, const GfName *rack)
{
    Rack *r = find(fleet, rack);
    return r == NULL ? NULL : &r->domain;
}

/* Returns the greatest common divisor of two numbers (Euclid). */
static size_t
greatest_common_divisor(size_t a, size_t b)
{
    while (b != 0) {
        size_t rest = a % b;
        a = b;
        b = rest;
    }
    return a;
}

/* Tells whether new work may go to a rack: its holder accepts work and its
 * failure domain isn't taken out. */
static bool
is_usable(const Rack *r, const GfControl *control)
{
    return r->view.open && !GfControl_DomainIsOut(control, &r->domain);
}

/* Excludes a rack for a team until the given time, after the rack refused the
 * team because its allotment was used up. The caller chooses a time by which
 * the rack can have a larger allotment. */
void
GfFleet_BlockTeam(GfFleet *fleet, const GfName *rack, const GfName *team,
                  struct timespec until)
{
    Rack *r = find(fleet, rack);
    if (r == NULL) {
        return;
    }
    size_t at = 0;
    while (at < MAX_TEAM_BLOCKS && !GfName_Equal(&r->blocks[at].team, team)) {
        at++;
    }
    if (at == MAX_TEAM_BLOCKS) {
        at = r->next_block_slot;
        r->next_block_slot = (r->next_block_slot + 1) % MAX_TEAM_BLOCKS;
    }
    r->blocks[at] = (TeamBlock){.team = *team, .until = until};
}

/* Tells whether a rack is excluded for a team at the given time. */
static bool
is_blocked(const Rack *r, const GfName *team, struct timespec now)
{
    for (size_t i = 0; i < MAX_TEAM_BLOCKS; i++) {
        if (GfTime_Before(now, r->blocks[i].until) &&
            GfName_Equal(&r->blocks[i].team, team)) {
            return true;
        }
    }
    return false;
}

/* Tells whether a rack can take count tasks of a team: it is usable and not
 * excluded for the team, one task fits on the worker with most free
 * millicores, and the rack's free millicores cover all tasks. */
static bool
has_capacity(const Rack *r, const GfControl *control, const GfName *team,
             const GfResourceVector *need, uint32_t count, struct timespec now)
{
    return GfResourceVector_Fits(&r->view.largest_free, need) &&
           r->view.free_mcores >= (uint64_t)need->mcores * count &&
           is_usable(r, control) && !is_blocked(r, team, now);
}

/* Picks a rack for count tasks of one team with the same need: of the first
 * two racks with enough capacity, in a pseudo-random order, the one with more
 * free processors (power of two choices, Mitzenmacher 2001). While most racks
 * have capacity this examines only a few of them, whatever the size of the
 * fleet. The stride has no common divisor with the number of racks, so each
 * rack is examined at most once. Returns NULL if no rack has enough. */
const GfRackView *
GfFleet_PickForTask(GfFleet *fleet, const GfControl *control,
                    const GfName *team, const GfResourceVector *need,
                    uint32_t count, struct timespec now)
{
    const Rack *first = NULL;
    if (fleet->count == 0) {
        return NULL;
    }
    size_t start = next_random(fleet) % fleet->count;
    size_t stride = 1 + next_random(fleet) % fleet->count;
    while (greatest_common_divisor(stride, fleet->count) != 1) {
        stride++;
    }
    for (size_t i = 0; i < fleet->count; i++) {
        const Rack *r = fleet->racks[(start + i * stride) % fleet->count];
        fleet->racks_examined++;
        if (!has_capacity(r, control, team, need, count, now)) {
            continue;
        }
        if (first != NULL) {
            return first->view.free_mcores >= r->view.free_mcores
                       ? &first->view
                       : &r->view;
        }
        first = r;
    }
    return first == NULL ? NULL : &first->view;
}

/* Finds what a rack reports about a service, or returns NULL. */
static const GfServiceSlots *
find_service(const GfRackView *view, const GfName *service)
{
    for (size_t i = 0; i < view->service_count; i++) {
        if (GfName_Equal(&view->services[i].service, service)) {
            return &view->services[i];
        }
    }
    return NULL;
}

/* Tells whether a rack is among those already tried. */
static bool
was_tried(const GfName *rack, const GfName *tried, size_t tries)
{
    for (size_t i = 0; i < tries; i++) {
        if (GfName_Equal(rack, &tried[i])) {
            return true;
        }
    }
    return false;
}

/* Scores a rack for a request: free slots less waiting requests, higher is
 * better. */
static int64_t
score_service(const GfServiceSlots *slots)
{
    return (int64_t)slots->free_slots - (int64_t)slots->queued;
}

/* Picks a rack for a request to a service, except the racks in tried (tries of
 * them): the better of two drawn uniformly at random (reservoir sampling).
 * Returns NULL if no usable rack offers the service. */
const GfRackView *
GfFleet_PickForRequest(GfFleet *fleet, const GfControl *control,
                       const GfName *service, const GfName *tried,
                       size_t tries)
{
    const GfRackView *picks[2] = {NULL, NULL};
    int64_t scores[2] = {0, 0};
    uint32_t candidates = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const Rack *r = fleet->racks[i];
        const GfServiceSlots *slots = find_service(&r->view, service);
        if (slots == NULL || !is_usable(r, control) ||
            was_tried(&r->view.rack, tried, tries)) {
            continue;
        }
        candidates++;
        uint32_t at =
            candidates <= 2 ? candidates - 1 : next_random(fleet) % candidates;
        if (at < 2) {
            picks[at] = &r->view;
            scores[at] = score_service(slots);
        }
    }
    if (picks[1] == NULL) {
        return picks[0];
    }
    if (scores[0] == scores[1]) {
        return picks[next_random(fleet) % 2];
    }
    return scores[0] > scores[1] ? picks[0] : picks[1];
}

/* Subtracts the millicores of a task just sent to a rack from its free ones,
 * until the holder's next report replaces the view. */
void
GfFleet_Reserve(GfFleet *fleet, const GfName *rack,
                const GfResourceVector *need)
{
    Rack *r = find(fleet, rack);
    if (r != NULL) {
        uint32_t free_mcores = r->view.free_mcores;
        r->view.free_mcores =
            free_mcores > need->mcores ? free_mcores - need->mcores : 0;
    }
}

/* Counts a request just sent to a rack against its free slots, or as waiting
 * if there is none, until the holder's next report. */
void
GfFleet_ReserveSlot(GfFleet *fleet, const GfName *rack, const GfName *service)
{
    Rack *r = find(fleet, rack);
    GfServiceSlots *slots =
        r == NULL ? NULL : (GfServiceSlots *)find_service(&r->view, service);
    if (slots == NULL) {
        return;
    }
    if (slots->free_slots > 0) {
        slots->free_slots--;
    }
    else {
        slots->queued++;
    }
}

/* Tells whether a task can fit on a rack at all, even if not now: whether the
 * total capacity of any rack's largest worker covers the need. Also true while
 * a rack's workers are still unknown, since the task may fit there. */
bool
GfFleet_CanEverFit(const GfFleet *fleet, const GfResourceVector *need)
{
    bool all_known = fleet->count > 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const GfRackView *v = &fleet->racks[i]->view;
        if (GfResourceVector_Fits(&v->largest_capacity, need)) {
            return true;
        }
        all_known = all_known && v->largest_capacity.mcores > 0;
    }
    return !all_known;
}

/* Returns how many racks GfFleet_PickForTask has examined since the view was
 * created. */
uint64_t
GfFleet_RacksExamined(const GfFleet *fleet)
{
    return fleet->racks_examined;
}

/* Counts the racks that have no holder which accepts new work. */
size_t
GfFleet_CountWithoutHolder(const GfFleet *fleet)
{
    size_t count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        count += !fleet->racks[i]->view.open;
    }
    return count;
}

/* Replaces one member's contribution (old) to a team's total by new amounts.
 */
static void
update_total(GfFleet *fleet, const GfName *team, const MemberUse *old,
             GfQuota new, uint32_t waiting)
{
    TeamTotal *total;
    HASH_FIND(hh, fleet->totals, team, sizeof(*team), total);
    if (total == NULL) {
        total = calloc(1, sizeof(*total));
        if (total == NULL) {
            abort();
        }
        total->team = *team;
        HASH_ADD(hh, fleet->totals, team, sizeof(total->team), total);
    }
    total->use.mcores = total->use.mcores - old->use.mcores + new.mcores;
    total->use.requests =
        total->use.requests - old->use.requests + new.requests;
    total->waiting = total->waiting - old->waiting + waiting;
}

/* Replaces a member's report about a team: what the team uses on the racks
 * that the member holds, and how many of its tasks wait in the member's
 * queues. */
void
GfFleet_SetUse(GfFleet *fleet, const GfName *member, const GfName *team,
               GfQuota use, uint32_t waiting)
{
    UseKey key;
    memset(&key, 0, sizeof(key));
    key.member = *member;
    key.team = *team;
    MemberUse *u;
    HASH_FIND(hh, fleet->uses, &key, sizeof(key), u);
    if (u == NULL) {
        u = calloc(1, sizeof(*u));
        if (u == NULL) {
            abort();
        }
        u->key = key;
        HASH_ADD(hh, fleet->uses, key, sizeof(key), u);
    }
    update_total(fleet, team, u, use, waiting);
    u->use = use;
    u->waiting = waiting;
}

/* Removes a member's reports about all teams from the totals. */
void
GfFleet_ClearUse(GfFleet *fleet, const GfName *member)
{
    MemberUse *u;
    MemberUse *tmp;
    HASH_ITER(hh, fleet->uses, u, tmp)
    {
        if (GfName_Equal(&u->key.member, member)) {
            update_total(fleet, &u->key.team, u, (GfQuota){0}, 0);
            HASH_DEL(fleet->uses, u);
            free(u);
        }
    }
}

/* Returns a team's use, summed over the reports of all members. */
GfQuota
GfFleet_TeamUse(const GfFleet *fleet, const GfName *team)
{
    TeamTotal *total;
    HASH_FIND(hh, fleet->totals, team, sizeof(*team), total);
    return total == NULL ? (GfQuota){0} : total->use;
}

/* Tells whether the free millicores of the usable racks are less than one
 * FULL_DIVISOR-th of the millicores in use. From then on a task that starts
 * for one team takes capacity that another team waits for. */
bool
GfFleet_IsFull(const GfFleet *fleet, const GfControl *control)
{
    uint64_t free_mcores = 0;
    uint64_t used = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        if (is_usable(fleet->racks[i], control)) {
            free_mcores += fleet->racks[i]->view.free_mcores;
        }
    }
    for (const TeamTotal *total = fleet->totals; total != NULL;
         total = total->hh.next) {
        used += total->use.mcores;
    }
    return free_mcores * FULL_DIVISOR < used;
}

/* Finds the team with the lowest use in proportion to its share, among the
 * teams that have waiting tasks and whose limit admits another core. level
 * gets its millicores per share times GF_SHARE_SCALE. Returns false, with team
 * and level unchanged, if there is no such team. */
bool
GfFleet_MostUnderservedTeam(const GfFleet *fleet, const GfControl *control,
                            GfName *team, uint64_t *level)
{
    bool found = false;
    for (const TeamTotal *total = fleet->totals; total != NULL;
         total = total->hh.next) {
        const GfTeam *t =
            GfBundle_FindTeam(GfControl_Bundle(control), &total->team);
        if (t == NULL || total->waiting == 0 ||
            total->use.mcores + MCORES_PER_CORE > t->limit_mcores) {
            continue;
        }
        uint64_t has = total->use.mcores * GF_SHARE_SCALE / t->share;
        if (!found || has < *level) {
            *level = has;
            *team = total->team;
        }
        found = true;
    }
    return found;
}
