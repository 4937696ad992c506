/* An entry of the first design whose memory is used up by clients at its port
 * for callers, with requests sent ahead without reading the answers, or with
 * bodies of which the last bytes are missing. */
#include "flood.h"
#include "scenario.h"

#define BASE_PORT 26500
#define SENT_AHEAD "GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
/* The limit of a body is 64 KB in the settings of the test. */
#define PARTIAL_BODY                                                          \
    "POST /v1/jobs HTTP/1.1\r\nHost: jobs.example\r\n"                        \
    "Content-Length: 65000\r\n\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "no route, callers",
     .connections = 20,
     .bytes = 20UL * 1000 * 1000,
     FLOOD_UNIT(SENT_AHEAD)},
    {.name = "sent ahead, callers",
     .connections = 300,
     .bytes = 900UL * 1000,
     FLOOD_UNIT(SENT_AHEAD)},
    {.name = "partial, callers",
     .connections = 300,
     .bytes = 64UL * 1000,
     FLOOD_HEAD(PARTIAL_BODY),
     FLOOD_UNIT("x")},
};

/* Checks that a job is accepted and that a health check is answered. */
static void
check_ordinary(uint16_t port)
{
    int job =
        Flood_Request(port, "POST", "/v1/jobs",
                      "Host: x\r\nAuthorization: Bearer " CLUSTER_DESK_KEY
                      "\r\nContent-Type: application/json\r\n",
                      "{\"count\":1,\"mcores\":100,\"run_ms\":10}");
    int health = Flood_Request(port, "GET", "/health", "Host: x\r\n", "");
    printf("\nordinary requests: job %d, health %d", job, health);
    CU_ASSERT_EQUAL(job, 202);
    CU_ASSERT_EQUAL(health, 200);
}

/* Starts a cluster of one entry, sends what the play says and checks the entry
 * while the connections are open. */
static void
play_callers(const FloodPlay *play)
{
    ClusterConfig config = scenario_config(BASE_PORT);
    config.entries = 1;
    config.racks = 1;
    Flood_LimitSanitizer();
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    FloodWatch watch = {
        .pid = Cluster_EntryPid(c, 1),
        .ports = {Cluster_CallerPort(c, 1), Cluster_PeerPort(c, 1)},
        .port_count = 2};
    FloodCrowd crowd;
    FloodCrowd_Send(&crowd, play, watch.ports[0], &watch);
    check_ordinary(watch.ports[0]);
    FloodWatch_Check(&watch, play);
    FloodCrowd_Close(&crowd);
    Cluster_Stop(c);
}

/* Sends each kind to an entry of its own. */
static void
test_flood_callers(void)
{
    for (size_t i = 0; i < sizeof(PLAYS) / sizeof(PLAYS[0]); i++) {
        play_callers(&PLAYS[i]);
    }
}

static const SuiteTest TESTS[] = {{"callers", test_flood_callers}};

SUITE_MAIN("flood_callers", TESTS)
