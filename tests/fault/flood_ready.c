/* An entry of a cell that keeps all readiness checks that clients send ahead
 * without reading the answers, until its memory is used up. Readiness checks
 * are answered apart from callers' requests. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 20
#define BYTES (20UL * 1000 * 1000)

#define CHECK "GET /v1/ready HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "readiness, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(CHECK)},
    {.name = "readiness, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(CHECK)},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_ready(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"readiness checks unread", test_flood_ready}};

SUITE_MAIN("flood_ready", TESTS)
