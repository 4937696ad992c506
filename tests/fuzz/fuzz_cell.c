/* Searches for violations of the cell's invariants around ownership and
 * takeover, with the product's scheduler in the simulation of cell_sim.h: up
 * to four owners, one after another or at once; workers that crash, restart,
 * leave, are missing in the worker table, or are isolated from all owners or
 * from one; orders that are lost or carried out late; a store that is
 * unavailable; cancellations.
 *
 * The environment variable GUAVAFLOW_WITHOUT_RULE names a safety mechanism to
 * leave out; then a violation must be found, which shows that the search can
 * find one: doubt, the uncertainty period in which a new owner waits for the
 * runs of a former one; names, the tasks that the stored list names on workers
 * that were closed; ends, the stored ends of leases; settled, that the end of
 * an owner that was not settled proves nothing; fence, that workers obey only
 * the highest token; condition, that the store rejects commits of a former
 * owner; storing, that completions are acknowledged only once their commit is
 * stored.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_sim.h"
#include "choice.h"
#include "guavaflow/log.h"

#define WORKERS 5
#define STEPS 60
#define MAX_JOBS 40

/* Returns whether a mechanism is to be left out. */
static bool
is_without(const char *rule)
{
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    return without != NULL && strcmp(without, rule) == 0;
}

/* Begins another owner that does not reach the first workers, up to but
 * without the split, while the owner before does not reach the others. */
static void
take_over_split(CellSim *w, int split)
{
    GfCell *before = CellSim_Owner(w);
    GfCell *next = CellSim_TakeOver(w);
    for (int i = 0; i < WORKERS; i++) {
        if (i < split) {
            CellSim_SetIsolatedFrom(w, i, next, true);
        }
        else if (before != NULL) {
            CellSim_SetIsolatedFrom(w, i, before, true);
        }
    }
}

/* Does one random action: submits or cancels a job, or starts or ends a fault.
 * jobs holds the numbers of the count jobs submitted so far. */
static void
do_random_action(CellSim *w, Choice *c, int *jobs, int *count)
{
    int worker = (int)choice_below(c, WORKERS);
    switch ((int)choice_below(c, 16)) {
    case 0:
    case 1:
    case 2: {
        CellSimJob job = {.queue =
                              (int)choice_below(c, 2) == 0 ? "quick" : "batch",
                          .team = (int)choice_below(c, 2) == 0 ? "a" : "b",
                          .run_ms = 100 + (int)choice_below(c, 20) * 100,
                          .steps = 1 + (int)choice_below(c, 2),
                          .step = {.task_count = 1U + choice_below(c, 4),
                                   .need = {2000, 100, 0}}};
        if (*count < MAX_JOBS) {
            jobs[(*count)++] = CellSim_Submit(w, &job);
        }
        break;
    }
    case 3:
        CellSim_CrashWorker(w, worker);
        break;
    case 4:
        CellSim_RestartWorker(w, worker);
        break;
    case 5:
        CellSim_SetIsolated(w, worker, true);
        break;
    case 6:
        CellSim_SetIsolated(w, worker, false);
        break;
    case 7:
        if (CellSim_Owner(w) != NULL) {
            CellSim_SetIsolatedFrom(w, worker, CellSim_Owner(w),
                                    (int)choice_below(c, 2) == 0);
        }
        break;
    case 8:
        CellSim_SetStoreAvailable(w, (int)choice_below(c, 3) != 0);
        break;
    case 9:
        if (CellSim_CanTakeOver(w)) {
            CellSim_TakeOver(w);
        }
        break;
    case 10:
        CellSim_SetStartsDelayed(w, worker, (int)choice_below(c, 2) == 0);
        break;
    case 11:
        CellSim_SetLeaving(w, worker, (int)choice_below(c, 3) != 0);
        break;
    case 12:
        CellSim_SetListed(w, worker, (int)choice_below(c, 2) == 0);
        break;
    case 13:
        if (CellSim_Owner(w) != NULL && CellSim_CanTakeOver(w)) {
            CellSim_KillOwner(w, CellSim_Owner(w));
            take_over_split(w, worker);
        }
        break;
    case 14:
        if (CellSim_CanTakeOver(w)) {
            take_over_split(w, worker);
        }
        break;
    default:
        if (*count > 0 && CellSim_Owner(w) != NULL) {
            CellSim_CancelJob(w, jobs[choice_below(c, (uint32_t)*count)]);
        }
        break;
    }
}

/* Runs a simulation with STEPS random actions, then 9 s more with the store
 * available, and aborts on a violation. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    Choice choice = choice_make(data, size);
    CellSimSettings settings = {.workers = WORKERS,
                                .mcores = 8000,
                                .memory_mb = 64000,
                                .rack_size = 3,
                                .callers = 2,
                                .latency_ms =
                                    1 + (int)choice_below(&choice, 40),
                                .seed = choice_below(&choice, 10000),
                                .lose_order = 0.03,
                                .lose_answer = 0.03,
                                .late_order = 0.03,
                                .without_uncertainty = is_without("doubt"),
                                .without_names = is_without("names"),
                                .without_settled = is_without("settled"),
                                .without_ends = is_without("ends"),
                                .without_fence = is_without("fence"),
                                .without_condition = is_without("condition"),
                                .without_durability = is_without("storing")};
    GfCellConfig *config = CellSim_MakeConfig(20000);
    CellSim *w = CellSim_Create(&settings, config);
    CellSim_TakeOver(w);
    int jobs[MAX_JOBS];
    int count = 0;
    for (int i = 0; i < STEPS && CellSim_Violation(w) == NULL; i++) {
        CellSim_Run(w, 20 + (int)choice_below(&choice, 60) * 10);
        do_random_action(w, &choice, jobs, &count);
    }
    CellSim_SetStoreAvailable(w, true);
    CellSim_Run(w, 9000);
    if (CellSim_Violation(w) != NULL) {
        fprintf(stderr, "breach: %s\n", CellSim_Violation(w));
        abort();
    }
    CellSim_Destroy(w);
    GfCellConfig_Destroy(config);
    return 0;
}
