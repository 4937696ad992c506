#include "guavaflow/succession.h"

#include <stdio.h>
#include <string.h>

#include "suite.h"

#define ENTRIES 41
#define STRONG 8
#define STRONG_STRENGTH 500
#define WEAK_STRENGTH 60
#define SLOW_STORE_MS 460
#define QUICK_STORE_MS 10
#define STARTED_MS 1700000000000U

static GfCandidate all[ENTRIES];

/* A fleet of a few strong and many weak hosts. */
static void
make_fleet(void)
{
    for (int i = 0; i < ENTRIES; i++) {
        all[i] = (GfCandidate){.name = GfName_Format("entry-%d", i),
                               .strength = i < STRONG ? STRONG_STRENGTH
                                                      : WEAK_STRENGTH,
                               .started_ms = STARTED_MS + (uint64_t)i};
    }
}

/* The delay of one entry that knows all others but the owner and the dead. */
static int64_t
delay_of(int self, int owner, const bool *dead_unknown, int64_t store_ms)
{
    GfCandidate others[ENTRIES];
    size_t count = 0;
    for (int i = 0; i < ENTRIES; i++) {
        if (i != self && i != owner &&
            (dead_unknown == NULL || !dead_unknown[i])) {
            others[count++] = all[i];
        }
    }
    GfSuccession s = {.self = all[self],
                      .others = others,
                      .other_count = count,
                      .token = 77,
                      .last_owner_strength = STRONG_STRENGTH,
                      .store_ms = store_ms};
    return GfSuccession_DelayMs(&s);
}

/* Counts the entries that claim within some time, and finds the first. */
static int
claimants(int owner, const bool *dead, int64_t within_ms, int64_t store_ms,
          int *first)
{
    int count = 0;
    int64_t least = INT64_MAX;
    for (int i = 0; i < ENTRIES; i++) {
        if (i == owner || (dead != NULL && dead[i])) {
            continue;
        }
        int64_t ms = delay_of(i, owner, NULL, store_ms);
        count += ms <= within_ms;
        if (ms < least) {
            least = ms;
            *first = i;
        }
    }
    return count;
}

/* At a slow store one entry, a strong one, claims in the time that a claim
 * takes. */
static void
test_slow_store(void)
{
    make_fleet();
    int first = -1;
    CU_ASSERT_EQUAL(claimants(0, NULL, SLOW_STORE_MS, SLOW_STORE_MS, &first),
                    1);
    CU_ASSERT(first >= 0 && first < STRONG);
    CU_ASSERT_EQUAL(delay_of(first, 0, NULL, SLOW_STORE_MS), 0);
}

/* With a third of the fleet lost beside the owner, unknown to the others, a
 * strong one still claims soon. */
static void
test_lost_third(void)
{
    make_fleet();
    bool dead[ENTRIES] = {false};
    for (int i = 0; i < ENTRIES; i += 3) {
        dead[i] = true;
    }
    int first = -1;
    claimants(1, dead, 0, QUICK_STORE_MS, &first);
    CU_ASSERT(first >= 0 && first < STRONG);
    CU_ASSERT(delay_of(first, 1, NULL, QUICK_STORE_MS) <= 500);
}

/* An entry that was started among others that know more lets them go first,
 * a weak one also the strong ones that it has not met. */
static void
test_young_entry(void)
{
    make_fleet();
    GfCandidate other = all[9];
    GfSuccession s = {.self = all[10],
                      .others = &other,
                      .other_count = 1,
                      .last_owner_strength = STRONG_STRENGTH};
    s.self.started_ms = STARTED_MS + 60000;
    s.up_ms = 300;
    int64_t weak = GfSuccession_DelayMs(&s);
    s.self.strength = STRONG_STRENGTH;
    int64_t strong = GfSuccession_DelayMs(&s);
    CU_ASSERT(strong > 0);
    CU_ASSERT(weak >= strong + 300);
    s.up_ms = 10000;
    s.others = &all[9];
    CU_ASSERT(GfSuccession_DelayMs(&s) == 0);
}

/* After a loss of all of them nobody knows anybody: weak hosts wait for
 * strong ones, and chance keeps equals apart. */
static void
test_all_started_anew(void)
{
    make_fleet();
    GfSuccession strong = {.self = all[0],
                           .last_owner_strength = STRONG_STRENGTH,
                           .chance = 65535};
    GfSuccession weak = {
        .self = all[20], .last_owner_strength = STRONG_STRENGTH, .chance = 0};
    CU_ASSERT(GfSuccession_DelayMs(&strong) < GfSuccession_DelayMs(&weak));
    GfSuccession equal = strong;
    equal.chance = 0;
    CU_ASSERT(GfSuccession_DelayMs(&equal) < GfSuccession_DelayMs(&strong));
}

/* Entries that are stopped in turn: the cell goes to one that was started
 * lately, not to the next one to be stopped. */
static void
test_planned_stop(void)
{
    make_fleet();
    GfCandidate others[2] = {all[1], all[2]};
    others[0].started_ms = STARTED_MS + 90000;
    GfSuccession s = {.self = all[3],
                      .others = others,
                      .other_count = 2,
                      .last_owner_strength = STRONG_STRENGTH,
                      .planned = true};
    CU_ASSERT(GfSuccession_DelayMs(&s) > 0);
    s.self.started_ms = STARTED_MS + 100000;
    CU_ASSERT_EQUAL(GfSuccession_DelayMs(&s), 0);
}

static const SuiteTest TESTS[] = {
    {"slow store", test_slow_store},
    {"a third is lost", test_lost_third},
    {"young entry", test_young_entry},
    {"all started anew", test_all_started_anew},
    {"planned stop", test_planned_stop},
};

SUITE_MAIN("succession", TESTS)
