/* When an entry claims the cell. The tests guard against an entry whose own
 * link is full and that takes a working owner for silent, and against an owner
 * that is lost and not replaced. The first arises when a large document is
 * sent to all entries at once. */
#include <string.h>

#include "../../src/cellentry/entry_private.h"
#include "guavaflow/log.h"
#include "stub_table.h"
#include "suite.h"

#define OWNER_PORT 31762
#define OTHER_PORT 31763
#define TOKEN 5
#define TICK_MS 50
/* A busy machine runs a test several times more slowly. */
#define LIMIT_MS 2600
#define FULL_MS 1300
#define MAX_HELD 64

/* An entry with a stand-in for its store, the owner and another entry. */
typedef struct {
    GfCellEntrySettings settings;
    GfCellEntry entry;
    StubTable table;
    GfRpcServer *owner;
    GfRpcServer *other;
    GfRpcCall *held[MAX_HELD]; /* heartbeats answered at the end only */
    size_t held_count;
    bool other_answers;
    bool store_answers;
} Fixture;

/* Leaves a heartbeat without an answer while the test runs. */
static void
hold_heartbeat(void *ctx, GfRpcCall *call, void *args)
{
    (void)args;
    Fixture *f = ctx;
    CU_ASSERT_FATAL(f->held_count < MAX_HELD);
    f->held[f->held_count++] = call;
}

/* Answers a heartbeat as an entry that has not heard from the owner. */
static void
answer_heartbeat(void *ctx, GfRpcCall *call, void *args)
{
    const Fixture *f = ctx;
    if (!f->other_answers) {
        hold_heartbeat(ctx, call, args);
        return;
    }
    gfc_beat_reply reply = {.token = TOKEN, .owner_silent_ms = 100000};
    reply.from.member = "other";
    reply.from.address = "127.0.0.1";
    reply.from.port = OTHER_PORT;
    reply.owner.member = "owner";
    reply.owner.address = "127.0.0.1";
    reply.owner.port = OWNER_PORT;
    reply.has_store = true;
    GfRpcCall_Reply(call, &reply);
}

static const GfRpcProcedure OWNER_PROCEDURES[] = {
    GF_RPC_PROCEDURE(GFC_BEAT, gfc_beat, gfc_beat_reply, hold_heartbeat)};
static const GfRpcProcedure OTHER_PROCEDURES[] = {
    GF_RPC_PROCEDURE(GFC_BEAT, gfc_beat, gfc_beat_reply, answer_heartbeat)};
static const GfRpcProgram OWNER = {.program = GFC_CELL,
                                   .version = GFC_CELL_V1,
                                   .procedures = OWNER_PROCEDURES,
                                   .procedure_count = 1};
static const GfRpcProgram OTHER = {.program = GFC_CELL,
                                   .version = GFC_CELL_V1,
                                   .procedures = OTHER_PROCEDURES,
                                   .procedure_count = 1};

/* Prepares an entry that has just been in contact with the owner. */
static void
set_up(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    StubTable_Init(&f->table);
    f->settings.peer_advertised_endpoint =
        (GfEndpoint){.address = "127.0.0.1", .port = 1};
    GfCellEntry *e = &f->entry;
    e->base = event_base_new();
    e->settings = &f->settings;
    e->table = &f->table.base;
    e->clock = GfClock_System();
    e->owner_row_known = true;
    GfName_SetText(&e->self, "self");
    EntryStore_Begin(e);
    GfError error;
    f->owner = GfRpcServer_Create(e->base, "127.0.0.1", OWNER_PORT, &OWNER, f,
                                  &error);
    f->other = GfRpcServer_Create(e->base, "127.0.0.1", OTHER_PORT, &OTHER, f,
                                  &error);
    CU_ASSERT_FATAL(f->owner != NULL && f->other != NULL);
    GfName name;
    GfName_SetText(&name, "other");
    EntryMembers_FindOrCreate(e, &name, "127.0.0.1", OTHER_PORT, 1);
    GfName_SetText(&name, "owner");
    EntryMembers_FindOrCreate(e, &name, "127.0.0.1", OWNER_PORT, 1);
    e->owner.name = name;
    e->owner.token = TOKEN;
    e->owner.last_contact_at = GfClock_Now(e->clock);
    e->store_answered_at = e->owner.last_contact_at;
}

/* Frees what set_up has created. */
static void
tear_down(Fixture *f)
{
    for (size_t i = 0; i < f->held_count; i++) {
        gfc_beat_reply reply = {.from.member = "", .from.address = ""};
        reply.owner = reply.from;
        GfRpcCall_Reply(f->held[i], &reply);
    }
    EntryMembers_Destroy(&f->entry);
    GfRpcServer_Destroy(f->owner);
    GfRpcServer_Destroy(f->other);
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
}

/* Runs the entry until it plans a claim, at most for some ms. Returns whether
 * it does. */
static bool
plans_claim(Fixture *f, int64_t ms)
{
    struct timespec begun = GfClock_Now(f->entry.clock);
    while (GfTime_DiffMs(GfClock_Now(f->entry.clock), begun) < ms) {
        EntryOwnership_Tick(&f->entry, GfClock_Now(f->entry.clock));
        if (f->entry.claim_scheduled) {
            return true;
        }
        struct timeval tv = GfTime_ToTimeval(TICK_MS);
        event_base_loopexit(f->entry.base, &tv);
        event_base_dispatch(f->entry.base);
        while (f->store_answers && f->table.open > 0) {
            StubTable_Answer(&f->table, GF_TABLE_OK, 1, NULL, 0);
        }
    }
    return false;
}

/* An entry that nobody's answer reaches does not take the owner for silent. */
static void
test_full_link_claims(void)
{
    Fixture f;
    set_up(&f);
    CU_ASSERT_FALSE(plans_claim(&f, FULL_MS));
    tear_down(&f);
}

/* An owner that is silent while another entry answers is replaced. */
static void
test_owner_lost(void)
{
    Fixture f;
    set_up(&f);
    f.other_answers = true;
    CU_ASSERT_TRUE(plans_claim(&f, LIMIT_MS));
    tear_down(&f);
}

/* An owner that was lost with all other entries is replaced. */
static void
test_all_lost(void)
{
    Fixture f;
    set_up(&f);
    f.store_answers = true;
    CU_ASSERT_TRUE(plans_claim(&f, LIMIT_MS));
    tear_down(&f);
}

/* An owner whose process is gone is replaced although nobody else answers. */
static void
test_process_gone(void)
{
    Fixture f;
    set_up(&f);
    GfRpcServer_Destroy(f.owner);
    f.owner = NULL;
    CU_ASSERT_TRUE(plans_claim(&f, FULL_MS));
    CU_ASSERT(GfTime_DiffMs(GfClock_Now(f.entry.clock),
                            f.entry.owner.last_contact_at) < FULL_MS);
    tear_down(&f);
}

/* An owner's name that is that of this entry, which has no term, does not
 * keep the cell without an owner. */
static void
test_owner_is_self(void)
{
    Fixture f;
    set_up(&f);
    f.entry.owner.name = f.entry.self;
    CU_ASSERT_TRUE(plans_claim(&f, LIMIT_MS));
    tear_down(&f);
}

static const SuiteTest TESTS[] = {
    {"full link claims nothing", test_full_link_claims},
    {"owner lost", test_owner_lost},
    {"all others lost", test_all_lost},
    {"process gone", test_process_gone},
    {"owner is this entry", test_owner_is_self}};

SUITE_MAIN("ownership", TESTS)
