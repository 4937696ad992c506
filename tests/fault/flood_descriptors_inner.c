/* An entry of a cell that spins and stops serving when clients use up its
 * descriptors with connections that never complete a request, at the
 * ports that only other parts of the system use. Its own calls to the store
 * and to workers need descriptors, too, and each failed attempt to accept a
 * connection was logged. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 400
#define DESCRIPTORS 300
#define MAX_LOG_BYTES (1000L * 1000)
#define HALF_LINE "GET /metrics"
/* Half of the mark of a record. */
#define HALF_MARK "\x80\x00"

static const FloodPlay PLAYS[] = {
    {.name = "half marks, peer port",
     .port = FLOOD_PEER,
     .connections = CONNECTIONS,
     .bytes = sizeof(HALF_MARK) - 1,
     FLOOD_UNIT(HALF_MARK),
     .descriptors = DESCRIPTORS,
     .max_log_bytes = MAX_LOG_BYTES},
    {.name = "half lines, metrics port",
     .port = FLOOD_METRICS,
     .connections = CONNECTIONS,
     .bytes = sizeof(HALF_LINE) - 1,
     FLOOD_UNIT(HALF_LINE),
     .descriptors = DESCRIPTORS,
     .max_log_bytes = MAX_LOG_BYTES},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_descriptors_inner(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"descriptors", test_flood_descriptors_inner}};

SUITE_MAIN("flood_descriptors_inner", TESTS)
