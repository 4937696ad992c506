/* The platform's store: rows with one counter of versions, transactions with
 * conditions, reads and a feed of changes. "standin store PORT".
 *
 * Beside the platform's calls it takes POST /test/row {table, key, value or
 * null}, by which the operator and the workers write, and POST /test/mode
 * {mode}: "ok", or "busy", in which all calls of the system get 503. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define MAX_ROWS 20000
#define MAX_PAGE_ROWS 500
#define MAX_PAGE_BYTES 1000000
#define MAX_ENTRIES 100
#define MAX_CALL_BYTES 1000000
#define ROW_BYTES 65536
#define TICK_US 2000

typedef struct {
    char *table;
    char *part;
    char *key;
    char *value; /* base64; NULL once removed */
    int64_t ver;
} Row;

typedef struct Feed {
    struct evhttp_request *req;
    char table[256];
    int64_t after;
    int64_t until;
    struct Feed *next;
} Feed;

static Row rows[MAX_ROWS];
static size_t row_count;
static int64_t version = 100;
static Feed *feeds;
static bool busy;

static Row *
find_row(const char *table, const char *part, const char *key)
{
    for (size_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].key, key) == 0 && strcmp(rows[i].part, part) == 0 &&
            strcmp(rows[i].table, table) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void
put_row(const char *table, const char *part, const char *key,
        const char *value)
{
    Row *row = find_row(table, part, key);
    if (row == NULL) {
        if (row_count == MAX_ROWS) {
            abort();
        }
        row = &rows[row_count++];
        row->table = strdup(table);
        row->part = strdup(part);
        row->key = strdup(key);
    }
    free(row->value);
    row->value = value == NULL ? NULL : strdup(value);
    row->ver = version;
}

static json_t *
encode_row(const Row *row)
{
    json_t *json =
        json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                  "key", row->key, "ver", (json_int_t)row->ver);
    if (row->value != NULL) {
        json_object_set_new(json, "value", json_string(row->value));
    }
    else {
        json_object_set_new(json, "deleted", json_true());
    }
    return json;
}

/* Returns the number of bytes that a base64 text stands for. */
static size_t
decoded_bytes(const char *text)
{
    size_t len = strlen(text);
    size_t bytes = len / 4 * 3;
    for (size_t i = len; i > 0 && text[i - 1] == '='; i--) {
        bytes--;
    }
    return bytes;
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text == NULL ? "" : text;
}

/* Encodes a text in base64; the caller frees the result. */
static char *
to_base64(const char *text)
{
    static const char DIGITS[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = malloc(len / 3 * 4 + 8);
    char *at = out;
    for (size_t i = 0; i < len; i += 3) {
        size_t n = len - i < 3 ? len - i : 3;
        unsigned v = (unsigned char)text[i] << 16;
        v |= n > 1 ? (unsigned)(unsigned char)text[i + 1] << 8 : 0;
        v |= n > 2 ? (unsigned char)text[i + 2] : 0;
        *at++ = DIGITS[v >> 18];
        *at++ = DIGITS[v >> 12 & 63];
        *at++ = n > 1 ? DIGITS[v >> 6 & 63] : '=';
        *at++ = n > 2 ? DIGITS[v & 63] : '=';
    }
    *at = '\0';
    return out;
}

static int
compare_ver(const void *a, const void *b)
{
    const Row *x = *(Row *const *)a;
    const Row *y = *(Row *const *)b;
    return x->ver < y->ver ? -1 : x->ver > y->ver;
}

static int
compare_key(const void *a, const void *b)
{
    return strcmp((*(Row *const *)a)->key, (*(Row *const *)b)->key);
}

/* Answers a feed if its table has newer rows or its time is over. */
static bool
try_feed(Feed *f)
{
    static Row *found[MAX_ROWS];
    size_t count = 0;
    for (size_t i = 0; i < row_count; i++) {
        if (rows[i].ver > f->after && strcmp(rows[i].table, f->table) == 0) {
            found[count++] = &rows[i];
        }
    }
    if (count == 0 && now_ms() < f->until) {
        return false;
    }
    qsort(found, count, sizeof(Row *), compare_ver);
    json_t *list = json_array();
    int64_t ver = version;
    for (size_t i = 0; i < count; i++) {
        if (i >= MAX_PAGE_ROWS && found[i]->ver != found[i - 1]->ver) {
            ver = found[i - 1]->ver;
            break;
        }
        json_array_append_new(list, encode_row(found[i]));
    }
    reply_json(f->req, 200,
               json_pack("{s:o,s:I,s:I}", "rows", list, "ver", (json_int_t)ver,
                         "nowMs", (json_int_t)now_ms()));
    return true;
}

static void
check_feeds(void)
{
    Feed **at = &feeds;
    while (*at != NULL) {
        Feed *f = *at;
        if (f->req == NULL || try_feed(f)) {
            *at = f->next;
            free(f);
        }
        else {
            at = &f->next;
        }
    }
}

static void
on_feed_closed(struct evhttp_connection *connection, void *arg)
{
    (void)arg;
    for (Feed *f = feeds; f != NULL; f = f->next) {
        if (f->req != NULL &&
            evhttp_request_get_connection(f->req) == connection) {
            f->req = NULL;
        }
    }
}

/* A decoded query parameter; may hold null bytes. */
typedef struct {
    char data[1024];
    size_t len;
    bool given;
} Param;

static void
get_param(const char *uri, const char *name, Param *p)
{
    memset(p, 0, sizeof(*p));
    const char *at = strchr(uri, '?');
    size_t name_len = strlen(name);
    while (at != NULL) {
        at++;
        if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
            at += name_len + 1;
            p->given = true;
            while (*at != '\0' && *at != '&' && p->len < sizeof(p->data) - 1) {
                unsigned c = (unsigned char)*at++;
                if (c == '%') {
                    sscanf(at, "%2x", &c);
                    at += 2;
                }
                p->data[p->len++] = (char)c;
            }
            return;
        }
        at = strchr(at, '&');
    }
}

/* Compares a key with a parameter, bytewise. */
static int
compare_param(const char *key, const Param *p)
{
    size_t len = strlen(key);
    size_t least = len < p->len ? len : p->len;
    int c = memcmp(key, p->data, least);
    return c != 0 ? c : len < p->len ? -1 : len > p->len;
}

static void
do_get(struct evhttp_request *req, const char *uri)
{
    static Row *found[MAX_ROWS];
    Param table;
    Param part;
    Param from;
    Param to;
    Param limit;
    get_param(uri, "table", &table);
    get_param(uri, "part", &part);
    get_param(uri, "from", &from);
    get_param(uri, "to", &to);
    get_param(uri, "limit", &limit);
    size_t count = 0;
    for (size_t i = 0; i < row_count; i++) {
        const Row *r = &rows[i];
        if (r->value != NULL && strcmp(r->table, table.data) == 0 &&
            strcmp(r->part, part.data) == 0 &&
            (!from.given || compare_param(r->key, &from) >= 0) &&
            (!to.given || compare_param(r->key, &to) < 0)) {
            found[count++] = &rows[i];
        }
    }
    qsort(found, count, sizeof(Row *), compare_key);
    size_t most = limit.given ? strtoul(limit.data, NULL, 10) : MAX_PAGE_ROWS;
    most = most < MAX_PAGE_ROWS ? most : MAX_PAGE_ROWS;
    json_t *list = json_array();
    size_t bytes = 0;
    size_t i = 0;
    for (; i < count && i < most; i++) {
        bytes += strlen(found[i]->value) + strlen(found[i]->key) + 60;
        if (i > 0 && bytes > MAX_PAGE_BYTES) {
            break;
        }
        json_array_append_new(list, encode_row(found[i]));
    }
    reply_json(req, 200,
               json_pack("{s:o,s:I,s:I,s:b}", "rows", list, "ver",
                         (json_int_t)version, "nowMs", (json_int_t)now_ms(),
                         "morePages", i < count));
}

static void
do_feed(struct evhttp_request *req, const char *uri)
{
    Param table;
    Param after;
    Param wait;
    get_param(uri, "table", &table);
    get_param(uri, "after", &after);
    get_param(uri, "waitMs", &wait);
    Feed *f = calloc(1, sizeof(*f));
    f->req = req;
    snprintf(f->table, sizeof(f->table), "%.200s", table.data);
    f->after = strtoll(after.data, NULL, 10);
    f->until = now_ms() + strtoll(wait.data, NULL, 10);
    f->next = feeds;
    feeds = f;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_feed_closed, NULL);
    check_feeds();
}

/* Returns why a transaction is malformed, or NULL. */
static const char *
check_transaction(const json_t *body, size_t bytes)
{
    const json_t *lists[] = {json_object_get(body, "expect"),
                             json_object_get(body, "upserts"),
                             json_object_get(body, "remove")};
    size_t count = 0;
    for (size_t k = 0; k < 3; k++) {
        count += json_array_size(lists[k]);
        size_t i;
        json_t *entry;
        json_array_foreach(lists[k], i, entry)
        {
            const char *table = text_of(entry, "table");
            if (k > 0 &&
                (strcmp(table, "op") == 0 || strcmp(table, "servers") == 0)) {
                return "forbidden";
            }
            if (k == 1 && decoded_bytes(text_of(entry, "value")) > ROW_BYTES) {
                return "row too large";
            }
        }
    }
    if (count == 0 || count > MAX_ENTRIES) {
        return "number of entries";
    }
    return bytes > MAX_CALL_BYTES ? "call too large" : NULL;
}

static void
do_transaction(struct evhttp_request *req)
{
    size_t bytes = evbuffer_get_length(evhttp_request_get_input_buffer(req));
    json_t *body = request_json(req);
    const char *fault =
        body == NULL ? "not JSON" : check_transaction(body, bytes);
    if (fault != NULL) {
        static int64_t logged;
        if (now_ms() - logged > 1000) {
            logged = now_ms();
            record("store", "refused status=400 cause=\"%s\" bytes=%zu", fault,
                   bytes);
        }
        reply_json(req, strcmp(fault, "forbidden") == 0 ? 403 : 400, NULL);
        json_decref(body);
        return;
    }
    bool holds = true;
    json_t *current = json_array();
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(body, "expect"), i, entry)
    {
        const Row *row =
            find_row(text_of(entry, "table"), text_of(entry, "part"),
                     text_of(entry, "key"));
        int64_t ver = row == NULL || row->value == NULL ? 0 : row->ver;
        holds =
            holds && ver == json_integer_value(json_object_get(entry, "ver"));
        if (ver != 0) {
            json_array_append_new(current, encode_row(row));
        }
    }
    if (!holds) {
        reply_json(req, 412,
                   json_pack("{s:O,s:I,s:I}", "rows", current, "ver",
                             (json_int_t)version, "nowMs",
                             (json_int_t)now_ms()));
    }
    else {
        version++;
        json_array_foreach(json_object_get(body, "upserts"), i, entry)
        {
            put_row(text_of(entry, "table"), text_of(entry, "part"),
                    text_of(entry, "key"), text_of(entry, "value"));
        }
        json_array_foreach(json_object_get(body, "remove"), i, entry)
        {
            put_row(text_of(entry, "table"), text_of(entry, "part"),
                    text_of(entry, "key"), NULL);
        }
        reply_json(req, 200,
                   json_pack("{s:I,s:I}", "ver", (json_int_t)version, "nowMs",
                             (json_int_t)now_ms()));
    }
    json_decref(current);
    json_decref(body);
    check_feeds();
}

static void
do_test(struct evhttp_request *req, const char *uri)
{
    json_t *body = request_json(req);
    if (strcmp(uri, "/test/mode") == 0) {
        busy = strcmp(text_of(body, "mode"), "busy") == 0;
        record("store", "mode=%s", text_of(body, "mode"));
    }
    else {
        const char *value = json_string_value(json_object_get(body, "value"));
        char *encoded = value == NULL ? NULL : to_base64(value);
        version++;
        put_row(text_of(body, "table"), "", text_of(body, "key"), encoded);
        free(encoded);
    }
    json_decref(body);
    reply_json(req, 200, NULL);
    check_feeds();
}

static void
on_request(struct evhttp_request *req, void *arg)
{
    (void)arg;
    const char *uri = evhttp_request_get_uri(req);
    if (strncmp(uri, "/test/", 6) == 0) {
        do_test(req, uri);
    }
    else if (busy) {
        reply_json(req, 503, NULL);
    }
    else if (strncmp(uri, "/v1/rows-tx", 11) == 0) {
        do_transaction(req);
    }
    else if (strncmp(uri, "/v1/rows-get", 12) == 0) {
        do_get(req, uri);
    }
    else if (strncmp(uri, "/v1/rows-feed", 13) == 0) {
        do_feed(req, uri);
    }
    else {
        reply_json(req, 404, NULL);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    if (busy) {
        while (feeds != NULL) {
            Feed *f = feeds;
            feeds = f->next;
            if (f->req != NULL) {
                reply_json(f->req, 503, NULL);
            }
            free(f);
        }
    }
    check_feeds();
}

int
store_main(int argc, char **argv)
{
    if (argc < 2) {
        return 2;
    }
    struct event_base *base = event_base_new();
    serve(base, atoi(argv[1]), on_request, NULL);
    struct event *tick =
        event_new(base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = {.tv_usec = TICK_US};
    event_add(tick, &tv);
    event_base_dispatch(base);
    return 0;
}
