/* An entry of a cell that keeps all requests that clients send ahead to its
 * metrics port without reading the answers, until its memory is used up. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 20
#define BYTES (20UL * 1000 * 1000)

#define NO_ROUTE "GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
#define METRICS "GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "no route, metrics port",
     .port = FLOOD_METRICS,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(NO_ROUTE)},
    {.name = "metrics, metrics port",
     .port = FLOOD_METRICS,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(METRICS)},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_metrics(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {{"metrics unread", test_flood_metrics}};

SUITE_MAIN("flood_metrics", TESTS)
