/* Fetching a newer configuration from a peer. The tests guard against narrow
 * links that carry a large configuration twice, from the store and from a
 * peer, until heartbeats are late, and against an entry cut off from the store
 * that keeps an old configuration. Both arise when a heartbeat names a version
 * that this entry does not have yet. */
#include <string.h>

#include "../../src/cellentry/entry_private.h"
#include "guavaflow/log.h"
#include "stub_table.h"
#include "suite.h"

#define PORT 31761
#define OLD_VERSION 8
#define NEW_VERSION 11
#define HEARTBEAT_MS 150
/* A change is in force everywhere within TARGET_MS, which is the stated
 * target. A document of 1 MB takes NARROW_LINK_MS from the store and
 * PEER_FETCH_MS from a peer on a link of 10 Mbit/s, and a heartbeat names it
 * up to NAMED_MS after it was stored. */
#define TARGET_MS 2000
#define NARROW_LINK_MS 1150
#define PEER_FETCH_MS 650
#define NAMED_MS 450

/* An entry with a stand-in for its store, and a peer that serves its
 * configuration. */
typedef struct {
    GfManualClock clock;
    GfCellEntry entry;
    GfCellConfig config;
    StubTable table;
    GfRpcServer *server;
    Peer peer;
    int fetches;
    GfRpcCall *held; /* a fetch that is answered at the end only */
    bool hold;       /* do not answer fetches */
} Fixture;

/* Counts a fetch and answers it without a document, or holds it. */
static void
handle_config(void *ctx, GfRpcCall *call, void *args)
{
    (void)args;
    Fixture *f = ctx;
    f->fetches++;
    if (f->hold) {
        f->held = call;
        return;
    }
    gfc_config_reply reply = {0};
    GfRpcCall_Reply(call, &reply);
}

static const GfRpcProcedure PROCEDURES[] = {GF_RPC_PROCEDURE(
    GFC_CONFIG, gfc_config_ask, gfc_config_reply, handle_config)};
static const GfRpcProgram PROGRAM = {.program = GFC_CELL,
                                     .version = GFC_CELL_V1,
                                     .procedures = PROCEDURES,
                                     .procedure_count = 1};

/* Prepares an entry that has been up for long and has an old configuration,
 * and its peer. */
static void
set_up(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    GfManualClock_Init(&f->clock, 100000);
    StubTable_Init(&f->table);
    f->config.version = OLD_VERSION;
    f->entry.base = event_base_new();
    f->entry.table = &f->table.base;
    f->entry.clock = &f->clock.clock;
    f->entry.config = &f->config;
    f->entry.store_answered_at = GfClock_Now(f->entry.clock);
    EntryStore_Begin(&f->entry);
    GfError error;
    f->server = GfRpcServer_Create(f->entry.base, "127.0.0.1", PORT, &PROGRAM,
                                   f, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f->server);
    f->peer.entry = &f->entry;
    f->peer.client = GfRpcClient_Create(f->entry.base, "127.0.0.1", PORT,
                                        &PROGRAM, GfClock_System());
}

/* Frees what set_up has created. */
static void
tear_down(Fixture *f)
{
    if (f->held != NULL) {
        gfc_config_reply reply = {0};
        GfRpcCall_Reply(f->held, &reply);
    }
    GfRpcClient_Destroy(f->peer.client);
    GfRpcServer_Destroy(f->server);
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
}

/* Runs the event loop for some ms of real time. */
static void
run(Fixture *f, int64_t ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    event_base_loopexit(f->entry.base, &tv);
    event_base_dispatch(f->entry.base);
}

/* Lets heartbeats name the newer version for some ms. With answer set the
 * store answers its calls. Stops at the first fetch, and returns the time
 * that has passed. */
static int64_t
heartbeats(Fixture *f, int64_t ms, bool answer)
{
    int before = f->fetches;
    int64_t passed = 0;
    while (passed < ms && f->fetches == before) {
        EntryControl_SyncWithPeer(&f->entry, &f->peer, NEW_VERSION);
        run(f, 10);
        while (answer && f->table.open > 0) {
            StubTable_Answer(&f->table, GF_TABLE_OK, 1, NULL, 0);
        }
        if (f->fetches == before) {
            GfManualClock_Advance(&f->clock, HEARTBEAT_MS);
            passed += HEARTBEAT_MS;
        }
    }
    return passed;
}

/* While the store answers, the watch gets the time that a narrow link takes:
 * nothing is fetched from the peer. */
static void
test_watch_delivers(void)
{
    Fixture f;
    set_up(&f);
    heartbeats(&f, NARROW_LINK_MS, true);
    CU_ASSERT_EQUAL(f.fetches, 0);
    f.config.version = NEW_VERSION;
    heartbeats(&f, TARGET_MS, true);
    CU_ASSERT_EQUAL(f.fetches, 0);
    tear_down(&f);
}

/* A watch that has been delivered one version has the whole time for the next
 * one. */
static void
test_next_version(void)
{
    Fixture f;
    set_up(&f);
    heartbeats(&f, NARROW_LINK_MS, true);
    f.config.version = NEW_VERSION;
    GfManualClock_Advance(&f.clock, TARGET_MS);
    EntryControl_SyncWithPeer(&f.entry, &f.peer, NEW_VERSION + 2);
    run(&f, 10);
    CU_ASSERT_EQUAL(f.fetches, 0);
    tear_down(&f);
}

/* An entry that has been cut off from the store without having noticed it
 * fetches the configuration in time. */
static void
test_silent_store(void)
{
    Fixture f;
    set_up(&f);
    GfManualClock_Advance(&f.clock, HEARTBEAT_MS);
    int64_t ms = heartbeats(&f, TARGET_MS, false);
    CU_ASSERT_EQUAL(f.fetches, 1);
    CU_ASSERT(NAMED_MS + ms + PEER_FETCH_MS <= TARGET_MS);
    CU_ASSERT_EQUAL(f.table.started, 1);
    tear_down(&f);
}

/* A watch that does not deliver although the store answers, as on a connection
 * that has gone silent, does not hold up the change. */
static void
test_stuck_watch(void)
{
    Fixture f;
    set_up(&f);
    int64_t ms = heartbeats(&f, TARGET_MS, true);
    CU_ASSERT_EQUAL(f.fetches, 1);
    CU_ASSERT(NAMED_MS + ms <= TARGET_MS);
    tear_down(&f);
}

/* An entry that knows that it does not reach the store fetches at once. */
static void
test_unreachable_store(void)
{
    Fixture f;
    set_up(&f);
    f.entry.store_failed = true;
    CU_ASSERT_EQUAL(heartbeats(&f, TARGET_MS, false), 0);
    CU_ASSERT_EQUAL(f.fetches, 1);
    tear_down(&f);
}

/* A new process takes no configuration from a peer while it waits for the
 * store. */
static void
test_new_process(void)
{
    enum { FIRST_READ_MS = 1000 };
    Fixture f;
    set_up(&f);
    f.entry.config = NULL;
    f.entry.started_at = GfClock_Now(f.entry.clock);
    CU_ASSERT(heartbeats(&f, TARGET_MS, false) >= FIRST_READ_MS);
    tear_down(&f);
}

/* A fetch that timed out is not repeated at once. */
static void
test_fetch_timed_out(void)
{
    enum { LONGER_THAN_A_FETCH_MS = 1400, PAUSE_MS = 1000 };
    Fixture f;
    set_up(&f);
    f.entry.store_failed = true;
    f.hold = true;
    heartbeats(&f, TARGET_MS, false);
    CU_ASSERT_EQUAL(f.fetches, 1);
    run(&f, LONGER_THAN_A_FETCH_MS);
    CU_ASSERT_FALSE(f.entry.fetching_config);
    f.hold = false;
    CU_ASSERT(heartbeats(&f, 2 * TARGET_MS, false) >= PAUSE_MS);
    CU_ASSERT_EQUAL(f.fetches, 2);
    tear_down(&f);
}

static const SuiteTest TESTS[] = {
    {"watch delivers", test_watch_delivers},
    {"next version", test_next_version},
    {"silent store", test_silent_store},
    {"stuck watch", test_stuck_watch},
    {"unreachable store", test_unreachable_store},
    {"new process", test_new_process},
    {"fetch timed out", test_fetch_timed_out}};

SUITE_MAIN("config_fetch", TESTS)
