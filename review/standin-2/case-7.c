/* LOST: a job is shown as failed although none of its runs has failed. Three
 * workers crash, one at a time, each while it runs the job's only task. */
#include <string.h>

#include "sim.h"

#define WORKERS 8
#define JOB "6a6a0000000000c1"
#define CRASHES 3
#define DOWN_MS 1500
#define BETWEEN_MS 2500 /* from a start to the crash of its worker */
#define TASK_MS 12000
#define MAX_ATTEMPTS 2

static int failed_ends;
static int done_ends;

static void
on_end(SimWorker *w, const SimRun *run, const char *how)
{
    (void)w;
    (void)run;
    failed_ends += strcmp(how, "failed") == 0;
    done_ends += strcmp(how, "done") == 0;
}

/* Returns the worker that runs the task, or NULL. */
static SimWorker *
where(void)
{
    for (int i = 0; i < sim_worker_count; i++) {
        if (sim_workers[i].runs != NULL) {
            return &sim_workers[i];
        }
    }
    return NULL;
}

int
Case_Run(bool trouble)
{
    sim_hooks.on_end = on_end;
    Sim_StartPlatform(WORKERS, 16000, 64000);
    Sim_Config(
        json_pack("{s:i,s:[o],s:[{s:s,s:b}],s:{},s:[o]}", "version", 7,
                  "routes", Sim_Route("plan", "/plan/", 2, MAX_ATTEMPTS),
                  "services", "name", "plan", "admissionCheck", 0, "limits",
                  "tenants", Sim_Tenant("desk", SIM_KEY, 1000000)));
    Sim_StartEntries(3);
    if (!Sim_WaitReady(10000)) {
        return 2;
    }
    Sim_Run(2000);
    if (Sim_Submit(0, "/plan/", JOB, SIM_KEY, 1, 4000, TASK_MS, 3000) != 200) {
        return 2;
    }
    for (int i = 0; trouble && i < CRASHES; i++) {
        for (int ms = 0; where() == NULL && ms < 15000; ms += 50) {
            Sim_Run(50);
        }
        Sim_Run(BETWEEN_MS);
        SimWorker *w = where();
        if (w == NULL) {
            Sim_Record("the task runs nowhere, no further crash");
            break;
        }
        Sim_CrashWorker(w);
        Sim_Run(DOWN_MS);
        Sim_BootWorker(w, 16000, "a");
    }
    char state[32] = "";
    for (int64_t end = Sim_Now() + 40000; Sim_Now() < end;) {
        Sim_Run(1000);
        snprintf(state, sizeof(state), "%s",
                 Sim_State(1, "/plan/", JOB, SIM_KEY));
        if (strcmp(state, "failed") == 0 || strcmp(state, "completed") == 0) {
            break;
        }
    }
    Sim_Record("state of the job: %s; ends: %d failed, %d done; "
               "maxAttempts %d",
               state, failed_ends, done_ends, MAX_ATTEMPTS);
    if (strcmp(state, "failed") == 0 && failed_ends < MAX_ATTEMPTS) {
        return 1;
    }
    return strcmp(state, "completed") == 0 ? 0 : 2;
}
