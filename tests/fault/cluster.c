#include "cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/event.h>
#include <sodium.h>

#include "guavaflow/bundle.h"
#include "guavaflow/clock.h"
#include "guavaflow/http.h"
#include "guavaflow/sign.h"
#include "oracle.h"

#define ADDRESS "127.0.0.1"
#define MAX_PROCESSES 64
#define PARTITIONS 16
#define MAX_CALLS 60000
#define CALL_TIMEOUT_MS 8000
#define REQUEST_TIME_MS "5000"

/* A call of the load that waits for its answer. */
typedef struct {
    Cluster *cluster;
    size_t index; /* in calls */
} PendingCall;

/* The processes of a cluster, and the load. Arrays by entry start at 1. */
struct Cluster {
    ClusterConfig config;
    char dir[64]; /* settings and logs */
    struct event_base *base;
    GfHttp *http;
    pid_t entries[CLUSTER_MAX_ENTRIES + 1]; /* 0: does not run */
    pid_t others[MAX_PROCESSES];
    int other_count;
    ClusterCall *calls;
    size_t call_count;
    int plain_per_s; /* requests without a key */
    int keyed_per_s;
    int work_ms;
    bool in_load[CLUSTER_MAX_ENTRIES + 1];
    double due; /* requests to send now, with the fraction of the next */
    double keyed_due;
    int64_t last_tick; /* ms */
    struct event *tick;
    char public_hex[GF_PUBLIC_KEY_HEX + 1];
    char secret_hex[GF_SECRET_KEY_HEX + 1];
    uint32_t random;
};

/* Returns the boot-time clock's time in ms, the same for all processes of a
 * host. */
int64_t
Cluster_NowMs(void)
{
    return GfTime_ToMs(GfClock_Now(GfClock_System()));
}

/* Returns the port on which an entry serves callers. */
uint16_t
Cluster_CallerPort(const Cluster *c, int entry)
{
    return (uint16_t)(c->config.base_port + 10 + entry);
}

/* Returns the port on which an entry serves other entries. */
uint16_t
Cluster_PeerPort(const Cluster *c, int entry)
{
    return (uint16_t)(c->config.base_port + 20 + entry);
}

/* Returns the port of the platform's stand-in. */
uint16_t
Cluster_PlatformPort(const Cluster *c)
{
    return c->config.base_port;
}

/* Returns the port of a rack's first worker; the others follow. */
uint16_t
Cluster_WorkersPort(const Cluster *c, int rack)
{
    return (uint16_t)(c->config.base_port + 100 + rack * 20);
}

/* Returns the port of a rack's first target; the others follow. */
uint16_t
Cluster_TargetsPort(const Cluster *c, int rack)
{
    return (uint16_t)(c->config.base_port + 300 + rack * 20);
}

/* Returns the control port of the relay between an entry and the platform;
 * the relay itself is ten ports below. */
uint16_t
Cluster_PlatformRelayControl(const Cluster *c, int entry)
{
    return (uint16_t)(c->config.base_port + 60 + entry);
}

/* Returns the control port of the relay to an entry's peer port; the relay
 * itself is ten ports below. */
uint16_t
Cluster_PeerRelayControl(const Cluster *c, int entry)
{
    return (uint16_t)(c->config.base_port + 80 + entry);
}

/* Starts a program, whose stderr is appended to the log of this name. */
static pid_t
start_process(Cluster *c, const char *log, char *const argv[])
{
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.log", c->dir, log);
    pid_t pid = fork();
    if (pid == 0) {
        /* A test that ends early must not leave processes behind. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDERR_FILENO);
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

/* Formats a number; the caller frees the text. */
static char *
format_number(int n)
{
    char *text = malloc(16);
    snprintf(text, 16, "%d", n);
    return text;
}

/* Starts a stand-in with arguments that end with NULL. */
static void
start_standin(Cluster *c, const char *log, char *const args[])
{
    char *argv[16] = {(char *)STANDIN_PROGRAM};
    for (int i = 0; args[i] != NULL; i++) {
        argv[i + 1] = args[i];
    }
    c->others[c->other_count++] = start_process(c, log, argv);
}

/* Waits until an HTTP server replies 200 to a GET; gives up after 300 tries
 * 50 ms apart, which take about 15 s if the calls fail at once. */
static void
wait_port(Cluster *c, uint16_t port, const char *path)
{
    for (int i = 0; i < 300; i++) {
        int status = 0;
        json_decref(Cluster_Call(c, port, "GET", path, NULL, NULL, &status));
        if (status == 200) {
            return;
        }
        Cluster_Run(c, 50);
    }
}

/* A call that is waited for, and its answer; status is 0 if it failed. */
typedef struct {
    int status;
    json_t *body;
    bool done;
    struct event_base *base;
} WaitedCall;

/* Stores the answer to a call, as a JSON string if it isn't JSON, and ends the
 * loop that waits for it. */
static void
on_call_done(void *arg, const GfHttpResult *result)
{
    WaitedCall *s = arg;
    s->done = true;
    s->status = result->kind == GF_OK ? result->status : 0;
    if (result->kind == GF_OK) {
        s->body = GfHttp_ParseJson(result);
        if (s->body == NULL) {
            s->body = json_stringn(result->body, result->body_len);
        }
    }
    event_base_loopbreak(s->base);
}

/* Starts a call, to be waited for until s->done. key: the API key, or NULL.
 * Takes the reference to the body. */
static void
start_call(Cluster *c, uint16_t port, const char *method, const char *path,
           const char *key, json_t *body, WaitedCall *s)
{
    s->base = c->base;
    char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    char bearer[160];
    GfHttpHeader headers[2] = {{"Content-Type", "application/json"}};
    snprintf(bearer, sizeof(bearer), "Bearer %s", key == NULL ? "" : key);
    headers[1] = (GfHttpHeader){"Authorization", bearer};
    GfHttpCall call = {.address = ADDRESS,
                       .port = port,
                       .method = strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST
                                                             : EVHTTP_REQ_GET,
                       .path = path,
                       .headers = headers,
                       .header_count = key == NULL ? 1 : 2,
                       .body = text,
                       .body_len = text == NULL ? 0 : strlen(text),
                       .timeout_ms = CALL_TIMEOUT_MS};
    GfHttp_Start(c->http, &call, on_call_done, s);
    free(text);
    json_decref(body);
}

/* Makes a call and waits for its answer, which the caller owns; NULL if there
 * is none. Sets *status, unless status is NULL, to the HTTP status, or to 0 if
 * the call failed. Takes the reference to the body. */
json_t *
Cluster_Call(Cluster *c, uint16_t port, const char *method, const char *path,
             const char *key, json_t *body, int *status)
{
    WaitedCall s = {0};
    start_call(c, port, method, path, key, body, &s);
    while (!s.done) {
        event_base_dispatch(c->base);
    }
    if (status != NULL) {
        *status = s.status;
    }
    return s.body;
}

/* Makes two operators' changes at the same time through entries 1 and 2, and
 * waits for both answers, which the caller owns. Takes the references to the
 * bodies. */
void
Cluster_ChangeConcurrently(Cluster *c, const char *path, json_t *first_body,
                           json_t *second_body, json_t **first,
                           json_t **second)
{
    WaitedCall a = {0};
    WaitedCall b = {0};
    start_call(c, Cluster_CallerPort(c, 1), "POST", path, CLUSTER_OPS_KEY,
               first_body, &a);
    start_call(c, Cluster_CallerPort(c, 2), "POST", path, CLUSTER_OPS_KEY,
               second_body, &b);
    while (!a.done || !b.done) {
        event_base_dispatch(c->base);
    }
    *first = a.body;
    *second = b.body;
}

/* Returns the YAML of a bundle with the API key of desk and the limits of both
 * teams. The caller frees it. */
char *
Cluster_MakeBundle(Cluster *c, int version, const char *desk_key,
                   int desk_cores, int nesting_cores)
{
    char ops[GF_KEY_HASH_HEX + 1];
    char desk[GF_KEY_HASH_HEX + 1];
    char nesting[GF_KEY_HASH_HEX + 1];
    GfKey_Hash(CLUSTER_OPS_KEY, strlen(CLUSTER_OPS_KEY), ops);
    GfKey_Hash(desk_key, strlen(desk_key), desk);
    GfKey_Hash(CLUSTER_NESTING_KEY, strlen(CLUSTER_NESTING_KEY), nesting);
    GfStr text = GfStr_Format(
        "version: %d\nquorum: 1\nmembers:\n  - {name: alice, key: %s}\n"
        "operators:\n  - {name: ops, keys: [%s]}\nteams:\n"
        "  - {name: desk, share: 60, limit_cores: %d, limit_requests: %d, "
        "keys: [%s]}\n"
        "  - {name: nesting, share: 40, limit_cores: %d, limit_requests: 40, "
        "keys: [%s]}\n"
        "services:\n  - {name: quotes, slots: 8, request_limit_ms: 1500}\n",
        version, c->public_hex, ops, desk_cores, c->config.desk_requests, desk,
        nesting_cores, nesting);
    return text.data;
}

/* Returns the body of a request that proposes a bundle, signed by alice. The
 * caller owns it. */
json_t *
Cluster_MakeProposal(Cluster *c, const char *bundle)
{
    char signature[GF_SIGNATURE_HEX + 1];
    GfSign_Sign(bundle, c->secret_hex, signature, NULL);
    return json_pack("{s:s,s:{s:s}}", "bundle", bundle, "signatures", "alice",
                     signature);
}

/* Writes a file in the cluster's directory. */
static void
write_file(const Cluster *c, const char *name, const char *text)
{
    char path[128];
    snprintf(path, sizeof(path), "%s/%s", c->dir, name);
    FILE *file = fopen(path, "w");
    fputs(text, file);
    fclose(file);
}

/* Writes the settings of an entry to a file and starts a process with them.
 * advertised: the peer port that other entries connect to. */
static pid_t
start_entry(Cluster *c, const char *file, int entry, uint16_t caller,
            uint16_t peer, uint16_t advertised)
{
    char name[32];
    char path[128];
    uint16_t platform = c->config.relays
                            ? Cluster_PlatformRelayControl(c, entry) - 10
                            : Cluster_PlatformPort(c);
    GfStr text = GfStr_Format(
        "member: entry%d\nregion: r1\nfailure_domain: fd%d\n"
        "caller: {address: " ADDRESS ", port: %u}\n"
        "peer: {address: " ADDRESS ", port: %u}\n"
        "peer_advertised: {address: " ADDRESS ", port: %u}\n"
        "platform: {address: " ADDRESS ", port: %u}\n"
        "first_bundle: %s/bundle.yaml\n",
        entry, entry % 3, caller, peer, advertised, platform, c->dir);
    snprintf(name, sizeof(name), "%s.yaml", file);
    write_file(c, name, text.data);
    GfStr_Clear(&text);
    snprintf(path, sizeof(path), "%s/%s", c->dir, name);
    char *argv[] = {(char *)GUAVAFLOW_PROGRAM, "entry", "--config", path,
                    NULL};
    return start_process(c, file, argv);
}

/* Starts an entry on its own ports. */
void
Cluster_StartEntry(Cluster *c, int entry)
{
    char file[16];
    snprintf(file, sizeof(file), "entry%d", entry);
    c->entries[entry] = start_entry(
        c, file, entry, Cluster_CallerPort(c, entry),
        Cluster_PeerPort(c, entry),
        c->config.relays ? (uint16_t)(Cluster_PeerRelayControl(c, entry) - 10)
                         : Cluster_PeerPort(c, entry));
}

/* Starts a second process with the name of an entry, on other ports. */
void
Cluster_StartDuplicate(Cluster *c, int entry)
{
    uint16_t caller = (uint16_t)(c->config.base_port + 30 + entry);
    uint16_t peer = (uint16_t)(c->config.base_port + 40 + entry);
    c->others[c->other_count++] =
        start_entry(c, "twin", entry, caller, peer, peer);
}

/* Returns the process id of an entry; 0 if it does not run. */
pid_t
Cluster_EntryPid(const Cluster *c, int entry)
{
    return c->entries[entry];
}

/* Sends a signal to an entry; after SIGKILL waits for its end. */
void
Cluster_SignalEntry(Cluster *c, int entry, int sig)
{
    kill(c->entries[entry], sig);
    if (sig == SIGKILL) {
        waitpid(c->entries[entry], NULL, 0);
        c->entries[entry] = 0;
    }
}

/* Returns whether the process of an entry has ended. */
bool
Cluster_EntryHasExited(Cluster *c, int entry)
{
    int status = 0;
    if (c->entries[entry] == 0) {
        return true;
    }
    if (waitpid(c->entries[entry], &status, WNOHANG) == c->entries[entry]) {
        c->entries[entry] = 0;
        return true;
    }
    return false;
}

/* Adds a worker or target to a list of hosts. */
static void
add_host(json_t *list, const char *kind, int rack, int index, uint16_t port)
{
    char name[32];
    char rack_name[16];
    char domain[16];
    snprintf(name, sizeof(name), "%c%d-%d", kind[0], rack, index);
    snprintf(rack_name, sizeof(rack_name), "rack%d", rack);
    snprintf(domain, sizeof(domain), "fd%d", rack % 3);
    json_array_append_new(
        list, json_pack("{s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:i}", "name", name,
                        "kind", kind, "address", ADDRESS, "port", (int)port,
                        "rack", rack_name, "domain", domain, "state", "live",
                        "service", "quotes", "slots", 8));
}

/* Sends the list of all workers and targets to the platform. */
static void
list_hosts(Cluster *c)
{
    json_t *list = json_array();
    for (int r = 0; r < c->config.racks; r++) {
        for (int i = 0; i < c->config.workers_per_rack; i++) {
            add_host(list, "worker", r, i,
                     (uint16_t)(Cluster_WorkersPort(c, r) + i));
        }
        for (int i = 0; i < c->config.targets_per_rack; i++) {
            add_host(list, "target", r, i,
                     (uint16_t)(Cluster_TargetsPort(c, r) + i));
        }
    }
    json_decref(Cluster_Call(c, Cluster_PlatformPort(c), "POST", "/test/hosts",
                             NULL, json_pack("{s:o}", "hosts", list), NULL));
}

/* Starts two relays for each entry: to the platform, and to its peer port. */
static void
start_relays(Cluster *c)
{
    for (int i = 1; i <= c->config.entries; i++) {
        int platform = Cluster_PlatformRelayControl(c, i);
        int peer = Cluster_PeerRelayControl(c, i);
        char *to_platform[] = {"relay",
                               ADDRESS,
                               format_number(platform - 10),
                               format_number(Cluster_PlatformPort(c)),
                               format_number(platform),
                               NULL};
        char *to_peer[] = {"relay",
                           ADDRESS,
                           format_number(peer - 10),
                           format_number(Cluster_PeerPort(c, i)),
                           format_number(peer),
                           NULL};
        start_standin(c, "relay", to_platform);
        start_standin(c, "relay", to_peer);
        for (int k = 2; k < 5; k++) {
            free(to_platform[k]);
            free(to_peer[k]);
        }
    }
}

/* Starts the stand-ins of the platform, and of each rack's workers and
 * targets. */
static void
start_standins(Cluster *c)
{
    char *platform[] = {"platform", ADDRESS,
                        format_number(Cluster_PlatformPort(c)), NULL};
    start_standin(c, "platform", platform);
    free(platform[2]);
    for (int r = 0; r < c->config.racks; r++) {
        char worker[16];
        char target[16];
        snprintf(worker, sizeof(worker), "w%d-", r);
        snprintf(target, sizeof(target), "t%d-", r);
        char *workers[] = {"workers",
                           ADDRESS,
                           format_number(Cluster_WorkersPort(c, r)),
                           format_number(c->config.workers_per_rack),
                           worker,
                           "8000",
                           "16384",
                           "1",
                           NULL};
        char *targets[] = {"targets",
                           ADDRESS,
                           format_number(Cluster_TargetsPort(c, r)),
                           format_number(c->config.targets_per_rack),
                           target,
                           "8",
                           NULL};
        start_standin(c, worker, workers);
        start_standin(c, target, targets);
        for (int k = 2; k < 4; k++) {
            free(workers[k]);
            free(targets[k]);
        }
    }
}

/* Records the answer to a call of the load. Without a body the kind says how
 * the call failed, and it is unknown whether the request ran. */
static void
on_load_answer(void *arg, const GfHttpResult *result)
{
    PendingCall *open = arg;
    ClusterCall *call = &open->cluster->calls[open->index];
    call->answered_at = Cluster_NowMs();
    snprintf(call->kind, sizeof(call->kind), "%s",
             result->sent ? "connection_lost" : "not_connected");
    snprintf(call->ran, sizeof(call->ran), "unknown");
    if (result->kind == GF_TIMEOUT) {
        snprintf(call->kind, sizeof(call->kind), "no_answer");
    }
    json_t *body = GfHttp_ParseJson(result);
    if (body != NULL) {
        const char *kind = json_string_value(json_object_get(body, "kind"));
        const char *ran = json_string_value(json_object_get(body, "ran"));
        const char *request =
            json_string_value(json_object_get(body, "request"));
        const char *echo = json_string_value(
            json_object_get(json_object_get(body, "answer"), "echo"));
        call->status = result->status;
        snprintf(call->kind, sizeof(call->kind), "%s", kind);
        snprintf(call->ran, sizeof(call->ran), "%s", ran);
        snprintf(call->request, sizeof(call->request), "%s",
                 request == NULL ? "" : request);
        snprintf(call->echo, sizeof(call->echo), "%s",
                 echo == NULL ? "" : echo);
        json_decref(body);
    }
    free(open);
}

/* Returns a random entry that gets load; 0 if none was found in 16 tries. */
static int
pick_entry(Cluster *c)
{
    for (int i = 0; i < 16; i++) {
        c->random = c->random * 1103515245u + 12345u;
        int entry = 1 + (int)((c->random >> 16) % (uint32_t)c->config.entries);
        if (c->in_load[entry]) {
            return entry;
        }
    }
    return 0;
}

/* Sends a request of the load, with an idempotency key if keyed. */
static void
send_request(Cluster *c, bool keyed)
{
    int entry = pick_entry(c);
    if (entry == 0 || c->call_count == MAX_CALLS) {
        return;
    }
    size_t index = c->call_count++;
    ClusterCall *call = &c->calls[index];
    call->entry = entry;
    call->sent_at = Cluster_NowMs();
    snprintf(call->tag, sizeof(call->tag), "work%zu", index);
    GfHttpHeader headers[5] = {{"Content-Type", "application/json"},
                               {"Authorization", "Bearer " CLUSTER_DESK_KEY},
                               {"X-Timeout-Ms", REQUEST_TIME_MS}};
    if (keyed) {
        snprintf(call->key, sizeof(call->key), "key%zu", index);
        headers[3] = (GfHttpHeader){"Idempotency-Key", call->key};
    }
    char body[128];
    snprintf(body, sizeof(body), "{\"work_ms\":%d,\"work\":\"%s\"}",
             c->work_ms, call->tag);
    GfHttpCall http = {.address = ADDRESS,
                       .port = Cluster_CallerPort(c, entry),
                       .method = EVHTTP_REQ_POST,
                       .path = "/v1/services/quotes/requests",
                       .headers = headers,
                       .header_count = keyed ? 4 : 3,
                       .body = body,
                       .body_len = strlen(body),
                       .timeout_ms = CALL_TIMEOUT_MS};
    PendingCall *open = malloc(sizeof(*open));
    *open = (PendingCall){.cluster = c, .index = index};
    GfHttp_Start(c->http, &http, on_load_answer, open);
}

/* Sends the requests that are due since the last tick. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Cluster *c = arg;
    int64_t now = Cluster_NowMs();
    double passed = (double)(now - c->last_tick) / 1000.0;
    c->last_tick = now;
    c->due += passed * c->plain_per_s;
    c->keyed_due += passed * c->keyed_per_s;
    while (c->due >= 1.0) {
        c->due -= 1.0;
        send_request(c, false);
    }
    while (c->keyed_due >= 1.0) {
        c->keyed_due -= 1.0;
        send_request(c, true);
    }
}

/* Starts all processes and waits until the entries reply to health checks.
 * Exits the process if the directory for logs can't be made. Cluster_Stop
 * frees the cluster. */
Cluster *
Cluster_Start(const ClusterConfig *config)
{
    Cluster *c = calloc(1, sizeof(*c));
    c->config = *config;
    snprintf(c->dir, sizeof(c->dir), "/tmp/guavaflow-test-%u-%d",
             config->base_port, (int)getpid());
    if (mkdir(c->dir, 0700) != 0) {
        perror("mkdir");
        exit(1);
    }
    c->base = event_base_new();
    c->http = GfHttp_Create(c->base);
    c->calls = calloc(MAX_CALLS, sizeof(*c->calls));
    c->random = 12345;
    c->last_tick = Cluster_NowMs();
    c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
    struct timeval tv = {.tv_usec = 5000};
    event_add(c->tick, &tv);
    GfSign_GenerateKeys(c->public_hex, c->secret_hex);
    char *bundle = Cluster_MakeBundle(
        c, 1, CLUSTER_DESK_KEY, config->desk_cores, config->nesting_cores);
    write_file(c, "bundle.yaml", bundle);
    free(bundle);
    start_standins(c);
    if (config->relays) {
        start_relays(c);
    }
    wait_port(c, Cluster_PlatformPort(c), "/v1/hosts");
    list_hosts(c);
    for (int i = 1; i <= config->entries; i++) {
        Cluster_StartEntry(c, i);
        c->in_load[i] = true;
    }
    for (int i = 1; i <= config->entries; i++) {
        wait_port(c, Cluster_CallerPort(c, i), "/health");
    }
    return c;
}

/* Kills all processes, removes the directory unless GUAVAFLOW_KEEP_LOGS is
 * set, and frees the cluster. */
void
Cluster_Stop(Cluster *c)
{
    for (int i = 1; i <= c->config.entries; i++) {
        if (c->entries[i] > 0) {
            kill(c->entries[i], SIGKILL);
            waitpid(c->entries[i], NULL, 0);
        }
    }
    for (int i = 0; i < c->other_count; i++) {
        kill(c->others[i], SIGKILL);
        waitpid(c->others[i], NULL, 0);
    }
    event_free(c->tick);
    GfHttp_Destroy(c->http);
    event_base_free(c->base);
    if (getenv("GUAVAFLOW_KEEP_LOGS") == NULL) {
        char command[128];
        snprintf(command, sizeof(command), "rm -rf %s", c->dir);
        if (system(command) != 0) {
            perror("rm");
        }
    }
    free(c->calls);
    free(c);
}

/* Marks a time as over. */
static void
on_time_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    *(bool *)arg = true;
}

/* Runs the load for a time in ms. */
void
Cluster_Run(Cluster *c, int ms)
{
    bool over = false;
    struct event *timer = evtimer_new(c->base, on_time_over, &over);
    struct timeval tv = GfTime_ToTimeval(ms);
    evtimer_add(timer, &tv);
    while (!over) {
        event_base_loop(c->base, EVLOOP_ONCE);
    }
    event_free(timer);
}

/* Runs the load until a condition holds, at most for limit_ms. Returns whether
 * it holds. */
bool
Cluster_RunUntil(Cluster *c, bool (*done)(Cluster *, void *), void *arg,
                 int limit_ms)
{
    int64_t end = Cluster_NowMs() + limit_ms;
    while (Cluster_NowMs() < end) {
        if (done(c, arg)) {
            return true;
        }
        Cluster_Run(c, 100);
    }
    return done(c, arg);
}

/* Returns whether each entry that gets load knows an open holder for each
 * rack. */
static bool
all_racks_held(Cluster *c, void *arg)
{
    (void)arg;
    for (int i = 1; i <= c->config.entries; i++) {
        if (!c->in_load[i]) {
            continue;
        }
        int status = 0;
        json_t *body =
            Cluster_Call(c, Cluster_CallerPort(c, i), "GET",
                         "/v1/admin/members", CLUSTER_OPS_KEY, NULL, &status);
        size_t open = 0;
        size_t k;
        json_t *rack;
        json_array_foreach(json_object_get(body, "racks"), k, rack)
        {
            open += json_is_true(json_object_get(rack, "open"));
        }
        json_decref(body);
        if (open != (size_t)c->config.racks) {
            return false;
        }
    }
    return true;
}

/* Returns whether the entries that get load own all partitions together. */
static bool
all_partitions_owned(Cluster *c, void *arg)
{
    (void)arg;
    json_int_t owned = 0;
    for (int i = 1; i <= c->config.entries; i++) {
        if (c->in_load[i]) {
            json_t *metrics = Cluster_Metrics(c, i);
            owned += json_integer_value(
                json_object_get(metrics, "partitions_owned"));
            json_decref(metrics);
        }
    }
    return owned == PARTITIONS;
}

/* Waits until every rack has a holder and every partition an owner, for each
 * of the two at most limit_ms. Returns whether that is so. */
bool
Cluster_WaitServing(Cluster *c, int limit_ms)
{
    return Cluster_RunUntil(c, all_racks_held, NULL, limit_ms) &&
           Cluster_RunUntil(c, all_partitions_owned, NULL, limit_ms);
}

/* Sets the load: requests per second without and with an idempotency key, and
 * how long a target works on each, in ms. */
void
Cluster_SetLoad(Cluster *c, int requests_per_s, int keyed_per_s, int work_ms)
{
    c->plain_per_s = requests_per_s;
    c->keyed_per_s = keyed_per_s;
    c->work_ms = work_ms;
    c->due = 0;
    c->keyed_due = 0;
}

/* Adds an entry to the load or removes it, as a load balancer does. */
void
Cluster_SetEntryInLoad(Cluster *c, int entry, bool in)
{
    c->in_load[entry] = in;
}

/* Returns the calls of the load so far, which belong to the cluster. */
const ClusterCall *
Cluster_Calls(const Cluster *c, size_t *count)
{
    *count = c->call_count;
    return c->calls;
}

/* Sets how a stand-in's requests with this prefix of their paths fail; see
 * standin.h for the modes. */
void
Cluster_SetFault(Cluster *c, uint16_t port, const char *mode, const char *path,
                 int slow_ms)
{
    json_decref(Cluster_Call(c, port, "POST", "/test/fault", NULL,
                             json_pack("{s:s,s:s,s:i}", "mode", mode, "path",
                                       path, "slow_ms", slow_ms),
                             NULL));
}

/* Sets which directions of a relay are cut; it accepts connections anyway. */
void
Cluster_SetCut(Cluster *c, uint16_t relay_control, bool forward, bool back)
{
    json_decref(Cluster_Call(
        c, relay_control, "POST", "/relay", NULL,
        json_pack("{s:b,s:b}", "cut_forward", forward, "cut_back", back),
        NULL));
}

/* Submits a job and returns its id, which the caller frees; NULL unless it was
 * accepted. Takes the reference to the job. */
char *
Cluster_Submit(Cluster *c, int entry, const char *key, json_t *job)
{
    int status = 0;
    json_t *body = Cluster_Call(c, Cluster_CallerPort(c, entry), "POST",
                                "/v1/jobs", key, job, &status);
    const char *id = json_string_value(
        json_object_get(json_object_get(body, "answer"), "job"));
    char *copy = status == 202 && id != NULL ? strdup(id) : NULL;
    json_decref(body);
    return copy;
}

/* Returns how many tasks of a job are in each state, or NULL. The caller owns
 * the result. */
json_t *
Cluster_JobStates(Cluster *c, int entry, const char *key, const char *job)
{
    char path[128];
    snprintf(path, sizeof(path), "/v1/jobs/%s", job);
    json_t *body = Cluster_Call(c, Cluster_CallerPort(c, entry), "GET", path,
                                key, NULL, NULL);
    json_t *states = json_incref(
        json_object_get(json_object_get(body, "answer"), "states"));
    json_decref(body);
    return states;
}

/* Returns an entry's metrics by name, without their prefix. The caller owns
 * the result. */
json_t *
Cluster_Metrics(Cluster *c, int entry)
{
    json_t *metrics = json_object();
    json_t *text = Cluster_Call(c, Cluster_CallerPort(c, entry), "GET",
                                "/metrics", NULL, NULL, NULL);
    char *copy = strdup(json_is_string(text) ? json_string_value(text) : "");
    char *save = NULL;
    for (char *line = strtok_r(copy, "\n", &save); line != NULL;
         line = strtok_r(NULL, "\n", &save)) {
        char name[64];
        long long value = 0;
        if (sscanf(line, "guavaflow_%63s %lld", name, &value) == 2) {
            json_object_set_new(metrics, name, json_integer(value));
        }
    }
    free(copy);
    json_decref(text);
    return metrics;
}

/* Makes an operator's change and returns the answer, which the caller owns.
 * Takes the reference to the body. */
json_t *
Cluster_Change(Cluster *c, int entry, const char *path, json_t *body)
{
    return Cluster_Call(c, Cluster_CallerPort(c, entry), "POST", path,
                        CLUSTER_OPS_KEY, body, NULL);
}

/* Returns the configuration of a cluster, which belongs to the cluster. */
const ClusterConfig *
Oracle_Config(const Cluster *c)
{
    return &c->config;
}
