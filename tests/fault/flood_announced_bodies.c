/* An entry of a cell that reads bodies far over the limit although their
 * lengths are announced. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 300
#define BYTES (5UL * 1000 * 1000)
#define POST                                                                  \
    "POST /quick/00000000000000aa HTTP/1.1\r\n"                               \
    "Host: jobs.example\r\nX-Api-Key: key-desk\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "5 MB announced, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 5000000\r\n\r\n"),
     FLOOD_UNIT("x")},
    {.name = "100 GB announced, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 99999999999\r\n\r\n"),
     FLOOD_UNIT("x")},
    {.name = "5 MB announced, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 5000000\r\n\r\n"),
     FLOOD_UNIT("x")},
    {.name = "100 GB announced, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Content-Length: 99999999999\r\n\r\n"),
     FLOOD_UNIT("x")},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_announced_bodies(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"bodies over the limit", test_flood_announced_bodies}};

SUITE_MAIN("flood_announced_bodies", TESTS)
