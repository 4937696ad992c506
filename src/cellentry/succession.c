/* The order of succession. It answers the loss of an owner in a large fleet
 * at a bad moment: if all entries claim the cell at once at a slow store,
 * their transactions queue up behind one another until the store refuses
 * them, and the one that comes through is of any strength. Here the
 * strongest one that may be up claims at once, and each further one only
 * after those before it have had the time to. */
#include "guavaflow/succession.h"

#include <assert.h>

/* Between candidates, beside the time that a transaction takes: the way to
 * the store and back, and the news of its outcome. */
#define STEP_MS 60
/* Nobody waits longer than this for those before it: a third of them may be
 * gone together with the owner. */
#define MAX_DELAY_MS 2000
/* An entry that has been up for less than this, beside others that have not,
 * knows too few of them. */
#define YOUNG_MS 2000
#define YOUNG_STEPS 3
/* An entry weaker than the last owner that knows no other waits for stronger
 * ones that start with it; 250 is the weakest host that carries 48 workers. */
#define WEAK_DELAY_MS 350
#define FIRST_OWNER_STRENGTH 250
/* Where nobody is known, chance spreads the claims over this time. */
#define SPREAD_MS 150
#define CHANCE_RANGE 65536

/* Tells whether another entry comes before this one. */
static bool
precedes(const GfSuccession *s, const GfCandidate *other)
{
    if (other->strength != s->self.strength) {
        return other->strength > s->self.strength;
    }
    if (s->planned && other->started_ms != s->self.started_ms) {
        /* Entries that are stopped in turn: one that was started lately has
         * its turn behind it. */
        return other->started_ms > s->self.started_ms;
    }
    uint64_t seed = (uint64_t)s->token;
    return GfName_Hash(&other->name, seed) < GfName_Hash(&s->self.name, seed);
}

/* Returns how long to wait before a claim, in ms. */
int64_t
GfSuccession_DelayMs(const GfSuccession *s)
{
    assert(s != NULL && (s->others != NULL || s->other_count == 0));
    int64_t steps = 0;
    bool young = false;
    for (size_t i = 0; i < s->other_count; i++) {
        const GfCandidate *other = &s->others[i];
        steps += precedes(s, other);
        young = young || (s->up_ms < YOUNG_MS &&
                          other->started_ms + YOUNG_MS < s->self.started_ms);
    }
    steps += young && !s->planned ? YOUNG_STEPS : 0;
    int64_t ms = steps * (STEP_MS + s->store_ms);
    ms = ms < MAX_DELAY_MS ? ms : MAX_DELAY_MS;
    uint32_t wanted = s->last_owner_strength > 0 ? s->last_owner_strength
                                                 : FIRST_OWNER_STRENGTH;
    if (s->other_count == 0) {
        ms += (int64_t)s->chance * SPREAD_MS / CHANCE_RANGE;
    }
    if ((s->other_count == 0 || young) && s->self.strength < wanted) {
        ms += WEAK_DELAY_MS;
    }
    return ms;
}
