/* TWICE: tasks of a large job run again although their ends were taken note
 * of. The owner is killed as it has just written to the store, while it
 * spreads the job's progress over several rows. */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "sim.h"

#define WORKERS 16
#define JOB "aaaa0000000000f1"
#define TASKS 4096
#define SHORT_MS 300
#define MEDIUM_MS 5000
#define LONG_MS 60000
#define MEDIUM_EVERY 64
#define RESTART_MS 1000 /* the platform starts a killed entry again */
#define WATCH_MS 15000

static bool trouble_on;
static bool spread; /* the job's main row has lost its list of done tasks */
static bool noted_done[TASKS];
static int noted;
static int broken;
static int killed = -1;

static int
index_of(const char *task)
{
    const char *dot = strrchr(task, '.');
    int index = dot == NULL ? -1 : atoi(dot + 1);
    return index >= 0 && index < TASKS ? index : -1;
}

/* Every second task is short; of the others a few end while the rest has
 * reported checkpoints. */
static int64_t
task_ms(int index)
{
    return index % 2 == 1              ? SHORT_MS
           : index % MEDIUM_EVERY == 0 ? MEDIUM_MS
                                       : LONG_MS;
}

static void
on_acked(SimWorker *w, const SimEnd *end)
{
    (void)w;
    int index = index_of(end->task);
    if (index >= 0 && strcmp(end->how, "done") == 0 && !noted_done[index]) {
        noted_done[index] = true;
        noted++;
    }
}

static void
on_start(SimWorker *w, SimRun *run)
{
    int index = index_of(run->task);
    if (index >= 0 && noted_done[index]) {
        if (broken++ < 20) {
            Sim_Record("%s: start of %s, whose end was taken note of before",
                       w->id, run->task);
        }
    }
}

/* Notices the transaction with which the job's progress goes to several rows:
 * its main row then has the member "finished". */
static void
on_tx(const json_t *body)
{
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(body, "upserts"), i, e)
    {
        const char *table = json_string_value(json_object_get(e, "table"));
        const char *key = json_string_value(json_object_get(e, "key"));
        const char *value = json_string_value(json_object_get(e, "value"));
        char text[65536];
        size_t len = 0;
        if (spread || table == NULL || key == NULL || value == NULL ||
            strcmp(table, "progress") != 0 || strcmp(key, JOB) != 0 ||
            sodium_base642bin((unsigned char *)text, sizeof(text) - 1, value,
                              strlen(value), NULL, &len, NULL,
                              sodium_base64_VARIANT_ORIGINAL) != 0) {
            continue;
        }
        text[len] = '\0';
        if (strstr(text, "\"finished\"") != NULL) {
            spread = true;
            Sim_Record("store: the job's progress goes to several rows, %zu "
                       "rows in this transaction; %d ends of done tasks were "
                       "taken note of",
                       json_array_size(json_object_get(body, "upserts")),
                       noted);
            if (trouble_on) {
                killed = Sim_Owner();
                Sim_KillEntry(killed);
            }
        }
    }
}

int
Case_Run(bool trouble)
{
    trouble_on = trouble;
    sim_hooks.on_start = on_start;
    sim_hooks.on_acked = on_acked;
    sim_hooks.task_ms = task_ms;
    sim_hooks.on_tx = on_tx;
    Sim_StartPlatform(WORKERS, 64000, 131072);
    Sim_Config(json_pack("{s:i,s:[o],s:[{s:s,s:b}],s:{},s:[o]}", "version", 7,
                         "routes", Sim_Route("plan", "/plan/", 2, 2),
                         "services", "name", "plan", "admissionCheck", 0,
                         "limits", "tenants",
                         Sim_Tenant("desk", SIM_KEY, 10000000)));
    Sim_StartEntries(3);
    if (!Sim_WaitReady(10000)) {
        return 2;
    }
    Sim_Run(2000);
    char body[256];
    snprintf(body, sizeof(body),
             "{\"spec\":\"cpu=100 saves=1\",\"steps\":[{\"count\":%d,"
             "\"cpu\":100,\"memMb\":128,\"estMs\":30000,"
             "\"checkpointed\":true}]}",
             TASKS);
    if (Sim_SubmitBody(0, "/plan/", JOB, SIM_KEY, body, 3000) != 200) {
        return 2;
    }
    for (int64_t end = Sim_Now() + 40000; !spread && Sim_Now() < end;) {
        Sim_Run(50);
    }
    Sim_Run(RESTART_MS);
    if (killed >= 0) {
        Sim_RestartEntry(killed);
    }
    Sim_Run(WATCH_MS);
    Sim_Record("ends of done tasks taken note of: %d; starts of such tasks "
               "afterwards: %d",
               noted, broken);
    return !spread ? 2 : broken > 0;
}
