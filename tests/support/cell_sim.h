/* A deterministic simulation of a cell for the scheduler's tests, without a
 * network: workers that carry out orders, a store that accepts the commits of
 * one owner, advice, and a clock that advances in fixed steps. Orders and
 * replies can be delayed, lost or carried out late; workers can crash, by
 * themselves or through a task that they run, or be isolated from owners.
 * Several owners may act at once, as around a takeover.
 *
 * Tasks on one worker can slow each other down, in proportion to their paces.
 *
 * The simulation checks these invariants: no task runs twice at once or again
 * after its completion, no worker exceeds its capacity, no team its limit, no
 * completion is acknowledged before it is stored, and backfill tasks keep no
 * tail above its target for CELL_SIM_HARM_MS on end. CellSim_Violation returns
 * the first violation.
 *
 * Times are ms of simulated time, processors are in mcores. Jobs and workers
 * are named by number, counted from 0. */
#ifndef GUAVAFLOW_TESTS_CELL_SIM_H
#define GUAVAFLOW_TESTS_CELL_SIM_H

#include "guavaflow/cell.h"

/* How many owners a simulation can have, former ones included. */
#define CELL_SIM_MAX_OWNERS 8
#define CELL_SIM_STEP_MS 10
#define CELL_SIM_HARM_MS 4000

typedef struct CellSim CellSim;

/* Returns the factor by which a task that runs the image disturber lengthens
 * the run time, or the tail, of one on the same worker that runs victim. */
typedef double (*CellSimFactor)(const GfName *victim, const GfName *disturber,
                                int64_t now_ms);

/* The size of the simulation, its faults as probabilities from 0 to 1, and
 * the safety mechanisms to leave out: without one of them the checks must find
 * a violation. */
typedef struct {
    int workers;
    int64_t mcores; /* of each worker */
    int64_t memory_mb;
    int rack_size;   /* workers in a rack; 0: 6 */
    int callers;     /* advice callers */
    int latency_ms;  /* one way */
    int64_t load_ms; /* from an owner's claim until it calls the workers */
    bool
        table_lags; /* takeovers read a restarted worker's former row, first */
    uint32_t seed;
    double lose_order;    /* the order does not arrive */
    double lose_answer;   /* the reply does not arrive */
    double late_order;    /* carried out 2 to 12 s later, without a reply */
    int64_t late_min_ms;  /* above 0: late orders come 1 s after it at most */
    double fail_run;      /* the run fails */
    CellSimFactor factor; /* NULL: tasks do not slow each other down */
    int64_t pace_ms;      /* from a pace order until it takes effect */
    double noise;         /* of reported tails: 0.1 is up to a tenth */
    GfFeatures features;  /* optional parts that are on */
    bool checkpoints;     /* stopped runs of checkpointed steps resume where
                             they were; else they start again */
    bool new_ids; /* each incarnation of a worker has an id of its own */
    bool takes_former_orders; /* a worker that starts again under its id has a
                                 clock of its own and carries out starts,
                                 stops, paces and late holds that were meant
                                 for the incarnation before; other holds only
                                 tell what runs */
    int64_t longest_lease_ms; /* that a worker takes; 0: as owners grant */
    int64_t worker_back_ms;   /* from a crash through a deadly task until the
                                 worker's next incarnation starts; 0: never */
    size_t single_row_bytes;  /* as in GfCellSettings */
    bool without_uncertainty; /* new owners skip the uncertainty period */
    bool without_names;       /* tasks on closed workers are not inherited */
    bool without_settled;     /* the end of any former owner counts */
    bool without_ends;        /* stored ends of leases are loaded as earlier */
    bool without_fence;       /* workers obey lower tokens too */
    bool without_condition;   /* the store accepts commits of former owners */
    bool without_durability;  /* failed commits are reported as successful */
} CellSimSettings;

/* A job to submit. The texts must outlive the simulation. */
typedef struct {
    const char *queue;
    const char *team;
    int64_t run_ms;      /* of each task, at speed 1 */
    int64_t estimate_ms; /* 0: run_ms */
    double long_share;   /* of the tasks, which take long_factor as long */
    double long_factor;
    const int64_t *task_run_ms; /* what the runs take, by the task's number;
                                   NULL: run_ms */
    GfStepSpec step;
    int steps;        /* length of the chain of equal steps; 0: 1 */
    int occurrences;  /* of this chain, all due at once; 0: 1 */
    bool denied;      /* advice allows no worker */
    int deadly_tasks; /* the first ones of each step crash their worker */
    int64_t tail_ms;  /* above 0: tail latency of a task alone */
    int64_t tail_target_ms; /* what the simulation compares it with; the step's
                               target is what owners know */
    int64_t crash_after_ms; /* from the start of a deadly task's run, if it
                               does not end before */
} CellSimJob;

CellSim *CellSim_Create(const CellSimSettings *settings,
                        const GfCellConfig *config);
void CellSim_Destroy(CellSim *sim);
void CellSim_Run(CellSim *sim, int64_t ms);
int64_t CellSim_NowMs(const CellSim *sim);

/* Owners. A takeover raises the token and loads what the store has; the former
 * owner goes on until a worker or the store rejects its token. */
GfCell *CellSim_TakeOver(CellSim *sim);
bool CellSim_CanTakeOver(const CellSim *sim);
void CellSim_KillOwner(CellSim *sim, GfCell *cell);
GfCell *CellSim_Owner(const CellSim *sim);
void CellSim_RefuseJob(CellSim *sim, int job);
void CellSim_SetStoreAvailable(CellSim *sim, bool available);

/* Jobs. A hidden job is not loaded by a takeover: until it is revealed, a new
 * owner learns of it only if it looks up the job's row. */
int CellSim_Submit(CellSim *sim, const CellSimJob *job);
int CellSim_SubmitHidden(CellSim *sim, const CellSimJob *job);
void CellSim_RevealJob(CellSim *sim, int job);
void CellSim_CancelJob(CellSim *sim, int job);
GfJobState CellSim_JobState(const CellSim *sim, int job);
int64_t CellSim_FinishedAfterMs(const CellSim *sim, int job);
int CellSim_CountBlockRows(const CellSim *sim);
int CellSim_NamedWorker(const CellSim *sim, int job);
int CellSim_JobStarts(const CellSim *sim, int job);
int CellSim_JobRunning(const CellSim *sim, int job);
int CellSim_JobWorker(const CellSim *sim, int job);

/* Crashes. A task's number counts over the job's steps in their order. A
 * worker crashes under each task that it runs then, deadly or not, also if the
 * test calls CellSim_CrashWorker. */
int CellSim_JobCrashes(const CellSim *sim, int job);
int CellSim_CountCrashes(const CellSim *sim);
int CellSim_TaskStarts(const CellSim *sim, int job, int task);
int CellSim_TaskCrashes(const CellSim *sim, int job, int task);
int CellSim_StartsAfterCrashes(const CellSim *sim, int job);

/* Workers. Listed: in the platform's worker table, which owners read. */
void CellSim_CrashWorker(CellSim *sim, int worker);
void CellSim_RestartWorker(CellSim *sim, int worker);
void CellSim_RestartUnseen(CellSim *sim, int worker);
void CellSim_SetCapacity(CellSim *sim, int worker, int64_t mcores);
void CellSim_SetIsolated(CellSim *sim, int worker, bool isolated);
void CellSim_SetOnlyHolds(CellSim *sim, int worker, bool only_holds);
void CellSim_SetIsolatedFrom(CellSim *sim, int worker, const GfCell *cell,
                             bool isolated);
void CellSim_SetListed(CellSim *sim, int worker, bool listed);
void CellSim_SetLeaving(CellSim *sim, int worker, bool leaving);
void CellSim_SetFailing(CellSim *sim, int worker, bool failing);
void CellSim_SetSpeed(CellSim *sim, int worker, double speed);
void CellSim_SetRemainingMs(CellSim *sim, int worker, int64_t ms);
int CellSim_RunsOn(const CellSim *sim, int worker);
void CellSim_SetStartsDelayed(CellSim *sim, int worker, bool delayed);
void CellSim_SetHoldsDelayed(CellSim *sim, int worker, bool delayed);
int CellSim_BackfillOn(const CellSim *sim, int worker);
int CellSim_ServingOn(const CellSim *sim, int worker);

/* Neighbours. Times are sums over all tasks: those with a tail, also above
 * the target, and of backfill tasks weighted with their pace. The time until
 * CellSim_ResetTimes does not count. */
void CellSim_SetTail(CellSim *sim, int job, int64_t tail_ms);
void CellSim_SetPacesLost(CellSim *sim, bool lost);
void CellSim_ResetTimes(CellSim *sim);
int64_t CellSim_ServingMs(const CellSim *sim);
int64_t CellSim_OverTargetMs(const CellSim *sim);
int64_t CellSim_LongestOverMs(const CellSim *sim);
int64_t CellSim_BackfillMs(const CellSim *sim);

/* Results. */
const char *CellSim_Violation(const CellSim *sim);
int CellSim_CountStarts(const CellSim *sim);
int CellSim_CountAdvice(const CellSim *sim);
GfCellConfig *CellSim_MakeConfig(int64_t team_limit_mcores);

#endif
