/* This entry as the owner: one term from a successful claim until the
 * ownership is lost or given up. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "owner"
/* Lease that workers grant. Long enough for a takeover and for the return of
 * all entries after a power cut of some seconds; a worker that is cut off
 * holds its tasks back as long. */
#define LEASE_MS 6000
/* A worker's clock may be 2 % slow. */
#define CLOCK_DRIFT_PERCENT 3
/* An owner whose ownership is not proved within this time grants no leases
 * and starts nothing. */
#define PROOF_MS 1500
/* What a pause of the owner can add before it notices. */
#define PROOF_MARGIN_MS 300
/* Without other calls the ownership is proved by a read this often. */
#define PROVE_EVERY_MS 600
/* A new owner waits this long for workers to answer before it places tasks of
 * new jobs. */
#define HEAR_MS 350
/* How long the store holds calls for changes, and the pause after changes. */
#define FOLLOW_WAIT_MS 5000
#define FOLLOW_PAUSE_MS 250
/* The store answers within 4 ms, or some 300 ms when it is slow. */
#define COMMIT_TIMEOUT_MS 900
/* An owner whose commit is out longer than this says that it is without the
 * store. */
#define COMMIT_LATE_MS 450
#define COMMIT_RETRY_MS 120
/* How often finished jobs are looked for, and how many at once. */
#define SWEEP_MS 4000
#define SWEEP_MAX 40
/* Finished jobs are kept a little longer than callers are promised. */
#define KEEP_MARGIN_MS 15000
#define MS_PER_S 1000
#define SERIALS_PER_TERM (1U << 20)
/* News that come within this time share one placement round. */
#define WAKE_US 1500

struct Term {
    GfCellEntry *entry;
    GfCell *cell;
    struct event *wake;
    int64_t token;
    Load *load;
    bool loaded;
    struct timespec begun_at;
    struct timespec loaded_at;
    Follow *workers;
    Follow *jobs;
    int64_t commit_version;
    uint64_t commit_number;
    char *commit_value;
    GfCellCommit pending;
    char **texts;
    struct event *commit_timer;
    bool commit_open;
    bool commit_uncertain;
    struct timespec proved_at;
    struct timespec commit_sent_at;
    struct timespec commit_opened_at; /* when its first attempt left */
    struct timespec prove_sent_at;
    bool proving;
    struct timespec sweep_at;
    size_t calls_open; /* store calls that will still report to this term */
    bool ended;
};

static void send_commit(Term *term);

/* Plans a placement round soon after news, instead of at the next tick. */
static void
wake(Term *term)
{
    if (term->loaded && !evtimer_pending(term->wake, NULL)) {
        struct timeval tv = {.tv_usec = WAKE_US};
        evtimer_add(term->wake, &tv);
    }
}

/* Runs the placement round that news asked for. */
static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Term *term = arg;
    if (!term->ended) {
        GfCell_Place(term->cell);
    }
}

/* Frees a term once no call reports to it any more. */
static void
free_if_idle(Term *term)
{
    if (term->ended && term->calls_open == 0) {
        event_free(term->commit_timer);
        event_free(term->wake);
        free(term->commit_value);
        free(term);
    }
}

/* Forgets the texts of the transaction under way. */
static void
clear_commit(Term *term)
{
    for (size_t i = 0; term->texts != NULL && i <= term->pending.count; i++) {
        free(term->texts[i]);
    }
    free(term->texts);
    term->texts = NULL;
    free((GfName *)term->pending.jobs);
    memset(&term->pending, 0, sizeof(term->pending));
    term->commit_open = false;
    term->commit_uncertain = false;
}

/* Finds the commit row among those of a conflict, and tells whether it is the
 * one that our transaction writes. */
static bool
is_ours(const Term *term, const GfTableRow *rows, size_t count,
        int64_t *version)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].key, ENTRY_COMMIT_KEY) == 0 &&
            rows[i].value != NULL && term->commit_value != NULL &&
            strcmp(rows[i].value, term->commit_value) == 0) {
            *version = rows[i].version;
            return true;
        }
    }
    return false;
}

/* Tries a transaction again. */
static void
on_commit_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    send_commit(arg);
}

/* Takes the outcome of a transaction of progress. */
static void
on_commit(void *arg, GfTableResult result, int64_t version,
          const GfTableRow *rows, size_t count)
{
    Term *term = arg;
    term->calls_open--;
    if (term->ended) {
        free_if_idle(term);
        return;
    }
    EntryStore_Note(term->entry, result);
    bool committed = result == GF_TABLE_OK;
    if (result == GF_TABLE_CONFLICT) {
        committed = is_ours(term, rows, count, &version);
        if (!committed) {
            EntryOwnership_Lost(term->entry, "a commit met another owner's");
            return;
        }
    }
    if (committed) {
        term->commit_version = version;
        term->proved_at = term->commit_sent_at;
        GfMetrics_Observe(GF_TIME_COMMIT,
                          GfTime_DiffMs(GfClock_Now(term->entry->clock),
                                        term->commit_sent_at));
        clear_commit(term);
        GfCell_CommitDone(term->cell, true);
        return;
    }
    if (result == GF_TABLE_REFUSED && !term->commit_uncertain) {
        clear_commit(term);
        GfCell_CommitDone(term->cell, false);
        return;
    }
    term->commit_uncertain = true;
    struct timeval tv = GfTime_Interval(COMMIT_RETRY_MS);
    evtimer_add(term->commit_timer, &tv);
}

/* Sends the transaction under way. It holds only if no other followed the
 * last one known, so that a late copy of it does nothing. */
static void
send_commit(Term *term)
{
    size_t rows = term->pending.count;
    bool has_leased = term->texts[rows] != NULL;
    GfTableChange *changes = calloc(rows + 2, sizeof(GfTableChange));
    if (changes == NULL) {
        abort();
    }
    size_t count = 0;
    for (size_t i = 0; i < rows; i++) {
        changes[count++] = (GfTableChange){
            ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, term->pending.jobs[i].data,
            term->texts[i], strlen(term->texts[i])};
    }
    if (has_leased) {
        changes[count++] = (GfTableChange){ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                                           ENTRY_LEASED_KEY, term->texts[rows],
                                           strlen(term->texts[rows])};
    }
    changes[count++] =
        (GfTableChange){ENTRY_CELL_TABLE, ENTRY_OWNER_PART, ENTRY_COMMIT_KEY,
                        term->commit_value, strlen(term->commit_value)};
    const GfTableExpectation expectation = {ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                                            ENTRY_COMMIT_KEY,
                                            term->commit_version};
    GfTableTransaction transaction = {.expectations = &expectation,
                                      .expectation_count = 1,
                                      .changes = changes,
                                      .change_count = count,
                                      .timeout_ms = COMMIT_TIMEOUT_MS};
    term->calls_open++;
    term->commit_sent_at = GfClock_Now(term->entry->clock);
    GfTable_Transact(term->entry->table, &transaction, on_commit, term);
    free(changes);
}

/* Stores progress for the cell. */
static void
op_commit(void *ctx, const GfCellCommit *commit)
{
    Term *term = ctx;
    assert(!term->commit_open);
    term->commit_open = true;
    term->commit_opened_at = GfClock_Now(term->entry->clock);
    term->pending.count = commit->count;
    GfName *jobs = malloc((commit->count + 1) * sizeof(GfName));
    term->texts = calloc(commit->count + 1, sizeof(char *));
    if (jobs == NULL || term->texts == NULL) {
        abort();
    }
    term->pending.jobs = jobs;
    for (size_t i = 0; i < commit->count; i++) {
        jobs[i] = commit->jobs[i];
        term->texts[i] = json_dumps(commit->rows[i], JSON_COMPACT);
    }
    if (commit->leased != NULL) {
        term->texts[commit->count] = json_dumps(commit->leased, JSON_COMPACT);
    }
    free(term->commit_value);
    GfStr value = GfStr_Format("{\"token\":%lld,\"number\":%llu}",
                               (long long)term->token,
                               (unsigned long long)++term->commit_number);
    term->commit_value = value.data;
    send_commit(term);
}

static void
op_start(void *ctx, const GfStartOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->start(term->entry->commands, order);
}

static void
op_stop(void *ctx, const GfStopOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->stop(term->entry->commands, order);
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->hold(term->entry->commands, order);
}

static void
op_pace(void *ctx, const GfPaceOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->pace(term->entry->commands, order);
}

/* Stands down: a worker has seen a higher token. */
static void
op_fenced(void *ctx, const GfName *worker)
{
    Term *term = ctx;
    GfMetrics_Add(GF_METRIC_FENCES, 1);
    GfLog(GF_LOG_WARNING, PART, "fenced worker=%s token=%lld", worker->data,
          (long long)term->token);
    EntryOwnership_Lost(term->entry, "a worker has seen a higher token");
}

/* A look for the row of a job under way. */
typedef struct {
    Term *term;
    GfName job;
} JobSearch;

/* Takes the row of a job that a worker named. */
static void
on_job_found(void *arg, GfTableResult result, int64_t version,
             const GfTableRow *rows, size_t count)
{
    (void)version;
    JobSearch *s = arg;
    Term *term = s->term;
    term->calls_open--;
    if (term->ended) {
        free_if_idle(term);
    }
    else if (result != GF_TABLE_OK) {
        EntryStore_Note(term->entry, result);
        GfCell_LookupFailed(term->cell, &s->job);
    }
    else if (count > 0 && rows[0].value != NULL) {
        EntryTerm_TakeJobRow(term->entry, s->job.data, rows[0].value,
                             rows[0].value_len, NULL, true);
        if (!GfCell_HasJob(term->cell, &s->job)) {
            GfCell_JobAbsent(term->cell, &s->job);
        }
    }
    else {
        GfCell_JobAbsent(term->cell, &s->job);
    }
    free(s);
}

/* Looks for the row of a job that a worker named. Progress of a job that this
 * term has not loaded cannot have been stored since. */
static void
op_look_up(void *ctx, const GfName *job)
{
    Term *term = ctx;
    JobSearch *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->term = term;
    s->job = *job;
    term->calls_open++;
    char part[8];
    EntryJobs_PartOf(job, part, sizeof(part));
    GfTable_Read(term->entry->table, ENTRY_JOB_TABLE, part, job->data,
                 on_job_found, s);
}

/* A question for advice under way. */
typedef struct {
    GfCellEntry *entry;
    int64_t token;
    GfName caller;
    GfName job;
    uint32_t occurrence;
    uint32_t step;
} Question;

/* Hands an answer to the cell if the term still runs. */
static void
finish_question(Question *q, GfErrorKind kind, const GfTicket *tickets,
                size_t count, int64_t valid_ms)
{
    Term *term = q->entry->term;
    if (term != NULL && term->token == q->token) {
        if (kind != GF_OK) {
            GfLog(GF_LOG_INFO, PART,
                  "advice not given id=%s step=%u caller=%s cause=%s",
                  q->job.data, q->step, q->caller.data, GfError_Name(kind));
        }
        GfCell_AdviceDone(term->cell, &q->caller, &q->job, q->occurrence,
                          q->step, kind == GF_OK, tickets, count, valid_ms);
        wake(term);
    }
    free(q);
}

/* Takes an answer that this entry got itself. */
static void
on_own_advice(void *arg, GfErrorKind kind, const GfTicket *tickets,
              size_t count, int64_t valid_ms)
{
    finish_question(arg, kind, tickets, count, valid_ms);
}

/* Takes an answer that a peer got. */
static void
on_peer_advice(void *arg, const GfRpcOutcome *outcome)
{
    Question *q = arg;
    if (outcome->kind != GF_OK) {
        finish_question(q, outcome->kind, NULL, 0, 0);
        return;
    }
    const gfc_advice_reply *reply = outcome->result;
    GfTicket tickets[GFC_MAX_WORKERS];
    size_t count = 0;
    for (u_int i = 0; i < reply->tickets.tickets_len; i++) {
        const gfc_ticket *row = &reply->tickets.tickets_val[i];
        if (GfName_SetText(&tickets[count].worker, row->worker) &&
            GfName_SetText(&tickets[count].ticket, row->ticket)) {
            count++;
        }
    }
    GfErrorKind kind = reply->kind >= 0 && reply->kind < GF_ERROR_KINDS
                           ? (GfErrorKind)reply->kind
                           : GF_PROTOCOL;
    finish_question(q, kind, tickets, count, (int64_t)reply->valid_ms);
}

/* Puts a question for advice, from here or from a peer. */
static void
op_advise(void *ctx, const GfAdviceOrder *order)
{
    Term *term = ctx;
    GfCellEntry *entry = term->entry;
    Question *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        abort();
    }
    *q = (Question){.entry = entry,
                    .token = term->token,
                    .caller = order->caller,
                    .job = order->job,
                    .occurrence = order->occurrence,
                    .step = order->step};
    GfName step = GfName_Format("%s.%u.%u", order->job.data, order->occurrence,
                                order->step);
    if (GfName_Equal(&order->caller, &entry->self)) {
        entry->commands->ops->advise(entry->commands, step.data,
                                     order->workers, order->worker_count,
                                     order->timeout_ms, on_own_advice, q);
        return;
    }
    Peer *peer = EntryMembers_Find(entry, &order->caller);
    if (peer == NULL) {
        finish_question(q, GF_CONNECTION_LOST, NULL, 0, 0);
        return;
    }
    gfc_name workers[GFC_MAX_WORKERS];
    for (size_t i = 0; i < order->worker_count; i++) {
        workers[i] = (char *)order->workers[i].data;
    }
    gfc_advice_ask ask = {.step = step.data,
                          .timeout_ms = (u_int)order->timeout_ms};
    ask.workers.workers_val = workers;
    ask.workers.workers_len = (u_int)order->worker_count;
    GfRpcClient_Start(peer->client, GFC_ADVISE, &ask, sizeof(gfc_advice_reply),
                      order->timeout_ms, on_peer_advice, q);
}

static const GfCellOps CELL_OPS = {.start = op_start,
                                   .stop = op_stop,
                                   .hold = op_hold,
                                   .pace = op_pace,
                                   .advise = op_advise,
                                   .commit = op_commit,
                                   .look_up = op_look_up,
                                   .fenced = op_fenced};

/* Passes outcomes of orders to the cell of the term that runs now; those of
 * an older term name workers by serials that no later term uses. */
static void
sink_start(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
           GfOrderResult result)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        GfCell_StartDone(entry->term->cell, serial, task, run, result);
    }
}

static void
sink_stop(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
          GfOrderResult result)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        GfCell_StopDone(entry->term->cell, serial, task, run, result);
    }
}

static void
sink_hold(void *ctx, uint32_t serial, struct timespec sent_at,
          GfOrderResult result, const GfInventory *inventory)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        Term *term = entry->term;
        GfCell_HoldDone(term->cell, serial, sent_at, result, inventory);
        if (entry->term == term) {
            wake(term);
        }
    }
}

static const GfCommandSink SINK = {
    .start_done = sink_start, .stop_done = sink_stop, .hold_done = sink_hold};

/* Takes changes of the platform's table of workers. */
static void
on_workers(GfCellEntry *entry, const GfTableRow *rows, size_t count,
           bool whole)
{
    Term *term = entry->term;
    if (term == NULL) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        GfWorkerInfo info;
        int64_t clock_ms = 0;
        GfError error;
        GfName id;
        if (!rows[i].deleted && rows[i].value != NULL &&
            entry->decoder->worker(rows[i].key, rows[i].value,
                                   rows[i].value_len, &info, &clock_ms,
                                   &error)) {
            GfCell_SetWorker(term->cell, &info, clock_ms);
        }
        else if (GfName_SetText(&id, rows[i].key)) {
            if (!rows[i].deleted) {
                GfLog(GF_LOG_WARNING, PART, "row ignored cause=%s",
                      error.text);
            }
            GfCell_UnlistWorker(term->cell, &id);
        }
    }
    if (whole) {
        GfCell_UnlistOthers(term->cell, rows, count);
    }
}

/* Takes new jobs that the accepting entry could not report. */
static void
on_jobs(GfCellEntry *entry, const GfTableRow *rows, size_t count, bool whole)
{
    (void)whole;
    for (size_t i = 0; i < count && entry->term != NULL; i++) {
        if (!rows[i].deleted && rows[i].value != NULL) {
            EntryTerm_TakeJobRow(entry, rows[i].key, rows[i].value,
                                 rows[i].value_len, NULL, false);
        }
    }
}

/* Tells the cell which members can put questions for advice. */
static void
update_callers(Term *term)
{
    GfCellEntry *entry = term->entry;
    GfName names[GFC_MAX_MEMBERS + 1];
    size_t count = 0;
    names[count++] = entry->self;
    for (Peer *p = entry->peers; p != NULL && count <= GFC_MAX_MEMBERS;
         p = p->hh.next) {
        if (EntryMembers_IsHeard(entry, p) && !p->stopping) {
            names[count++] = p->name;
        }
    }
    GfCell_SetCallers(term->cell, names, count);
}

/* Begins to schedule once everything is read. */
static void
on_loaded(GfCellEntry *entry, bool loaded, int64_t version)
{
    Term *term = entry->term;
    assert(term != NULL && loaded);
    (void)loaded;
    term->loaded = true;
    term->loaded_at = GfClock_Now(entry->clock);
    GfLog(GF_LOG_INFO, PART, "term loaded token=%lld jobs=%zu after_ms=%lld",
          (long long)term->token, GfCell_JobCount(term->cell),
          (long long)GfTime_DiffMs(term->loaded_at, term->begun_at));
    Follow_BeginAfter(term->workers, version);
    Follow_BeginAfter(term->jobs, version);
    EntryTerm_ConfigChanged(entry);
}

/* Begins a term with a token. */
void
EntryTerm_Begin(GfCellEntry *entry, int64_t token)
{
    assert(entry->term == NULL);
    Term *term = calloc(1, sizeof(*term));
    if (term == NULL) {
        abort();
    }
    term->entry = entry;
    term->token = token;
    term->commit_version = token;
    term->begun_at = GfClock_Now(entry->clock);
    term->proved_at = term->begun_at;
    term->commit_timer = evtimer_new(entry->base, on_commit_timer, term);
    term->wake = evtimer_new(entry->base, on_wake, term);
    entry->term_count++;
    int64_t lease = (int64_t)entry->settings->longest_lease_ms;
    lease = lease < LEASE_MS ? lease : LEASE_MS;
    GfCellSettings settings = {.token = token,
                               .lease_ms = lease,
                               .proof_ms = PROOF_MS + PROOF_MARGIN_MS,
                               .doubt_ms = PROOF_MS + PROOF_MARGIN_MS + lease +
                                           lease * CLOCK_DRIFT_PERCENT / 100,
                               .clock_drift_percent = CLOCK_DRIFT_PERCENT,
                               .first_serial =
                                   entry->term_count * SERIALS_PER_TERM};
    term->cell = GfCell_Create(&CELL_OPS, term, &settings, entry->clock);
    entry->term = term;
    entry->owner = (OwnerView){.name = entry->self, .token = token};
    entry->owner.heard_at = term->begun_at;
    entry->commands->ops->set_sink(entry->commands, &SINK, entry);
    if (entry->config != NULL) {
        GfCell_SetConfig(term->cell, entry->config);
    }
    term->workers = Follow_Create(entry, entry->decoder->worker_table,
                                  FOLLOW_WAIT_MS, FOLLOW_PAUSE_MS, on_workers);
    term->jobs = Follow_Create(entry, ENTRY_JOB_TABLE, FOLLOW_WAIT_MS,
                               FOLLOW_PAUSE_MS, on_jobs);
    GfMetrics_Add(GF_METRIC_TERMS, 1);
    GfLog(GF_LOG_INFO, PART, "term begun token=%lld", (long long)token);
    term->load = Load_Start(entry, term->cell, on_loaded);
}

/* Ends the term. Workers go on until their leases run out or the next owner
 * extends them. */
void
EntryTerm_End(GfCellEntry *entry)
{
    Term *term = entry->term;
    if (term == NULL) {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "term ended token=%lld", (long long)term->token);
    entry->term = NULL;
    entry->commands->ops->set_sink(entry->commands, NULL, NULL);
    Load_Cancel(term->load);
    Follow_Destroy(term->workers);
    Follow_Destroy(term->jobs);
    evtimer_del(term->commit_timer);
    evtimer_del(term->wake);
    clear_commit(term);
    GfCell_Destroy(term->cell);
    term->cell = NULL;
    term->ended = true;
    free_if_idle(term);
}

/* Tells whether a commit has been without an answer for long. */
bool
EntryTerm_CommitIsLate(const GfCellEntry *entry)
{
    const Term *term = entry->term;
    if (term == NULL || !term->commit_open) {
        return false;
    }
    struct timespec now = GfClock_Now(entry->clock);
    return GfTime_DiffMs(now, term->commit_opened_at) > COMMIT_LATE_MS &&
           GfTime_DiffMs(now, entry->store_ok_at) > COMMIT_LATE_MS;
}

/* Returns the cell of the term, or NULL. */
GfCell *
EntryTerm_Cell(const GfCellEntry *entry)
{
    return entry->term == NULL || !entry->term->loaded ? NULL
                                                       : entry->term->cell;
}

/* Returns the token of the term. */
int64_t
EntryTerm_Token(const GfCellEntry *entry)
{
    return entry->term == NULL ? 0 : entry->term->token;
}

/* Tells whether the term schedules. */
bool
EntryTerm_IsReady(const GfCellEntry *entry)
{
    return entry->term != NULL && entry->term->loaded;
}

/* Passes configuration and domains out of service to the cell. */
void
EntryTerm_ConfigChanged(GfCellEntry *entry)
{
    if (entry->term != NULL) {
        GfCell_SetConfig(entry->term->cell, entry->config);
        GfCell_SetEvacuated(entry->term->cell, entry->evacuated,
                            entry->evacuated_count);
    }
}

/* Adds the job that a stored row describes. */
void
EntryTerm_TakeJobRow(GfCellEntry *entry, const char *id, const char *value,
                     size_t len, const json_t *progress, bool former_term)
{
    Term *term = entry->term;
    GfName name;
    if (term == NULL || !GfName_SetText(&name, id) ||
        GfCell_HasJob(term->cell, &name)) {
        return;
    }
    json_t *row = json_loadb(value, len, 0, NULL);
    GfName team;
    GfName queue;
    const char *body = json_string_value(json_object_get(row, "body"));
    json_int_t accepted =
        json_integer_value(json_object_get(row, "accepted_ms"));
    GfJobSpec spec;
    GfError error = {.text = "it is not readable"};
    if (body == NULL ||
        !GfName_SetText(&team,
                        json_string_value(json_object_get(row, "team"))) ||
        !GfName_SetText(&queue,
                        json_string_value(json_object_get(row, "queue"))) ||
        !entry->decoder->job(body, strlen(body), &spec, &error)) {
        GfLog(GF_LOG_ERROR, PART, "job row ignored id=%s cause=%s", id,
              error.text);
        json_decref(row);
        return;
    }
    int64_t age = GfTime_WallMs() - accepted;
    GfCell_AddJob(term->cell, &name, &team, &queue, age > 0 ? age : 0, &spec,
                  progress, former_term);
    wake(term);
    json_decref(row);
}

/* Takes the owner's row, read to prove that it is still ours. */
static void
on_proof(void *arg, GfTableResult result, int64_t version,
         const GfTableRow *rows, size_t count)
{
    (void)version;
    Term *term = arg;
    term->calls_open--;
    if (term->ended) {
        free_if_idle(term);
        return;
    }
    term->proving = false;
    EntryStore_Note(term->entry, result);
    if (result != GF_TABLE_OK) {
        return;
    }
    if (count == 0 || rows[0].version != term->token) {
        EntryOwnership_Lost(term->entry, "the store names another owner");
        return;
    }
    if (GfTime_Before(term->proved_at, term->prove_sent_at)) {
        term->proved_at = term->prove_sent_at;
    }
}

/* Tells whether more than half of the known entries, this one included, took
 * it for the owner lately. */
static bool
has_followers(GfCellEntry *entry)
{
    size_t all = 1;
    size_t heard = 1;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (p->incarnation > 0) {
            all++;
            heard += EntryMembers_IsHeard(entry, p);
        }
    }
    return heard * 2 > all && all > 1;
}

/* Keeps the proof of ownership fresh, and stops granting leases without. */
static void
check_proof(Term *term, struct timespec now)
{
    GfCellEntry *entry = term->entry;
    int64_t age = GfTime_DiffMs(now, term->proved_at);
    if (age > PROVE_EVERY_MS && !term->proving &&
        GfTime_DiffMs(now, term->prove_sent_at) > PROVE_EVERY_MS) {
        term->proving = true;
        term->prove_sent_at = now;
        term->calls_open++;
        GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                     ENTRY_OWNER_KEY, on_proof, term);
    }
    GfCell_SetMayExtend(term->cell, age < PROOF_MS || has_followers(entry));
}

/* Drops the outcome of a removal; rows that stay are removed by a later
 * term. */
static void
on_removed(void *arg, GfTableResult result, int64_t version,
           const GfTableRow *rows, size_t count)
{
    (void)arg;
    (void)version;
    (void)rows;
    (void)count;
    if (result != GF_TABLE_OK) {
        GfLog(GF_LOG_INFO, PART, "rows of finished jobs not removed cause=%s",
              GfTableResult_Name(result));
    }
}

/* Removes the rows of jobs that finished long ago. */
static void
sweep(Term *term, struct timespec now)
{
    if (GfTime_Before(now, term->sweep_at)) {
        return;
    }
    term->sweep_at = GfTime_AddMs(now, SWEEP_MS);
    GfName ids[SWEEP_MAX];
    int64_t keep =
        (int64_t)(term->entry->settings->keep_finished_s * MS_PER_S) +
        KEEP_MARGIN_MS;
    size_t count = GfCell_TakeExpired(term->cell, keep, ids, SWEEP_MAX);
    for (size_t i = 0; i < count; i++) {
        char part[8];
        EntryJobs_PartOf(&ids[i], part, sizeof(part));
        const GfTableChange job = {ENTRY_JOB_TABLE, part, ids[i].data, NULL,
                                   0};
        const GfTableChange progress = {ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                                        ids[i].data, NULL, 0};
        GfTableTransaction first = {.changes = &job,
                                    .change_count = 1,
                                    .timeout_ms = COMMIT_TIMEOUT_MS};
        GfTableTransaction second = {.changes = &progress,
                                     .change_count = 1,
                                     .timeout_ms = COMMIT_TIMEOUT_MS};
        GfTable_Transact(term->entry->table, &first, on_removed, NULL);
        GfTable_Transact(term->entry->table, &second, on_removed, NULL);
    }
}

/* Does what is due in the term. */
void
EntryTerm_Tick(GfCellEntry *entry, struct timespec now)
{
    Term *term = entry->term;
    if (term == NULL || !term->loaded) {
        return;
    }
    update_callers(term);
    check_proof(term, now);
    if (!GfCell_IsReady(term->cell) && entry->config != NULL &&
        (GfCell_AllHeard(term->cell) ||
         GfTime_DiffMs(now, term->loaded_at) > HEAR_MS)) {
        GfCell_Begin(term->cell);
        GfMetrics_Observe(GF_TIME_TAKEOVER,
                          GfTime_DiffMs(now, term->begun_at));
        GfLog(GF_LOG_INFO, PART, "scheduling begins token=%lld after_ms=%lld",
              (long long)term->token,
              (long long)GfTime_DiffMs(now, term->begun_at));
    }
    GfCell_Tick(term->cell);
    if (entry->term == term) {
        sweep(term, now);
    }
}
