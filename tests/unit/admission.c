/* Admission of jobs. The tests guard against jobs that are refused although
 * they can be served, jobs that are accepted although they fit no worker,
 * their team has a full backlog or they will be of no value, refusals by a
 * forecast that does not hold any more, and times to retry that are out of
 * bounds or bring all callers back at once. */
#include "guavaflow/admission.h"

#include <string.h>

#include "suite.h"

static GfName service;
static GfName team_a;
static GfName team_b;

/* Sets the names that all tests use. */
static void
set_names(void)
{
    CU_ASSERT(GfName_SetText(&service, "plan"));
    CU_ASSERT(GfName_SetText(&team_a, "a"));
    CU_ASSERT(GfName_SetText(&team_b, "b"));
}

/* Checks a job of the team with a small step and the given one; sets the ms
 * after which to retry. */
static GfErrorKind
check(const GfAdmission *a, const GfName *team, GfStepSpec step,
      uint32_t *retry_after_ms)
{
    GfStepSpec steps[2] = {{.task_count = 1}, step};
    GfJobSpec spec = {.steps = steps, .step_count = 2};
    return GfAdmission_Check(a, &service, team, &spec, retry_after_ms);
}

/* A new entry, which knows no worker yet, refuses nothing. */
static void
test_no_worker_known(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry = 1;
    GfStepSpec huge = {.task_count = 1, .need = {1 << 30, 1 << 30, 64}};
    CU_ASSERT_EQUAL(check(&a, &team_a, huge, &retry), GF_OK);
    CU_ASSERT_EQUAL(retry, 0);
}

/* A task that exceeds the largest processors, memory or accelerators of all
 * workers seen is refused. One that fits a worker is not, even if that worker
 * has left since. Backfill tasks may ask for more processors than any worker
 * has. */
static void
test_never_fits(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry;
    GfAdmission_AddCapacity(&a, &service, (GfResources){16000, 64000, 0});
    GfAdmission_AddCapacity(&a, &service, (GfResources){8000, 128000, 2});
    GfAdmission_AddCapacity(&a, &service, (GfResources){4000, 1000, 0});
    GfStepSpec fit = {.task_count = 9, .need = {16000, 64000, 0}};
    GfStepSpec wide = {.task_count = 1, .need = {16001, 1, 0}};
    GfStepSpec large = {.task_count = 1, .need = {1, 128001, 0}};
    GfStepSpec many = {.task_count = 1, .need = {1, 1, 3}};
    GfStepSpec backfill = {
        .task_count = 1, .need = {99000, 1, 0}, .backfill = true};
    CU_ASSERT_EQUAL(check(&a, &team_a, fit, &retry), GF_OK);
    CU_ASSERT_EQUAL(check(&a, &team_a, wide, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, large, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, many, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, backfill, &retry), GF_OK);
}

/* A team with 40,000 waiting tasks is refused, another team is not. The time
 * to retry is that in which a tenth of the backlog is started at the current
 * rate, from 1 s to 10 s. */
static void
test_backlog(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry = 0;
    GfStepSpec step = {.task_count = 1};
    GfTeamBacklog backlogs[] = {{team_a, 39999, 100, 0}, {team_b, 10, 100, 0}};
    GfAdmission_SetBacklogs(&a, backlogs, 2);
    CU_ASSERT_EQUAL(check(&a, &team_a, step, &retry), GF_OK);
    backlogs[0].waiting_tasks = 40000;
    backlogs[0].starts_per_s = 1000;
    GfAdmission_SetBacklogs(&a, backlogs, 2);
    CU_ASSERT_EQUAL(check(&a, &team_a, step, &retry), GF_LIMIT_REACHED);
    CU_ASSERT_EQUAL(retry, 4000);
    CU_ASSERT_EQUAL(check(&a, &team_b, step, &retry), GF_OK);
    backlogs[0].starts_per_s = 0;
    GfAdmission_SetBacklogs(&a, backlogs, 2);
    CU_ASSERT_EQUAL(check(&a, &team_a, step, &retry), GF_LIMIT_REACHED);
    CU_ASSERT_EQUAL(retry, 10000);
    backlogs[0].starts_per_s = 1000000;
    GfAdmission_SetBacklogs(&a, backlogs, 2);
    CU_ASSERT_EQUAL(check(&a, &team_a, step, &retry), GF_LIMIT_REACHED);
    CU_ASSERT_EQUAL(retry, 1000);
}

/* Seven teams that are below their own bound exceed the bound of all teams
 * together: those with more than an equal part are refused, a small team is
 * not. */
static void
test_all_teams_together(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry = 0;
    GfStepSpec step = {.task_count = 1};
    GfTeamBacklog backlogs[8];
    for (int i = 0; i < 8; i++) {
        backlogs[i] = (GfTeamBacklog){GfName_Format("t%d", i), 32000, 10, 0};
    }
    backlogs[0] = (GfTeamBacklog){team_a, 100, 10, 0};
    GfAdmission_SetBacklogs(&a, backlogs, 8);
    CU_ASSERT_EQUAL(check(&a, &team_a, step, &retry), GF_OK);
    CU_ASSERT_EQUAL(check(&a, &backlogs[3].team, step, &retry),
                    GF_LIMIT_REACHED);
}

/* The time to retry grows with the length of a store outage, from 1 s to 3 s.
 */
static void
test_outage(void)
{
    CU_ASSERT_EQUAL(GfAdmission_OutageRetryMs(0), 1000);
    CU_ASSERT_EQUAL(GfAdmission_OutageRetryMs(400), 1000);
    CU_ASSERT_EQUAL(GfAdmission_OutageRetryMs(1800), 1800);
    CU_ASSERT_EQUAL(GfAdmission_OutageRetryMs(60000), 3000);
    uint32_t before = 0;
    for (int64_t ms = 0; ms < 5000; ms += 100) {
        uint32_t now = GfAdmission_OutageRetryMs(ms);
        CU_ASSERT(now >= before);
        before = now;
    }
}

/* An objective of 1.5 times the critical path and 250 ms more. */
static const GfQueue QUICK = {
    .name = {5, "quick"}, .stretch = 1.5, .latency_target_ms = 250};

/* Returns limits with the forecast that every job of the queue waits for so
 * long, made at 10 s. */
static GfAdmission
forecast(uint32_t wait_ms, uint32_t late_wait_ms)
{
    set_names();
    GfAdmission a = {.forecast = {.number = 1,
                                  .made_at = GfTime_FromMs(10000),
                                  .queue_count = 1,
                                  .wait_count = 1}};
    a.forecast.queues[0] = (GfQueueForecast){QUICK.name, 1000, 0};
    a.forecast.waits[0] = (GfAdmissionWait){
        .wait_ms = wait_ms, .late_wait_ms = late_wait_ms, .doubt_ms = 100};
    return a;
}

/* Checks a job with a critical path of 1 s and 1000 mcore-s of work against
 * the forecast, some ms after it was made. */
static GfErrorKind
check_forecast(GfAdmission *a, const GfQueue *queue, const GfName *team,
               int64_t after_ms, GfForecastCheck *result)
{
    GfStepSpec step = {
        .task_count = 1, .need = {1000, 1, 0}, .estimate_ms = 1000};
    GfJobSpec spec = {.steps = &step, .step_count = 1};
    return GfAdmission_CheckForecast(a, queue, team, &spec,
                                     GfTime_FromMs(10000 + after_ms), result);
}

/* The objective of these jobs is 1.75 s, so a wait of 600 ms is in time, and
 * one of up to 4 s, with the doubt, of value. What waits longer is refused. */
static void
test_forecast_of_value(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(600, 50000);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
    CU_ASSERT_EQUAL(c.wait_ms, 600);
    a = forecast(900, 4200);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
    CU_ASSERT_EQUAL(c.retry_after_ms, 0);
    a = forecast(900, 4500);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_BUSY);
    CU_ASSERT_EQUAL(c.wait_ms, 4500);
    CU_ASSERT_EQUAL(c.doubt_ms, 100);
    CU_ASSERT_EQUAL(c.retry_after_ms, 4500);
    /* There is room for it now, whatever comes later. */
    a = forecast(0, 50000);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
}

/* A forecast counts for 600 ms, and its age adds to its doubt. Without one,
 * nobody is refused. */
static void
test_forecast_too_old(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(900, 50000);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 600, &c), GF_BUSY);
    CU_ASSERT_EQUAL(c.age_ms, 600);
    CU_ASSERT_EQUAL(c.doubt_ms, 700);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 601, &c), GF_OK);
    a = forecast(900, 4500);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 300, &c), GF_OK);
    GfAdmission_ForgetForecast(&a);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
}

/* Waits that grow are taken as they are when the job is submitted. */
static void
test_forecast_of_growing_wait(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(600, 50000);
    a.forecast.queues[0].growth_ms = 1000;
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 200, &c), GF_BUSY);
}

/* Jobs without an objective, long-running ones, ones that are due later and
 * ones of other queues are never refused for a forecast. */
static void
test_forecast_does_not_apply(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(900, 50000);
    GfQueue none = {.name = QUICK.name};
    GfQueue other = QUICK;
    CU_ASSERT(GfName_SetText(&other.name, "other"));
    CU_ASSERT_EQUAL(check_forecast(&a, &none, &team_a, 0, &c), GF_OK);
    CU_ASSERT_EQUAL(check_forecast(&a, &other, &team_a, 0, &c), GF_OK);
    GfStepSpec step = {
        .task_count = 1, .estimate_ms = 1000, .long_running = true};
    GfJobSpec spec = {.steps = &step, .step_count = 1};
    struct timespec now = GfTime_FromMs(10000);
    CU_ASSERT_EQUAL(
        GfAdmission_CheckForecast(&a, &QUICK, &team_a, &spec, now, &c), GF_OK);
    step.long_running = false;
    spec.first_due_ms = 1;
    CU_ASSERT_EQUAL(
        GfAdmission_CheckForecast(&a, &QUICK, &team_a, &spec, now, &c), GF_OK);
}

/* A team's own wait goes before that of all teams, and a team that waits for
 * its limit is told so. */
static void
test_forecast_by_team(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(0, 0);
    a.forecast.waits[a.forecast.wait_count++] =
        (GfAdmissionWait){.team = team_a,
                          .wait_ms = 900,
                          .late_wait_ms = 9000,
                          .at_limit = true};
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c),
                    GF_LIMIT_REACHED);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_b, 0, &c), GF_OK);
    a = forecast(900, 9000);
    a.forecast.waits[a.forecast.wait_count++] =
        (GfAdmissionWait){.team = team_a};
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_OK);
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_b, 0, &c), GF_BUSY);
    a.forecast.waits[1].queue = 9;
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_BUSY);
}

/* A team may exceed its limit by one task, so only a gang whose other members
 * exceed it is refused. Accepted, it would wait for as long as the limit
 * stands. */
static void
test_gang_above_the_limit_accepted(void)
{
    GfResources limit = {12000, 4000, 0};
    GfStepSpec steps[] = {
        {.task_count = 9, .need = {14000, 1, 8}},
        {.task_count = 3, .need = {6000, 1, 8}, .gang = true},
        {.task_count = 1, .need = {14000, 5000, 8}, .gang = true}};
    GfJobSpec spec = {.steps = steps, .step_count = 3};
    CU_ASSERT_EQUAL(GfAdmission_CheckLimit(&limit, &spec), GF_OK);
    steps[1].task_count = 4;
    CU_ASSERT_EQUAL(GfAdmission_CheckLimit(&limit, &spec), GF_NEVER_FITS);
    steps[1].task_count = 2;
    steps[1].need.memory_mb = 4001;
    CU_ASSERT_EQUAL(GfAdmission_CheckLimit(&limit, &spec), GF_NEVER_FITS);
    limit = (GfResources){0};
    CU_ASSERT_EQUAL(GfAdmission_CheckLimit(&limit, &spec), GF_OK);
}

/* Refused callers come back in the order in which they were refused, each a
 * second after the one before, as the spare capacity does the work of one of
 * their jobs in a second; never later than a minute, and then not all at one
 * time. */
static void
test_forecast_retry(void)
{
    GfForecastCheck c;
    GfAdmission a = forecast(900, 9000);
    for (uint32_t i = 0; i < 50; i++) {
        CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_a, 0, &c), GF_BUSY);
        CU_ASSERT_EQUAL(c.retry_after_ms, 9000 + i * 1000);
    }
    uint32_t before = 0;
    for (uint32_t i = 0; i < 500; i++) {
        CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_b, 0, &c), GF_BUSY);
        CU_ASSERT_TRUE(c.retry_after_ms >= 40000 && c.retry_after_ms <= 60000);
        CU_ASSERT_TRUE(i > 50 || c.retry_after_ms != before);
        before = c.retry_after_ms;
    }
    a.forecast.queues[0].spare_mcores = 0;
    CU_ASSERT_EQUAL(check_forecast(&a, &QUICK, &team_b, 0, &c), GF_BUSY);
    CU_ASSERT_TRUE(c.retry_after_ms >= 1000 && c.retry_after_ms <= 60000);
}

static const SuiteTest TESTS[] = {
    {"no worker known", test_no_worker_known},
    {"never fits", test_never_fits},
    {"gang above the limit accepted", test_gang_above_the_limit_accepted},
    {"backlog", test_backlog},
    {"all teams together", test_all_teams_together},
    {"outage", test_outage},
    {"forecast: of value or not", test_forecast_of_value},
    {"forecast: too old", test_forecast_too_old},
    {"forecast: growing wait", test_forecast_of_growing_wait},
    {"forecast: jobs it does not apply to", test_forecast_does_not_apply},
    {"forecast: by team", test_forecast_by_team},
    {"forecast: times to retry", test_forecast_retry},
};

SUITE_MAIN("admission", TESTS)
