#include "guavaflow/listener.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "guavaflow/clock.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "listener"
#define BACKLOG 128
/* Pause after a connection could not be accepted, as when no descriptor is
 * left. */
#define RETRY_MS 100
/* Shortest time between two log lines on such failures. */
#define LOG_INTERVAL_MS 10000

struct GfListener {
    struct evconnlistener *socket;
    GfListenerCallback callback;
    void *ctx;
    struct event *retry_timer;
    struct event *log_timer; /* pending while no further line is due */
    uint16_t port;
};

/* Callback of libevent for a new connection. */
static void
on_accept(struct evconnlistener *socket, evutil_socket_t fd,
          struct sockaddr *address, int len, void *arg)
{
    (void)socket;
    (void)address;
    (void)len;
    GfListener *listener = arg;
    listener->callback(listener->ctx, fd);
}

/* Callback of libevent for a connection that could not be accepted. The
 * socket stays readable, so accepting is paused for RETRY_MS. */
static void
on_error(struct evconnlistener *socket, void *arg)
{
    GfListener *listener = arg;
    int code = EVUTIL_SOCKET_ERROR();
    GfMetrics_Add(GF_METRIC_ACCEPT_FAILURES, 1);
    evconnlistener_disable(socket);
    struct timeval retry = GfTime_ToTimeval(RETRY_MS);
    evtimer_add(listener->retry_timer, &retry);
    if (!evtimer_pending(listener->log_timer, NULL)) {
        struct timeval interval = GfTime_ToTimeval(LOG_INTERVAL_MS);
        evtimer_add(listener->log_timer, &interval);
        GfLog(GF_LOG_WARNING, PART,
              "connection not accepted port=%u cause=\"%s\"", listener->port,
              evutil_socket_error_to_string(code));
    }
}

/* Timer callback: accepts connections again after a failure. */
static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfListener *listener = arg;
    evconnlistener_enable(listener->socket);
}

/* Timer callback: allows the next log line. */
static void
on_log_interval(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
}

/* Sets the sizes of the kernel's buffers. Connections take them over from the
 * listening socket. */
static void
set_buffer_sizes(evutil_socket_t fd, const GfListenerConfig *config)
{
    int receive = config->receive_buffer_bytes;
    int send = config->send_buffer_bytes;
    if ((receive > 0 && setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive,
                                   sizeof(receive)) != 0) ||
        (send > 0 &&
         setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof(send)) != 0)) {
        GfLog(GF_LOG_WARNING, PART,
              "socket buffers left at their default port=%u", config->port);
    }
}

/* Opens a listening socket; callback gets ctx and each connection. Returns
 * NULL and sets error to GF_BAD_CONFIG if the address is malformed or cannot
 * be bound. Borrows base; GfListener_Destroy frees the listener. */
GfListener *
GfListener_Create(struct event_base *base, const GfListenerConfig *config,
                  GfListenerCallback callback, void *ctx, GfError *error)
{
    assert(base != NULL && config != NULL && callback != NULL);
    struct sockaddr_in sin;
    memset(&sin, 0, sizeof(sin));
    sin.sin_family = AF_INET;
    sin.sin_port = htons(config->port);
    if (inet_pton(AF_INET, config->address, &sin.sin_addr) != 1) {
        GfError_Set(error, GF_BAD_CONFIG, "%s is not an IPv4 address",
                    config->address);
        return NULL;
    }
    GfListener *listener = calloc(1, sizeof(*listener));
    if (listener == NULL) {
        abort();
    }
    listener->callback = callback;
    listener->ctx = ctx;
    listener->port = config->port;
    listener->socket = evconnlistener_new_bind(
        base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
    if (listener->socket == NULL) {
        GfError_Set(error, GF_BAD_CONFIG, "cannot listen on %s port %u",
                    config->address, config->port);
        free(listener);
        return NULL;
    }
    set_buffer_sizes(evconnlistener_get_fd(listener->socket), config);
    evconnlistener_set_error_cb(listener->socket, on_error);
    listener->retry_timer = evtimer_new(base, on_retry, listener);
    listener->log_timer = evtimer_new(base, on_log_interval, listener);
    return listener;
}

/* Accepts no connection until GfListener_Resume. */
void
GfListener_Pause(GfListener *listener)
{
    evtimer_del(listener->retry_timer);
    evconnlistener_disable(listener->socket);
}

/* Accepts connections again, after a pause and after a failure. */
void
GfListener_Resume(GfListener *listener)
{
    evtimer_del(listener->retry_timer);
    evconnlistener_enable(listener->socket);
}

/* Closes the listening socket and frees the listener; NULL is allowed. */
void
GfListener_Destroy(GfListener *listener)
{
    if (listener == NULL) {
        return;
    }
    event_free(listener->retry_timer);
    event_free(listener->log_timer);
    evconnlistener_free(listener->socket);
    free(listener);
}

/* Returns how many connections a server may have open: the wanted number, at
 * most one in share of the descriptors of the process. The others are for
 * other servers and for the calls that the process makes. */
uint32_t
GfListener_MaxConnections(uint32_t wanted, uint32_t share)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur / share >= wanted) {
        return wanted;
    }
    return limit.rlim_cur < share ? 1 : (uint32_t)(limit.rlim_cur / share);
}
