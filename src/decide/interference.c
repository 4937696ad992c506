/* Estimation of interference between classes of tasks, by a Kalman filter with
 * a diagonal covariance: Kalman, A New Approach to Linear Filtering and
 * Prediction Problems (1960). Each update first estimates the level of each
 * class from all of its samples, then corrects the effects of workers and
 * pairs with what the level does not explain. */
#include "guavaflow/interference.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "guavaflow/clock.h"

#define MS_PER_S 1000.0
/* Variances of what is not known yet, in squared units of log_value. Most
 * pairs do not interfere, so the effect of one is 0 until there is evidence.
 */
#define PAIR_PRIOR 0.2
#define WORKER_PRIOR 0.08
#define LEVEL_PRIOR 4.0
/* Growth of the variances in a second, as behaviour changes. */
#define PAIR_DRIFT 0.02
#define WORKER_DRIFT 0.002
#define LEVEL_DRIFT 0.2
/* Time constant in s with which an effect that is not observed goes back to
 * 0. */
#define FORGET_S 20.0
/* Variance of the samples of a class: at first, its bounds, and the weight of
 * a new sample in it. */
#define NOISE_START 0.03
#define NOISE_MIN 0.001
#define NOISE_MAX 0.5
#define NOISE_WEIGHT 0.03
/* Residuals beyond this many standard deviations are cut off. */
#define OUTLIER_DEVIATIONS 3.0
/* A pair is established if the factor is at least the first, and beyond
 * DOUBT_FACTOR standard deviations at least the second; it is dropped below
 * the third, or if the doubt exceeds the fourth. */
#define ESTABLISH_FACTOR 1.3
#define ESTABLISH_CERTAIN_FACTOR 1.08
#define DROP_FACTOR 1.15
#define DROP_DOUBT 0.3
#define DOUBT_FACTOR 2.0
/* Variance of what a worker has of its own and a pair observed there alone
 * seems to have. */
#define SINGLE_WORKER_VARIANCE 0.02
/* The workers of a pair are counted anew in each interval of this length. */
#define WORKERS_INTERVAL_S 15
/* A presence below this is no evidence. */
#define MIN_PRESENCE 0.05
/* Pairs, workers and classes that are not mentioned for this long are
 * forgotten; classes later, since pairs refer to them. */
#define PAIR_KEEP_MS 30000
#define WORKER_KEEP_MS 60000
#define CLASS_KEEP_MS 90000
#define SWEEP_MS 1000
#define SLOT_BITS 10
#define MASK_BITS 16

typedef struct {
    double mean;
    double variance;
    struct timespec at; /* when both were updated last */
} Effect;

typedef struct {
    GfName name;
    uint32_t id; /* 0: unused */
    uint32_t generation;
    struct timespec used_at;
    Effect level;
    bool has_level;
    double noise;
    int32_t first_sample; /* in the samples; -1: none */
    uint32_t established; /* pairs that it belongs to */
    UT_hash_handle hh;
} Class;

typedef struct {
    uint64_t key; /* victim and disturber, see make_key */
    GfTaskClass victim;
    GfTaskClass disturber;
    Effect effect;
    uint16_t workers;        /* a bit for each worker, by hash */
    uint16_t former_workers; /* those of the interval before */
    struct timespec workers_since;
    bool established;
    UT_hash_handle hh;
} Pair;

typedef struct {
    uint32_t serial;
    Effect effect;
    UT_hash_handle hh;
} WorkerEffect;

typedef struct {
    GfInterferenceSample sample;
    int32_t next; /* of the same class; -1: none */
} StoredSample;

struct GfInterference {
    Class classes[GF_INTERFERENCE_CLASSES];
    Class *by_name;
    Pair *pairs;
    WorkerEffect *workers;
    StoredSample samples[GF_INTERFERENCE_SAMPLES];
    size_t sample_count;
    size_t established_count;
    struct timespec swept_at;
};

/* What a sample is compared with: its worker and the pairs beside it. */
typedef struct {
    WorkerEffect *worker; /* NULL: not kept */
    Pair *pairs[GF_INTERFERENCE_BESIDE];
    double presence[GF_INTERFERENCE_BESIDE];
    size_t count;
    double expected; /* sum of the effects */
    double variance; /* of expected, without the noise */
} Terms;

/* Returns an empty state, which the caller destroys. */
GfInterference *
GfInterference_Create(void)
{
    GfInterference *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        abort();
    }
    for (size_t i = 0; i < GF_INTERFERENCE_CLASSES; i++) {
        g->classes[i].first_sample = -1;
    }
    return g;
}

/* Frees the state; NULL is ignored. */
void
GfInterference_Destroy(GfInterference *g)
{
    if (g == NULL) {
        return;
    }
    HASH_CLEAR(hh, g->by_name);
    Pair *p;
    Pair *ptmp;
    HASH_ITER(hh, g->pairs, p, ptmp)
    {
        HASH_DELETE(hh, g->pairs, p);
        free(p);
    }
    WorkerEffect *w;
    WorkerEffect *wtmp;
    HASH_ITER(hh, g->workers, w, wtmp)
    {
        HASH_DELETE(hh, g->workers, w);
        free(w);
    }
    free(g);
}

/* Returns an effect at a later time: its mean has gone back towards 0, and its
 * variance has grown, at most to the prior. */
static Effect
effect_at(Effect e, double prior, double drift, struct timespec now)
{
    double s = (double)GfTime_DiffMs(now, e.at) / MS_PER_S;
    if (s > 0) {
        e.mean *= exp(-s / FORGET_S);
        e.variance += drift * s;
        e.variance = e.variance < prior ? e.variance : prior;
        e.at = now;
    }
    return e;
}

/* Returns the class of an id, or NULL if it was forgotten. */
static const Class *
known_class(const GfInterference *g, GfTaskClass id)
{
    size_t slot = id & ((1U << SLOT_BITS) - 1);
    if (slot == 0 || slot > GF_INTERFERENCE_CLASSES) {
        return NULL;
    }
    const Class *c = &g->classes[slot - 1];
    return c->id == id ? c : NULL;
}

/* Returns the class of an id, to be changed, or NULL if it was forgotten. */
static Class *
find_class(GfInterference *g, GfTaskClass id)
{
    return (Class *)known_class(g, id);
}

/* Returns the slot for a new class: an unused one, or that of the class not
 * used for the longest time, CLASS_KEEP_MS at least. Returns NULL if there is
 * none. */
static Class *
free_slot(GfInterference *g, struct timespec now)
{
    Class *oldest = NULL;
    for (size_t i = 0; i < GF_INTERFERENCE_CLASSES; i++) {
        Class *c = &g->classes[i];
        if (c->id == 0) {
            return c;
        }
        if (c->established == 0 && c->first_sample < 0 &&
            GfTime_DiffMs(now, c->used_at) > CLASS_KEEP_MS &&
            (oldest == NULL || GfTime_Before(c->used_at, oldest->used_at))) {
            oldest = c;
        }
    }
    if (oldest != NULL) {
        HASH_DELETE(hh, g->by_name, oldest);
    }
    return oldest;
}

/* Returns the class with a name, which is added if it is new; 0 if there is no
 * space for it. */
GfTaskClass
GfInterference_Class(GfInterference *g, const GfName *name,
                     struct timespec now)
{
    Class *c = NULL;
    HASH_FIND(hh, g->by_name, name->data, name->len, c);
    if (c == NULL) {
        c = free_slot(g, now);
        if (c == NULL) {
            return 0;
        }
        uint32_t slot = (uint32_t)(c - g->classes) + 1;
        uint32_t generation = c->generation + 1;
        *c = (Class){.name = *name,
                     .id = generation << SLOT_BITS | slot,
                     .generation = generation,
                     .noise = NOISE_START,
                     .first_sample = -1};
        HASH_ADD(hh, g->by_name, name.data, name->len, c);
    }
    c->used_at = now;
    return c->id;
}

/* Keeps a copy of a sample for the next update. */
void
GfInterference_Observe(GfInterference *g, const GfInterferenceSample *sample)
{
    Class *c = find_class(g, sample->victim);
    if (c == NULL || g->sample_count == GF_INTERFERENCE_SAMPLES ||
        !isfinite(sample->log_value)) {
        return;
    }
    assert(sample->beside_count <= GF_INTERFERENCE_BESIDE);
    StoredSample *s = &g->samples[g->sample_count];
    s->sample = *sample;
    s->next = c->first_sample;
    c->first_sample = (int32_t)g->sample_count++;
}

/* Returns the key of a pair in the table of pairs. */
static uint64_t
make_key(GfTaskClass victim, GfTaskClass disturber)
{
    return (uint64_t)victim << 32U | disturber;
}

/* Returns the pair of two classes, or NULL if nothing is kept about it. */
static Pair *
find_pair(const GfInterference *g, GfTaskClass victim, GfTaskClass disturber)
{
    Pair *p = NULL;
    uint64_t key = make_key(victim, disturber);
    HASH_FIND(hh, g->pairs, &key, sizeof(key), p);
    return p;
}

/* Returns the pair with its effect as of now, which is added if it is new;
 * NULL if there is no space for it. */
static Pair *
refresh_pair(GfInterference *g, GfTaskClass victim, GfTaskClass disturber,
             struct timespec now)
{
    Pair *p = find_pair(g, victim, disturber);
    if (p == NULL) {
        if (HASH_COUNT(g->pairs) >= GF_INTERFERENCE_PAIRS) {
            return NULL;
        }
        p = calloc(1, sizeof(*p));
        if (p == NULL) {
            abort();
        }
        p->key = make_key(victim, disturber);
        p->victim = victim;
        p->disturber = disturber;
        p->effect = (Effect){.variance = PAIR_PRIOR, .at = now};
        p->workers_since = now;
        HASH_ADD(hh, g->pairs, key, sizeof(p->key), p);
        return p;
    }
    p->effect = effect_at(p->effect, PAIR_PRIOR, PAIR_DRIFT, now);
    return p;
}

/* Returns the effect of a worker as of now, which is added if it is new; NULL
 * if there is no space for it. */
static WorkerEffect *
refresh_worker(GfInterference *g, uint32_t serial, struct timespec now)
{
    WorkerEffect *w = NULL;
    HASH_FIND(hh, g->workers, &serial, sizeof(serial), w);
    if (w == NULL) {
        if (HASH_COUNT(g->workers) >= GF_INTERFERENCE_WORKERS) {
            return NULL;
        }
        w = calloc(1, sizeof(*w));
        if (w == NULL) {
            abort();
        }
        w->serial = serial;
        w->effect = (Effect){.variance = WORKER_PRIOR, .at = now};
        HASH_ADD(hh, g->workers, serial, sizeof(w->serial), w);
        return w;
    }
    w->effect = effect_at(w->effect, WORKER_PRIOR, WORKER_DRIFT, now);
    return w;
}

/* Writes what a sample is compared with to *terms. */
static void
find_terms(GfInterference *g, const GfInterferenceSample *s,
           struct timespec now, Terms *terms)
{
    *terms = (Terms){.worker = refresh_worker(g, s->worker, now)};
    if (terms->worker != NULL) {
        terms->expected = terms->worker->effect.mean;
        terms->variance = terms->worker->effect.variance;
    }
    for (size_t i = 0; i < s->beside_count; i++) {
        double x = s->beside[i].presence;
        Class *c = find_class(g, s->beside[i].class);
        Pair *p = c == NULL || x < MIN_PRESENCE
                      ? NULL
                      : refresh_pair(g, s->victim, c->id, now);
        if (p == NULL) {
            continue;
        }
        c->used_at = now;
        terms->pairs[terms->count] = p;
        terms->presence[terms->count++] = x;
        terms->expected += x * p->effect.mean;
        terms->variance += x * x * p->effect.variance;
    }
}

/* Estimates the level of a class now from its samples and its former level,
 * each weighted with the inverse of its variance. */
static void
update_level(GfInterference *g, Class *c, struct timespec now)
{
    double weight = 0;
    double sum = 0;
    if (c->has_level) {
        double s = (double)GfTime_DiffMs(now, c->level.at) / MS_PER_S;
        double variance = c->level.variance + LEVEL_DRIFT * s;
        weight = 1 / (variance < LEVEL_PRIOR ? variance : LEVEL_PRIOR);
        sum = weight * c->level.mean;
    }
    for (int32_t i = c->first_sample; i >= 0; i = g->samples[i].next) {
        const GfInterferenceSample *s = &g->samples[i].sample;
        Terms terms;
        find_terms(g, s, now, &terms);
        double w = 1 / (terms.variance + c->noise);
        weight += w;
        sum += w * (s->log_value - terms.expected);
    }
    c->level =
        (Effect){.mean = sum / weight, .variance = 1 / weight, .at = now};
    c->has_level = true;
}

/* Records that a pair was observed on a worker. */
static void
record_worker(Pair *p, uint32_t serial, struct timespec now)
{
    if (GfTime_DiffMs(now, p->workers_since) >=
        (int64_t)(WORKERS_INTERVAL_S * MS_PER_S)) {
        p->former_workers = p->workers;
        p->workers = 0;
        p->workers_since = now;
    }
    uint32_t hash = serial * 2654435761U;
    p->workers |= (uint16_t)(1U << (hash >> 28U) % MASK_BITS);
}

/* Corrects the effects of a sample's worker and pairs with the part of its
 * value that they and the level of its class do not explain. */
static void
correct(GfInterference *g, Class *c, const GfInterferenceSample *s,
        struct timespec now)
{
    Terms terms;
    find_terms(g, s, now, &terms);
    double variance = terms.variance + c->noise + c->level.variance;
    double residual = s->log_value - c->level.mean - terms.expected;
    double limit = OUTLIER_DEVIATIONS * sqrt(variance);
    residual = residual > limit ? limit : residual;
    residual = residual < -limit ? -limit : residual;
    double left = residual;
    if (terms.worker != NULL) {
        Effect *e = &terms.worker->effect;
        double gain = e->variance / variance;
        e->mean += gain * residual;
        left -= gain * residual;
        e->variance -= gain * e->variance;
    }
    for (size_t i = 0; i < terms.count; i++) {
        Effect *e = &terms.pairs[i]->effect;
        double gain = e->variance * terms.presence[i] / variance;
        e->mean += gain * residual;
        left -= gain * terms.presence[i] * residual;
        e->variance -= gain * terms.presence[i] * e->variance;
        record_worker(terms.pairs[i], s->worker, now);
    }
    double square = left * left;
    double most = OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * c->noise;
    square = square < most ? square : most;
    c->noise += NOISE_WEIGHT * (square - c->noise);
    c->noise = c->noise > NOISE_MIN ? c->noise : NOISE_MIN;
    c->noise = c->noise < NOISE_MAX ? c->noise : NOISE_MAX;
}

/* Returns the standard deviation of a pair's effect. What only one worker or a
 * few have shown may be an effect of these workers. */
static double
doubt_of(const Pair *p, const Effect *e)
{
    int workers =
        __builtin_popcount((unsigned)(p->workers | p->former_workers));
    return sqrt(e->variance +
                SINGLE_WORKER_VARIANCE / (workers > 0 ? workers : 1));
}

/* Writes a pair as of now to *out; the names are empty if a class was
 * forgotten. */
static void
describe(const GfInterference *g, const Pair *p, struct timespec now,
         GfInterferencePair *out)
{
    const Class *v = known_class(g, p->victim);
    const Class *d = known_class(g, p->disturber);
    Effect e = effect_at(p->effect, PAIR_PRIOR, PAIR_DRIFT, now);
    *out = (GfInterferencePair){.effect = e.mean,
                                .doubt = doubt_of(p, &e),
                                .established = p->established};
    if (v != NULL && d != NULL) {
        out->victim = v->name;
        out->disturber = d->name;
    }
}

/* Decides whether a pair is established, and reports a change. */
static void
judge(GfInterference *g, Pair *p, bool expired, struct timespec now,
      GfInterferenceChanged changed, void *ctx)
{
    GfInterferencePair pair;
    describe(g, p, now, &pair);
    bool established =
        p->established
            ? pair.effect >= log(DROP_FACTOR) && pair.doubt <= DROP_DOUBT
            : pair.effect >= log(ESTABLISH_FACTOR) &&
                  pair.effect - DOUBT_FACTOR * pair.doubt >=
                      log(ESTABLISH_CERTAIN_FACTOR);
    established = established && !expired;
    if (established == p->established) {
        return;
    }
    p->established = established;
    pair.established = established;
    uint32_t change = established ? 1 : UINT32_MAX;
    Class *v = find_class(g, p->victim);
    Class *d = find_class(g, p->disturber);
    if (v != NULL) {
        v->established += change;
    }
    if (d != NULL) {
        d->established += change;
    }
    g->established_count += established ? 1 : SIZE_MAX;
    if (changed != NULL) {
        changed(ctx, &pair);
    }
}

/* Judges all pairs and forgets pairs and workers that were not mentioned for
 * some time. */
static void
sweep(GfInterference *g, struct timespec now, GfInterferenceChanged changed,
      void *ctx)
{
    Pair *p;
    Pair *ptmp;
    HASH_ITER(hh, g->pairs, p, ptmp)
    {
        bool expired = GfTime_DiffMs(now, p->effect.at) > PAIR_KEEP_MS;
        judge(g, p, expired, now, changed, ctx);
        if (expired) {
            HASH_DELETE(hh, g->pairs, p);
            free(p);
        }
    }
    WorkerEffect *w;
    WorkerEffect *wtmp;
    HASH_ITER(hh, g->workers, w, wtmp)
    {
        if (GfTime_DiffMs(now, w->effect.at) > WORKER_KEEP_MS) {
            HASH_DELETE(hh, g->workers, w);
            free(w);
        }
    }
    g->swept_at = now;
}

/* Applies the samples since the last update, which should be about half a
 * second ago so that samples of one class can be compared. changed, which may
 * be NULL, is called with ctx for pairs whose state has changed; it must not
 * use the state. */
void
GfInterference_Update(GfInterference *g, struct timespec now,
                      GfInterferenceChanged changed, void *ctx)
{
    for (size_t k = 0; k < GF_INTERFERENCE_CLASSES; k++) {
        Class *c = &g->classes[k];
        if (c->first_sample < 0) {
            continue;
        }
        update_level(g, c, now);
        for (int32_t i = c->first_sample; i >= 0; i = g->samples[i].next) {
            correct(g, c, &g->samples[i].sample, now);
        }
        c->used_at = now;
        c->first_sample = -1;
    }
    g->sample_count = 0;
    if (GfTime_DiffMs(now, g->swept_at) >= SWEEP_MS) {
        sweep(g, now, changed, ctx);
    }
}

/* Writes what is known of a pair to *pair. Returns false if nothing is. */
bool
GfInterference_Estimate(const GfInterference *g, GfTaskClass victim,
                        GfTaskClass disturber, struct timespec now,
                        GfInterferencePair *pair)
{
    const Pair *p = find_pair(g, victim, disturber);
    if (p == NULL) {
        return false;
    }
    describe(g, p, now, pair);
    return true;
}

/* Returns by which part one disturber lengthens the victim, such as 0.5 for a
 * factor of 1.5; 0 if the pair is not established. */
double
GfInterference_Lengthening(const GfInterference *g, GfTaskClass victim,
                           GfTaskClass disturber)
{
    const Class *v = known_class(g, victim);
    const Class *d = known_class(g, disturber);
    if (v == NULL || d == NULL || v->established == 0 || d->established == 0) {
        return 0;
    }
    const Pair *p = find_pair(g, victim, disturber);
    return p == NULL || !p->established ? 0 : exp(p->effect.mean) - 1;
}

/* Returns the number of established pairs. */
size_t
GfInterference_EstablishedCount(const GfInterference *g)
{
    return g->established_count;
}

/* Writes up to max established pairs to pairs, the largest effect first.
 * Returns their number. */
size_t
GfInterference_Heaviest(const GfInterference *g, struct timespec now,
                        GfInterferencePair *pairs, size_t max)
{
    size_t count = 0;
    for (const Pair *p = g->pairs; p != NULL; p = p->hh.next) {
        if (!p->established) {
            continue;
        }
        GfInterferencePair pair;
        describe(g, p, now, &pair);
        size_t at = count;
        while (at > 0 && pairs[at - 1].effect < pair.effect) {
            if (at < max) {
                pairs[at] = pairs[at - 1];
            }
            at--;
        }
        if (at < max) {
            pairs[at] = pair;
            count += count < max;
        }
    }
    return count;
}
