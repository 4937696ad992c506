/* An entry of a cell whose memory is used up by records within the limit at
 * the port between entries, as many connections send most of one and then
 * wait. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 100
#define BYTES (4UL * 1000 * 1000)

/* A record of 7,000,000 bytes, the last of its fragments. */
static const FloodPlay PLAYS[] = {
    {.name = "partial records, peer port",
     .port = FLOOD_PEER,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_HEAD("\x80\x6a\xcf\xc0"),
     FLOOD_UNIT("x")},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_peer_records(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {
    {"partial records", test_flood_peer_records}};

SUITE_MAIN("flood_peer_records", TESTS)
