#include "guavaflow/run_time.h"

#include <assert.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Histogram of ratios: bins of equal width in log2, from 2^MIN_LOG2 up. The
 * first and the last bin also count what lies outside. */
#define BINS 40
#define BINS_PER_OCTAVE 4
#define MIN_LOG2 (-4)
/* Entries, each for a queue or for a queue and a team. */
#define MAX_ENTRIES 512
/* Size of the hash table; a power of two, at most half full. */
#define SLOTS 1024
/* Time constant of the exponential decay of the counts. */
#define DECAY_MS 15000.0
/* An entry with less weight than this many recent runs is not used. */
#define MIN_WEIGHT 12.0
/* With less weight than this above the elapsed time, the histogram says
 * nothing about longer runs. */
#define MIN_TAIL_WEIGHT 0.5
#define HASH_SEED 0x52754e74

/* The ratios of a queue, or of a team in a queue (team.len is 0 for a
 * queue's). weight is the sum of the bins. */
typedef struct {
    GfName queue;
    GfName team;
    double bins[BINS];
    double weight;
    struct timespec updated_at;
} Entry;

/* slots holds indices of entries plus 1, by hash with linear probing; 0 is a
 * free slot. */
struct GfRunTimes {
    Entry entries[MAX_ENTRIES];
    size_t count;
    uint16_t slots[SLOTS];
};

/* Returns a new object without evidence; the caller frees it with
 * GfRunTimes_Destroy. */
GfRunTimes *
GfRunTimes_Create(void)
{
    GfRunTimes *times = calloc(1, sizeof(*times));
    if (times == NULL) {
        abort();
    }
    return times;
}

/* Frees the object; NULL is ignored. */
void
GfRunTimes_Destroy(GfRunTimes *times)
{
    free(times);
}

/* Returns the slot of the entry for a queue and a team, or the free slot where
 * it would be added. team is an empty name for the queue's own entry. */
static size_t
find_slot(const GfRunTimes *times, const GfName *queue, const GfName *team)
{
    uint64_t hash = GfName_Hash(team, GfName_Hash(queue, HASH_SEED));
    size_t slot = hash % SLOTS;
    while (times->slots[slot] != 0) {
        const Entry *e = &times->entries[times->slots[slot] - 1];
        if (GfName_Equal(&e->queue, queue) && GfName_Equal(&e->team, team)) {
            break;
        }
        slot = (slot + 1) % SLOTS;
    }
    return slot;
}

/* Returns the entry for a queue and a team, or NULL. */
static const Entry *
find_entry(const GfRunTimes *times, const GfName *queue, const GfName *team)
{
    uint16_t at = times->slots[find_slot(times, queue, team)];
    return at == 0 ? NULL : &times->entries[at - 1];
}

/* Fills the hash table anew from the entries. */
static void
rebuild_slots(GfRunTimes *times)
{
    memset(times->slots, 0, sizeof(times->slots));
    for (size_t i = 0; i < times->count; i++) {
        const Entry *e = &times->entries[i];
        times->slots[find_slot(times, &e->queue, &e->team)] =
            (uint16_t)(i + 1);
    }
}

/* Returns the entry for a queue and a team, added if missing, if need be in
 * place of the one that was updated least recently. */
static Entry *
add_entry(GfRunTimes *times, const GfName *queue, const GfName *team,
          struct timespec now)
{
    size_t slot = find_slot(times, queue, team);
    if (times->slots[slot] != 0) {
        return &times->entries[times->slots[slot] - 1];
    }
    Entry *e = &times->entries[0];
    bool full = times->count == MAX_ENTRIES;
    if (full) {
        for (size_t i = 1; i < MAX_ENTRIES; i++) {
            if (GfTime_Before(times->entries[i].updated_at, e->updated_at)) {
                e = &times->entries[i];
            }
        }
    }
    else {
        e = &times->entries[times->count++];
        times->slots[slot] = (uint16_t)times->count;
    }
    *e = (Entry){.queue = *queue, .team = *team, .updated_at = now};
    if (full) {
        rebuild_slots(times);
    }
    return e;
}

/* Returns the position of a ratio in the histogram, in bins, between 0 and
 * BINS. */
static double
position(double ratio)
{
    double at = (log2(ratio) - MIN_LOG2) * BINS_PER_OCTAVE;
    return at < 0 ? 0 : (at > BINS ? BINS : at);
}

/* Adds a ratio to an entry after the decay of what it holds. */
static void
observe(Entry *e, double ratio, struct timespec now)
{
    double decay = exp(-(double)GfTime_DiffMs(now, e->updated_at) / DECAY_MS);
    e->updated_at = now;
    for (size_t i = 0; i < BINS; i++) {
        e->bins[i] *= decay;
    }
    size_t at = (size_t)position(ratio);
    e->bins[at < BINS ? at : BINS - 1] += 1;
    e->weight = e->weight * decay + 1;
}

/* Records a completed run of a team's task in a queue: its estimate, and what
 * it took from its beginning to its end. An estimate or a run time of 0 or
 * less is ignored. */
void
GfRunTimes_Observe(GfRunTimes *times, const GfName *queue, const GfName *team,
                   int64_t estimate_ms, int64_t run_ms, struct timespec now)
{
    assert(times != NULL && queue != NULL && team != NULL);
    if (estimate_ms <= 0 || run_ms <= 0) {
        return;
    }
    static const GfName ANY_TEAM = {0};
    double ratio = (double)run_ms / (double)estimate_ms;
    observe(add_entry(times, queue, &ANY_TEAM, now), ratio, now);
    if (team->len > 0) {
        observe(add_entry(times, queue, team, now), ratio, now);
    }
}

/* Returns the ratio that half of the ratios above a position in the histogram
 * do not exceed, by interpolation within the bins. Returns 0 if their weight
 * is below MIN_TAIL_WEIGHT. */
static double
median_above(const Entry *e, double from)
{
    double parts[BINS];
    double weight = 0;
    for (size_t i = 0; i < BINS; i++) {
        double covered = (double)i + 1 - from;
        covered = covered < 0 ? 0 : (covered > 1 ? 1 : covered);
        parts[i] = e->bins[i] * covered;
        weight += parts[i];
    }
    if (weight < MIN_TAIL_WEIGHT) {
        return 0;
    }
    double left = weight / 2;
    size_t i = 0;
    while (i + 1 < BINS && left > parts[i]) {
        left -= parts[i++];
    }
    double begin = (double)i > from ? (double)i : from;
    double inside = parts[i] > 0 ? left / parts[i] : 0;
    double at = begin + inside * ((double)i + 1 - begin);
    return exp2(at / BINS_PER_OCTAVE + MIN_LOG2);
}

/* Returns the entry with enough evidence for a team's runs in a queue, or
 * NULL. */
static const Entry *
evidence(const GfRunTimes *times, const GfName *queue, const GfName *team)
{
    static const GfName ANY_TEAM = {0};
    const Entry *e = find_entry(times, queue, team);
    if (e == NULL || e->weight < MIN_WEIGHT) {
        e = find_entry(times, queue, &ANY_TEAM);
    }
    return e == NULL || e->weight < MIN_WEIGHT ? NULL : e;
}

/* Returns the expected ms until a run ends that was estimated at estimate_ms
 * and has taken elapsed_ms (0: it has not started): the median of what
 * comparable runs that took longer took. A run that is longer than all
 * comparable ones is expected to take as long again. Without evidence the
 * estimate is taken as exact. */
int64_t
GfRunTimes_RemainingMs(const GfRunTimes *times, const GfName *queue,
                       const GfName *team, int64_t estimate_ms,
                       int64_t elapsed_ms)
{
    assert(times != NULL && queue != NULL && team != NULL);
    const Entry *e = evidence(times, queue, team);
    if (e == NULL || estimate_ms <= 0) {
        return estimate_ms > elapsed_ms ? estimate_ms - elapsed_ms : 0;
    }
    double from = 0;
    if (elapsed_ms > 0) {
        from = position((double)elapsed_ms / (double)estimate_ms);
    }
    double ratio = median_above(e, from);
    if (ratio <= 0) {
        return elapsed_ms;
    }
    int64_t left_ms = (int64_t)((double)estimate_ms * ratio) - elapsed_ms;
    return left_ms > 0 ? left_ms : 0;
}

/* Returns the probability, 0 to 1, that count runs that start together, each
 * estimated at estimate_ms, all end within limit_ms. Run times are taken as
 * independent. */
double
GfRunTimes_ChanceWithin(const GfRunTimes *times, const GfName *queue,
                        const GfName *team, int64_t estimate_ms,
                        uint32_t count, int64_t limit_ms)
{
    assert(times != NULL && queue != NULL && team != NULL);
    const Entry *e = evidence(times, queue, team);
    if (e == NULL || estimate_ms <= 0 || limit_ms <= 0) {
        return limit_ms >= estimate_ms ? 1 : 0;
    }
    double to = position((double)limit_ms / (double)estimate_ms);
    double weight = 0;
    for (size_t i = 0; i < BINS && (double)i < to; i++) {
        double covered = to - (double)i;
        weight += e->bins[i] * (covered < 1 ? covered : 1);
    }
    double part = weight / e->weight;
    return part < 1 ? pow(part, count) : 1;
}

/* Writes what is known of the queues, at most max of them, to queues. Returns
 * how many. Queues without enough evidence are left out. */
size_t
GfRunTimes_Summarize(const GfRunTimes *times, GfRunTimeSummary *queues,
                     size_t max)
{
    size_t count = 0;
    for (size_t i = 0; i < times->count && count < max; i++) {
        const Entry *e = &times->entries[i];
        if (e->team.len == 0 && e->weight >= MIN_WEIGHT) {
            queues[count++] = (GfRunTimeSummary){.queue = e->queue,
                                                 .ratio = median_above(e, 0),
                                                 .weight = e->weight};
        }
    }
    return count;
}
