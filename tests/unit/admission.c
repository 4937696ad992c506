/* Admission of jobs. The tests guard against jobs that are refused although
 * they can be served, jobs that are accepted although they fit no worker or
 * their team has a full backlog, and times to retry that are out of bounds. */
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
    GfTeamBacklog backlogs[] = {{team_a, 39999, 100}, {team_b, 10, 100}};
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
        backlogs[i] = (GfTeamBacklog){GfName_Format("t%d", i), 32000, 10};
    }
    backlogs[0] = (GfTeamBacklog){team_a, 100, 10};
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

static const SuiteTest TESTS[] = {
    {"no worker known", test_no_worker_known},
    {"never fits", test_never_fits},
    {"backlog", test_backlog},
    {"all teams together", test_all_teams_together},
    {"outage", test_outage},
};

SUITE_MAIN("admission", TESTS)
