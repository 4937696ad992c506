/* The job tracker. The tests guard against tasks that run twice or never,
 * non-repeatable tasks that are repeated, and completions that are lost. Such
 * failures arise when the outcome of a placement is unknown, when events are
 * repeated, and when a new owner restores the jobs from the journal. */
#include "guavaflow/job_tracker.h"

#include <string.h>

#include "suite.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define MAX_PLACED 32

static GfManualClock test_clock;

/* A job tracker with one rack, the placements, stops and records that it asked
 * for, and the latest answer to a submission. */
typedef struct {
    GfFleet *fleet;
    GfControl *control;
    GfJobTracker *tracker;
    GfPlacement placed[MAX_PLACED];
    size_t count;
    int stops;
    json_t *records;
    bool may_place;
    GfAnswer answer;
} TrackerFixture;

/* Records placements; the test decides their outcome. */
static void
on_place(void *ctx, const GfName *holder, const GfPlacement *placements,
         size_t count, bool gang)
{
    (void)holder;
    (void)gang;
    TrackerFixture *f = ctx;
    for (size_t i = 0; i < count && f->count < MAX_PLACED; i++) {
        f->placed[f->count++] = placements[i];
    }
}

/* Counts the stops. */
static void
on_stop(void *ctx, const GfName *rack, const GfName *task, GfStopMode mode)
{
    (void)rack;
    (void)task;
    (void)mode;
    ((TrackerFixture *)ctx)->stops++;
}

/* Records an append, which is durable at once. Takes over the record. */
static void
on_append(void *ctx, uint32_t partition, json_t *record,
          GfAppendCallback callback, void *arg)
{
    (void)partition;
    json_array_append_new(((TrackerFixture *)ctx)->records, record);
    if (callback != NULL) {
        callback(arg, GF_OK);
    }
}

/* Tells whether the test permits placements. */
static bool
on_may_place(void *ctx, uint32_t partition)
{
    (void)partition;
    return ((TrackerFixture *)ctx)->may_place;
}

static const GfJobTrackerOps OPS = {.place = on_place,
                                    .stop = on_stop,
                                    .append = on_append,
                                    .may_place = on_may_place};

/* Records an answer without its body, which is the caller's. */
static void
on_answer(void *arg, const GfAnswer *answer)
{
    TrackerFixture *f = arg;
    f->answer = *answer;
    f->answer.body = (GfStr){0};
}

/* Creates the job tracker with an open rack of 8000 mcores, and opens its only
 * partition in epoch 1. */
static void
create_fixture(TrackerFixture *f)
{
    memset(f, 0, sizeof(*f));
    GfManualClock_Init(&test_clock, 100000);
    f->may_place = true;
    f->records = json_array();
    f->fleet = GfFleet_Create(1);
    f->control = GfControl_Create(1000);
    json_t *document = GfControl_FirstDocument(
        "version: 1\nquorum: 1\nmembers: [{name: a, key: " HASH "}]\n"
        "teams: [{name: t, share: 1, limit_cores: 99, limit_requests: 1}]\n"
        "services: []\n",
        NULL);
    GfControl_Apply(f->control, document, test_clock.time, NULL);
    json_decref(document);
    GfRackView view;
    memset(&view, 0, sizeof(view));
    view.rack = GfName_Format("rack0");
    view.holder = GfName_Format("entry1");
    view.open = true;
    view.free_mcores = 8000;
    view.largest_free = (GfResourceVector){.mcores = 8000, .memory_mb = 8000};
    view.largest_capacity = view.largest_free;
    GfName domain = GfName_Format("fd");
    GfFleet_AddRack(f->fleet, &view.rack, &domain);
    GfFleet_Update(f->fleet, &view);
    GfJobTrackerConfig config = {
        .partitions = 1, .max_failures = 2, .max_waiting = 100};
    f->tracker = GfJobTracker_Create(&config, f->fleet, f->control,
                                     &test_clock.clock, &OPS, f);
    GfJobTracker_OpenPartition(f->tracker, 0, 1);
}

/* Frees what create_fixture made. */
static void
destroy_fixture(TrackerFixture *f)
{
    GfJobTracker_Destroy(f->tracker);
    GfFleet_Destroy(f->fleet);
    GfControl_Destroy(f->control);
    json_decref(f->records);
}

/* Describes a job of count tasks of 1000 mcores each. */
static GfJobSpec
make_spec(uint32_t count, bool repeatable)
{
    return (GfJobSpec){.id = GfJob_MakeId(0, 7),
                       .team = GfName_Format("t"),
                       .work_class = GF_CLASS_BATCH,
                       .need = {.mcores = 1000, .memory_mb = 1},
                       .count = count,
                       .run_ms = 10,
                       .repeatable = repeatable};
}

/* Reports the outcome of the latest placement. */
static void
report_placed(TrackerFixture *f, GfErrorKind kind, GfRan ran)
{
    GfPlacementResult p = {
        .kind = kind, .ran = ran, .worker = GfName_Format("w")};
    GfJobTracker_HandlePlacement(f->tracker, &f->placed[f->count - 1], &p);
}

/* Reports a state of the latest placement's task. Returns whether the job
 * tracker has stored it, so that it need not be reported again. */
static bool
report_state(TrackerFixture *f, GfTaskState state)
{
    GfTaskEvent e = {.task = f->placed[f->count - 1].spec.id,
                     .rack = GfName_Format("rack0"),
                     .worker = GfName_Format("w"),
                     .state = state};
    return GfJobTracker_HandleEvent(f->tracker, &e);
}

/* A task is placed, runs and completes. Its completion is acknowledged only
 * when it is reported after its record is durable. */
static void
test_completion(void)
{
    TrackerFixture f;
    create_fixture(&f);
    GfJobSpec s = make_spec(1, true);
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    CU_ASSERT_EQUAL(f.answer.kind, GF_OK);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    report_placed(&f, GF_OK, GF_RAN_YES);
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_RUNNING), 1);
    CU_ASSERT_FALSE(report_state(&f, GF_TASK_ENDED));
    CU_ASSERT_TRUE(report_state(&f, GF_TASK_ENDED));
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_DONE), 1);
    /* A repeated submission of the job succeeds and starts nothing. */
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    CU_ASSERT_EQUAL(f.answer.kind, GF_OK);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    destroy_fixture(&f);
}

/* A task whose placement has an unknown outcome is unconfirmed. It is placed
 * again, under a new id, only after an inventory of the rack that is complete
 * and was requested after the placement does not list it. */
static void
test_unconfirmed(void)
{
    TrackerFixture f;
    create_fixture(&f);
    GfName rack = GfName_Format("rack0");
    GfJobSpec s = make_spec(1, true);
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    GfJobTracker_Tick(f.tracker);
    uint64_t seq = f.placed[0].seq;
    report_placed(&f, GF_OUTCOME_UNKNOWN, GF_RAN_UNKNOWN);
    GfManualClock_Advance(&test_clock, 10000);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    GfJobTracker_HandleInventory(f.tracker, 0, seq - 1, &rack, true, NULL, 0);
    GfJobTracker_HandleInventory(f.tracker, 0, seq, &rack, false, NULL, 0);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    GfJobTracker_HandleInventory(f.tracker, 0, seq, &rack, true, NULL, 0);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 2);
    CU_ASSERT_FALSE(GfName_Equal(&f.placed[0].spec.id, &f.placed[1].spec.id));
    destroy_fixture(&f);
}

/* A non-repeatable task is placed only after a record of the intent is
 * durable, and never again if its outcome is unknown. */
static void
test_not_repeatable(void)
{
    TrackerFixture f;
    create_fixture(&f);
    GfName rack = GfName_Format("rack0");
    GfJobSpec s = make_spec(1, false);
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    CU_ASSERT_EQUAL(json_array_size(f.records), 2);
    report_placed(&f, GF_OUTCOME_UNKNOWN, GF_RAN_UNKNOWN);
    GfJobTracker_HandleInventory(f.tracker, 0, f.placed[0].seq, &rack, true,
                                 NULL, 0);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 1);
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_UNKNOWN), 1);
    destroy_fixture(&f);
}

/* A new owner restores the jobs from the records: completed tasks stay
 * completed, and a task that may run on any rack is placed again only after
 * all racks have reported, and while placing is permitted. */
static void
test_recovery(void)
{
    TrackerFixture f;
    create_fixture(&f);
    GfName rack = GfName_Format("rack0");
    GfJobSpec s = make_spec(2, true);
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 2);
    report_placed(&f, GF_OK, GF_RAN_YES);
    report_state(&f, GF_TASK_ENDED);
    json_t *records = json_copy(f.records);
    GfJobTracker_ClosePartition(f.tracker, 0);
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        GfJobTracker_ReplayRecord(f.tracker, record);
    }
    json_decref(records);
    GfJobTracker_OpenPartition(f.tracker, 0, 2);
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_DONE), 1);
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_UNCONFIRMED), 1);
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 2);
    GfJobTracker_HandleInventory(f.tracker, 0, 0, &rack, true, NULL, 0);
    f.may_place = false;
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 2);
    f.may_place = true;
    GfJobTracker_Tick(f.tracker);
    CU_ASSERT_EQUAL(f.count, 3);
    CU_ASSERT_EQUAL(f.placed[2].epoch, 2);
    destroy_fixture(&f);
}

/* Only its team can cancel a job, whose running tasks are then stopped. A job
 * fails after max_failures failed attempts; one that fits no rack is refused.
 */
static void
test_cancel_and_fail(void)
{
    TrackerFixture f;
    create_fixture(&f);
    GfName team = GfName_Format("t");
    GfName other = GfName_Format("u");
    GfJobSpec s = make_spec(2, true);
    GfJobTracker_Submit(f.tracker, &s, on_answer, &f);
    GfJobTracker_Tick(f.tracker);
    report_placed(&f, GF_OK, GF_RAN_YES);
    GfAnswer answer = GfJobTracker_Cancel(f.tracker, &s.id, &other);
    CU_ASSERT_EQUAL(answer.kind, GF_NOT_FOUND);
    answer = GfJobTracker_Cancel(f.tracker, &s.id, &team);
    CU_ASSERT_EQUAL(answer.kind, GF_OK);
    GfAnswer_Clear(&answer);
    CU_ASSERT_EQUAL(f.stops, 1);
    report_state(&f, GF_TASK_STOPPED);
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_CANCELLED), 1);
    GfJobSpec failing = make_spec(1, true);
    failing.id = GfJob_MakeId(0, 8);
    GfJobTracker_Submit(f.tracker, &failing, on_answer, &f);
    for (int i = 0; i < 2; i++) {
        GfManualClock_Advance(&test_clock, 1000);
        GfJobTracker_Tick(f.tracker);
        report_placed(&f, GF_OK, GF_RAN_YES);
        report_state(&f, GF_TASK_FAILED);
    }
    CU_ASSERT_EQUAL(GfJobTracker_CountState(f.tracker, GF_JOB_FAILED), 1);
    GfJobSpec huge = make_spec(1, true);
    huge.id = GfJob_MakeId(0, 9);
    huge.need.mcores = 9000;
    GfJobTracker_Submit(f.tracker, &huge, on_answer, &f);
    CU_ASSERT_EQUAL(f.answer.kind, GF_NEVER_FITS);
    destroy_fixture(&f);
}

static const SuiteTest TESTS[] = {{"end", test_completion},
                                  {"doubt", test_unconfirmed},
                                  {"not repeatable", test_not_repeatable},
                                  {"recovery", test_recovery},
                                  {"cancel and fail", test_cancel_and_fail}};

SUITE_MAIN("job_tracker", TESTS)
