/* The choice of a worker for a task. The tests guard against a choice that
 * fragments the workers' capacity, or that spends workers with accelerators on
 * tasks without: then less work fits on the fleet. */
#include "guavaflow/pick.h"

#include <stdio.h>
#include <stdlib.h>

#include "bounds.h"
#include "suite.h"

#define RACKS 8
#define PER_RACK 6
#define WORKERS (RACKS * PER_RACK)
#define MAX_TASKS 4000
#define SEEDS 20
#define PERCENT 100.0

/* Baseline: the first worker that the task fits. */
static size_t
first_fit(const GfResourceVector *capacities, size_t count,
          const GfResourceVector *need)
{
    for (size_t i = 0; i < count; i++) {
        if (GfResourceVector_Fits(&capacities[i], need)) {
            return i;
        }
    }
    return GF_PICK_NONE;
}

/* Baseline: a random worker that the task fits. */
static size_t
random_fit(const GfResourceVector *capacities, size_t count,
           const GfResourceVector *need)
{
    size_t start = (size_t)rand() % count;
    for (size_t i = 0; i < count; i++) {
        size_t at = (start + i) % count;
        if (GfResourceVector_Fits(&capacities[at], need)) {
            return at;
        }
    }
    return GF_PICK_NONE;
}

/* A qsort comparison of needs by processors, descending. */
static int
by_size(const void *a, const void *b)
{
    const GfResourceVector *x = a;
    const GfResourceVector *y = b;
    return (x->mcores < y->mcores) - (x->mcores > y->mcores);
}

/* Fills in the free capacity of WORKERS empty workers, one in six with
 * accelerators. */
static void
make_workers(GfResourceVector *capacities)
{
    for (int i = 0; i < WORKERS; i++) {
        capacities[i] = (GfResourceVector){.mcores = 64000,
                                           .memory_mb = 131072,
                                           .accelerators = i % 6 == 0 ? 4 : 0};
    }
}

/* Generates tasks that need about a tenth more processors than the workers
 * have; returns their number. */
static size_t
make_tasks(GfResourceVector *tasks)
{
    static const uint32_t SIZES[] = {500,  1000,  2000, 4000,
                                     8000, 16000, 24000};
    size_t count = 0;
    uint64_t sum = 0;
    while (sum < (uint64_t)WORKERS * 64000 * 11 / 10 && count < MAX_TASKS) {
        GfResourceVector *t = &tasks[count++];
        t->mcores = SIZES[rand() % 7];
        t->memory_mb = t->mcores * (1 + (uint32_t)rand() % 2);
        t->accelerators = rand() % 12 == 0 ? 1 + (uint32_t)rand() % 2 : 0;
        sum += t->mcores;
    }
    return count;
}

/* Places tasks in order, each on the worker that pick chooses. With by_rack
 * the choice is within one rack, as in the product: the first that the task
 * fits, counted from a random rack (the product picks one of two random racks
 * instead). Without, it is among all workers, as in the offline baseline.
 * Returns the mcores placed and adds the number of tasks with accelerators
 * that were placed to accelerated. */
static uint64_t
place(const GfResourceVector *tasks, size_t count, GfPickFunction pick,
      bool by_rack, uint32_t *accelerated)
{
    GfResourceVector capacities[WORKERS];
    make_workers(capacities);
    uint64_t placed = 0;
    for (size_t i = 0; i < count; i++) {
        size_t at = GF_PICK_NONE;
        if (by_rack) {
            size_t start = (size_t)rand() % RACKS;
            for (size_t r = 0; r < RACKS && at == GF_PICK_NONE; r++) {
                size_t rack = (start + r) % RACKS;
                size_t in =
                    pick(&capacities[rack * PER_RACK], PER_RACK, &tasks[i]);
                at = in == GF_PICK_NONE ? in : rack * PER_RACK + in;
            }
        }
        else {
            at = pick(capacities, WORKERS, &tasks[i]);
        }
        if (at != GF_PICK_NONE) {
            capacities[at] =
                GfResourceVector_Subtract(&capacities[at], &tasks[i]);
            placed += tasks[i].mcores;
            *accelerated += tasks[i].accelerators > 0;
        }
    }
    return placed;
}

/* Best fit within a rack places at least BOUND_PACKING_PERCENT of what an
 * offline best-fit-decreasing over all workers places, and more tasks with
 * accelerators than the baselines do. */
static void
test_packing(void)
{
    static GfResourceVector tasks[MAX_TASKS];
    static GfResourceVector sorted[MAX_TASKS];
    uint64_t sums[4] = {0};
    uint32_t accelerated[4] = {0};
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        srand(seed);
        size_t count = make_tasks(tasks);
        memcpy(sorted, tasks, sizeof(sorted));
        qsort(sorted, count, sizeof(*sorted), by_size);
        sums[0] += place(tasks, count, GfPick_BestFit, true, &accelerated[0]);
        sums[1] += place(tasks, count, first_fit, true, &accelerated[1]);
        sums[2] += place(tasks, count, random_fit, true, &accelerated[2]);
        sums[3] +=
            place(sorted, count, GfPick_BestFit, false, &accelerated[3]);
    }
    double share = PERCENT * (double)sums[0] / (double)sums[3];
    printf("placed, in percent of offline best-fit-decreasing: best fit %.2f, "
           "first fit %.2f, random %.2f\n",
           share, PERCENT * (double)sums[1] / (double)sums[3],
           PERCENT * (double)sums[2] / (double)sums[3]);
    printf("accelerated tasks placed: best fit %u, first fit %u, random %u, "
           "offline %u\n",
           accelerated[0], accelerated[1], accelerated[2], accelerated[3]);
    CU_ASSERT_TRUE(share >= BOUND_PACKING_PERCENT);
    CU_ASSERT_TRUE(accelerated[0] > accelerated[1]);
    CU_ASSERT_TRUE(accelerated[0] > accelerated[2]);
}

/* Best fit picks the worker with the fewest mcores left over, keeps workers
 * with accelerators for tasks that need them, and picks none that the task
 * does not fit. */
static void
test_choice(void)
{
    GfResourceVector capacities[] = {
        {4000, 1000, 1}, {8000, 1000, 0}, {3000, 1000, 0}};
    GfResourceVector need = {.mcores = 3000, .memory_mb = 10};
    CU_ASSERT_EQUAL(GfPick_BestFit(capacities, 3, &need), 2);
    need.mcores = 4000;
    CU_ASSERT_EQUAL(GfPick_BestFit(capacities, 3, &need), 1);
    need.accelerators = 1;
    CU_ASSERT_EQUAL(GfPick_BestFit(capacities, 3, &need), 0);
    need.mcores = 9000;
    CU_ASSERT_EQUAL(GfPick_BestFit(capacities, 3, &need), GF_PICK_NONE);
    CU_ASSERT_EQUAL(GfPick_BestFit(NULL, 0, &need), GF_PICK_NONE);
}

static const SuiteTest TESTS[] = {{"packing", test_packing},
                                  {"choice", test_choice}};

SUITE_MAIN("pick", TESTS)
