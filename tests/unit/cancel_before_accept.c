/* Cancels of jobs that no owner knows. The write of a job's row may be on its
 * way when the caller has given up its submit and cancels: if the answer
 * leaves nothing in the store, the job is accepted afterwards and runs. */
#include <stdlib.h>
#include <string.h>

#include "../../src/cellentry/term_private.h"
#include "cell_sim.h"
#include "guavaflow/log.h"
#include "memory_table.h"
#include "suite.h"

#define JOB "7a7a0000000000d1"
#define KEEP_S 1
/* What the product adds to this time, and the interval of removals. */
#define REMOVED_AFTER_MS 25000
#define TIMEOUT_MS 3000

/* An entry that owns the cell, with a store in memory; the answers to its
 * callers, by verb. */
typedef struct {
    GfCellEntry entry;
    GfCellEntrySettings settings;
    GfCommands commands;
    MemoryTable table;
    GfManualClock clock;
    int answers[GF_JOB_VERBS];
    GfJobAnswer answer[GF_JOB_VERBS]; /* the latest one */
} Fixture;

static void
ignore_sink(GfCommands *commands, const GfCommandSink *sink, void *ctx)
{
    (void)commands;
    (void)sink;
    (void)ctx;
}

static bool
decode_job(const char *data, size_t len, GfJobSpec *spec, GfError *error)
{
    (void)data;
    (void)len;
    (void)error;
    *spec = (GfJobSpec){
        .payload = GfStr_Copy("x", 1), .step_count = 1, .occurrences = 1};
    spec->steps = calloc(1, sizeof(GfStepSpec));
    spec->steps[0].task_count = 2;
    return true;
}

static const GfDecoder DECODER = {
    .job = decode_job, .operator_table = "op", .worker_table = "servers"};
static const GfCommandOps COMMAND_OPS = {.set_sink = ignore_sink};

static void
begin_term(Fixture *f)
{
    OwnerView former = {0};
    f->table.owner_version = ++f->table.version;
    EntryTerm_Begin(&f->entry, f->table.owner_version, &former);
    MemoryTable_AnswerAll(&f->table);
    GfCell_StartPlacement(EntryTerm_Cell(&f->entry));
}

static void
set_up(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    GfManualClock_Init(&f->clock, 1000000);
    MemoryTable_Init(&f->table);
    f->table.late_key = JOB;
    f->settings.keep_finished_s = KEEP_S;
    f->settings.longest_lease_ms = 6000;
    f->commands.ops = &COMMAND_OPS;
    f->entry.base = event_base_new();
    f->entry.settings = &f->settings;
    f->entry.table = &f->table.base;
    f->entry.commands = &f->commands;
    f->entry.decoder = &DECODER;
    f->entry.clock = &f->clock.clock;
    f->entry.config = CellSim_MakeConfig(0);
    for (size_t i = 0; i < f->entry.config->queue_count; i++) {
        f->entry.config->queues[i].path_prefix =
            GfStr_Copy(i == 0 ? "/q/" : "/x/", 3);
    }
    f->entry.config->queues[0].open = true;
    GfName_SetText(&f->entry.self, "e1");
    EntryStore_Begin(&f->entry);
    begin_term(f);
}

static void
tear_down(Fixture *f)
{
    EntryTerm_End(&f->entry);
    MemoryTable_AnswerAll(&f->table);
    MemoryTable_EndFollows(&f->table);
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
    GfCellConfig_Destroy(f->entry.config);
    MemoryTable_Clear(&f->table);
}

static void
on_answer(void *arg, const GfJobAnswer *answer)
{
    Fixture *f = arg;
    f->answers[answer->verb]++;
    f->answer[answer->verb] = *answer;
}

static void
request(Fixture *f, GfJobVerb verb)
{
    GfJobRequest r = {.verb = verb,
                      .host = "",
                      .path = "/q/" JOB,
                      .body = "{}",
                      .body_len = 2,
                      .timeout_ms = TIMEOUT_MS};
    GfCellEntry_Handle(&f->entry, &r, on_answer, f);
    MemoryTable_AnswerAll(&f->table);
}

/* Lets time pass, for the timers of requests too. */
static void
run(Fixture *f, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 50) {
        GfManualClock_Advance(&f->clock, 50);
        EntryTerm_Tick(&f->entry, f->clock.time);
        MemoryTable_AnswerAll(&f->table);
        event_base_loop(f->entry.base, EVLOOP_NONBLOCK);
        MemoryTable_AnswerAll(&f->table);
    }
}

/* Waits until the timers of requests are due, and lets them go on. */
static void
wait_for_retry(Fixture *f)
{
    struct timeval tv = GfTime_ToTimeval(150);
    event_base_loopexit(f->entry.base, &tv);
    event_base_dispatch(f->entry.base);
    MemoryTable_AnswerAll(&f->table);
}

/* Returns how many jobs of the queue wait or run. */
static size_t
count_jobs(const Fixture *f)
{
    return GfCell_CountQueuedJobs(EntryTerm_Cell(&f->entry),
                                  &f->entry.config->queues[0].name);
}

/* The write has no answer; the caller cancels, then it is carried out. */
static void
test_job_runs_although_its_cancel_was_answered(void)
{
    for (int term = 0; term < 2; term++) {
        Fixture f;
        set_up(&f);
        f.table.late_left = 1;
        request(&f, GF_JOB_SUBMIT);
        CU_ASSERT_EQUAL(f.answers[GF_JOB_SUBMIT], 0);
        request(&f, GF_JOB_CANCEL);
        CU_ASSERT_EQUAL(f.answers[GF_JOB_CANCEL], 1);
        CU_ASSERT_EQUAL(f.answer[GF_JOB_CANCEL].kind, GF_NO_SUCH_JOB);
        MemoryTable_CarryOutLate(&f.table);
        wait_for_retry(&f);
        CU_ASSERT_EQUAL(f.answers[GF_JOB_SUBMIT], 1);
        CU_ASSERT_EQUAL(f.answer[GF_JOB_SUBMIT].kind, GF_NO_SUCH_JOB);
        if (term > 0) {
            EntryTerm_End(&f.entry);
            MemoryTable_AnswerAll(&f.table);
            MemoryTable_EndFollows(&f.table);
            begin_term(&f);
        }
        request(&f, GF_JOB_STATUS);
        CU_ASSERT_EQUAL(f.answer[GF_JOB_STATUS].kind, GF_NO_SUCH_JOB);
        CU_ASSERT_EQUAL(count_jobs(&f), 0);
        request(&f, GF_JOB_SUBMIT);
        CU_ASSERT_EQUAL(f.answer[GF_JOB_SUBMIT].kind, GF_NO_SUCH_JOB);
        request(&f, GF_JOB_CANCEL);
        CU_ASSERT_EQUAL(f.answer[GF_JOB_CANCEL].kind, GF_NO_SUCH_JOB);
        CU_ASSERT_EQUAL(count_jobs(&f), 0);
        tear_down(&f);
    }
}

/* The job was stored, and the owner has not heard of it. */
static void
test_stored_job_taken_for_unknown(void)
{
    Fixture f;
    set_up(&f);
    f.table.late_left = 1;
    request(&f, GF_JOB_SUBMIT);
    MemoryTable_CarryOutLate(&f.table);
    request(&f, GF_JOB_CANCEL);
    CU_ASSERT_EQUAL(f.answers[GF_JOB_CANCEL], 0);
    for (int i = 0; i < 10 && f.answers[GF_JOB_CANCEL] == 0; i++) {
        wait_for_retry(&f);
        run(&f, 100);
    }
    CU_ASSERT_EQUAL(f.answer[GF_JOB_CANCEL].kind, GF_OK);
    request(&f, GF_JOB_STATUS);
    CU_ASSERT_EQUAL(f.answer[GF_JOB_STATUS].state, GF_JOB_WITHDRAWN);
    tear_down(&f);
}

/* The cancel's own write has no answer: before it is known to be stored, the
 * caller is not told that the job does not exist. */
static void
test_cancel_answered_before_it_is_stored(void)
{
    Fixture f;
    set_up(&f);
    f.table.late_left = 1000;
    request(&f, GF_JOB_CANCEL);
    CU_ASSERT_EQUAL(f.answers[GF_JOB_CANCEL], 0);
    f.table.late_left = 0;
    wait_for_retry(&f);
    CU_ASSERT_EQUAL(f.answer[GF_JOB_CANCEL].kind, GF_NO_SUCH_JOB);
    MemoryTable_CarryOutLate(&f.table);
    f.table.late_left = 1000;
    GfManualClock_Advance(&f.clock, 1000);
    MemoryTable_AnswerAll(&f.table);
    tear_down(&f);
}

/* What a cancel leaves in the store is removed like a finished job. */
static void
test_rows_of_cancels_pile_up(void)
{
    Fixture f;
    set_up(&f);
    request(&f, GF_JOB_CANCEL);
    GfName id;
    GfName_SetText(&id, JOB);
    const char *part = GfJobRow_Part(&id).text;
    CU_ASSERT_TRUE(MemoryTable_Has(&f.table, ENTRY_JOB_TABLE, part, JOB));
    EntryTerm_End(&f.entry);
    MemoryTable_AnswerAll(&f.table);
    MemoryTable_EndFollows(&f.table);
    begin_term(&f);
    run(&f, 10000);
    CU_ASSERT_TRUE(MemoryTable_Has(&f.table, ENTRY_JOB_TABLE, part, JOB));
    run(&f, REMOVED_AFTER_MS);
    CU_ASSERT_FALSE(MemoryTable_Has(&f.table, ENTRY_JOB_TABLE, part, JOB));
    tear_down(&f);
}

static const SuiteTest TESTS[] = {
    {"job runs although its cancel was answered",
     test_job_runs_although_its_cancel_was_answered},
    {"stored job taken for unknown", test_stored_job_taken_for_unknown},
    {"cancel answered before it is stored",
     test_cancel_answered_before_it_is_stored},
    {"rows of cancels pile up", test_rows_of_cancels_pile_up}};

SUITE_MAIN("cancel before accept", TESTS)
