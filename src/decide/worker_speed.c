/* Detection of slow and stuck workers by a sequential test, for workers that
 * turn several times slower for some seconds. A run at its usual speed shows
 * that the worker is not slow, since no estimate is wrong enough to make it
 * seem so; a slow run may also be a long task or a wrong estimate, so that
 * several different ones are needed, and no other run may be at its usual
 * speed meanwhile. */
#include "guavaflow/worker_speed.h"

#include <assert.h>
#include <math.h>
#include <stddef.h>

#include "guavaflow/clock.h"

/* A run is slow below this part of its worker's usual speed. Estimates are
 * taken to be off by less than a factor of 2.5. */
#define SLOW_RATIO 0.4
/* Different slow tasks after which a worker is believed slow, if none of them
 * comes later than EVIDENCE_MS after the one before. */
#define SLOW_EVIDENCE 2
#define EVIDENCE_MS 3000
/* Without new evidence a belief turns into probation after BELIEF_MS, and is
 * dropped after FORGET_MS. */
#define BELIEF_MS 3000
#define FORGET_MS 6000
/* A speed is measured over an interval in which a run of usual speed advances
 * by this much, so that whole percents are precise enough, and which is not
 * too short for the delay of a start. */
#define MIN_PERCENT 8
#define MIN_INTERVAL_MS 100
/* A run makes no progress if its percent has not changed while a run of speed
 * 1 would have advanced by this much. */
#define STANDING_PERCENT 20
/* A run that resumes from a checkpoint is not measured for this long, as it
 * has to restore its state first. */
#define RESUME_MS 500
#define PERCENT 100
/* Speed of a run without progress, in percent of the interval. */
#define STANDING_SPEED 0.01
/* The usual speed of a kind follows the median of the samples by steps of
 * bounded size, first large, then at least MIN_STEP (stochastic approximation,
 * Robbins and Monro 1951). Differences up to STEP_RANGE count in part. */
#define FIRST_STEP 0.3F
#define MIN_STEP 0.01F
#define STEP_RANGE 0.2F
/* A worker's mean difference from its kind is taken over about OWN_SAMPLES,
 * none counted as more than OWN_RANGE, and is shrunk towards 0 as if
 * OWN_PRIOR samples without a difference had come before. */
#define OWN_SAMPLES 32
#define OWN_PRIOR 8
#define OWN_RANGE 0.5F
/* A worker that is lost twice within UNSTEADY_WINDOW_MS is unsteady until
 * UNSTEADY_MS after the latest loss. */
#define UNSTEADY_WINDOW_MS 6000
#define UNSTEADY_MS 4000

/* Returns the name of a state, as in logs. */
const char *
GfSpeedState_Name(GfSpeedState state)
{
    static const char *const NAMES[GF_SPEED_STATES] = {"trusted", "slow",
                                                       "still", "probation"};
    assert(state < GF_SPEED_STATES);
    return NAMES[state];
}

/* Returns the entry of a kind, which is added if it is not known. When the
 * table is full, further kinds share the first entry. */
GfSpeedKind *
GfSpeedKinds_Find(GfSpeedKinds *kinds, const GfName *name)
{
    for (uint32_t i = 0; i < kinds->count; i++) {
        if (GfName_Equal(&kinds->kinds[i].name, name)) {
            return &kinds->kinds[i];
        }
    }
    if (kinds->count == GF_SPEED_MAX_KINDS) {
        return &kinds->kinds[0];
    }
    GfSpeedKind *kind = &kinds->kinds[kinds->count++];
    *kind = (GfSpeedKind){.name = *name};
    return kind;
}

/* Sets when a run began, on the worker's clock. resumed: from a checkpoint, so
 * that its first percent is not known. */
void
GfRunProgress_Begin(GfRunProgress *progress, bool resumed, int64_t clock_ms)
{
    *progress = (GfRunProgress){.began_ms = clock_ms, .resumed = resumed};
    if (!resumed) {
        progress->clock_ms = clock_ms;
        progress->changed_ms = clock_ms;
    }
}

/* Starts a new interval. */
static void
begin_interval(GfRunProgress *progress, int percent, int64_t clock_ms)
{
    progress->clock_ms = clock_ms;
    progress->begin_percent = percent;
    progress->percent = percent;
}

/* Applies the percent that an inventory lists for a run. Returns whether an
 * interval is long enough to be measured; then its speed and whether the run
 * stands still are written to *sample, and the next interval begins. */
bool
GfRunProgress_Measure(GfRunProgress *progress, int64_t estimate_ms,
                      int percent, int64_t clock_ms, GfSpeedSample *sample)
{
    if (progress->clock_ms == 0 || percent < progress->percent) {
        if (!progress->resumed || clock_ms >= progress->began_ms + RESUME_MS) {
            begin_interval(progress, percent, clock_ms);
            progress->changed_ms = clock_ms;
        }
        return false;
    }
    if (percent != progress->percent) {
        progress->percent = percent;
        progress->changed_ms = clock_ms;
    }
    int64_t interval_ms = clock_ms - progress->clock_ms;
    if (estimate_ms <= 0 || interval_ms < MIN_INTERVAL_MS ||
        interval_ms * PERCENT < estimate_ms * MIN_PERCENT) {
        return false;
    }
    int64_t still_ms = clock_ms - progress->changed_ms;
    sample->from_ms = progress->clock_ms;
    sample->to_ms = clock_ms;
    sample->standing = still_ms * PERCENT >= estimate_ms * STANDING_PERCENT;
    double done_ms = (double)(percent - progress->begin_percent) / PERCENT *
                     (double)estimate_ms;
    sample->speed =
        done_ms > 0 ? done_ms / (double)interval_ms : STANDING_SPEED;
    sample->least_speed =
        sample->speed - (double)estimate_ms / PERCENT / (double)interval_ms;
    begin_interval(progress, percent, clock_ms);
    return true;
}

/* Computes the least speed that a run which has completed can have had, in all
 * or since the latest interval, as its report may come late. Returns false if
 * the run was not measured from its start. */
bool
GfRunProgress_Complete(const GfRunProgress *progress, int64_t estimate_ms,
                       int64_t clock_ms, GfSpeedSample *sample)
{
    int64_t run_ms = clock_ms - progress->began_ms;
    if (progress->began_ms == 0 || progress->resumed || estimate_ms <= 0 ||
        run_ms < MIN_INTERVAL_MS) {
        return false;
    }
    sample->standing = false;
    sample->speed = (double)estimate_ms / (double)run_ms;
    sample->least_speed = sample->speed;
    sample->from_ms = progress->began_ms;
    sample->to_ms = clock_ms;
    int64_t interval_ms = clock_ms - progress->clock_ms;
    double left_ms = (double)(PERCENT - 1 - progress->begin_percent) /
                     PERCENT * (double)estimate_ms;
    if (interval_ms > 0 && left_ms / (double)interval_ms > sample->speed) {
        sample->speed = left_ms / (double)interval_ms;
        sample->least_speed = sample->speed;
        sample->from_ms = progress->clock_ms;
    }
    return true;
}

/* Returns the usual speed of a worker. */
static double
usual_speed(const GfWorkerSpeed *speed)
{
    return speed->speed > 0 ? speed->speed : 1;
}

/* Recomputes the usual speed from those of the kind and of the worker. */
static void
update_usual_speed(GfWorkerSpeed *speed)
{
    float part =
        (float)speed->own_samples / (float)(speed->own_samples + OWN_PRIOR);
    speed->speed = expf(speed->kind_log + part * speed->own_log);
}

/* Drops all doubts about a worker. */
static void
trust(GfWorkerSpeed *speed)
{
    speed->state = GF_SPEED_TRUSTED;
    speed->evidence = 0;
    speed->evidence_step = 0;
}

/* Prepares for the runs of an inventory; kind is that of the worker. Beliefs
 * that are too old are dropped. */
void
GfWorkerSpeed_BeginInventory(GfWorkerSpeed *speed, const GfSpeedKind *kind,
                             struct timespec now)
{
    GfSpeedState state = GfWorkerSpeed_State(speed, now);
    if (state == GF_SPEED_TRUSTED && speed->state != GF_SPEED_TRUSTED) {
        trust(speed);
    }
    speed->state = (uint8_t)state;
    speed->best_ratio = 0;
    speed->measured = 0;
    speed->standing = 0;
    speed->new_slow = false;
    if (speed->kind_log != kind->log_speed) {
        speed->kind_log = kind->log_speed;
        update_usual_speed(speed);
    }
}

/* Limits a value to the range from -range to range. */
static float
clamp(float value, float range)
{
    return value < -range ? -range : value > range ? range : value;
}

/* Learns the usual speeds of a worker and its kind from a run that was not
 * slow. */
static void
learn(GfWorkerSpeed *speed, GfSpeedKind *kind, double run_speed)
{
    float sample = logf((float)run_speed);
    kind->samples++;
    float step = FIRST_STEP / (float)kind->samples;
    step = step > MIN_STEP ? step : MIN_STEP;
    kind->log_speed +=
        step * clamp(sample - kind->log_speed, STEP_RANGE) / STEP_RANGE;
    speed->kind_log = kind->log_speed;
    if (speed->own_samples < OWN_SAMPLES) {
        speed->own_samples++;
    }
    float own = clamp(sample - kind->log_speed, OWN_RANGE);
    speed->own_log += (own - speed->own_log) / (float)speed->own_samples;
    update_usual_speed(speed);
}

/* Records an interval of usual speed that began at from_ms. */
static void
add_normal(GfWorkerSpeed *speed, int64_t from_ms)
{
    if (from_ms > speed->normal_from) {
        speed->normal_from = from_ms;
    }
}

/* Applies a measured interval of a run. A run counts once as evidence until it
 * is at its usual speed again; all runs of a step together do if none of its
 * tasks has been at its usual speed anywhere, as then the step may be longer
 * than estimated. Returns whether the run was at its usual speed. */
bool
GfWorkerSpeed_Observe(GfWorkerSpeed *speed, GfSpeedKind *kind,
                      GfRunProgress *progress, const GfSpeedSample *sample,
                      struct timespec now)
{
    double ratio = sample->speed / usual_speed(speed);
    speed->measured++;
    speed->standing += sample->standing;
    if (ratio > speed->best_ratio) {
        speed->best_ratio = (float)ratio;
    }
    if (sample->least_speed >= SLOW_RATIO * usual_speed(speed)) {
        add_normal(speed, sample->from_ms);
        progress->slow = false;
        if (!progress->learned) {
            progress->learned = true;
            learn(speed, kind, sample->speed);
        }
        return true;
    }
    if (progress->slow || ratio >= SLOW_RATIO) {
        return false;
    }
    progress->slow = true;
    speed->new_slow = true;
    int64_t now_ms = GfTime_ToMs(now);
    if (now_ms - speed->evidence_ms > EVIDENCE_MS) {
        speed->evidence = 0;
        speed->evidence_step = 0;
    }
    if (speed->evidence < SLOW_EVIDENCE &&
        (sample->step_ran_well || sample->step != speed->evidence_step)) {
        speed->evidence++;
    }
    speed->evidence_step = sample->step;
    speed->evidence_ms = now_ms;
    if (sample->from_ms > speed->evidence_from) {
        speed->evidence_from = sample->from_ms;
    }
    int64_t middle = sample->from_ms + (sample->to_ms - sample->from_ms) / 2;
    if (middle > speed->evidence_middle) {
        speed->evidence_middle = middle;
    }
    return false;
}

/* Applies the speed of a run that has completed. That it seems slow shows
 * nothing, as the report may have come late. */
void
GfWorkerSpeed_ObserveEnd(GfWorkerSpeed *speed, const GfSpeedSample *sample)
{
    if (sample->speed >= SLOW_RATIO * usual_speed(speed)) {
        add_normal(speed, sample->from_ms);
    }
}

/* Draws the conclusion from the runs of an inventory. An interval of
 * usual speed contradicts the slow ones if it begins after the middle of each
 * of them: if the worker became slow within such an interval, that was before
 * its middle. One that begins after the start of each leaves it open. */
void
GfWorkerSpeed_EndInventory(GfWorkerSpeed *speed, struct timespec now)
{
    bool stands =
        speed->standing == speed->measured && speed->standing >= SLOW_EVIDENCE;
    if (!stands && speed->normal_from >= speed->evidence_middle) {
        trust(speed);
        return;
    }
    bool doubted = speed->state != GF_SPEED_TRUSTED;
    bool slow = speed->evidence >= SLOW_EVIDENCE &&
                speed->normal_from < speed->evidence_from;
    if (speed->measured == 0 || (!doubted && !slow && !stands)) {
        return;
    }
    /* Runs that were slow before may be long tasks; only new ones, or several
     * that stand still, confirm the belief. */
    if (!doubted || speed->new_slow || stands) {
        speed->doubted_ms = GfTime_ToMs(now);
    }
    bool stood =
        speed->state == GF_SPEED_STILL && speed->standing == speed->measured;
    speed->state = stands || stood ? GF_SPEED_STILL : GF_SPEED_SLOW;
    speed->slow_speed = speed->best_ratio * (float)usual_speed(speed);
    speed->state = (uint8_t)GfWorkerSpeed_State(speed, now);
}

/* Records that contact with a worker, or its runs, were lost. */
void
GfWorkerSpeed_Lost(GfWorkerSpeed *speed, struct timespec now)
{
    int64_t now_ms = GfTime_ToMs(now);
    if (speed->lost_ms > 0 && now_ms - speed->lost_ms <= UNSTEADY_WINDOW_MS) {
        speed->unsteady_until = now_ms + UNSTEADY_MS;
    }
    speed->lost_ms = now_ms;
}

/* Forgets the speed of a worker that has begun a new incarnation, which may be
 * of another kind; its former runs were lost. */
void
GfWorkerSpeed_Restart(GfWorkerSpeed *speed, struct timespec now)
{
    *speed = (GfWorkerSpeed){.lost_ms = speed->lost_ms,
                             .unsteady_until = speed->unsteady_until};
    GfWorkerSpeed_Lost(speed, now);
}

/* Returns whether a worker was lost repeatedly a short time ago. */
bool
GfWorkerSpeed_IsUnsteady(const GfWorkerSpeed *speed, struct timespec now)
{
    return speed->unsteady_until > 0 &&
           GfTime_ToMs(now) < speed->unsteady_until;
}

/* Returns what is believed of a worker. */
GfSpeedState
GfWorkerSpeed_State(const GfWorkerSpeed *speed, struct timespec now)
{
    if (speed->state == GF_SPEED_TRUSTED) {
        return GF_SPEED_TRUSTED;
    }
    int64_t age_ms = GfTime_ToMs(now) - speed->doubted_ms;
    if (age_ms > FORGET_MS) {
        return GF_SPEED_TRUSTED;
    }
    return age_ms > BELIEF_MS ? GF_SPEED_PROBATION
                              : (GfSpeedState)speed->state;
}

/* Returns the speed at which a worker is expected to run tasks, 1 if nothing
 * is known. */
double
GfWorkerSpeed_At(const GfWorkerSpeed *speed, struct timespec now)
{
    if (speed->state != GF_SPEED_TRUSTED &&
        GfWorkerSpeed_State(speed, now) != GF_SPEED_TRUSTED) {
        return speed->slow_speed > STANDING_SPEED ? speed->slow_speed
                                                  : STANDING_SPEED;
    }
    return usual_speed(speed);
}

/* Returns how long in ms a worker is expected to take for work_ms of work, as
 * estimated. A worker that has become slow is taken to recover after
 * BELIEF_MS. */
int64_t
GfWorkerSpeed_RunMs(const GfWorkerSpeed *speed, int64_t work_ms,
                    struct timespec now)
{
    double at = GfWorkerSpeed_At(speed, now);
    double ms = (double)work_ms / at;
    double usual = usual_speed(speed);
    if (at < usual && ms > BELIEF_MS) {
        ms = BELIEF_MS + ((double)work_ms - at * BELIEF_MS) / usual;
    }
    return (int64_t)ms;
}
