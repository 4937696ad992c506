/* An entry's view of all racks and the choice of a rack. The tests guard
 * against decisions whose cost grows with the fleet, racks that are picked
 * although they cannot take the work, and outdated statements that replace
 * newer ones. */
#include "guavaflow/fleet.h"

#include <stdio.h>
#include <string.h>

#include "bounds.h"
#include "suite.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define PICKS 1000

static const GfResourceVector NEED = {.mcores = 1000, .memory_mb = 10};

/* Creates control state with team t, of share 3, and team u, of share 1. */
static GfControl *
make_control(void)
{
    GfControl *control = GfControl_Create(1000);
    json_t *document = GfControl_FirstDocument(
        "version: 1\nquorum: 1\nmembers: [{name: a, key: " HASH "}]\n"
        "teams:\n"
        "- {name: t, share: 3, limit_cores: 100, limit_requests: 1}\n"
        "- {name: u, share: 1, limit_cores: 100, limit_requests: 1}\n"
        "services: []\n",
        NULL);
    GfControl_Apply(control, document, (struct timespec){0}, NULL);
    json_decref(document);
    return control;
}

/* Adds a rack and its holder's statement of the free capacity. */
static void
state_rack(GfFleet *fleet, int rack, const char *holder, bool open,
           uint32_t free_mcores)
{
    GfRackView view;
    memset(&view, 0, sizeof(view));
    view.rack = GfName_Format("rack%d", rack);
    GfName_SetText(&view.holder, holder);
    view.open = open;
    view.free_mcores = free_mcores;
    view.largest_free =
        (GfResourceVector){.mcores = free_mcores, .memory_mb = 1000};
    view.largest_capacity = view.largest_free;
    GfName domain = GfName_Format("fd%d", rack % 3);
    GfFleet_AddRack(fleet, &view.rack, &domain);
    GfFleet_Update(fleet, &view);
}

/* Returns the average number of racks that a decision examines, in a fleet
 * where every fourth rack is full. */
static double
average_examined(int racks)
{
    GfControl *control = make_control();
    GfFleet *fleet = GfFleet_Create(7);
    GfName team = GfName_Format("t");
    for (int i = 0; i < racks; i++) {
        state_rack(fleet, i, "e", true, i % 4 == 0 ? 0 : 64000);
    }
    for (int i = 0; i < PICKS; i++) {
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1,
                            (struct timespec){0});
    }
    double average = (double)GfFleet_RacksExamined(fleet) / PICKS;
    GfFleet_Destroy(fleet);
    GfControl_Destroy(control);
    return average;
}

/* A decision examines few racks, however many there are. */
static void
test_examined_racks(void)
{
    double small = average_examined(50 / 6);
    double large = average_examined(5000 / 6);
    printf("racks examined: %.2f with 50 workers, %.2f with 5000\n", small,
           large);
    CU_ASSERT_TRUE(large <= small * BOUND_DECISION_RATIO);
}

/* A rack is not picked if it is closed or full, or if the team is blocked
 * there for lack of an allotment. Racks whose holder is dropped are counted as
 * without one. */
static void
test_usable(void)
{
    GfControl *control = make_control();
    GfFleet *fleet = GfFleet_Create(7);
    GfName team = GfName_Format("t");
    GfName other = GfName_Format("u");
    struct timespec now = {.tv_sec = 10};
    struct timespec later = {.tv_sec = 11};
    CU_ASSERT_PTR_NULL(
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1, now));
    state_rack(fleet, 0, "e", false, 64000);
    state_rack(fleet, 1, "e", true, 500);
    CU_ASSERT_PTR_NULL(
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1, now));
    state_rack(fleet, 2, "e", true, 64000);
    const GfRackView *view =
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1, now);
    CU_ASSERT_PTR_NOT_NULL_FATAL(view);
    CU_ASSERT_STRING_EQUAL(view->rack.data, "rack2");
    GfFleet_BlockTeam(fleet, &view->rack, &team, later);
    CU_ASSERT_PTR_NULL(
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1, now));
    CU_ASSERT_PTR_NOT_NULL(
        GfFleet_PickForTask(fleet, control, &other, &NEED, 1, now));
    CU_ASSERT_PTR_NOT_NULL(
        GfFleet_PickForTask(fleet, control, &team, &NEED, 1, later));
    GfName holder = GfName_Format("e");
    GfFleet_DropHolder(fleet, &holder);
    CU_ASSERT_EQUAL(GfFleet_CountWithoutHolder(fleet), 3);
    CU_ASSERT_FALSE(GfFleet_CanEverFit(
        fleet, &(GfResourceVector){.mcores = 70000, .memory_mb = 1}));
    GfFleet_Destroy(fleet);
    GfControl_Destroy(control);
}

/* A former holder's statement that it no longer holds a rack, which arrives
 * after the new holder's, does not replace that. */
static void
test_holders(void)
{
    GfFleet *fleet = GfFleet_Create(7);
    GfName rack = GfName_Format("rack0");
    state_rack(fleet, 0, "new", true, 1000);
    state_rack(fleet, 0, "old", false, 0);
    CU_ASSERT_STRING_EQUAL(GfFleet_Find(fleet, &rack)->holder.data, "new");
    GfFleet_Destroy(fleet);
}

/* The lowest level is that of the waiting team with the least use in
 * proportion to its share, summed over the statements of all members. */
static void
test_levels(void)
{
    GfControl *control = make_control();
    GfFleet *fleet = GfFleet_Create(7);
    GfName t = GfName_Format("t");
    GfName u = GfName_Format("u");
    GfName a = GfName_Format("a");
    GfName b = GfName_Format("b");
    GfName lowest;
    uint64_t level = 0;
    state_rack(fleet, 0, "a", true, 1000);
    GfFleet_SetUse(fleet, &a, &t, (GfQuota){.mcores = 20000}, 0);
    GfFleet_SetUse(fleet, &b, &t, (GfQuota){.mcores = 10000}, 0);
    GfFleet_SetUse(fleet, &a, &u, (GfQuota){.mcores = 20000}, 0);
    CU_ASSERT_EQUAL(GfFleet_TeamUse(fleet, &t).mcores, 30000);
    CU_ASSERT_TRUE(GfFleet_IsFull(fleet, control));
    CU_ASSERT_FALSE(
        GfFleet_MostUnderservedTeam(fleet, control, &lowest, &level));
    GfFleet_SetUse(fleet, &b, &u, (GfQuota){0}, 5);
    GfFleet_SetUse(fleet, &b, &t, (GfQuota){.mcores = 10000}, 5);
    CU_ASSERT_TRUE(
        GfFleet_MostUnderservedTeam(fleet, control, &lowest, &level));
    CU_ASSERT_STRING_EQUAL(lowest.data, "t");
    CU_ASSERT_EQUAL(level, 10000 * GF_SHARE_SCALE);
    GfFleet_ClearUse(fleet, &a);
    CU_ASSERT_TRUE(
        GfFleet_MostUnderservedTeam(fleet, control, &lowest, &level));
    CU_ASSERT_STRING_EQUAL(lowest.data, "u");
    GfFleet_Destroy(fleet);
    GfControl_Destroy(control);
}

static const SuiteTest TESTS[] = {{"looks", test_examined_racks},
                                  {"usable", test_usable},
                                  {"holders", test_holders},
                                  {"levels", test_levels}};

SUITE_MAIN("fleet", TESTS)
