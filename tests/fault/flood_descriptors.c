/* An entry of a cell that spins and stops serving when clients use up its
 * descriptors with connections that never complete a request. Its own calls
 * to the store and to workers need descriptors, too, and each failed attempt
 * to accept a connection was logged. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 400
#define DESCRIPTORS 300
#define MAX_LOG_BYTES (1000L * 1000)
#define HALF_LINE "GET /quick/"

static const FloodPlay PLAYS[] = {
    {.name = "half lines, front",
     .port = FLOOD_FRONT,
     .connections = CONNECTIONS,
     .bytes = sizeof(HALF_LINE) - 1,
     FLOOD_UNIT(HALF_LINE),
     .descriptors = DESCRIPTORS,
     .max_log_bytes = MAX_LOG_BYTES},
    {.name = "half lines, ready address",
     .port = FLOOD_READY,
     .connections = CONNECTIONS,
     .bytes = sizeof(HALF_LINE) - 1,
     FLOOD_UNIT(HALF_LINE),
     .descriptors = DESCRIPTORS,
     .max_log_bytes = MAX_LOG_BYTES},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_descriptors(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {{"descriptors", test_flood_descriptors}};

SUITE_MAIN("flood_descriptors", TESTS)
