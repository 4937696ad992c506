/* The delays after which entries claim a cell whose owner is gone. The tests
 * guard against several entries that claim at once and conflict, weak hosts
 * that become owner while strong ones are up, and a cell that stays without an
 * owner. Such failures arise when the store is slow, when many entries are
 * lost with the owner, or when entries have just been started. */
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

/* Fills in all entries: a few strong hosts and many weak ones, started 1 ms
 * apart. */
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

/* Returns the delay in ms of an entry that takes all others for alive, except
 * the owner and those marked in known_lost (NULL: none). */
static int64_t
delay_of(int self, int owner, const bool *known_lost, int64_t store_ms)
{
    GfCandidate others[ENTRIES];
    size_t count = 0;
    for (int i = 0; i < ENTRIES; i++) {
        if (i != self && i != owner &&
            (known_lost == NULL || !known_lost[i])) {
            others[count++] = all[i];
        }
    }
    GfSuccession s = {.self = all[self],
                      .others = others,
                      .other_count = count,
                      .token = 77,
                      .last_owner_strength = STRONG_STRENGTH,
                      .store_ms = store_ms};
    return GfSuccession_ClaimDelayMs(&s);
}

/* Counts the surviving entries that claim within a time in ms, if none of them
 * knows which others are lost. Sets first to the one with the least delay. */
static int
count_claims(int owner, const bool *lost, int64_t within_ms, int64_t store_ms,
             int *first)
{
    int count = 0;
    int64_t least = INT64_MAX;
    for (int i = 0; i < ENTRIES; i++) {
        if (i == owner || (lost != NULL && lost[i])) {
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

/* At a slow store, only one entry, a strong one, claims within the time that a
 * claim takes, so that claims do not conflict. */
static void
test_slow_store(void)
{
    make_fleet();
    int first = -1;
    CU_ASSERT_EQUAL(
        count_claims(0, NULL, SLOW_STORE_MS, SLOW_STORE_MS, &first), 1);
    CU_ASSERT(first >= 0 && first < STRONG);
    CU_ASSERT_EQUAL(delay_of(first, 0, NULL, SLOW_STORE_MS), 0);
}

/* If a third of the entries is lost along with the owner, unknown to the
 * others, a strong one still claims within 500 ms. */
static void
test_third_lost(void)
{
    make_fleet();
    bool lost[ENTRIES] = {false};
    for (int i = 0; i < ENTRIES; i += 3) {
        lost[i] = true;
    }
    int first = -1;
    count_claims(1, lost, 0, QUICK_STORE_MS, &first);
    CU_ASSERT(first >= 0 && first < STRONG);
    CU_ASSERT(delay_of(first, 1, NULL, QUICK_STORE_MS) <= 500);
}

/* An entry that has just been started lets older entries claim first. A weak
 * one also waits for strong entries that it may not know yet. */
static void
test_new_entry(void)
{
    make_fleet();
    GfCandidate other = all[9];
    GfSuccession s = {.self = all[10],
                      .others = &other,
                      .other_count = 1,
                      .last_owner_strength = STRONG_STRENGTH};
    s.self.started_ms = STARTED_MS + 60000;
    s.uptime_ms = 300;
    int64_t weak = GfSuccession_ClaimDelayMs(&s);
    s.self.strength = STRONG_STRENGTH;
    int64_t strong = GfSuccession_ClaimDelayMs(&s);
    CU_ASSERT(strong > 0);
    CU_ASSERT(weak >= strong + 300);
    s.uptime_ms = 10000;
    s.others = &all[9];
    CU_ASSERT(GfSuccession_ClaimDelayMs(&s) == 0);
}

/* After a restart of all entries none knows another: weak hosts wait for
 * strong ones, and a random delay separates equal ones. */
static void
test_all_restarted(void)
{
    make_fleet();
    GfSuccession strong = {.self = all[0],
                           .last_owner_strength = STRONG_STRENGTH,
                           .random_value = 65535};
    GfSuccession weak = {.self = all[20],
                         .last_owner_strength = STRONG_STRENGTH,
                         .random_value = 0};
    CU_ASSERT(GfSuccession_ClaimDelayMs(&strong) <
              GfSuccession_ClaimDelayMs(&weak));
    GfSuccession equal = strong;
    equal.random_value = 0;
    CU_ASSERT(GfSuccession_ClaimDelayMs(&equal) <
              GfSuccession_ClaimDelayMs(&strong));
}

/* In a rolling restart the cell goes to an entry that was restarted already,
 * not to one that will be stopped next. */
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
    CU_ASSERT(GfSuccession_ClaimDelayMs(&s) > 0);
    s.self.started_ms = STARTED_MS + 100000;
    CU_ASSERT_EQUAL(GfSuccession_ClaimDelayMs(&s), 0);
}

static const SuiteTest TESTS[] = {
    {"slow store", test_slow_store},     {"a third is lost", test_third_lost},
    {"new entry", test_new_entry},       {"all restarted", test_all_restarted},
    {"planned stop", test_planned_stop},
};

SUITE_MAIN("succession", TESTS)
