/* A new owner and workers that refuse a part of its calls. All jobs of the
 * former owner wait until every worker has answered, as any of them may run
 * unseen. The test guards against one worker that refuses a few calls in a row
 * and holds up hundreds of jobs for seconds, as the pause between its calls
 * grows. */
#include "guavaflow/cell.h"

#include <stdio.h>
#include <stdlib.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define WORKERS 40
#define STEP_MS 5
/* A quick job has about this much time beside its run. */
#define MAX_WAIT_MS 800
/* Calls in a row that a worker refuses. */
#define REFUSALS 8

typedef struct {
    GfClock clock;
    struct timespec now;
    GfCell *cell;
    struct {
        uint32_t serial;
        struct timespec sent_at;
        int worker;
    } holds[WORKERS * 2];
    size_t hold_count;
    int calls[WORKERS];
    bool commit_open;
    int64_t version; /* of the latest commit */
    int starts;
} Owner;

static struct timespec
read_clock(const GfClock *clock)
{
    return ((const Owner *)(const void *)clock)->now;
}

static void
op_start(void *ctx, const GfStartOrder *order)
{
    (void)order;
    ((Owner *)ctx)->starts++;
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
    int worker = 0;
    sscanf(order->target.worker->id.data, "w%d", &worker);
    o->holds[o->hold_count].serial = order->target.serial;
    o->holds[o->hold_count].sent_at = order->sent_at;
    o->holds[o->hold_count++].worker = worker;
    o->calls[worker]++;
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

/* Returns the description of a worker. */
static GfWorkerInfo
describe(int worker)
{
    GfWorkerInfo info = {.id = GfName_Format("w%d", worker),
                         .incarnation = 1,
                         .service = GfName_Format("svc"),
                         .domain = GfName_Format("d0"),
                         .label_count = 1,
                         .capacity = {16000, 64000, 0}};
    info.labels[0] = GfName_Format("r%d", worker / 4);
    return info;
}

/* Answers the calls that are open: those of the refusing workers fail at once
 * until each has refused REFUSALS of them. */
static void
answer(Owner *o, int refusing)
{
    size_t count = o->hold_count;
    o->hold_count = 0;
    for (size_t i = 0; i < count; i++) {
        int w = o->holds[i].worker;
        bool refused = w < refusing && o->calls[w] <= REFUSALS;
        GfInventory inventory = {.incarnation = 1,
                                 .clock_ms = GfTime_ToMs(o->now)};
        GfCell_HoldDone(o->cell, o->holds[i].serial, o->holds[i].sent_at,
                        refused ? GF_ORDER_REFUSED : GF_ORDER_DONE,
                        refused ? NULL : &inventory);
    }
    if (o->commit_open) {
        o->commit_open = false;
        GfCell_CommitDone(o->cell, ++o->version);
    }
}

/* Returns how long a job of the former owner waits for its start, in ms, up to
 * 10 s, after a takeover in which so many workers refuse calls. */
static int64_t
wait_after_takeover(int refusing, int *calls)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    GfCellConfig *config = CellSim_MakeConfig(0);
    Owner o = {.now = {.tv_sec = 100}, .version = 2};
    o.clock.now = read_clock;
    GfCellSettings settings = {.token = 2,
                               .former_token = 1,
                               .lease_ms = 6000,
                               .ownership_valid_ms = 1800,
                               .uncertainty_ms = 8200,
                               .clock_drift_percent = 3};
    o.cell = GfCell_Create(&OPS, &o, &settings, &o.clock);
    GfCell_SetConfig(o.cell, config);
    for (int i = 0; i < WORKERS; i++) {
        GfWorkerInfo info = describe(i);
        info.service = config->queues[0].service;
        GfCell_AddLeasedWorker(o.cell, &info);
        GfCell_SetWorker(o.cell, &info);
    }
    GfStepSpec *step = calloc(1, sizeof(*step));
    CU_ASSERT_PTR_NOT_NULL_FATAL(step);
    *step = (GfStepSpec){
        .task_count = 4, .need = {1000, 100, 0}, .estimate_ms = 500};
    GfJobSpec spec = {.steps = step, .step_count = 1, .occurrences = 1};
    GfName id = GfName_Format("00000000000000aa");
    GfName team = GfName_Format("a");
    CU_ASSERT_TRUE(GfCell_AddJob(o.cell, &id, &team, &config->queues[0].name,
                                 100, &spec, NULL, true));
    GfCell_StartPlacement(o.cell);
    int64_t ms = 0;
    for (; ms < 10000 && o.starts == 0; ms += STEP_MS) {
        GfCell_Tick(o.cell);
        GfCell_Place(o.cell);
        o.now = GfTime_AddMs(o.now, STEP_MS);
        answer(&o, refusing);
    }
    *calls = 0;
    for (int i = 0; i < refusing; i++) {
        *calls += o.calls[i];
    }
    GfCell_Destroy(o.cell);
    GfCellConfig_Destroy(config);
    return ms;
}

static void
test_jobs_wait_for_a_refusing_worker(void)
{
    int calls;
    CU_ASSERT_TRUE(wait_after_takeover(0, &calls) <= 100);
    CU_ASSERT_TRUE(wait_after_takeover(1, &calls) <= MAX_WAIT_MS);
}

/* Many refusing workers are called at a bounded rate. */
static void
test_many_refusing_workers(void)
{
    int calls;
    int64_t ms = wait_after_takeover(WORKERS, &calls);
    CU_ASSERT_TRUE(ms <= 2 * MAX_WAIT_MS);
    CU_ASSERT_TRUE(calls <= WORKERS * (REFUSALS + 2));
}

static const SuiteTest TESTS[] = {
    {"jobs wait for a worker that refuses calls",
     test_jobs_wait_for_a_refusing_worker},
    {"many refusing workers", test_many_refusing_workers}};

SUITE_MAIN("cell_unheard", TESTS)
