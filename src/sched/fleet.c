#include "guavaflow/fleet.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>

#define MAX_BLOCKS 8
#define MCORES_PER_CORE 1000
/* The fleet counts as full when less than this part of its use is free. */
#define FULL_DIVISOR 10

/* A team that a rack had no allotment for. */
typedef struct {
    GfName team;
    struct timespec until;
} Block;

typedef struct {
    GfName name;
    GfRackView view;
    GfName domain;
    Block blocks[MAX_BLOCKS];
    size_t next_block;
    UT_hash_handle hh;
} Rack;

typedef struct {
    GfName member;
    GfName team;
} UseKey;

typedef struct {
    UseKey key;
    GfQuota use;
    uint32_t waiting;
    UT_hash_handle hh;
} Use;

/* What a team uses over all members, and how many of its tasks wait. */
typedef struct {
    GfName team;
    GfQuota use;
    uint64_t waiting;
    UT_hash_handle hh;
} Sum;

struct GfFleet {
    Rack **racks;
    size_t count;
    Rack *by_name;
    uint32_t random;
    uint64_t looks;
    Use *uses;
    Sum *sums;
};

/* Creates an empty view; the seed decides its random choices. */
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

/* Frees the view. */
void
GfFleet_Destroy(GfFleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    Use *u;
    Use *tmp;
    HASH_ITER(hh, fleet->uses, u, tmp)
    {
        HASH_DEL(fleet->uses, u);
        free(u);
    }
    Sum *sum;
    Sum *sum_tmp;
    HASH_ITER(hh, fleet->sums, sum, sum_tmp)
    {
        HASH_DEL(fleet->sums, sum);
        free(sum);
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

/* Finds a rack, or NULL. */
static Rack *
find(const GfFleet *fleet, const GfName *rack)
{
    Rack *r;
    HASH_FIND(hh, fleet->by_name, rack, sizeof(*rack), r);
    return r;
}

/* Adds a rack of the host list; it has no holder yet. */
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

/* Takes a holder's statement about a rack. One that says the rack is not
 * open does not displace another holder's that says it is. */
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

/* Marks the racks of a holder that is out of contact as without holder. */
void
GfFleet_DropHolder(GfFleet *fleet, const GfName *holder)
{
    for (size_t i = 0; i < fleet->count; i++) {
        if (GfName_Equal(&fleet->racks[i]->view.holder, holder)) {
            fleet->racks[i]->view.open = false;
        }
    }
}

/* Marks the racks that a holder no longer names in its statements, those
 * made since the given time, as without holder. */
void
GfFleet_CloseOthers(GfFleet *fleet, const GfName *holder,
                    struct timespec since)
{
    for (size_t i = 0; i < fleet->count; i++) {
        GfRackView *v = &fleet->racks[i]->view;
        if (GfName_Equal(&v->holder, holder) &&
            GfTime_Before(v->stated_at, since)) {
            v->open = false;
        }
    }
}

/* Returns the number of racks. */
size_t
GfFleet_Count(const GfFleet *fleet)
{
    return fleet->count;
}

/* Returns a rack's view by index. */
const GfRackView *
GfFleet_At(const GfFleet *fleet, size_t index)
{
    assert(index < fleet->count);
    return &fleet->racks[index]->view;
}

/* Finds a rack's view, or returns NULL. */
const GfRackView *
GfFleet_Find(const GfFleet *fleet, const GfName *rack)
{
    Rack *r = find(fleet, rack);
    return r == NULL ? NULL : &r->view;
}

/* Returns a rack's failure domain, or NULL. */
const GfName *
GfFleet_Domain(const GfFleet *fleet, const GfName *rack)
{
    Rack *r = find(fleet, rack);
    return r == NULL ? NULL : &r->domain;
}

/* Returns the greatest common divisor (Euclid). */
static size_t
greatest_divisor(size_t a, size_t b)
{
    while (b != 0) {
        size_t rest = a % b;
        a = b;
        b = rest;
    }
    return a;
}

/* Tells whether work may go to a rack at all. */
static bool
is_usable(const Rack *r, const GfControl *control)
{
    return r->view.open && !GfControl_DomainIsOut(control, &r->domain);
}

/* Notes that a rack refused a team for its allotment. The rack is passed over
 * for the team until it can have got more. */
void
GfFleet_BlockTeam(GfFleet *fleet, const GfName *rack, const GfName *team,
                  struct timespec until)
{
    Rack *r = find(fleet, rack);
    if (r == NULL) {
        return;
    }
    size_t at = 0;
    while (at < MAX_BLOCKS && !GfName_Equal(&r->blocks[at].team, team)) {
        at++;
    }
    if (at == MAX_BLOCKS) {
        at = r->next_block;
        r->next_block = (r->next_block + 1) % MAX_BLOCKS;
    }
    r->blocks[at] = (Block){.team = *team, .until = until};
}

/* Tells whether a rack is passed over for a team. */
static bool
is_blocked(const Rack *r, const GfName *team, struct timespec now)
{
    for (size_t i = 0; i < MAX_BLOCKS; i++) {
        if (GfTime_Before(now, r->blocks[i].until) &&
            GfName_Equal(&r->blocks[i].team, team)) {
            return true;
        }
    }
    return false;
}

/* Tells whether a rack has room for tasks of a team. */
static bool
has_room(const Rack *r, const GfControl *control, const GfName *team,
         const GfRoom *need, uint32_t count, struct timespec now)
{
    return GfRoom_Fits(&r->view.widest, need) &&
           r->view.free_mcores >= (uint64_t)need->mcores * count &&
           is_usable(r, control) && !is_blocked(r, team, now);
}

/* Picks a rack for tasks of one team and need: of two racks with room, found
 * from a random place on, the one with more free processors (the power of two
 * choices, Mitzenmacher 2001). While most racks have room, few are looked at,
 * however many there are. Returns NULL if none has room. */
const GfRackView *
GfFleet_PickForTask(GfFleet *fleet, const GfControl *control,
                    const GfName *team, const GfRoom *need, uint32_t count,
                    struct timespec now)
{
    const Rack *first = NULL;
    if (fleet->count == 0) {
        return NULL;
    }
    size_t start = next_random(fleet) % fleet->count;
    size_t stride = 1 + next_random(fleet) % fleet->count;
    while (greatest_divisor(stride, fleet->count) != 1) {
        stride++;
    }
    for (size_t i = 0; i < fleet->count; i++) {
        const Rack *r = fleet->racks[(start + i * stride) % fleet->count];
        fleet->looks++;
        if (!has_room(r, control, team, need, count, now)) {
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

/* Finds what a rack states about a service, or NULL. */
static const GfServiceCapacity *
service_room(const GfRackView *view, const GfName *service)
{
    for (size_t i = 0; i < view->service_count; i++) {
        if (GfName_Equal(&view->services[i].service, service)) {
            return &view->services[i];
        }
    }
    return NULL;
}

/* Tells whether a rack was tried before. */
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

/* Rates a rack for a request: free slots less the queue. */
static int64_t
rate(const GfServiceCapacity *room)
{
    return (int64_t)room->free_slots - (int64_t)room->queued;
}

/* Picks a rack for a request among those not tried yet: the better of two
 * drawn at random. Returns NULL if no rack serves the service. */
const GfRackView *
GfFleet_PickForRequest(GfFleet *fleet, const GfControl *control,
                       const GfName *service, const GfName *tried,
                       size_t tries)
{
    const GfRackView *picks[2] = {NULL, NULL};
    int64_t rates[2] = {0, 0};
    uint32_t seen = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const Rack *r = fleet->racks[i];
        const GfServiceCapacity *room = service_room(&r->view, service);
        if (room == NULL || !is_usable(r, control) ||
            was_tried(&r->view.rack, tried, tries)) {
            continue;
        }
        seen++;
        uint32_t at = seen <= 2 ? seen - 1 : next_random(fleet) % seen;
        if (at < 2) {
            picks[at] = &r->view;
            rates[at] = rate(room);
        }
    }
    if (picks[1] == NULL) {
        return picks[0];
    }
    if (rates[0] == rates[1]) {
        return picks[next_random(fleet) % 2];
    }
    return rates[0] > rates[1] ? picks[0] : picks[1];
}

/* Takes room off a rack's statement for work just sent there, until the
 * holder states it anew. */
void
GfFleet_Reserve(GfFleet *fleet, const GfName *rack, const GfRoom *need)
{
    Rack *r = find(fleet, rack);
    if (r != NULL) {
        uint32_t free_mcores = r->view.free_mcores;
        r->view.free_mcores =
            free_mcores > need->mcores ? free_mcores - need->mcores : 0;
    }
}

/* Takes a slot off a rack's statement for a request just sent there. */
void
GfFleet_ReserveSlot(GfFleet *fleet, const GfName *rack, const GfName *service)
{
    Rack *r = find(fleet, rack);
    GfServiceCapacity *room =
        r == NULL ? NULL
                  : (GfServiceCapacity *)service_room(&r->view, service);
    if (room == NULL) {
        return;
    }
    if (room->free_slots > 0) {
        room->free_slots--;
    }
    else {
        room->queued++;
    }
}

/* Tells whether any worker is large enough for a need. While no rack is
 * known well enough, the answer is yes. */
bool
GfFleet_CanEverFit(const GfFleet *fleet, const GfRoom *need)
{
    bool all_known = fleet->count > 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const GfRackView *v = &fleet->racks[i]->view;
        if (GfRoom_Fits(&v->largest, need)) {
            return true;
        }
        all_known = all_known && v->largest.mcores > 0;
    }
    return !all_known;
}

/* Returns how many racks placement decisions have looked at. */
uint64_t
GfFleet_Looks(const GfFleet *fleet)
{
    return fleet->looks;
}

/* Counts the racks that no entry schedules. */
size_t
GfFleet_WithoutHolder(const GfFleet *fleet)
{
    size_t count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        count += !fleet->racks[i]->view.open;
    }
    return count;
}

/* Adds to a team's sum, or takes from it. */
static void
change_sum(GfFleet *fleet, const GfName *team, const Use *old, GfQuota new,
           uint32_t waiting)
{
    Sum *sum;
    HASH_FIND(hh, fleet->sums, team, sizeof(*team), sum);
    if (sum == NULL) {
        sum = calloc(1, sizeof(*sum));
        if (sum == NULL) {
            abort();
        }
        sum->team = *team;
        HASH_ADD(hh, fleet->sums, team, sizeof(sum->team), sum);
    }
    sum->use.mcores = sum->use.mcores - old->use.mcores + new.mcores;
    sum->use.requests = sum->use.requests - old->use.requests + new.requests;
    sum->waiting = sum->waiting - old->waiting + waiting;
}

/* Sets what a member states of a team: what it uses on the member's racks and
 * how many tasks wait in the member's queues. */
void
GfFleet_SetUse(GfFleet *fleet, const GfName *member, const GfName *team,
               GfQuota use, uint32_t waiting)
{
    UseKey key;
    memset(&key, 0, sizeof(key));
    key.member = *member;
    key.team = *team;
    Use *u;
    HASH_FIND(hh, fleet->uses, &key, sizeof(key), u);
    if (u == NULL) {
        u = calloc(1, sizeof(*u));
        if (u == NULL) {
            abort();
        }
        u->key = key;
        HASH_ADD(hh, fleet->uses, key, sizeof(key), u);
    }
    change_sum(fleet, team, u, use, waiting);
    u->use = use;
    u->waiting = waiting;
}

/* Forgets what a member stated about the use of teams. */
void
GfFleet_ClearUse(GfFleet *fleet, const GfName *member)
{
    Use *u;
    Use *tmp;
    HASH_ITER(hh, fleet->uses, u, tmp)
    {
        if (GfName_Equal(&u->key.member, member)) {
            change_sum(fleet, &u->key.team, u, (GfQuota){0}, 0);
            HASH_DEL(fleet->uses, u);
            free(u);
        }
    }
}

/* Returns a team's use over all members' statements. */
GfQuota
GfFleet_TeamUse(const GfFleet *fleet, const GfName *team)
{
    Sum *sum;
    HASH_FIND(hh, fleet->sums, team, sizeof(*team), sum);
    return sum == NULL ? (GfQuota){0} : sum->use;
}

/* Tells whether hardly any room is left on the usable racks: then what one
 * team takes another lacks. */
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
    for (const Sum *sum = fleet->sums; sum != NULL; sum = sum->hh.next) {
        used += sum->use.mcores;
    }
    return free_mcores * FULL_DIVISOR < used;
}

/* Finds how much of its share the team has that has least of it, among those
 * with tasks waiting anywhere and room below their upper limit. Returns false
 * if no team waits. */
bool
GfFleet_LowestLevel(const GfFleet *fleet, const GfControl *control,
                    GfName *team, uint64_t *level)
{
    bool found = false;
    for (const Sum *sum = fleet->sums; sum != NULL; sum = sum->hh.next) {
        const GfTeam *t =
            GfBundle_FindTeam(GfControl_Bundle(control), &sum->team);
        if (t == NULL || sum->waiting == 0 ||
            sum->use.mcores + MCORES_PER_CORE > t->limit_mcores) {
            continue;
        }
        uint64_t has = sum->use.mcores * GF_SHARE_SCALE / t->share;
        if (!found || has < *level) {
            *level = has;
            *team = sum->team;
        }
        found = true;
    }
    return found;
}
