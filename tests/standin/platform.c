/* The stand-in of the platform for entries whose ownership rests on workers'
 * leases: a store of versioned rows with conditional transactions and a limit
 * on writes, an object store, and the list of hosts, of which readers see
 * changes only after a lag. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "standin.h"

#define KEY_BYTES 160
#define MS_PER_S 1000

/* A row or an object. version is that of the commit that wrote the row; 1 for
 * objects. */
typedef struct {
    char key[KEY_BYTES];
    int64_t version;
    json_t *value;
    UT_hash_handle hh;
} Row;

/* The state of the platform. Times are ms on the boot-time clock. */
typedef struct {
    Row *rows;
    Row *objects;
    int64_t version;       /* of the latest commit */
    json_t *hosts;         /* the current list */
    json_t *visible_hosts; /* the list that readers see */
    int64_t hosts_changed_at;
    int64_t hosts_version;
    int64_t visible_version;
    int64_t hosts_lag_ms;
    int writes_per_s; /* limit */
    int64_t current_second;
    int writes_in_second;
    uint64_t commits;
    uint64_t reads;
    json_t *history;
} Platform;

/* Returns the version of a row, or 0 if there is none. */
static int64_t
version_of(Platform *p, const char *key)
{
    Row *row;
    HASH_FIND_STR(p->rows, key, row);
    return row == NULL ? 0 : row->version;
}

/* Writes a row of a table. The value's reference stays the caller's. */
static void
put_row(Row **table, const char *key, int64_t version, json_t *value)
{
    Row *row;
    HASH_FIND_STR(*table, key, row);
    if (row == NULL) {
        row = calloc(1, sizeof(*row));
        snprintf(row->key, sizeof(row->key), "%s", key);
        HASH_ADD_STR(*table, key, row);
    }
    json_decref(row->value);
    row->value = json_incref(value);
    row->version = version;
}

/* Deletes a row if it exists. */
static void
delete_row(Platform *p, const char *key)
{
    Row *row;
    HASH_FIND_STR(p->rows, key, row);
    if (row != NULL) {
        HASH_DEL(p->rows, row);
        json_decref(row->value);
        free(row);
    }
}

/* Counts a write in the current second; returns false if it exceeds the limit.
 */
static bool
count_write(Platform *p)
{
    int64_t current_second = Standin_NowMs() / MS_PER_S;
    if (current_second != p->current_second) {
        p->current_second = current_second;
        p->writes_in_second = 0;
    }
    return p->writes_in_second++ < p->writes_per_s;
}

/* Handles a transaction: {"checks", "puts", "deletes"}. It is committed if
 * each checked row still has the given version; else the reply is 409. Above
 * the write limit the reply is 429. */
static int
commit(Platform *p, json_t *body, json_t **reply)
{
    size_t i;
    json_t *item;
    if (!count_write(p)) {
        *reply = json_pack("{s:s}", "error", "too many writes");
        return 429;
    }
    json_array_foreach(json_object_get(body, "checks"), i, item)
    {
        const char *key = Standin_Text(item, "key");
        if (version_of(p, key) != Standin_Integer(item, "version", -1)) {
            *reply = json_pack("{s:s}", "conflict", key);
            return 409;
        }
    }
    p->version++;
    p->commits++;
    json_array_foreach(json_object_get(body, "puts"), i, item)
    {
        put_row(&p->rows, Standin_Text(item, "key"), p->version,
                json_object_get(item, "value"));
    }
    json_array_foreach(json_object_get(body, "deletes"), i, item)
    {
        delete_row(p, json_string_value(item));
    }
    *reply = json_pack("{s:I}", "version", (json_int_t)p->version);
    return 200;
}

/* Compares rows by key, for HASH_SORT. */
static int
compare_keys(const Row *a, const Row *b)
{
    return strcmp(a->key, b->key);
}

/* Returns the rows whose keys have a prefix, sorted by key. */
static int
read_rows(Platform *p, GfExchange *exchange, json_t **reply)
{
    const char *prefix = GfExchange_Query(exchange, "prefix");
    json_t *list = json_array();
    Row *row;
    Row *tmp;
    p->reads++;
    HASH_SORT(p->rows, compare_keys);
    HASH_ITER(hh, p->rows, row, tmp)
    {
        if (prefix == NULL || strncmp(row->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(list, json_pack("{s:s,s:I,s:O}", "key",
                                                  row->key, "version",
                                                  (json_int_t)row->version,
                                                  "value", row->value));
        }
    }
    *reply = json_pack("{s:o}", "rows", list);
    return 200;
}

/* Stores an object (PUT) or returns it; objects are JSON values. */
static int
handle_object(Platform *p, GfExchange *exchange, json_t **reply)
{
    const char *name = GfExchange_Path(exchange) + strlen("/v1/objects/");
    if (strcmp(GfExchange_Method(exchange), "PUT") == 0) {
        GfStr body = GfExchange_Body(exchange);
        json_t *value = json_loadb(body.data, body.len, 0, NULL);
        GfStr_Clear(&body);
        put_row(&p->objects, name, 1, value);
        json_decref(value);
        *reply = json_object();
        return 200;
    }
    Row *row;
    HASH_FIND_STR(p->objects, name, row);
    *reply = row == NULL ? json_object() : json_incref(row->value);
    return row == NULL ? 404 : 200;
}

/* Returns the host list, or only its version if the caller has that version.
 * Changes become visible hosts_lag_ms after the latest one. */
static int
list_hosts(Platform *p, GfExchange *exchange, json_t **reply)
{
    if (Standin_NowMs() - p->hosts_changed_at >= p->hosts_lag_ms &&
        p->visible_version != p->hosts_version) {
        json_decref(p->visible_hosts);
        p->visible_hosts = json_deep_copy(p->hosts);
        p->visible_version = p->hosts_version;
    }
    const char *known = GfExchange_Query(exchange, "known");
    *reply = json_pack("{s:I}", "version", (json_int_t)p->visible_version);
    if (known == NULL || atoll(known) != p->visible_version) {
        json_object_set(*reply, "hosts", p->visible_hosts);
    }
    return 200;
}

/* Handles /test/hosts: adds hosts to the list, or updates those of the same
 * name. */
static int
change_hosts(Platform *p, json_t *body, json_t **reply)
{
    size_t i;
    json_t *change;
    json_array_foreach(json_object_get(body, "hosts"), i, change)
    {
        size_t k;
        json_t *host;
        bool known = false;
        json_array_foreach(p->hosts, k, host)
        {
            if (strcmp(Standin_Text(host, "name"),
                       Standin_Text(change, "name")) == 0) {
                json_object_update(host, change);
                known = true;
            }
        }
        if (!known) {
            json_array_append(p->hosts, change);
        }
        Standin_Record(p->history, "host", json_deep_copy(change));
    }
    p->hosts_changed_at = Standin_NowMs();
    p->hosts_version++;
    *reply = json_object();
    return 200;
}

/* Dispatches a request by its path. */
static int
on_request(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    Platform *p = ctx;
    const char *path = GfExchange_Path(exchange);
    if (strcmp(path, "/v1/txn") == 0) {
        return commit(p, body, reply);
    }
    if (strcmp(path, "/v1/rows") == 0) {
        return read_rows(p, exchange, reply);
    }
    if (strncmp(path, "/v1/objects/", strlen("/v1/objects/")) == 0) {
        return handle_object(p, exchange, reply);
    }
    if (strcmp(path, "/v1/hosts") == 0) {
        return list_hosts(p, exchange, reply);
    }
    if (strcmp(path, "/test/hosts") == 0) {
        return change_hosts(p, body, reply);
    }
    if (strcmp(path, "/test/counts") == 0) {
        *reply = json_pack("{s:I,s:I}", "commits", (json_int_t)p->commits,
                           "reads", (json_int_t)p->reads);
        return 200;
    }
    *reply = json_pack("{s:s}", "error", "no such path");
    return 404;
}

/* Runs the stand-in: platform ADDRESS PORT [WRITES_PER_S] [HOSTS_LAG_MS].
 * Returns only on a usage error or when the event loop ends. */
int
Platform_Main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: standin platform ADDRESS PORT [WRITES_PER_S] "
                        "[HOSTS_LAG_MS]\n");
        return 2;
    }
    static Platform p;
    p.hosts_version = 1;
    p.visible_version = 1;
    p.hosts = json_array();
    p.visible_hosts = json_array();
    p.history = json_array();
    p.writes_per_s = argc > 3 ? atoi(argv[3]) : 400;
    p.hosts_lag_ms = argc > 4 ? atoi(argv[4]) : 500;
    struct event_base *base = event_base_new();
    Standin_Create(base, argv[1], (uint16_t)atoi(argv[2]), on_request, &p,
                   p.history);
    event_base_dispatch(base);
    return 0;
}
