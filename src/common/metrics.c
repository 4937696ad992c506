#include "guavaflow/metrics.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Upper limit for the text of all metrics. */
#define EXPOSITION_BYTES 32768

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
    {"advice_asked_total", COUNTER, "Questions for advice."},
    {"log_lines_left_out", GAUGE, "Log lines over the bound."},
    {"interference_pairs", GAUGE, "Kinds of tasks that slow others down."},
    {"backfill_shared", GAUGE, "Workers where backfill runs beside serving."},
    {"backfill_paced_total", COUNTER, "Backfill tasks slowed for others."},
    {"backfill_moved_total", COUNTER, "Backfill tasks stopped for others."},
};

/* Inclusive upper bounds of the histogram buckets in milliseconds; one more
 * bucket holds everything above. */
static const int64_t BUCKET_BOUNDS_MS[] = {2,   5,   10,   25,   50,   100,
                                           250, 500, 1000, 2500, 5000, 10000};
#define BOUND_COUNT (sizeof(BUCKET_BOUNDS_MS) / sizeof(BUCKET_BOUNDS_MS[0]))

/* In the order of GfHistogram. */
static const char *const HISTOGRAM_NAMES[GF_HISTOGRAMS] = {
    "accept_ms", "step_wait_ms", "job_ms",
    "commit_ms", "takeover_ms",  "advice_ms"};

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
    const char *name = HISTOGRAM_NAMES[histogram];
    size_t len =
        (size_t)snprintf(text, size, "# TYPE guavaflow_%s histogram\n", name);
    uint64_t count = 0;
    for (size_t b = 0; b <= BOUND_COUNT && len < size; b++) {
        count += bucket_counts[histogram][b];
        char bound[24] = "+Inf";
        if (b < BOUND_COUNT) {
            snprintf(bound, sizeof(bound), "%" PRId64, BUCKET_BOUNDS_MS[b]);
        }
        len += (size_t)snprintf(text + len, size - len,
                                "guavaflow_%s_bucket{le=\"%s\"} %" PRIu64 "\n",
                                name, bound, count);
    }
    if (len < size) {
        len += (size_t)snprintf(text + len, size - len,
                                "guavaflow_%s_sum %" PRIu64
                                "\nguavaflow_%s_count %" PRIu64 "\n",
                                name, sums_ms[histogram], name, count);
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
    for (int i = 0; i < GF_HISTOGRAMS && len < EXPOSITION_BYTES; i++) {
        len += format_histogram(text + len, EXPOSITION_BYTES - len, i);
    }
    assert(len < EXPOSITION_BYTES);
    return (GfStr){.len = len, .data = text};
}
