/* The client of the platform's store, with a stand-in for it. The tests guard
 * against one row of another writer that makes the whole answer unusable, so
 * that the table with it cannot be followed any more, and against repeating a
 * transaction that the store refuses for good. */
#include <string.h>

#include "guavaflow/log.h"
#include "platform.h"
#include "suite.h"

#define PORT 31768
#define MAX_BODY_BYTES 65536
#define WAIT_MS 2000
#define MAX_ROWS 8

/* A client, the store's answer to its calls, and what the client has reported.
 */
typedef struct {
    struct event_base *base;
    GfHttp *http;
    GfServer *store;
    GfTable *table;
    int status;
    const char *answers[2]; /* in their order; the last one is repeated */
    size_t calls;
    GfTableResult result;
    size_t count;
    char keys[MAX_ROWS][16];
    bool has_value[MAX_ROWS];
    bool answered;
} Fixture;

/* Answers a call to the store. */
static void
on_call(void *ctx, GfExchange *exchange)
{
    Fixture *f = ctx;
    const char *answer = f->answers[f->calls > 0 && f->answers[1] != NULL];
    f->calls++;
    GfExchange_Reply(exchange, f->status, "application/json", answer,
                     strlen(answer));
}

/* Records the result of a call. */
static void
on_rows(void *arg, GfTableResult result, int64_t version,
        const GfTableRow *rows, size_t count)
{
    Fixture *f = arg;
    (void)version;
    f->result = result;
    f->count = count;
    for (size_t i = 0; i < count && i < MAX_ROWS; i++) {
        snprintf(f->keys[i], sizeof(f->keys[i]), "%s", rows[i].key);
        f->has_value[i] = rows[i].value != NULL;
    }
    f->answered = true;
}

/* Prepares a client, whose calls get the answers. */
static void
set_up(Fixture *f, const char *first, const char *second)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    f->status = 200;
    f->answers[0] = first;
    f->answers[1] = second;
    f->base = event_base_new();
    GfError error;
    f->store = GfServer_Create(f->base, "127.0.0.1", PORT, MAX_BODY_BYTES,
                               on_call, f, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f->store);
    f->http = GfHttp_Create(f->base);
    f->table =
        PlatformTable_Create(f->http, "127.0.0.1", PORT, GfClock_System());
}

/* Runs the event loop until the call has its result, or for WAIT_MS. */
static void
wait_for_result(Fixture *f)
{
    struct timespec begun = GfClock_Now(GfClock_System());
    while (!f->answered &&
           GfTime_DiffMs(GfClock_Now(GfClock_System()), begun) < WAIT_MS) {
        struct timeval tv = GfTime_ToTimeval(5);
        event_base_loopexit(f->base, &tv);
        event_base_dispatch(f->base);
    }
    CU_ASSERT_TRUE_FATAL(f->answered);
}

/* Frees what set_up has created. */
static void
tear_down(Fixture *f)
{
    GfHttp_Destroy(f->http);
    GfTable_Destroy(f->table);
    GfServer_Destroy(f->store);
    event_base_free(f->base);
}

/* A row whose key contains a NUL does not pass for the one whose key ends
 * there. */
static void
test_table_lost_for_one_odd_row(void)
{
    Fixture f;
    set_up(&f,
           "{\"ver\":9,\"nowMs\":1,\"rows\":["
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\",\"ver\":7,"
           "\"value\":\"e30=\"},"
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\\u0000b\","
           "\"ver\":8,\"value\":\"e30=\"},"
           "{\"key\":5},7,"
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"c\",\"ver\":9,"
           "\"value\":\"?\"}]}",
           NULL);
    GfTable_Follow(f.table, "servers", 6, 1000, on_rows, &f);
    wait_for_result(&f);
    CU_ASSERT_EQUAL(f.result, GF_TABLE_OK);
    CU_ASSERT_EQUAL_FATAL(f.count, 5);
    CU_ASSERT_STRING_EQUAL(f.keys[0], "a");
    CU_ASSERT_TRUE(f.has_value[0]);
    CU_ASSERT_STRING_EQUAL(f.keys[1], "");
    CU_ASSERT_STRING_EQUAL(f.keys[2], "");
    CU_ASSERT_STRING_EQUAL(f.keys[3], "");
    CU_ASSERT_STRING_EQUAL(f.keys[4], "c");
    CU_ASSERT_FALSE(f.has_value[4]);
    tear_down(&f);
}

/* A page that ends with such a row is followed by the next page, not by itself
 * again. */
static void
test_page_repeated_after_odd_key(void)
{
    Fixture f;
    set_up(&f,
           "{\"ver\":9,\"nowMs\":1,\"morePages\":true,\"rows\":["
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\",\"ver\":7,"
           "\"value\":\"e30=\"},"
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\\u0000b\","
           "\"ver\":8,\"value\":\"e30=\"}]}",
           "{\"ver\":9,\"nowMs\":1,\"rows\":["
           "{\"table\":\"servers\",\"part\":\"\",\"key\":\"c\",\"ver\":9,"
           "\"value\":\"e30=\"}]}");
    GfTable_Read(f.table, "servers", "", NULL, on_rows, &f);
    wait_for_result(&f);
    CU_ASSERT_EQUAL(f.result, GF_TABLE_OK);
    CU_ASSERT_EQUAL(f.calls, 2);
    CU_ASSERT_EQUAL_FATAL(f.count, 3);
    CU_ASSERT_STRING_EQUAL(f.keys[2], "c");
    tear_down(&f);
}

/* Statuses of a transaction that a repetition would get again, and others. */
static void
test_refused_transaction_repeated_for_ever(void)
{
    static const struct {
        int status;
        GfTableResult result;
    } CASES[] = {{400, GF_TABLE_INVALID}, {403, GF_TABLE_INVALID},
                 {413, GF_TABLE_INVALID}, {422, GF_TABLE_INVALID},
                 {408, GF_TABLE_REFUSED}, {429, GF_TABLE_REFUSED},
                 {503, GF_TABLE_REFUSED}, {500, GF_TABLE_UNKNOWN},
                 {502, GF_TABLE_UNKNOWN}, {412, GF_TABLE_CONFLICT}};
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        Fixture f;
        set_up(&f, "{\"rows\":[]}", NULL);
        f.status = CASES[i].status;
        const GfTableChange change = {"progress", "owner", "a", "{}", 2};
        GfTableTransaction transaction = {
            .changes = &change, .change_count = 1, .timeout_ms = 1000};
        GfTable_Transact(f.table, &transaction, on_rows, &f);
        wait_for_result(&f);
        CU_ASSERT_EQUAL(f.result, CASES[i].result);
        tear_down(&f);
    }
}

static const SuiteTest TESTS[] = {
    {"refused transaction repeated for ever",
     test_refused_transaction_repeated_for_ever},
    {"table lost for one odd row", test_table_lost_for_one_odd_row},
    {"page repeated after an odd key", test_page_repeated_after_odd_key}};

SUITE_MAIN("table_client", TESTS)
