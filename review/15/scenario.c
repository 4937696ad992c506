/* The config lowers a tenant's maximum below what one task of an accepted job
 * needs. QUOTA allows one task more than the maximum; LOST says that a job
 * must not have nothing running for 3 s while a task's turn has come, there is
 * room and its tenant has under half of its maximum. */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define JOB "5c0e7a21d94b36f8"
#define PATH "/pufi791/" JOB
#define KEY "key-1"
#define AWAY_MS 30000

static const char CONFIG[] =
    "{\"version\":%d,\"routes\":["
    "{\"name\":\"r-plan\",\"host\":\"kellner.example\",\"pathPrefix\":"
    "\"/pufi791/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
    "\"targetLatencyMs\":1200,\"priority\":2,\"service\":\"werkplan\","
    "\"maxAttempts\":2,\"stretch\":2.2,\"public\":false}],"
    "\"services\":[{\"name\":\"werkplan\",\"healthPath\":\"/health\","
    "\"maxConns\":64,\"admissionCheck\":false}],"
    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],\"weight\":1,"
    "\"maximum\":{\"cpu\":%d,\"memMb\":0,\"gpu\":0}}],\"limits\":{}}";

static char *
config(int version, int cpu)
{
    static char text[2048];
    snprintf(text, sizeof(text), CONFIG, version, cpu);
    return text;
}

/* Returns whether the task has been started. */
static bool
was_started(const char *task)
{
    for (int i = 0; i < start_count; i++) {
        if (strcmp(starts[i].task, task) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_done(const char *task)
{
    for (int i = 0; i < end_count; i++) {
        if (strcmp(ends[i].task, task) == 0 &&
            strcmp(ends[i].how, "done") == 0) {
            return true;
        }
    }
    return false;
}

int
main(int argc, char **argv)
{
    World_Begin(argc, argv, 8, 3, config(7, 64000));
    Client_Submit(PATH, KEY,
                  "{\"spec\":\"ms=4000\",\"steps\":[{\"count\":2,\"cpu\":4000,"
                  "\"memMb\":1024,\"estMs\":4000},{\"count\":1,\"cpu\":14000,"
                  "\"memMb\":1024,\"estMs\":4000,\"after\":[0]}]}");
    int64_t limit = World_Now() + 5000;
    while (!was_started(JOB ".0.0.0") && World_Now() < limit) {
        World_Wait(50);
    }
    if (!was_started(JOB ".0.0.0")) {
        World_Fail("the job's first step did not begin");
    }
    World_Wait(1000);
    World_PutConfig(config(12, trouble ? 12000 : 48000));
    limit = World_Now() + 20000;
    while (!(is_done(JOB ".0.0.0") && is_done(JOB ".0.0.1")) &&
           World_Now() < limit) {
        World_Wait(50);
    }
    int64_t turn = World_Now();
    World_Record("the first step is done: the second one's turn has come");
    bool began = false;
    while (World_Now() < turn + AWAY_MS && !began) {
        World_Wait(50);
        began = was_started(JOB ".0.1.0");
    }
    World_Record("nothing of the job, and of its tenant, ran for %lld ms",
                 (long long)(World_Now() - turn));
    World_Record("the client is told: %s", Client_State(PATH, KEY));
    World_End(!began && World_Now() - turn > 3000);
}
