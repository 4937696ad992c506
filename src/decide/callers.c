/* Which caller of the advice service takes a request, for the load of bursts
 * on quick queues while slow queues have more requests open than there are
 * callers. */
#include "guavaflow/callers.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "guavaflow/clock.h"

/* Time constant of the decay of the number of callers that quick requests
 * need. */
#define NEED_DECAY_MS 3000.0
/* Fewest callers kept for quick requests, in percent of all; a burst begins
 * with these. */
#define MIN_QUICK_PERCENT 10
/* Callers, in percent of all, that are never kept for quick requests. */
#define UNRESERVED_PERCENT 30
#define PERCENT 100
/* Pause of a caller after a failure; it doubles with each further one. */
#define PAUSE_MS 100
#define MAX_PAUSE_DOUBLINGS 4
/* Callers count as scarce for this long after a request found none. */
#define SCARCE_MS 1000

typedef struct {
    GfName name;
    bool busy;
    bool slow; /* its request is for a slow queue */
    uint32_t failures;
    struct timespec paused_until;
} Caller;

struct GfCallers {
    Caller *list;
    size_t count;
    size_t next;       /* where the search for a free caller begins */
    double quick_need; /* at need_at, decaying */
    struct timespec need_at;
    /* When a quick and a slow request last found none, and whether one did. */
    struct timespec scarce_at[2];
    bool was_scarce[2];
};

/* Creates an empty list of callers; never NULL. */
GfCallers *
GfCallers_Create(void)
{
    GfCallers *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    return c;
}

/* Frees the list; NULL is ignored. */
void
GfCallers_Destroy(GfCallers *c)
{
    if (c != NULL) {
        free(c->list);
        free(c);
    }
}

/* Returns the caller of a name, or NULL. */
static Caller *
find(const GfCallers *c, const GfName *name)
{
    for (size_t i = 0; i < c->count; i++) {
        if (GfName_Equal(&c->list[i].name, name)) {
            return &c->list[i];
        }
    }
    return NULL;
}

/* Replaces the callers; names are copied. A caller in both lists keeps its
 * open request and its pause. */
void
GfCallers_Set(GfCallers *c, const GfName *names, size_t count)
{
    assert(names != NULL || count == 0);
    Caller *list = calloc(count + 1, sizeof(Caller));
    if (list == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        const Caller *known = find(c, &names[i]);
        list[i] = known != NULL ? *known : (Caller){.name = names[i]};
    }
    free(c->list);
    c->list = list;
    c->count = count;
}

/* Returns the number of callers, busy and paused ones included. */
size_t
GfCallers_Count(const GfCallers *c)
{
    return c->count;
}

/* Returns the number of open requests of a kind. */
static size_t
count_busy(const GfCallers *c, bool slow)
{
    size_t count = 0;
    for (size_t i = 0; i < c->count; i++) {
        count += c->list[i].busy && c->list[i].slow == slow;
    }
    return count;
}

/* Returns how many callers quick requests needed lately. */
static double
quick_need(const GfCallers *c, struct timespec now)
{
    double ms = (double)GfTime_DiffMs(now, c->need_at);
    return c->quick_need * exp(-ms / NEED_DECAY_MS);
}

/* Returns how many callers slow requests must leave to quick ones. */
size_t
GfCallers_KeptForQuick(const GfCallers *c, struct timespec now)
{
    size_t least = (c->count * MIN_QUICK_PERCENT + PERCENT - 1) / PERCENT;
    size_t most = c->count - c->count * UNRESERVED_PERCENT / PERCENT;
    if (c->count <= 1 || most >= c->count) {
        most = c->count > 0 ? c->count - 1 : 0;
    }
    size_t need = (size_t)ceil(quick_need(c, now));
    need = need < least ? least : need;
    return need < most ? need : most;
}

/* Raises the number of callers that quick requests need to count. */
static void
raise_need(GfCallers *c, size_t count, struct timespec now)
{
    if ((double)count >= quick_need(c, now)) {
        c->quick_need = (double)count;
        c->need_at = now;
    }
}

/* Notes that a request of a kind found no caller. */
static void
note_scarce(GfCallers *c, bool slow, struct timespec now)
{
    c->was_scarce[slow] = true;
    c->scarce_at[slow] = now;
}

/* Returns the name of a caller that can take a request now, or NULL. A slow
 * request leaves the callers that quick ones need; *is_last is set to whether
 * no further slow request could be taken beside it. The name belongs to the
 * list and is valid until GfCallers_Set. */
const GfName *
GfCallers_Find(GfCallers *c, bool slow, struct timespec now, bool *is_last)
{
    size_t busy = count_busy(c, slow);
    *is_last = false;
    if (slow) {
        size_t most = c->count - GfCallers_KeptForQuick(c, now);
        *is_last = busy + 1 >= most;
        if (busy >= most) {
            note_scarce(c, slow, now);
            return NULL;
        }
    }
    for (size_t i = 0; i < c->count; i++) {
        const Caller *caller = &c->list[(c->next + i) % c->count];
        if (!caller->busy && !GfTime_Before(now, caller->paused_until)) {
            return &caller->name;
        }
    }
    note_scarce(c, slow, now);
    if (!slow) {
        raise_need(c, busy + 1, now);
    }
    return NULL;
}

/* Returns whether requests of a kind wait for callers, so that each should
 * name more workers than it needs: the time for a worker is a small part of
 * the time of a request. */
bool
GfCallers_AreScarce(const GfCallers *c, bool slow, struct timespec now)
{
    return c->was_scarce[slow] &&
           GfTime_DiffMs(now, c->scarce_at[slow]) < SCARCE_MS;
}

/* Notes that a caller has a request open. The search for the next one begins
 * after it, so that requests spread over all callers. */
void
GfCallers_Begin(GfCallers *c, const GfName *name, bool slow,
                struct timespec now)
{
    Caller *caller = find(c, name);
    assert(caller != NULL && !caller->busy);
    caller->busy = true;
    caller->slow = slow;
    c->next = (size_t)(caller - c->list) + 1;
    if (!slow) {
        raise_need(c, count_busy(c, false), now);
    }
}

/* Notes that a caller's request is over. Without an answer the caller pauses,
 * so that one that has just gone does not take all requests. Unknown callers
 * are ignored: they have left the list. */
void
GfCallers_End(GfCallers *c, const GfName *name, bool answered,
              struct timespec now)
{
    Caller *caller = find(c, name);
    if (caller == NULL) {
        return;
    }
    caller->busy = false;
    if (answered) {
        caller->failures = 0;
        return;
    }
    uint32_t doublings = caller->failures < MAX_PAUSE_DOUBLINGS
                             ? caller->failures
                             : MAX_PAUSE_DOUBLINGS;
    caller->failures++;
    caller->paused_until = GfTime_AddMs(now, (int64_t)PAUSE_MS << doublings);
}
