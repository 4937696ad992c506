/* Requests for advice: which workers to ask about, how many, and when a
 * request helps. callers.c chooses who sends it. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cell_private.h"
#include "guavaflow/metrics.h"

/* A queue is slow if a request takes longer than this before the time for each
 * worker is added. */
#define SLOW_ADVICE_MS 100.0
/* Fewest and most workers in a request. */
#define MIN_WORKERS_ASKED 6
#define MAX_WORKERS_ASKED 48
/* Number of workers in a slow request while callers are scarce; the service
 * takes at most 100. */
#define SCARCE_WORKERS_ASKED 96
/* How many times the usual number of workers a quick request names then. */
#define SCARCE_QUICK_FACTOR 2
/* Expected share of the workers in a request that the advice allows, where no
 * earlier advice is known: the lower of the two shares that were observed. */
#define EXPECTED_ALLOWED 0.35
/* Workers in a request beyond the expected need, in case many are denied. */
#define EXTRA_WORKERS 3
/* Subtracted from a ticket's validity, so that a start order reaches the
 * worker before the ticket expires. */
#define TICKET_MARGIN_MS 250
/* Added to the expected duration of a request to get its timeout; allows for
 * transport. */
#define TRANSPORT_SLACK_MS 2500
/* Pause before a step for which no request helps now is tried again. */
#define ASK_PAUSE_MS 120
/* First interval of the requests for a step that has no free capacity, as long
 * as they would take the last caller for slow requests, and how long the
 * denials of a step are first trusted when no worker is left to ask about.
 * Both double with each answer that did not let a task start, up to
 * MAX_DOUBLINGS times. Advice for a step does not change, and a worker that
 * joins is new to the step in any case. */
#define FULL_INTERVAL_MS 3000
#define DENIED_KEEP_MS 6000
#define MAX_DOUBLINGS 3
/* Parts of the rank by which workers are asked about, lowest rank first:
 * workers with free capacity that advice allowed before, then those on which
 * more tasks fit, counted up to CAPACITY_RANK_MAX, of these the quicker ones
 * first; workers to avoid come last. */
#define CAPACITY_RANK_MAX 4
#define ALLOWED_RANK 8
#define AVOID_RANK 16
/* A search for workers to ask about ends when so many have free capacity: four
 * times what a request can name. */
#define ENOUGH_CANDIDATES (4 * MAX_WORKERS_ASKED)
/* Number of different values of tie_break. */
#define TIE_BREAK_STEPS 1000

/* A worker that a request may name; the lowest rank is named first. */
typedef struct {
    Worker *worker;
    double rank;
} Candidate;

/* Returns the step's entry for a worker with a valid ticket, or NULL. The
 * entry belongs to the step and is valid until its advice changes. */
const AllowedWorker *
CellAdvice_FindTicket(const Step *step, uint32_t serial, struct timespec now)
{
    for (size_t i = 0; i < step->allowed_count; i++) {
        const AllowedWorker *a = &step->allowed[i];
        if (a->serial == serial) {
            return GfTime_Before(now, a->expires) ? a : NULL;
        }
    }
    return NULL;
}

/* Returns the step's entry for a worker, whether or not its ticket has
 * expired, or NULL. */
static AllowedWorker *
find_allowed(const Step *step, uint32_t serial)
{
    for (size_t i = 0; i < step->allowed_count; i++) {
        if (step->allowed[i].serial == serial) {
            return &step->allowed[i];
        }
    }
    return NULL;
}

/* Returns whether advice has denied a worker for the step. */
static bool
is_denied(const Step *step, uint32_t serial)
{
    for (size_t i = 0; i < step->denied_count; i++) {
        if (step->denied[i] == serial) {
            return true;
        }
    }
    return false;
}

/* Discards the step's tickets, its denials and the list of workers that were
 * asked about. */
void
CellAdvice_Clear(Step *step)
{
    free(step->allowed);
    free(step->denied);
    free(step->asked);
    step->allowed = NULL;
    step->denied = NULL;
    step->asked = NULL;
    step->allowed_count = 0;
    step->denied_count = 0;
    step->asked_count = 0;
}

/* Invalidates the ticket of a worker that did not accept it, so that the
 * worker is asked about again. */
void
CellAdvice_DropTicket(Step *step, uint32_t serial)
{
    AllowedWorker *a = find_allowed(step, serial);
    if (a != NULL) {
        a->expires = (struct timespec){0};
    }
}

/* Returns whether the step may send a request now: none is pending, there are
 * callers, and the pause is over. */
bool
CellAdvice_MayAsk(const GfCell *cell, const Step *step, struct timespec now)
{
    return !step->asking && GfCallers_Count(cell->callers) > 0 &&
           !GfTime_Before(now, step->next_ask_at);
}

/* Orders candidates for qsort, lowest rank first. */
static int
compare(const void *a, const void *b)
{
    double x = ((const Candidate *)a)->rank;
    double y = ((const Candidate *)b)->rank;
    return x < y ? -1 : x > y;
}

/* Returns how many more tasks of the step fit on a worker now, by processors
 * and memory; accelerators are checked for one task only, and a backfill step
 * counts as one task. Backfill tasks on the worker do not exclude a step with
 * a latency target, as they are stopped for it. */
static int64_t
count_fitting(const Worker *w, const Step *step)
{
    uint32_t here =
        step->spec->max_per_worker > 0 ? CellFit_CountOn(w, step) : 0;
    bool only_backfill =
        step->spec->latency_target_ms > 0 && w->backfill_tasks > 0 &&
        GfResources_Fit(w->info.capacity, w->used, step->spec->need);
    if ((!CellFit_HasCapacity(w, step) && !only_backfill) ||
        (here > 0 && here >= step->spec->max_per_worker)) {
        return 0;
    }
    GfResources need = step->spec->need;
    GfResources free_capacity =
        GfResources_Subtract(w->info.capacity, w->used);
    int64_t fit = step->spec->max_per_worker > 0
                      ? (int64_t)(step->spec->max_per_worker - here)
                      : INT32_MAX;
    if (step->spec->backfill) {
        return 1;
    }
    if (need.mcores > 0 && free_capacity.mcores / need.mcores < fit) {
        fit = free_capacity.mcores / need.mcores;
    }
    if (need.memory_mb > 0 && free_capacity.memory_mb / need.memory_mb < fit) {
        fit = free_capacity.memory_mb / need.memory_mb;
    }
    return fit;
}

/* Returns a value from 0 to below 0.5, a hash of worker and job, that breaks
 * ties between workers of equal rank, so that requests of different jobs cover
 * different workers. */
static double
tie_break(const Worker *w, const Step *step)
{
    uint64_t hash = GfName_Hash(&step->job->id, w->serial);
    return (double)(hash % TIE_BREAK_STEPS) / (TIE_BREAK_STEPS * 2.0);
}

/* The candidates found for a request. */
typedef struct {
    Candidate *all; /* has space for every worker */
    size_t count;
    int64_t fitting; /* tasks of the step that fit on them, to INT32_MAX */
    size_t with_capacity;
} CandidateList;

/* Adds a worker to the list if it is worth asking about: eligible, not denied
 * before and without a valid ticket. */
static void
add_candidate(const GfCell *cell, const Step *step, Worker *w,
              struct timespec now, CandidateList *list)
{
    if (!CellFit_Eligible(cell, w, step) || is_denied(step, w->serial) ||
        !CellSpeed_Allows(cell, w, step, now) ||
        CellAdvice_FindTicket(step, w->serial, now) != NULL) {
        return;
    }
    int64_t fit = count_fitting(w, step);
    double rank =
        fit > 0 ? -(double)(fit > CAPACITY_RANK_MAX ? CAPACITY_RANK_MAX : fit)
                : 1;
    if (fit > 0 && find_allowed(step, w->serial) != NULL) {
        rank -= ALLOWED_RANK;
    }
    if (GfTime_Before(now, w->avoid_until)) {
        rank += AVOID_RANK;
    }
    else {
        list->with_capacity += fit > 0;
    }
    rank += tie_break(w, step) + CellSpeed_Cost(cell, w, step, now);
    list->fitting =
        list->fitting + fit < INT32_MAX ? list->fitting + fit : INT32_MAX;
    list->all[list->count++] = (Candidate){.worker = w, .rank = rank};
}

/* Adds the workers from first up to but without end (NULL: to the last) that
 * advice has not allowed before, until ENOUGH_CANDIDATES have free capacity.
 */
static void
add_new_candidates(const GfCell *cell, const Step *step, struct timespec now,
                   Worker *first, const Worker *end, CandidateList *list)
{
    for (Worker *w = first;
         w != NULL && w != end && list->with_capacity < ENOUGH_CANDIDATES;
         w = w->hh.next) {
        if (find_allowed(step, w->serial) == NULL) {
            add_candidate(cell, step, w, now, list);
        }
    }
}

/* Collects workers worth asking about, lowest rank first: those that advice
 * has allowed before, then others from a position that depends on the job,
 * until ENOUGH_CANDIDATES have free capacity. In a large fleet a search of all
 * workers for each request would take most of the owner's processor time. */
static void
collect_candidates(GfCell *cell, const Step *step, struct timespec now,
                   CandidateList *list)
{
    for (size_t i = 0; i < step->allowed_count; i++) {
        Worker *w = CellWorker_Find(cell, step->allowed[i].serial);
        if (w != NULL) {
            add_candidate(cell, step, w, now, list);
        }
    }
    size_t skip =
        GfName_Hash(&step->job->id, step->number) % (cell->worker_count + 1);
    Worker *first = cell->workers;
    for (size_t i = 0; i < skip && first != NULL; i++) {
        first = first->hh.next;
    }
    add_new_candidates(cell, step, now, first, NULL, list);
    add_new_candidates(cell, step, now, cell->workers, first, list);
    qsort(list->all, list->count, sizeof(Candidate), compare);
}

/* Returns the smaller of a and b. */
static size_t
smaller(size_t a, size_t b)
{
    return a < b ? a : b;
}

/* Returns how many of the candidates to ask about, so that those expected to
 * be allowed have free capacity for the step's idle tasks. */
static size_t
request_size(const Step *step, const Candidate *candidates, size_t count)
{
    double expected = 0;
    size_t n = 0;
    while (n < count && n < MAX_WORKERS_ASKED &&
           expected < (double)step->idle) {
        const Worker *w = candidates[n].worker;
        int64_t fit = count_fitting(w, step);
        double chance =
            find_allowed(step, w->serial) != NULL ? 1 : EXPECTED_ALLOWED;
        expected += chance * (double)(fit > 0 ? fit : 1);
        n++;
    }
    n += EXTRA_WORKERS;
    n = n < MIN_WORKERS_ASKED ? MIN_WORKERS_ASKED : n;
    return smaller(smaller(n, MAX_WORKERS_ASKED), count);
}

/* Returns how many tasks of the step fit on the workers for which it has valid
 * tickets, up to INT32_MAX; -1 if it has none. */
static int64_t
count_fitting_tickets(const GfCell *cell, const Step *step,
                      struct timespec now)
{
    int64_t fitting = -1;
    for (size_t i = 0; i < step->allowed_count; i++) {
        const Worker *w = CellWorker_Find(cell, step->allowed[i].serial);
        if (w == NULL || !GfTime_Before(now, step->allowed[i].expires)) {
            continue;
        }
        fitting = fitting < 0 ? 0 : fitting;
        if (CellFit_Eligible(cell, w, step)) {
            fitting += count_fitting(w, step);
        }
    }
    return fitting < INT32_MAX ? fitting : INT32_MAX;
}

/* Returns ms, doubled for each answer that did not let a task of the step
 * start. */
static int64_t
back_off(const Step *step, int64_t ms)
{
    return ms << (step->unused_answers < MAX_DOUBLINGS ? step->unused_answers
                                                       : MAX_DOUBLINGS);
}

/* Returns whether a request for a step can help now. fitting is how many of
 * its tasks fit on the workers that can be asked about. Without free capacity
 * the tickets would expire unused: such a request is made only with callers to
 * spare, or seldom, so that the step has a ticket when capacity becomes free.
 * A gang needs the capacity for all its tasks. */
static bool
is_request_useful(const GfCell *cell, const Step *step, int64_t fitting,
                  bool takes_last_caller, struct timespec now)
{
    int64_t with_ticket = count_fitting_tickets(cell, step, now);
    int64_t needed = step->spec->gang ? (int64_t)step->spec->task_count : 1;
    bool has_capacity =
        fitting + (step->spec->gang && with_ticket > 0 ? with_ticket : 0) >=
        needed;
    if (fitting > 0 && has_capacity) {
        return true;
    }
    return with_ticket < 0 &&
           (!takes_last_caller || GfTime_DiffMs(now, step->asked_at) >=
                                      back_off(step, FULL_INTERVAL_MS));
}

/* Pauses a step for which no worker is left to ask about. If all are denied,
 * the denials are discarded after some time. */
static void
pause_without_candidates(Step *step, struct timespec now)
{
    if (step->denied_count > 0 && step->allowed_count == 0 &&
        GfTime_DiffMs(now, step->denied_at) >=
            back_off(step, DENIED_KEEP_MS)) {
        CellAdvice_Clear(step);
    }
    step->next_ask_at = GfTime_AddMs(now, ASK_PAUSE_MS);
}

/* Sends a request for advice for a step if a caller is free and the answer
 * could help; otherwise the step pauses for ASK_PAUSE_MS or waits for a
 * caller. The order and the names in it are valid during the callback only. */
void
CellAdvice_Ask(GfCell *cell, Step *step, struct timespec now)
{
    const GfQueue *queue = step->job->queue_in_force;
    bool slow = queue->advice_ms > SLOW_ADVICE_MS;
    bool is_last = false;
    const GfName *caller = GfCallers_Find(cell->callers, slow, now, &is_last);
    if (caller == NULL) {
        return;
    }
    CandidateList list = {
        .all = malloc((cell->worker_count + 1) * sizeof(Candidate))};
    if (list.all == NULL) {
        abort();
    }
    collect_candidates(cell, step, now, &list);
    const Candidate *candidates = list.all;
    size_t n = request_size(step, candidates, list.count);
    if (GfCallers_AreScarce(cell->callers, slow, now)) {
        n = smaller(list.count,
                    slow ? SCARCE_WORKERS_ASKED : n * SCARCE_QUICK_FACTOR);
    }
    if (n == 0 || !is_request_useful(cell, step, list.fitting, is_last, now)) {
        free(list.all);
        pause_without_candidates(step, now);
        return;
    }
    GfName names[SCARCE_WORKERS_ASKED];
    free(step->asked);
    step->asked = malloc(n * sizeof(uint32_t));
    if (step->asked == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        names[i] = candidates[i].worker->info.id;
        step->asked[i] = candidates[i].worker->serial;
    }
    free(list.all);
    step->asked_count = n;
    GfMetrics_Add(GF_METRIC_ADVICE_ASKED, 1);
    step->asking = true;
    step->asked_at = now;
    GfCallers_Begin(cell->callers, caller, slow, now);
    double expected_ms =
        queue->advice_ms + queue->advice_ms_per_worker * (double)n;
    GfAdviceOrder order = {.caller = *caller,
                           .job = step->job->id,
                           .occurrence = step->occurrence,
                           .step = step->number,
                           .workers = names,
                           .worker_count = n,
                           .timeout_ms =
                               (int)expected_ms + TRANSPORT_SLACK_MS};
    cell->ops->advise(cell->ctx, &order);
}

/* Adds a worker's ticket to the step, or renews it. */
static void
allow(Step *step, uint32_t serial, const GfName *ticket,
      struct timespec expires)
{
    AllowedWorker *a = find_allowed(step, serial);
    if (a == NULL) {
        step->allowed = realloc(step->allowed, (step->allowed_count + 1) *
                                                   sizeof(AllowedWorker));
        if (step->allowed == NULL) {
            abort();
        }
        a = &step->allowed[step->allowed_count++];
        a->serial = serial;
    }
    a->ticket = *ticket;
    a->expires = expires;
}

/* Records that advice denied a worker for the step, now. */
static void
deny(Step *step, uint32_t serial, struct timespec now)
{
    if (is_denied(step, serial)) {
        return;
    }
    step->denied =
        realloc(step->denied, (step->denied_count + 1) * sizeof(uint32_t));
    if (step->denied == NULL) {
        abort();
    }
    step->denied[step->denied_count++] = serial;
    step->denied_at = now;
}

/* Handles the outcome of a request for advice and marks its caller as free;
 * caller, job, occurrence and step_number are those of the order. With an
 * answer, the workers that it names get tickets, used until TICKET_MARGIN_MS
 * before valid_ms have passed. All others that were asked about are denied:
 * they are not asked about again, since the answer for a step does not change,
 * unless CellAdvice_Ask finds no other worker. tickets stays the caller's. */
void
GfCell_AdviceDone(GfCell *cell, const GfName *caller, const GfName *job,
                  uint32_t occurrence, uint32_t step_number, bool answered,
                  const GfTicket *tickets, size_t count, int64_t valid_ms)
{
    struct timespec now = GfClock_Now(cell->clock);
    GfCallers_End(cell->callers, caller, answered, now);
    cell->dirty = true;
    Job *j = CellJob_Find(cell, job);
    Step *step = j == NULL ? NULL : CellJob_Step(j, occurrence, step_number);
    if (step == NULL || !step->asking) {
        return;
    }
    step->asking = false;
    step->unused_answers++;
    GfMetrics_Observe(GF_HISTOGRAM_ADVICE, GfTime_DiffMs(now, step->asked_at));
    if (!answered || !CellJob_Active(j)) {
        return;
    }
    struct timespec expires = GfTime_AddMs(now, valid_ms - TICKET_MARGIN_MS);
    for (size_t i = 0; i < step->asked_count; i++) {
        Worker *w = CellWorker_Find(cell, step->asked[i]);
        size_t t = 0;
        while (w != NULL && t < count &&
               !GfName_Equal(&tickets[t].worker, &w->info.id)) {
            t++;
        }
        if (w != NULL && t < count) {
            allow(step, w->serial, &tickets[t].ticket, expires);
        }
        else if (w != NULL) {
            deny(step, w->serial, now);
        }
    }
    step->asked_count = 0;
}
