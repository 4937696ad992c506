#include "guavaflow/metrics.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Upper limit for the text of all metrics. */
#define EXPOSITION_BYTES 32768
#define LABEL_BYTES 32

typedef struct {
    const char *name;
    const char *type;
    const char *help;
} MetricInfo;

#define COUNTER "counter"
#define GAUGE "gauge"

/* In the order of GfMetric. Operators' tools match these names and texts. */
static const MetricInfo METRIC_INFO[GF_METRICS] = {
    {"requests_total", COUNTER, "Requests to services taken in."},
    {"requests_served_total", COUNTER, "Requests answered by a target."},
    {"requests_refused_total", COUNTER, "Requests that did not run."},
    {"requests_unknown_total", COUNTER, "Requests with unknown outcome."},
    {"request_retries_total", COUNTER, "Further attempts for requests."},
    {"forwarded_total", COUNTER, "Requests passed to another entry."},
    {"unauthenticated_total", COUNTER, "Calls refused for their key."},
    {"jobs_accepted_total", COUNTER, "Jobs accepted."},
    {"tasks_placed_total", COUNTER, "Tasks started on workers."},
    {"tasks_refused_total", COUNTER, "Placements that found no room."},
    {"tasks_in_doubt_total", COUNTER, "Placements without an answer."},
    {"tasks_ended_total", COUNTER, "Tasks that ended well."},
    {"tasks_failed_total", COUNTER, "Tasks that failed."},
    {"leases_granted_total", COUNTER, "Lease grants taken."},
    {"leases_refused_total", COUNTER, "Lease calls refused by workers."},
    {"terms_total", COUNTER, "Terms begun on racks."},
    {"fences_total", COUNTER, "Leases replaced after lost answers."},
    {"store_commits_total", COUNTER, "Transactions sent to the store."},
    {"store_failures_total", COUNTER, "Store calls that failed."},
    {"beats_total", COUNTER, "Heartbeats sent."},
    {"beat_bytes_total", COUNTER, "Bytes of heartbeats sent."},
    {"connections_replaced_total", COUNTER, "Silent connections replaced."},
    {"control_version", GAUGE, "Control version in force."},
    {"control_confirmed", GAUGE, "1 if the control state is confirmed."},
    {"control_newest", GAUGE, "Newest control version that is known of."},
    {"control_watch_age_ms", GAUGE, "Age of what the control watch knows."},
    {"control_ignored_total", COUNTER, "Control documents not readable."},
    {"store_away", GAUGE, "1 if the store does not answer."},
    {"members_in_contact", GAUGE, "Other entries heard lately."},
    {"racks_held", GAUGE, "Racks with a term running here."},
    {"racks_without_holder", GAUGE, "Racks that no entry schedules."},
    {"partitions_owned", GAUGE, "Partitions owned here."},
    {"tasks_waiting", GAUGE, "Tasks that wait for room."},
    {"tasks_running", GAUGE, "Tasks running for jobs owned here."},
    {"services_below_count", GAUGE, "Service jobs below their count."},
    {"loop_lag_max_ms", GAUGE, "Longest time that the loop was held up."},
    {"jobs_known", GAUGE, "Jobs that the owner knows."},
    {"steps_waiting", GAUGE, "Steps that wait for workers."},
    {"workers_heard", GAUGE, "Workers that answered the last call."},
    {"owner_token", GAUGE, "Highest token of an owner known here."},
    {"tasks_preempted_total", COUNTER, "Tasks stopped for urgent ones."},
    {"workers_slow", GAUGE, "Workers believed slow or stuck."},
    {"tasks_moved_off_slow_total", COUNTER, "Tasks moved off slow workers."},
    {"advice_asked_total", COUNTER, "Questions for advice."},
    {"log_lines_left_out", GAUGE, "Log lines over the bound."},
    {"jobs_set_back_total", COUNTER, "Jobs served after others, for room."},
    {"forecast_wait_ms", GAUGE, "Longest wait that the owner forecasts."},
    {"interference_pairs", GAUGE, "Kinds of tasks that slow others down."},
    {"backfill_shared", GAUGE, "Workers where backfill runs beside serving."},
    {"backfill_paced_total", COUNTER, "Backfill tasks slowed for others."},
    {"backfill_moved_total", COUNTER, "Backfill tasks stopped for others."},
    {"rows_set_apart_total", COUNTER, "Jobs whose row the store refuses."},
    {"completions_unread_total", COUNTER, "Completions lost unread."},
    {"leases_outlived_total", COUNTER, "Workers with runs past a lease."},
    {"requests_unread_total", COUNTER, "Requests refused before their end."},
    {"connections_evicted_total", COUNTER, "Connections closed for others."},
    {"accept_failures_total", COUNTER, "Connections not accepted."},
};

/* Inclusive upper bounds of the histogram buckets in milliseconds; one more
 * bucket holds everything above. */
static const int64_t BUCKET_BOUNDS_MS[] = {2,   5,   10,   25,   50,   100,
                                           250, 500, 1000, 2500, 5000, 10000};
#define BOUND_COUNT (sizeof(BUCKET_BOUNDS_MS) / sizeof(BUCKET_BOUNDS_MS[0]))

/* cause tells histograms of the same name apart, which stand together; NULL:
 * the only one. */
typedef struct {
    const char *name;
    const char *cause;
} HistogramInfo;

/* In the order of GfHistogram. */
static const HistogramInfo HISTOGRAM_INFO[GF_HISTOGRAMS] = {
    {"accept_ms", NULL},
    {"step_wait_ms", NULL},
    {"job_ms", NULL},
    {"commit_ms", NULL},
    {"takeover_ms", NULL},
    {"advice_ms", NULL},
    {"step_wait_cause_ms", "round"},
    {"step_wait_cause_ms", "due"},
    {"step_wait_cause_ms", "doubt"},
    {"step_wait_cause_ms", "limit"},
    {"step_wait_cause_ms", "caller"},
    {"step_wait_cause_ms", "advice"},
    {"step_wait_cause_ms", "room"},
};

/* Why jobs are refused. A kind that leaves open whether the job is stored is
 * no refusal. */
static const GfErrorKind REFUSAL_KINDS[] = {
    GF_BAD_REQUEST, GF_UNAUTHENTICATED,   GF_NOT_FOUND,
    GF_NEVER_FITS,  GF_LIMIT_REACHED,     GF_BUSY,
    GF_NO_OWNER,    GF_STORE_UNAVAILABLE, GF_NOT_CONFIRMED};
#define REFUSAL_KIND_COUNT (sizeof(REFUSAL_KINDS) / sizeof(REFUSAL_KINDS[0]))

static uint64_t refusals[GF_ERROR_KINDS];

/* Counts of each bucket on its own; the export adds them up. */
static uint64_t bucket_counts[GF_HISTOGRAMS][BOUND_COUNT + 1];
static uint64_t sums_ms[GF_HISTOGRAMS];

static uint64_t values[GF_METRICS];

/* Records a duration of ms milliseconds in a histogram. A negative duration
 * counts in the lowest bucket and adds nothing to the sum. */
void
GfMetrics_Observe(GfHistogram histogram, int64_t ms)
{
    assert(histogram < GF_HISTOGRAMS);
    size_t bucket = 0;
    while (bucket < BOUND_COUNT && ms > BUCKET_BOUNDS_MS[bucket]) {
        bucket++;
    }
    bucket_counts[histogram][bucket]++;
    sums_ms[histogram] += ms > 0 ? (uint64_t)ms : 0;
}

/* Counts the answer to a submitted job by its kind; of these, the refusals
 * are exported. */
void
GfMetrics_CountRefusal(GfErrorKind kind)
{
    assert(kind < GF_ERROR_KINDS);
    refusals[kind]++;
}

/* Increases a counter by amount. */
void
GfMetrics_Add(GfMetric metric, uint64_t amount)
{
    assert(metric < GF_METRICS);
    values[metric] += amount;
}

/* Sets a gauge to its current value. */
void
GfMetrics_Set(GfMetric metric, uint64_t value)
{
    assert(metric < GF_METRICS);
    values[metric] = value;
}

/* Returns the current value of a counter or gauge. */
uint64_t
GfMetrics_Get(GfMetric metric)
{
    assert(metric < GF_METRICS);
    return values[metric];
}

/* Formats one histogram into text, which has size bytes, with cumulative
 * bucket counts as the format demands. Returns the length; size or more means
 * that the text was truncated. */
static size_t
format_histogram(char *text, size_t size, int histogram)
{
    const HistogramInfo *info = &HISTOGRAM_INFO[histogram];
    const char *name = info->name;
    size_t len = 0;
    if (histogram == 0 ||
        strcmp(HISTOGRAM_INFO[histogram - 1].name, name) != 0) {
        len = (size_t)snprintf(text, size, "# TYPE guavaflow_%s histogram\n",
                               name);
    }
    char label[LABEL_BYTES] = "";  /* beside the bound */
    char labels[LABEL_BYTES] = ""; /* alone */
    if (info->cause != NULL) {
        snprintf(label, sizeof(label), "cause=\"%s\",", info->cause);
        snprintf(labels, sizeof(labels), "{cause=\"%s\"}", info->cause);
    }
    uint64_t count = 0;
    for (size_t b = 0; b <= BOUND_COUNT && len < size; b++) {
        count += bucket_counts[histogram][b];
        char bound[24] = "+Inf";
        if (b < BOUND_COUNT) {
            snprintf(bound, sizeof(bound), "%" PRId64, BUCKET_BOUNDS_MS[b]);
        }
        len +=
            (size_t)snprintf(text + len, size - len,
                             "guavaflow_%s_bucket{%sle=\"%s\"} %" PRIu64 "\n",
                             name, label, bound, count);
    }
    if (len < size) {
        len += (size_t)snprintf(text + len, size - len,
                                "guavaflow_%s_sum%s %" PRIu64
                                "\nguavaflow_%s_count%s %" PRIu64 "\n",
                                name, labels, sums_ms[histogram], name, labels,
                                count);
    }
    return len;
}

/* Formats the refusals by reason; otherwise as format_histogram. */
static size_t
format_refusals(char *text, size_t size)
{
    size_t len = (size_t)snprintf(
        text, size,
        "# HELP guavaflow_jobs_refused_total Jobs refused, by reason.\n"
        "# TYPE guavaflow_jobs_refused_total counter\n");
    for (size_t i = 0; i < REFUSAL_KIND_COUNT && len < size; i++) {
        len += (size_t)snprintf(
            text + len, size - len,
            "guavaflow_jobs_refused_total{reason=\"%s\"} %" PRIu64 "\n",
            GfError_Name(REFUSAL_KINDS[i]), refusals[REFUSAL_KINDS[i]]);
    }
    return len;
}

/* Returns all metrics in the Prometheus text format; the caller frees the text
 * with GfStr_Clear. Aborts if out of memory. */
GfStr
GfMetrics_Format(void)
{
    char *text = malloc(EXPOSITION_BYTES);
    if (text == NULL) {
        abort();
    }
    size_t len = 0;
    for (int i = 0; i < GF_METRICS && len < EXPOSITION_BYTES; i++) {
        const MetricInfo *info = &METRIC_INFO[i];
        int n = snprintf(text + len, EXPOSITION_BYTES - len,
                         "# HELP guavaflow_%s %s\n# TYPE guavaflow_%s %s\n"
                         "guavaflow_%s %" PRIu64 "\n",
                         info->name, info->help, info->name, info->type,
                         info->name, values[i]);
        len += n > 0 ? (size_t)n : 0;
    }
    if (len < EXPOSITION_BYTES) {
        len += format_refusals(text + len, EXPOSITION_BYTES - len);
    }
    for (int i = 0; i < GF_HISTOGRAMS && len < EXPOSITION_BYTES; i++) {
        len += format_histogram(text + len, EXPOSITION_BYTES - len, i);
    }
    assert(len < EXPOSITION_BYTES);
    return (GfStr){.len = len, .data = text};
}
