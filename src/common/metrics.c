#include "guavaflow/metrics.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define EXPOSITION_BYTES 16384

typedef struct {
    const char *name;
    const char *type;
    const char *help;
} Description;

#define COUNTER "counter"
#define GAUGE "gauge"

static const Description DESCRIPTIONS[GF_METRICS] = {
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
};

static uint64_t values[GF_METRICS];

/* Adds to a counter. */
void
GfMetrics_Add(GfMetric metric, uint64_t amount)
{
    assert(metric < GF_METRICS);
    values[metric] += amount;
}

/* Sets a gauge. */
void
GfMetrics_Set(GfMetric metric, uint64_t value)
{
    assert(metric < GF_METRICS);
    values[metric] = value;
}

/* Returns a value. */
uint64_t
GfMetrics_Get(GfMetric metric)
{
    assert(metric < GF_METRICS);
    return values[metric];
}

/* Returns all values as a text; the caller clears it. */
GfStr
GfMetrics_Expose(void)
{
    char *text = malloc(EXPOSITION_BYTES);
    if (text == NULL) {
        abort();
    }
    size_t len = 0;
    for (int i = 0; i < GF_METRICS && len < EXPOSITION_BYTES; i++) {
        const Description *d = &DESCRIPTIONS[i];
        int n =
            snprintf(text + len, EXPOSITION_BYTES - len,
                     "# HELP guavaflow_%s %s\n# TYPE guavaflow_%s %s\n"
                     "guavaflow_%s %" PRIu64 "\n",
                     d->name, d->help, d->name, d->type, d->name, values[i]);
        len += n > 0 ? (size_t)n : 0;
    }
    assert(len < EXPOSITION_BYTES);
    return (GfStr){.len = len, .data = text};
}
