/* Searches for a key that runs twice: two entries claim one partition at any
 * time, commits are held back, lost, or answered late, and each key is asked
 * for again and again. With GUAVAFLOW_WITHOUT_RULE=check the store ignores
 * the checks of transactions; then a breach must be found. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "choice.h"
#include "fake_store.h"
#include "guavaflow/idem.h"
#include "guavaflow/journal.h"
#include "guavaflow/log.h"

#define ENTRIES 2
#define KEYS 6
#define STEPS 160

typedef struct World World;

typedef struct {
    World *world;
    GfJournal *journal;
    GfIdem *idem;
} Entry;

typedef struct {
    Entry *entry;
    int key;
} Intent;

struct World {
    Choice choice;
    FakeStore *store;
    Entry entries[ENTRIES];
    int runs[KEYS];
    Intent intents[STEPS];
    size_t intent_count;
};

static GfName
key_id(int key)
{
    GfName team = GfName_Format("t");
    GfName text = GfName_Format("k%d", key);
    return GfIdem_Id(&team, &text);
}

static void
on_replay(void *ctx, const json_t *record)
{
    GfIdem_Replay(((Entry *)ctx)->idem, record);
}

static void
on_changed(void *ctx, GfJournalState state)
{
    if (state != GF_JOURNAL_OWNED) {
        GfIdem_Clear(((Entry *)ctx)->idem);
    }
}

static json_t *
on_snapshot(void *ctx)
{
    json_t *records = json_array();
    GfIdem_Snapshot(((Entry *)ctx)->idem, records, 0);
    return records;
}

static const GfJournalOps OPS = {.replay = on_replay,
                                 .state_changed = on_changed,
                                 .make_snapshot = on_snapshot};

/* Runs a key whose intent is durable. */
static void
on_intent(void *arg, GfErrorKind kind)
{
    Intent *intent = arg;
    Entry *e = intent->entry;
    World *world = e->world;
    GfName id = key_id(intent->key);
    if (kind != GF_OK) {
        return;
    }
    bool ran = !choice_percent(&world->choice, 20);
    if (ran) {
        world->runs[intent->key]++;
        if (world->runs[intent->key] > 1) {
            fprintf(stderr, "breach: key %d ran %d times\n", intent->key,
                    world->runs[intent->key]);
            abort();
        }
    }
    /* The entry may die before the outcome is recorded. */
    if (choice_percent(&world->choice, 70) &&
        GfJournal_State(e->journal) == GF_JOURNAL_OWNED) {
        GfAnswer answer = GfAnswer_Make(
            ran ? GF_OK : GF_BUSY, ran ? GF_RAN_YES : GF_RAN_NO, "%s", "");
        GfJournal_Append(e->journal, GfIdem_Finish(e->idem, &id, &answer),
                         NULL, NULL);
    }
}

/* Asks an entry for a key. */
static void
request(World *world, Entry *e, int key)
{
    GfName id = key_id(key);
    if (GfJournal_State(e->journal) != GF_JOURNAL_OWNED ||
        GfIdem_Find(e->idem, &id, NULL) != GF_IDEM_FREE) {
        return;
    }
    Intent *intent = &world->intents[world->intent_count++];
    *intent = (Intent){.entry = e, .key = key};
    GfJournal_Append(e->journal, GfIdem_Intend(e->idem, &id, 1), on_intent,
                     intent);
}

/* Lets an entry claim the partition from the head as the store has it. */
static void
claim(World *world, Entry *e)
{
    int64_t version = 0;
    json_t *head = FakeStore_Row(world->store, "part/000", &version);
    GfJournal_Claim(e->journal, version, head, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Runs one world. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    static const FakeStoreMode MODES[] = {
        FAKE_STORE_REPLY, FAKE_STORE_REPLY, FAKE_STORE_HOLD,
        FAKE_STORE_LOSE_REPLY, FAKE_STORE_LOSE_REQUEST};
    World *world = calloc(1, sizeof(*world));
    GfManualClock clock;
    GfManualClock_Init(&clock, 1000);
    GfLog_SetLevel(GF_LOG_ERROR);
    world->choice = choice_make(data, len);
    world->store = FakeStore_Create();
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    FakeStore_IgnoreChecks(world->store,
                           without != NULL && strcmp(without, "check") == 0);
    for (int i = 0; i < ENTRIES; i++) {
        GfJournalConfig config = {.incarnation = (uint64_t)(i + 1) << 2,
                                  .compact_after_segments = 4};
        config.member = GfName_Format("e%d", i);
        world->entries[i].world = world;
        world->entries[i].idem = GfIdem_Create();
        world->entries[i].journal = GfJournal_Create(
            &config, FakeStore_Base(world->store), &OPS, &world->entries[i]);
    }
    for (int step = 0; step < STEPS; step++) {
        Choice *c = &world->choice;
        Entry *e = &world->entries[choice_below(c, ENTRIES)];
        FakeStore_SetMode(world->store, MODES[choice_below(c, 5)]);
        if (choice_percent(c, 15)) {
            claim(world, e);
        }
        if (choice_percent(c, 3)) {
            GfJournal_Release(e->journal);
        }
        if (choice_percent(c, 50)) {
            request(world, e, (int)choice_below(c, KEYS));
        }
        size_t held = FakeStore_CountHeld(world->store);
        if (held > 0 && choice_percent(c, 40)) {
            FakeStore_Deliver(world->store, choice_below(c, (uint32_t)held),
                              choice_percent(c, 70) ? FAKE_STORE_REPLY
                                                    : FAKE_STORE_LOSE_REPLY);
        }
        GfManualClock_Advance(&clock, 120);
        for (int i = 0; i < ENTRIES; i++) {
            GfJournal_Tick(world->entries[i].journal, clock.time);
        }
    }
    for (int i = 0; i < ENTRIES; i++) {
        GfJournal_Destroy(world->entries[i].journal);
        GfIdem_Destroy(world->entries[i].idem);
    }
    GfStore_Destroy(FakeStore_Base(world->store));
    free(world);
    return 0;
}
