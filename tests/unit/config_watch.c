/* The watch of the operators' table, with the platform's client and a stand-in
 * for its store. The tests guard against an entry that waits on a connection
 * that has gone silent, and learns of a change only through others. */
#include <string.h>

#include <sodium.h>

#include "../../src/cellentry/entry_private.h"
#include "guavaflow/log.h"
#include "platform.h"
#include "suite.h"

#define PORT 31767
#define MAX_BODY_BYTES 65536
/* After its connections have gone silent, an entry is up to date again within
 * CONTACT_MS, which is the stated target. */
#define CONTACT_MS 3000
#define FIRST_READ_MS 1000
#define VALUE_BYTES 1024
#define STEP_MS 5
/* Enough for the answers of the polls in progress to arrive. */
#define ANSWER_MS 50

/* An entry, and the store that it follows. */
typedef struct {
    GfCellEntry entry;
    GfHttp *http;
    GfServer *store;
    int64_t version;       /* of the configuration in the store */
    size_t silent_polls;   /* polls that get no answer */
    GfExchange *polls[64]; /* polls in progress */
    size_t poll_count;
} Fixture;

/* Answers a call with the row of the configuration. */
static void
reply_config(const Fixture *f, GfExchange *exchange)
{
    GfStr text = GfStr_Format("{\"version\":%lld,\"routes\":[]}",
                              (long long)f->version);
    char value[VALUE_BYTES];
    sodium_bin2base64(value, sizeof(value), (const unsigned char *)text.data,
                      text.len, sodium_base64_VARIANT_ORIGINAL);
    GfStr_Clear(&text);
    GfExchange_ReplyJson(exchange, 200,
                         json_pack("{s:I,s:I,s:[{s:s,s:s,s:s,s:I,s:s}]}",
                                   "ver", (json_int_t)f->version, "nowMs",
                                   (json_int_t)1, "rows", "table", "op",
                                   "part", "", "key", "config", "ver",
                                   (json_int_t)f->version, "value", value));
}

/* Handles a call to the store: answers reads at once, and polls once there is
 * a newer version. */
static void
on_call(void *ctx, GfExchange *exchange)
{
    Fixture *f = ctx;
    const char *after = GfExchange_Query(exchange, "after");
    bool changed = after == NULL || strtoll(after, NULL, 10) < f->version;
    if (after != NULL && f->silent_polls > 0) {
        f->silent_polls--;
        changed = false;
    }
    if (changed) {
        reply_config(f, exchange);
        return;
    }
    CU_ASSERT_FATAL(f->poll_count < sizeof(f->polls) / sizeof(f->polls[0]));
    f->polls[f->poll_count++] = exchange;
}

/* Prepares an entry, which reads the first version and polls for changes. */
static void
set_up(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    f->version = 1;
    f->entry.base = event_base_new();
    f->entry.clock = GfClock_System();
    f->entry.decoder = PlatformDecoder();
    GfError error;
    f->store = GfServer_Create(f->entry.base, "127.0.0.1", PORT,
                               MAX_BODY_BYTES, on_call, f, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f->store);
    f->http = GfHttp_Create(f->entry.base);
    f->entry.table =
        PlatformTable_Create(f->http, "127.0.0.1", PORT, f->entry.clock);
    EntryStore_Begin(&f->entry);
    EntryControl_Begin(&f->entry);
}

/* Runs the event loop for some ms. */
static void
run(Fixture *f, int64_t ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    event_base_loopexit(f->entry.base, &tv);
    event_base_dispatch(f->entry.base);
}

/* Frees what set_up has created. Answers the polls first, as their calls are
 * freed when they return. */
static void
tear_down(Fixture *f)
{
    TableWatch_Destroy(f->entry.operator_watch);
    f->entry.operator_watch = NULL;
    for (size_t i = 0; i < f->poll_count; i++) {
        reply_config(f, f->polls[i]);
    }
    run(f, ANSWER_MS);
    GfHttp_Destroy(f->http);
    GfTable_Destroy(f->entry.table);
    EntryStore_End(&f->entry);
    GfServer_Destroy(f->store);
    GfCellConfig_Destroy(f->entry.config);
    GfStr_Clear(&f->entry.config_text);
    event_base_free(f->entry.base);
}

/* Runs the event loop until the entry has a version, or for ms at most.
 * Returns whether it has the version. */
static bool
wait_for(Fixture *f, int64_t version, int64_t ms)
{
    struct timespec begun = GfClock_Now(f->entry.clock);
    const GfCellConfig *config = NULL;
    while ((config == NULL || config->version != version) &&
           GfTime_DiffMs(GfClock_Now(f->entry.clock), begun) < ms) {
        run(f, STEP_MS);
        config = f->entry.config;
    }
    return config != NULL && config->version == version;
}

/* No other entry is known, and only the poll in progress goes silent. */
static void
test_late_after_silent_connection(void)
{
    Fixture f;
    set_up(&f);
    f.silent_polls = 1;
    CU_ASSERT_TRUE(wait_for(&f, 1, FIRST_READ_MS));
    while (f.poll_count == 0) {
        event_base_loop(f.entry.base, EVLOOP_ONCE);
    }
    f.version = 2;
    CU_ASSERT_TRUE(wait_for(&f, 2, CONTACT_MS));
    tear_down(&f);
}

static const SuiteTest TESTS[] = {
    {"configuration late after a silent connection",
     test_late_after_silent_connection}};

SUITE_MAIN("config_watch", TESTS)
