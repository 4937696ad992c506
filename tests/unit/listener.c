/* Listening sockets. The tests guard against a process that uses a whole
 * processor and writes endless log lines while it has no descriptor for
 * another connection, and against one that accepts none after that. */
#include "guavaflow/listener.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "guavaflow/metrics.h"
#include "suite.h"

#define PORT 31759
#define CLIENTS 8
#define LIMIT 64

static int accepted;

/* Counts a connection and closes it. */
static void
on_accept(void *ctx, evutil_socket_t fd)
{
    (void)ctx;
    accepted++;
    close(fd);
}

/* Runs the event loop for a time below 1000 ms. */
static void
run(struct event_base *base, int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};
    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

/* Opens a listener. */
static GfListener *
open_listener(struct event_base *base)
{
    GfListenerConfig config = {.address = "127.0.0.1",
                               .port = PORT,
                               .receive_buffer_bytes = 16384,
                               .send_buffer_bytes = 16384};
    GfError error;
    GfListener *listener =
        GfListener_Create(base, &config, on_accept, NULL, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    accepted = 0;
    return listener;
}

/* Opens connections to the listener. */
static void
connect_clients(int *fds)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    for (int i = 0; i < CLIENTS; i++) {
        fds[i] = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL(connect(fds[i], (struct sockaddr *)&sin, sizeof(sin)),
                        0);
    }
}

/* Without a free descriptor connections wait, and are accepted once there is
 * one; the attempts meanwhile are few. */
static void
test_no_descriptor_left(void)
{
    struct event_base *base = event_base_new();
    GfListener *listener = open_listener(base);
    int clients[CLIENTS];
    connect_clients(clients);
    struct rlimit before;
    getrlimit(RLIMIT_NOFILE, &before);
    struct rlimit limit = {LIMIT, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
    int others[LIMIT];
    int count = 0;
    while (count < LIMIT && (others[count] = dup(0)) >= 0) {
        count++;
    }
    uint64_t failures = GfMetrics_Get(GF_METRIC_ACCEPT_FAILURES);
    run(base, 500);
    CU_ASSERT_EQUAL(accepted, 0);
    failures = GfMetrics_Get(GF_METRIC_ACCEPT_FAILURES) - failures;
    CU_ASSERT_TRUE(failures >= 1 && failures <= 6);
    for (int i = 0; i < count; i++) {
        close(others[i]);
    }
    run(base, 500);
    CU_ASSERT_EQUAL(accepted, CLIENTS);
    setrlimit(RLIMIT_NOFILE, &before);
    for (int i = 0; i < CLIENTS; i++) {
        close(clients[i]);
    }
    GfListener_Destroy(listener);
    event_base_free(base);
}

/* A paused listener accepts no connection, and all that wait once it is
 * resumed. */
static void
test_pause(void)
{
    struct event_base *base = event_base_new();
    GfListener *listener = open_listener(base);
    GfListener_Pause(listener);
    int clients[CLIENTS];
    connect_clients(clients);
    run(base, 50);
    CU_ASSERT_EQUAL(accepted, 0);
    GfListener_Resume(listener);
    run(base, 50);
    CU_ASSERT_EQUAL(accepted, CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
        close(clients[i]);
    }
    GfListener_Destroy(listener);
    event_base_free(base);
}

/* A server takes its share of the descriptors at most. */
static void
test_share_of_descriptors(void)
{
    struct rlimit before;
    getrlimit(RLIMIT_NOFILE, &before);
    struct rlimit limit = {LIMIT, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
    CU_ASSERT_EQUAL(GfListener_MaxConnections(10, 4), 10);
    CU_ASSERT_EQUAL(GfListener_MaxConnections(1000, 4), LIMIT / 4);
    setrlimit(RLIMIT_NOFILE, &before);
}

/* An address that can't be bound is an error. */
static void
test_bad_address(void)
{
    struct event_base *base = event_base_new();
    GfListenerConfig config = {.address = "nowhere", .port = PORT};
    GfError error;
    CU_ASSERT_PTR_NULL(
        GfListener_Create(base, &config, on_accept, NULL, &error));
    config.address = "192.0.2.1";
    CU_ASSERT_PTR_NULL(
        GfListener_Create(base, &config, on_accept, NULL, &error));
    event_base_free(base);
}

static const SuiteTest TESTS[] = {
    {"no descriptor left", test_no_descriptor_left},
    {"pause", test_pause},
    {"share of descriptors", test_share_of_descriptors},
    {"bad address", test_bad_address}};

SUITE_MAIN("listener", TESTS)
