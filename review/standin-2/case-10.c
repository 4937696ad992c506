/* LIMIT: a worker that has crashed comes back as a smaller one under its id,
 * and gets tasks for the capacity that it had before. */
#include <string.h>

#include "sim.h"

#define WORKERS 8
#define LARGE 16000
#define SMALL 8000
#define TASK_MCORES 4000
#define TASKS 8
#define JOBS 40
/* The first pause of a worker that has crashed, and by how much each further
 * one is longer: the times at which the owner calls it again come in all
 * relations to those at which it reads the table of workers. */
#define DOWN_MS 150
#define LONGER_MS 70
#define CRASHES 8
#define BETWEEN_MS 3530

static int broken;

static void
on_start(SimWorker *w, SimRun *run)
{
    int64_t sum = 0;
    for (const SimRun *r = w->runs; r != NULL; r = r->next) {
        sum += r->mcores;
    }
    if (sum > w->mcores) {
        broken++;
        Sim_Record("%s: start of %s brings the worker to %lld mcores of %lld, "
                   "%lld ms after its life began",
                   w->id, run->task, (long long)sum, (long long)w->mcores,
                   (long long)(Sim_Now() - w->born_at));
    }
}

int
Case_Run(bool trouble)
{
    sim_hooks.on_start = on_start;
    Sim_StartPlatform(WORKERS, LARGE, 64000);
    Sim_Config(json_pack("{s:i,s:[o],s:[{s:s,s:b}],s:{},s:[o]}", "version", 7,
                         "routes", Sim_Route("plan", "/plan/", 2, 3),
                         "services", "name", "plan", "admissionCheck", 0,
                         "limits", "tenants",
                         Sim_Tenant("desk", SIM_KEY, 1000000)));
    Sim_StartEntries(3);
    if (!Sim_WaitReady(10000)) {
        return 2;
    }
    Sim_Run(2000);
    for (int i = 0; i < JOBS; i++) {
        char id[20];
        snprintf(id, sizeof(id), "9a9a%012x", i);
        Sim_Submit(i % 3, "/plan/", id, SIM_KEY, TASKS, TASK_MCORES, 7000,
                   3000);
    }
    for (int i = 0; i < CRASHES; i++) {
        Sim_Run(BETWEEN_MS);
        if (trouble) {
            SimWorker *w = &sim_workers[i];
            Sim_CrashWorker(w);
            Sim_Run(DOWN_MS + i * LONGER_MS);
            Sim_BootWorker(w, SMALL, "b");
        }
    }
    Sim_Run(3000);
    Sim_Record("starts above a worker's capacity: %d", broken);
    return broken > 0;
}
