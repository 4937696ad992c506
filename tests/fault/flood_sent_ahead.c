/* An entry of a cell whose memory is used up by many connections that each
 * send less ahead than one body may have: what counts is the sum over all of
 * them. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 300
#define BYTES (900UL * 1000)
#define NO_ROUTE "GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "sent ahead, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(NO_ROUTE)},
    {.name = "sent ahead, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(NO_ROUTE)},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_sent_ahead(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {{"many connections", test_flood_sent_ahead}};

SUITE_MAIN("flood_sent_ahead", TESTS)
