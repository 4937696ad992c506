/* What the log tells of waiting steps. The tests guard against a busy second
 * of which nobody can tell afterwards who waited and why: waits that are told
 * only once a step is placed, put down to the wrong cause or team, or left out
 * while starts are suspended. */
#include "guavaflow/cell.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <unistd.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "suite.h"

#define MAX_LINES 64
#define LINE_BYTES 1200
/* Interval of the lines, and how much later than that a tick may come. */
#define REPORT_MS 1000
#define TICK_MS 50

static const CellSimSettings FLEET = {.workers = 6,
                                      .mcores = 8000,
                                      .memory_mb = 64000,
                                      .callers = 2,
                                      .latency_ms = 2,
                                      .seed = 5};

/* A line on the waits of a class. */
typedef struct {
    unsigned work_class;
    unsigned waiting;
    long long total_ms;
    long long due_ms;
    long long doubt_ms;
    long long limit_ms;
    long long caller_ms;
    long long advice_ms;
    long long room_ms;
    long long round_ms;
    long long period_ms;
    long long other_teams_ms;
    char teams[256];
} WaitLine;

/* A simulation whose log lines are captured. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
    FILE *capture;
    int saved_stderr;
    WaitLine lines[MAX_LINES];
    int count;
} Fixture;

/* Begins to capture the log. */
static void
begin_capture(Fixture *f)
{
    f->capture = tmpfile();
    f->saved_stderr = dup(STDERR_FILENO);
    if (f->capture == NULL || f->saved_stderr < 0) {
        abort();
    }
    dup2(fileno(f->capture), STDERR_FILENO);
    GfLog_SetLevel(GF_LOG_INFO);
}

/* Ends the capture and reads the lines on waits. */
static void
end_capture(Fixture *f)
{
    fflush(stderr);
    dup2(f->saved_stderr, STDERR_FILENO);
    close(f->saved_stderr);
    GfLog_SetLevel(GF_LOG_ERROR);
    rewind(f->capture);
    char text[LINE_BYTES];
    f->count = 0;
    while (fgets(text, sizeof(text), f->capture) != NULL) {
        const char *at = strstr(text, " cell: steps waiting class=");
        if (at == NULL) {
            continue;
        }
        CU_ASSERT_TRUE_FATAL(f->count < MAX_LINES);
        WaitLine *w = &f->lines[f->count];
        w->teams[0] = '\0';
        int n = sscanf(at,
                       " cell: steps waiting class=%u waiting=%u "
                       "waited_ms=%lld due=%lld doubt=%lld limit=%lld "
                       "caller=%lld advice=%lld room=%lld round=%lld "
                       "over_ms=%lld other_teams=%lld teams=%255s",
                       &w->work_class, &w->waiting, &w->total_ms, &w->due_ms,
                       &w->doubt_ms, &w->limit_ms, &w->caller_ms,
                       &w->advice_ms, &w->room_ms, &w->round_ms, &w->period_ms,
                       &w->other_teams_ms, w->teams);
        CU_ASSERT_TRUE(n >= 12);
        f->count++;
    }
    fclose(f->capture);
}

/* Creates a simulation with an owner and lets it settle. limit is each team's,
 * in mcores; 0: none. */
static void
set_up(Fixture *f, int64_t limit)
{
    memset(f, 0, sizeof(*f));
    GfLog_SetLevel(GF_LOG_ERROR);
    f->config = CellSim_MakeConfig(limit);
    f->sim = CellSim_Create(&FLEET, f->config);
    CellSim_TakeOver(f->sim);
    CellSim_Run(f->sim, 1500);
}

/* Checks the invariants and frees the simulation. */
static void
tear_down(Fixture *f)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(f->sim));
    CellSim_Destroy(f->sim);
    GfCellConfig_Destroy(f->config);
}

/* Submits jobs of one task of a core each. */
static void
submit(Fixture *f, const char *queue, const char *team, int jobs,
       int64_t run_ms)
{
    CellSimJob job = {.queue = queue,
                      .team = team,
                      .run_ms = run_ms,
                      .steps = 1,
                      .step = {.task_count = 1, .need = {1000, 100, 0}}};
    for (int i = 0; i < jobs; i++) {
        CellSim_Submit(f->sim, &job);
    }
}

/* Checks what holds for every line. */
static void
check_line(const WaitLine *w)
{
    CU_ASSERT_EQUAL(w->total_ms, w->due_ms + w->doubt_ms + w->limit_ms +
                                     w->caller_ms + w->advice_ms + w->room_ms +
                                     w->round_ms);
    CU_ASSERT_EQUAL(w->other_teams_ms, 0);
    CU_ASSERT_TRUE(w->period_ms >= REPORT_MS);
    CU_ASSERT_TRUE(w->period_ms <= REPORT_MS + TICK_MS);
}

/* Hundreds of steps wait for room on workers that stay busy for the whole
 * time: each second has its line, with what all of them waited, though none of
 * them is placed, and the team with the most steps is named first. */
static void
test_waiting_steps_are_told_before_they_are_placed(void)
{
    Fixture f;
    set_up(&f, 0);
    submit(&f, "batch", "a", 48, 20000);
    CellSim_Run(f.sim, 500);
    submit(&f, "batch", "a", 100, 1000);
    submit(&f, "batch", "b", 300, 1000);
    CellSim_Run(f.sim, 1000);
    begin_capture(&f);
    CellSim_Run(f.sim, 5000 + TICK_MS);
    end_capture(&f);
    CU_ASSERT_TRUE(f.count == 4 || f.count == 5);
    for (int i = 0; i < f.count; i++) {
        const WaitLine *w = &f.lines[i];
        check_line(w);
        CU_ASSERT_EQUAL(w->work_class, 2);
        CU_ASSERT_EQUAL(w->waiting, 400);
        CU_ASSERT_EQUAL(w->total_ms, 400 * w->period_ms);
        CU_ASSERT_EQUAL(w->room_ms, w->total_ms);
        char teams[64];
        snprintf(teams, sizeof(teams), "b:%lld,a:%lld", 300 * w->period_ms,
                 100 * w->period_ms);
        CU_ASSERT_STRING_EQUAL(w->teams, teams);
    }
    tear_down(&f);
}

/* A team at its limit waits for the limit, not for room; the other team, which
 * does not wait, is not named. */
static void
test_wait_at_limit(void)
{
    Fixture f;
    set_up(&f, 4000);
    submit(&f, "quick", "a", 4, 20000);
    CellSim_Run(f.sim, 500);
    submit(&f, "quick", "a", 50, 1000);
    submit(&f, "quick", "b", 2, 1000);
    CellSim_Run(f.sim, 1000);
    begin_capture(&f);
    CellSim_Run(f.sim, 1000 + TICK_MS);
    end_capture(&f);
    CU_ASSERT_TRUE_FATAL(f.count >= 1);
    const WaitLine *w = &f.lines[0];
    check_line(w);
    CU_ASSERT_EQUAL(w->work_class, 0);
    CU_ASSERT_EQUAL(w->limit_ms, 50 * w->period_ms);
    CU_ASSERT_EQUAL(w->total_ms, w->limit_ms);
    CU_ASSERT_PTR_NOT_NULL(strstr(w->teams, "a:"));
    CU_ASSERT_PTR_NULL(strstr(w->teams, "b:"));
    tear_down(&f);
}

/* While starts are suspended no placement round runs: the lines go on, and the
 * steps wait for a round, whatever they waited for before. */
static void
test_waits_while_starts_are_suspended(void)
{
    Fixture f;
    set_up(&f, 0);
    submit(&f, "batch", "b", 48, 20000);
    CellSim_Run(f.sim, 500);
    submit(&f, "batch", "a", 20, 1000);
    CellSim_Run(f.sim, 500);
    GfCell_SetWorkersCurrent(CellSim_Owner(f.sim), false);
    submit(&f, "batch", "a", 10, 1000);
    CellSim_Run(f.sim, 1000 + TICK_MS);
    begin_capture(&f);
    CellSim_Run(f.sim, 2000 + TICK_MS);
    end_capture(&f);
    CU_ASSERT_TRUE_FATAL(f.count >= 1);
    for (int i = 0; i < f.count; i++) {
        check_line(&f.lines[i]);
        CU_ASSERT_EQUAL(f.lines[i].waiting, 30);
        CU_ASSERT_EQUAL(f.lines[i].round_ms, 30 * f.lines[i].period_ms);
    }
    tear_down(&f);
}

/* No line is written while no step waits, nor while steps wait only until they
 * are due. */
static void
test_no_line_while_nothing_waits(void)
{
    Fixture f;
    set_up(&f, 0);
    submit(&f, "quick", "a", 5, 20000);
    GfName id = GfName_Format("00000000000000aa");
    GfName team = GfName_Format("a");
    GfName queue = GfName_Format("quick");
    GfJobSpec spec = {.step_count = 1,
                      .occurrences = 3,
                      .first_due_ms = GfTime_WallMs() + 3600000,
                      .interval_ms = 1000};
    spec.steps = calloc(1, sizeof(GfStepSpec));
    CU_ASSERT_PTR_NOT_NULL_FATAL(spec.steps);
    spec.steps[0] = (GfStepSpec){
        .task_count = 1, .need = {1000, 100, 0}, .estimate_ms = 100};
    CU_ASSERT_TRUE(GfCell_AddJob(CellSim_Owner(f.sim), &id, &team, &queue, 0,
                                 &spec, NULL, false));
    CellSim_Run(f.sim, 1500);
    begin_capture(&f);
    CellSim_Run(f.sim, 3000);
    end_capture(&f);
    CU_ASSERT_EQUAL(f.count, 0);
    tear_down(&f);
}

/* Returns the value of a line of the metrics, or -1 if there is none. */
static long long
metric(const char *line)
{
    GfStr text = GfMetrics_Format();
    const char *at = strstr(text.data, line);
    long long value = -1;
    if (at != NULL && at[strlen(line)] == ' ') {
        value = strtoll(at + strlen(line), NULL, 10);
    }
    GfStr_Clear(&text);
    return value;
}

/* Steps that were placed count in the histograms of the causes for which they
 * waited, and their sum is the time that they waited. */
static void
test_histograms_by_cause(void)
{
    const char *const COUNT =
        "guavaflow_step_wait_cause_ms_count{cause=\"limit\"}";
    const char *const SUM =
        "guavaflow_step_wait_cause_ms_sum{cause=\"limit\"}";
    Fixture f;
    set_up(&f, 2000);
    long long count = metric(COUNT);
    long long sum = metric(SUM);
    CU_ASSERT_TRUE_FATAL(count >= 0 && sum >= 0);
    submit(&f, "quick", "b", 2, 3000);
    CellSim_Run(f.sim, 100);
    submit(&f, "quick", "b", 2, 100);
    CellSim_Run(f.sim, 6000);
    CU_ASSERT_EQUAL(metric(COUNT), count + 2);
    CU_ASSERT_TRUE(metric(SUM) - sum >= 2 * 2500);
    CU_ASSERT_TRUE(metric(SUM) - sum <= 2 * 3500);
    tear_down(&f);
}

/* Refusals are counted by reason; a job that is accepted, or of which nobody
 * knows whether it is stored, is no refusal. Histograms of one name are
 * declared once, as the format demands. */
static void
test_refusals_by_reason(void)
{
    GfMetrics_CountRefusal(GF_LIMIT_REACHED);
    GfMetrics_CountRefusal(GF_LIMIT_REACHED);
    GfMetrics_CountRefusal(GF_NEVER_FITS);
    GfMetrics_CountRefusal(GF_OK);
    GfMetrics_CountRefusal(GF_TIMEOUT);
    CU_ASSERT_EQUAL(
        metric("guavaflow_jobs_refused_total{reason=\"limit_reached\"}"), 2);
    CU_ASSERT_EQUAL(
        metric("guavaflow_jobs_refused_total{reason=\"never_fits\"}"), 1);
    CU_ASSERT_EQUAL(metric("guavaflow_jobs_refused_total{reason=\"ok\"}"), -1);
    CU_ASSERT_EQUAL(metric("guavaflow_jobs_refused_total{reason=\"timeout\"}"),
                    -1);
    GfStr text = GfMetrics_Format();
    const char *declared =
        strstr(text.data, "# TYPE guavaflow_step_wait_cause_ms histogram\n");
    CU_ASSERT_PTR_NOT_NULL_FATAL(declared);
    CU_ASSERT_PTR_NULL(
        strstr(declared + 1, "# TYPE guavaflow_step_wait_cause_ms"));
    GfStr_Clear(&text);
}

static const SuiteTest TESTS[] = {
    {"waiting steps are told before they are placed",
     test_waiting_steps_are_told_before_they_are_placed},
    {"wait at the limit", test_wait_at_limit},
    {"waits while starts are suspended",
     test_waits_while_starts_are_suspended},
    {"no line while nothing waits", test_no_line_while_nothing_waits},
    {"histograms by cause", test_histograms_by_cause},
    {"refusals by reason", test_refusals_by_reason}};

SUITE_MAIN("place_log", TESTS)
