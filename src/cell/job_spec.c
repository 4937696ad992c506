#include "guavaflow/job_spec.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Returns whether need fits into capacity beside what is used. */
bool
GfResources_Fit(GfResources capacity, GfResources used, GfResources need)
{
    return used.mcores + need.mcores <= capacity.mcores &&
           used.memory_mb + need.memory_mb <= capacity.memory_mb &&
           used.accelerators + need.accelerators <= capacity.accelerators;
}

/* Returns a + b, by component. */
GfResources
GfResources_Add(GfResources a, GfResources b)
{
    return (GfResources){.mcores = a.mcores + b.mcores,
                         .memory_mb = a.memory_mb + b.memory_mb,
                         .accelerators = a.accelerators + b.accelerators};
}

/* Returns a - b, by component. */
GfResources
GfResources_Subtract(GfResources a, GfResources b)
{
    return (GfResources){.mcores = a.mcores - b.mcores,
                         .memory_mb = a.memory_mb - b.memory_mb,
                         .accelerators = a.accelerators - b.accelerators};
}

/* Depth-first search for cycles among the direct and indirect prerequisites of
 * a step. A mark is 1 while its step is on the search path and 2 when it is
 * done. Returns false if there is a cycle, which need not contain the step. */
static bool
is_acyclic(const GfJobSpec *spec, size_t at, uint8_t *marks)
{
    if (marks[at] != 0) {
        return marks[at] == 2;
    }
    marks[at] = 1;
    const GfStepSpec *step = &spec->steps[at];
    for (size_t i = 0; i < step->prerequisite_count; i++) {
        if (!is_acyclic(spec, step->prerequisites[i], marks)) {
            return false;
        }
    }
    marks[at] = 2;
    return true;
}

/* Checks the task count, sizes and prerequisite numbers of one step. Returns
 * false, with *error set to GF_BAD_REQUEST, if one is invalid. */
static bool
check_step(const GfJobSpec *spec, size_t at, GfError *error)
{
    const GfStepSpec *step = &spec->steps[at];
    if (step->task_count < 1 || step->task_count > GF_JOB_MAX_TASKS) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "step %zu has %u tasks; allowed are 1 to %d", at,
                           step->task_count, GF_JOB_MAX_TASKS);
    }
    if (step->need.mcores < 0 || step->need.memory_mb < 0 ||
        step->need.accelerators < 0 || step->estimate_ms < 0) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "step %zu has a negative need or estimate; allowed "
                           "are 0 and above",
                           at);
    }
    for (size_t i = 0; i < step->prerequisite_count; i++) {
        if (step->prerequisites[i] >= spec->step_count) {
            return GfError_Set(error, GF_BAD_REQUEST,
                               "step %zu has prerequisite %u; allowed are "
                               "steps of the same job",
                               at, step->prerequisites[i]);
        }
    }
    return true;
}

/* Checks the counts and sizes of a job and that its steps have no cyclic
 * dependency. Returns false, with *error set to GF_BAD_REQUEST, if not. */
bool
GfJobSpec_Check(const GfJobSpec *spec, GfError *error)
{
    assert(spec != NULL);
    if (spec->step_count < 1 || spec->step_count > GF_JOB_MAX_STEPS) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "a job has %zu steps; allowed are 1 to %d",
                           spec->step_count, GF_JOB_MAX_STEPS);
    }
    if (spec->occurrences < 1 || spec->occurrences > GF_JOB_MAX_OCCURRENCES) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "a job has %u occurrences; allowed are 1 to %d",
                           spec->occurrences, GF_JOB_MAX_OCCURRENCES);
    }
    uint8_t marks[GF_JOB_MAX_STEPS] = {0};
    for (size_t i = 0; i < spec->step_count; i++) {
        if (!check_step(spec, i, error)) {
            return false;
        }
    }
    for (size_t i = 0; i < spec->step_count; i++) {
        if (!is_acyclic(spec, i, marks)) {
            return GfError_Set(error, GF_BAD_REQUEST,
                               "prerequisites of step %zu contain a cycle; "
                               "allowed are acyclic prerequisites",
                               i);
        }
    }
    return true;
}

/* Returns the estimated ms of the longest path of prerequisites that ends with
 * the step, the step included. known caches results; -1 is unknown. */
static int64_t
path_ms(const GfJobSpec *spec, size_t at, int64_t per_step_ms, int64_t *known)
{
    if (known[at] >= 0) {
        return known[at];
    }
    const GfStepSpec *step = &spec->steps[at];
    int64_t longest = 0;
    for (size_t i = 0; i < step->prerequisite_count; i++) {
        int64_t ms = path_ms(spec, step->prerequisites[i], per_step_ms, known);
        longest = ms > longest ? ms : longest;
    }
    known[at] = longest + step->estimate_ms + per_step_ms;
    return known[at];
}

/* Returns the estimated ms of the job's critical path, with per_step_ms added
 * for each step. The spec must have passed GfJobSpec_Check. */
int64_t
GfJobSpec_CriticalPathMs(const GfJobSpec *spec, int64_t per_step_ms)
{
    int64_t known[GF_JOB_MAX_STEPS];
    int64_t longest = 0;
    memset(known, -1, sizeof(known));
    for (size_t i = 0; i < spec->step_count; i++) {
        int64_t ms = path_ms(spec, i, per_step_ms, known);
        longest = ms > longest ? ms : longest;
    }
    return longest;
}

/* Updates remaining_ms of the prerequisites of a step from its own. Returns
 * whether any of them changed. */
static bool
extend_paths(const GfJobSpec *spec, size_t at, int64_t per_step_ms,
             int64_t *remaining_ms)
{
    const GfStepSpec *step = &spec->steps[at];
    bool changed = false;
    for (size_t k = 0; k < step->prerequisite_count; k++) {
        uint32_t before = step->prerequisites[k];
        int64_t ms =
            spec->steps[before].estimate_ms + per_step_ms + remaining_ms[at];
        if (remaining_ms[before] < ms) {
            remaining_ms[before] = ms;
            changed = true;
        }
    }
    return changed;
}

/* Writes to remaining_ms, which has an entry for each step, the estimated ms
 * of the longest path that begins with the step, with per_step_ms added for
 * each step. The spec must have passed GfJobSpec_Check. */
void
GfJobSpec_RemainingMs(const GfJobSpec *spec, int64_t per_step_ms,
                      int64_t *remaining_ms)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        remaining_ms[i] = spec->steps[i].estimate_ms + per_step_ms;
    }
    /* Most prerequisites are earlier steps, so one pass from the last step
     * usually sets all values; any other order takes more passes. */
    bool changed = true;
    while (changed) {
        changed = false;
        for (size_t i = spec->step_count; i-- > 0;) {
            changed |= extend_paths(spec, i, per_step_ms, remaining_ms);
        }
    }
}

/* Returns whether any step runs until the job is cancelled. */
bool
GfJobSpec_IsLongRunning(const GfJobSpec *spec)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].long_running) {
            return true;
        }
    }
    return false;
}

/* Frees what the spec owns and sets it to zero. */
void
GfJobSpec_Clear(GfJobSpec *spec)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        free(spec->steps[i].prerequisites);
    }
    free(spec->steps);
    GfStr_Clear(&spec->payload);
    memset(spec, 0, sizeof(*spec));
}
