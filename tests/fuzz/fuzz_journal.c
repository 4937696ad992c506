/* Searches for an idempotency key whose request runs twice: two entries claim
 * the same partition at any time, commits are held back or lost or get late
 * replies, and each key is requested many times. With
 * GUAVAFLOW_WITHOUT_RULE=check the store ignores the conditions of
 * transactions; then a violation must be found. */
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

typedef struct JournalSim JournalSim;

/* An entry's journal of the partition, and the outcomes by key. */
typedef struct {
    JournalSim *sim;
    GfJournal *journal;
    GfIdem *idem;
} Entry;

/* A request whose intent was appended to an entry's journal. */
typedef struct {
    Entry *entry;
    int key;
} Intent;

/* The simulation. runs counts how often each key's request ran. */
struct JournalSim {
    Choice choice;
    FakeStore *store;
    Entry entries[ENTRIES];
    int runs[KEYS];
    Intent intents[STEPS];
    size_t intent_count;
};

/* Returns the id of a key. */
static GfName
key_id(int key)
{
    GfName team = GfName_Format("t");
    GfName text = GfName_Format("k%d", key);
    return GfIdem_Id(&team, &text);
}

/* Restores an outcome from a record of the journal. */
static void
on_replay(void *ctx, const json_t *record)
{
    GfIdem_Replay(((Entry *)ctx)->idem, record);
}

/* Drops the outcomes when the entry does not own the partition. */
static void
on_changed(void *ctx, GfJournalState state)
{
    if (state != GF_JOURNAL_OWNED) {
        GfIdem_Clear(((Entry *)ctx)->idem);
    }
}

/* Returns the records of all outcomes. The journal releases them. */
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

/* Once a key's intent is durable, runs its request in 4 of 5 cases, else it
 * counts as refused, and records the outcome in 7 of 10 cases. Aborts if the
 * request ran before. */
static void
on_intent(void *arg, GfErrorKind kind)
{
    Intent *intent = arg;
    Entry *e = intent->entry;
    JournalSim *sim = e->sim;
    GfName id = key_id(intent->key);
    if (kind != GF_OK) {
        return;
    }
    bool ran = !choice_percent(&sim->choice, 20);
    if (ran) {
        sim->runs[intent->key]++;
        if (sim->runs[intent->key] > 1) {
            fprintf(stderr, "breach: key %d ran %d times\n", intent->key,
                    sim->runs[intent->key]);
            abort();
        }
    }
    /* In the other cases the entry crashes before it records the outcome. */
    if (choice_percent(&sim->choice, 70) &&
        GfJournal_State(e->journal) == GF_JOURNAL_OWNED) {
        GfAnswer answer = GfAnswer_Make(
            ran ? GF_OK : GF_BUSY, ran ? GF_RAN_YES : GF_RAN_NO, "%s", "");
        GfJournal_Append(e->journal, GfIdem_Finish(e->idem, &id, &answer),
                         NULL, NULL);
    }
}

/* Requests a key from an entry, which appends an intent if it owns the
 * partition and the key is free. */
static void
request(JournalSim *sim, Entry *e, int key)
{
    GfName id = key_id(key);
    if (GfJournal_State(e->journal) != GF_JOURNAL_OWNED ||
        GfIdem_Find(e->idem, &id, NULL) != GF_IDEM_FREE) {
        return;
    }
    Intent *intent = &sim->intents[sim->intent_count++];
    *intent = (Intent){.entry = e, .key = key};
    GfJournal_Append(e->journal, GfIdem_Intend(e->idem, &id, 1), on_intent,
                     intent);
}

/* Lets an entry claim the partition, based on its head row in the store. */
static void
claim(JournalSim *sim, Entry *e)
{
    int64_t version = 0;
    json_t *head = FakeStore_Row(sim->store, "part/000", &version);
    GfJournal_Claim(e->journal, version, head, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Runs a simulation of STEPS steps of 120 ms. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    static const FakeStoreMode MODES[] = {
        FAKE_STORE_REPLY, FAKE_STORE_REPLY, FAKE_STORE_HOLD,
        FAKE_STORE_LOSE_REPLY, FAKE_STORE_LOSE_REQUEST};
    JournalSim *sim = calloc(1, sizeof(*sim));
    GfManualClock clock;
    GfManualClock_Init(&clock, 1000);
    GfLog_SetLevel(GF_LOG_ERROR);
    sim->choice = choice_make(data, len);
    sim->store = FakeStore_Create();
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    FakeStore_IgnoreChecks(sim->store,
                           without != NULL && strcmp(without, "check") == 0);
    for (int i = 0; i < ENTRIES; i++) {
        GfJournalConfig config = {.incarnation = (uint64_t)(i + 1) << 2,
                                  .compact_after_segments = 4};
        config.member = GfName_Format("e%d", i);
        sim->entries[i].sim = sim;
        sim->entries[i].idem = GfIdem_Create();
        sim->entries[i].journal = GfJournal_Create(
            &config, FakeStore_Base(sim->store), &OPS, &sim->entries[i]);
    }
    for (int step = 0; step < STEPS; step++) {
        Choice *c = &sim->choice;
        Entry *e = &sim->entries[choice_below(c, ENTRIES)];
        FakeStore_SetMode(sim->store, MODES[choice_below(c, 5)]);
        if (choice_percent(c, 15)) {
            claim(sim, e);
        }
        if (choice_percent(c, 3)) {
            GfJournal_Release(e->journal);
        }
        if (choice_percent(c, 50)) {
            request(sim, e, (int)choice_below(c, KEYS));
        }
        size_t held = FakeStore_CountHeld(sim->store);
        if (held > 0 && choice_percent(c, 40)) {
            FakeStore_Deliver(sim->store, choice_below(c, (uint32_t)held),
                              choice_percent(c, 70) ? FAKE_STORE_REPLY
                                                    : FAKE_STORE_LOSE_REPLY);
        }
        GfManualClock_Advance(&clock, 120);
        for (int i = 0; i < ENTRIES; i++) {
            GfJournal_Tick(sim->entries[i].journal, clock.time);
        }
    }
    for (int i = 0; i < ENTRIES; i++) {
        GfJournal_Destroy(sim->entries[i].journal);
        GfIdem_Destroy(sim->entries[i].idem);
    }
    GfStore_Destroy(FakeStore_Base(sim->store));
    free(sim);
    return 0;
}
