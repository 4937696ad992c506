/* An entry of a cell that keeps all requests that clients send ahead without
 * reading the answers, until its memory is used up. The paths have no route.
 * The server went on reading while an answer waited to be sent. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 20
#define BYTES (20UL * 1000 * 1000)

#define NO_ROUTE "GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "no route, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(NO_ROUTE)},
    {.name = "no route, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(NO_ROUTE)},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_unread_answers(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"answers unread", test_flood_unread_answers}};

SUITE_MAIN("flood_unread_answers", TESTS)
