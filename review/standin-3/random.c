/* Random days on the small deployment, with what the bench's sites do not
 * draw: jobs with times, labels, checkpointed gangs. Not a case: it looks for
 * broken rules. Arguments: FOLDER RECORD SEED SECONDS. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "world.h"

#define MINIONS 8
#define ENTRIES 5
#define MAX_JOBS 2000
#define MAX_STEPS 3
#define CPU 16000
#define KEY "key-1"

typedef struct {
    int count;
    int ms;
    int cpu;
    int after; /* step, or -1 */
    int anti;
    bool gang;
    bool saves;
    bool label;
} StepSpec;

typedef struct {
    char id[20];
    char path[64];
    char *body;
    const char *prefix;
    int step_count;
    StepSpec steps[MAX_STEPS];
    int times;
    int64_t first_ms; /* Unix */
    int interval_ms;
    bool lasts;
    bool fails;
    int max_attempts;
    bool accepted;
    int tries;
    bool rejected_all;
    bool maybe; /* an attempt had no certain answer */
    int64_t accepted_at;
    bool cancel_sent;
    int64_t cancel_acked; /* -1: not */
    bool cancelled_410;
    char state[16];
    int64_t cancel_at;
    bool calling;
    int *done;     /* by occurrence, step, index: noted done */
    int *ran_done; /* listed done */
    int *failed;   /* noted failed */
    int tasks;
} Job;

static Job jobs[MAX_JOBS];
static int job_count;
static int broken;
static int64_t quota;
static unsigned seed;

static double
draw01(void)
{
    return (double)rand_r(&seed) / ((double)RAND_MAX + 1);
}

static int
between(int a, int b)
{
    return a + (int)(draw01() * (b - a + 1));
}

static void
breach(const char *rule, const char *task, const char *text)
{
    broken++;
    World_Record("BROKEN %s task=%s: %s", rule, task, text);
    printf("BROKEN %s task=%s: %s at %.3f\n", rule, task, text,
           (double)World_Now() / 1000);
}

static int64_t
unix_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Finds the job and position of a task. */
static Job *
find(const char *task, int *k, int *s, int *i)
{
    char id[20];
    snprintf(id, sizeof(id), "%.16s", task);
    if (strlen(task) < 17 || sscanf(task + 16, ".%d.%d.%d", k, s, i) != 3) {
        return NULL;
    }
    for (int n = 0; n < job_count; n++) {
        if (strcmp(jobs[n].id, id) == 0) {
            return &jobs[n];
        }
    }
    return NULL;
}

static int
at(const Job *j, int k, int s, int i)
{
    int per = 0;
    int before = 0;
    for (int n = 0; n < j->step_count; n++) {
        per += j->steps[n].count;
        before += n < s ? j->steps[n].count : 0;
    }
    return k * per + before + i;
}

static void
acked(const char *task, int64_t run, const char *how)
{
    (void)run;
    int k, s, i;
    Job *j = find(task, &k, &s, &i);
    if (j == NULL) {
        return;
    }
    if (strcmp(how, "done") == 0) {
        int from = j->steps[s].gang ? 0 : i;
        int to = j->steps[s].gang ? j->steps[s].count : i + 1;
        for (int n = from; n < to; n++) {
            j->done[at(j, k, s, n)]++;
        }
    }
    if (strcmp(how, "failed") == 0) {
        j->failed[at(j, k, s, i)]++;
    }
}

static void
started(int minion, const Run *run, const char *checkpoint)
{
    (void)checkpoint;
    int k, s, i;
    Job *j = find(run->task, &k, &s, &i);
    if (j == NULL) {
        breach("UNASKED", run->task, "nobody sent it");
        return;
    }
    if (k >= j->times || s >= j->step_count || i >= j->steps[s].count) {
        breach("UNASKED", run->task, "no such task");
        return;
    }
    const StepSpec *spec = &j->steps[s];
    if (j->rejected_all) {
        breach("REFUSED", run->task, "all attempts were rejected");
    }
    if (j->done[at(j, k, s, i)] > 0 && !j->lasts) {
        breach("TWICE", run->task, "starts after done was taken note of");
    }
    if (j->failed[at(j, k, s, i)] >= j->max_attempts && !j->lasts) {
        breach("BUDGET", run->task, "too many attempts");
    }
    if (j->cancel_acked >= 0 && World_Now() - j->cancel_acked > 3000) {
        breach("UNASKED", run->task, "cancelled long before");
    }
    if (j->first_ms > 0 &&
        unix_ms() < j->first_ms + (int64_t)k * j->interval_ms - 250) {
        breach("ORDER", run->task, "before its time");
    }
    if (spec->after >= 0) {
        for (int n = 0; n < j->steps[spec->after].count; n++) {
            bool ok = false;
            char before[96];
            snprintf(before, sizeof(before), "%s.%d.%d.", j->id, k,
                     spec->after);
            for (int e = 0; e < end_count && !ok; e++) {
                ok = strncmp(ends[e].task, before, strlen(before)) == 0 &&
                     strcmp(ends[e].how, "done") == 0 &&
                     (j->steps[spec->after].gang ||
                      atoi(ends[e].task + strlen(before)) == n);
            }
            if (!ok) {
                breach("ORDER", run->task, "a step before is not done");
                break;
            }
        }
    }
    if (spec->label && minion % 3 != 0) {
        breach("ROUTE", run->task, "without the label");
    }
    int same = 0;
    for (int n = 0; n < spec->count; n++) {
        char other[96];
        snprintf(other, sizeof(other), "%s.%d.%d.%d", j->id, k, s, n);
        const Run *r = Minion_FindRun(minion, other);
        same += r != NULL;
    }
    if (spec->anti > 0 && same > spec->anti) {
        breach("ROUTE", run->task, "beyond antiAffinity");
    }
    for (int m = 0; m < MINIONS; m++) {
        if (m != minion && Minion_FindRun(m, run->task) != NULL) {
            breach("TWICE", run->task, "two runs at the same time");
        }
    }
    int used = 0;
    for (int n = 0; n < job_count; n++) {
        for (int kk = 0; kk < jobs[n].times; kk++) {
            for (int ss = 0; ss < jobs[n].step_count; ss++) {
                for (int ii = 0; ii < jobs[n].steps[ss].count; ii++) {
                    char other[96];
                    snprintf(other, sizeof(other), "%s.%d.%d.%d", jobs[n].id,
                             kk, ss, ii);
                    if (jobs[n].state[0] != 'x' &&
                        Minion_FindRun(minion, other) != NULL) {
                        used += jobs[n].steps[ss].cpu;
                    }
                }
            }
        }
    }
    int64_t tenant = 0;
    for (int n = 0; quota > 0 && n < job_count; n++) {
        for (int kk = 0; kk < jobs[n].times; kk++) {
            for (int ss = 0; ss < jobs[n].step_count; ss++) {
                for (int ii = 0; ii < jobs[n].steps[ss].count; ii++) {
                    char other[96];
                    snprintf(other, sizeof(other), "%s.%d.%d.%d", jobs[n].id,
                             kk, ss, ii);
                    for (int m = 0; m < MINIONS; m++) {
                        if (Minion_FindRun(m, other) != NULL) {
                            tenant += jobs[n].steps[ss].cpu;
                        }
                    }
                }
            }
        }
    }
    if (quota > 0 && tenant > quota * 11 / 10 + spec->cpu) {
        breach("QUOTA", run->task, "over the maximum");
    }
    if (used > CPU) {
        breach("LIMIT", run->task, "over the capacity");
    }
}

static int
pick_entry(void)
{
    for (int n = 0; n < 20; n++) {
        int e = between(0, ENTRIES - 1);
        if (Entry_IsUp(e)) {
            return e;
        }
    }
    return 0;
}

static void submit(Job *j);

static void
on_submitted(void *arg, const Answer *a)
{
    Job *j = arg;
    j->calling = false;
    if (a->status == 200) {
        j->accepted = true;
        j->accepted_at = World_Now();
        World_Record("job %s accepted try=%d", j->id, j->tries);
        return;
    }
    World_Record("job %s answered %d %s try=%d after=%lld", j->id, a->status,
                 a->body, j->tries, (long long)a->after_ms);
    if (a->status == 429 || a->status == 503) {
        if (!j->maybe && j->tries >= 4) {
            j->rejected_all = true;
        }
    }
    else {
        j->maybe = true;
    }
    if (j->tries < 4 || (j->maybe && j->tries < 8)) {
        submit(j);
    }
}

static void
submit(Job *j)
{
    j->tries++;
    j->calling = true;
    Client_Start(pick_entry(), "POST", j->path, KEY, j->body, 3000,
                 on_submitted, j);
}

static void
on_cancelled(void *arg, const Answer *a)
{
    Job *j = arg;
    j->calling = false;
    World_Record("job %s cancel answered %d after=%lld", j->id, a->status,
                 (long long)a->after_ms);
    if (a->status == 200 || a->status == 410) {
        j->cancel_acked = World_Now();
        j->cancelled_410 = a->status == 410;
        if (a->status == 410 && j->accepted) {
            breach("LOST", j->id, "cancel of an accepted job told 410");
        }
    }
    else {
        j->cancel_sent = false; /* again */
    }
}

static void
on_state(void *arg, const Answer *a)
{
    Job *j = arg;
    j->calling = false;
    if (a->status == 410) {
        breach("LOST", j->id, "GET of an accepted job told 410");
    }
    const char *s = strstr(a->body, "\"state\":\"");
    if (a->status != 200 || s == NULL) {
        return;
    }
    char state[16];
    snprintf(state, sizeof(state), "%.15s", s + 9);
    *strchrnul(state, '"') = '\0';
    if (strcmp(j->state, "completed") == 0 &&
        strcmp(state, "completed") != 0 && strcmp(state, "queued") != 0) {
        breach("MIXED", j->id, "was completed before");
    }
    if (strcmp(state, "completed") == 0) {
        for (int k = 0; k < j->times; k++) {
            for (int n = 0; n < j->step_count; n++) {
                for (int i = 0; i < j->steps[n].count; i++) {
                    if (j->done[at(j, k, n, i)] == 0) {
                        bool listed = false;
                        char task[96];
                        snprintf(task, sizeof(task), "%s.%d.%d.%d", j->id, k,
                                 n, i);
                        for (int e = 0; e < end_count; e++) {
                            listed =
                                listed || (strcmp(ends[e].task, task) == 0 &&
                                           strcmp(ends[e].how, "done") == 0);
                        }
                        if (!listed) {
                            breach("MIXED", task, "completed, not done");
                        }
                    }
                }
            }
        }
    }
    if (strcmp(state, "failed") == 0 && !j->fails &&
        strcmp(j->state, "failed") != 0) {
        breach("LOST", j->id, "failed without cause");
    }
    if (strcmp(state, "cancelled") == 0 && !j->cancel_sent &&
        j->cancel_acked < 0) {
        breach("LOST", j->id, "cancelled without cause");
    }
    snprintf(j->state, sizeof(j->state), "%s", state);
}

static void
make_job(void)
{
    if (job_count == MAX_JOBS) {
        return;
    }
    Job *j = &jobs[job_count++];
    memset(j, 0, sizeof(*j));
    j->cancel_acked = -1;
    snprintf(j->id, sizeof(j->id), "%08x%08x", (unsigned)rand_r(&seed),
             (unsigned)rand_r(&seed));
    double kind = draw01();
    bool quick = kind < 0.4;
    bool batch = kind >= 0.4 && kind < 0.8;
    j->lasts = kind >= 0.92;
    bool timed = kind >= 0.8 && !j->lasts;
    j->prefix = quick ? "/quick/" : j->lasts ? "/watch/" : "/batch/";
    j->max_attempts = quick || j->lasts ? 3 : 2;
    j->times = timed ? between(2, 4) : 1;
    j->first_ms = timed ? unix_ms() + between(0, 3000) : 0;
    j->interval_ms = between(400, 2500);
    j->step_count = j->lasts ? 1 : between(1, MAX_STEPS);
    j->fails = !j->lasts && draw01() < 0.05;
    char steps[2000] = "";
    char spec[400] = "";
    for (int s = 0; s < j->step_count; s++) {
        StepSpec *p = &j->steps[s];
        p->count = between(1, batch ? 5 : 3);
        p->ms = j->lasts ? 0
                : batch  ? between(1500, 5000)
                         : between(150, 1200);
        p->cpu = between(5, batch ? 70 : 30) * 100;
        p->after = s > 0 && draw01() < 0.8 ? s - 1 : -1;
        p->saves = batch && draw01() < 0.8;
        p->gang = batch && p->count > 1 && draw01() < 0.25;
        p->anti = draw01() < 0.2 ? 1 : 0;
        p->label = draw01() < 0.15;
        if (p->label && p->anti && p->count > 3) {
            p->anti = 0;
        }
        if (p->label && p->gang) {
            p->label = false;
        }
        size_t n = strlen(steps);
        n += (size_t)snprintf(
            steps + n, sizeof(steps) - n,
            "%s{\"count\":%d,\"cpu\":%d,\"memMb\":512,\"estMs\":%d",
            s > 0 ? "," : "", p->count, p->cpu, p->ms > 0 ? p->ms : 300);
        if (p->after >= 0) {
            n += (size_t)snprintf(steps + n, sizeof(steps) - n,
                                  ",\"after\":[%d]", p->after);
        }
        n += (size_t)snprintf(steps + n, sizeof(steps) - n, "%s%s%s%s%s}",
                              p->saves ? ",\"checkpointed\":true" : "",
                              p->gang ? ",\"gang\":true" : "",
                              p->anti ? ",\"antiAffinity\":1" : "",
                              p->label ? ",\"requiredLabel\":\"b\"" : "",
                              j->lasts ? ",\"longRunning\":true" : "");
        n = strlen(spec);
        snprintf(spec + n, sizeof(spec) - n,
                 "%d:ms=%d gang=%d saves=%d fails=%d;", s, p->ms,
                 p->gang ? p->count : 0, p->saves, j->fails && s == 0);
        j->tasks += p->count;
    }
    char body[3000];
    char timed_text[120] = "";
    if (timed) {
        snprintf(timed_text, sizeof(timed_text),
                 ",\"times\":%d,\"firstMs\":%lld,\"intervalMs\":%d", j->times,
                 (long long)j->first_ms, j->interval_ms);
    }
    snprintf(body, sizeof(body), "{\"spec\":\"%s\",\"steps\":[%s]%s}", spec,
             steps, timed_text);
    j->body = strdup(body);
    j->tasks *= j->times;
    j->done = calloc((size_t)j->tasks, sizeof(int));
    j->failed = calloc((size_t)j->tasks, sizeof(int));
    snprintf(j->path, sizeof(j->path), "%s%s", j->prefix, j->id);
    j->cancel_at = j->lasts         ? World_Now() + between(3000, 15000)
                   : draw01() < 0.1 ? World_Now() + between(0, 4000)
                                    : -1;
    World_Record("job %s sent %s", j->id, body);
    submit(j);
}

static void
on_repeated(void *arg, const Answer *a)
{
    Job *j = arg;
    j->calling = false;
    if (a->status == 410 && j->cancel_acked < 0 && !j->cancel_sent) {
        breach("LOST", j->id, "a repeat is told 410");
    }
}

static void
poll_jobs(void)
{
    for (int n = 0; n < job_count; n++) {
        Job *j = &jobs[n];
        if (j->calling || !j->accepted) {
            continue;
        }
        if (j->cancel_at >= 0 && World_Now() > j->cancel_at &&
            !j->cancel_sent && j->cancel_acked < 0 &&
            strcmp(j->state, "completed") != 0) {
            j->cancel_sent = true;
            j->calling = true;
            Client_Start(pick_entry(), "DELETE", j->path, KEY, NULL, 3000,
                         on_cancelled, j);
        }
        else if (draw01() < 0.004 && World_Now() - j->accepted_at < 8000) {
            j->calling = true;
            World_Record("job %s is sent again", j->id);
            Client_Start(pick_entry(), "POST", j->path, KEY, j->body, 3000,
                         on_repeated, j);
        }
        else if (draw01() < 0.03 && strcmp(j->state, "completed") != 0 &&
                 strcmp(j->state, "failed") != 0 && j->cancel_acked < 0) {
            j->calling = true;
            Client_Start(pick_entry(), "GET", j->path, KEY, NULL, 3000,
                         on_state, j);
        }
    }
}

typedef struct {
    int64_t at;
    int what;
    int which;
} Event;
static Event events[400];
static int event_count;

static void
plan(int64_t at, int what, int which)
{
    if (event_count < 400) {
        events[event_count++] = (Event){at, what, which};
    }
}

enum {
    CRASH,
    BACK,
    KILL,
    START,
    STOP,
    CONT,
    LATE,
    LATE_OFF,
    LOST,
    LOST_OFF,
    DOWN,
    DOWN_OFF,
    WLOST,
    WLOST_OFF,
    SLOW,
    SLOW_OFF,
    TERM,
    CUT,
    CUT_OFF,
    DRAIN,
    REPLACE,
    JITTER,
    JITTER_OFF
};
static bool minion_down[MINIONS];
static int entry_state[ENTRIES];

static void
apply(const Event *e)
{
    static const char *const NAMES[] = {"crash",        "back",
                                        "kill",         "start",
                                        "stop",         "cont",
                                        "late orders",  "late orders end",
                                        "lost answers", "lost answers end",
                                        "store down",   "store up",
                                        "lost writes",  "lost writes end",
                                        "slow store",   "slow store end",
                                        "term",         "cut",
                                        "cut ends",     "drain",
                                        "replace",      "jitter",
                                        "jitter ends"};
    World_Record("* %s %d", NAMES[e->what], e->which);
    int w = e->which;
    switch (e->what) {
    case CRASH:
        if (!minion_down[w]) {
            minion_down[w] = true;
            Minion_Crash(w);
        }
        break;
    case BACK:
        if (minion_down[w]) {
            minion_down[w] = false;
            Minion_Restart(w);
        }
        break;
    case KILL:
        if (Entry_IsUp(w))
            Entry_Signal(w, SIGKILL);
        break;
    case TERM:
        if (Entry_IsUp(w))
            Entry_Signal(w, SIGTERM);
        break;
    case START:
        if (!Entry_IsUp(w))
            Entry_Start(w);
        break;
    case STOP:
        if (Entry_IsUp(w)) {
            entry_state[w] = 1;
            Entry_Signal(w, SIGSTOP);
        }
        break;
    case CONT:
        if (Entry_IsUp(w)) {
            entry_state[w] = 0;
            Entry_Signal(w, SIGCONT);
        }
        break;
    case LATE:
        late_share = 0.3;
        break;
    case LATE_OFF:
        late_share = 0;
        break;
    case LOST:
        lost_share = 0.2;
        break;
    case LOST_OFF:
        lost_share = 0;
        break;
    case DOWN:
        store_mode = w;
        break;
    case DOWN_OFF:
        store_mode = STORE_OK;
        break;
    case WLOST:
        store_lost = 0.35;
        store_lost_late = w;
        break;
    case WLOST_OFF:
        store_lost = 0;
        break;
    case SLOW:
        store_delay_ms = 250;
        break;
    case CUT:
        if (!minion_down[w])
            Minion_Cut(w, true);
        break;
    case CUT_OFF:
        if (!minion_down[w])
            Minion_Cut(w, false);
        break;
    case DRAIN:
        if (!minion_down[w])
            Minion_Drain(w);
        break;
    case REPLACE:
        if (!minion_down[w])
            Minion_Replace(w);
        break;
    case JITTER:
        jitter_ms = w;
        break;
    case JITTER_OFF:
        jitter_ms = 0;
        break;
    case SLOW_OFF:
        store_delay_ms = 0;
        break;
    default:
        break;
    }
}

int
main(int argc, char **argv)
{
    static const char CONFIG[] =
        "{\"version\":7,\"routes\":["
        "{\"name\":\"r-quick\",\"host\":\"kellner.example\",\"pathPrefix\":"
        "\"/quick/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
        "\"targetLatencyMs\":250,\"priority\":0,\"service\":\"werkplan\","
        "\"maxAttempts\":3,\"stretch\":1.5,\"public\":false},"
        "{\"name\":\"r-batch\",\"host\":\"kellner.example\",\"pathPrefix\":"
        "\"/batch/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
        "\"targetLatencyMs\":1200,\"priority\":2,\"service\":\"werkplan\","
        "\"maxAttempts\":2,\"stretch\":2.2,\"public\":false},"
        "{\"name\":\"r-watch\",\"host\":\"kellner.example\",\"pathPrefix\":"
        "\"/watch/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
        "\"targetLatencyMs\":2500,\"priority\":1,\"service\":\"werkplan\","
        "\"maxAttempts\":3,\"stretch\":2.2,\"public\":false}],"
        "\"services\":[{\"name\":\"werkplan\",\"healthPath\":\"/health\","
        "\"maxConns\":64,\"admissionCheck\":false}],"
        "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],\"weight\":1,"
        "\"maximum\":{\"cpu\":%lld,\"memMb\":0,\"gpu\":0}}],\"limits\":{}}";
    seed = argc > 3 ? (unsigned)atoi(argv[3]) * 2654435761U : 1;
    int seconds = argc > 4 ? atoi(argv[4]) : 25;
    late_holds = true;
    on_started = started;
    on_acked = acked;
    static char config[4096];
    quota = argc > 5 ? atoll(argv[5]) : 0;
    snprintf(config, sizeof(config), CONFIG, (long long)quota);
    World_Begin(argc, argv, MINIONS, ENTRIES, config);
    int64_t begin = World_Now();
    int64_t end = begin + seconds * 1000;
    int kinds = between(1, 4);
    int menu[4];
    for (int i = 0; i < kinds; i++) {
        menu[i] = between(0, 14);
    }
    for (int64_t t = begin + 1500; t < end - 6000; t += between(700, 5000)) {
        int m = between(0, MINIONS - 1);
        int e = between(0, ENTRIES - 1);
        switch (menu[between(0, kinds - 1)]) {
        case 0:
        case 1:
            plan(t, CRASH, m);
            plan(t + between(50, 3000), BACK, m);
            break;
        case 2:
            plan(t, KILL, e);
            plan(t + between(100, 2500), START, e);
            break;
        case 3:
            plan(t, STOP, e);
            plan(t + between(300, 4000), CONT, e);
            break;
        case 4:
            plan(t, LATE, 0);
            plan(t + between(500, 5000), LATE_OFF, 0);
            break;
        case 5:
            plan(t, LOST, 0);
            plan(t + between(500, 5000), LOST_OFF, 0);
            break;
        case 6:
            plan(t, DOWN, between(1, 3));
            plan(t + between(300, 4000), DOWN_OFF, 0);
            break;
        case 7:
            plan(t, WLOST, between(0, 1));
            plan(t + between(500, 4500), WLOST_OFF, 0);
            break;
        case 8:
            plan(t, SLOW, 0);
            plan(t + between(500, 4500), SLOW_OFF, 0);
            break;
        case 10:
            plan(t, CUT, m);
            plan(t + between(500, 8000), CUT_OFF, m);
            break;
        case 11:
            plan(t, DRAIN, m);
            plan(t + between(2000, 3000), REPLACE, m);
            break;
        case 12:
        case 13:
            plan(t, JITTER, between(20, 140));
            plan(t + between(2000, 8000), JITTER_OFF, 0);
            break;
        case 14:
            plan(t, CRASH, m);
            plan(t + between(20, 300), BACK, m);
            break;
        default:
            plan(t, TERM, e);
            plan(t + between(4000, 6500), START, e);
            break;
        }
    }
    int64_t next_job = begin;
    while (World_Now() < end) {
        World_Wait(10);
        for (int i = 0; i < event_count; i++) {
            if (events[i].at >= 0 && World_Now() >= events[i].at) {
                Event e = events[i];
                events[i].at = -1;
                apply(&e);
            }
        }
        if (World_Now() > next_job && World_Now() < end - 4000) {
            make_job();
            next_job = World_Now() + between(50, 400);
        }
        poll_jobs();
    }
    for (int i = 0; i < event_count; i++) {
        if (events[i].at >= 0 &&
            (events[i].what == BACK || events[i].what == CONT ||
             events[i].what == START || events[i].what == CUT_OFF)) {
            apply(&events[i]);
        }
    }
    late_share = lost_share = store_lost = 0;
    store_mode = STORE_OK;
    store_delay_ms = 0;
    jitter_ms = 0;
    World_Record("* all is calm");
    int64_t limit = World_Now() + 40000;
    int open = 1;
    while (open > 0 && World_Now() < limit) {
        World_Wait(50);
        for (int i = 0; i < ENTRIES; i++) {
            if (!Entry_IsUp(i)) {
                Entry_Start(i);
            }
        }
        poll_jobs();
        open = 0;
        for (int n = 0; n < job_count; n++) {
            Job *j = &jobs[n];
            if (j->lasts && j->accepted && j->cancel_at > World_Now()) {
                j->cancel_at = World_Now();
            }
            open += j->calling || (j->accepted && j->cancel_acked < 0 &&
                                   strcmp(j->state, "completed") != 0 &&
                                   strcmp(j->state, "failed") != 0);
        }
    }
    for (int n = 0; n < job_count; n++) {
        Job *j = &jobs[n];
        if (j->accepted && j->cancel_acked < 0 &&
            strcmp(j->state, "completed") != 0 &&
            strcmp(j->state, "failed") != 0) {
            breach("LOST", j->id, "not ended 40 s after calm");
        }
    }
    World_Wait(1500);
    for (int n = 0; n < job_count; n++) {
        Job *j = &jobs[n];
        if (j->cancel_acked >= 0) {
            for (int k = 0; k < j->times; k++)
                for (int s = 0; s < j->step_count; s++)
                    for (int i = 0; i < j->steps[s].count; i++) {
                        char task[96];
                        snprintf(task, sizeof(task), "%s.%d.%d.%d", j->id, k,
                                 s, i);
                        if (Minion_OfTask(task) >= 0 &&
                            World_Now() - j->cancel_acked > 6000)
                            breach("UNASKED", task,
                                   "runs long after its cancelling");
                    }
        }
    }
    int acceptedn = 0;
    for (int n = 0; n < job_count; n++)
        acceptedn += jobs[n].accepted;
    printf("seed %s: jobs=%d accepted=%d starts=%d broken=%d menu=",
           argc > 3 ? argv[3] : "1", job_count, acceptedn, start_count,
           broken);
    for (int i = 0; i < kinds; i++)
        printf("%d ", menu[i]);
    printf("\n");
    World_End(broken > 0);
}
