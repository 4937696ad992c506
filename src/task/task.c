#include "guavaflow/task.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Decimal digits of the partition in a job or task id. */
#define PARTITION_DIGITS 3

static const char *const CLASS_NAMES[GF_CLASSES] = {"urgent", "service",
                                                    "gang", "batch"};
static const char *const STATE_NAMES[GF_TASK_STATES] = {
    "running", "ended", "failed", "stopped", "lost"};
static const char *const MODE_NAMES[GF_STOP_MODES] = {"stop", "checkpoint",
                                                      "throttle"};

/* Tells whether a need fits into a capacity in every dimension. */
bool
GfResourceVector_Fits(const GfResourceVector *capacity,
                      const GfResourceVector *need)
{
    return need->mcores <= capacity->mcores &&
           need->memory_mb <= capacity->memory_mb &&
           need->accelerators <= capacity->accelerators;
}

/* Subtracts b from a, or returns 0 if b is larger. */
static uint32_t
subtract_saturating(uint32_t a, uint32_t b)
{
    return a > b ? a - b : 0;
}

/* Returns what a need leaves of a capacity; a dimension that would be negative
 * is 0. */
GfResourceVector
GfResourceVector_Subtract(const GfResourceVector *capacity,
                          const GfResourceVector *need)
{
    return (GfResourceVector){
        .mcores = subtract_saturating(capacity->mcores, need->mcores),
        .memory_mb = subtract_saturating(capacity->memory_mb, need->memory_mb),
        .accelerators =
            subtract_saturating(capacity->accelerators, need->accelerators)};
}

/* Returns the name of a class as callers write it. */
const char *
GfClass_Name(GfClass work_class)
{
    assert(work_class < GF_CLASSES);
    return CLASS_NAMES[work_class];
}

/* Finds a class by its name. Returns false, with work_class unchanged, for
 * NULL or an unknown name. */
bool
GfClass_FromName(const char *name, GfClass *work_class)
{
    for (int i = 0; name != NULL && i < GF_CLASSES; i++) {
        if (strcmp(CLASS_NAMES[i], name) == 0) {
            *work_class = (GfClass)i;
            return true;
        }
    }
    return false;
}

/* Returns the name of a state as workers report it. */
const char *
GfTaskState_Name(GfTaskState state)
{
    assert(state < GF_TASK_STATES);
    return STATE_NAMES[state];
}

/* Finds a state by the name that a worker reports. Workers also report names
 * without a state of their own, for example for a task that they checkpointed
 * or restarted: a checkpointed task counts as stopped, all others and NULL as
 * lost. */
GfTaskState
GfTaskState_FromName(const char *name)
{
    for (int i = 0; name != NULL && i < GF_TASK_STATES; i++) {
        if (strcmp(STATE_NAMES[i], name) == 0) {
            return (GfTaskState)i;
        }
    }
    if (name != NULL && strcmp(name, "checkpointed") == 0) {
        return GF_TASK_STOPPED;
    }
    return GF_TASK_LOST;
}

/* Returns the name of a mode as workers read it. */
const char *
GfStopMode_Name(GfStopMode mode)
{
    assert(mode < GF_STOP_MODES);
    return MODE_NAMES[mode];
}

/* Reads the partition from an id of the form jPPP-HEX[.INDEX.ATTEMPT]. Returns
 * false, with partition unchanged, if the id has another form. */
bool
GfTask_Partition(const GfName *id, uint32_t *partition)
{
    if (id->len < PARTITION_DIGITS + 2 || id->data[0] != 'j' ||
        id->data[PARTITION_DIGITS + 1] != '-') {
        return false;
    }
    uint32_t value = 0;
    for (int i = 1; i <= PARTITION_DIGITS; i++) {
        if (id->data[i] < '0' || id->data[i] > '9') {
            return false;
        }
        value = value * 10 + (uint32_t)(id->data[i] - '0');
    }
    *partition = value;
    return true;
}

/* Returns the id of the job that a task belongs to: the part of the task's id
 * before the first dot. */
GfName
GfTask_Job(const GfName *id)
{
    GfName job;
    const char *dot = memchr(id->data, '.', id->len);
    size_t len = dot == NULL ? id->len : (size_t)(dot - id->data);
    bool good = GfName_Set(&job, id->data, len);
    assert(good);
    (void)good;
    return job;
}
