#include "guavaflow/admission.h"

#include <string.h>

#include "suite.h"

static GfName service;
static GfName team_a;
static GfName team_b;

static void
set_names(void)
{
    CU_ASSERT(GfName_SetText(&service, "plan"));
    CU_ASSERT(GfName_SetText(&team_a, "a"));
    CU_ASSERT(GfName_SetText(&team_b, "b"));
}

static GfErrorKind
check(const GfAdmission *a, const GfName *team, GfStepSpec step,
      uint32_t *retry_after_ms)
{
    GfStepSpec steps[2] = {{.task_count = 1}, step};
    GfJobSpec spec = {.steps = steps, .step_count = 2};
    return GfAdmission_Check(a, &service, team, &spec, retry_after_ms);
}

/* Nothing is refused while no worker is known. */
static void
test_nothing_known(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry = 1;
    GfStepSpec huge = {.task_count = 1, .need = {1 << 30, 1 << 30, 64}};
    CU_ASSERT_EQUAL(check(&a, &team_a, huge, &retry), GF_OK);
    CU_ASSERT_EQUAL(retry, 0);
}

/* A task larger than any worker is refused, by any of the amounts; what fits
 * one of them is not, also when that worker has gone. */
static void
test_never_fits(void)
{
    set_names();
    GfAdmission a = {0};
    uint32_t retry;
    GfAdmission_AddRoom(&a, &service, (GfAmounts){16000, 64000, 0});
    GfAdmission_AddRoom(&a, &service, (GfAmounts){8000, 128000, 2});
    GfAdmission_AddRoom(&a, &service, (GfAmounts){4000, 1000, 0});
    GfStepSpec fit = {.task_count = 9, .need = {16000, 64000, 0}};
    GfStepSpec wide = {.task_count = 1, .need = {16001, 1, 0}};
    GfStepSpec large = {.task_count = 1, .need = {1, 128001, 0}};
    GfStepSpec many = {.task_count = 1, .need = {1, 1, 3}};
    GfStepSpec filler = {
        .task_count = 1, .need = {99000, 1, 0}, .filler = true};
    CU_ASSERT_EQUAL(check(&a, &team_a, fit, &retry), GF_OK);
    CU_ASSERT_EQUAL(check(&a, &team_a, wide, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, large, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, many, &retry), GF_NEVER_FITS);
    CU_ASSERT_EQUAL(check(&a, &team_a, filler, &retry), GF_OK);
}

/* A team that hands in without end is refused, the other one is not; the time
 * to come back follows how fast its backlog goes down, within bounds. */
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

/* Many teams that together have too much waiting: those with more than their
 * part are full, the small ones are not. */
static void
test_all_together(void)
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

/* The time to come back grows with an outage, within bounds. */
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
    {"nothing known", test_nothing_known},
    {"never fits", test_never_fits},
    {"backlog", test_backlog},
    {"all together", test_all_together},
    {"outage", test_outage},
};

SUITE_MAIN("admission", TESTS)
