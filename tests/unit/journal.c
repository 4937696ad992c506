/* The journal of a partition. The tests guard against records that are lost,
 * repeated or replayed out of order, and appends of a former owner that take
 * effect. Such failures arise when a claim overtakes a commit in transit, or
 * when the reply to a commit is lost. */
#include "guavaflow/journal.h"

#include <string.h>

#include "fake_store.h"
#include "suite.h"

/* One owner of the partition. */
typedef struct {
    GfJournal *journal;
    json_t *records;               /* replayed and appended */
    int states[GF_JOURNAL_STATES]; /* how often each state was entered */
    int durable;                   /* appends that were stored */
    int lost;                      /* appends that never will be */
} Owner;

static GfManualClock test_clock;

/* Collects a record while the journal loads. */
static void
on_replay(void *ctx, const json_t *record)
{
    json_array_append(((Owner *)ctx)->records, (json_t *)record);
}

/* Counts the state changes; a load starts with no records. */
static void
on_changed(void *ctx, GfJournalState state)
{
    Owner *o = ctx;
    o->states[state]++;
    if (state == GF_JOURNAL_LOADING) {
        json_array_clear(o->records);
    }
}

/* Returns a copy of all records, for a compaction. */
static json_t *
on_snapshot(void *ctx)
{
    return json_deep_copy(((Owner *)ctx)->records);
}

static const GfJournalOps OPS = {.replay = on_replay,
                                 .state_changed = on_changed,
                                 .make_snapshot = on_snapshot};

/* Counts the outcomes of appends. */
static void
on_append(void *arg, GfErrorKind kind)
{
    Owner *o = arg;
    o->durable += kind == GF_OK;
    o->lost += kind == GF_LEASE_LOST;
}

/* Creates an owner's journal of partition 3, which compacts after 5 segments.
 */
static void
create(Owner *o, FakeStore *store, const char *name, uint64_t incarnation)
{
    GfJournalConfig config = {.partition = 3,
                              .incarnation = incarnation << 2,
                              .group_commit_ms = 0,
                              .compact_after_segments = 5};
    GfName_SetText(&config.member, name);
    memset(o, 0, sizeof(*o));
    o->records = json_array();
    o->journal = GfJournal_Create(&config, FakeStore_Base(store), &OPS, o);
}

/* Frees what create made. */
static void
destroy(Owner *o)
{
    GfJournal_Destroy(o->journal);
    json_decref(o->records);
}

/* Claims the partition with the head row that the store has now. */
static void
claim(Owner *o, FakeStore *store)
{
    int64_t version = 0;
    json_t *head = FakeStore_Row(store, "part/003", &version);
    GfJournal_Claim(o->journal, version, head, NULL);
}

/* Ticks the journal this many times, 150 ms apart. */
static void
tick(Owner *o, int times)
{
    for (int i = 0; i < times; i++) {
        GfManualClock_Advance(&test_clock, 150);
        GfJournal_Tick(o->journal, test_clock.time);
    }
}

/* Appends the record {n}. */
static void
append(Owner *o, int n)
{
    GfJournal_Append(o->journal, json_pack("{s:i}", "n", n), on_append, o);
    json_array_append_new(o->records, json_pack("{s:i}", "n", n));
}

/* Waiting records are stored in one commit. A new owner replays all records
 * in order, those of a snapshot included. */
static void
test_replay(void)
{
    GfManualClock_Init(&test_clock, 1000);
    FakeStore *store = FakeStore_Create();
    Owner a;
    create(&a, store, "a", 1);
    claim(&a, store);
    CU_ASSERT_EQUAL(GfJournal_State(a.journal), GF_JOURNAL_OWNED);
    size_t before = FakeStore_CountCommits(store);
    append(&a, 0);
    append(&a, 1);
    tick(&a, 1);
    CU_ASSERT_EQUAL(FakeStore_CountCommits(store), before + 1);
    for (int i = 2; i < 12; i++) {
        append(&a, i);
        tick(&a, 3);
    }
    CU_ASSERT_EQUAL(a.durable, 12);
    Owner b;
    create(&b, store, "b", 2);
    claim(&b, store);
    tick(&b, 2);
    CU_ASSERT_EQUAL(json_array_size(b.records), 12);
    for (size_t i = 0; i < json_array_size(b.records); i++) {
        json_t *n = json_object_get(json_array_get(b.records, i), "n");
        CU_ASSERT_EQUAL(json_integer_value(n), (json_int_t)i);
    }
    CU_ASSERT_TRUE(GfJournal_Epoch(b.journal) > GfJournal_Epoch(a.journal));
    destroy(&a);
    destroy(&b);
    GfStore_Destroy(FakeStore_Base(store));
}

/* A former owner's append fails, also if its commit was in transit when the
 * partition was claimed. */
static void
test_fence(void)
{
    GfManualClock_Init(&test_clock, 1000);
    FakeStore *store = FakeStore_Create();
    Owner a;
    Owner b;
    create(&a, store, "a", 1);
    create(&b, store, "b", 2);
    claim(&a, store);
    append(&a, 1);
    FakeStore_SetMode(store, FAKE_STORE_HOLD);
    tick(&a, 1);
    CU_ASSERT_EQUAL(FakeStore_CountHeld(store), 1);
    FakeStore_SetMode(store, FAKE_STORE_REPLY);
    claim(&b, store);
    FakeStore_Deliver(store, 0, FAKE_STORE_REPLY);
    CU_ASSERT_EQUAL(a.durable, 0);
    CU_ASSERT_EQUAL(a.lost, 1);
    CU_ASSERT_EQUAL(GfJournal_State(a.journal), GF_JOURNAL_UNOWNED);
    append(&a, 2);
    CU_ASSERT_EQUAL(a.lost, 2);
    CU_ASSERT_EQUAL(json_array_size(b.records), 0);
    destroy(&a);
    destroy(&b);
    GfStore_Destroy(FakeStore_Base(store));
}

/* A commit without a reply, which may have taken effect or not, is resolved
 * once the store replies again: its record is stored exactly once. */
static void
test_lost_answers(void)
{
    FakeStoreMode modes[] = {FAKE_STORE_LOSE_REPLY, FAKE_STORE_LOSE_REQUEST};
    for (int i = 0; i < 2; i++) {
        GfManualClock_Init(&test_clock, 1000);
        FakeStore *store = FakeStore_Create();
        Owner a;
        Owner b;
        create(&a, store, "a", 1);
        create(&b, store, "b", 2);
        claim(&a, store);
        append(&a, 1);
        FakeStore_SetMode(store, modes[i]);
        tick(&a, 3);
        /* Without a reply the append is neither durable nor lost. */
        CU_ASSERT_EQUAL(a.durable + a.lost, 0);
        CU_ASSERT_TRUE(GfJournal_IsStuck(a.journal, test_clock.time, 200));
        FakeStore_SetMode(store, FAKE_STORE_REPLY);
        tick(&a, 3);
        CU_ASSERT_EQUAL(a.durable, 1);
        append(&a, 2);
        tick(&a, 2);
        claim(&b, store);
        CU_ASSERT_EQUAL(json_array_size(b.records), 2);
        destroy(&a);
        destroy(&b);
        GfStore_Destroy(FakeStore_Base(store));
    }
}

/* A release stores what was appended and clears the owner in the head row, so
 * that the partition can be claimed at once. */
static void
test_release(void)
{
    GfManualClock_Init(&test_clock, 1000);
    FakeStore *store = FakeStore_Create();
    Owner a;
    create(&a, store, "a", 1);
    claim(&a, store);
    append(&a, 1);
    GfJournal_Release(a.journal);
    tick(&a, 4);
    CU_ASSERT_EQUAL(GfJournal_State(a.journal), GF_JOURNAL_RELEASED);
    CU_ASSERT_EQUAL(a.durable, 1);
    int64_t version = 0;
    json_t *head = FakeStore_Row(store, "part/003", &version);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(head, "owner")),
                           "");
    claim(&a, store);
    CU_ASSERT_EQUAL(GfJournal_State(a.journal), GF_JOURNAL_OWNED);
    CU_ASSERT_EQUAL(json_array_size(a.records), 1);
    destroy(&a);
    GfStore_Destroy(FakeStore_Base(store));
}

/* A compaction that failed, as another owner's claim overtook it, has no
 * effect on the owner's next term: records appended then are not lost. */
static void
test_lost_compaction(void)
{
    GfManualClock_Init(&test_clock, 1000);
    FakeStore *store = FakeStore_Create();
    Owner a;
    Owner b;
    create(&a, store, "a", 1);
    create(&b, store, "b", 2);
    claim(&a, store);
    for (int i = 0; i < 5; i++) {
        append(&a, i);
        tick(&a, 1);
    }
    FakeStore_SetMode(store, FAKE_STORE_HOLD);
    tick(&a, 1);
    CU_ASSERT_EQUAL(FakeStore_CountHeld(store), 1);
    FakeStore_SetMode(store, FAKE_STORE_REPLY);
    claim(&b, store);
    FakeStore_Deliver(store, 0, FAKE_STORE_REPLY);
    CU_ASSERT_EQUAL(GfJournal_State(a.journal), GF_JOURNAL_UNOWNED);
    claim(&a, store);
    append(&a, 5);
    tick(&a, 1);
    append(&a, 6);
    tick(&a, 1);
    CU_ASSERT_EQUAL(a.durable, 7);
    Owner c;
    create(&c, store, "c", 3);
    claim(&c, store);
    CU_ASSERT_EQUAL(json_array_size(c.records), 7);
    destroy(&a);
    destroy(&b);
    destroy(&c);
    GfStore_Destroy(FakeStore_Base(store));
}

static const SuiteTest TESTS[] = {{"replay", test_replay},
                                  {"fence", test_fence},
                                  {"lost answers", test_lost_answers},
                                  {"release", test_release},
                                  {"lost compaction", test_lost_compaction}};

SUITE_MAIN("journal", TESTS)
