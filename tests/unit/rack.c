/* Ownership of a rack by worker leases. The tests guard against two holders
 * that start tasks on a rack at once, and team limits that are exceeded
 * because runs or pending starts are not counted. Such failures arise when
 * replies to lease calls or starts are late, reordered or lost. */
#include "guavaflow/rack.h"

#include "suite.h"

#define TTL_MS 4000
#define MARGIN_MS 200

static GfManualClock test_clock;
static GfName workers[3];

/* Creates a rack with three workers and all safety rules. */
static GfRack *
make_rack(void)
{
    GfManualClock_Init(&test_clock, 100000);
    GfRackConfig config = {.name = GfName_Format("r"),
                           .first_term = 10,
                           .margin_ms = MARGIN_MS,
                           .rules = GF_RACK_ALL_RULES};
    GfRack *rack = GfRack_Create(&config);
    for (int i = 0; i < 3; i++) {
        workers[i] = GfName_Format("w%d", i);
        GfRack_AddWorker(rack, &workers[i], test_clock.time);
    }
    return rack;
}

/* Describes a running task of team t that needs 1000 mcores. */
static GfTask
make_task(const char *id)
{
    GfTask task = {.state = GF_TASK_RUNNING};
    GfName_SetText(&task.spec.id, id);
    GfName_SetText(&task.spec.team, "t");
    task.spec.need.mcores = 1000;
    return task;
}

/* Delivers a worker's lease grant with an inventory; sent_at is when the lease
 * call was sent. Returns whether the rack accepted it. */
static bool
grant(GfRack *rack, int worker, int64_t lease, int64_t version,
      const GfTask *tasks, size_t count, struct timespec sent_at)
{
    GfLeaseGrant g = {.lease = lease,
                      .ttl_ms = TTL_MS,
                      .boot = GfName_Format("b"),
                      .version = version,
                      .capacity = {.mcores = 4000},
                      .tasks = tasks,
                      .task_count = count};
    return GfRack_ApplyGrant(rack, &workers[worker], &g, sent_at,
                             test_clock.time, NULL, NULL);
}

/* A term begins when a majority of the workers' leases is held, and ends when
 * it is not any more, MARGIN_MS before the leases expire. */
static void
test_term(void)
{
    GfRack *rack = make_rack();
    CU_ASSERT_TRUE(grant(rack, 0, 1, 1, NULL, 0, test_clock.time));
    CU_ASSERT_FALSE(GfRack_InTerm(rack, test_clock.time));
    CU_ASSERT_TRUE(grant(rack, 1, 1, 1, NULL, 0, test_clock.time));
    CU_ASSERT_TRUE(GfRack_InTerm(rack, test_clock.time));
    CU_ASSERT_EQUAL(GfRack_Term(rack), 11);
    GfManualClock_Advance(&test_clock, TTL_MS - MARGIN_MS);
    CU_ASSERT_FALSE(GfRack_InTerm(rack, test_clock.time));
    GfRack_Destroy(rack);
}

/* A lease runs from the sending of the call, not from its reply. */
static void
test_lease_counts_from_send(void)
{
    GfRack *rack = make_rack();
    struct timespec sent = test_clock.time;
    GfManualClock_Advance(&test_clock, 3000);
    CU_ASSERT_TRUE(grant(rack, 0, 1, 1, NULL, 0, sent));
    CU_ASSERT_TRUE(GfRack_Holds(rack, &workers[0], test_clock.time));
    GfManualClock_Advance(&test_clock, 900);
    CU_ASSERT_FALSE(GfRack_Holds(rack, &workers[0], test_clock.time));
    /* A reply that arrives after its lease has expired is rejected. */
    CU_ASSERT_FALSE(grant(rack, 1, 1, 1, NULL, 0, sent));
    GfRack_Destroy(rack);
}

/* A worker without an inventory in this term may run anything: it counts as
 * fully used by every team. */
static void
test_reserve(void)
{
    GfRack *rack = make_rack();
    GfName team = GfName_Format("t");
    GfTask task = make_task("j000-1.0.1");
    grant(rack, 0, 1, 1, &task, 1, test_clock.time);
    grant(rack, 1, 1, 1, NULL, 0, test_clock.time);
    CU_ASSERT_TRUE(GfRack_TeamUse(rack, &team, test_clock.time) > UINT32_MAX);
    grant(rack, 2, 1, 1, NULL, 0, test_clock.time);
    CU_ASSERT_EQUAL(GfRack_TeamUse(rack, &team, test_clock.time), 1000);
    GfRack_Destroy(rack);
}

/* A pending start counts against its team's limit and the worker's capacity
 * until an inventory confirms it, or a new lease rules it out. */
static void
test_pending_starts(void)
{
    GfRack *rack = make_rack();
    GfName team = GfName_Format("t");
    for (int i = 0; i < 3; i++) {
        grant(rack, i, 1, 1, NULL, 0, test_clock.time);
    }
    GfTask task = make_task("j000-1.0.1");
    GfRack_StartSent(rack, &workers[0], &task.spec);
    CU_ASSERT_EQUAL(GfRack_TeamUse(rack, &team, test_clock.time), 1000);
    CU_ASSERT_EQUAL(
        GfRack_FreeCapacity(rack, &workers[0], test_clock.time).mcores, 3000);
    GfRack_StartAccepted(rack, &workers[0], &task.spec.id, 2);
    /* An inventory from before the start does not confirm it. */
    grant(rack, 0, 1, 1, NULL, 0, test_clock.time);
    CU_ASSERT_EQUAL(GfRack_TeamUse(rack, &team, test_clock.time), 1000);
    /* A later inventory does: the task has completed already. */
    grant(rack, 0, 1, 2, NULL, 0, test_clock.time);
    CU_ASSERT_EQUAL(GfRack_TeamUse(rack, &team, test_clock.time), 0);
    GfRack_StartSent(rack, &workers[0], &task.spec);
    GfRack_StartUnanswered(rack, &workers[0]);
    CU_ASSERT_TRUE(GfRack_NeedsFence(rack, &workers[0]));
    CU_ASSERT_FALSE(GfRack_IsComplete(rack, test_clock.time));
    grant(rack, 0, 2, 2, NULL, 0, test_clock.time);
    CU_ASSERT_FALSE(GfRack_NeedsFence(rack, &workers[0]));
    CU_ASSERT_EQUAL(GfRack_TeamUse(rack, &team, test_clock.time), 0);
    CU_ASSERT_TRUE(GfRack_IsComplete(rack, test_clock.time));
    GfRack_Destroy(rack);
}

/* Replies that are late or reordered do not replace newer ones: neither those
 * of an earlier lease nor those with an older inventory. */
static void
test_stale(void)
{
    GfRack *rack = make_rack();
    GfTask task = make_task("j000-1.0.1");
    GfName id = task.spec.id;
    grant(rack, 0, 2, 7, &task, 1, test_clock.time);
    CU_ASSERT_FALSE(grant(rack, 0, 2, 6, NULL, 0, test_clock.time));
    CU_ASSERT_FALSE(grant(rack, 0, 1, 9, NULL, 0, test_clock.time));
    CU_ASSERT_TRUE(GfRack_HasTask(rack, &id));
    CU_ASSERT_EQUAL(GfRack_Lease(rack, &workers[0]), 2);
    GfRack_Destroy(rack);
}

/* The reply to a renewal that was sent before the lease was given up does not
 * restore the lease. */
static void
test_given_up(void)
{
    GfRack *rack = make_rack();
    grant(rack, 0, 1, 1, NULL, 0, test_clock.time);
    struct timespec sent = test_clock.time;
    GfManualClock_Advance(&test_clock, 100);
    GfRack_DropLease(rack, &workers[0], test_clock.time);
    CU_ASSERT_FALSE(grant(rack, 0, 1, 2, NULL, 0, sent));
    CU_ASSERT_FALSE(GfRack_Holds(rack, &workers[0], test_clock.time));
    GfManualClock_Advance(&test_clock, 1);
    CU_ASSERT_TRUE(grant(rack, 0, 2, 2, NULL, 0, test_clock.time));
    CU_ASSERT_TRUE(GfRack_Holds(rack, &workers[0], test_clock.time));
    GfRack_Destroy(rack);
}

static const SuiteTest TESTS[] = {
    {"term", test_term},
    {"lease counts from send", test_lease_counts_from_send},
    {"reserve", test_reserve},
    {"flights", test_pending_starts},
    {"stale", test_stale},
    {"given up", test_given_up}};

SUITE_MAIN("rack", TESTS)
