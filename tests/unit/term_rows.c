/* The rows of an owner's term, in a table in memory. Finished jobs pile up in
 * the store if they are removed more slowly than they end, and run again if
 * their progress is removed before their own row. Rows that an earlier owner
 * left behind stay for good if nobody removes them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/cellentry/term_private.h"
#include "guavaflow/log.h"
#include "memory_table.h"
#include "suite.h"

#define SECONDS_KEPT 1

typedef struct {
    GfCellEntry entry;
    GfCellEntrySettings settings;
    GfCommands commands;
    MemoryTable table;
    GfManualClock clock;
} Fixture;

static void
put(Fixture *f, const char *table, const char *part, const char *key,
    const char *value)
{
    MemoryTable_Put(&f->table, table, part, key, value);
}

static bool
has(const Fixture *f, const char *table, const char *part, const char *key)
{
    return MemoryTable_Has(&f->table, table, part, key);
}

static void
ignore_sink(GfCommands *commands, const GfCommandSink *sink, void *ctx)
{
    (void)commands;
    (void)sink;
    (void)ctx;
}

/* Decodes any job as one of a task. */
static bool
decode_job(const char *data, size_t len, GfJobSpec *spec, GfError *error)
{
    (void)data;
    (void)len;
    (void)error;
    *spec = (GfJobSpec){
        .payload = GfStr_Copy("x", 1), .step_count = 1, .occurrences = 1};
    spec->steps = calloc(1, sizeof(GfStepSpec));
    spec->steps[0].task_count = 64;
    return true;
}

static const GfDecoder DECODER = {
    .job = decode_job, .operator_table = "op", .worker_table = "servers"};
static const GfCommandOps COMMAND_OPS = {.set_sink = ignore_sink};

static void
set_up(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    GfManualClock_Init(&f->clock, 1000000);
    MemoryTable_Init(&f->table);
    f->settings.keep_finished_s = SECONDS_KEPT;
    f->settings.longest_lease_ms = 6000;
    f->commands.ops = &COMMAND_OPS;
    f->entry.base = event_base_new();
    f->entry.settings = &f->settings;
    f->entry.table = &f->table.base;
    f->entry.commands = &f->commands;
    f->entry.decoder = &DECODER;
    f->entry.clock = &f->clock.clock;
    GfName_SetText(&f->entry.self, "e1");
    EntryStore_Begin(&f->entry);
}

static void
tear_down(Fixture *f)
{
    EntryTerm_End(&f->entry);
    MemoryTable_AnswerAll(&f->table);
    MemoryTable_EndFollows(&f->table);
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
    MemoryTable_Clear(&f->table);
}

static void
begin_term(Fixture *f)
{
    OwnerView former = {0};
    f->table.owner_version = ++f->table.version;
    EntryTerm_Begin(&f->entry, f->table.owner_version, &former);
    MemoryTable_AnswerAll(&f->table);
}

static void
run(Fixture *f, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 50) {
        GfManualClock_Advance(&f->clock, 50);
        EntryTerm_Tick(&f->entry, f->clock.time);
        MemoryTable_AnswerAll(&f->table);
    }
}

static void
put_job(Fixture *f, const char *id, const char *progress)
{
    GfName name;
    GfName_SetText(&name, id);
    put(f, ENTRY_JOB_TABLE, GfJobRow_Part(&name).text, id,
        "{\"team\":\"a\",\"queue\":\"q\",\"accepted_ms\":1,\"body\":\"{}\"}");
    if (progress != NULL) {
        put(f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, id, progress);
    }
}

static size_t
count_rows(const Fixture *f)
{
    return json_object_size(f->table.rows);
}

/* 18 jobs a second are handed in on the busiest site. */
static void
test_finished_jobs_pile_up(void)
{
    enum { JOBS = 1800, JOBS_PER_S = 18 };
    Fixture f;
    set_up(&f);
    for (int i = 0; i < JOBS; i++) {
        char id[32];
        snprintf(id, sizeof(id), "%016x", (unsigned)i);
        put_job(&f, id, "{\"state\":\"completed\"}");
    }
    begin_term(&f);
    run(&f, 16000);
    size_t before = count_rows(&f);
    run(&f, 40000);
    printf("  %zu rows after %zu, %zu transactions\n", count_rows(&f), before,
           f.table.transactions);
    CU_ASSERT(before - count_rows(&f) >= (size_t)2 * JOBS_PER_S * 40);
    run(&f, 100000);
    CU_ASSERT_EQUAL(count_rows(&f), 0);
    tear_down(&f);
}

/* The removal of the job's row is refused. */
static void
test_progress_removed_before_job(void)
{
    Fixture f;
    set_up(&f);
    put_job(&f, "5c0e7a21d94b36f8", "{\"state\":\"completed\"}");
    begin_term(&f);
    f.table.refused_table = ENTRY_JOB_TABLE;
    run(&f, 30000);
    CU_ASSERT_EQUAL(count_rows(&f), 2);
    GfName id;
    GfName_SetText(&id, "5c0e7a21d94b36f8");
    CU_ASSERT_TRUE(GfCell_HasJob(EntryTerm_Cell(&f.entry), &id));
    f.table.refused_table = ENTRY_PROGRESS_TABLE;
    run(&f, 10000);
    CU_ASSERT_EQUAL(count_rows(&f), 1);
    CU_ASSERT_TRUE(has(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, id.data));
    f.table.refused_table = NULL;
    run(&f, 10000);
    CU_ASSERT_EQUAL(count_rows(&f), 0);
    tear_down(&f);
}

/* The former owner ended between the two removals, or before it had removed
 * all rows of a job's blocks. */
static void
test_rows_left_for_good(void)
{
    Fixture f;
    set_up(&f);
    put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36f8",
        "{\"state\":\"completed\"}");
    put_job(&f, "5c0e7a21d94b36f9", "{\"state\":\"withdrawn\"}");
    put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36f9.0.1",
        "{\"step\":0,\"block\":1,\"done\":\"1\"}");
    put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36fa.0.1",
        "{\"step\":0,\"block\":1,\"done\":\"1\"}");
    begin_term(&f);
    CU_ASSERT_FALSE(has(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                        "5c0e7a21d94b36f9.0.1"));
    run(&f, 40000);
    CU_ASSERT_EQUAL(count_rows(&f), 0);
    tear_down(&f);
}

/* The rows of a job's blocks reach the job. */
static void
test_done_task_of_a_block_waits_again(void)
{
    Fixture f;
    set_up(&f);
    put_job(&f, "5c0e7a21d94b36f8",
            "{\"state\":\"started\",\"finished\":\"AA==\"}");
    put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36f8.0.0",
        "{\"step\":0,\"block\":0,"
        "\"done\":\"11111111111111111111111111111111\"}");
    put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36f8.0.1",
        "{\"step\":0,\"block\":1,"
        "\"done\":\"11111111111111111111111111111111\"}");
    begin_term(&f);
    GfName id;
    GfName_SetText(&id, "5c0e7a21d94b36f8");
    GfJobState state = GF_JOB_QUEUED;
    GfCell_StartPlacement(EntryTerm_Cell(&f.entry));
    run(&f, 500);
    CU_ASSERT_TRUE(GfCell_JobState(EntryTerm_Cell(&f.entry), &id, &state));
    CU_ASSERT_EQUAL(state, GF_JOB_COMPLETED);
    CU_ASSERT_FALSE(has(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                        "5c0e7a21d94b36f8.0.0"));
    tear_down(&f);
}

/* The former owner ended while it went from one row to several: the main row
 * is the former one, or there is none yet. */
static void
test_blocks_of_a_job_that_is_being_split_removed(void)
{
    static const char *const MAIN[] = {
        "{\"state\":\"started\",\"done\":{\"0\":"
        "\"1111111111111111111111111111111100000000000000000000000000000000\""
        "}}",
        NULL};
    for (int i = 0; i < 2; i++) {
        Fixture f;
        set_up(&f);
        put_job(&f, "5c0e7a21d94b36f8", MAIN[i]);
        if (MAIN[i] == NULL) {
            put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                "5c0e7a21d94b36f8.0.0",
                "{\"step\":0,\"block\":0,"
                "\"done\":\"11111111111111111111111111111111\"}");
        }
        put(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, "5c0e7a21d94b36f8.0.1",
            "{\"step\":0,\"block\":1,"
            "\"done\":\"11111111111111111111111111111111\"}");
        begin_term(&f);
        CU_ASSERT_TRUE(has(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                           "5c0e7a21d94b36f8.0.1"));
        GfName id;
        GfName_SetText(&id, "5c0e7a21d94b36f8");
        GfJobState state = GF_JOB_QUEUED;
        GfCell_StartPlacement(EntryTerm_Cell(&f.entry));
        run(&f, 500);
        CU_ASSERT_TRUE(GfCell_JobState(EntryTerm_Cell(&f.entry), &id, &state));
        CU_ASSERT_EQUAL(state, GF_JOB_COMPLETED);
        CU_ASSERT_FALSE(has(&f, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                            "5c0e7a21d94b36f8.0.1"));
        tear_down(&f);
    }
}

static const SuiteTest TESTS[] = {
    {"finished jobs pile up", test_finished_jobs_pile_up},
    {"progress removed before job", test_progress_removed_before_job},
    {"rows left for good", test_rows_left_for_good},
    {"done task of a block waits again",
     test_done_task_of_a_block_waits_again},
    {"blocks of a job that is being split removed",
     test_blocks_of_a_job_that_is_being_split_removed}};

SUITE_MAIN("term rows", TESTS)
