/* Runs an entry of a cell that is owned by a token: wires the platform's
 * adapters to the entry, and stops it as planned. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "cli.h"
#include "guavaflow/cell_entry.h"
#include "guavaflow/http.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/server.h"
#include "platform.h"

#define PART "entry"
#define MS_PER_S 1000
/* The balancer asks once a second and takes an entry out after two misses. */
#define LEAVE_BALANCER_MS 3200
/* Time kept before the platform kills a process that is stopping. */
#define STOP_MARGIN_MS 700
#define STOP_CHECK_MS 100
#define METRICS_BODY_BYTES 1024
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

typedef struct {
    struct event_base *base;
    const GfCellEntrySettings *settings;
    GfCellEntry *entry;
    PlatformFront *front;
    GfServer *metrics;
    struct event *stop_timer;
    struct timespec stop_began_at;
    bool stopping;
} Process;

/* Ends the loop once callers have left, or when the time for it is over. */
static void
on_stop_check(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Process *p = arg;
    int64_t ms =
        GfTime_DiffMs(GfClock_Now(GfClock_System()), p->stop_began_at);
    int64_t longest =
        (int64_t)(p->settings->stop_grace_s * MS_PER_S) - STOP_MARGIN_MS;
    bool idle = PlatformFront_OpenExchanges(p->front) == 0;
    if (ms >= longest || (ms >= LEAVE_BALANCER_MS && idle)) {
        GfLog(GF_LOG_INFO, PART, "stopped after_ms=%lld open=%d",
              (long long)ms, PlatformFront_OpenExchanges(p->front));
        event_base_loopexit(p->base, NULL);
    }
}

/* Begins a planned stop. */
static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Process *p = arg;
    if (p->stopping) {
        return;
    }
    p->stopping = true;
    p->stop_began_at = GfClock_Now(GfClock_System());
    GfCellEntry_BeginStop(p->entry);
    PlatformFront_BeginDrain(p->front);
    struct timeval tv = GfTime_Interval(STOP_CHECK_MS);
    event_add(p->stop_timer, &tv);
}

/* Notes that the settings changed. What this process uses of them holds for
 * its lifetime. */
static void
on_reload(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    GfLog(GF_LOG_INFO, PART, "reload asked for, settings are kept");
}

/* What operators may ask an entry, as JSON. */
typedef struct {
    const char *path;
    json_t *(*describe)(const GfCellEntry *entry);
} View;

static const View VIEWS[] = {
    {"/state", GfCellEntry_Describe},
    {"/v1/admin/members", GfCellEntry_DescribeMembers},
    {"/v1/admin/control", GfCellEntry_DescribeControl},
};

/* Finds what is served under a path, or returns NULL. */
static const View *
find_view(const char *path)
{
    for (size_t i = 0; i < sizeof(VIEWS) / sizeof(VIEWS[0]); i++) {
        if (strcmp(path, VIEWS[i].path) == 0) {
            return &VIEWS[i];
        }
    }
    return NULL;
}

/* Serves counters and, for operators, the state of this entry. */
static void
on_metrics(void *ctx, GfExchange *exchange)
{
    const Process *p = ctx;
    const char *path = GfExchange_Path(exchange);
    const View *view = find_view(path);
    if (strcmp(path, "/metrics") == 0) {
        GfCellEntry_UpdateMetrics(p->entry);
        GfMetrics_Set(GF_METRIC_LOG_LINES_LEFT_OUT, GfLog_LeftOut());
        GfStr text = GfMetrics_Expose();
        GfExchange_Reply(exchange, STATUS_OK, "text/plain; version=0.0.4",
                         text.data, text.len);
        GfStr_Clear(&text);
    }
    else if (view != NULL) {
        GfExchange_ReplyJson(exchange, STATUS_OK, view->describe(p->entry));
    }
    else {
        GfExchange_Reply(exchange, STATUS_NOT_FOUND, "text/plain", "", 0);
    }
}

/* Opens the servers. */
static bool
open_servers(Process *p, GfError *error)
{
    p->front = PlatformFront_Create(p->base, p->entry, &p->settings->front_at,
                                    &p->settings->ready_at, error);
    if (p->front == NULL) {
        return false;
    }
    if (p->settings->metrics_port > 0) {
        p->metrics = GfServer_Create(p->base, p->settings->peer_at.address,
                                     (uint16_t)p->settings->metrics_port,
                                     METRICS_BODY_BYTES, on_metrics, p, error);
        return p->metrics != NULL;
    }
    return true;
}

/* Runs the loop until a planned stop has ended. */
static void
run_loop(Process *p)
{
    struct event *term = evsignal_new(p->base, SIGTERM, on_stop, p);
    struct event *interrupt = evsignal_new(p->base, SIGINT, on_stop, p);
    struct event *reload = evsignal_new(p->base, SIGHUP, on_reload, p);
    p->stop_timer =
        event_new(p->base, -1, EV_PERSIST | EV_TIMEOUT, on_stop_check, p);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_add(reload, NULL);
    event_base_dispatch(p->base);
    event_free(term);
    event_free(interrupt);
    event_free(reload);
    event_free(p->stop_timer);
}

/* Runs an entry with the given settings; returns the exit code. */
int
Cli_RunCellEntry(const GfCellEntrySettings *settings)
{
    GfError error;
    int code = 0;
    GfLog_SetHost(settings->member);
    GfLog_UseStandardOutput();
    Process p = {.base = event_base_new(), .settings = settings};
    GfHttp *http = GfHttp_Create(p.base);
    GfTable *table = PlatformTable_Create(http, settings->store_at.address,
                                          (uint16_t)settings->store_at.port);
    GfCommands *commands = PlatformCommands_Create(
        http, settings->advice_at.address, (uint16_t)settings->advice_at.port,
        GfClock_System());
    p.entry = GfCellEntry_Create(p.base, settings, GfClock_System(), table,
                                 commands, PlatformDecoder(), &error);
    if (p.entry == NULL || !open_servers(&p, &error)) {
        code = Cli_Fail(&error);
    }
    else {
        run_loop(&p);
    }
    GfServer_Destroy(p.metrics);
    PlatformFront_Destroy(p.front);
    /* The process ends here: calls under way would still refer to the entry,
     * so its memory is left to the system. */
    return code;
}
