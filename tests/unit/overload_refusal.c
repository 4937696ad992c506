/* Refusing under overload, from the forecast of the owner to what callers get.
 * The tests guard against jobs that are accepted although they will be of no
 * value, which take capacity from others and keep their callers waiting;
 * against callers that are refused though there is room for them; and
 * against refusals by a forecast that does not hold any more, because its
 * owner is gone or its news are old. A refused job must never start. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/cellentry/entry_private.h"
#include "cell_sim.h"
#include "guavaflow/log.h"
#include "stub_table.h"
#include "suite.h"

#define PERCENT 100
/* Entries, how often the owner makes a forecast, and how often each entry
 * hears of it. */
#define ENTRIES 8
#define FORECAST_MS 200
#define HEARTBEAT_MS 150
/* The load in the course of a play. */
#define CALM_MS 6000
#define BURST_MS 10000
#define AFTER_MS 14000
#define MAX_TRIES 5
#define MAX_CALLERS 4000
#define MS_PER_S 1000
/* A job of an age in which it is late is worth a fifth of one in time. */
#define WORTH_IN_TIME 5
#define WORTH_LATE 1

static const CellSimSettings FLEET = {.workers = 24,
                                      .mcores = 32000,
                                      .memory_mb = 128000,
                                      .rack_size = 6,
                                      .callers = ENTRIES,
                                      .latency_ms = 2,
                                      .seed = 3,
                                      .features = {.overload_refusal = true}};

/* A caller and its job. */
typedef struct {
    const char *team;
    int64_t first_ms; /* its first attempt */
    int64_t next_ms;  /* its next attempt; negative: none */
    int tries;
    int job; /* in the simulation; -1: not accepted */
    int64_t accepted_ms;
} Caller;

/* A simulation with entries that refuse, or not. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
    bool refusing;
    GfAdmission owner;
    GfAdmission entries[ENTRIES];
    Caller callers[MAX_CALLERS];
    int count;
    int refusals;
} Play;

/* Creates a simulation with an owner. */
static Play *
create(bool refusing, int64_t limit)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    Play *p = calloc(1, sizeof(*p));
    p->refusing = refusing;
    p->config = CellSim_MakeConfig(limit);
    p->sim = CellSim_Create(&FLEET, p->config);
    CellSim_TakeOver(p->sim);
    CellSim_Run(p->sim, 300);
    return p;
}

/* Checks that no invariant was violated, and frees the play. */
static void
destroy(Play *p)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(p->sim));
    CellSim_Destroy(p->sim);
    GfCellConfig_Destroy(p->config);
    free(p);
}

/* Returns the time of the simulation. */
static struct timespec
now(const Play *p)
{
    return GfTime_FromMs(CellSim_NowMs(p->sim));
}

/* Submits a caller's quick job of 6 tasks of 600 ms on 4 processors at an
 * entry; a refused caller comes back when it is told to, in whole seconds. */
static void
attempt(Play *p, Caller *c)
{
    GfAdmission *a = &p->entries[(size_t)(c - p->callers) % ENTRIES];
    CellSimJob job = {
        .queue = "quick",
        .team = c->team,
        .run_ms = 600,
        .step = {.task_count = 6, .need = {4000, 100, 0}, .estimate_ms = 600}};
    GfJobSpec spec = {.steps = &job.step, .step_count = 1, .occurrences = 1};
    GfName team = GfName_Format("%s", c->team);
    GfForecastCheck check;
    c->tries++;
    c->next_ms = -1;
    if (p->refusing &&
        GfAdmission_CheckForecast(a, &p->config->queues[0], &team, &spec,
                                  now(p), &check) != GF_OK) {
        CU_ASSERT_TRUE(check.retry_after_ms >= 1);
        int64_t s = (check.retry_after_ms + MS_PER_S - 1) / MS_PER_S;
        c->next_ms =
            c->tries < MAX_TRIES ? CellSim_NowMs(p->sim) + s * MS_PER_S : -1;
        p->refusals++;
        return;
    }
    c->job = CellSim_Submit(p->sim, &job);
    c->accepted_ms = CellSim_NowMs(p->sim);
}

/* Adds a caller that makes its first attempt now. */
static void
add_caller(Play *p, const char *team)
{
    Caller *c = &p->callers[p->count++];
    *c = (Caller){.team = team, .first_ms = CellSim_NowMs(p->sim), .job = -1};
    attempt(p, c);
}

/* Advances by one step: callers come back, and news go round. */
static void
step(Play *p)
{
    int64_t ms = CellSim_NowMs(p->sim);
    if (ms % FORECAST_MS == 0 && CellSim_Owner(p->sim) != NULL) {
        GfCell_UpdateForecast(CellSim_Owner(p->sim), &p->owner);
    }
    for (int i = 0; i < ENTRIES; i++) {
        if ((ms + i * CELL_SIM_STEP_MS) % HEARTBEAT_MS == 0 &&
            CellSim_Owner(p->sim) != NULL) {
            p->entries[i].forecast = p->owner.forecast;
        }
    }
    for (int i = 0; i < p->count; i++) {
        if (p->callers[i].next_ms == ms) {
            attempt(p, &p->callers[i]);
        }
    }
    CellSim_Run(p->sim, CELL_SIM_STEP_MS);
}

/* Lets callers of teams a and b come for a time; a_share of 10 are of a. The
 * rate is in percent of what the workers can run: 53 jobs a second. */
static void
load(Play *p, int64_t ms, int percent, int a_share)
{
    double due = 0;
    for (int64_t t = 0; t < ms; t += CELL_SIM_STEP_MS) {
        due += 768.0 / 14.4 * percent / PERCENT * CELL_SIM_STEP_MS / MS_PER_S;
        for (; due >= 1; due--) {
            add_caller(p, p->count * 7 % 10 < a_share ? "a" : "b");
        }
        step(p);
    }
}

/* What callers got. */
typedef struct {
    int in_time;
    int late;
    int worthless;          /* accepted, and not done in time to be of value */
    int returned_worthless; /* of these, refused before */
    int refused;            /* never accepted */
    int worth;
} Result;

/* Counts what the callers of a team got whose first attempt was in a time;
 * team NULL: of all teams. */
static Result
count(const Play *p, const char *team, int64_t from_ms, int64_t to_ms)
{
    Result r = {0};
    /* 1.5 times the run time of 600 ms, plus 250 ms. */
    const int64_t objective_ms = 1150;
    for (int i = 0; i < p->count; i++) {
        const Caller *c = &p->callers[i];
        if ((team != NULL && strcmp(team, c->team) != 0) ||
            c->first_ms < from_ms || c->first_ms >= to_ms) {
            continue;
        }
        if (c->job < 0) {
            r.refused++;
            continue;
        }
        int64_t after = CellSim_FinishedAfterMs(p->sim, c->job);
        int64_t lost = c->accepted_ms - c->first_ms;
        after = after < 0 ? CellSim_NowMs(p->sim) - c->first_ms : after + lost;
        if (after <= objective_ms) {
            r.in_time++;
        }
        else if (after <= 3 * objective_ms) {
            r.late++;
        }
        else {
            r.worthless++;
            r.returned_worthless += lost > 0;
        }
    }
    r.worth = r.in_time * WORTH_IN_TIME + r.late * WORTH_LATE;
    return r;
}

/* Plays a burst of twice the capacity between calm times of six tenths of it.
 * Returns what all its callers got. */
static Result
play_burst(bool refusing, bool batch)
{
    Play *p = create(refusing, 0);
    int64_t begin = CellSim_NowMs(p->sim);
    for (int i = 0; batch && i < 20; i++) {
        CellSimJob job = {.queue = "batch",
                          .team = "a",
                          .run_ms = 8000,
                          .step = {.task_count = 12,
                                   .need = {8000, 100, 0},
                                   .checkpointed = true}};
        CellSim_Submit(p->sim, &job);
    }
    load(p, CALM_MS, 60, 5);
    CU_ASSERT_EQUAL(p->refusals, 0);
    load(p, BURST_MS, 200, 5);
    load(p, AFTER_MS, 60, 5);
    Result r = count(p, NULL, begin, CellSim_NowMs(p->sim) - 4000);
    printf(
        "\n    %s: in_time=%d late=%d worthless=%d (%d returned) refused=%d ",
        refusing ? "on " : "off", r.in_time, r.late, r.worthless,
        r.returned_worthless, r.refused);
    destroy(p);
    return r;
}

/* Checks what callers get with refusing against what they get without: as much
 * at least, and fewer jobs are accepted for nothing. */
static void
check_burst(bool batch)
{
    Result off = play_burst(false, batch);
    Result on = play_burst(true, batch);
    CU_ASSERT_TRUE(off.worthless > 0 && on.refused > 0);
    CU_ASSERT_TRUE(on.in_time >= off.in_time);
    CU_ASSERT_TRUE(on.worth >= off.worth);
    CU_ASSERT_TRUE(on.worthless < off.worthless);
}

/* A burst of twice the capacity (admission.c, forecast.c). */
static void
test_burst(void)
{
    check_burst(false);
}

/* The same beside batch jobs that can be preempted. */
static void
test_burst_beside_batch(void)
{
    check_burst(true);
}

/* A burst of twice the capacity that is over after a second makes some jobs
 * late, but there will be room for all of them in time to be of value: nobody
 * is refused (admission.c). */
static void
test_short_burst(void)
{
    Play *p = create(true, 0);
    int64_t begin = CellSim_NowMs(p->sim);
    load(p, CALM_MS, 60, 5);
    load(p, 1000, 200, 5);
    load(p, AFTER_MS, 60, 5);
    Result r = count(p, NULL, begin, CellSim_NowMs(p->sim) - 4000);
    CU_ASSERT_EQUAL(p->refusals, 0);
    CU_ASSERT_TRUE(r.late > 0);
    CU_ASSERT_EQUAL(r.worthless, 0);
    destroy(p);
}

/* One team sends more than its limit lets run: it is refused for that, and
 * nothing of the other team is (forecast.c). */
static void
test_team_limit(void)
{
    /* Each team may use a quarter of the workers. */
    Play *p = create(true, 192000);
    load(p, CALM_MS, 20, 5);
    int64_t begin = CellSim_NowMs(p->sim);
    load(p, BURST_MS, 80, 9);
    int64_t end = CellSim_NowMs(p->sim);
    load(p, AFTER_MS, 20, 5);
    Result a = count(p, "a", begin, end);
    Result b = count(p, "b", begin, end);
    printf("\n    a: in_time=%d worthless=%d (%d returned) refused=%d, "
           "b: in_time=%d late=%d refused=%d ",
           a.in_time, a.worthless, a.returned_worthless, a.refused, b.in_time,
           b.late, b.refused);
    CU_ASSERT_TRUE(p->refusals > 0);
    CU_ASSERT_EQUAL(b.refused + b.late + b.worthless, 0);
    destroy(p);
}

/* One team sends eight times as much as another: the one that sends little is
 * served as before, as its part is free for it (forecast.c). */
static void
test_hot_team(void)
{
    Result r[2];
    for (int on = 0; on < 2; on++) {
        Play *p = create(on, 0);
        load(p, CALM_MS, 60, 5);
        int64_t begin = CellSim_NowMs(p->sim);
        load(p, BURST_MS, 200, 9);
        int64_t end = CellSim_NowMs(p->sim);
        load(p, AFTER_MS, 60, 5);
        r[on] = count(p, "b", begin, end);
        destroy(p);
    }
    CU_ASSERT_TRUE(r[1].in_time >= r[0].in_time);
    CU_ASSERT_EQUAL(r[1].refused, 0);
}

/* The owner is lost in the middle of a burst: nobody is refused by its
 * forecast once that is old, a new owner begins with none, and then refuses
 * again. */
static void
test_owner_lost(void)
{
    Play *p = create(true, 0);
    load(p, CALM_MS, 60, 5);
    load(p, 3000, 200, 5);
    CU_ASSERT_TRUE(p->refusals > 0);
    GfAdmissionForecast old = p->owner.forecast;
    CellSim_KillOwner(p->sim, CellSim_Owner(p->sim));
    p->owner = (GfAdmission){0};
    load(p, 700, 200, 5);
    int refusals = p->refusals;
    load(p, 1000, 200, 5);
    CU_ASSERT_EQUAL(p->refusals, refusals);
    GfCell *cell = CellSim_TakeOver(p->sim);
    GfCell_UpdateForecast(cell, &p->owner);
    CU_ASSERT_EQUAL(p->owner.forecast.number, 0);
    load(p, 4000, 200, 5);
    CU_ASSERT_TRUE(p->owner.forecast.number > old.number);
    CU_ASSERT_TRUE(p->refusals > refusals);
    destroy(p);
}

/* An entry whose store answers by hand. */
typedef struct {
    GfCellEntry entry;
    StubTable table;
    GfCellEntrySettings settings;
    GfManualClock clock;
    int answers;
    GfErrorKind kind;
} EntryFixture;

/* Notes the answer of an acceptance. */
static void
on_done(void *arg, GfErrorKind kind)
{
    EntryFixture *f = arg;
    f->answers++;
    f->kind = kind;
}

/* Prepares an entry and refuses a job. */
static void
refuse(EntryFixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    memset(f, 0, sizeof(*f));
    StubTable_Init(&f->table);
    GfManualClock_Init(&f->clock, 10000);
    f->entry.base = event_base_new();
    f->entry.table = &f->table.base;
    f->entry.clock = &f->clock.clock;
    f->entry.settings = &f->settings;
    EntryStore_Begin(&f->entry);
    GfName id = GfName_Format("0123456789abcdef");
    GfName queue = GfName_Format("quick");
    EntryAccept_RefuseUnlessStored(&f->entry, &id, &queue, GfStr_Copy("{}", 2),
                                   3000, GF_BUSY, on_done, f);
}

/* Frees what refuse has created. */
static void
tear_down(EntryFixture *f)
{
    EntryStore_End(&f->entry);
    event_base_free(f->entry.base);
}

/* A refused job is never stored, so that no owner can start it. */
static void
test_refused_is_not_stored(void)
{
    EntryFixture f;
    refuse(&f);
    CU_ASSERT_EQUAL(f.answers, 0);
    CU_ASSERT_TRUE(f.table.calls[0].is_read);
    StubTable_Answer(&f.table, GF_TABLE_OK, 1, NULL, 0);
    CU_ASSERT_EQUAL(f.answers, 1);
    CU_ASSERT_EQUAL(f.kind, GF_BUSY);
    CU_ASSERT_EQUAL(f.table.started, 1);
    tear_down(&f);
}

/* A caller that lost the answer to its first attempt submits a job again that
 * is stored: it is not refused, as it will run. */
static void
test_stored_is_not_refused(void)
{
    EntryFixture f;
    refuse(&f);
    GfTableRow row = {
        .key = "0123456789abcdef", .value = "{}", .value_len = 2};
    StubTable_Answer(&f.table, GF_TABLE_OK, 1, &row, 1);
    CU_ASSERT_TRUE(f.table.open == 1 && f.table.calls[0].is_transaction);
    StubTable_Answer(&f.table, GF_TABLE_CONFLICT, 1, NULL, 0);
    CU_ASSERT_EQUAL(f.answers, 1);
    CU_ASSERT_EQUAL(f.kind, GF_OK);
    tear_down(&f);
}

/* While the store is away, whether the job is stored is unknown: the caller is
 * not told that it was refused. */
static void
test_store_away(void)
{
    EntryFixture f;
    refuse(&f);
    EntryStore_RecordResult(&f.entry, GF_TABLE_UNKNOWN);
    GfManualClock_Advance(&f.clock, 1000);
    while (f.table.open > 0) {
        StubTable_Answer(&f.table, GF_TABLE_UNKNOWN, 1, NULL, 0);
    }
    CU_ASSERT_EQUAL(f.answers, 1);
    CU_ASSERT_EQUAL(f.kind, GF_STORE_UNAVAILABLE);
    tear_down(&f);
}

/* Adds a peer to an entry and returns it. */
static Peer *
add_peer(EntryFixture *f, const char *name)
{
    Peer *peer = calloc(1, sizeof(*peer));
    peer->entry = &f->entry;
    peer->name = GfName_Format("%s", name);
    HASH_ADD(hh, f->entry.peers, name.data, peer->name.len, peer);
    return peer;
}

/* News of the forecast reach an entry in whatever order; an older one does not
 * replace a newer one, and only the owner's counts. A repeat without waits
 * renews the age. */
static void
test_news_between_entries(void)
{
    EntryFixture owner;
    EntryFixture f;
    refuse(&owner);
    refuse(&f);
    Peer *from = add_peer(&f, "o");
    Peer *other = add_peer(&f, "p");
    f.entry.owner = (OwnerView){.name = from->name, .token = 5};
    owner.entry.term = (Term *)&owner;
    GfAdmissionForecast *made = &owner.entry.admission.forecast;
    *made = (GfAdmissionForecast){.number = 7,
                                  .made_at = GfClock_Now(owner.entry.clock),
                                  .queue_count = 1,
                                  .wait_count = 2};
    made->queues[0] = (GfQueueForecast){GfName_Format("quick"), 400, 0};
    made->waits[0] = (GfAdmissionWait){.wait_ms = 900, .late_wait_ms = 9000};
    made->waits[1] = (GfAdmissionWait){
        .team = GfName_Format("a"), .wait_ms = 1900, .at_limit = true};
    GfManualClock_Advance(&owner.clock, 40);
    ForecastRows rows;
    gfc_forecast message;
    EntryForecast_Fill(&owner.entry, 0, &rows, &message);
    EntryForecast_Apply(&f.entry, other, GfClock_Now(f.entry.clock), &message);
    const GfAdmissionForecast *known = &f.entry.admission.forecast;
    CU_ASSERT_EQUAL(known->number, 0);
    EntryForecast_Apply(&f.entry, from, GfClock_Now(f.entry.clock), &message);
    CU_ASSERT_EQUAL(known->number, 7);
    CU_ASSERT_EQUAL(known->wait_count, 2);
    CU_ASSERT_EQUAL(known->waits[0].late_wait_ms, 9000);
    CU_ASSERT_TRUE(known->waits[1].at_limit);
    CU_ASSERT_STRING_EQUAL(known->waits[1].team.data, "a");
    CU_ASSERT_EQUAL(GfTime_DiffMs(GfClock_Now(f.entry.clock), known->made_at),
                    40);
    EntryForecast_Fill(&owner.entry, EntryForecast_KnownNumber(&f.entry),
                       &rows, &message);
    CU_ASSERT_EQUAL(message.waits.waits_len, 0);
    EntryForecast_Apply(&f.entry, from, GfClock_Now(f.entry.clock), &message);
    CU_ASSERT_EQUAL(known->wait_count, 2);
    message.number = 6;
    EntryForecast_Apply(&f.entry, from, GfClock_Now(f.entry.clock), &message);
    CU_ASSERT_EQUAL(known->number, 7);
    message.number = 0;
    EntryForecast_Apply(&f.entry, from, GfClock_Now(f.entry.clock), &message);
    CU_ASSERT_EQUAL(known->number, 0);
    HASH_CLEAR(hh, f.entry.peers);
    free(from);
    free(other);
    StubTable_Answer(&f.table, GF_TABLE_OK, 1, NULL, 0);
    StubTable_Answer(&owner.table, GF_TABLE_OK, 1, NULL, 0);
    tear_down(&f);
    tear_down(&owner);
}

static const SuiteTest TESTS[] = {
    {"burst of twice the capacity", test_burst},
    {"burst beside batch jobs", test_burst_beside_batch},
    {"short burst", test_short_burst},
    {"hot team", test_hot_team},
    {"team at its limit", test_team_limit},
    {"owner lost in a burst", test_owner_lost},
    {"refused job is not stored", test_refused_is_not_stored},
    {"stored job is not refused", test_stored_is_not_refused},
    {"store away while refusing", test_store_away},
    {"news between entries", test_news_between_entries},
};

SUITE_MAIN("overload_refusal", TESTS)
