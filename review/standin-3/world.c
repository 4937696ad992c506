#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>

#define ADDRESS "127.0.0.1"
#define TICK_MS 5
#define STORE_TX_MS 3 /* platform.txMs of the settings */
#define HOLD_MAX_MS 10000
#define STOP_MS 100 /* a stop takes at most stopMs = 200 */
#define GANG_MS 3000
#define CHECKPOINT_MS 1000 /* checkpointS */
#define RESTORE_MS 100
#define SILENT_ROW_MS 4500 /* three reports of 1,500 ms */
#define LIMIT_MS 115000
#define MINION_CPU 16000
#define MINION_MEM_MB 64000

typedef struct Row {
    char *table;
    char *part;
    char *key;
    char *value; /* base64; NULL: deleted */
    int64_t ver;
    struct Row *next;
} Row;

typedef struct Feed {
    struct evhttp_request *req;
    char table[64];
    int64_t after;
    int64_t until;
    struct Feed *next;
} Feed;

typedef struct Reply {
    struct evhttp_request *req;
    int status;
    json_t *body;
    int64_t at;
    int minion; /* 0: none */
    int64_t born;
    struct Reply *next;
} Reply;

typedef struct Ended {
    int64_t number;
    char task[96];
    int64_t run;
    const char *how;
    char saved[64];
    struct Ended *next;
} Ended;

typedef struct Stopped {
    char task[96];
    int64_t run;
    struct Stopped *next;
} Stopped;

/* An order, or a write of the store, that is carried out late. */
typedef struct Late {
    int minion; /* -1: a write */
    char path[32];
    json_t *body;
    struct evhttp_request *req; /* NULL: its sender gets no answer */
    int64_t born;               /* of the life that has it; 0: any */
    int64_t at;
    struct Late *next;
} Late;

typedef struct Hold {
    struct evhttp_request *req;
    int64_t until;
    struct Hold *next;
} Hold;

typedef struct {
    int index;
    char id[24];
    uint16_t port;
    struct evhttp *http; /* NULL: down */
    int64_t born;        /* Unix ms */
    int64_t clock_base;  /* its clock is World_Now() - clock_base */
    int64_t fence;
    int64_t lease; /* end, on its clock; -1: none */
    int64_t last_end;
    int64_t crashed_at;
    bool listed;
    bool cut;
    bool draining;
    int64_t seq;
    Run *runs;
    Ended *ended;
    Stopped *stopped;
    Hold *holds;
} Minion;

typedef struct {
    pid_t pid; /* 0: not running */
    uint16_t front;
    uint16_t ready;
    uint16_t peer;
    uint16_t metrics;
    char settings[512];
    char log[512];
} Entry;

Start *starts;
int start_count;
End *ends;
int end_count;
bool trouble;

void (*on_started)(int minion, const Run *run, const char *checkpoint);
void (*on_acked)(const char *task, int64_t run, const char *how);
double late_share;
bool late_holds;
double lost_share;
int store_mode;
double store_lost;
bool store_lost_late;
int store_delay_ms;
int jitter_ms;

static struct event_base *base;
static FILE *record;
static char folder[400];
static struct timespec origin;
static Row *rows;
static int64_t version;
static Feed *feeds;
static Reply *replies;
static uint16_t store_port;
static uint16_t advice_port;
static Minion minions[MAX_MINIONS];
static int minion_count;
static Entry entries[MAX_ENTRIES];
static int entry_count;
static struct event *ticker;
static Late *lates;

int64_t
World_Now(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (t.tv_sec - origin.tv_sec) * 1000 +
           (t.tv_nsec - origin.tv_nsec) / 1000000;
}

static int64_t
wall_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
World_Record(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(record, "%8.3f  ", (double)World_Now() / 1000);
    vfprintf(record, format, args);
    fputc('\n', record);
    fflush(record);
    va_end(args);
}

static void
end_processes(void)
{
    for (int i = 0; i < entry_count; i++) {
        if (entries[i].pid > 0) {
            kill(entries[i].pid, SIGCONT);
            kill(entries[i].pid, SIGKILL);
            waitpid(entries[i].pid, NULL, 0);
            entries[i].pid = 0;
        }
    }
}

void
World_End(bool broken)
{
    World_Record("result: %s",
                 broken ? "the rule was broken" : "the rule held");
    end_processes();
    fclose(record);
    exit(broken ? 1 : 0);
}

void
World_Fail(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(record, "could not be played: ");
    vfprintf(record, format, args);
    fputc('\n', record);
    va_end(args);
    end_processes();
    fclose(record);
    exit(2);
}

/* Returns a port that is free now, below those that the system gives to
 * outgoing connections. */
static uint16_t
free_port(void)
{
    for (int tries = 0; tries < 200; tries++) {
        uint16_t port = (uint16_t)(18000 + randombytes_uniform(12000));
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons(port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        bool is_free =
            fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
        close(fd);
        if (is_free) {
            return port;
        }
    }
    World_Fail("no free port");
}

/* Answers a request and takes the reference to body. */
static void
reply_now(struct evhttp_request *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply(req, status, status == 200 ? "OK" : "Error", out);
    evbuffer_free(out);
    free(text);
}

/* Answers a request after ms. */
static void
reply_later(struct evhttp_request *req, int status, json_t *body, int ms)
{
    Reply *r = calloc(1, sizeof(*r));
    *r = (Reply){req, status, body, World_Now() + ms, 0, 0, NULL};
    Reply **at = &replies;
    while (*at != NULL) {
        at = &(*at)->next;
    }
    *at = r;
}

/* Closes the connection of a request without an answer. */
static void
drop(struct evhttp_request *req)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static double
draw(void)
{
    return (double)randombytes_random() / 4294967296.0;
}

static Late *
add_late(int minion, const char *path, json_t *body, int64_t in_ms)
{
    Late *l = calloc(1, sizeof(*l));
    l->minion = minion;
    snprintf(l->path, sizeof(l->path), "%s", path);
    l->body = json_incref(body);
    l->at = World_Now() + in_ms;
    l->next = lates;
    lates = l;
    return l;
}

static json_t *
parse_body(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text == NULL ? "" : text;
}

static int64_t
number_of(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

/* ------------------------------------------------------------ the store */

static Row *
find_row(const char *table, const char *part, const char *key)
{
    for (Row *r = rows; r != NULL; r = r->next) {
        if (strcmp(r->key, key) == 0 && strcmp(r->part, part) == 0 &&
            strcmp(r->table, table) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Writes a row with the current version; value is base64, NULL deletes. */
static void
put_row(const char *table, const char *part, const char *key,
        const char *value)
{
    Row *r = find_row(table, part, key);
    if (r == NULL) {
        if (value == NULL) {
            return;
        }
        r = calloc(1, sizeof(*r));
        r->table = strdup(table);
        r->part = strdup(part);
        r->key = strdup(key);
        r->next = rows;
        rows = r;
    }
    free(r->value);
    r->value = value == NULL ? NULL : strdup(value);
    r->ver = version;
}

static json_t *
row_json(const Row *r)
{
    json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
                          r->part, "key", r->key, "ver", (json_int_t)r->ver);
    if (r->value == NULL) {
        json_object_set_new(j, "deleted", json_true());
    }
    else {
        json_object_set_new(j, "value", json_string(r->value));
    }
    return j;
}

static int
by_version(const void *a, const void *b)
{
    int64_t x = (*(Row *const *)a)->ver;
    int64_t y = (*(Row *const *)b)->ver;
    return x < y ? -1 : x > y;
}

static int
by_key(const void *a, const void *b)
{
    return strcmp((*(Row *const *)a)->key, (*(Row *const *)b)->key);
}

/* Answers the feeds that have news or whose time is over. */
static void
answer_feeds(void)
{
    Feed **at = &feeds;
    while (*at != NULL) {
        Feed *f = *at;
        Row *found[4096];
        size_t n = 0;
        for (Row *r = rows; r != NULL && n < 4096; r = r->next) {
            if (r->ver > f->after && strcmp(r->table, f->table) == 0) {
                found[n++] = r;
            }
        }
        if (n == 0 && World_Now() < f->until) {
            at = &f->next;
            continue;
        }
        qsort(found, n, sizeof(Row *), by_version);
        json_t *list = json_array();
        for (size_t i = 0; i < n; i++) {
            json_array_append_new(list, row_json(found[i]));
        }
        *at = f->next;
        reply_now(f->req, 200,
                  json_pack("{s:o,s:I,s:I}", "rows", list, "ver",
                            (json_int_t)version, "nowMs",
                            (json_int_t)World_Now()));
        free(f);
    }
}

/* Decodes a parameter of the query; returns its length, -1 if it is absent.
 * It may contain NULs. */
static int
query(struct evhttp_request *req, const char *name, char *out, size_t size)
{
    const char *q = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    size_t len = strlen(name);
    out[0] = '\0';
    while (q != NULL && *q != '\0') {
        const char *end = strchr(q, '&');
        size_t part = end == NULL ? strlen(q) : (size_t)(end - q);
        if (part > len && strncmp(q, name, len) == 0 && q[len] == '=') {
            size_t n = 0;
            for (size_t i = len + 1; i < part && n + 1 < size; i++) {
                if (q[i] == '%' && i + 2 < part) {
                    char hex[3] = {q[i + 1], q[i + 2], '\0'};
                    out[n++] = (char)strtol(hex, NULL, 16);
                    i += 2;
                }
                else {
                    out[n++] = q[i];
                }
            }
            out[n] = '\0';
            return (int)n;
        }
        q = end == NULL ? NULL : end + 1;
    }
    return -1;
}

/* Compares a key with a bound that may end with a NUL. */
static int
compare_bound(const char *key, const char *bound, int len)
{
    size_t k = strlen(key);
    size_t n = k < (size_t)len ? k : (size_t)len;
    int c = memcmp(key, bound, n);
    return c != 0 ? c : (int)k - len;
}

static void
read_rows(struct evhttp_request *req)
{
    char table[64];
    char part[256];
    char from[256];
    char to[256];
    char limit_text[16];
    query(req, "table", table, sizeof(table));
    query(req, "part", part, sizeof(part));
    int from_len = query(req, "from", from, sizeof(from));
    int to_len = query(req, "to", to, sizeof(to));
    size_t limit = 500;
    if (query(req, "limit", limit_text, sizeof(limit_text)) > 0 &&
        strtoul(limit_text, NULL, 10) < limit) {
        limit = strtoul(limit_text, NULL, 10);
    }
    Row *found[8192];
    size_t n = 0;
    for (Row *r = rows; r != NULL && n < 8192; r = r->next) {
        if (r->value != NULL && strcmp(r->table, table) == 0 &&
            strcmp(r->part, part) == 0 &&
            (from_len < 0 || compare_bound(r->key, from, from_len) >= 0) &&
            (to_len < 0 || compare_bound(r->key, to, to_len) < 0)) {
            found[n++] = r;
        }
    }
    qsort(found, n, sizeof(Row *), by_key);
    json_t *list = json_array();
    for (size_t i = 0; i < n && i < limit; i++) {
        json_array_append_new(list, row_json(found[i]));
    }
    reply_later(req, 200,
                json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "morePages",
                          (int)(n > limit), "ver", (json_int_t)version,
                          "nowMs", (json_int_t)World_Now()),
                1 + store_delay_ms);
}

/* Carries out a transaction. Returns its status and writes the answer. */
static int
apply_tx(const json_t *body, json_t **answer)
{
    json_t *current = json_array();
    bool matches = true;
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(body, "expect"), i, e)
    {
        const Row *r = find_row(text_of(e, "table"), text_of(e, "part"),
                                text_of(e, "key"));
        bool exists = r != NULL && r->value != NULL;
        matches = matches && (exists ? r->ver : 0) == number_of(e, "ver");
        if (exists) {
            json_array_append_new(current, row_json(r));
        }
    }
    if (!matches) {
        *answer =
            json_pack("{s:o,s:I,s:I}", "rows", current, "ver",
                      (json_int_t)version, "nowMs", (json_int_t)World_Now());
        return 412;
    }
    json_decref(current);
    version++;
    json_array_foreach(json_object_get(body, "upserts"), i, e)
    {
        put_row(text_of(e, "table"), text_of(e, "part"), text_of(e, "key"),
                text_of(e, "value"));
    }
    json_array_foreach(json_object_get(body, "remove"), i, e)
    {
        put_row(text_of(e, "table"), text_of(e, "part"), text_of(e, "key"),
                NULL);
    }
    *answer = json_pack("{s:I,s:I}", "ver", (json_int_t)version, "nowMs",
                        (json_int_t)World_Now());
    return 200;
}

static void
transact(struct evhttp_request *req)
{
    json_t *body = parse_body(req);
    json_t *answer = NULL;
    if (store_lost > 0 && draw() < store_lost) {
        if (store_lost_late) {
            add_late(-1, "", body, 1000 + (int64_t)(draw() * 5000));
        }
        else {
            apply_tx(body, &answer);
            json_decref(answer);
            answer_feeds();
        }
        json_decref(body);
        drop(req);
        return;
    }
    int status = apply_tx(body, &answer);
    json_decref(body);
    reply_later(req, status, answer, STORE_TX_MS + store_delay_ms);
    answer_feeds();
}

static void
on_store(struct evhttp_request *req, void *arg)
{
    (void)arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    if (store_mode == STORE_BUSY) {
        reply_now(req, 503, json_object());
    }
    else if (store_mode == STORE_RESET) {
        drop(req);
    }
    else if (store_mode == STORE_SILENT) {
        /* No answer ever comes on this connection. */
    }
    else if (strcmp(path, "/v1/rows-tx") == 0) {
        transact(req);
    }
    else if (strcmp(path, "/v1/rows-get") == 0) {
        read_rows(req);
    }
    else if (strcmp(path, "/v1/rows-feed") == 0) {
        Feed *f = calloc(1, sizeof(*f));
        char text[32];
        f->req = req;
        query(req, "table", f->table, sizeof(f->table));
        query(req, "after", text, sizeof(text));
        f->after = strtoll(text, NULL, 10);
        query(req, "waitMs", text, sizeof(text));
        f->until = World_Now() + strtoll(text, NULL, 10);
        f->next = feeds;
        feeds = f;
        answer_feeds();
    }
    else {
        reply_now(req, 404, json_object());
    }
}

/* Writes a row of the platform's; takes the reference to value. */
static void
put_platform_row(const char *table, const char *key, json_t *value)
{
    char *encoded = NULL;
    if (value != NULL) {
        char *text = json_dumps(value, JSON_COMPACT);
        size_t size = sodium_base64_encoded_len(
            strlen(text), sodium_base64_VARIANT_ORIGINAL);
        encoded = malloc(size);
        sodium_bin2base64(encoded, size, (unsigned char *)text, strlen(text),
                          sodium_base64_VARIANT_ORIGINAL);
        free(text);
        json_decref(value);
    }
    version++;
    put_row(table, "", key, encoded);
    free(encoded);
    answer_feeds();
}

void
World_PutConfig(const char *json)
{
    json_error_t error;
    json_t *config = json_loads(json, 0, &error);
    if (config == NULL) {
        World_Fail("config: %s", error.text);
    }
    World_Record("operator writes op/config version=%lld",
                 (long long)number_of(config, "version"));
    put_platform_row("op", "config", config);
}

/* ---------------------------------------------------------- the minions */

static int64_t
clock_of(const Minion *m)
{
    return World_Now() - m->clock_base;
}

static void
publish(Minion *m)
{
    char address[32];
    snprintf(address, sizeof(address), ADDRESS ":%u", m->port);
    char rack[16];
    snprintf(rack, sizeof(rack), "r1-%d", m->index / 6);
    const char *kind = m->index % 3 == 0 ? "b" : "a";
    m->listed = true;
    put_platform_row(
        "servers", m->id,
        json_pack(
            "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,"
            "s:I,s:I}",
            "service", "werkplan", "address", address, "zone",
            m->index % 2 == 0 ? "at-ost-a" : "at-ost-b", "version", "v1",
            "slots", 8, "state", m->draining ? "draining" : "ready",
            "coldLeftMs", 0, "remainingMs", m->draining ? 2000 : 0, "capacity",
            "cpu", MINION_CPU, "memMb", MINION_MEM_MB, "gpu", 0, "labels",
            kind, rack, "clockMs", (json_int_t)clock_of(m), "seq",
            (json_int_t)++m->seq, "born", (json_int_t)m->born));
}

int64_t
Run_Progress(const Run *r)
{
    if (r->began < 0) {
        return r->base;
    }
    int64_t p = World_Now() - r->began;
    return r->base + (p > 0 ? p : 0);
}

/* Writes the latest checkpoint of a run: the work at it, and a mark of its
 * step, the same for all tasks of a gang. */
static void
checkpoint_of(const Run *r, bool at_stop, char *out, size_t size)
{
    out[0] = '\0';
    int64_t p = Run_Progress(r);
    int64_t at = at_stop ? p : p - p % CHECKPOINT_MS;
    if (at < r->base) {
        at = r->base;
    }
    if (r->checkpointed && at > 0) {
        snprintf(out, size, "%08llx%.8s", (unsigned long long)at, r->task + 4);
    }
}

static void
add_end(Minion *m, Run *r, const char *how, bool at_stop)
{
    Run **at = &m->runs;
    while (*at != r) {
        at = &(*at)->next;
    }
    *at = r->next;
    Ended *e = calloc(1, sizeof(*e));
    e->number = ++m->last_end;
    snprintf(e->task, sizeof(e->task), "%s", r->task);
    e->run = r->run;
    e->how = how;
    if (strcmp(how, "done") != 0) {
        checkpoint_of(r, at_stop, e->saved, sizeof(e->saved));
    }
    Ended **tail = &m->ended;
    while (*tail != NULL) {
        tail = &(*tail)->next;
    }
    *tail = e;
    ends = realloc(ends, (size_t)(end_count + 1) * sizeof(End));
    End *x = &ends[end_count++];
    memset(x, 0, sizeof(*x));
    x->at = World_Now();
    x->minion = m->index;
    snprintf(x->task, sizeof(x->task), "%s", r->task);
    x->run = r->run;
    snprintf(x->how, sizeof(x->how), "%s", how);
    World_Record("minion %d: end %lld task=%s run=%lld how=%s saved=%s",
                 m->index, (long long)e->number, r->task, (long long)r->run,
                 how, e->saved);
    free(r);
}

/* Returns whether two runs are members of one run of a gang. */
static bool
same_gang(const Run *a, const Run *b)
{
    const char *end = strrchr(a->task, '.');
    size_t len = (size_t)(end - a->task) + 1;
    return a->gang > 0 && b->gang > 0 && a->run == b->run &&
           strncmp(a->task, b->task, len) == 0;
}

/* Returns the number of members of a gang's run that are there. */
static int
count_members(const Run *r)
{
    int n = 0;
    for (int i = 0; i < minion_count; i++) {
        for (const Run *o = minions[i].runs; o != NULL; o = o->next) {
            n += same_gang(r, o);
        }
    }
    return n;
}

/* Ends the other members of a gang after one has ended otherwise than done,
 * or all of them done. */
static void
end_gang(const Run *sample, const char *how)
{
    Run copy = *sample;
    for (int i = 0; i < minion_count; i++) {
        Run *r = minions[i].runs;
        while (r != NULL) {
            Run *next = r->next;
            if (r != sample && same_gang(&copy, r)) {
                add_end(&minions[i], r, how, false);
                next = minions[i].runs;
            }
            r = next;
        }
    }
}

/* Ends a run, and with it the rest of its gang. */
static void
end_run(Minion *m, Run *r, const char *how)
{
    Run copy = *r;
    bool began = r->began >= 0;
    add_end(m, r, how, strcmp(how, "stopped") == 0);
    if (copy.gang > 0 && strcmp(how, "alone") != 0 && began) {
        end_gang(&copy, strcmp(how, "done") == 0 ? "done" : "broken");
    }
}

/* Answers an order, after up to jitter_ms. */
static void
reply_minion(const Minion *m, struct evhttp_request *req, int status,
             json_t *body)
{
    if (m->cut) {
        json_decref(body); /* lost */
    }
    else if (jitter_ms > 0) {
        reply_later(req, status, body, (int)(draw() * jitter_ms));
        Reply *r = replies;
        while (r->next != NULL) {
            r = r->next;
        }
        r->minion = m->index + 1;
        r->born = m->born;
    }
    else {
        reply_now(req, status, body);
    }
}

static void
answer_holds(Minion *m)
{
    Hold **at = &m->holds;
    while (*at != NULL) {
        Hold *h = *at;
        if (m->ended == NULL && World_Now() < h->until) {
            at = &h->next;
            continue;
        }
        json_t *running = json_array();
        for (const Run *r = m->runs; r != NULL; r = r->next) {
            char saved[64];
            checkpoint_of(r, false, saved, sizeof(saved));
            int percent =
                r->ms > 0 ? (int)(Run_Progress(r) * 100 / r->ms) : 100;
            json_array_append_new(
                running,
                json_pack("[s,I,s,i,i]", r->task, (json_int_t)r->run, saved,
                          r->ms > 0 && percent > 99 ? 99 : percent,
                          r->ms > 0 ? 1000 : 20));
        }
        json_t *ended = json_array();
        for (const Ended *e = m->ended; e != NULL; e = e->next) {
            json_array_append_new(
                ended, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                                 (json_int_t)e->run, e->how, e->saved));
        }
        *at = h->next;
        reply_minion(m, h->req, 200,
                     json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                               (json_int_t)clock_of(m), "born",
                               (json_int_t)m->born, "running", running,
                               "ended", ended));
        free(h);
    }
}

static int64_t
parameter(const char *spec, const char *name)
{
    const char *at = strstr(spec, name);
    return at == NULL ? 0 : strtoll(at + strlen(name), NULL, 10);
}

static Stopped *
find_stopped(Minion *m, const char *task)
{
    for (Stopped *s = m->stopped; s != NULL; s = s->next) {
        if (strcmp(s->task, task) == 0) {
            return s;
        }
    }
    return NULL;
}

static void
forbid(Minion *m, const char *task, int64_t run)
{
    Stopped *s = find_stopped(m, task);
    if (s == NULL) {
        s = calloc(1, sizeof(*s));
        snprintf(s->task, sizeof(s->task), "%s", task);
        s->next = m->stopped;
        m->stopped = s;
    }
    s->run = run > s->run ? run : s->run;
}

static const char *
start_run(Minion *m, const json_t *body)
{
    const char *task = text_of(body, "task");
    const char *spec = text_of(body, "spec");
    char mark[16];
    int step = 0;
    sscanf(task + strcspn(task, "."), ".%*d.%d", &step);
    snprintf(mark, sizeof(mark), "%d:", step);
    const char *own = strstr(spec, mark);
    char part[256];
    snprintf(part, sizeof(part), "%.*s",
             own == NULL ? 255 : (int)strcspn(own, ";"),
             own == NULL ? spec : own);
    spec = part;
    int64_t run = number_of(body, "run");
    int64_t until = number_of(body, "untilMs");
    const Stopped *s = find_stopped(m, task);
    bool old = s != NULL && run <= s->run;
    for (const Run *r = m->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0) {
            if (r->run == run) {
                return NULL;
            }
            old = true;
        }
    }
    if (until <= clock_of(m)) {
        return "late";
    }
    if (until > clock_of(m) + HOLD_MAX_MS) {
        until = clock_of(m) + HOLD_MAX_MS;
    }
    m->lease = until > m->lease ? until : m->lease;
    if (old) {
        return "old";
    }
    Run *r = calloc(1, sizeof(*r));
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = run;
    r->ms = parameter(spec, "ms=");
    r->gang = (int)parameter(spec, "gang=");
    r->checkpointed = parameter(spec, "saves=") > 0;
    r->fails = parameter(spec, "fails=") > 0;
    r->came = World_Now();
    r->began = r->gang > 0 ? -1 : World_Now();
    r->stops_at = -1;
    const char *checkpoint = text_of(body, "lastCheckpoint");
    if (checkpoint[0] != '\0') {
        char head[9];
        snprintf(head, sizeof(head), "%.8s", checkpoint);
        r->base = strtoll(head, NULL, 16);
        if (r->began >= 0) {
            r->began += RESTORE_MS;
        }
    }
    r->next = m->runs;
    m->runs = r;
    starts = realloc(starts, (size_t)(start_count + 1) * sizeof(Start));
    Start *x = &starts[start_count++];
    memset(x, 0, sizeof(*x));
    x->at = World_Now();
    x->minion = m->index;
    snprintf(x->task, sizeof(x->task), "%s", task);
    x->run = run;
    snprintf(x->checkpoint, sizeof(x->checkpoint), "%s", checkpoint);
    World_Record("minion %d: start task=%s run=%lld fence=%lld "
                 "lastCheckpoint=%s",
                 m->index, task, (long long)run,
                 (long long)number_of(body, "fence"),
                 checkpoint[0] == '\0' ? "-" : checkpoint);
    if (on_started != NULL) {
        on_started(m->index, r, checkpoint);
    }
    if (r->gang > 0 && count_members(r) == r->gang) {
        World_Record("gang of task=%s run=%lld is complete and works", task,
                     (long long)run);
        for (int i = 0; i < minion_count; i++) {
            for (Run *o = minions[i].runs; o != NULL; o = o->next) {
                if (same_gang(r, o)) {
                    o->began = World_Now() + (o->base > 0 ? RESTORE_MS : 0);
                }
            }
        }
    }
    return NULL;
}

static void
stop_run(Minion *m, const json_t *body)
{
    const char *task = text_of(body, "task");
    int64_t run = number_of(body, "run");
    forbid(m, task, run);
    for (Run *r = m->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0 && r->run <= run && r->stops_at < 0) {
            r->stops_at = World_Now() + STOP_MS;
            World_Record("minion %d: stop ordered task=%s run=%lld", m->index,
                         task, (long long)run);
        }
    }
}

/* Carries out an order. req is NULL if its sender gets no answer. */
static void
carry_out(Minion *m, const char *path, const json_t *body,
          struct evhttp_request *req)
{
    json_int_t clock = clock_of(m);
    int status = 200;
    json_t *answer = json_pack("{s:I}", "clockMs", clock);
    if (number_of(body, "fence") < m->fence) {
        status = 409;
        json_object_set_new(answer, "reason", json_string("fence"));
    }
    else if (strcmp(path, "/v1/hold") == 0) {
        m->fence = number_of(body, "fence");
        int64_t acked = number_of(body, "ackCursor");
        while (m->ended != NULL && m->ended->number <= acked) {
            Ended *e = m->ended;
            m->ended = e->next;
            if (on_acked != NULL) {
                on_acked(e->task, e->run, e->how);
            }
            free(e);
        }
        int64_t until = number_of(body, "untilMs");
        if (until > clock + HOLD_MAX_MS) {
            until = clock + HOLD_MAX_MS;
        }
        m->lease = until > m->lease ? until : m->lease;
        json_decref(answer);
        if (req == NULL) {
            return;
        }
        Hold *h = calloc(1, sizeof(*h));
        h->req = req;
        h->until = World_Now() + number_of(body, "waitMs");
        h->next = m->holds;
        m->holds = h;
        answer_holds(m);
        return;
    }
    else if (strcmp(path, "/v1/run-start") == 0) {
        m->fence = number_of(body, "fence");
        const char *reason = start_run(m, body);
        if (reason != NULL) {
            World_Record("minion %d: start refused task=%s run=%lld "
                         "reason=%s",
                         m->index, text_of(body, "task"),
                         (long long)number_of(body, "run"), reason);
            status = 409;
            json_object_set_new(answer, "reason", json_string(reason));
        }
    }
    else if (strcmp(path, "/v1/run-stop") == 0) {
        m->fence = number_of(body, "fence");
        stop_run(m, body);
    }
    else if (strcmp(path, "/v1/pace") == 0) {
        m->fence = number_of(body, "fence");
    }
    else {
        status = 404;
    }
    if (req == NULL) {
        json_decref(answer);
        return;
    }
    reply_minion(m, req, status, answer);
}

static void
on_minion(struct evhttp_request *req, void *arg)
{
    Minion *m = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    const char *expected =
        evhttp_find_header(evhttp_request_get_input_headers(req),
                           "X-Guavaflow-Expected-Instance");
    json_t *body = parse_body(req);
    if (m->cut) {
        /* No answer ever comes on this connection. */
    }
    else if (expected != NULL && strcmp(expected, m->id) != 0) {
        reply_now(req, 421,
                  json_pack("{s:I}", "clockMs", (json_int_t)clock_of(m)));
    }
    else if (late_share > 0 && draw() < late_share &&
             (late_holds || strcmp(path, "/v1/hold") != 0)) {
        add_late(m->index, path, body, 2000 + (int64_t)(draw() * 10000));
        drop(req);
    }
    else if (lost_share > 0 && draw() < lost_share) {
        carry_out(m, path, body, NULL);
        drop(req);
    }
    else if (jitter_ms > 0) {
        Late *l =
            add_late(m->index, path, body, (int64_t)(draw() * jitter_ms));
        l->req = req;
        l->born = m->born;
    }
    else {
        carry_out(m, path, body, req);
    }
    json_decref(body);
}

const char *
Minion_Id(int index)
{
    return minions[index].id;
}

/* Carries out the orders and writes that are late. */
static void
advance_lates(void)
{
    Late **at = &lates;
    while (*at != NULL) {
        Late *l = *at;
        if (l->at > World_Now()) {
            at = &l->next;
            continue;
        }
        *at = l->next;
        if (l->minion < 0) {
            json_t *answer = NULL;
            int status = apply_tx(l->body, &answer);
            World_Record("store: a late write is done status=%d", status);
            json_decref(answer);
            answer_feeds();
        }
        else if (minions[l->minion].http != NULL) {
            if (l->req == NULL) {
                World_Record("minion %d: late order %s", l->minion, l->path);
            }
            if (l->born == 0 || l->born == minions[l->minion].born) {
                carry_out(&minions[l->minion], l->path, l->body, l->req);
            }
        }
        json_decref(l->body);
        free(l);
        at = &lates;
    }
}

static void
open_minion(Minion *m)
{
    m->http = evhttp_new(base);
    evhttp_set_allowed_methods(m->http, EVHTTP_REQ_POST | EVHTTP_REQ_GET);
    if (evhttp_bind_socket(m->http, ADDRESS, m->port) != 0) {
        World_Fail("minion %d cannot listen", m->index);
    }
    evhttp_set_gencb(m->http, on_minion, m);
    m->born = wall_ms();
    m->clock_base = World_Now() - 1000;
    m->fence = 0;
    m->lease = -1;
    m->last_end = 0;
    m->seq = 0;
    publish(m);
}

void
Minion_Crash(int index)
{
    Minion *m = &minions[index];
    World_Record("minion %d crashes", index);
    while (m->holds != NULL) {
        Hold *h = m->holds;
        m->holds = h->next;
        free(h);
    }
    evhttp_free(m->http);
    m->http = NULL;
    m->crashed_at = World_Now();
    while (m->runs != NULL) {
        Run *r = m->runs;
        World_Record("minion %d: run is gone task=%s run=%lld", index, r->task,
                     (long long)r->run);
        m->runs = r->next;
        if (r->gang > 0 && r->began >= 0) {
            end_gang(r, "broken");
        }
        free(r);
    }
    while (m->ended != NULL) {
        Ended *e = m->ended;
        m->ended = e->next;
        free(e);
    }
    while (m->stopped != NULL) {
        Stopped *s = m->stopped;
        m->stopped = s->next;
        free(s);
    }
}

void
Minion_Restart(int index)
{
    World_Record("minion %d is back", index);
    open_minion(&minions[index]);
}

void
Minion_Cut(int index, bool cut)
{
    World_Record("minion %d is %s", index, cut ? "cut off" : "in touch again");
    minions[index].cut = cut;
}

void
Minion_Drain(int index)
{
    World_Record("minion %d drains", index);
    minions[index].draining = true;
    publish(&minions[index]);
}

void
Minion_Leave(int index)
{
    Minion *m = &minions[index];
    World_Record("minion %d leaves", index);
    put_platform_row("servers", m->id, NULL);
    m->listed = false;
    Minion_Crash(index);
}

void
Minion_Replace(int index)
{
    Minion *m = &minions[index];
    World_Record("another minion comes for %d", index);
    Minion_Leave(index);
    m->draining = false;
    m->cut = false;
    snprintf(m->id, sizeof(m->id), "i-%08x", randombytes_random());
    m->port = free_port();
    open_minion(m);
}

Run *
Minion_FindRun(int index, const char *task)
{
    for (Run *r = minions[index].runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0) {
            return r;
        }
    }
    return NULL;
}

int
Minion_OfTask(const char *task)
{
    for (int i = 0; i < minion_count; i++) {
        if (Minion_FindRun(i, task) != NULL) {
            return i;
        }
    }
    return -1;
}

int
Minion_Running(void)
{
    int n = 0;
    for (int i = 0; i < minion_count; i++) {
        for (const Run *r = minions[i].runs; r != NULL; r = r->next) {
            n++;
        }
    }
    return n;
}

/* Moves a minion on: leases, stops, ends of work, gangs that wait. */
static void
advance(Minion *m)
{
    int64_t now = World_Now();
    if (m->http == NULL) {
        if (m->listed && now - m->crashed_at > SILENT_ROW_MS) {
            m->listed = false;
            put_platform_row("servers", m->id, NULL);
        }
        return;
    }
    bool again = true;
    while (again) {
        again = false;
        for (Run *r = m->runs; r != NULL; r = r->next) {
            const char *how = NULL;
            if (m->lease <= clock_of(m)) {
                how = "lapsed";
            }
            else if (r->stops_at >= 0 && r->stops_at <= now) {
                how = "stopped";
            }
            else if (r->began >= 0 && r->ms > 0 && Run_Progress(r) >= r->ms) {
                how = r->fails ? "failed" : "done";
            }
            else if (r->gang > 0 && r->began < 0 && now - r->came > GANG_MS) {
                how = "alone";
            }
            if (how != NULL) {
                end_run(m, r, how);
                again = true;
                break;
            }
        }
    }
    answer_holds(m);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    advance_lates();
    for (int i = 0; i < minion_count; i++) {
        advance(&minions[i]);
    }
    int64_t now = World_Now();
    Reply **at = &replies;
    while (*at != NULL) {
        Reply *r = *at;
        if (r->at > now) {
            at = &r->next;
            continue;
        }
        *at = r->next;
        const Minion *m = r->minion > 0 ? &minions[r->minion - 1] : NULL;
        if (m != NULL && (m->http == NULL || m->born != r->born || m->cut)) {
            json_decref(r->body); /* its connection is gone */
        }
        else {
            reply_now(r->req, r->status, r->body);
        }
        free(r);
    }
    answer_feeds();
    for (int i = 0; i < entry_count; i++) {
        int status;
        if (entries[i].pid > 0 &&
            waitpid(entries[i].pid, &status, WNOHANG) == entries[i].pid) {
            World_Record("entry %d ended by itself status=%d", i, status);
            entries[i].pid = 0;
        }
    }
    if (now > LIMIT_MS) {
        World_Fail("it takes too long");
    }
}

void
World_Wait(int ms)
{
    int64_t end = World_Now() + ms;
    while (World_Now() < end) {
        event_base_loop(base, EVLOOP_ONCE);
    }
}

/* ------------------------------------------------- advice, one for all */

static void
on_advice(struct evhttp_request *req, void *arg)
{
    (void)arg;
    json_t *body = parse_body(req);
    json_t *good = json_array();
    size_t i;
    json_t *id;
    json_array_foreach(json_object_get(body, "workers"), i, id)
    {
        json_array_append_new(good,
                              json_pack("[s,s]", json_string_value(id), "t"));
    }
    json_decref(body);
    reply_now(req, 200, json_pack("{s:o,s:i}", "good", good, "validMs", 2500));
}

/* ---------------------------------------------------------- the entries */

void
Entry_Start(int index)
{
    Entry *e = &entries[index];
    World_Record("entry %d starts", index);
    fflush(NULL);
    e->pid = fork();
    if (e->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* it ends with the scenario */
        int log = open(e->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        for (int fd = 3; fd < 1024; fd++) {
            close(fd);
        }
        setenv("GUAVAFLOW_CONFIG", e->settings, 1);
        execl("target/guavaflow", "target/guavaflow", "entry", (char *)NULL);
        _exit(127);
    }
}

void
Entry_Signal(int index, int signal)
{
    World_Record("entry %d gets signal %d", index, signal);
    if (entries[index].pid > 0) {
        kill(entries[index].pid, signal);
    }
    if (signal == SIGKILL && entries[index].pid > 0) {
        waitpid(entries[index].pid, NULL, 0);
        entries[index].pid = 0;
    }
}

bool
Entry_IsUp(int index)
{
    return entries[index].pid > 0;
}

static void
write_settings(int index)
{
    Entry *e = &entries[index];
    FILE *f = fopen(e->settings, "w");
    if (f == NULL) {
        World_Fail("settings cannot be written");
    }
    fprintf(f,
            "ownership: token\nmember: \"edge-at-ost-%c-%d\"\n"
            "failure_domain: \"at-ost-%c\"\nfront: \"" ADDRESS ":%u\"\n"
            "ready: \"" ADDRESS ":%u\"\npeer: \"" ADDRESS ":%u\"\n"
            "store: \"" ADDRESS ":%u\"\nadvice: \"" ADDRESS ":%u\"\n",
            'a' + index % 4, index / 4 + 1, 'a' + index % 4, e->front,
            e->ready, e->peer, store_port, advice_port);
    fprintf(f, "seeds: \"");
    for (int i = 0; i < entry_count && i < 3; i++) {
        fprintf(f, "%s" ADDRESS ":%u", i > 0 ? "," : "", entries[i].peer);
    }
    fprintf(f,
            "\"\nmetrics_port: %u\nprocessor_share: 0.25\n"
            "link_mbps: 1000.0\nstop_grace_s: 6\nlongest_lease_ms: 10000\n"
            "keep_finished_s: 120\noverload_order: true\n"
            "overload_refusal: true\nworker_speeds: true\n",
            e->metrics);
    fclose(f);
}

/* ---------------------------------------------------------- the callers */

typedef struct {
    struct evhttp_connection *connection;
    struct event *timer;
    int64_t begin;
    Answer answer;
    AnswerDone done;
    void *arg;
    bool got;
} ClientCall;

/* Ends a call, from the event loop. */
static void
on_call_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    ClientCall *call = arg;
    evhttp_connection_free(call->connection);
    event_free(call->timer);
    call->answer.after_ms = World_Now() - call->begin;
    call->done(call->arg, &call->answer);
    free(call);
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
    ClientCall *call = arg;
    if (req != NULL && evhttp_request_get_response_code(req) != 0) {
        struct evbuffer *in = evhttp_request_get_input_buffer(req);
        call->answer.status = evhttp_request_get_response_code(req);
        size_t len = evbuffer_get_length(in);
        if (len > sizeof(call->answer.body) - 1) {
            len = sizeof(call->answer.body) - 1;
        }
        evbuffer_copyout(in, call->answer.body, len);
        call->answer.body[len] = '\0';
    }
    call->got = true;
    event_active(call->timer, EV_TIMEOUT, 0);
}

static void
start_call(uint16_t port, const char *method, const char *path,
           const char *key, const char *body, int deadline_ms, AnswerDone done,
           void *arg)
{
    ClientCall *call = calloc(1, sizeof(*call));
    call->done = done;
    call->arg = arg;
    call->begin = World_Now();
    call->timer = evtimer_new(base, on_call_over, call);
    struct timeval tv = {deadline_ms / 1000, deadline_ms % 1000 * 1000};
    evtimer_add(call->timer, &tv);
    call->connection = evhttp_connection_base_new(base, NULL, ADDRESS, port);
    struct evhttp_request *req = evhttp_request_new(on_answer, call);
    struct evkeyvalq *out = evhttp_request_get_output_headers(req);
    char text[24];
    evhttp_add_header(out, "Host", "kellner.example");
    evhttp_add_header(out, "Connection", "close");
    snprintf(text, sizeof(text), "%d", deadline_ms);
    evhttp_add_header(out, "X-Guavaflow-Deadline", text);
    if (key != NULL) {
        evhttp_add_header(out, "X-Api-Key", key);
    }
    if (body != NULL) {
        evhttp_add_header(out, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(req), body,
                     strlen(body));
    }
    enum evhttp_cmd_type type = strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST
                                : strcmp(method, "DELETE") == 0
                                    ? EVHTTP_REQ_DELETE
                                    : EVHTTP_REQ_GET;
    if (evhttp_make_request(call->connection, req, type, path) != 0) {
        event_active(call->timer, EV_TIMEOUT, 0);
    }
}

void
Client_Start(int entry, const char *method, const char *path, const char *key,
             const char *body, int deadline_ms, AnswerDone done, void *arg)
{
    start_call(entries[entry].front, method, path, key, body, deadline_ms,
               done, arg);
}

typedef struct {
    Answer answer;
    bool over;
} Waited;

static void
on_waited(void *arg, const Answer *answer)
{
    Waited *w = arg;
    w->answer = *answer;
    w->over = true;
}

static Answer
http_call(uint16_t port, const char *method, const char *path, const char *key,
          const char *body, int deadline_ms)
{
    Waited w = {.over = false};
    start_call(port, method, path, key, body, deadline_ms, on_waited, &w);
    while (!w.over) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    return w.answer;
}

Answer
Client_Call(int entry, const char *method, const char *path, const char *key,
            const char *body, int deadline_ms)
{
    Answer a =
        http_call(entries[entry].front, method, path, key, body, deadline_ms);
    World_Record("client: %s %s at entry %d -> %d %s after %lld ms", method,
                 path, entry, a.status, a.body, (long long)a.after_ms);
    return a;
}

void
Client_Submit(const char *path, const char *key, const char *body)
{
    int64_t end = World_Now() + 10000;
    World_Record("client hands in %s", body);
    for (int i = 0; World_Now() < end; i++) {
        if (Entry_IsUp(i % entry_count) &&
            Client_Call(i % entry_count, "POST", path, key, body, 3000)
                    .status == 200) {
            return;
        }
        World_Wait(100);
    }
    World_Fail("the job was not accepted");
}

const char *
Client_State(const char *path, const char *key)
{
    static char state[64];
    int64_t end = World_Now() + 6000;
    for (int i = 0; World_Now() < end; i++) {
        Answer a = Client_Call(i % entry_count, "GET", path, key, NULL, 3000);
        json_t *json = a.status == 200 ? json_loads(a.body, 0, NULL) : NULL;
        snprintf(state, sizeof(state), "%s%d", "status ", a.status);
        if (json != NULL) {
            snprintf(state, sizeof(state), "%s", text_of(json, "state"));
            json_decref(json);
            return state;
        }
        if (a.status == 404 || a.status == 410) {
            return state;
        }
        World_Wait(100);
    }
    return state;
}

void
World_Begin(int argc, char **argv, int minion_n, int entry_n,
            const char *config)
{
    if (argc < 3 || sodium_init() < 0 ||
        (record = fopen(argv[2], "w")) == NULL) {
        fprintf(stderr, "usage: scenario FOLDER RECORD\n");
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    clock_gettime(CLOCK_MONOTONIC, &origin);
    snprintf(folder, sizeof(folder), "%s", argv[1]);
    const char *text = getenv("TROUBLE");
    trouble = text == NULL || strcmp(text, "0") != 0;
    base = event_base_new();
    store_port = free_port();
    struct evhttp *store = evhttp_new(base);
    advice_port = free_port();
    struct evhttp *advice = evhttp_new(base);
    if (evhttp_bind_socket(store, ADDRESS, store_port) != 0 ||
        evhttp_bind_socket(advice, ADDRESS, advice_port) != 0) {
        World_Fail("the store cannot listen");
    }
    evhttp_set_gencb(store, on_store, NULL);
    evhttp_set_gencb(advice, on_advice, NULL);
    World_Record("played %s its disruption", trouble ? "with" : "without");
    World_PutConfig(config);
    minion_count = minion_n;
    for (int i = 0; i < minion_n; i++) {
        Minion *m = &minions[i];
        m->index = i;
        snprintf(m->id, sizeof(m->id), "i-%08x", randombytes_random());
        m->port = free_port();
        open_minion(m);
    }
    entry_count = entry_n;
    for (int i = 0; i < entry_n; i++) {
        Entry *e = &entries[i];
        e->front = free_port();
        e->ready = free_port();
        e->peer = free_port();
        e->metrics = free_port();
        snprintf(e->settings, sizeof(e->settings), "%s/entry-%d.yaml", folder,
                 i);
        snprintf(e->log, sizeof(e->log), "%s/entry-%d.log", folder, i);
    }
    struct timeval tv = {.tv_usec = TICK_MS * 1000};
    ticker = event_new(base, -1, EV_PERSIST, on_tick, NULL);
    event_add(ticker, &tv);
    for (int i = 0; i < entry_n; i++) {
        write_settings(i);
        Entry_Start(i);
    }
    for (int i = 0; i < entry_n; i++) {
        int64_t end = World_Now() + 10000;
        int status = 0;
        while (status != 200 && World_Now() < end) {
            status = http_call(entries[i].ready, "GET", "/v1/ready", NULL,
                               NULL, 500)
                         .status;
            if (status != 200) {
                World_Wait(100);
            }
        }
        if (status != 200) {
            World_Fail("entry %d is not ready", i);
        }
    }
    World_Record("all entries are ready");
    World_Wait(3500); /* the entries are in touch */
}
