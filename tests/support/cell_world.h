/* A deterministic simulation of a cell for the scheduler's tests, without a
 * network: workers that carry out orders, a store that accepts the commits of
 * one owner, advice, and a clock that advances in fixed steps. Orders and
 * replies can be delayed, lost or carried out late; workers can crash, or be
 * isolated from owners. Several owners may act at once, as around a takeover.
 *
 * The simulation checks these invariants: no task runs twice at once or again
 * after its completion, no worker exceeds its capacity, no team its limit, and
 * no completion is acknowledged before it is stored. World_Breach returns the
 * first violation.
 *
 * Times are ms of simulated time, processors are in mcores. Jobs and workers
 * are named by number, counted from 0. */
#ifndef GUAVAFLOW_TESTS_CELL_WORLD_H
#define GUAVAFLOW_TESTS_CELL_WORLD_H

#include "guavaflow/cell.h"

/* How many owners a simulation can have, former ones included. */
#define WORLD_OWNERS 8
#define WORLD_STEP_MS 10

typedef struct World World;

/* The size of the simulation, its faults as probabilities from 0 to 1, and
 * the safety mechanisms to leave out: without one of them the checks must find
 * a violation. */
typedef struct {
    int workers;
    int64_t mcores; /* of each worker */
    int64_t memory_mb;
    int rack_size;  /* workers in a rack; 0: 6 */
    int callers;    /* advice callers */
    int latency_ms; /* one way */
    uint32_t seed;
    double lose_order;      /* the order does not arrive */
    double lose_answer;     /* the reply does not arrive */
    double late_order;      /* carried out 2 to 12 s later, without a reply */
    double fail_run;        /* the run fails */
    bool without_doubt;     /* new owners skip the uncertainty period */
    bool without_fence;     /* workers obey lower tokens too */
    bool without_condition; /* the store accepts commits of former owners */
    bool without_storing;   /* failed commits are reported as successful */
} WorldSettings;

/* A job to submit. The texts must outlive the simulation. */
typedef struct {
    const char *queue;
    const char *team;
    int64_t run_ms; /* of each task */
    GfStepSpec step;
    int steps; /* length of the chain of equal steps; 0: 1 */
} WorldJob;

World *World_Create(const WorldSettings *settings, const GfCellConfig *config);
void World_Destroy(World *world);
void World_Run(World *world, int64_t ms);
int64_t World_NowMs(const World *world);

/* Owners. A takeover raises the token and loads what the store has; the former
 * owner goes on until a worker or the store rejects its token. */
GfCell *World_TakeOver(World *world);
bool World_CanTakeOver(const World *world);
void World_Kill(World *world, GfCell *cell);
GfCell *World_Owner(const World *world);
void World_SetStoreUp(World *world, bool up);

/* Jobs. A hidden job is not loaded by a takeover: until it is revealed, a new
 * owner learns of it only if it looks up the job's row. */
int World_Submit(World *world, const WorldJob *job);
int World_SubmitHidden(World *world, const WorldJob *job);
void World_Reveal(World *world, int job);
void World_Cancel(World *world, int job);
GfJobState World_State(const World *world, int job);
int64_t World_FinishedAfterMs(const World *world, int job);
int World_Starts(const World *world, int job);
int World_RunningOf(const World *world, int job);

/* Workers. Listed: in the platform's worker table, which owners read. */
void World_Crash(World *world, int worker);
void World_Restart(World *world, int worker);
void World_Cut(World *world, int worker, bool isolated);
void World_CutFrom(World *world, int worker, const GfCell *cell,
                   bool isolated);
void World_SetListed(World *world, int worker, bool listed);
void World_SetFailing(World *world, int worker, bool failing);
void World_SetHangingStarts(World *world, int worker, bool delayed);
int World_FillersOn(const World *world, int worker);
int World_ServingOn(const World *world, int worker);

/* Results. */
const char *World_Breach(const World *world);
int World_CountStarts(const World *world);
int World_CountAdvice(const World *world);
GfCellConfig *World_MakeConfig(int64_t team_limit_mcores);

#endif
