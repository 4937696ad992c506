/* Runs an entry of a cell (see cell_settings.h): connects it to the platform's
 * adapters, serves metrics and state, and stops it gracefully on SIGTERM and
 * SIGINT. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "cli.h"
#include "guavaflow/cell_entry.h"
#include "guavaflow/http.h"
#include "guavaflow/listener.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/server.h"
#include "platform.h"

#define PART "entry"
#define MS_PER_S 1000
/* Shortest time from the stop signal until the process exits, unless the grace
 * period ends sooner: the load balancer checks readiness once a second and
 * stops sending callers to an entry after two failed checks. */
#define BALANCER_REMOVAL_MS 3200
/* The process exits this long before the platform would kill it. */
#define STOP_MARGIN_MS 700
#define STOP_CHECK_MS 100 /* period of on_stop_check */
#define METRICS_BODY_BYTES 1024
#define METRICS_CONNECTIONS 64
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

/* The running entry and its servers. metrics is NULL if not served;
 * stop_started_at is set once stopping is true. */
typedef struct {
    struct event_base *base;
    const GfCellEntrySettings *settings;
    GfCellEntry *entry;
    PlatformFront *front;
    GfServer *metrics;
    struct event *stop_timer;
    struct timespec stop_started_at;
    bool stopping;
} EntryProcess;

/* Timer during a graceful stop. Ends the event loop once no call is open and
 * the balancer has had time to remove this entry, or when the grace period of
 * the platform is nearly over. */
static void
on_stop_check(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EntryProcess *process = arg;
    int64_t elapsed_ms =
        GfTime_DiffMs(GfClock_Now(GfClock_System()), process->stop_started_at);
    int64_t limit_ms =
        (int64_t)(process->settings->stop_grace_s * MS_PER_S) - STOP_MARGIN_MS;
    bool idle = PlatformFront_OpenExchanges(process->front) == 0;
    if (elapsed_ms >= limit_ms ||
        (elapsed_ms >= BALANCER_REMOVAL_MS && idle)) {
        GfLog(GF_LOG_INFO, PART, "stopped after_ms=%lld open=%d",
              (long long)elapsed_ms,
              PlatformFront_OpenExchanges(process->front));
        event_base_loopexit(process->base, NULL);
    }
}

/* Handles SIGTERM and SIGINT: starts a graceful stop. Further signals are
 * ignored. */
static void
on_stop_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EntryProcess *process = arg;
    if (process->stopping) {
        return;
    }
    process->stopping = true;
    process->stop_started_at = GfClock_Now(GfClock_System());
    GfCellEntry_BeginStop(process->entry);
    PlatformFront_BeginDrain(process->front);
    struct timeval tv = GfTime_ToTimeval(STOP_CHECK_MS);
    event_add(process->stop_timer, &tv);
}

/* Handles SIGHUP, by which the platform says that the settings changed. They
 * are read only at startup, so nothing is reloaded. */
static void
on_reload_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    GfLog(GF_LOG_INFO, PART, "reload signal ignored, settings unchanged");
}

/* A path under which a JSON document for operators is served. */
typedef struct {
    const char *path;
    json_t *(*describe)(const GfCellEntry *entry);
} StateView;

static const StateView STATE_VIEWS[] = {
    {"/state", GfCellEntry_Describe},
    {"/v1/admin/members", GfCellEntry_DescribeMembers},
    {"/v1/admin/control", GfCellEntry_DescribeControl},
};

/* Returns the view that is served under a path, or NULL. */
static const StateView *
find_state_view(const char *path)
{
    for (size_t i = 0; i < sizeof(STATE_VIEWS) / sizeof(STATE_VIEWS[0]); i++) {
        if (strcmp(path, STATE_VIEWS[i].path) == 0) {
            return &STATE_VIEWS[i];
        }
    }
    return NULL;
}

/* Handles a request on the metrics port: /metrics and the paths of
 * STATE_VIEWS. */
static void
on_metrics_request(void *ctx, GfExchange *exchange)
{
    const EntryProcess *process = ctx;
    const char *path = GfExchange_Path(exchange);
    const StateView *view = find_state_view(path);
    if (strcmp(path, "/metrics") == 0) {
        GfCellEntry_UpdateMetrics(process->entry);
        GfMetrics_Set(GF_METRIC_LOG_LINES_DROPPED, GfLog_DroppedLines());
        GfStr text = GfMetrics_Format();
        GfExchange_Reply(exchange, STATUS_OK, "text/plain; version=0.0.4",
                         text.data, text.len);
        GfStr_Clear(&text);
    }
    else if (view != NULL) {
        GfExchange_ReplyJson(exchange, STATUS_OK,
                             view->describe(process->entry));
    }
    else {
        GfExchange_Reply(exchange, STATUS_NOT_FOUND, "text/plain", "", 0);
    }
}

/* Opens the servers for callers and readiness checks and, if metrics_port is
 * set, the one for metrics. Returns false with the error set on failure; the
 * caller destroys what was opened. */
static bool
open_servers(EntryProcess *process, GfError *error)
{
    process->front = PlatformFront_Create(process->base, process->entry,
                                          process->settings, error);
    if (process->front == NULL) {
        return false;
    }
    if (process->settings->metrics_port > 0) {
        process->metrics = GfServer_Create(
            process->base, process->settings->peer_endpoint.address,
            (uint16_t)process->settings->metrics_port, METRICS_BODY_BYTES,
            on_metrics_request, process, error);
        if (process->metrics == NULL) {
            return false;
        }
        GfServer_SetLimits(
            process->metrics,
            &(GfServerLimits){
                .max_connections = GfListener_MaxConnections(
                    METRICS_CONNECTIONS, GF_LISTENER_SMALL_SHARE)});
    }
    return true;
}

/* Runs the event loop until a graceful stop is finished. */
static void
run_loop(EntryProcess *process)
{
    struct event *term =
        evsignal_new(process->base, SIGTERM, on_stop_signal, process);
    struct event *interrupt =
        evsignal_new(process->base, SIGINT, on_stop_signal, process);
    struct event *reload =
        evsignal_new(process->base, SIGHUP, on_reload_signal, process);
    process->stop_timer = event_new(process->base, -1, EV_PERSIST | EV_TIMEOUT,
                                    on_stop_check, process);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_add(reload, NULL);
    event_base_dispatch(process->base);
    event_free(term);
    event_free(interrupt);
    event_free(reload);
    event_free(process->stop_timer);
}

/* Runs an entry with the settings, which stay owned by the caller, until it is
 * stopped. Returns the exit code. */
int
Cli_RunCellEntry(const GfCellEntrySettings *settings)
{
    GfError error;
    int code = 0;
    GfLog_SetProcessName(settings->member);
    GfLog_UseStandardOutput();
    EntryProcess process = {.base = event_base_new(), .settings = settings};
    GfHttp *http = GfHttp_Create(process.base);
    GfTable *table = PlatformTable_Create(
        http, settings->store_endpoint.address,
        (uint16_t)settings->store_endpoint.port, GfClock_System());
    GfCommands *commands = PlatformCommands_Create(
        http, settings->advice_endpoint.address,
        (uint16_t)settings->advice_endpoint.port, GfClock_System());
    process.entry =
        GfCellEntry_Create(process.base, settings, GfClock_System(), table,
                           commands, PlatformDecoder(), &error);
    if (process.entry == NULL || !open_servers(&process, &error)) {
        code = Cli_PrintError(&error);
    }
    else {
        run_loop(&process);
    }
    GfServer_Destroy(process.metrics);
    PlatformFront_Destroy(process.front);
    /* The entry and its clients are not freed: calls still open refer to them,
     * and the process exits now. */
    return code;
}
