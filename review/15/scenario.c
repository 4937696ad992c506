/* Each minion but one runs a task that lasts and has a targetMs. A job whose
 * task fills (its cpu doesn't count) runs on the remaining one, which is then
 * emptied and taken away. LOST says that the job must not have nothing running
 * for 3 s while its turn has come and there is room. */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define WATCH "5c0e7a21d94b36f8"
#define FILL "a17be08c4d2296f3"
#define FILL_TASK FILL ".0.0.0"
#define KEY "key-1"
#define MINIONS 8
#define AWAY_MS 30000

static const char CONFIG[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-watch\",\"host\":\"kellner.example\",\"pathPrefix\":"
    "\"/pule252/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
    "\"targetLatencyMs\":2500,\"priority\":1,\"service\":\"werkplan\","
    "\"maxAttempts\":3,\"stretch\":2.2,\"public\":false},"
    "{\"name\":\"r-plan\",\"host\":\"kellner.example\",\"pathPrefix\":"
    "\"/pufi791/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
    "\"targetLatencyMs\":1200,\"priority\":2,\"service\":\"werkplan\","
    "\"maxAttempts\":2,\"stretch\":2.2,\"public\":false}],"
    "\"services\":[{\"name\":\"werkplan\",\"healthPath\":\"/health\","
    "\"maxConns\":64,\"admissionCheck\":false}],"
    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],\"weight\":1,"
    "\"maximum\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}],\"limits\":{}}";

/* Waits until so many runs are there. */
static void
wait_for_runs(int count)
{
    int64_t limit = World_Now() + 10000;
    while (Minion_Running() < count && World_Now() < limit) {
        World_Wait(20);
    }
    if (Minion_Running() < count) {
        World_Fail("%d runs instead of %d", Minion_Running(), count);
    }
}

static bool
is_done(void)
{
    for (int i = 0; i < end_count; i++) {
        if (strcmp(ends[i].task, FILL_TASK) == 0 &&
            strcmp(ends[i].how, "done") == 0) {
            return true;
        }
    }
    return false;
}

int
main(int argc, char **argv)
{
    World_Begin(argc, argv, MINIONS, 3, CONFIG);
    Client_Submit("/pule252/" WATCH, KEY,
                  "{\"spec\":\"ms=0\",\"steps\":[{\"count\":7,\"cpu\":2000,"
                  "\"memMb\":1024,\"estMs\":300,\"longRunning\":true,"
                  "\"antiAffinity\":1,\"targetMs\":200,\"mayMiss\":2,"
                  "\"image\":\"watch\"}]}");
    wait_for_runs(MINIONS - 1);
    Client_Submit("/pufi791/" FILL, KEY,
                  "{\"spec\":\"ms=20000 saves=1\",\"steps\":[{\"count\":1,"
                  "\"cpu\":2000,\"memMb\":1024,\"estMs\":20000,\"fills\":true,"
                  "\"checkpointed\":true,\"image\":\"plan\"}]}");
    wait_for_runs(MINIONS);
    World_Wait(3000);
    int minion = Minion_OfTask(FILL_TASK);
    if (minion < 0) {
        World_Fail("the task that fills does not run");
    }
    if (trouble) {
        Minion_Drain(minion);
        World_Wait(2500);
        Minion_Leave(minion);
    }
    int64_t begin = World_Now();
    int64_t away_since = begin;
    int64_t longest_ms = 0;
    while (World_Now() < begin + AWAY_MS && !is_done()) {
        World_Wait(50);
        if (Minion_OfTask(FILL_TASK) >= 0) {
            away_since = World_Now();
        }
        if (World_Now() - away_since > longest_ms) {
            longest_ms = World_Now() - away_since;
        }
    }
    World_Record("the job that fills had nothing running for %lld ms on end; "
                 "done: %d; runs on the %d minions: %d",
                 (long long)longest_ms, is_done(), MINIONS - trouble,
                 Minion_Running());
    World_Record("the client is told: %s",
                 Client_State("/pufi791/" FILL, KEY));
    World_End(longest_ms > 3000 && !is_done());
}
