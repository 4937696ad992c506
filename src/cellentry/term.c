/* The term of an owner: from a successful claim until ownership is lost or
 * given up. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "term_private.h"

#define PART "owner"
/* Longest lease granted to workers. Enough for a takeover, and for all
 * entries to return after a power cut of some seconds. The tasks of an
 * unreachable worker cannot be started elsewhere until its lease expires. */
#define MAX_LEASE_MS 6000
/* Clock drift that leases allow for; a worker's clock may be 2 % slow. */
#define CLOCK_DRIFT_PERCENT 3
/* An owner that has not verified its ownership within this time grants no
 * leases and starts nothing, unless most entries are in contact with it. */
#define OWNERSHIP_VALID_MS 1500
/* Added to OWNERSHIP_VALID_MS: how much longer a paused owner can go on
 * before it notices. */
#define OWNERSHIP_MARGIN_MS 300
/* An owner that has not read the worker table for longer starts nothing: a
 * worker that leaves must get no tasks after 2 s. While the store is away, no
 * worker can report that it leaves. */
#define WORKERS_VALID_MS 1900
/* Interval of reading the owner's row to verify ownership when no commit
 * has done so. */
#define VERIFY_INTERVAL_MS 600
/* Admission refuses no jobs until this long after the load, when all
 * workers that are up have certainly been contacted; afterwards its limits
 * are updated at this interval. */
#define ADMISSION_DELAY_MS 3000
#define ADMISSION_INTERVAL_MS 1000
/* Interval of the forecast, which goes out with the next answer to a call of
 * an entry. */
#define FORECAST_INTERVAL_MS 200
/* How long the store holds calls open to wait for changes, and the pause
 * after changes. A worker that leaves must get no tasks within 2 s, also if
 * the connection of a call has gone silent and the call times out. */
#define WATCH_WAIT_MS 500
#define WATCH_PAUSE_MS 250
/* Timeout of removing old rows, which is not urgent. */
#define REMOVE_TIMEOUT_MS 1500
/* Interval of removing finished jobs, and how many are removed at once. */
#define REMOVE_INTERVAL_MS 4000
/* The interval while more are left than are removed at once. */
#define REMOVE_BUSY_INTERVAL_MS 1000
#define REMOVE_MAX 40
/* Finished jobs are kept this much longer than callers are promised. */
#define KEEP_MARGIN_MS 15000
/* For how long, and at which interval, a new owner asks the replaced one
 * whether it has ended. */
#define FORMER_OWNER_ASK_MS 8000
#define FORMER_OWNER_INTERVAL_MS 100
#define MS_PER_S 1000
/* Serials of workers that a term may use. Each further term of a process
 * starts above those of the terms before. */
#define SERIALS_PER_TERM (1U << 20)
/* Events that arrive within this time share one placement round. */
#define PLACEMENT_DELAY_US 1500

/* Schedules a placement round shortly after an event instead of at the next
 * tick. Does nothing until the term is loaded. */
void
Term_SchedulePlacement(Term *term)
{
    if (term->loaded && !evtimer_pending(term->placement_timer, NULL)) {
        struct timeval tv = {.tv_usec = PLACEMENT_DELAY_US};
        evtimer_add(term->placement_timer, &tv);
    }
}

/* Runs the scheduled placement round. */
static void
on_placement_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Term *term = arg;
    if (!term->ended) {
        GfCell_Place(term->cell);
    }
}

/* Frees a term that has ended once none of its store calls is in progress. */
void
Term_FreeIfIdle(Term *term)
{
    if (term->ended && term->open_calls == 0) {
        event_free(term->commit_timer);
        event_free(term->placement_timer);
        free(term->commit_value);
        free(term);
    }
}

/* Applies rows of the platform's table of workers. Workers whose row is
 * deleted or unreadable are unlisted, and with whole also those without a
 * row. */
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
        GfError error = {.text = "the row has no value"};
        GfName id;
        if (!rows[i].deleted && rows[i].value != NULL &&
            entry->decoder->worker(rows[i].key, rows[i].value,
                                   rows[i].value_len, &info, &error)) {
            GfCell_SetWorker(term->cell, &info);
        }
        else if (GfName_SetText(&id, rows[i].key)) {
            if (!rows[i].deleted) {
                GfLog(GF_LOG_WARNING, PART,
                      "worker row ignored worker=%s cause=%s", id.data,
                      error.text);
            }
            GfCell_UnlistWorker(term->cell, &id);
        }
    }
    if (whole) {
        GfCell_UnlistMissingWorkers(term->cell, rows, count);
    }
}

/* Adds jobs from the jobs table, for the case that the accepting entry
 * could not notify the owner. */
static void
on_jobs(GfCellEntry *entry, const GfTableRow *rows, size_t count, bool whole)
{
    (void)whole;
    for (size_t i = 0; i < count && entry->term != NULL; i++) {
        if (!rows[i].deleted && rows[i].value != NULL) {
            EntryTerm_AddJobRow(entry, rows[i].key, rows[i].value,
                                rows[i].value_len, NULL, false);
        }
    }
}

/* Updates the list of entries that the cell may use to ask the advice
 * service: this one and all peers that are in contact and not stopping. */
static void
update_callers(Term *term)
{
    GfCellEntry *entry = term->entry;
    GfName names[GFC_MAX_MEMBERS + 1];
    size_t count = 0;
    names[count++] = entry->self;
    for (Peer *p = entry->peers; p != NULL && count <= GFC_MAX_MEMBERS;
         p = p->hh.next) {
        if (EntryMembers_IsInContact(entry, p) && !p->stopping) {
            names[count++] = p->name;
        }
    }
    GfCell_SetAdviceCallers(term->cell, names, count);
}

/* Starts to watch for changes after the loaded version and applies the
 * configuration. Scheduling begins in a later tick. */
static void
on_loaded(GfCellEntry *entry, int64_t version)
{
    Term *term = entry->term;
    assert(term != NULL);
    term->loaded = true;
    term->loaded_at = GfClock_Now(entry->clock);
    GfLog(GF_LOG_INFO, PART, "term loaded token=%lld jobs=%zu after_ms=%lld",
          (long long)term->token, GfCell_JobCount(term->cell),
          (long long)GfTime_DiffMs(term->loaded_at, term->begun_at));
    TableWatch_StartAfter(term->worker_watch, version, term->begun_at);
    TableWatch_StartAfter(term->job_watch, version, term->begun_at);
    EntryTerm_ApplyConfig(entry);
}

/* Begins a term: creates its cell, watches and loader, and directs the
 * outcomes of orders to this entry. token is the version of the owner's
 * row. former is the replaced owner; its token is 0 if there was none and
 * negative if it is unknown. The entry must not be in a term. */
void
EntryTerm_Begin(GfCellEntry *entry, int64_t token, const OwnerView *former)
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
    term->verified_at = term->begun_at;
    term->commit_timer = evtimer_new(entry->base, Term_OnCommitTimer, term);
    term->placement_timer = evtimer_new(entry->base, on_placement_timer, term);
    entry->term_count++;
    int64_t lease = (int64_t)entry->settings->longest_lease_ms;
    lease = lease < MAX_LEASE_MS ? lease : MAX_LEASE_MS;
    term->former_owner = former->name;
    GfCellSettings settings = {
        .token = token,
        .former_token = former->token,
        .lease_ms = lease,
        .longest_lease_ms = (int64_t)entry->settings->longest_lease_ms,
        .ownership_valid_ms = OWNERSHIP_VALID_MS + OWNERSHIP_MARGIN_MS,
        .uncertainty_ms = OWNERSHIP_VALID_MS + OWNERSHIP_MARGIN_MS + lease +
                          lease * CLOCK_DRIFT_PERCENT / 100,
        .clock_drift_percent = CLOCK_DRIFT_PERCENT,
        .serial_base = entry->term_count * SERIALS_PER_TERM,
        .features = entry->settings->features};
    term->cell = GfCell_Create(&TERM_CELL_OPS, term, &settings, entry->clock);
    if (GfName_Equal(&former->name, &entry->self)) {
        /* It was an earlier process on this host, or an earlier term. */
        GfCell_FormerOwnerEnded(term->cell);
    }
    GfAdmission_ForgetForecast(&entry->admission);
    entry->term = term;
    entry->owner = (OwnerView){.name = entry->self, .token = token};
    entry->owner.last_contact_at = term->begun_at;
    entry->commands->ops->set_sink(entry->commands, &TERM_SINK, entry);
    if (entry->config != NULL) {
        GfCell_SetConfig(term->cell, entry->config);
    }
    term->worker_watch =
        TableWatch_Create(entry, entry->decoder->worker_table, false,
                          WATCH_WAIT_MS, WATCH_PAUSE_MS, on_workers);
    term->job_watch = TableWatch_Create(
        entry, ENTRY_JOB_TABLE, true, WATCH_WAIT_MS, WATCH_PAUSE_MS, on_jobs);
    GfMetrics_Add(GF_METRIC_TERMS, 1);
    GfLog(GF_LOG_INFO, PART, "term begun token=%lld", (long long)token);
    EntryControl_SetOwner(entry, true);
    term->loader = TermLoader_Start(entry, term->cell, on_loaded);
}

/* Ends the term and frees it as soon as no store call is in progress. Does
 * nothing without a term. Workers continue until their leases expire or the
 * next owner extends them. */
void
EntryTerm_End(GfCellEntry *entry)
{
    Term *term = entry->term;
    if (term == NULL) {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "term ended token=%lld", (long long)term->token);
    entry->term = NULL;
    GfAdmission_ForgetForecast(&entry->admission);
    EntryControl_SetOwner(entry, false);
    entry->commands->ops->set_sink(entry->commands, NULL, NULL);
    TermLoader_Cancel(term->loader);
    TableWatch_Destroy(term->worker_watch);
    TableWatch_Destroy(term->job_watch);
    evtimer_del(term->commit_timer);
    evtimer_del(term->placement_timer);
    Term_ClearCommit(term);
    GfCell_Destroy(term->cell);
    term->cell = NULL;
    term->ended = true;
    Term_FreeIfIdle(term);
}

/* Resumes the watches of the term after an outage of the store, if there is a
 * term. */
void
EntryTerm_ResumeWatches(GfCellEntry *entry)
{
    if (entry->term != NULL) {
        TableWatch_Resume(entry->term->worker_watch);
        TableWatch_Resume(entry->term->job_watch);
    }
}

/* Returns the cell of the term, which owns it, or NULL without a term or
 * while it is still loading. */
GfCell *
EntryTerm_Cell(const GfCellEntry *entry)
{
    return entry->term == NULL || !entry->term->loaded ? NULL
                                                       : entry->term->cell;
}

/* Returns how long this entry has owned the cell, in ms; 0 if it does not. */
int64_t
EntryTerm_AgeMs(const GfCellEntry *entry)
{
    return entry->term == NULL ? 0
                               : GfTime_DiffMs(GfClock_Now(entry->clock),
                                               entry->term->begun_at);
}

/* Returns how long the term's last commit took, in ms; 0 without a term or
 * before its first commit. */
int64_t
EntryTerm_StoreMs(const GfCellEntry *entry)
{
    return entry->term == NULL ? 0 : entry->term->store_ms;
}

/* Returns the token of the term; 0 without a term. */
int64_t
EntryTerm_Token(const GfCellEntry *entry)
{
    return entry->term == NULL ? 0 : entry->term->token;
}

/* Returns whether this entry is the owner and has loaded its jobs and
 * workers. */
bool
EntryTerm_IsReady(const GfCellEntry *entry)
{
    return entry->term != NULL && entry->term->loaded;
}

/* Handles a peer's answer to a heartbeat. If the peer has the name of the
 * replaced owner, does not own the cell and knows this term's token, then the
 * replaced owner has ended: either its process has ended, and another one
 * answers under its name and address, or it has ended its term, and will not
 * begin one with a lower token. Only heartbeats sent in this term count, as an
 * earlier answer may come from a process that has ended since. Does nothing
 * without a term. */
void
EntryTerm_HandleFormerOwner(GfCellEntry *entry, const Peer *peer,
                            const gfc_beat_reply *reply)
{
    Term *term = entry->term;
    if (term == NULL || GfCell_FormerOwnersEnded(term->cell) ||
        !GfName_Equal(&peer->name, &term->former_owner) ||
        GfTime_Before(peer->heartbeat_at, term->begun_at)) {
        return;
    }
    if (!reply->owns && (int64_t)reply->token >= term->token) {
        GfCell_FormerOwnerEnded(term->cell);
    }
}

/* Sends heartbeats to the replaced owner until it is known to have ended or no
 * run that it has started can be left. */
static void
ask_former_owner(Term *term, struct timespec now)
{
    GfCellEntry *entry = term->entry;
    Peer *former = EntryMembers_Find(entry, &term->former_owner);
    if (former != NULL && !GfCell_FormerOwnersEnded(term->cell) &&
        GfTime_DiffMs(now, term->begun_at) < FORMER_OWNER_ASK_MS &&
        GfTime_DiffMs(now, former->heartbeat_at) > FORMER_OWNER_INTERVAL_MS) {
        EntryMembers_SendHeartbeat(entry, former);
    }
}

/* Applies the configuration and the failure domains out of service to the
 * cell of the term, if there is one. */
void
EntryTerm_ApplyConfig(GfCellEntry *entry)
{
    if (entry->term != NULL) {
        GfCell_SetConfig(entry->term->cell, entry->config);
        GfCell_SetEvacuated(entry->term->cell, entry->evacuated_domains,
                            entry->evacuated_count);
    }
}

/* Adds the job that a stored row describes to the cell, unless the cell has
 * it already. value and progress are borrowed; progress is the stored
 * progress of the job or NULL. former_term: the job may have run in an
 * earlier term. An unreadable row is logged and ignored. */
void
EntryTerm_AddJobRow(GfCellEntry *entry, const char *id, const char *value,
                    size_t len, const json_t *progress, bool former_term)
{
    Term *term = entry->term;
    GfName name;
    if (term == NULL || !GfName_SetText(&name, id) ||
        GfCell_HasJob(term->cell, &name)) {
        return;
    }
    json_t *row = json_loadb(value, len, 0, NULL);
    if (GfJobRow_SaysWithdrawn(row)) {
        GfCell_AddWithdrawn(term->cell, &name);
        json_decref(row);
        return;
    }
    GfName team;
    GfName queue;
    const char *body = json_string_value(json_object_get(row, "body"));
    json_int_t accepted =
        json_integer_value(json_object_get(row, "accepted_ms"));
    GfJobSpec spec;
    GfError error = {.text = "team, queue or body is missing or invalid"};
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
    Term_SchedulePlacement(term);
    json_decref(row);
}

/* Handles the read of the owner's row that verifies ownership. Ownership
 * counts as verified from the time at which the read was sent. */
static void
on_owner_row_read(void *arg, GfTableResult result, int64_t version,
                  const GfTableRow *rows, size_t count)
{
    (void)version;
    Term *term = arg;
    term->open_calls--;
    if (term->ended) {
        Term_FreeIfIdle(term);
        return;
    }
    term->verifying = false;
    EntryStore_RecordResult(term->entry, result);
    if (result != GF_TABLE_OK) {
        return;
    }
    if (count == 0 || rows[0].version != term->token) {
        EntryOwnership_GiveUp(term->entry, "the store names another owner");
        return;
    }
    if (GfTime_Before(term->verified_at, term->verify_sent_at)) {
        term->verified_at = term->verify_sent_at;
    }
}

/* Returns whether more than half of the known entries, including this one,
 * are in contact. An entry in contact knew of no higher token at its last
 * contact: that would have ended this term. */
static bool
has_majority_contact(GfCellEntry *entry)
{
    size_t all = 1;
    size_t in_contact = 1;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (p->incarnation > 0) {
            all++;
            in_contact += EntryMembers_IsInContact(entry, p);
        }
    }
    return in_contact * 2 > all && all > 1;
}

/* Verifies ownership when it is due and tells the cell whether it may grant
 * leases and start tasks. */
static void
verify_ownership(Term *term, struct timespec now)
{
    GfCellEntry *entry = term->entry;
    int64_t age = GfTime_DiffMs(now, term->verified_at);
    if (age > VERIFY_INTERVAL_MS && !term->verifying &&
        GfTime_DiffMs(now, term->verify_sent_at) > VERIFY_INTERVAL_MS) {
        term->verifying = true;
        term->verify_sent_at = now;
        term->open_calls++;
        GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                     ENTRY_OWNER_KEY, on_owner_row_read, term);
    }
    GfTableClock reading;
    if (GfTable_ReadClock(entry->table, &reading)) {
        GfCell_SetSharedClock(term->cell, &reading);
    }
    GfCell_SetWorkersCurrent(term->cell, TableWatch_AgeMs(term->worker_watch) <
                                                 WORKERS_VALID_MS ||
                                             !EntryStore_IsReachable(entry));
    GfCell_SetMayGrantLeases(term->cell, age < OWNERSHIP_VALID_MS ||
                                             has_majority_contact(entry));
}

/* The removal of a job's row. */
typedef struct {
    Term *term;
    GfName id;
} Removal;

/* Handles the removal of a job's row: its progress is removed next, and never
 * before, since a job without progress would be run again. After a failure the
 * job's row is removed once more. */
static void
on_job_removed(void *arg, GfTableResult result, int64_t version,
               const GfTableRow *rows, size_t count)
{
    (void)version;
    (void)rows;
    (void)count;
    Removal *r = arg;
    Term *term = r->term;
    term->open_calls--;
    term->open_removals--;
    if (result != GF_TABLE_OK) {
        GfLog(GF_LOG_INFO, PART,
              "removing the row of a finished job failed id=%s cause=%s",
              r->id.data, GfTableResult_Name(result));
    }
    if (term->ended) {
        Term_FreeIfIdle(term);
    }
    else {
        GfCell_JobRemoved(term->cell, &r->id, result == GF_TABLE_OK);
        if (result == GF_TABLE_OK) {
            assert(term->removed_count < TERM_MAX_REMOVED);
            term->removed[term->removed_count++] = r->id;
        }
    }
    free(r);
}

/* Handles the removal of progress rows; after a failure it is repeated. */
static void
on_progress_removed(void *arg, GfTableResult result, int64_t version,
                    const GfTableRow *rows, size_t count)
{
    (void)version;
    (void)rows;
    (void)count;
    Term *term = arg;
    term->open_calls--;
    if (term->ended) {
        Term_FreeIfIdle(term);
        return;
    }
    if (result == GF_TABLE_OK) {
        term->removed_count -= term->removing;
        memmove(term->removed, term->removed + term->removing,
                term->removed_count * sizeof(GfName));
    }
    term->removing = 0;
}

/* Removes the progress rows of the jobs whose own row is removed, in one
 * transaction. */
static void
remove_progress(Term *term)
{
    if (term->removing > 0 || term->removed_count == 0) {
        return;
    }
    GfTableChange changes[TERM_MAX_REMOVED];
    for (size_t i = 0; i < term->removed_count; i++) {
        changes[i] = (GfTableChange){ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                                     term->removed[i].data, NULL, 0};
    }
    GfTableTransaction transaction = {.changes = changes,
                                      .change_count = term->removed_count,
                                      .timeout_ms = REMOVE_TIMEOUT_MS};
    term->removing = term->removed_count;
    term->open_calls++;
    GfTable_Transact(term->entry->table, &transaction, on_progress_removed,
                     term);
}

/* Removes the job and progress rows of jobs that finished long enough ago. */
static void
remove_expired_jobs(Term *term, struct timespec now)
{
    if (GfTime_Before(now, term->remove_at)) {
        return;
    }
    remove_progress(term);
    GfName ids[REMOVE_MAX];
    int64_t keep =
        (int64_t)(term->entry->settings->keep_finished_s * MS_PER_S) +
        KEEP_MARGIN_MS;
    size_t space =
        TERM_MAX_REMOVED - term->removed_count - term->open_removals;
    size_t max = space < REMOVE_MAX ? space : REMOVE_MAX;
    size_t count = GfCell_ListExpiredJobs(term->cell, keep, ids, max);
    term->remove_at =
        GfTime_AddMs(now, count == REMOVE_MAX ? REMOVE_BUSY_INTERVAL_MS
                                              : REMOVE_INTERVAL_MS);
    for (size_t i = 0; i < count; i++) {
        Removal *r = calloc(1, sizeof(*r));
        if (r == NULL) {
            abort();
        }
        *r = (Removal){.term = term, .id = ids[i]};
        GfJobRowPart part = GfJobRow_Part(&ids[i]);
        const GfTableChange job = {ENTRY_JOB_TABLE, part.text, ids[i].data,
                                   NULL, 0};
        GfTableTransaction transaction = {.changes = &job,
                                          .change_count = 1,
                                          .timeout_ms = REMOVE_TIMEOUT_MS};
        term->open_calls++;
        term->open_removals++;
        GfTable_Transact(term->entry->table, &transaction, on_job_removed, r);
    }
}

/* Updates the limits of admission and the forecast, once workers have had the
 * time to answer. */
static void
update_admission(Term *term, struct timespec now)
{
    if (!GfCell_IsReady(term->cell) ||
        GfTime_DiffMs(now, term->loaded_at) <= ADMISSION_DELAY_MS) {
        return;
    }
    if (GfCell_AllContacted(term->cell) &&
        GfTime_DiffMs(now, term->admission_updated_at) >=
            ADMISSION_INTERVAL_MS) {
        term->admission_updated_at = now;
        GfCell_UpdateAdmission(term->cell, &term->entry->admission);
    }
    if (GfTime_DiffMs(now, term->forecast_updated_at) >=
        FORECAST_INTERVAL_MS) {
        term->forecast_updated_at = now;
        GfCell_UpdateForecast(term->cell, &term->entry->admission);
    }
}

/* Runs the periodic work of the term. Scheduling begins once a configuration
 * is known and enough workers have answered. Does nothing without a loaded
 * term. */
void
EntryTerm_Tick(GfCellEntry *entry, struct timespec now)
{
    Term *term = entry->term;
    if (term == NULL || !term->loaded) {
        return;
    }
    update_callers(term);
    ask_former_owner(term, now);
    verify_ownership(term, now);
    if (!GfCell_IsReady(term->cell) && entry->config != NULL &&
        GfCell_MayBeginPlacement(term->cell,
                                 GfTime_DiffMs(now, term->loaded_at))) {
        GfCell_StartPlacement(term->cell);
        GfMetrics_Observe(GF_HISTOGRAM_TAKEOVER,
                          GfTime_DiffMs(now, term->begun_at));
        GfLog(GF_LOG_INFO, PART, "scheduling begins token=%lld after_ms=%lld",
              (long long)term->token,
              (long long)GfTime_DiffMs(now, term->begun_at));
    }
    GfCell_Tick(term->cell);
    if (entry->term == term) {
        remove_expired_jobs(term, now);
        update_admission(term, now);
    }
}
