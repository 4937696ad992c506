/* UNASKED: a job starts long after its cancel was answered with 410. The write
 * that stores the job gets no answer and is carried out some seconds later;
 * the caller leaves meanwhile and cancels the job. */
#include <string.h>

#include "sim.h"

#define WORKERS 8
#define JOB "7a7a0000000000d1"
#define LATE_MS 5000
#define LEAVES_AFTER_MS 400
#define CANCEL_MS 3000  /* bounds.cancel_ms */
#define CONTACT_MS 3000 /* bounds.contactMs */

static bool late;
static int64_t acked_at;
static int broken;

/* Puts off the one transaction that stores the job. */
static int64_t
hold_tx(const json_t *body)
{
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(body, "upserts"), i, e)
    {
        const char *key = json_string_value(json_object_get(e, "key"));
        if (late && key != NULL && strcmp(key, JOB) == 0) {
            late = false;
            Sim_Record("store: the write of job %s gets no answer and is put "
                       "off for %d ms",
                       JOB, LATE_MS);
            return LATE_MS;
        }
    }
    return 0;
}

static void
on_start(SimWorker *w, SimRun *run)
{
    if (strncmp(run->task, JOB, strlen(JOB)) == 0 && acked_at > 0 &&
        run->started_at > acked_at + CANCEL_MS) {
        broken++;
        Sim_Record("%s: start of a task of job %s, %lld ms after its cancel "
                   "was acknowledged",
                   w->id, JOB, (long long)(run->started_at - acked_at));
    }
}

/* Returns how many runs of the job go on. */
static int
count_runs(void)
{
    int count = 0;
    for (int i = 0; i < sim_worker_count; i++) {
        for (const SimRun *r = sim_workers[i].runs; r != NULL; r = r->next) {
            count += strncmp(r->task, JOB, strlen(JOB)) == 0;
        }
    }
    return count;
}

int
Case_Run(bool trouble)
{
    sim_hooks.hold_tx = hold_tx;
    sim_hooks.on_start = on_start;
    late = trouble;
    Sim_StartPlatform(WORKERS, 16000, 64000);
    Sim_Config(json_pack("{s:i,s:[o],s:[{s:s,s:b}],s:{},s:[o]}", "version", 7,
                         "routes", Sim_Route("plan", "/plan/", 2, 2),
                         "services", "name", "plan", "admissionCheck", 0,
                         "limits", "tenants",
                         Sim_Tenant("desk", SIM_KEY, 1000000)));
    Sim_StartEntries(3);
    if (!Sim_WaitReady(10000)) {
        return 2;
    }
    Sim_Run(4000); /* all machines are in touch */
    int posted =
        Sim_Submit(0, "/plan/", JOB, SIM_KEY, 2, 4000, 30000, LEAVES_AFTER_MS);
    int cancelled =
        Sim_Call(1, "DELETE", "/plan/" JOB, SIM_KEY, NULL, 3000, NULL);
    Sim_Record("caller: DELETE /plan/" JOB " at e1: %d", cancelled);
    if (cancelled != 200 && cancelled != 410) {
        return 2;
    }
    acked_at = Sim_Now();
    Sim_Run(CANCEL_MS + SIM_STOP_MS);
    Sim_Run(CONTACT_MS + LATE_MS);
    int left = count_runs();
    Sim_State(2, "/plan/", JOB, SIM_KEY);
    Sim_Record("POST answered %d; starts later than %d ms after the cancel: "
               "%d; runs %lld ms after it: %d",
               posted, CANCEL_MS, broken, (long long)(Sim_Now() - acked_at),
               left);
    return broken > 0 || left > 0;
}
