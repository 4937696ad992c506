/* Malformed input of callers, peers and the platform. The test guards against
 * an entry that crashes, stops serving, or accepts what it can't carry out,
 * when it gets malformed requests, bodies beyond the limit, random bytes, or
 * an unusable host list. */
#include "scenario.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* Sends raw bytes to a port and returns the HTTP status of the answer; 0 if
 * there is none within 2 s. */
static int
send_raw(uint16_t port, const char *data, size_t len)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval limit = {.tv_sec = 2};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    int status = 0;
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0) {
        size_t done = 0;
        while (done < len) {
            ssize_t n = send(fd, data + done, len - done, MSG_NOSIGNAL);
            if (n <= 0) {
                break;
            }
            done += (size_t)n;
        }
        char answer[512] = {0};
        if (recv(fd, answer, sizeof(answer) - 1, 0) > 0) {
            sscanf(answer, "HTTP/1.%*d %d", &status);
        }
    }
    close(fd);
    return status;
}

/* Sends a request that must get a 4xx status and, if the body is JSON, an
 * answer of the given kind that says that nothing ran. */
static void
expect_refusal(Cluster *c, const char *path, const char *body,
               const char *kind)
{
    char text[4096];
    int len = snprintf(text, sizeof(text),
                       "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                       "%s\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n"
                       "%s",
                       path, CLUSTER_DESK_KEY, strlen(body), body);
    int status = send_raw(Cluster_CallerPort(c, 1), text, (size_t)len);
    json_t *parsed = json_loads(body, JSON_REJECT_DUPLICATES, NULL);
    if (parsed != NULL) {
        json_t *answer = Cluster_Call(c, Cluster_CallerPort(c, 1), "POST",
                                      path, CLUSTER_DESK_KEY, parsed, NULL);
        const char *got = json_string_value(json_object_get(answer, "kind"));
        CU_ASSERT_PTR_NOT_NULL_FATAL(got);
        CU_ASSERT_STRING_EQUAL(got, kind);
        CU_ASSERT_STRING_EQUAL(
            json_string_value(json_object_get(answer, "ran")), "no");
        CU_ASSERT_PTR_NOT_NULL(json_object_get(answer, "reason"));
        json_decref(answer);
    }
    CU_ASSERT_TRUE(status >= 400 && status < 500);
}

/* The entry refuses malformed input with a clear answer or closes the
 * connection, and then serves all requests. */
static void
test_bad_input(void)
{
    ClusterConfig config = scenario_config(29000);
    config.entries = 1;
    config.racks = 1;
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    expect_refusal(c, "/v1/jobs", "{", "bad_request");
    expect_refusal(c, "/v1/jobs", "[]", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"cores\": 1}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"mcores\": -5}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"mcores\": 1e99}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"count\": 100000000}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"class\": 7}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"class\": \"royal\"}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"gang\": \"yes\"}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"run_ms\": 0}", "bad_request");
    expect_refusal(c, "/v1/jobs", "{\"mcores\": 900000}", "never_fits");
    expect_refusal(c, "/v1/jobs", "{\"mcores\":1,\"mcores\":2}",
                   "bad_request");
    expect_refusal(c, "/v1/services/nosuch/requests", "{}", "not_found");
    expect_refusal(c, "/v1/services//requests", "{}", "not_found");
    expect_refusal(c, "/v2/anything", "{}", "not_found");
    uint16_t port = Cluster_CallerPort(c, 1);
    CU_ASSERT_EQUAL(send_raw(port, "nonsense\r\n\r\n", 12) / 100 == 2, 0);
    CU_ASSERT_EQUAL(send_raw(port, "\0\0\0\0\0\0\0\0", 8) / 100 == 2, 0);
    size_t big = 400000;
    char *large = malloc(big + 200);
    int head = snprintf(large, 200,
                        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: "
                        "%zu\r\n\r\n",
                        big);
    memset(large + head, 'x', big);
    int status = send_raw(port, large, (size_t)head + big);
    printf("oversized body: status %d\n", status);
    CU_ASSERT_TRUE(status == 0 || status == 413 || status == 400);
    memset(large, 'y', big);
    memcpy(large, "GET /", 5);
    CU_ASSERT_NOT_EQUAL(send_raw(port, large, big) / 100, 2);
    uint16_t peer = Cluster_PeerPort(c, 1);
    unsigned seed = 5;
    for (int i = 0; i < 200; i++) {
        char noise[64];
        for (size_t k = 0; k < sizeof(noise); k++) {
            seed = seed * 1103515245u + 12345u;
            noise[k] = (char)(seed >> 16);
        }
        /* A complete RPC record: the last fragment, of 60 bytes, with random
         * contents. */
        memcpy(noise, "\x80\x00\x00\x3c", 4);
        struct sockaddr_in sin = {.sin_family = AF_INET,
                                  .sin_port = htons(peer)};
        inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0) {
            send(fd, noise, sizeof(noise), MSG_NOSIGNAL);
        }
        close(fd);
    }
    free(large);
    json_decref(Cluster_Call(
        c, Cluster_PlatformPort(c), "POST", "/test/hosts", NULL,
        json_pack("{s:[{s:s},{s:s,s:s,s:i,s:s,s:s}]}", "hosts", "name",
                  "broken", "name", "x", "kind", "worker", "port", 99999999,
                  "address", "here", "state", "odd"),
        NULL));
    Cluster_Run(c, 2500);
    Cluster_SetLoad(c, 50, 10, 5);
    Cluster_Run(c, 1500);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 1000);
    size_t count = 0;
    Cluster_Calls(c, &count);
    CU_ASSERT_TRUE(count > 50);
    CU_ASSERT_EQUAL(scenario_count_calls(c, 0, INT64_MAX, "yes"), count);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    CU_ASSERT_FALSE(Cluster_EntryHasExited(c, 1));
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"bad input", test_bad_input}};

SUITE_MAIN("bad_input", TESTS)
