/* QUOTA: after a takeover a tenant has twice its maximum running. The runs of
 * a cancelled job, on a worker that is cut off and runs on, are not counted by
 * the new owner. */
#include <string.h>

#include "sim.h"

#define WORKERS 8
#define MAXIMUM 16000
#define TASK_MCORES 4000
#define TASKS 4
#define OVERRUN 0.1 /* bounds.quotaOverrun */
#define FIRST "8a8a0000000000e1"
#define NEXT_EVERY_MS 400
#define CUT_MS 5500
#define RESTART_AFTER_MS 600

static int broken;
static int64_t most;

/* Returns what the tenant has running on all workers. */
static int64_t
running(void)
{
    int64_t sum = 0;
    for (int i = 0; i < sim_worker_count; i++) {
        for (const SimRun *r = sim_workers[i].runs; r != NULL; r = r->next) {
            sum += r->mcores;
        }
    }
    return sum;
}

static void
on_start(SimWorker *w, SimRun *run)
{
    int64_t sum = running();
    most = sum > most ? sum : most;
    if ((double)sum > MAXIMUM * (1 + OVERRUN) + TASK_MCORES) {
        broken++;
        Sim_Record("%s: start of %s brings the tenant to %lld mcores; "
                   "maximum %d",
                   w->id, run->task, (long long)sum, MAXIMUM);
    }
}

/* Returns how many runs of a job a worker has. */
static int
runs_of(const SimWorker *w, const char *job)
{
    int count = 0;
    for (const SimRun *r = w->runs; r != NULL; r = r->next) {
        count += strncmp(r->task, job, strlen(job)) == 0;
    }
    return count;
}

int
Case_Run(bool trouble)
{
    sim_hooks.on_start = on_start;
    Sim_StartPlatform(WORKERS, 16000, 64000);
    Sim_Config(json_pack("{s:i,s:[o],s:[{s:s,s:b}],s:{},s:[o]}", "version", 7,
                         "routes", Sim_Route("plan", "/plan/", 2, 2),
                         "services", "name", "plan", "admissionCheck", 0,
                         "limits", "tenants",
                         Sim_Tenant("desk", SIM_KEY, MAXIMUM)));
    Sim_StartEntries(3);
    if (!Sim_WaitReady(10000)) {
        return 2;
    }
    Sim_Run(2000);
    Sim_Submit(0, "/plan/", FIRST, SIM_KEY, TASKS, TASK_MCORES, 60000, 3000);
    Sim_Run(1500);
    SimWorker *full = NULL;
    for (int i = 0; i < sim_worker_count; i++) {
        if (runs_of(&sim_workers[i], FIRST) == TASKS) {
            full = &sim_workers[i];
        }
    }
    if (full == NULL || running() != MAXIMUM) {
        Sim_Record("the first job does not run on one worker");
        return 2;
    }
    if (trouble) {
        Sim_CutWorker(full, true);
    }
    int64_t cut_at = Sim_Now();
    int cancelled = Sim_Call(2, "DELETE", "/plan/" FIRST, SIM_KEY, NULL, 3000,
                             NULL);
    Sim_Record("caller: DELETE /plan/" FIRST " at e2: %d", cancelled);
    if (cancelled != 200) {
        return 2;
    }
    int owner = Sim_Owner();
    if (trouble && owner >= 0) {
        Sim_KillEntry(owner);
    }
    bool restarted = !trouble || owner < 0;
    for (int i = 0; Sim_Now() < cut_at + CUT_MS; i++) {
        Sim_Run(NEXT_EVERY_MS);
        if (!restarted && Sim_Now() > cut_at + RESTART_AFTER_MS) {
            Sim_RestartEntry(owner);
            restarted = true;
        }
        char id[20];
        snprintf(id, sizeof(id), "8b8b%012x", i);
        Sim_Submit(owner == 0 ? 1 : 0, "/plan/", id, SIM_KEY, 1, TASK_MCORES,
                   20000, 1000);
    }
    if (trouble) {
        Sim_CutWorker(full, false);
    }
    Sim_Run(3000);
    Sim_Record("most that ran: %lld mcores; maximum %d; starts above it: %d",
               (long long)most, MAXIMUM, broken);
    return broken > 0;
}
