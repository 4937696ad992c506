#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <sodium.h>

#include "cli.h"
#include "guavaflow/clock.h"
#include "guavaflow/http.h"
#include "guavaflow/yaml.h"

#define TICK_MS 2 /* period at which due calls are sent */
#define CALL_TIMEOUT_MS 15000
#define MAX_STREAMS 32
#define MAX_ENTRIES 64
/* Further latencies of a stream are not recorded. */
#define MAX_SAMPLES 2000000
#define ADDRESS_BYTES 64
#define MS_PER_S 1000
#define US_PER_MS 1000.0

/* One series of equal calls. service is NULL for a stream that submits jobs.
 * keyed: each call has an idempotency key of its own. */
typedef struct {
    char *name;
    char *key;
    char *service;
    double per_s;
    bool keyed;
    char *body;
} Stream;

/* The load that a file describes. Calls go to the entries in turn. */
typedef struct {
    char **entries;
    unsigned entries_count;
    uint32_t duration_ms;
    Stream *streams;
    unsigned streams_count;
} LoadPlan;

static const cyaml_schema_value_t ENTRY_SCHEMA = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 1, 64)};
static const cyaml_schema_field_t STREAM_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, Stream, name, 1, 63),
    CYAML_FIELD_STRING_PTR("key", CYAML_FLAG_POINTER, Stream, key, 1, 256),
    CYAML_FIELD_STRING_PTR("service", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           Stream, service, 1, 63),
    CYAML_FIELD_FLOAT("per_s", CYAML_FLAG_DEFAULT, Stream, per_s),
    CYAML_FIELD_BOOL("keyed", CYAML_FLAG_OPTIONAL, Stream, keyed),
    CYAML_FIELD_STRING_PTR("body", CYAML_FLAG_POINTER, Stream, body, 1, 65536),
    CYAML_FIELD_END};
static const cyaml_schema_value_t STREAM_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, Stream, STREAM_FIELDS)};
static const cyaml_schema_field_t FIELDS[] = {
    CYAML_FIELD_SEQUENCE("entries", CYAML_FLAG_POINTER, LoadPlan, entries,
                         &ENTRY_SCHEMA, 1, MAX_ENTRIES),
    CYAML_FIELD_UINT("duration_ms", CYAML_FLAG_DEFAULT, LoadPlan, duration_ms),
    CYAML_FIELD_SEQUENCE("streams", CYAML_FLAG_POINTER, LoadPlan, streams,
                         &STREAM_SCHEMA, 1, MAX_STREAMS),
    CYAML_FIELD_END};
static const cyaml_schema_value_t SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, LoadPlan, FIELDS)};

/* Results of one stream. open counts calls without an answer yet, due_calls
 * those due but not sent, with a fraction. latencies_ms holds the latencies of
 * the calls that succeeded. */
typedef struct {
    uint64_t sent;
    uint64_t open;
    uint64_t ran[GF_RANS];
    uint64_t kinds[GF_ERROR_KINDS];
    double *latencies_ms;
    size_t latency_count;
    double due_calls;
} StreamResults;

/* A load in progress. next_key starts at random, so that idempotency keys do
 * not repeat those of an earlier load. */
typedef struct {
    struct event_base *base;
    GfHttp *http;
    const LoadPlan *load;
    StreamResults results[MAX_STREAMS];
    struct timespec started_at;
    struct timespec last_tick_at;
    struct event *tick;
    uint64_t next_key;
    uint32_t next_entry;
} LoadRun;

/* A call that has no answer yet. */
typedef struct {
    LoadRun *run;
    unsigned stream;
    struct timespec sent_at;
} OpenCall;

/* Returns later - earlier in milliseconds with a fraction. */
static double
diff_ms(struct timespec later, struct timespec earlier)
{
    return (double)(later.tv_sec - earlier.tv_sec) * MS_PER_S +
           (double)(later.tv_nsec - earlier.tv_nsec) / (US_PER_MS * 1000);
}

/* Adds the result of one call to the results of its stream and frees the call.
 * latencies_ms doubles whenever latency_count reaches a power of two. */
static void
on_answer(void *arg, const GfHttpResult *result)
{
    OpenCall *open = arg;
    StreamResults *t = &open->run->results[open->stream];
    GfErrorKind kind = result->kind;
    GfRan ran = result->sent ? GF_RAN_UNKNOWN : GF_RAN_NO;
    json_t *body = GfHttp_ParseJson(result);
    if (body != NULL) {
        kind =
            GfError_FromName(json_string_value(json_object_get(body, "kind")));
        ran = GfRan_FromName(json_string_value(json_object_get(body, "ran")));
        json_decref(body);
    }
    t->open--;
    t->kinds[kind]++;
    t->ran[ran]++;
    if (kind == GF_OK && t->latency_count < MAX_SAMPLES) {
        if ((t->latency_count & (t->latency_count - 1)) == 0) {
            size_t new_capacity =
                t->latency_count == 0 ? 2 : t->latency_count * 2;
            double *new_latencies = realloc(
                t->latencies_ms, new_capacity * sizeof(*new_latencies));
            if (new_latencies == NULL) {
                abort();
            }
            t->latencies_ms = new_latencies;
        }
        t->latencies_ms[t->latency_count++] =
            diff_ms(GfClock_Now(GfClock_System()), open->sent_at);
    }
    free(open);
}

/* Sends one call of the stream at this index to the next entry. */
static void
send_one(LoadRun *run, unsigned index)
{
    const Stream *s = &run->load->streams[index];
    const char *entry =
        run->load->entries[run->next_entry++ % run->load->entries_count];
    const char *colon = strrchr(entry, ':');
    char address[ADDRESS_BYTES];
    snprintf(address, sizeof(address), "%.*s", (int)(colon - entry), entry);
    GfStr bearer = GfStr_Format("Bearer %s", s->key);
    GfStr key = GfStr_Format("load-%" PRIu64, run->next_key++);
    GfStr path = s->service == NULL
                     ? GfStr_Format("/v1/jobs")
                     : GfStr_Format("/v1/services/%s/requests", s->service);
    GfHttpHeader headers[] = {{"Authorization", bearer.data},
                              {"Content-Type", "application/json"},
                              {"Idempotency-Key", key.data}};
    GfHttpCall call = {.address = address,
                       .port = (uint16_t)strtoul(colon + 1, NULL, 10),
                       .method = EVHTTP_REQ_POST,
                       .path = path.data,
                       .headers = headers,
                       .header_count = s->keyed ? 3 : 2,
                       .body = s->body,
                       .body_len = strlen(s->body),
                       .timeout_ms = CALL_TIMEOUT_MS};
    OpenCall *open = calloc(1, sizeof(*open));
    if (open == NULL) {
        abort();
    }
    *open = (OpenCall){.run = run, .stream = index};
    open->sent_at = GfClock_Now(GfClock_System());
    run->results[index].sent++;
    run->results[index].open++;
    GfHttp_Start(run->http, &call, on_answer, open);
    GfStr_Clear(&bearer);
    GfStr_Clear(&key);
    GfStr_Clear(&path);
}

/* Timer: sends the calls of each stream that became due since the last tick.
 * Ends the event loop once the duration is over and all calls are answered. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    LoadRun *run = arg;
    struct timespec now = GfClock_Now(GfClock_System());
    double since_last_ms = diff_ms(now, run->last_tick_at);
    double elapsed_ms = diff_ms(now, run->started_at);
    uint64_t open = 0;
    run->last_tick_at = now;
    for (unsigned i = 0; i < run->load->streams_count; i++) {
        StreamResults *t = &run->results[i];
        if (elapsed_ms < run->load->duration_ms) {
            t->due_calls +=
                since_last_ms * run->load->streams[i].per_s / MS_PER_S;
        }
        else {
            t->due_calls = 0;
        }
        while (t->due_calls >= 1.0) {
            t->due_calls -= 1.0;
            send_one(run, i);
        }
        open += t->open;
    }
    if (elapsed_ms >= run->load->duration_ms && open == 0) {
        event_base_loopexit(run->base, NULL);
    }
}

/* Compares two doubles for qsort, ascending. */
static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Returns the percentile of the sorted latencies in milliseconds; part is from
 * 0 to 1. Returns 0 if there are none. */
static double
percentile(const StreamResults *t, double part)
{
    if (t->latency_count == 0) {
        return 0;
    }
    return t->latencies_ms[(size_t)(part * (double)(t->latency_count - 1))];
}

/* Sorts the latencies of a stream and returns its results as JSON; the caller
 * owns the reference. */
static json_t *
report_stream(const Stream *s, StreamResults *t)
{
    qsort(t->latencies_ms, t->latency_count, sizeof(double), compare_doubles);
    json_t *kinds = json_object();
    for (int i = 0; i < GF_ERROR_KINDS; i++) {
        if (t->kinds[i] > 0) {
            json_object_set_new(kinds, GfError_Name((GfErrorKind)i),
                                json_integer((json_int_t)t->kinds[i]));
        }
    }
    return json_pack(
        "{s:s,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:o}", "stream", s->name, "sent",
        (json_int_t)t->sent, "ran_yes", (json_int_t)t->ran[GF_RAN_YES],
        "ran_no", (json_int_t)t->ran[GF_RAN_NO], "ran_unknown",
        (json_int_t)t->ran[GF_RAN_UNKNOWN], "p50_ms", percentile(t, 0.5),
        "p90_ms", percentile(t, 0.9), "p99_ms", percentile(t, 0.99), "max_ms",
        percentile(t, 1.0), "kinds", kinds);
}

/* Prints the results of all streams as a table or as JSON. */
static void
report(LoadRun *run)
{
    json_t *list = json_array();
    for (unsigned i = 0; i < run->load->streams_count; i++) {
        json_array_append_new(
            list, report_stream(&run->load->streams[i], &run->results[i]));
    }
    if (Cli_WantsJson()) {
        char *text = json_dumps(list, JSON_INDENT(2));
        printf("%s\n", text);
        free(text);
    }
    else {
        size_t i;
        json_t *s;
        printf("%-16s %8s %8s %8s %8s %9s %9s %9s\n", "stream", "sent", "yes",
               "no", "unknown", "p50 ms", "p99 ms", "max ms");
        json_array_foreach(list, i, s)
        {
            printf(
                "%-16s %8lld %8lld %8lld %8lld %9.2f %9.2f %9.2f\n",
                json_string_value(json_object_get(s, "stream")),
                (long long)json_integer_value(json_object_get(s, "sent")),
                (long long)json_integer_value(json_object_get(s, "ran_yes")),
                (long long)json_integer_value(json_object_get(s, "ran_no")),
                (long long)json_integer_value(
                    json_object_get(s, "ran_unknown")),
                json_real_value(json_object_get(s, "p50_ms")),
                json_real_value(json_object_get(s, "p99_ms")),
                json_real_value(json_object_get(s, "max_ms")));
        }
    }
    json_decref(list);
}

/* Checks the addresses of the entries and the rates, which the schema cannot
 * express. */
static bool
check_plan(const LoadPlan *load, const char *path, GfError *error)
{
    for (unsigned i = 0; i < load->entries_count; i++) {
        const char *colon = strrchr(load->entries[i], ':');
        if (colon == NULL || strtoul(colon + 1, NULL, 10) == 0 ||
            strtoul(colon + 1, NULL, 10) > UINT16_MAX) {
            return GfError_Set(error, GF_BAD_CONFIG,
                               "%s: entries[%u] is \"%s\"; allowed is "
                               "ADDRESS:PORT",
                               path, i, load->entries[i]);
        }
    }
    for (unsigned i = 0; i < load->streams_count; i++) {
        if (!(load->streams[i].per_s > 0) || load->streams[i].per_s > 100000) {
            return GfError_Set(error, GF_BAD_CONFIG,
                               "%s: streams[%u].per_s must be greater than 0 "
                               "and at most 100000",
                               path, i);
        }
    }
    return true;
}

/* Runs a load to its end and prints the results. */
static void
run_load(const LoadPlan *load)
{
    LoadRun run = {.base = event_base_new(), .load = load};
    run.http = GfHttp_Create(run.base);
    randombytes_buf(&run.next_key, sizeof(run.next_key));
    run.started_at = GfClock_Now(GfClock_System());
    run.last_tick_at = run.started_at;
    run.tick = event_new(run.base, -1, EV_PERSIST, on_tick, &run);
    struct timeval tv = GfTime_ToTimeval(TICK_MS);
    event_add(run.tick, &tv);
    event_base_dispatch(run.base);
    report(&run);
    event_free(run.tick);
    GfHttp_Destroy(run.http);
    event_base_free(run.base);
    for (unsigned i = 0; i < load->streams_count; i++) {
        free(run.results[i].latencies_ms);
    }
}

/* Generates load and measures it: guavaflow load FILE. */
int
CmdLoad_Run(int argc, const char **argv)
{
    static struct poptOption options[] = {
        {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0,
         "Call (only --output is used):", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    int code = 0;
    poptContext popt =
        Cli_ParseOptions("load", argc, argv, options, "FILE", &code);
    if (popt == NULL) {
        return code;
    }
    const char *path = poptGetArg(popt);
    if (path == NULL || poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt, "one FILE is required");
    }
    GfStr text;
    GfError error;
    LoadPlan *load = NULL;
    if (GfYaml_ReadFile(path, &text, &error)) {
        load = GfYaml_Load(text.data, text.len, path, &SCHEMA, &error);
        GfStr_Clear(&text);
    }
    if (load == NULL || !check_plan(load, path, &error)) {
        code = Cli_PrintError(&error);
    }
    else {
        run_load(load);
    }
    if (load != NULL) {
        GfYaml_Free(&SCHEMA, load);
    }
    poptFreeContext(popt);
    return code;
}
