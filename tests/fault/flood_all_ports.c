/* Clients that open connections at all ports of an entry at once and send half
 * a request. The test guards against an entry whose own calls, to the store
 * and to workers, find no descriptor. */
#include <string.h>

#include "flood.h"
#include "suite.h"

#define HALF_LINE "GET /v1/ready"
#define HALF_MARK "\x80\x00"
#define CROWD 100
#define DESCRIPTORS 300

static const FloodPlay PLAYS[] = {{.name = "half lines, front",
                                   FLOOD_UNIT(HALF_LINE),
                                   .bytes = sizeof(HALF_LINE) - 1,
                                   .connections = CROWD,
                                   .port = FLOOD_FRONT,
                                   .descriptors = DESCRIPTORS},
                                  {.name = "half lines, ready address",
                                   FLOOD_UNIT(HALF_LINE),
                                   .bytes = sizeof(HALF_LINE) - 1,
                                   .connections = CROWD,
                                   .port = FLOOD_READY,
                                   .descriptors = DESCRIPTORS},
                                  {.name = "half lines, metrics port",
                                   FLOOD_UNIT(HALF_LINE),
                                   .bytes = sizeof(HALF_LINE) - 1,
                                   .connections = CROWD,
                                   .port = FLOOD_METRICS,
                                   .descriptors = DESCRIPTORS},
                                  {.name = "half marks, peer port",
                                   FLOOD_UNIT(HALF_MARK),
                                   .bytes = sizeof(HALF_MARK) - 1,
                                   .connections = CROWD,
                                   .port = FLOOD_PEER,
                                   .descriptors = DESCRIPTORS}};
#define PLAY_COUNT (sizeof(PLAYS) / sizeof(PLAYS[0]))

/* The crowds come one after the other, and all stay until the entry has been
 * checked. */
static void
test_all_ports(void)
{
    static FloodCrowd crowds[PLAY_COUNT];
    FloodWatch watch;
    FloodCell_Start(DESCRIPTORS);
    FloodCell_Watch(&watch);
    for (size_t i = 0; i < PLAY_COUNT; i++) {
        FloodCrowd_Send(&crowds[i], &PLAYS[i], FloodCell_Port(PLAYS[i].port),
                        &watch);
    }
    FloodCell_CheckOrdinary();
    FloodWatch_Check(&watch, &PLAYS[PLAY_COUNT - 1]);
    for (size_t i = 0; i < PLAY_COUNT; i++) {
        FloodCrowd_Close(&crowds[i]);
    }
    FloodCell_Stop();
}

static const SuiteTest TESTS[] = {{"all ports", test_all_ports}};

SUITE_MAIN("flood_all_ports", TESTS)
