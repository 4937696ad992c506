/* Minions leave a share of the orders without an answer and carry them out 2
 * to 12 s later, while one minion after another crashes and is back at once
 * under its id. The rule TWICE says that no task has two runs at the same
 * time, on minions that are up. */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define KEY "key-1"
#define MINIONS 8 /* one of them is less than the share of 0.14 */
#define PLAY_MS 80000
#define JOB_MS 600
#define CRASH_MS 1100
#define LATE_FOR_MS 5500
#define LATE_PAUSE_MS 2500
#define DOWN_MS 250
#define LATE_SHARE 0.5

static const char CONFIG[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-plan\",\"host\":\"kellner.example\",\"pathPrefix\":"
    "\"/pufi791/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
    "\"targetLatencyMs\":1200,\"priority\":2,\"service\":\"werkplan\","
    "\"maxAttempts\":2,\"stretch\":2.2,\"public\":false}],"
    "\"services\":[{\"name\":\"werkplan\",\"healthPath\":\"/health\","
    "\"maxConns\":64,\"admissionCheck\":false}],"
    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],\"weight\":1,"
    "\"maximum\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}],\"limits\":{}}";

static int twice;

/* Notes a start while another run of the task goes on. */
static void
check_start(int minion, const Run *run, const char *checkpoint)
{
    (void)checkpoint;
    for (int m = 0; m < MINIONS; m++) {
        const Run *other = m == minion ? NULL : Minion_FindRun(m, run->task);
        if (other != NULL) {
            twice++;
            World_Record("TWICE task=%s: run %lld on minion %d beside run "
                         "%lld on minion %d",
                         run->task, (long long)run->run, minion,
                         (long long)other->run, m);
        }
    }
}

static void
on_accepted(void *arg, const Answer *answer)
{
    (void)arg;
    World_Record("client: job answered %d", answer->status);
}

int
main(int argc, char **argv)
{
    on_started = check_start;
    late_holds = true;
    World_Begin(argc, argv, MINIONS, 3, CONFIG);
    int64_t begin = World_Now();
    int64_t next_job = begin;
    int64_t next_crash = begin + 4000;
    int64_t back_at = 0;
    int down = -1;
    int crashes = 0;
    int sent = 0;
    while (World_Now() < begin + PLAY_MS) {
        World_Wait(10);
        bool late = (World_Now() - begin) % (LATE_FOR_MS + LATE_PAUSE_MS) <
                    LATE_FOR_MS;
        late_share = trouble && late ? LATE_SHARE : 0;
        if (World_Now() > next_job && World_Now() < begin + PLAY_MS - 15000) {
            next_job += JOB_MS;
            char path[64];
            snprintf(path, sizeof(path), "/pufi791/5c0e7a21d94b%04x", ++sent);
            Client_Start(sent % 3, "POST", path, KEY,
                         "{\"spec\":\"ms=9000\",\"steps\":[{\"count\":20,"
                         "\"cpu\":250,\"memMb\":256,\"estMs\":9000}]}",
                         3000, on_accepted, NULL);
        }
        if (trouble && late && down < 0 && World_Now() > next_crash &&
            World_Now() < begin + PLAY_MS - 15000) {
            next_crash = World_Now() + CRASH_MS;
            down = crashes++ % MINIONS;
            back_at = World_Now() + DOWN_MS;
            Minion_Crash(down);
        }
        if (down >= 0 && World_Now() > back_at) {
            Minion_Restart(down);
            down = -1;
        }
    }
    World_Record(
        "%d jobs, %d starts, %d crashes, %d starts beside another run", sent,
        start_count, crashes, twice);
    if (start_count < 100) {
        World_Fail("too few starts");
    }
    World_End(twice > 0);
}
