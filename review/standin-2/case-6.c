/* TWICE: a task that is done runs again. Its end on a new life of a worker is
 * acknowledged by a number that counts the ends of the life before. */
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define WORKERS 8
#define STORE_DOWN_MS 4200
#define ROUNDS 10
#define JOBS 14 /* handed in before each outage */
#define STEPS 5
/* The shortest task; the others take up to seven times as long. */
#define TASK_MS 150
#define CRASHES 2 /* in an outage at most, one after the other */
#define DOWN_MS 150
/* While ends are not stored, the owner calls a worker at this interval, and no
 * call waits at the worker meanwhile. */
#define CALL_MS 900
/* Bounds of the time from the call of a worker to that of another one, after
 * which the owner starts further steps. */
#define LEAST_GAP_MS 250
#define MOST_GAP_MS 600
#define MAX_NOTED 4096

static char noted[MAX_NOTED][80];
static int noted_count;
static int broken;
static int jobs;

static void
on_acked(SimWorker *w, const SimEnd *end)
{
    (void)w;
    if (strcmp(end->how, "done") == 0 && noted_count < MAX_NOTED) {
        memcpy(noted[noted_count++], end->task, 80);
    }
}

static void
on_start(SimWorker *w, SimRun *run)
{
    for (int i = 0; i < noted_count; i++) {
        if (strcmp(noted[i], run->task) == 0) {
            broken++;
            Sim_Record("%s: start of %s, whose end was taken note of before",
                       w->id, run->task);
            return;
        }
    }
}

/* Returns a worker that the owner has called just now, and that it will call
 * again well after another one; NULL if there is none. */
static SimWorker *
choose(void)
{
    int64_t now = Sim_Now();
    for (int i = 0; i < sim_worker_count; i++) {
        SimWorker *x = &sim_workers[i];
        int64_t since = now - x->hold_at;
        if (x->acked == 0 || x->holds != NULL || since < 20 || since > 60) {
            continue;
        }
        for (int k = 0; k < sim_worker_count; k++) {
            const SimWorker *y = &sim_workers[k];
            int64_t gap = y->hold_at + CALL_MS - x->hold_at;
            if (y != x && y->acked > 0 && y->holds == NULL &&
                gap > LEAST_GAP_MS && gap < MOST_GAP_MS) {
                return x;
            }
        }
    }
    return NULL;
}

/* Kills a worker that is running tasks and starts it again. */
static void
crash(SimWorker *w)
{
    Sim_CrashWorker(w);
    Sim_Run(DOWN_MS);
    Sim_BootWorker(w, 16000, "a");
}

int
Case_Run(bool trouble)
{
    sim_hooks.on_start = on_start;
    sim_hooks.on_acked = on_acked;
    Sim_StartPlatform(WORKERS, 16000, 64000);
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
    for (int i = 0; i < ROUNDS; i++) {
        for (int k = 0; k < JOBS; k++) {
            char id[20];
            snprintf(id, sizeof(id), "f6f6%012x", jobs);
            Sim_SubmitChain(jobs % 3, "/plan/", id, SIM_KEY, STEPS, 1, 4000,
                            TASK_MS * (1 + jobs * 7919 % 7));
            jobs++;
        }
        if (trouble) {
            Sim_Record("store: down for %d ms", STORE_DOWN_MS);
            sim_store_down = true;
        }
        int crashes = trouble ? CRASHES : 0;
        for (int64_t end = Sim_Now() + STORE_DOWN_MS; Sim_Now() < end;) {
            Sim_Run(5);
            SimWorker *w = crashes > 0 ? choose() : NULL;
            if (w != NULL) {
                crash(w);
                crashes--;
            }
        }
        if (trouble) {
            Sim_Record("store: back");
            sim_store_down = false;
        }
        Sim_Run(4000);
    }
    Sim_Record("jobs %d; ends of done tasks taken note of: %d; "
               "starts of such tasks afterwards: %d",
               jobs, noted_count, broken);
    return broken > 0;
}
