/* A randomized soak test: entries, the stand-in of the platform and relays as
 * separate processes on loopback. While jobs are submitted and cancelled,
 * faults are injected from outside: signals to entries, cut and silent
 * connections to the store and between entries, a store that is unavailable,
 * slow or loses replies, and workers that crash, fail, are isolated or carry
 * out orders late.
 *
 * When the faults have ended it checks what callers and workers saw: no
 * accepted job is lost or left unfinished, no refused job is known, a
 * cancelled job does not go on, and the stand-in saw no violation, such as a
 * task that ran twice. The seed decides the random choices, but when they take
 * effect depends on timing: a seed does not repeat a run exactly. Usage: soak
 * SEED [SECONDS]. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <sodium.h>

#include "guavaflow/clock.h"
#include "guavaflow/http.h"

#define ADDRESS "127.0.0.1"
#define ENTRIES 4
#define WORKERS 8
#define MAX_JOBS 2000
#define STEP_MS 50
#define DEFAULT_SECONDS 12
/* Limit for all jobs to end after the last fault: includes a takeover, leases
 * that expire, and the backlog. */
#define SETTLE_MS 45000
#define CALL_TIMEOUT_MS 3500
/* From the start of an entry until it has read the configuration. */
#define START_MS 1200
#define TRIES 6
/* After its connections have gone silent, an entry is up to date again within
 * this time, which is the stated target. */
#define CONTACT_MS 3000
#define KEY "key-desk"
#define KEY_BYTES 24
#define STATUS_GONE 410
#define HOST "jobs.example"

/* The outcome of a submission: OPEN until there is an answer or the tries are
 * used up. UNSETTLED: not known to be accepted, but some try may have been. */
typedef enum { OPEN, ACCEPTED, REFUSED, UNSETTLED } Outcome;

/* A job, and what its submitter knows of it. */
typedef struct {
    char id[20];
    Outcome outcome;
    int tries;
    bool may_be_accepted; /* some try may have been accepted */
    bool cancelled;       /* the cancellation was accepted */
    bool cancel_sent;
    bool may_fail;   /* its tasks fail */
    bool in_call;    /* a call about it waits for its answer */
    int64_t next_at; /* earliest time of the next call */
    char state[16];  /* of the last answer; empty: none */
} SoakJob;

/* An entry's process, and the times in ms at which its faults end; 0: no such
 * fault. resume_at counts only while it is paused. */
typedef struct {
    pid_t pid;
    bool paused;
    bool stopping; /* a planned stop was requested */
    int64_t resume_at;
    int64_t start_at;     /* 0: it runs */
    int64_t heal_at;      /* of the relay to the store */
    int64_t peer_heal_at; /* of the relay from the other entries */
} Entry;

/* The state of the test. Times are ms on the boot-time clock. */
static struct {
    struct event_base *base;
    GfHttp *http;
    uint64_t random;
    int port;
    char dir[64];
    Entry entries[ENTRIES];
    pid_t other_pids[2 * ENTRIES + 1]; /* the relays and, last, the platform */
    SoakJob jobs[MAX_JOBS];
    int job_count;
    int64_t store_heal_at;
    int64_t worker_heal_at[WORKERS];
    bool worker_faulty[WORKERS];
    json_t *report; /* the latest violations and counts of the stand-in */
    int faults;
} soak;

/* Returns the boot-time clock's time in ms. */
static int64_t
now_ms(void)
{
    return GfTime_ToMs(GfClock_Now(GfClock_System()));
}

/* Returns a pseudorandom number from 0 to bound - 1. */
static int
random_below(int bound)
{
    soak.random = soak.random * 6364136223846793005ULL + 1442695040888963407;
    return (int)((soak.random >> 33U) % (uint64_t)bound);
}

/* Returns a port of an entry. kind 0: for callers, 1: readiness, 2: for other
 * entries. */
static int
entry_port(int entry, int kind)
{
    return soak.port + 200 + entry * 10 + kind;
}

/* Returns the port of the relay through which an entry reaches the store. */
static int
relay_port(int entry)
{
    return soak.port + 100 + entry;
}

/* Returns the port of the relay through which other entries reach this one. */
static int
peer_relay_port(int entry)
{
    return soak.port + 110 + entry;
}

/* Starts a program, whose output is appended to the log of this name. */
static pid_t
start_process(const char *log, char *const argv[])
{
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.log", soak.dir, log);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

/* Writes the settings of an entry and starts its process. */
static void
start_entry(int entry)
{
    char path[128];
    snprintf(path, sizeof(path), "%s/entry-%d.yaml", soak.dir, entry);
    FILE *file = fopen(path, "w");
    fprintf(file,
            "ownership: token\nmember: e%d\nfailure_domain: d%d\n"
            "front: " ADDRESS ":%d\nready: " ADDRESS ":%d\npeer: " ADDRESS
            ":%d\nstore: " ADDRESS ":%d\nadvice: " ADDRESS ":%d\n"
            "peer_advertised: " ADDRESS ":%d\n"
            "seeds: " ADDRESS ":%d," ADDRESS ":%d\nstop_grace_s: 6\n"
            "longest_lease_ms: 10000\nkeep_finished_s: 120\n",
            entry, entry % 2, entry_port(entry, 0), entry_port(entry, 1),
            entry_port(entry, 2), relay_port(entry), soak.port + 1,
            peer_relay_port(entry), peer_relay_port(0), peer_relay_port(1));
    fclose(file);
    char name[16];
    snprintf(name, sizeof(name), "entry-%d", entry);
    char *argv[] = {(char *)GUAVAFLOW_PROGRAM, "entry", "--config", path,
                    NULL};
    soak.entries[entry].pid = start_process(name, argv);
    soak.entries[entry].start_at = 0;
    soak.entries[entry].stopping = false;
}

/* Runs the event loop for a time in ms. */
static void
run_loop(int ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    event_base_loopexit(soak.base, &tv);
    event_base_dispatch(soak.base);
}

/* Keeps a stand-in's reply if it has a list of violations. */
static void
on_standin_reply(void *arg, const GfHttpResult *result)
{
    (void)arg;
    json_t *body = GfHttp_ParseJson(result);
    if (json_object_get(body, "breaches") != NULL) {
        json_decref(soak.report);
        soak.report = json_incref(body);
    }
    json_decref(body);
}

/* Sends a request to a stand-in. Takes the reference to the body. */
static void
send_to_standin(int port, const char *path, json_t *body)
{
    GfHttp_PostJson(soak.http, ADDRESS, (uint16_t)port, path, body, 2000,
                    on_standin_reply, NULL);
}

/* Writes a version of the operators' configuration: two queues, and a team
 * with an API key that only this version has. */
static void
write_config(int version)
{
    char key[KEY_BYTES];
    snprintf(key, sizeof(key), "version-%d", version);
    json_t *queue = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:f,s:{s:f,s:f,s:i}}", "name", "quick",
        "host", HOST, "pathPrefix", "/quick/", "service", "plan", "priority",
        0, "maxAttempts", 3, "targetLatencyMs", 300, "stretch", 2.0, "advice",
        "decideMs", 5.0, "eachMs", 0.2, "validMs", 2000);
    json_t *batch = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:f}", "name",
                              "batch", "host", HOST, "pathPrefix", "/batch/",
                              "service", "plan", "priority", 2, "maxAttempts",
                              4, "targetLatencyMs", 1000, "stretch", 2.0);
    json_t *team = json_pack("{s:s,s:[s,s],s:i,s:{s:i,s:i,s:i}}", "name",
                             "desk", "apiKeys", KEY, key, "weight", 5,
                             "maximum", "cpu", 90000, "memMb", 0, "gpu", 0);
    send_to_standin(soak.port, "/test/config",
                    json_pack("{s:i,s:[o,o],s:[{s:s,s:b}],s:[o]}", "version",
                              version, "routes", queue, batch, "services",
                              "name", "plan", "admissionCheck", 0, "tenants",
                              team));
}

/* Makes a call about a job to a random entry: POST submits it, GET asks for
 * its state, DELETE cancels it. */
static void
call_entry(SoakJob *job, enum evhttp_cmd_type method, GfHttpCallback callback)
{
    char path[64];
    bool quick = (job - soak.jobs) % 3 != 0;
    snprintf(path, sizeof(path), "/%s/%s", quick ? "quick" : "batch", job->id);
    const GfHttpHeader headers[] = {{"X-Api-Key", KEY},
                                    {"Content-Type", "application/json"},
                                    {"X-Guavaflow-Deadline", "3000"}};
    char body[256] = "";
    int number = (int)(job - soak.jobs);
    if (method == EVHTTP_REQ_POST) {
        snprintf(body, sizeof(body),
                 "{\"spec\":\"ms=%d mcores=1500%s\",\"steps\":[{\"count\":%d,"
                 "\"cpu\":1500,\"memMb\":100,\"estMs\":300},{\"count\":2,"
                 "\"cpu\":1500,\"memMb\":100,\"estMs\":300,\"after\":[0]}]}",
                 100 + number % 7 * 60, job->may_fail ? " fail=1" : "",
                 1 + number % 4);
    }
    GfHttpCall call = {.address = ADDRESS,
                       .port = (uint16_t)entry_port(random_below(ENTRIES), 0),
                       .method = method,
                       .path = path,
                       .host = HOST,
                       .headers = headers,
                       .header_count = 3,
                       .body = body,
                       .body_len = strlen(body),
                       .timeout_ms = CALL_TIMEOUT_MS};
    job->in_call = true;
    GfHttp_Start(soak.http, &call, callback, job);
}

/* Records the answer to a submission. Only 429 and 503, or a request that was
 * not sent, say that the job was not accepted. */
static void
on_submitted(void *arg, const GfHttpResult *result)
{
    SoakJob *job = arg;
    job->in_call = false;
    job->next_at = now_ms() + 300;
    if (result->kind == GF_OK && result->status == 200) {
        job->outcome = ACCEPTED;
    }
    else {
        bool refused = result->kind == GF_OK &&
                       (result->status == 503 || result->status == 429);
        bool unsent = result->kind != GF_OK && !result->sent;
        job->may_be_accepted = job->may_be_accepted || (!refused && !unsent);
        if (job->tries >= TRIES) {
            job->outcome = job->may_be_accepted ? UNSETTLED : REFUSED;
        }
    }
}

/* Records the answer to a cancellation. */
static void
on_cancelled(void *arg, const GfHttpResult *result)
{
    SoakJob *job = arg;
    job->in_call = false;
    job->next_at = now_ms() + 300;
    job->cancelled = result->kind == GF_OK && result->status == 200;
}

/* Records the state of a job; 410 says that the job is not known. */
static void
on_state(void *arg, const GfHttpResult *result)
{
    SoakJob *job = arg;
    job->in_call = false;
    job->next_at = now_ms() + 400;
    json_t *body = GfHttp_ParseJson(result);
    const char *state = json_string_value(json_object_get(body, "state"));
    if (state != NULL) {
        snprintf(job->state, sizeof(job->state), "%s", state);
    }
    else if (result->kind == GF_OK && result->status == 410) {
        snprintf(job->state, sizeof(job->state), "gone");
    }
    json_decref(body);
}

/* Submits jobs again whose outcome is open and, if more is set, adds jobs and
 * cancels some. */
static void
step_jobs(bool more)
{
    if (more && random_below(2) == 0 && soak.job_count < MAX_JOBS) {
        SoakJob *job = &soak.jobs[soak.job_count];
        snprintf(job->id, sizeof(job->id), "%016x", soak.job_count);
        job->may_fail = random_below(12) == 0;
        soak.job_count++;
    }
    for (int i = 0; i < soak.job_count; i++) {
        SoakJob *job = &soak.jobs[i];
        if (job->in_call || now_ms() < job->next_at) {
            continue;
        }
        if (job->outcome == OPEN) {
            job->tries++;
            call_entry(job, EVHTTP_REQ_POST, on_submitted);
        }
        else if (more && job->outcome == ACCEPTED && !job->cancel_sent &&
                 random_below(400) == 0) {
            job->cancel_sent = true;
            call_entry(job, EVHTTP_REQ_DELETE, on_cancelled);
        }
    }
}

/* Injects a random fault at an entry, unless it is stopped or paused. */
static void
inject_entry_fault(int entry)
{
    Entry *e = &soak.entries[entry];
    if (e->start_at != 0 || e->paused) {
        return;
    }
    switch (random_below(7)) {
    case 0:
        kill(e->pid, SIGKILL);
        waitpid(e->pid, NULL, 0);
        e->start_at = now_ms() + random_below(2000);
        break;
    case 1:
        kill(e->pid, SIGTERM);
        e->stopping = true;
        break;
    case 2:
        kill(e->pid, SIGSTOP);
        e->paused = true;
        e->resume_at = now_ms() + 200 + random_below(3000);
        break;
    case 3:
        send_to_standin(relay_port(entry) + 50, "/",
                        json_pack("{s:b,s:b,s:b}", "cut_forward",
                                  random_below(2), "cut_back", 1, "refuse",
                                  random_below(2)));
        e->heal_at = now_ms() + 500 + random_below(4000);
        break;
    case 4:
        /* Other entries don't reach this one, or get no replies from it. */
        send_to_standin(peer_relay_port(entry) + 50, "/",
                        json_pack("{s:b,s:b,s:b}", "cut_forward",
                                  random_below(2), "cut_back", 1, "refuse",
                                  random_below(2)));
        e->peer_heal_at = now_ms() + 500 + random_below(4000);
        break;
    case 5:
        send_to_standin(peer_relay_port(entry) + 50, "/",
                        json_pack("{s:b}", "silence", 1));
        break;
    default:
        send_to_standin(relay_port(entry) + 50, "/",
                        json_pack("{s:b}", "silence", 1));
        break;
    }
}

/* Ends the faults of a relay, except for silent connections. */
static void
restore_relay(int port)
{
    send_to_standin(port + 50, "/",
                    json_pack("{s:b,s:b,s:b}", "cut_forward", 0, "cut_back", 0,
                              "refuse", 0));
}

/* Injects a random fault at the store or at a worker that has none. */
static void
inject_platform_fault(void)
{
    static const char *const MODES[] = {"away", "slow", "lose_answer"};
    static const char *const ACTIONS[] = {"crash", "cut", "fail", "late"};
    if (random_below(3) == 0) {
        send_to_standin(soak.port, "/test/fault",
                        json_pack("{s:s,s:i,s:s}", "mode",
                                  MODES[random_below(3)], "slow_ms",
                                  50 + random_below(250), "path",
                                  "/v1/rows-tx"));
        soak.store_heal_at = now_ms() + 300 + random_below(2500);
        return;
    }
    int worker = random_below(WORKERS);
    if (soak.worker_faulty[worker]) {
        return;
    }
    send_to_standin(soak.port, "/test/worker",
                    json_pack("{s:i,s:s}", "index", worker, "action",
                              ACTIONS[random_below(4)]));
    soak.worker_faulty[worker] = true;
    soak.worker_heal_at[worker] = now_ms() + 500 + random_below(6000);
}

/* Ends the faults that are due, or all of them, and starts entries again that
 * have ended. */
static void
end_faults(bool all)
{
    int64_t now = now_ms();
    for (int i = 0; i < ENTRIES; i++) {
        Entry *e = &soak.entries[i];
        if (e->paused && (all || now >= e->resume_at)) {
            kill(e->pid, SIGCONT);
            e->paused = false;
        }
        if (e->start_at == 0 && waitpid(e->pid, NULL, WNOHANG) == e->pid) {
            e->start_at = now + 100;
        }
        if (e->start_at != 0 && (all || now >= e->start_at)) {
            start_entry(i);
        }
        if (e->heal_at != 0 && (all || now >= e->heal_at)) {
            restore_relay(relay_port(i));
            e->heal_at = 0;
        }
        if (e->peer_heal_at != 0 && (all || now >= e->peer_heal_at)) {
            restore_relay(peer_relay_port(i));
            e->peer_heal_at = 0;
        }
    }
    if (soak.store_heal_at != 0 && (all || now >= soak.store_heal_at)) {
        send_to_standin(soak.port, "/test/fault",
                        json_pack("{s:s}", "mode", "none"));
        soak.store_heal_at = 0;
    }
    for (int i = 0; i < WORKERS; i++) {
        if (!soak.worker_faulty[i] || (!all && now < soak.worker_heal_at[i])) {
            continue;
        }
        static const char *const HEALS[] = {"heal", "join", "restart"};
        for (int k = 0; k < 3; k++) {
            send_to_standin(
                soak.port, "/test/worker",
                json_pack("{s:i,s:s}", "index", i, "action", HEALS[k]));
        }
        soak.worker_faulty[i] = false;
    }
}

/* Starts a relay from a port to another one; its control port is 50 above. */
static pid_t
start_relay(const char *name, int from, int to)
{
    char from_text[16];
    char to_text[16];
    char at_text[16];
    snprintf(from_text, sizeof(from_text), "%d", from);
    snprintf(to_text, sizeof(to_text), "%d", to);
    snprintf(at_text, sizeof(at_text), "%d", from + 50);
    char *argv[] = {(char *)STANDIN_PROGRAM,
                    "relay",
                    ADDRESS,
                    from_text,
                    to_text,
                    at_text,
                    NULL};
    return start_process(name, argv);
}

/* Starts all processes and writes the first configuration. The seed decides
 * the ports and the random choices. */
static void
start_all(uint64_t seed)
{
    soak.random = seed * 2654435761U + 7;
    soak.port = 20000 + (int)(seed % 40) * 300;
    snprintf(soak.dir, sizeof(soak.dir), "soak-%llu",
             (unsigned long long)seed);
    mkdir(soak.dir, 0700);
    soak.base = event_base_new();
    soak.http = GfHttp_Create(soak.base);
    char port[16];
    char workers[16];
    char text[32];
    snprintf(port, sizeof(port), "%d", soak.port);
    snprintf(workers, sizeof(workers), "%d", WORKERS);
    snprintf(text, sizeof(text), "%llu", (unsigned long long)seed);
    char *fleet[] = {
        (char *)STANDIN_PROGRAM, "fleet", ADDRESS, port, workers, text, NULL};
    soak.other_pids[2 * ENTRIES] = start_process("fleet", fleet);
    for (int i = 0; i < ENTRIES; i++) {
        char name[24];
        snprintf(name, sizeof(name), "relay-%d", i);
        soak.other_pids[i] = start_relay(name, relay_port(i), soak.port);
        snprintf(name, sizeof(name), "peer-relay-%d", i);
        soak.other_pids[ENTRIES + i] =
            start_relay(name, peer_relay_port(i), entry_port(i, 2));
    }
    run_loop(400);
    for (int i = 0; i < ENTRIES; i++) {
        start_entry(i);
    }
    write_config(1);
    run_loop(START_MS);
}

/* Returns whether each job has an outcome and a final state, and asks for the
 * states of the others. */
static bool
all_settled(void)
{
    bool settled = true;
    for (int i = 0; i < soak.job_count; i++) {
        SoakJob *job = &soak.jobs[i];
        bool final = strcmp(job->state, "completed") == 0 ||
                     strcmp(job->state, "failed") == 0 ||
                     strcmp(job->state, "cancelled") == 0 ||
                     strcmp(job->state, "gone") == 0;
        if (job->outcome == OPEN || !final) {
            settled = false;
            if (job->outcome != OPEN && !job->in_call &&
                now_ms() >= job->next_at) {
                call_entry(job, EVHTTP_REQ_GET, on_state);
            }
        }
    }
    return settled;
}

/* A call with the key of the newest configuration. */
typedef struct {
    bool answered;
    bool known; /* the key is in force */
} KeyCall;

/* Records the answer to a call about a job that does not exist. */
static void
on_key_tried(void *arg, const GfHttpResult *result)
{
    KeyCall *call = arg;
    call->answered = true;
    call->known = result->kind == GF_OK && result->status == STATUS_GONE;
}

/* Waits until entries that stop have ended, and until all are up. */
static void
wait_for_entries(void)
{
    int stopping = 1;
    while (stopping > 0) {
        stopping = 0;
        end_faults(true);
        run_loop(STEP_MS);
        for (int i = 0; i < ENTRIES; i++) {
            stopping += soak.entries[i].stopping;
        }
    }
    run_loop(START_MS);
}

/* Makes all connections to the store and between entries go silent, and
 * changes the configuration. Returns the number of entries where it is not in
 * force in time, and prints them. */
static int
check_config_after_silence(int version)
{
    char key[KEY_BYTES];
    snprintf(key, sizeof(key), "version-%d", version);
    wait_for_entries();
    for (int i = 0; i < ENTRIES; i++) {
        send_to_standin(relay_port(i) + 50, "/",
                        json_pack("{s:b}", "silence", 1));
        send_to_standin(peer_relay_port(i) + 50, "/",
                        json_pack("{s:b}", "silence", 1));
    }
    run_loop(STEP_MS);
    write_config(version);
    run_loop(CONTACT_MS);
    const GfHttpHeader header = {"X-Api-Key", key};
    KeyCall calls[ENTRIES] = {{false, false}};
    for (int i = 0; i < ENTRIES; i++) {
        GfHttpCall call = {.address = ADDRESS,
                           .port = (uint16_t)entry_port(i, 0),
                           .method = EVHTTP_REQ_GET,
                           .path = "/quick/ffffffffffffffff",
                           .host = HOST,
                           .headers = &header,
                           .header_count = 1,
                           .timeout_ms = CALL_TIMEOUT_MS};
        GfHttp_Start(soak.http, &call, on_key_tried, &calls[i]);
    }
    int late = 0;
    for (int i = 0; i < ENTRIES; i++) {
        while (!calls[i].answered) {
            run_loop(STEP_MS);
        }
        if (!calls[i].known) {
            printf("configuration %d not in force at entry %d\n", version, i);
            late++;
        }
    }
    return late;
}

/* Checks the outcomes of all jobs and prints the violations and totals.
 * Returns the number of violations. */
static int
check_outcomes(void)
{
    int violations = 0;
    int counts[4] = {0};
    for (int i = 0; i < soak.job_count; i++) {
        const SoakJob *job = &soak.jobs[i];
        counts[job->outcome]++;
        const char *violation = NULL;
        bool gone = strcmp(job->state, "gone") == 0;
        if (job->outcome == ACCEPTED && gone) {
            violation = "was accepted but is not known";
        }
        else if (job->outcome == REFUSED && !gone) {
            violation = "was refused but is known";
        }
        else if (job->outcome == ACCEPTED && job->cancelled &&
                 strcmp(job->state, "cancelled") != 0 &&
                 strcmp(job->state, "completed") != 0 &&
                 strcmp(job->state, "failed") != 0) {
            violation = "was cancelled but goes on";
        }
        else if (job->outcome == ACCEPTED && !job->cancel_sent &&
                 strcmp(job->state, "completed") != 0 &&
                 strcmp(job->state, "failed") != 0) {
            violation = "was accepted but has not completed";
        }
        if (violation != NULL) {
            printf("job %s %s, state %s\n", job->id, violation, job->state);
            violations++;
        }
    }
    size_t i;
    json_t *text;
    json_array_foreach(json_object_get(soak.report, "breaches"), i, text)
    {
        printf("breach: %s\n", json_string_value(text));
        violations++;
    }
    printf(
        "jobs %d: accepted %d, refused %d, unsettled %d; faults %d, "
        "starts %lld, broken %d\n",
        soak.job_count, counts[ACCEPTED], counts[REFUSED], counts[UNSETTLED],
        soak.faults,
        (long long)json_integer_value(json_object_get(soak.report, "starts")),
        violations);
    if (soak.report == NULL || counts[ACCEPTED] == 0) {
        printf("no job was accepted, or no report of the stand-in\n");
        violations++;
    }
    return violations;
}

/* Runs the soak. The exit status is 0 if no invariant was violated, 1 if any
 * was, 2 on a usage error. */
int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc < 2 || sodium_init() < 0) {
        fprintf(stderr, "usage: soak SEED [SECONDS]\n");
        return 2;
    }
    uint64_t seed = strtoull(argv[1], NULL, 10);
    int seconds = argc > 2 ? atoi(argv[2]) : DEFAULT_SECONDS;
    start_all(seed);
    int64_t end = now_ms() + (int64_t)seconds * 1000;
    int version = 1;
    while (now_ms() < end) {
        run_loop(STEP_MS);
        step_jobs(true);
        end_faults(false);
        if (random_below(8) == 0) {
            soak.faults++;
            if (random_below(2) == 0) {
                inject_entry_fault(random_below(ENTRIES));
            }
            else {
                inject_platform_fault();
            }
        }
        if (random_below(60) == 0) {
            write_config(++version);
        }
    }
    int64_t limit = now_ms() + SETTLE_MS;
    bool settled = false;
    while (!settled && now_ms() < limit) {
        end_faults(true);
        step_jobs(false);
        run_loop(STEP_MS);
        settled = all_settled();
    }
    send_to_standin(soak.port, "/test/report", json_object());
    run_loop(300);
    int violations = check_outcomes() + check_config_after_silence(++version);
    for (int i = 0; i < ENTRIES; i++) {
        kill(soak.entries[i].pid, SIGKILL);
    }
    for (int i = 0; i <= 2 * ENTRIES; i++) {
        kill(soak.other_pids[i], SIGKILL);
    }
    while (wait(NULL) > 0) {
    }
    printf("soak seed %llu: %s\n", (unsigned long long)seed,
           violations == 0 ? "kept" : "BROKEN");
    return violations == 0 ? 0 : 1;
}
