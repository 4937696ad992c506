/* An entry of a cell that keeps chunked bodies far over the limit, whose
 * lengths are not known before. What arrives in one read is kept before it is
 * checked, and the kernel keeps what arrives meanwhile. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 300
#define BYTES (5UL * 1000 * 1000)
#define POST                                                                  \
    "POST /quick/00000000000000aa HTTP/1.1\r\n"                               \
    "Host: jobs.example\r\nX-Api-Key: key-desk\r\n"

static const FloodPlay PLAYS[] = {
    {.name = "one chunk, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Transfer-Encoding: chunked\r\n\r\n4c4b40\r\n"),
     FLOOD_UNIT("x")},
    {.name = "small chunks, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Transfer-Encoding: chunked\r\n\r\n"),
     FLOOD_UNIT("10\r\n0123456789abcdef\r\n")},
    {.name = "one chunk, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Transfer-Encoding: chunked\r\n\r\n4c4b40\r\n"),
     FLOOD_UNIT("x")},
    {.name = "small chunks, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD(POST "Transfer-Encoding: chunked\r\n\r\n"),
     FLOOD_UNIT("10\r\n0123456789abcdef\r\n")},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_chunked_bodies(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"chunked bodies", test_flood_chunked_bodies}};

SUITE_MAIN("flood_chunked_bodies", TESTS)
