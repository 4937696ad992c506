/* LOST: a job is given up for crashes of workers on which it never ran. One of
 * its runs is lost with a worker; after that it waits, and the workers that
 * are meant for its next start crash together with the owner. */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "sim.h"

#define WORKERS 8
#define JOB "7a7a0000000000c1"
#define MAX_ATTEMPTS 3
#define JOB_MS 25000
#define FILL_JOBS 30
#define FILL_TASKS 8
#define FILL_MS 6000
#define DOWN_MS 1000
#define LOSSES 2 /* of the owner together with a worker */
#define WAIT_MS 15000

static bool armed;
static SimWorker *target; /* the worker named as the owner was killed */
static int killed;
static int starts;
static int lost;
static int failed;

static bool
is_ours(const SimRun *run)
{
    return strncmp(run->task, JOB, strlen(JOB)) == 0;
}

static void
on_start(SimWorker *w, SimRun *run)
{
    (void)w;
    starts += is_ours(run);
}

static void
on_end(SimWorker *w, const SimRun *run, const char *how)
{
    (void)w;
    lost += is_ours(run) && strcmp(how, "lost") == 0;
    failed += is_ours(run) && strcmp(how, "failed") == 0;
}

/* Returns the worker that runs the job, or NULL. */
static SimWorker *
where(void)
{
    for (int i = 0; i < sim_worker_count; i++) {
        for (SimRun *r = sim_workers[i].runs; r != NULL; r = r->next) {
            if (is_ours(r)) {
                return &sim_workers[i];
            }
        }
    }
    return NULL;
}

/* Returns the worker that the job's stored row names for its next start, in
 * its present life, or NULL. */
static SimWorker *
intended(void)
{
    json_t *row = Sim_StoredRow("progress", "owner", JOB);
    const json_t *entry =
        json_array_get(json_object_get(row, "placements"), 0);
    const char *id = json_string_value(json_array_get(entry, 2));
    json_int_t born = json_integer_value(json_array_get(entry, 3));
    SimWorker *found = NULL;
    for (int i = 0; id != NULL && i < sim_worker_count; i++) {
        SimWorker *w = &sim_workers[i];
        if (strcmp(w->id, id) == 0 && w->born == born && w->server != NULL) {
            found = w;
        }
    }
    json_decref(row);
    return found;
}

/* Kills the owner as it has just written where the job is to start next, while
 * the job runs nowhere. */
static void
on_tx(const json_t *body)
{
    (void)body;
    SimWorker *w = armed && where() == NULL ? intended() : NULL;
    if (w != NULL) {
        armed = false;
        target = w;
        killed = Sim_Owner();
        Sim_Record("the job runs nowhere; its row names %s for the next start",
                   w->id);
        Sim_KillEntry(killed);
    }
}

/* Hands in jobs that keep all workers busy. */
static void
fill(int first, int count)
{
    for (int i = first; i < first + count; i++) {
        char id[20];
        snprintf(id, sizeof(id), "7b7b%012x", i);
        Sim_SubmitLater(i % 3, "/plan/", id, SIM_KEY, FILL_TASKS, 4000,
                        FILL_MS + i % 7 * 400);
        Sim_Run(20);
    }
}

int
Case_Run(bool trouble)
{
    sim_hooks.on_start = on_start;
    sim_hooks.on_end = on_end;
    sim_hooks.on_tx = on_tx;
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
    if (Sim_Submit(0, "/plan/", JOB, SIM_KEY, 1, 4000, JOB_MS, 3000) != 200) {
        return 2;
    }
    fill(0, FILL_JOBS);
    Sim_Run(2000);
    if (where() == NULL) {
        return 2;
    }
    if (trouble) {
        SimWorker *w = where();
        Sim_CrashWorker(w);
        armed = true;
        Sim_Run(DOWN_MS);
        Sim_BootWorker(w, 16000, "a");
    }
    for (int i = 0; trouble && i < LOSSES; i++) {
        for (int64_t end = Sim_Now() + WAIT_MS;
             target == NULL && Sim_Now() < end;) {
            Sim_Run(5);
        }
        if (target == NULL) {
            Sim_Record("no start of the job was announced");
            break;
        }
        SimWorker *w = target;
        target = NULL;
        Sim_CrashWorker(w);
        armed = i + 1 < LOSSES;
        Sim_Run(DOWN_MS);
        Sim_BootWorker(w, 16000, "a");
        Sim_RestartEntry(killed);
    }
    char state[32] = "";
    for (int64_t end = Sim_Now() + 60000; Sim_Now() < end;) {
        Sim_Run(1000);
        snprintf(state, sizeof(state), "%s",
                 Sim_State(1, "/plan/", JOB, SIM_KEY));
        if (strcmp(state, "failed") == 0 || strcmp(state, "completed") == 0) {
            break;
        }
    }
    Sim_Record("state of the job: %s; its starts: %d, of these lost with a "
               "worker: %d, ended failed: %d; maxAttempts %d",
               state, starts, lost, failed, MAX_ATTEMPTS);
    if (strcmp(state, "failed") == 0 && failed < MAX_ATTEMPTS) {
        return 1;
    }
    return strcmp(state, "completed") == 0 ? 0 : 2;
}
