/* The list of workers that may hold a lease, in a fleet of the largest size.
 * If it outgrows what a row or a call to the store takes, nothing is stored
 * any more, and workers that the stored list does not name get no tasks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define WORKERS 10000
/* More than the workers that fit a row. */
#define JOB_TASKS 2000
#define ROW_BYTES 65536
#define CALL_BYTES (1000 * 1000)
#define CALL_ROWS 100
#define ROW_OVERHEAD_BYTES 80
/* Within this time all workers must be usable. */
#define LIMIT_MS 2000
/* Workers answer at this interval. */
#define ANSWER_MS 100

typedef struct {
    uint32_t serial;
    struct timespec sent_at;
    int worker;
    int64_t incarnation;
} Hold;

/* An owner whose workers answer in the next step, as does the store. */
typedef struct {
    GfManualClock clock;
    GfCell *cell;
    int64_t incarnations[WORKERS];
    Hold *holds;
    size_t hold_count;
    size_t hold_capacity;
    bool commit_open;
    int64_t version; /* of the latest commit */
    bool starts;
    json_t *rows; /* stored, by key */
    size_t commits;
    size_t bytes; /* of all commits */
    size_t start_count;
    size_t named;   /* workers in the rows after the latest commit */
    bool lost_some; /* once fewer than after the one before */
    bool counts_named;
    bool long_names; /* of workers and their addresses */
} Owner;

static void
op_start(void *ctx, const GfStartOrder *order)
{
    (void)order;
    ((Owner *)ctx)->start_count++;
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    Owner *o = ctx;
    if (o->hold_count == o->hold_capacity) {
        o->hold_capacity = o->hold_capacity * 2 + 16;
        o->holds = realloc(o->holds, o->hold_capacity * sizeof(Hold));
    }
    o->holds[o->hold_count++] =
        (Hold){order->target.serial, order->sent_at,
               (int)strtol(order->target.worker->id.data + 2, NULL, 16),
               order->target.worker->incarnation};
}

/* Returns how many workers the stored rows name. */
static size_t
count_named(const Owner *o)
{
    json_t *names = json_object();
    const char *key;
    json_t *part;
    json_object_foreach(o->rows, key, part)
    {
        size_t i;
        json_t *entry;
        json_array_foreach(part, i, entry)
        {
            json_object_set_new(names,
                                json_string_value(json_array_get(entry, 0)),
                                json_true());
        }
    }
    size_t count = json_object_size(names);
    json_decref(names);
    return count;
}

static void
op_commit(void *ctx, const GfCellCommit *commit)
{
    Owner *o = ctx;
    size_t bytes = 0;
    for (size_t i = 0; i < commit->count; i++) {
        const GfCellRow *row = &commit->rows[i];
        CU_ASSERT(row->len <= ROW_BYTES);
        bytes +=
            (row->len + 2) / 3 * 4 + ROW_OVERHEAD_BYTES + strlen(row->key);
        if (row->is_lease_list) {
            json_object_set_new(o->rows, row->key,
                                json_loadb(row->text, row->len, 0, NULL));
        }
    }
    CU_ASSERT(bytes <= CALL_BYTES);
    CU_ASSERT(commit->count + 2 <= CALL_ROWS);
    size_t named = o->counts_named ? count_named(o) : 0;
    o->lost_some = o->lost_some || named < o->named;
    o->named = named;
    o->commits++;
    o->bytes += bytes;
    o->commit_open = true;
}

static const GfCellOps OPS = {
    .start = op_start, .hold = op_hold, .commit = op_commit};

static void
open_owner(Owner *o, json_t *rows, const GfCellConfig *config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *o = (Owner){.rows = rows, .version = 10};
    GfManualClock_Init(&o->clock, 1000000);
    GfCellSettings settings = {
        .token = 10, .lease_ms = 6000, .serial_base = 100000};
    o->cell = GfCell_Create(&OPS, o, &settings, &o->clock.clock);
    GfCell_SetConfig(o->cell, config);
}

static void
close_owner(Owner *o)
{
    GfCell_Destroy(o->cell);
    free(o->holds);
}

static void
add_worker(Owner *o, int number, int64_t incarnation)
{
    GfWorkerInfo info = {.id = GfName_Format("i-%08x", (unsigned)number),
                         .incarnation = incarnation,
                         .service = GfName_Format("service"),
                         .domain = GfName_Format("d"),
                         .address = "10.200.100.100",
                         .port = 9000,
                         .capacity = {1000, 1000, 0}};
    if (o->long_names) {
        info.id =
            GfName_Format("i-%08x-of-the-pool-of-the-zone", (unsigned)number);
        strcpy(info.address, "worker-host.rack-0.domain-a.region-b.example");
    }
    o->incarnations[number] = incarnation;
    GfCell_SetWorker(o->cell, &info);
}

static void
run(Owner *o, int ms)
{
    for (int t = 0; t < ms; t += 10) {
        GfManualClock_Advance(&o->clock, 10);
        Hold *holds = o->holds;
        size_t count = t % ANSWER_MS == 0 ? o->hold_count : 0;
        if (count > 0) {
            o->holds = NULL;
            o->hold_count = 0;
            o->hold_capacity = 0;
        }
        for (size_t i = 0; i < count; i++) {
            if (holds[i].incarnation != o->incarnations[holds[i].worker]) {
                continue;
            }
            GfInventory inventory = {.incarnation = holds[i].incarnation,
                                     .clock_ms = GfTime_ToMs(o->clock.time)};
            GfCell_HoldDone(o->cell, holds[i].serial, holds[i].sent_at,
                            GF_ORDER_DONE, &inventory);
        }
        if (count > 0) {
            free(holds);
        }
        if (o->commit_open) {
            o->commit_open = false;
            GfCell_CommitDone(o->cell, ++o->version);
        }
        GfCell_Tick(o->cell);
    }
}

static size_t
count_stored(const Owner *o)
{
    size_t count = 0;
    const char *key;
    json_t *part;
    json_object_foreach(o->rows, key, part)
    {
        count += json_array_size(part);
    }
    return count;
}

/* A job whose tasks each take a worker. */
static void
add_job(Owner *o)
{
    GfJobSpec spec = {
        .payload = GfStr_Copy("x", 1), .step_count = 1, .occurrences = 1};
    spec.steps = calloc(1, sizeof(GfStepSpec));
    spec.steps[0].task_count = JOB_TASKS;
    spec.steps[0].need.mcores = 1000;
    GfName id = GfName_Format("%016x", 1U);
    GfName team = GfName_Format("a");
    GfName queue = GfName_Format("quick");
    GfCell_AddJob(o->cell, &id, &team, &queue, 0, &spec, NULL, false);
}

static void
test_workers_unused_beyond_a_row_of_them(void)
{
    GfCellConfig *config = CellSim_MakeConfig(0);
    static Owner o;
    open_owner(&o, json_object(), config);
    for (int i = 0; i < WORKERS; i++) {
        add_worker(&o, i, 1780000000000);
    }
    GfCell_StartPlacement(o.cell);
    run(&o, LIMIT_MS);
    CU_ASSERT_EQUAL(count_stored(&o), WORKERS);
    printf("  parts %zu, commits %zu, %zu kB\n", json_object_size(o.rows),
           o.commits, o.bytes / 1000);

    /* A change of one worker writes one part. */
    size_t commits = o.commits;
    size_t bytes = o.bytes;
    add_worker(&o, 5, 1780000009000);
    run(&o, 500);
    CU_ASSERT(o.commits > commits);
    CU_ASSERT(o.bytes - bytes < 2 * ROW_BYTES);

    add_job(&o);
    run(&o, 1000);
    CU_ASSERT_EQUAL(o.start_count, JOB_TASKS);
    json_decref(o.rows);
    close_owner(&o);
    GfCellConfig_Destroy(config);
}

/* A fleet grows until its list is divided, which takes several transactions.
 * Between them the rows name all workers that they named before. */
static void
test_leased_workers_missing_while_the_list_is_divided(void)
{
    GfCellConfig *config = CellSim_MakeConfig(0);
    static Owner o;
    open_owner(&o, json_object(), config);
    o.counts_named = true;
    o.long_names = true;
    GfCell_StartPlacement(o.cell);
    for (int i = 0; i < WORKERS; i++) {
        add_worker(&o, i, 1780000000000);
        if (i % 100 == 99) {
            run(&o, 2 * ANSWER_MS);
        }
    }
    run(&o, LIMIT_MS);
    printf("  parts %zu\n", json_object_size(o.rows));
    CU_ASSERT_EQUAL(o.named, WORKERS);
    CU_ASSERT_FALSE(o.lost_some);
    json_decref(o.rows);
    close_owner(&o);
    GfCellConfig_Destroy(config);
}

/* A small fleet has one row, as before the list had parts. */
static void
test_list_of_a_small_fleet_unreadable_for_earlier_owners(void)
{
    GfCellConfig *config = CellSim_MakeConfig(0);
    static Owner o;
    open_owner(&o, json_object(), config);
    for (int i = 0; i < 350; i++) {
        add_worker(&o, i, 1780000000000);
    }
    GfCell_StartPlacement(o.cell);
    run(&o, LIMIT_MS);
    CU_ASSERT_EQUAL(json_object_size(o.rows), 1);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(o.rows, "")), 350);
    json_decref(o.rows);
    close_owner(&o);
    GfCellConfig_Destroy(config);
}

/* The next owner goes on with the parts that it finds, so that none is left
 * with workers that it does not know. */
static void
test_stale_part_left_by_next_owner(void)
{
    GfCellConfig *config = CellSim_MakeConfig(0);
    json_t *rows = json_object();
    json_object_set_new(rows, "", json_array());
    json_object_set_new(
        rows, ".3",
        json_pack("[[s,I,s,i]]", "i-gone", (json_int_t)1, "10.0.0.1", 1));
    static Owner o;
    open_owner(&o, rows, config);
    GfCell_SetLeaseParts(o.cell, 4);
    for (int i = 0; i < 20; i++) {
        add_worker(&o, i, 1780000000000);
    }
    GfCell_StartPlacement(o.cell);
    run(&o, LIMIT_MS);
    CU_ASSERT_EQUAL(count_stored(&o), 20);
    json_decref(o.rows);
    close_owner(&o);
    GfCellConfig_Destroy(config);
}

static const SuiteTest TESTS[] = {
    {"workers unused beyond a row of them",
     test_workers_unused_beyond_a_row_of_them},
    {"leased workers missing while the list is divided",
     test_leased_workers_missing_while_the_list_is_divided},
    {"list of a small fleet unreadable for earlier owners",
     test_list_of_a_small_fleet_unreadable_for_earlier_owners},
    {"stale part left by next owner", test_stale_part_left_by_next_owner}};

SUITE_MAIN("cell large fleet", TESTS)
