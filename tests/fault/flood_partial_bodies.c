/* An entry of a cell whose memory is used up by bodies within the limit, as
 * many connections send all but the last bytes and then wait. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 300
#define BYTES (999UL * 1000)
#define POST                                                                  \
    "POST /quick/00000000000000aa HTTP/1.1\r\n"                               \
    "Host: jobs.example\r\nX-Api-Key: key-desk\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "partial, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 1000000\r\n\r\n"),
     FLOOD_UNIT("x")},
    {.name = "partial, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 1000000\r\n\r\n"),
     FLOOD_UNIT("x")},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_partial_bodies(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"partial bodies", test_flood_partial_bodies}};

SUITE_MAIN("flood_partial_bodies", TESTS)
