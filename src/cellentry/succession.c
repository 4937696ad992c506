/* Takeover order. It guards against the following failure: a large fleet
 * loses its owner while the store is slow, and all entries claim the cell
 * at once. Their transactions queue up behind one another until the store
 * refuses them, and the one that gets through may be of any strength. With
 * this order the strongest entry that may be up claims at once, and each
 * further one only after those before it have had time to claim. */
#include "guavaflow/succession.h"

#include <assert.h>

/* Delay per preceding candidate, besides the time that a transaction takes:
 * the round trip to the store and the announcement of the outcome. */
#define STEP_MS 60
/* Limit of the wait for preceding candidates, since a third of them may have
 * failed together with the owner. */
#define MAX_DELAY_MS 2000
/* An entry that has been up for less than RECENT_START_MS, while another was
 * started more than that before it, may not know all candidates yet. Unless
 * the takeover is planned, it waits as for RECENT_START_STEPS more. */
#define RECENT_START_MS 2000
#define RECENT_START_STEPS 3
/* Additional wait of an entry that is weaker than the last owner and knows
 * no others or has just started: stronger ones may be starting too. The
 * default for an unknown last owner, 250 thousandths of a processor, is the
 * strength of the weakest host that can own a cell of 48 workers. */
#define WEAK_DELAY_MS 350
#define DEFAULT_OWNER_STRENGTH 250
/* An entry that knows no others delays its claim by a random part of this
 * time. */
#define MAX_JITTER_MS 150
#define RANDOM_RANGE 65536

/* Returns whether another candidate precedes this entry. The stronger one
 * does; among equals the one started last if the takeover is planned, else a
 * hash of name and token decides. */
static bool
precedes(const GfSuccession *s, const GfCandidate *other)
{
    if (other->strength != s->self.strength) {
        return other->strength > s->self.strength;
    }
    if (s->planned && other->started_ms != s->self.started_ms) {
        /* In a rolling restart the entry started last will not be stopped
         * again soon. */
        return other->started_ms > s->self.started_ms;
    }
    uint64_t seed = (uint64_t)s->token;
    return GfName_Hash(&other->name, seed) < GfName_Hash(&s->self.name, seed);
}

/* Returns how long this entry must wait before it claims the cell, in ms. s
 * is borrowed. */
int64_t
GfSuccession_ClaimDelayMs(const GfSuccession *s)
{
    assert(s != NULL && (s->others != NULL || s->other_count == 0));
    int64_t steps = 0;
    bool recent_start = false;
    for (size_t i = 0; i < s->other_count; i++) {
        const GfCandidate *other = &s->others[i];
        steps += precedes(s, other);
        recent_start = recent_start || (s->uptime_ms < RECENT_START_MS &&
                                        other->started_ms + RECENT_START_MS <
                                            s->self.started_ms);
    }
    steps += recent_start && !s->planned ? RECENT_START_STEPS : 0;
    int64_t ms = steps * (STEP_MS + s->store_ms);
    ms = ms < MAX_DELAY_MS ? ms : MAX_DELAY_MS;
    uint32_t wanted_strength = s->last_owner_strength > 0
                                   ? s->last_owner_strength
                                   : DEFAULT_OWNER_STRENGTH;
    if (s->other_count == 0) {
        ms += (int64_t)s->random_value * MAX_JITTER_MS / RANDOM_RANGE;
    }
    if ((s->other_count == 0 || recent_start) &&
        s->self.strength < wanted_strength) {
        ms += WEAK_DELAY_MS;
    }
    return ms;
}
