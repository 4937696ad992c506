/* Interference that is not noticed leaves slow pairs together; interference
 * that is noticed where there is none keeps tasks apart that could share
 * workers, and the room is lost. Both come about when the measured values are
 * compared wrongly: with other workers, with other load, with another mix of
 * tasks, or with what was true some seconds ago. The tests draw fleets whose
 * interference is known to them only.
 *
 * Targets: of the pairs that lengthen a task by half or more, 80 % are
 * established within 10 s of sharing a worker; of the established pairs, at
 * most 5 % lengthen it by less than a fifth. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/clock.h"
#include "guavaflow/interference.h"
#include "suite.h"

#define IMAGES 24
#define MAX_WORKERS 350
#define TICK_MS 500
#define SHARING_MS 10000
#define FOUND_PERCENT 80
#define FALSE_PERCENT 5
#define PERCENT 100
/* What counts as lengthening by half, and as no lengthening. */
#define HEAVY_FACTOR 1.5
#define LIGHT_FACTOR 1.2

/* A drawn fleet. Each worker runs a task of one image, beside which
 * disturbers of other images come and go. */
typedef struct {
    uint64_t random_state;
    GfInterference *interference;
    GfTaskClass classes[2 * IMAGES]; /* victims, then disturbers */
    double factor[IMAGES][IMAGES];   /* by victim and disturber */
    double load[IMAGES];
    double speed[MAX_WORKERS];
    int victim[MAX_WORKERS];
    int disturber[MAX_WORKERS]; /* -1: none */
    int workers;
    double noise;
    int64_t now_ms;
} Fleet;

static double
fraction(Fleet *f)
{
    f->random_state =
        f->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(f->random_state >> 40U) / (double)(1U << 24U);
}

/* Returns an approximately normal number with deviation 1. */
static double
normal(Fleet *f)
{
    double sum = -6;
    for (int i = 0; i < 12; i++) {
        sum += fraction(f);
    }
    return sum;
}

/* Draws the factors: one pair in five is heavy, one in five lengthens by up to
 * a tenth, the others not at all. */
static void
draw_factors(Fleet *f)
{
    for (int v = 0; v < IMAGES; v++) {
        for (int d = 0; d < IMAGES; d++) {
            double kind = fraction(f);
            f->factor[v][d] = kind < 0.2   ? HEAVY_FACTOR + 1.5 * fraction(f)
                              : kind < 0.4 ? 1 + 0.1 * fraction(f)
                                           : 1;
        }
    }
}

static void
create_fleet(Fleet *f, uint32_t seed, int workers, double noise)
{
    memset(f, 0, sizeof(*f));
    f->random_state = seed * 2654435761U + 1;
    f->interference = GfInterference_Create();
    f->workers = workers;
    f->noise = noise;
    f->now_ms = 1000000;
    for (int i = 0; i < 2 * IMAGES; i++) {
        GfName name = GfName_Format("image-%d", i);
        f->classes[i] = GfInterference_Class(f->interference, &name,
                                             GfTime_FromMs(f->now_ms));
    }
    for (int i = 0; i < IMAGES; i++) {
        f->load[i] = 20 + 50 * fraction(f);
    }
    for (int w = 0; w < workers; w++) {
        f->victim[w] = w % IMAGES;
        f->disturber[w] = -1;
        f->speed[w] = 1 + 0.1 * normal(f);
    }
    draw_factors(f);
}

/* Lets a time pass, in which each worker reports its task every TICK_MS. */
static void
run(Fleet *f, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += TICK_MS) {
        f->now_ms += TICK_MS;
        for (int w = 0; w < f->workers; w++) {
            int v = f->victim[w];
            int d = f->disturber[w];
            double value = f->load[v] / f->speed[w] *
                           (d < 0 ? 1 : f->factor[v][d]) *
                           exp(f->noise * normal(f));
            GfInterferenceSample sample = {.victim = f->classes[v],
                                           .worker = (uint32_t)w + 1,
                                           .log_value = log(value),
                                           .beside_count = d >= 0};
            if (d >= 0) {
                sample.beside[0] =
                    (GfBeside){.class = f->classes[IMAGES + d], .presence = 1};
            }
            GfInterference_Observe(f->interference, &sample);
        }
        GfInterference_Update(f->interference, GfTime_FromMs(f->now_ms), NULL,
                              NULL);
    }
}

/* Puts new disturbers beside half of the tasks. */
static void
draw_disturbers(Fleet *f)
{
    for (int w = 0; w < f->workers; w++) {
        f->disturber[w] = fraction(f) < 0.5 ? (int)(fraction(f) * IMAGES) : -1;
    }
}

/* Counts over the pairs that share a worker now. */
typedef struct {
    int heavy;
    int found; /* heavy and established */
    int established;
    int light; /* established, but light */
} Counts;

static void
count_pairs(const Fleet *f, Counts *counts)
{
    bool seen[IMAGES][IMAGES] = {{false}};
    for (int w = 0; w < f->workers; w++) {
        int v = f->victim[w];
        int d = f->disturber[w];
        if (d < 0 || seen[v][d]) {
            continue;
        }
        seen[v][d] = true;
        bool established =
            GfInterference_Lengthening(f->interference, f->classes[v],
                                       f->classes[IMAGES + d]) > 0;
        counts->heavy += f->factor[v][d] >= HEAVY_FACTOR;
        counts->found += established && f->factor[v][d] >= HEAVY_FACTOR;
    }
    for (int v = 0; v < IMAGES; v++) {
        for (int d = 0; d < IMAGES; d++) {
            bool established =
                GfInterference_Lengthening(f->interference, f->classes[v],
                                           f->classes[IMAGES + d]) > 0;
            counts->established += established;
            counts->light += established && f->factor[v][d] < LIGHT_FACTOR;
        }
    }
}

/* Checks the targets and prints what was counted. */
static void
check_counts(const char *what, const Counts *counts)
{
    printf("\n    %s: %d of %d heavy pairs found, %d of %d established are "
           "light ",
           what, counts->found, counts->heavy, counts->light,
           counts->established);
    CU_ASSERT_TRUE(counts->heavy > 20);
    CU_ASSERT_TRUE(counts->found * PERCENT >= counts->heavy * FOUND_PERCENT);
    CU_ASSERT_TRUE(counts->light * PERCENT <=
                   counts->established * FALSE_PERCENT);
}

/* Disturbers that change every 10 s, at two levels of noise. */
static void
test_drawn_fleets(void)
{
    const double noises[] = {0.05, 0.15};
    for (size_t n = 0; n < 2; n++) {
        Counts counts = {0};
        for (uint32_t seed = 1; seed <= 10; seed++) {
            Fleet f;
            create_fleet(&f, seed, 96, noises[n]);
            run(&f, 5000);
            for (int round = 0; round < 3; round++) {
                draw_disturbers(&f);
                run(&f, SHARING_MS);
                count_pairs(&f, &counts);
            }
            GfInterference_Destroy(f.interference);
        }
        check_counts(n == 0 ? "noise 5 %" : "noise 15 %", &counts);
    }
}

/* Workers that have become slow for all that they run when disturbers come:
 * these are not to blame. */
static void
test_slow_workers(void)
{
    Counts counts = {0};
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Fleet f;
        create_fleet(&f, seed, 96, 0.1);
        run(&f, 5000);
        for (int w = 0; w < f.workers; w += 10) {
            f.speed[w] = 0.5;
        }
        run(&f, 5000);
        draw_disturbers(&f);
        run(&f, SHARING_MS);
        count_pairs(&f, &counts);
        GfInterference_Destroy(f.interference);
    }
    check_counts("slow workers", &counts);
}

/* Load that rises everywhere at the moment at which tasks begin to share
 * workers. */
static void
test_load_rises_everywhere(void)
{
    Counts counts = {0};
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Fleet f;
        create_fleet(&f, seed, 96, 0.1);
        run(&f, 5000);
        draw_disturbers(&f);
        for (int i = 0; i < IMAGES; i++) {
            f.load[i] *= 2;
        }
        run(&f, SHARING_MS);
        count_pairs(&f, &counts);
        GfInterference_Destroy(f.interference);
    }
    check_counts("load doubled", &counts);
}

/* The factors change while tasks share workers: what was true before is
 * dropped, what is true now is established, within 10 s. */
static void
test_change_in_the_middle(void)
{
    Counts counts = {0};
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Fleet f;
        create_fleet(&f, seed, 96, 0.1);
        run(&f, 5000);
        draw_disturbers(&f);
        run(&f, SHARING_MS);
        draw_factors(&f);
        run(&f, SHARING_MS);
        count_pairs(&f, &counts);
        GfInterference_Destroy(f.interference);
    }
    check_counts("factors changed", &counts);
}

#define SLOTS 4
#define RUN_IMAGES 10

/* Tasks that end after 0.5 to 2 s, four on each worker, known by their run
 * times alone, relative to estimates that are off by 15 %. A slot of a worker
 * runs one image after another for as long as the tasks share it. */
static void
test_run_times(void)
{
    Counts counts = {0};
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Fleet f;
        create_fleet(&f, seed, 96, 0.15);
        int image[MAX_WORKERS][SLOTS];
        int64_t ends_ms[MAX_WORKERS][SLOTS] = {{0}};
        bool shared[IMAGES][IMAGES] = {{false}};
        for (int t = 0; t < 2 * SHARING_MS / TICK_MS; t++) {
            f.now_ms += TICK_MS;
            for (int w = 0; w < f.workers; w++) {
                for (int k = 0; k < SLOTS; k++) {
                    if (t == 0 || t == SHARING_MS / TICK_MS) {
                        image[w][k] = (int)(fraction(&f) * RUN_IMAGES);
                    }
                }
                for (int k = 0; k < SLOTS; k++) {
                    if (f.now_ms < ends_ms[w][k]) {
                        continue;
                    }
                    int v = image[w][k];
                    GfInterferenceSample s = {.victim = f.classes[v],
                                              .worker = (uint32_t)w + 1};
                    double value = exp(f.noise * normal(&f)) / f.speed[w];
                    for (int o = 0; o < SLOTS; o++) {
                        int d = image[w][o];
                        if (o == k || d == v) {
                            continue;
                        }
                        value *= f.factor[v][d];
                        shared[v][d] =
                            shared[v][d] || t > SHARING_MS / TICK_MS;
                        s.beside[s.beside_count++] =
                            (GfBeside){.class = f.classes[d], .presence = 1};
                    }
                    s.log_value = log(value);
                    GfInterference_Observe(f.interference, &s);
                    ends_ms[w][k] =
                        f.now_ms +
                        (int64_t)((500 + 1500 * fraction(&f)) * value);
                }
            }
            GfInterference_Update(f.interference, GfTime_FromMs(f.now_ms),
                                  NULL, NULL);
        }
        for (int v = 0; v < IMAGES; v++) {
            for (int d = 0; d < IMAGES; d++) {
                bool established =
                    GfInterference_Lengthening(f.interference, f.classes[v],
                                               f.classes[d]) > 0;
                bool heavy = shared[v][d] && f.factor[v][d] >= HEAVY_FACTOR;
                counts.heavy += heavy;
                counts.found += heavy && established;
                counts.established += established;
                counts.light += established && f.factor[v][d] < LIGHT_FACTOR;
            }
        }
        GfInterference_Destroy(f.interference);
    }
    check_counts("run times", &counts);
}

/* Without any interference hardly a pair is established. */
static void
test_no_interference(void)
{
    Counts counts = {0};
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Fleet f;
        create_fleet(&f, seed, 96, 0.15);
        for (int v = 0; v < IMAGES; v++) {
            for (int d = 0; d < IMAGES; d++) {
                f.factor[v][d] = 1;
            }
        }
        run(&f, 5000);
        draw_disturbers(&f);
        run(&f, 2LL * SHARING_MS);
        count_pairs(&f, &counts);
        GfInterference_Destroy(f.interference);
    }
    printf("\n    none: %d established ", counts.established);
    CU_ASSERT_TRUE(counts.established <= 1);
}

/* A task that always runs beside the same disturber shows nothing about it:
 * the state says so. */
static void
test_thin_evidence(void)
{
    Fleet f;
    create_fleet(&f, 1, 1, 0.02);
    f.disturber[0] = 0;
    f.factor[0][0] = 3;
    run(&f, SHARING_MS);
    GfInterferencePair pair;
    CU_ASSERT_TRUE(GfInterference_Estimate(f.interference, f.classes[0],
                                           f.classes[IMAGES],
                                           GfTime_FromMs(f.now_ms), &pair));
    CU_ASSERT_FALSE(pair.established);
    CU_ASSERT_TRUE(pair.doubt > 0.1);
    CU_ASSERT_FALSE(GfInterference_Estimate(f.interference, f.classes[0],
                                            f.classes[IMAGES + 1],
                                            GfTime_FromMs(f.now_ms), &pair));
    GfInterference_Destroy(f.interference);
}

static int changes;

static void
on_change(void *ctx, const GfInterferencePair *pair)
{
    (void)ctx;
    changes += pair->established ? 1 : -1;
}

/* An established pair that is not seen any more is dropped, and both are
 * reported. */
static void
test_forgotten(void)
{
    Fleet f;
    create_fleet(&f, 1, 96, 0.05);
    memset(f.factor, 0, sizeof(f.factor));
    for (int v = 0; v < IMAGES; v++) {
        for (int d = 0; d < IMAGES; d++) {
            f.factor[v][d] = 2;
        }
    }
    run(&f, 5000);
    draw_disturbers(&f);
    run(&f, SHARING_MS);
    GfInterferencePair heaviest[5];
    CU_ASSERT_EQUAL(GfInterference_Heaviest(
                        f.interference, GfTime_FromMs(f.now_ms), heaviest, 5),
                    5);
    CU_ASSERT_TRUE(heaviest[0].effect >= heaviest[4].effect);
    CU_ASSERT_TRUE(fabs(exp(heaviest[4].effect) - 2) < 0.5);
    changes = (int)GfInterference_EstablishedCount(f.interference);
    for (int s = 0; s < 60; s++) {
        f.now_ms += 1000;
        GfInterference_Update(f.interference, GfTime_FromMs(f.now_ms),
                              on_change, NULL);
    }
    CU_ASSERT_EQUAL(changes, 0);
    CU_ASSERT_EQUAL(GfInterference_EstablishedCount(f.interference), 0);
    GfInterference_Destroy(f.interference);
}

/* More classes, workers, pairs and samples than there is space for are left
 * out. Prints the processor time of a large fleet: 350 workers with eight
 * tasks each, of 300 images. */
static void
test_bounds_and_cost(void)
{
    GfInterference *g = GfInterference_Create();
    GfTaskClass classes[GF_INTERFERENCE_CLASSES];
    struct timespec now = GfTime_FromMs(1000000);
    for (int i = 0; i < GF_INTERFERENCE_CLASSES; i++) {
        GfName name = GfName_Format("c%d", i);
        classes[i] = GfInterference_Class(g, &name, now);
        CU_ASSERT_TRUE(classes[i] != 0);
    }
    GfName more = GfName_Format("more");
    CU_ASSERT_EQUAL(GfInterference_Class(g, &more, now), 0);
    clock_t begin = clock();
    for (int t = 0; t < 40; t++) {
        now = GfTime_AddMs(now, TICK_MS);
        for (uint32_t i = 0; i < 350 * 8; i++) {
            GfInterferenceSample s = {.victim = classes[i % 300],
                                      .worker = i / 8 + 1,
                                      .beside_count = 7};
            for (uint32_t k = 0; k < 7; k++) {
                s.beside[k] = (GfBeside){
                    .class = classes[(i * 7 + k * 13) % 300], .presence = 1};
            }
            GfInterference_Observe(g, &s);
        }
        GfInterference_Update(g, now, NULL, NULL);
    }
    printf("\n    %.1f ms of processor time a second ",
           (double)(clock() - begin) * 1000 / CLOCKS_PER_SEC / 20);
    now = GfTime_AddMs(now, 200000);
    GfInterference_Update(g, now, NULL, NULL);
    CU_ASSERT_TRUE(GfInterference_Class(g, &more, now) != 0);
    GfInterferencePair pair;
    CU_ASSERT_FALSE(
        GfInterference_Estimate(g, classes[0], classes[1], now, &pair));
    GfInterference_Destroy(g);
}

static const SuiteTest TESTS[] = {
    {"drawn fleets", test_drawn_fleets},
    {"slow workers", test_slow_workers},
    {"load rises everywhere", test_load_rises_everywhere},
    {"run times", test_run_times},
    {"change in the middle", test_change_in_the_middle},
    {"no interference", test_no_interference},
    {"thin evidence", test_thin_evidence},
    {"forgotten", test_forgotten},
    {"bounds and cost", test_bounds_and_cost}};

SUITE_MAIN("interference", TESTS)
