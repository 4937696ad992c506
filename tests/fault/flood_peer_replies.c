/* An entry of a cell that keeps all replies to calls at the port between
 * entries that the client does not read, and all calls sent ahead, until its
 * memory is used up. */
#include "flood.h"
#include "suite.h"

#define CONNECTIONS 20
#define BYTES (20UL * 1000 * 1000)

/* A call of a program that does not exist: the mark of a record of 40 bytes,
 * the id 1, a call, version 2 of RPC, program, version, procedure, and empty
 * credentials and verifier. */
#define CALL                                                                  \
    "\x80\0\0\x28\0\0\0\1\0\0\0\0\0\0\0\2"                                    \
    "\x20\0\0\x77\0\0\0\1\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"

static const FloodPlay PLAYS[] = {
    {.name = "unknown program, peer port",
     .port = FLOOD_PEER,
     .connections = CONNECTIONS,
     .bytes = BYTES,
     FLOOD_UNIT(CALL)},
};

/* Sends each kind to an entry of its own. */
static void
test_flood_peer_replies(void)
{
    FloodCell_PlayAll(PLAYS, sizeof(PLAYS) / sizeof(PLAYS[0]));
}

static const SuiteTest TESTS[] = {{"replies unread", test_flood_peer_replies}};

SUITE_MAIN("flood_peer_replies", TESTS)
