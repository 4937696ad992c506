/* The tokens of orders. A new incarnation of a worker gets a higher token, so
 * that it refuses what was meant for the former one. An owner that sends a
 * lower token again, or takes the refusal of its own former one as the sign of
 * another owner, loses its worker or its term. */
#include <stdio.h>
#include <stdlib.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "suite.h"

#define STEP_MS 10
#define TOKEN 5

/* An owner, a worker that answers each hold at the next step, and the latest
 * orders. */
typedef struct {
    GfManualClock clock;
    GfCell *cell;
    GfCellConfig *config;
    GfWorkerInfo worker;
    int64_t worker_clock_ms;
    bool silent;    /* holds fail */
    bool hold_kept; /* holds get no answer */
    GfHoldOrder hold;
    bool hold_open;
    GfTaskId task; /* of the latest start */
    int64_t run;
    uint32_t serial;
    int64_t start_token;
    int starts;
    GfStopOrder stop;
    int stops;
    bool commit_open;
    bool commit_kept; /* commits get no answer */
    int64_t version;  /* of the latest commit */
    int fenced;
} Owner;

static void
op_start(void *ctx, const GfStartOrder *order)
{
    Owner *o = ctx;
    o->task = order->task;
    o->run = order->run;
    o->serial = order->target.serial;
    o->start_token = order->target.token;
    o->starts++;
}

static void
op_stop(void *ctx, const GfStopOrder *order)
{
    Owner *o = ctx;
    o->stop = *order;
    o->stops++;
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    Owner *o = ctx;
    o->hold = *order;
    o->hold_open = true;
}

static void
op_commit(void *ctx, const GfCellCommit *commit)
{
    (void)commit;
    ((Owner *)ctx)->commit_open = true;
}

static void
op_look_up(void *ctx, const GfName *job)
{
    GfCell_JobNotFound(((Owner *)ctx)->cell, job);
}

static void
op_fenced(void *ctx, const GfName *worker)
{
    (void)worker;
    ((Owner *)ctx)->fenced++;
}

static const GfCellOps OPS = {.start = op_start,
                              .stop = op_stop,
                              .hold = op_hold,
                              .commit = op_commit,
                              .look_up = op_look_up,
                              .fenced = op_fenced};

static void
run(Owner *o, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        GfCell_Tick(o->cell);
        GfManualClock_Advance(&o->clock, STEP_MS);
        o->worker_clock_ms += STEP_MS;
        if (o->hold_open && !o->hold_kept) {
            GfInventory inventory = {.incarnation = o->worker.incarnation,
                                     .clock_ms = o->worker_clock_ms};
            o->hold_open = false;
            GfCell_HoldDone(o->cell, o->hold.target.serial, o->hold.sent_at,
                            o->silent ? GF_ORDER_UNKNOWN : GF_ORDER_DONE,
                            o->silent ? NULL : &inventory);
        }
        if (o->commit_open && !o->commit_kept) {
            o->commit_open = false;
            GfCell_CommitDone(o->cell, ++o->version);
        }
    }
}

static void
open_owner(Owner *o)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *o = (Owner){.config = CellSim_MakeConfig(0), .version = TOKEN};
    GfManualClock_Init(&o->clock, 1000000);
    GfCellSettings settings = {
        .token = TOKEN, .lease_ms = 6000, .clock_drift_percent = 3};
    o->cell = GfCell_Create(&OPS, o, &settings, &o->clock.clock);
    GfCell_SetConfig(o->cell, o->config);
    o->worker = (GfWorkerInfo){.id = GfName_Format("w0"),
                               .incarnation = 1,
                               .service = o->config->queues[0].service,
                               .domain = GfName_Format("d0"),
                               .label_count = 1,
                               .capacity = {16000, 64000, 0}};
    o->worker.labels[0] = GfName_Format("r0");
    GfCell_SetWorker(o->cell, &o->worker);
    GfCell_StartPlacement(o->cell);
    run(o, 200);
}

static void
close_owner(Owner *o)
{
    GfCell_Destroy(o->cell);
    GfCellConfig_Destroy(o->config);
}

/* The worker starts again under its id; its row is read at once. */
static void
restart(Owner *o)
{
    o->worker.incarnation++;
    o->worker_clock_ms = 0;
    GfCell_SetWorker(o->cell, &o->worker);
}

static void
submit(Owner *o)
{
    GfStepSpec *step = calloc(1, sizeof(*step));
    if (step == NULL) {
        abort();
    }
    *step = (GfStepSpec){
        .task_count = 1, .need = {1000, 100, 0}, .estimate_ms = 500};
    GfJobSpec spec = {.steps = step, .step_count = 1, .occurrences = 1};
    GfName id = GfName_Format("00000000000000aa");
    GfName team = GfName_Format("a");
    CU_ASSERT_TRUE(GfCell_AddJob(o->cell, &id, &team,
                                 &o->config->queues[0].name, 0, &spec, NULL,
                                 false));
    GfCell_Place(o->cell);
}

/* What an inventory shows of orders for a former life is counted, so that an
 * operator can tell a lost completion from a lease that lasts too long. */
static void
test_orders_of_a_former_life_go_unnoticed(void)
{
    Owner o;
    open_owner(&o);
    restart(&o);
    run(&o, 400);
    uint64_t unread = GfMetrics_Get(GF_METRIC_COMPLETIONS_UNREAD);
    uint64_t outlived = GfMetrics_Get(GF_METRIC_LEASES_OUTLIVED);
    GfTaskId task = {.job = GfName_Format("00000000000000bb")};
    GfCompletionRow completion = {
        .number = 1, .task = task, .run = 1, .kind = GF_COMPLETION_DONE};
    GfRunRow row = {.task = task, .run = 2, .percent = 100};
    GfInventory inventory = {.incarnation = o.worker.incarnation,
                             .clock_ms = o.worker_clock_ms,
                             .runs = &row,
                             .run_count = 1,
                             .completions = &completion,
                             .completion_count = 1};
    o.hold_kept = true;
    run(&o, 400);
    GfCell_HoldDone(o.cell, o.hold.target.serial, o.hold.sent_at,
                    GF_ORDER_DONE, &inventory);
    CU_ASSERT_EQUAL(GfMetrics_Get(GF_METRIC_COMPLETIONS_UNREAD), unread);
    CU_ASSERT_EQUAL(GfMetrics_Get(GF_METRIC_LEASES_OUTLIVED), outlived);
    completion.number = 3;
    inventory.clock_ms = ++o.worker_clock_ms;
    run(&o, 400);
    GfCell_HoldDone(o.cell, o.hold.target.serial, o.hold.sent_at,
                    GF_ORDER_DONE, &inventory);
    CU_ASSERT_EQUAL(GfMetrics_Get(GF_METRIC_COMPLETIONS_UNREAD), unread + 1);
    o.hold_kept = false;
    o.silent = true;
    run(&o, 30000);
    o.silent = false;
    o.hold_kept = true;
    o.hold_open = false;
    run(&o, 3000);
    inventory.clock_ms = o.worker_clock_ms;
    GfCell_HoldDone(o.cell, o.hold.target.serial, o.hold.sent_at,
                    GF_ORDER_DONE, &inventory);
    CU_ASSERT_EQUAL(GfMetrics_Get(GF_METRIC_LEASES_OUTLIVED), outlived + 1);
    close_owner(&o);
}

static void
test_order_for_a_former_life_obeyed(void)
{
    Owner o;
    open_owner(&o);
    int64_t former = o.hold.target.token;
    for (int i = 0; i < 3; i++) {
        restart(&o);
        run(&o, 200);
        CU_ASSERT(o.hold.target.token > former);
        CU_ASSERT(o.hold.target.token <= o.version);
        former = o.hold.target.token;
    }
    submit(&o);
    CU_ASSERT_EQUAL(o.starts, 1);
    CU_ASSERT_EQUAL(o.start_token, former);
    close_owner(&o);
}

/* The worker takes a start with the former token after a hold. */
static void
test_own_new_token_taken_for_another_owners(void)
{
    Owner o;
    open_owner(&o);
    submit(&o);
    CU_ASSERT_EQUAL(o.starts, 1);
    restart(&o);
    run(&o, 100);
    GfCell_StartDone(o.cell, o.serial, &o.task, o.run, GF_ORDER_FENCED);
    CU_ASSERT_EQUAL(o.stops, 1);
    GfCell_StopDone(o.cell, o.serial, &o.task, o.run, GF_ORDER_FENCED);
    CU_ASSERT_EQUAL(o.fenced, 0);
    run(&o, 1000);
    CU_ASSERT(o.stops > 1);
    CU_ASSERT_EQUAL(o.stop.target.token, o.hold.target.token);
    GfCell_StopDone(o.cell, o.serial, &o.task, o.run, GF_ORDER_DONE);
    run(&o, 1000);
    GfCell_Place(o.cell);
    CU_ASSERT_EQUAL(o.starts, 2);
    CU_ASSERT_EQUAL(o.start_token, o.hold.target.token);
    close_owner(&o);
}

/* The life gets its token while a hold has no answer. */
static void
test_task_starts_before_the_token_is_seen(void)
{
    Owner o;
    open_owner(&o);
    o.commit_kept = true;
    restart(&o);
    run(&o, 200);
    int64_t former = o.hold.target.token;
    restart(&o);
    run(&o, 200);
    CU_ASSERT_EQUAL(o.hold.target.token, former);
    CU_ASSERT_TRUE(o.commit_open);
    submit(&o);
    o.hold_kept = true;
    o.commit_kept = false;
    run(&o, 400);
    GfCell_Place(o.cell);
    CU_ASSERT(o.hold.target.token > former);
    CU_ASSERT_EQUAL(o.starts, 0);
    o.hold_kept = false;
    run(&o, 2 * STEP_MS);
    GfCell_Place(o.cell);
    CU_ASSERT_EQUAL(o.starts, 1);
    CU_ASSERT_EQUAL(o.start_token, o.hold.target.token);
    close_owner(&o);
}

/* The token comes while the first hold has no answer. */
static void
test_hold_with_the_token_waits_for_ends(void)
{
    Owner o;
    open_owner(&o);
    restart(&o);
    run(&o, 200);
    o.commit_kept = true;
    restart(&o);
    run(&o, 2 * STEP_MS);
    CU_ASSERT_TRUE(o.commit_open);
    restart(&o);
    o.hold_kept = true;
    GfCell_Tick(o.cell);
    GfHoldOrder first = o.hold;
    o.commit_kept = false;
    run(&o, STEP_MS);
    GfInventory inventory = {.incarnation = o.worker.incarnation,
                             .clock_ms = o.worker_clock_ms};
    GfCell_HoldDone(o.cell, first.target.serial, first.sent_at, GF_ORDER_DONE,
                    &inventory);
    run(&o, STEP_MS);
    CU_ASSERT(o.hold.target.token > first.target.token);
    CU_ASSERT_EQUAL(o.hold.wait_ms, 0);
    close_owner(&o);
}

/* Another worker answers at its address before it has got its token. */
static void
test_replaced_worker_is_called_for_good(void)
{
    Owner o;
    open_owner(&o);
    restart(&o);
    run(&o, 200);
    restart(&o);
    o.hold_kept = true;
    int holds = 0;
    for (int64_t ms = 0; ms < 60000; ms += STEP_MS) {
        run(&o, STEP_MS);
        if (o.hold_open) {
            o.hold_open = false;
            holds += ms >= 50000;
            GfCell_HoldDone(o.cell, o.hold.target.serial, o.hold.sent_at,
                            GF_ORDER_OTHER_INCARNATION, NULL);
        }
    }
    CU_ASSERT_EQUAL(holds, 0);
    close_owner(&o);
}

static void
test_another_owners_token_ignored(void)
{
    Owner o;
    open_owner(&o);
    restart(&o);
    run(&o, 100);
    submit(&o);
    run(&o, 2 * STEP_MS);
    GfCell_HoldDone(o.cell, o.hold.target.serial, o.hold.sent_at,
                    GF_ORDER_FENCED, NULL);
    CU_ASSERT_EQUAL(o.fenced, 1);
    run(&o, 2000);
    GfCell_StartDone(o.cell, o.serial, &o.task, o.run, GF_ORDER_FENCED);
    CU_ASSERT_EQUAL(o.fenced, 2);
    close_owner(&o);
}

/* It is silent until the owner has removed it, then back in the same life. */
static void
test_forgotten_worker_gets_a_lower_token(void)
{
    Owner o;
    open_owner(&o);
    restart(&o);
    run(&o, 200);
    int64_t token = o.hold.target.token;
    CU_ASSERT(token > TOKEN);
    uint32_t serial = o.hold.target.serial;
    o.silent = true;
    GfCell_UnlistWorker(o.cell, &o.worker.id);
    run(&o, 30000);
    o.silent = false;
    GfCell_SetWorker(o.cell, &o.worker);
    run(&o, 200);
    CU_ASSERT_NOT_EQUAL(o.hold.target.serial, serial);
    CU_ASSERT(o.hold.target.token >= token);
    close_owner(&o);
}

/* It is back in its next life, and nothing has been stored since. */
static void
test_forgotten_worker_gets_the_token_of_before(void)
{
    Owner o;
    open_owner(&o);
    o.commit_kept = true;
    restart(&o);
    run(&o, 200);
    int64_t former = o.hold.target.token;
    uint32_t serial = o.hold.target.serial;
    CU_ASSERT_EQUAL(former, o.version);
    o.silent = true;
    GfCell_UnlistWorker(o.cell, &o.worker.id);
    run(&o, 15000);
    CU_ASSERT_EQUAL(o.hold.target.token, former);
    o.silent = false;
    restart(&o);
    run(&o, 200);
    CU_ASSERT_NOT_EQUAL(o.hold.target.serial, serial);
    submit(&o);
    o.commit_kept = false;
    run(&o, 400);
    GfCell_Place(o.cell);
    CU_ASSERT(o.hold.target.token > former);
    CU_ASSERT_EQUAL(o.starts, 1);
    CU_ASSERT_EQUAL(o.start_token, o.hold.target.token);
    close_owner(&o);
}

static const SuiteTest TESTS[] = {
    {"orders of a former life go unnoticed",
     test_orders_of_a_former_life_go_unnoticed},
    {"order for a former life obeyed", test_order_for_a_former_life_obeyed},
    {"own new token taken for another owner's",
     test_own_new_token_taken_for_another_owners},
    {"task starts before the token is seen",
     test_task_starts_before_the_token_is_seen},
    {"hold with the token waits for ends",
     test_hold_with_the_token_waits_for_ends},
    {"replaced worker is called for good",
     test_replaced_worker_is_called_for_good},
    {"another owner's token ignored", test_another_owners_token_ignored},
    {"forgotten worker gets a lower token",
     test_forgotten_worker_gets_a_lower_token},
    {"forgotten worker gets the token of before",
     test_forgotten_worker_gets_the_token_of_before}};

SUITE_MAIN("cell fence", TESTS)
