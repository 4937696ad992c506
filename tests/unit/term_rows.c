/* The rows of an owner's term, in a table in memory. Finished jobs pile up in
 * the store if they are removed more slowly than they end, and run again if
 * their progress is removed before their own row. Rows that an earlier owner
 * left behind stay for good if nobody removes them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/cellentry/term_private.h"
#include "guavaflow/log.h"
#include "suite.h"

#define MAX_CALLS 512
#define MAX_FOLLOWS 8
#define SECONDS_KEPT 1

/* A call in progress; a transaction is carried out when it is answered. */
typedef struct {
    char table[24];
    char part[24];
    char key[24];    /* of a read; empty: all rows of the part */
    json_t *changes; /* [table, part, key, value or null]; NULL: a read */
    GfTableCallback callback;
    void *arg;
} Call;

typedef struct {
    GfTable base;
    json_t *rows; /* text by "table/part/key" */
    Call calls[MAX_CALLS];
    size_t open;
    Call follows[MAX_FOLLOWS];
    size_t follow_count;
    int64_t version;
    int64_t
        owner_version; /* of the owner's row, which each read by key gets */
    size_t transactions;
    const char *refused_table; /* removals from it are refused */
} MemoryTable;

typedef struct {
    GfCellEntry entry;
    GfCellEntrySettings settings;
    GfCommands commands;
    MemoryTable table;
    GfManualClock clock;
} Fixture;

static Call *
add_call(MemoryTable *t, const char *table, const char *part,
         GfTableCallback callback, void *arg)
{
    CU_ASSERT_FATAL(t->open < MAX_CALLS);
    Call *call = &t->calls[t->open++];
    *call = (Call){.callback = callback, .arg = arg};
    snprintf(call->table, sizeof(call->table), "%s", table);
    snprintf(call->part, sizeof(call->part), "%s", part);
    return call;
}

static void
memory_read(GfTable *table, const char *name, const char *part,
            const char *key, GfTableCallback callback, void *arg)
{
    Call *call = add_call((MemoryTable *)table, name, part, callback, arg);
    snprintf(call->key, sizeof(call->key), "%s", key == NULL ? "" : key);
}

/* A follow request is answered when the test is over. */
static void
memory_follow(GfTable *table, const char *name, int64_t after, int wait_ms,
              GfTableCallback callback, void *arg)
{
    (void)name;
    (void)after;
    (void)wait_ms;
    MemoryTable *t = (MemoryTable *)table;
    CU_ASSERT_FATAL(t->follow_count < MAX_FOLLOWS);
    t->follows[t->follow_count++] = (Call){.callback = callback, .arg = arg};
}

static void
memory_transact(GfTable *table, const GfTableTransaction *transaction,
                GfTableCallback callback, void *arg)
{
    Call *call = add_call((MemoryTable *)table, "", "", callback, arg);
    call->changes = json_array();
    for (size_t i = 0; i < transaction->change_count; i++) {
        const GfTableChange *c = &transaction->changes[i];
        json_t *value = c->value == NULL
                            ? json_null()
                            : json_stringn(c->value, c->value_len);
        json_array_append_new(
            call->changes,
            json_pack("[s,s,s,o]", c->table, c->part, c->key, value));
    }
}

static void
memory_abandon_older(GfTable *table)
{
    (void)table;
}

static const GfTableOps TABLE_OPS = {.read = memory_read,
                                     .follow = memory_follow,
                                     .transact = memory_transact,
                                     .abandon_older = memory_abandon_older};

static void
put(Fixture *f, const char *table, const char *part, const char *key,
    const char *value)
{
    char path[200];
    snprintf(path, sizeof(path), "%s/%s/%s", table, part, key);
    json_object_set_new(f->table.rows, path, json_string(value));
}

static bool
has(const Fixture *f, const char *table, const char *part, const char *key)
{
    char path[200];
    snprintf(path, sizeof(path), "%s/%s/%s", table, part, key);
    return json_object_get(f->table.rows, path) != NULL;
}

/* Answers a read with all rows of the part. */
static void
answer_read(MemoryTable *t, const Call *call)
{
    char prefix[64];
    snprintf(prefix, sizeof(prefix), "%s/%s/", call->table, call->part);
    GfTableRow *rows =
        calloc(json_object_size(t->rows) + 1, sizeof(GfTableRow));
    size_t count = 0;
    const char *path;
    json_t *value;
    json_object_foreach(t->rows, path, value)
    {
        if (strncmp(path, prefix, strlen(prefix)) == 0) {
            rows[count++] =
                (GfTableRow){.table = call->table,
                             .part = call->part,
                             .key = path + strlen(prefix),
                             .version = t->version,
                             .value = json_string_value(value),
                             .value_len = json_string_length(value)};
        }
    }
    GfTableRow owner = {.key = ENTRY_OWNER_KEY, .version = t->owner_version};
    bool verifies = call->key[0] != '\0';
    call->callback(call->arg, GF_TABLE_OK, t->version,
                   verifies ? &owner : rows, verifies ? 1 : count);
    free(rows);
}

/* Carries out a transaction and answers it. */
static void
answer_transaction(MemoryTable *t, const Call *call)
{
    size_t i;
    json_t *c;
    bool refused = false;
    json_array_foreach(call->changes, i, c)
    {
        const char *table = json_string_value(json_array_get(c, 0));
        refused = refused || (t->refused_table != NULL &&
                              json_is_null(json_array_get(c, 3)) &&
                              strcmp(table, t->refused_table) == 0);
    }
    json_array_foreach(call->changes, i, c)
    {
        char path[200];
        snprintf(path, sizeof(path), "%s/%s/%s",
                 json_string_value(json_array_get(c, 0)),
                 json_string_value(json_array_get(c, 1)),
                 json_string_value(json_array_get(c, 2)));
        json_t *value = json_array_get(c, 3);
        if (!refused && json_is_null(value)) {
            json_object_del(t->rows, path);
        }
        else if (!refused) {
            json_object_set(t->rows, path, value);
        }
    }
    t->transactions++;
    t->version++;
    call->callback(call->arg, refused ? GF_TABLE_REFUSED : GF_TABLE_OK,
                   t->version, NULL, 0);
    json_decref(call->changes);
}

/* Answers the calls that are open, those that follow included. */
static void
answer_all(MemoryTable *t)
{
    while (t->open > 0) {
        Call call = t->calls[0];
        memmove(t->calls, t->calls + 1, --t->open * sizeof(Call));
        if (call.changes == NULL) {
            answer_read(t, &call);
        }
        else {
            answer_transaction(t, &call);
        }
    }
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
    f->table.base.ops = &TABLE_OPS;
    f->table.rows = json_object();
    f->table.version = 100;
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
    answer_all(&f->table);
    for (size_t i = 0; i < f->table.follow_count; i++) {
        const Call *call = &f->table.follows[i];
        call->callback(call->arg, GF_TABLE_UNKNOWN, 0, NULL, 0);
    }
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
    json_decref(f->table.rows);
}

static void
begin_term(Fixture *f)
{
    OwnerView former = {0};
    f->table.owner_version = ++f->table.version;
    EntryTerm_Begin(&f->entry, f->table.owner_version, &former);
    answer_all(&f->table);
}

static void
run(Fixture *f, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 50) {
        GfManualClock_Advance(&f->clock, 50);
        EntryTerm_Tick(&f->entry, f->clock.time);
        answer_all(&f->table);
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
