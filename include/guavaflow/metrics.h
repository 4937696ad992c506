/* Counters, gauges and histograms of one process, exported in the Prometheus
 * text format. The names and descriptions that are exported stand in
 * metrics.c. Values are not synchronized: one thread uses them. */
#ifndef GUAVAFLOW_METRICS_H
#define GUAVAFLOW_METRICS_H

#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

/* Counters and gauges. A counter only grows; a gauge is set to the current
 * value. */
typedef enum {
    GF_METRIC_REQUESTS,
    GF_METRIC_REQUESTS_SERVED,
    GF_METRIC_REQUESTS_REFUSED,
    GF_METRIC_REQUESTS_UNKNOWN,
    GF_METRIC_REQUEST_RETRIES,
    GF_METRIC_FORWARDED,
    GF_METRIC_UNAUTHENTICATED,
    GF_METRIC_JOBS_ACCEPTED,
    GF_METRIC_TASKS_PLACED,
    GF_METRIC_TASKS_REFUSED,
    GF_METRIC_TASKS_UNCONFIRMED,
    GF_METRIC_TASKS_COMPLETED,
    GF_METRIC_TASKS_FAILED,
    GF_METRIC_LEASES_GRANTED,
    GF_METRIC_LEASES_REFUSED,
    GF_METRIC_TERMS,
    GF_METRIC_FENCES,
    GF_METRIC_STORE_COMMITS,
    GF_METRIC_STORE_FAILURES,
    GF_METRIC_HEARTBEATS,
    GF_METRIC_HEARTBEAT_BYTES,
    GF_METRIC_CONNECTIONS_REPLACED,
    GF_METRIC_CONTROL_VERSION,
    GF_METRIC_CONTROL_CONFIRMED,
    GF_METRIC_CONTROL_NEWEST,
    GF_METRIC_CONTROL_WATCH_AGE_MS,
    GF_METRIC_CONTROL_IGNORED,
    GF_METRIC_STORE_UNREACHABLE,
    GF_METRIC_MEMBERS_IN_CONTACT,
    GF_METRIC_RACKS_HELD,
    GF_METRIC_RACKS_WITHOUT_HOLDER,
    GF_METRIC_PARTITIONS_OWNED,
    GF_METRIC_TASKS_WAITING,
    GF_METRIC_TASKS_RUNNING,
    GF_METRIC_SERVICES_BELOW_COUNT,
    GF_METRIC_LOOP_LAG_MAX_MS,
    GF_METRIC_JOBS_KNOWN,
    GF_METRIC_STEPS_WAITING,
    GF_METRIC_WORKERS_IN_CONTACT,
    GF_METRIC_OWNER_TOKEN,
    GF_METRIC_TASKS_PREEMPTED,
    GF_METRIC_WORKERS_SLOW,
    GF_METRIC_TASKS_MOVED_OFF_SLOW,
    GF_METRIC_ADVICE_ASKED,
    GF_METRIC_LOG_LINES_DROPPED,
    GF_METRIC_JOBS_SET_BACK,
    GF_METRIC_FORECAST_WAIT_MS,
    GF_METRIC_INTERFERENCE_PAIRS,
    GF_METRIC_BACKFILL_SHARED,
    GF_METRIC_BACKFILL_PACED,
    GF_METRIC_BACKFILL_MOVED,
    GF_METRIC_ROWS_SET_APART,
    GF_METRIC_COMPLETIONS_UNREAD,
    GF_METRIC_LEASES_OUTLIVED,
    GF_METRIC_REQUESTS_UNREAD,
    GF_METRIC_CONNECTIONS_EVICTED,
    GF_METRIC_ACCEPT_FAILURES,
    GF_METRICS
} GfMetric;

/* Histograms of durations in milliseconds. */
typedef enum {
    GF_HISTOGRAM_ACCEPT,    /* from the arrival of a job to its answer */
    GF_HISTOGRAM_STEP_WAIT, /* from a step being runnable to its start */
    GF_HISTOGRAM_JOB,      /* from the acceptance of a job to its completion */
    GF_HISTOGRAM_COMMIT,   /* one transaction of the cell's owner */
    GF_HISTOGRAM_TAKEOVER, /* from a new token to the start of scheduling */
    GF_HISTOGRAM_ADVICE,   /* from a request for advice to its answer */
    /* The part of a step's wait that has one cause, of steps that waited for
     * it; in the order of the cell's causes. */
    GF_HISTOGRAM_WAIT_ROUND,
    GF_HISTOGRAM_WAIT_DUE,
    GF_HISTOGRAM_WAIT_UNCERTAIN,
    GF_HISTOGRAM_WAIT_LIMIT,
    GF_HISTOGRAM_WAIT_CALLER,
    GF_HISTOGRAM_WAIT_ADVICE,
    GF_HISTOGRAM_WAIT_CAPACITY,
    GF_HISTOGRAMS
} GfHistogram;

void GfMetrics_Observe(GfHistogram histogram, int64_t ms);
void GfMetrics_CountRefusal(GfErrorKind kind);
void GfMetrics_Add(GfMetric metric, uint64_t amount);
void GfMetrics_Set(GfMetric metric, uint64_t value);
uint64_t GfMetrics_Get(GfMetric metric);
GfStr GfMetrics_Format(void);

#endif
