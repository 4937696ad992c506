/* Inventories that cross on different connections. One that was put together
 * just before a run began, but requested after its start was sent, does not
 * show that the run is missing: its task would be started elsewhere beside
 * it. */
#include <stdlib.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define STEP_MS 10
#define TOKEN 5
#define WORKERS 2
#define ORDER_TIMEOUT_MS 220

/* An owner, workers that answer holds at the next step until they are kept,
 * and the latest orders. */
typedef struct {
    GfManualClock clock;
    GfCell *cell;
    GfCellConfig *config;
    int64_t worker_clock_ms;
    bool holds_kept;
    GfHoldOrder holds[WORKERS]; /* the latest to each worker */
    bool open[WORKERS];
    GfTaskId task; /* of the latest start */
    int64_t run;
    int worker; /* of the latest start */
    uint32_t serial;
    int starts;
    bool commit_open;
    int64_t version;
} Owner;

static void
op_start(void *ctx, const GfStartOrder *order)
{
    Owner *o = ctx;
    o->task = order->task;
    o->run = order->run;
    o->serial = order->target.serial;
    o->worker = order->target.worker->port;
    o->starts++;
}

static void
op_stop(void *ctx, const GfStopOrder *order)
{
    (void)ctx;
    (void)order;
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    Owner *o = ctx;
    o->holds[order->target.worker->port] = *order;
    o->open[order->target.worker->port] = true;
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
    (void)ctx;
    (void)worker;
}

static const GfCellOps OPS = {.start = op_start,
                              .stop = op_stop,
                              .hold = op_hold,
                              .commit = op_commit,
                              .look_up = op_look_up,
                              .fenced = op_fenced};

/* Answers a hold order with an inventory that lists one run or none. */
static void
answer(Owner *o, const GfHoldOrder *hold, const GfRunRow *row)
{
    GfInventory inventory = {.incarnation = 1,
                             .clock_ms = o->worker_clock_ms,
                             .runs = row,
                             .run_count = row == NULL ? 0 : 1};
    GfCell_HoldDone(o->cell, hold->target.serial, hold->sent_at, GF_ORDER_DONE,
                    &inventory);
}

static void
run(Owner *o, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        GfCell_Tick(o->cell);
        GfManualClock_Advance(&o->clock, STEP_MS);
        o->worker_clock_ms += STEP_MS;
        for (int i = 0; i < WORKERS && !o->holds_kept; i++) {
            if (o->open[i]) {
                o->open[i] = false;
                answer(o, &o->holds[i], NULL);
            }
        }
        if (o->commit_open) {
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
    for (int i = 0; i < WORKERS; i++) {
        GfWorkerInfo info = {.id = GfName_Format("w%d", i),
                             .port = (uint16_t)i,
                             .incarnation = 1,
                             .service = o->config->queues[0].service,
                             .domain = GfName_Format("d0"),
                             .label_count = 1,
                             .capacity = {16000, 64000, 0}};
        info.labels[0] = GfName_Format("r0");
        GfCell_SetWorker(o->cell, &info);
    }
    GfCell_StartPlacement(o->cell);
    run(o, 200);
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

/* The start gets no answer, so an inventory is requested beside the hold. The
 * hold is answered first, within the millisecond in which the run begins. */
static void
test_run_missing_from_an_inventory_of_the_same_millisecond(void)
{
    Owner o;
    open_owner(&o);
    o.holds_kept = true;
    run(&o, 50);
    submit(&o);
    CU_ASSERT_EQUAL(o.starts, 1);
    int worker = o.worker;
    GfHoldOrder hold = o.holds[worker];
    run(&o, ORDER_TIMEOUT_MS);
    GfCell_StartDone(o.cell, o.serial, &o.task, o.run, GF_ORDER_UNKNOWN);
    GfHoldOrder poll = o.holds[worker];
    CU_ASSERT(GfTime_Before(hold.sent_at, poll.sent_at));
    run(&o, STEP_MS);
    GfRunRow row = {.task = o.task, .run = o.run, .percent = 1};
    answer(&o, &hold, &row);
    int starts = o.starts;
    answer(&o, &poll, NULL);
    run(&o, 50);
    CU_ASSERT_EQUAL(o.starts, starts);
    CU_ASSERT_EQUAL(o.worker, worker);
    GfCell_Destroy(o.cell);
    GfCellConfig_Destroy(o.config);
}

static const SuiteTest TESTS[] = {
    {"run missing from an inventory of the same millisecond",
     test_run_missing_from_an_inventory_of_the_same_millisecond}};

SUITE_MAIN("cell inventories", TESTS)
