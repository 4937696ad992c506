/* A world for the scheduler of a cell without a network: workers that carry
 * out orders, a store with one owner's row, advice, and a clock that moves by
 * steps. Orders and answers can be delayed, lost, cut, or carried out late,
 * and workers can crash. It watches what must hold: no task runs twice, no
 * worker or team is over its limit, no end is forgotten before it is stored.
 * Several owners may act at once, as around a takeover. */
#ifndef GUAVAFLOW_TESTS_CELL_WORLD_H
#define GUAVAFLOW_TESTS_CELL_WORLD_H

#include "guavaflow/cell.h"

#define WORLD_OWNERS 8
#define WORLD_STEP_MS 10

typedef struct World World;

typedef struct {
    int workers;
    int64_t mcores; /* of each worker */
    int64_t memory_mb;
    int rack_size;
    int callers;
    int latency_ms;
    uint32_t seed;
    double lose_order;      /* share of orders that never arrive */
    double lose_answer;     /* share of answers that never arrive */
    double late_order;      /* share carried out 2 to 12 s later, unanswered */
    double fail_run;        /* share of runs that fail */
    bool without_doubt;     /* new owners do not wait for former ones */
    bool without_fence;     /* workers take orders of lower tokens */
    bool without_condition; /* the store takes commits of former owners */
    bool without_storing;   /* a failed commit counts as done */
} WorldSettings;

typedef struct {
    const char *queue;
    const char *team;
    int64_t run_ms;
    GfStepSpec step;
    int steps; /* a chain of equal steps */
} WorldJob;

World *World_Create(const WorldSettings *settings, const GfCellConfig *config);
void World_Destroy(World *world);
void World_Run(World *world, int64_t ms);
int64_t World_NowMs(const World *world);

/* Owners. A takeover reads what the store has and raises the token; the
 * former owner goes on until a worker or the store tells it. */
GfCell *World_TakeOver(World *world);
bool World_CanTakeOver(const World *world);
void World_Kill(World *world, GfCell *cell);
GfCell *World_Owner(const World *world);
void World_SetStoreUp(World *world, bool up);

/* Jobs, named by number. */
int World_Submit(World *world, const WorldJob *job);
/* A hidden job is left out of what later owners read, until it is revealed to
 * the owner; only a look for its row finds it. */
int World_SubmitHidden(World *world, const WorldJob *job);
void World_Reveal(World *world, int job);
void World_Cancel(World *world, int job);
GfJobState World_State(const World *world, int job);
int64_t World_FinishedAfterMs(const World *world, int job);
int World_Starts(const World *world, int job);
int World_RunningOf(const World *world, int job);

/* Workers, named by number. */
void World_Crash(World *world, int worker);
void World_Restart(World *world, int worker);
void World_Cut(World *world, int worker, bool cut);
void World_CutFrom(World *world, int worker, const GfCell *cell, bool cut);
void World_SetListed(World *world, int worker, bool listed);
void World_SetFailing(World *world, int worker, bool failing);
void World_SetHangingStarts(World *world, int worker, bool hanging);
int World_FillersOn(const World *world, int worker);
int World_ServingOn(const World *world, int worker);

/* What was seen. */
const char *World_Breach(const World *world);
int World_CountStarts(const World *world);
int World_CountAdvice(const World *world);
GfCellConfig *World_MakeConfig(int64_t team_limit_mcores);

#endif
