/* Tells tasks that crash their workers from innocent ones that ran beside
 * them, for the load of a fleet in which some requests take down whatever
 * starts them. A task is counted each worker incarnation that crashed while
 * it ran there. From its first crash on it is a suspect: it is placed apart
 * from other jobs where possible, from its second crash on always apart from
 * other suspects, so that the next crash tells which one is at fault. After
 * MAX_CRASHES its job is given up, unless the workers crash in numbers, which
 * points to another cause: then one more crash is awaited.
 *
 * A crash is proved by a new incarnation of the worker, or by another worker
 * at its address, unless it had reported that it leaves. It counts for a task
 * whose start was answered, or which the worker has listed; a task whose start
 * was on its way may never have run there. Tasks of a worker that fell silent
 * are remembered until it answers again: in the same incarnation it was merely
 * cut off. One that stays missing is presumed to have crashed. The counts are
 * stored with the job's progress.
 *
 * A crash may also coincide with the end of the owner. So the row names the
 * worker on which a task of an earlier term or a suspect runs, as a placement,
 * and before a start that on which a suspect is to run, as intended. If an
 * intended worker crashes under the next owner, nobody knows whether the start
 * was sent. Such a crash is doubtful: it makes the task a suspect, and one
 * crash more is needed to give up a job with doubtful ones. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

#define MAX_CRASHES 3
/* The same if doubtful ones are among them. */
#define MAX_DOUBTED_CRASHES 4
/* The latest crashes of a task that are stored; enough to give its job up. */
#define SAVED_CRASHES 8
/* A crash is judged after this time, as crashes at the same moment are noticed
 * one after another. */
#define JUDGE_AFTER_MS 300
/* With so many other crashes within MASS_MS, a crash is one of a mass. */
#define MASS_CRASHES 3
#define MASS_MS 1000
/* A suspect does not start while a further crash may be found out, up to this
 * long: workers that crashed are back after some seconds. */
#define AWAIT_RETURN_MS 2000
/* For this long after its return a worker that crashed is avoided by suspects:
 * it may be at fault itself. */
#define UNSTABLE_MS 10000
/* From this suspicion on a task shares a worker with no other suspect. */
#define ISOLATE_AFTER 2
/* A long-running task that has run for longer is not taken as the cause. */
#define CLEARED_MS 10000
/* For this long after a crash that no owner saw the tasks of earlier jobs are
 * named before they start again. */
#define UNSEEN_MS 15000
/* After this time without a row in the platform's table a silent worker is
 * presumed to have crashed; cuts are shorter. */
#define PRESUME_MS 8000
/* How long the tasks of a silent worker are remembered. */
#define REMEMBER_MS 60000

/* Returns a key that identifies an incarnation of a worker, exact as a number
 * in JSON. */
static int64_t
incarnation_key(const GfName *worker, int64_t incarnation)
{
    return (int64_t)(GfName_Hash(worker, (uint64_t)incarnation) >> 16U);
}

/* Adds a key to a list, unless it is there. Returns whether it was added. */
static bool
add_key(int64_t **keys, uint32_t *count, int64_t key)
{
    for (uint32_t i = 0; i < *count; i++) {
        if ((*keys)[i] == key) {
            return false;
        }
    }
    *keys = realloc(*keys, (*count + 1U) * sizeof(int64_t));
    if (*keys == NULL) {
        abort();
    }
    (*keys)[(*count)++] = key;
    return true;
}

/* Counts a crashed incarnation for a task. Returns false if it is counted
 * already. */
bool
CellCrash_Add(Task *task, int64_t key)
{
    return add_key(&task->crashed_keys, &task->crashes, key);
}

/* Counts a crashed incarnation on which a task may have run. Returns false if
 * it is counted already. */
bool
CellCrash_AddDoubt(Task *task, int64_t key)
{
    return add_key(&task->doubted_keys, &task->doubts, key);
}

/* Returns whether so many crashes, and so many doubtful ones, are enough to
 * give a job up; extra: more than that, by so many. */
static bool
are_too_many(uint32_t crashes, uint32_t doubts, uint32_t extra)
{
    return crashes >= MAX_CRASHES + extra ||
           (doubts > 0 && crashes + doubts >= MAX_DOUBTED_CRASHES + extra);
}

/* Returns whether a crash may have been a task's fault. */
static bool
is_suspect(const Task *task)
{
    return task->crashes + task->doubts > 0;
}

/* Returns how many workers may have crashed under a task: those that did, and
 * those that are silent since. */
uint32_t
CellCrash_Suspicion(const Task *task)
{
    return task->crashes + task->doubts + task->silent_runs;
}

/* Returns whether the stored row names the worker that has the task. */
bool
CellCrash_IsRecorded(const Task *task)
{
    return task->worker != NULL &&
           (is_suspect(task) || task->step->job->former);
}

/* Adds a task that has crashed too many workers to those to be judged. */
static void
accuse(Task *task)
{
    GfCell *cell = task->step->job->cell;
    Accusation *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        abort();
    }
    a->task = CellTask_Id(task);
    a->at = GfClock_Now(cell->clock);
    task->accused = true;
    DL_APPEND(cell->accusations, a);
}

/* Returns how many workers crashed within MASS_MS of a time. */
static uint32_t
count_crashes_near(const GfCell *cell, struct timespec at)
{
    uint32_t count = 0;
    for (size_t i = 0; i < CELL_CRASH_TIMES && i < cell->crash_count; i++) {
        int64_t ms = GfTime_DiffMs(at, cell->crash_times[i]);
        count += ms > -MASS_MS && ms < MASS_MS;
    }
    return count;
}

/* Returns whether a long-running task has run too long to be the cause of a
 * crash. */
static bool
is_cleared(const Task *task)
{
    return task->state == TASK_RUNNING && task->step->spec->long_running &&
           GfTime_DiffMs(GfClock_Now(task->step->job->cell->clock),
                         task->started_at) > CLEARED_MS;
}

/* Returns whether a task may run, started by a former owner, unseen. */
static bool
is_uncertain(const GfCell *cell, const Task *task, struct timespec now)
{
    return CellFit_IsUncertain(cell, task, now) ||
           (task->step->job->uncertain && cell->in_uncertainty_period);
}

/* Judges the tasks that were accused JUDGE_AFTER_MS ago: gives their jobs up,
 * or lets them start once more. */
void
CellCrash_Judge(GfCell *cell, struct timespec now)
{
    Accusation *a;
    Accusation *tmp;
    DL_FOREACH_SAFE(cell->accusations, a, tmp)
    {
        if (GfTime_DiffMs(now, a->at) < JUDGE_AFTER_MS) {
            continue;
        }
        Task *task = CellJob_Task(cell, &a->task);
        bool active =
            task != NULL && !task->done && CellJob_Active(task->step->job);
        bool may_run = active && (task->state != TASK_IDLE ||
                                  is_uncertain(cell, task, now));
        if (may_run && !is_cleared(task)) {
            continue; /* this run may show that the task is innocent */
        }
        if (active) {
            task->accused = false;
            cell->dirty = true;
        }
        bool mass = count_crashes_near(cell, a->at) > MASS_CRASHES;
        if (active && !may_run &&
            are_too_many(task->crashes, task->doubts, mass ? 1 : 0)) {
            GfLog(GF_LOG_WARNING, CELL_PART,
                  "job given up, crashes its workers id=%s step=%u task=%u "
                  "crashes=%u doubtful=%u",
                  a->task.job.data, a->task.step, a->task.index, task->crashes,
                  task->doubts);
            CellJob_SetState(task->step->job, GF_JOB_GIVEN_UP);
            CellTask_StopJob(task->step->job);
        }
        DL_DELETE(cell->accusations, a);
        free(a);
    }
}

/* A task on a worker that crashed. confirmed: it ran there. pending: it may
 * run in the worker's next incarnation instead, which is counted later. */
typedef struct {
    GfTaskId task;
    bool confirmed;
    bool pending;
} CrashedTask;

/* Counts a crash for one task and accuses it if there are too many. */
static void
count_crash(Task *task, const GfName *worker, int64_t key, bool confirmed)
{
    Job *job = task->step->job;
    if (task->done || !CellJob_Active(job) ||
        !(confirmed ? CellCrash_Add(task, key)
                    : CellCrash_AddDoubt(task, key))) {
        return;
    }
    CellJobRows_MarkTask(task);
    GfLog(GF_LOG_WARNING, CELL_PART,
          "worker crashed under task id=%s step=%u task=%u worker=%s "
          "confirmed=%d crashes=%u doubtful=%u",
          job->id.data, task->step->number, task->index, worker->data,
          confirmed, task->crashes, task->doubts);
    CellCrash_Check(task);
}

/* Counts the crash of a worker incarnation for the tasks that ran there. If
 * suspects are among them, the others are excused, once each. */
static void
blame(GfCell *cell, const CrashedTask *tasks, size_t count,
      const GfName *worker, int64_t incarnation)
{
    int64_t key = incarnation_key(worker, incarnation);
    if (count > 0) {
        cell->crash_times[cell->crash_count++ % CELL_CRASH_TIMES] =
            GfClock_Now(cell->clock);
    }
    bool suspects = false;
    for (size_t i = 0; i < count; i++) {
        const Task *t = CellJob_Task(cell, &tasks[i].task);
        suspects = suspects || (t != NULL && is_suspect(t));
    }
    for (size_t i = 0; i < count; i++) {
        Task *t = CellJob_Task(cell, &tasks[i].task);
        if (t != NULL && suspects && !is_suspect(t) && !t->excused) {
            t->excused = true;
        }
        else if (t != NULL && tasks[i].pending) {
            t->pending_crash = key;
        }
        else if (t != NULL) {
            count_crash(t, worker, key, tasks[i].confirmed);
        }
    }
}

/* Counts the crash of the former incarnation of a task's worker, if it was the
 * one on which the task ran; to be called before the task is released. */
void
CellCrash_CountPending(Task *task)
{
    if (task->pending_crash != 0) {
        int64_t key = task->pending_crash;
        task->pending_crash = 0;
        count_crash(task, &task->worker->info.id, key, true);
    }
}

/* Returns whether a crash of the task's worker may be the task's fault. A
 * worker that leaves may be gone because of that. */
static bool
may_be_cause(const Worker *w, const Task *task)
{
    return !w->info.leaving && CellJob_Active(task->step->job) &&
           !(task->step->spec->long_running &&
             GfTime_DiffMs(w->last_contact_at, task->started_at) > CLEARED_MS);
}

/* Returns whether a remembered run is one of a task. */
static bool
is_run_of(const SilentRun *run, const GfTaskId *task)
{
    return GfName_Equal(&run->task.job, &task->job) &&
           run->task.occurrence == task->occurrence &&
           run->task.step == task->step && run->task.index == task->index;
}

/* Remembers that a task was on an incarnation of a worker of which it is not
 * known whether it crashed, from a time on; not twice. */
static SilentRun *
remember(GfCell *cell, const GfWorkerInfo *worker, const GfTaskId *task,
         struct timespec since)
{
    SilentRun *r;
    DL_FOREACH(cell->silent_runs, r)
    {
        if (is_run_of(r, task) && r->incarnation == worker->incarnation &&
            GfName_Equal(&r->worker, &worker->id)) {
            return r;
        }
    }
    r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->worker = worker->id;
    r->incarnation = worker->incarnation;
    r->port = worker->port;
    memcpy(r->address, worker->address, sizeof(r->address));
    r->task = *task;
    r->since = since;
    DL_APPEND(cell->silent_runs, r);
    Task *t = CellJob_Task(cell, task);
    if (t != NULL) {
        r->counted = true;
        t->silent_runs++;
        CellJobRows_MarkTask(t);
    }
    return r;
}

/* Remembers a task that a stored row names on a worker; confirmed: it ran
 * there. If the worker is cut off, its lease may have been extended until
 * now. */
void
CellCrash_Remember(GfCell *cell, const GfWorkerInfo *worker,
                   const GfTaskId *task, bool confirmed)
{
    int64_t lease_ms = CellWorker_LongestLeaseMs(cell);
    if (!worker->leaving) {
        SilentRun *r =
            remember(cell, worker, task,
                     GfTime_AddMs(GfClock_Now(cell->clock), lease_ms));
        r->inherited = true;
        r->confirmed = r->confirmed || confirmed;
    }
}

/* Remembers the tasks of a worker that fell silent; to be called before they
 * are released. */
void
CellCrash_WorkerSilent(Worker *w)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (may_be_cause(w, t)) {
            GfTaskId id = CellTask_Id(t);
            SilentRun *r = remember(t->step->job->cell, &w->info, &id,
                                    GfClock_Now(t->step->job->cell->clock));
            r->confirmed = r->confirmed || t->state == TASK_RUNNING;
        }
    }
}

/* Records that a worker may have crashed with tasks that only a former owner
 * knew. */
void
CellCrash_Unseen(GfCell *cell)
{
    cell->unseen_crash = true;
    cell->unseen_crash_at = GfClock_Now(cell->clock);
}

/* Counts the crash of a worker for the tasks that it has; to be called before
 * they are released. restarted: a new incarnation is seen, which may have
 * taken the latest starts; else another worker answers at its address. */
void
CellCrash_WorkerGone(GfCell *cell, Worker *w, bool restarted)
{
    size_t count = 0;
    const Task *t;
    DL_COUNT(w->tasks, t, count);
    CrashedTask *tasks = calloc(count + 1, sizeof(CrashedTask));
    if (tasks == NULL) {
        abort();
    }
    count = 0;
    DL_FOREACH(w->tasks, t)
    {
        if (t->state == TASK_RUNNING && may_be_cause(w, t)) {
            tasks[count++] =
                (CrashedTask){CellTask_Id(t), true, restarted && !t->listed};
        }
    }
    if (w->former_lease && !w->contacted) {
        CellCrash_Unseen(cell);
    }
    if (!w->info.leaving) {
        w->has_crashed = true;
        w->crashed_at = GfClock_Now(cell->clock);
        blame(cell, tasks, count, &w->info.id, w->info.incarnation);
    }
    free(tasks);
}

/* Removes a remembered run. */
static void
forget_run(GfCell *cell, SilentRun *run)
{
    Task *t = CellJob_Task(cell, &run->task);
    if (t != NULL && run->counted) {
        t->silent_runs--;
    }
    DL_DELETE(cell->silent_runs, run);
    free(run);
}

/* Removes the remembered runs of an incarnation of a worker and writes those
 * that count if it has crashed to tasks, which has space for all. Returns
 * their number. A start of this owner's that had no answer does not count. */
static size_t
take_silent_runs(GfCell *cell, const GfName *worker, int64_t incarnation,
                 CrashedTask *tasks)
{
    size_t count = 0;
    SilentRun *r;
    SilentRun *tmp;
    DL_FOREACH_SAFE(cell->silent_runs, r, tmp)
    {
        if (r->incarnation == incarnation &&
            GfName_Equal(&r->worker, worker)) {
            if (r->confirmed || r->inherited) {
                tasks[count++] = (CrashedTask){r->task, r->confirmed, false};
            }
            forget_run(cell, r);
        }
    }
    return count;
}

/* Returns whether a worker that is seen shows that the one with a remembered
 * run is over: it is a newer incarnation, or another worker at its address. */
static bool
replaces(const Worker *w, const SilentRun *run)
{
    return run->incarnation < w->info.incarnation &&
           (GfName_Equal(&run->worker, &w->info.id) ||
            (run->address[0] != '\0' && run->port == w->info.port &&
             strcmp(run->address, w->info.address) == 0));
}

/* Judges the remembered runs of a worker that is seen again: a newer
 * incarnation proves that the one with the runs crashed, an answer of the same
 * one that it did not. answered: it has answered, rather than being listed. */
void
CellCrash_WorkerSeen(GfCell *cell, const Worker *w, bool answered)
{
    if (cell->silent_runs == NULL || !cell->placement_started) {
        return;
    }
    size_t total = 0;
    SilentRun *r;
    DL_COUNT(cell->silent_runs, r, total);
    CrashedTask *tasks = calloc(total, sizeof(CrashedTask));
    if (tasks == NULL) {
        abort();
    }
    bool found = true;
    while (found) {
        found = false;
        DL_FOREACH(cell->silent_runs, r)
        {
            bool crashed = replaces(w, r);
            bool alive = answered && r->incarnation == w->info.incarnation &&
                         GfName_Equal(&r->worker, &w->info.id);
            if (crashed || alive) {
                GfName worker = r->worker;
                int64_t incarnation = r->incarnation;
                size_t n = take_silent_runs(cell, &worker, incarnation, tasks);
                if (crashed) {
                    blame(cell, tasks, n, &worker, incarnation);
                }
                found = true;
                break;
            }
        }
    }
    free(tasks);
}

/* Presumes that workers which have been missing for PRESUME_MS crashed. */
void
CellCrash_PresumeLost(GfCell *cell, struct timespec now)
{
    SilentRun *r = cell->silent_runs;
    while (r != NULL) {
        Worker *w = NULL;
        HASH_FIND(hh, cell->workers, r->worker.data, r->worker.len, w);
        if (GfTime_DiffMs(now, r->since) < PRESUME_MS ||
            (w != NULL && w->listed)) {
            r = r->next;
            continue;
        }
        GfName worker = r->worker;
        int64_t incarnation = r->incarnation;
        size_t total = 0;
        SilentRun *each;
        DL_COUNT(cell->silent_runs, each, total);
        CrashedTask *tasks = calloc(total, sizeof(CrashedTask));
        if (tasks == NULL) {
            abort();
        }
        size_t n = take_silent_runs(cell, &worker, incarnation, tasks);
        blame(cell, tasks, n, &worker, incarnation);
        free(tasks);
        r = cell->silent_runs;
    }
}

/* Forgets runs that were remembered for too long; all if now is NULL. */
void
CellCrash_Forget(GfCell *cell, const struct timespec *now)
{
    SilentRun *r;
    SilentRun *tmp;
    DL_FOREACH_SAFE(cell->silent_runs, r, tmp)
    {
        if (now == NULL || GfTime_DiffMs(*now, r->since) > REMEMBER_MS) {
            forget_run(cell, r);
        }
    }
    Accusation *a;
    Accusation *atmp;
    DL_FOREACH_SAFE(cell->accusations, a, atmp)
    {
        if (now == NULL) {
            DL_DELETE(cell->accusations, a);
            free(a);
        }
    }
}

/* Returns whether a task must not start yet: it is to be judged, or a crash
 * that would be one too many may be found out soon. */
bool
CellCrash_Awaits(const GfCell *cell, const Task *task, struct timespec now)
{
    if (task->accused) {
        return true;
    }
    uint32_t crashes = task->crashes;
    uint32_t doubts = task->doubts;
    GfTaskId id = CellTask_Id(task);
    const SilentRun *r;
    for (r = is_suspect(task) ? cell->silent_runs : NULL; r != NULL;
         r = r->next) {
        bool awaited = is_run_of(r, &id) &&
                       GfTime_DiffMs(now, r->since) < AWAIT_RETURN_MS;
        crashes += awaited && r->confirmed;
        doubts += awaited && !r->confirmed && r->inherited;
    }
    return are_too_many(crashes, doubts, 0) &&
           crashes + doubts > task->crashes + task->doubts;
}

/* Returns whether the stored row has to name the worker before the task
 * starts: the task is a suspect, or a worker crashed that no owner saw and it
 * may have run there. */
static bool
needs_intent(const GfCell *cell, const Task *task)
{
    bool unseen =
        cell->unseen_crash && GfTime_DiffMs(GfClock_Now(cell->clock),
                                            cell->unseen_crash_at) < UNSEEN_MS;
    return is_suspect(task) || (unseen && task->step->job->former);
}

/* Returns whether a task may start on a worker now. If its row has to name the
 * worker first and does not, that is prepared and false is returned. */
bool
CellCrash_MayStart(GfCell *cell, Task *task, const Worker *w)
{
    if (!needs_intent(cell, task)) {
        return true;
    }
    if (task->intended_serial != w->serial ||
        task->intended_incarnation != w->info.incarnation) {
        task->intended_serial = w->serial;
        task->intended_incarnation = w->info.incarnation;
        CellJobRows_MarkTask(task);
        task->intended_seq = cell->seq;
        return false;
    }
    return cell->stored_seq >= task->intended_seq;
}

/* Returns whether a task waits for this file, not for capacity: it must not
 * start yet, or its row does not name the intended worker yet. */
bool
CellCrash_IsHeld(const GfCell *cell, const Task *task, struct timespec now)
{
    return CellCrash_Awaits(cell, task, now) ||
           (task->intended_serial != 0 &&
            cell->stored_seq < task->intended_seq);
}

/* Returns the highest suspicion of a task of another job than the step's on a
 * worker. */
static uint32_t
suspicion_beside(const Worker *w, const Step *step)
{
    uint32_t most = 0;
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->step->job != step->job && !is_cleared(t) &&
            CellCrash_Suspicion(t) > most) {
            most = CellCrash_Suspicion(t);
        }
    }
    return most;
}

/* Returns whether a worker crashed a short time ago. */
static bool
is_unstable(const GfCell *cell, const Worker *w)
{
    return w->has_crashed && GfTime_DiffMs(GfClock_Now(cell->clock),
                                           w->crashed_at) < UNSTABLE_MS;
}

/* Returns whether a worker runs tasks of other jobs than the step's. */
static bool
runs_other_jobs(const Worker *w, const Step *step)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->step->job != step->job) {
            return true;
        }
    }
    return false;
}

/* Returns whether a task must not start on a worker, as the next crash would
 * not tell which task is at fault. */
bool
CellCrash_Excludes(const GfCell *cell, const Worker *w, const Task *task)
{
    bool isolated = CellCrash_Suspicion(task) >= ISOLATE_AFTER;
    if (cell->suspects == 0 && !isolated) {
        return false;
    }
    if (isolated && is_unstable(cell, w)) {
        return true;
    }
    uint32_t beside = suspicion_beside(w, task->step);
    return beside >= ISOLATE_AFTER || (isolated && beside > 0);
}

/* Returns whether a worker is better avoided for a task: one of both is a
 * suspect and others would be harmed by the next crash. */
bool
CellCrash_Discourages(const GfCell *cell, const Worker *w, const Task *task)
{
    return (CellCrash_Suspicion(task) > 0 &&
            (runs_other_jobs(w, task->step) || is_unstable(cell, w))) ||
           (cell->suspects > 0 && suspicion_beside(w, task->step) > 0);
}

/* Appends an entry for a task on a worker to placements. */
static void
save_placement(const Task *task, size_t at, const GfName *worker,
               int64_t incarnation, const char *address, uint16_t port,
               json_t *placements)
{
    json_array_append_new(
        placements,
        json_pack("[I,i,s,I,s,i]", (json_int_t)at, (int)task->index,
                  worker->data, (json_int_t)incarnation, address, (int)port));
}

/* Returns the entry of a task with the latest of its crashed incarnations,
 * which the caller owns. at is the index of the task's step over all
 * occurrences, index that of the task. */
json_t *
CellCrash_SaveKeys(size_t at, uint32_t index, const int64_t *keys,
                   uint32_t count)
{
    json_t *entry = json_pack("[I,i]", (json_int_t)at, (int)index);
    for (uint32_t i = count > SAVED_CRASHES ? count - SAVED_CRASHES : 0;
         i < count; i++) {
        json_array_append_new(entry, json_integer((json_int_t)keys[i]));
    }
    return entry;
}

/* Appends to placements on which workers a task runs or ran, and to intended
 * those on which its start may have been carried out or is to be. at is the
 * index of its step over all occurrences. */
void
CellCrash_SavePlacements(const Task *task, size_t at, json_t *placements,
                         json_t *intended)
{
    const Worker *w = CellCrash_IsRecorded(task) ? task->worker : NULL;
    bool confirmed = w != NULL && task->state == TASK_RUNNING;
    if (w == NULL && task->intended_serial != 0) {
        w = CellWorker_Find(task->step->job->cell, task->intended_serial);
        if (w != NULL && w->info.incarnation != task->intended_incarnation) {
            w = NULL;
        }
    }
    if (w != NULL && !w->info.leaving) {
        save_placement(task, at, &w->info.id, w->info.incarnation,
                       w->info.address, w->info.port,
                       confirmed ? placements : intended);
    }
    GfTaskId id = CellTask_Id(task);
    const SilentRun *r;
    for (r = task->silent_runs > 0 ? task->step->job->cell->silent_runs : NULL;
         r != NULL; r = r->next) {
        if (is_run_of(r, &id)) {
            save_placement(task, at, &r->worker, r->incarnation, r->address,
                           r->port, r->confirmed ? placements : intended);
        }
    }
}

/* Accuses a task whose counts are too high. A former owner may have ended
 * before it judged. A task that runs is left alone. */
void
CellCrash_Check(Task *task)
{
    if (are_too_many(task->crashes, task->doubts, 0) && !task->accused) {
        accuse(task);
    }
}

/* Restores what CellCrash_SavePlacements appended for a task; confirmed: to
 * placements. */
void
CellCrash_LoadPlacement(Task *task, const json_t *entry, bool confirmed)
{
    GfWorkerInfo worker = {
        .incarnation = json_integer_value(json_array_get(entry, 3)),
        .port = (uint16_t)json_integer_value(json_array_get(entry, 5))};
    const char *address = json_string_value(json_array_get(entry, 4));
    if (address != NULL &&
        GfName_SetText(&worker.id,
                       json_string_value(json_array_get(entry, 2)))) {
        snprintf(worker.address, sizeof(worker.address), "%s", address);
        GfTaskId id = CellTask_Id(task);
        CellCrash_Remember(task->step->job->cell, &worker, &id, confirmed);
    }
}
