#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/store.h"

#define CALL_TIMEOUT_MS 2000
#define PATH_BYTES 160
#define ADDRESS_BYTES 64
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_TOO_MANY 429

typedef struct {
    GfStore base;
    GfHttp *http;
    char address[ADDRESS_BYTES];
    uint16_t port;
} HttpStore;

/* The callback of a request in flight; one of the three is set. */
typedef struct {
    GfCommitCallback on_commit;
    GfReadCallback on_read;
    GfObjectCallback on_object;
    void *arg;
} Request;

/* Allocates a request; the HTTP callback frees it. */
static Request *
new_request(void *arg)
{
    Request *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->arg = arg;
    return r;
}

/* HTTP callback of a transaction. The outcome is definite only if the store
 * said so or the call was never sent; else it is GF_TXN_UNKNOWN. */
static void
on_commit_answer(void *arg, const GfHttpResult *result)
{
    Request *r = arg;
    GfTxnOutcome outcome = {.state = GF_TXN_UNKNOWN};
    if (result->kind != GF_OK) {
        outcome.state = result->sent ? GF_TXN_UNKNOWN : GF_TXN_REFUSED;
    }
    else if (result->status == STATUS_OK) {
        json_t *body = GfHttp_ParseJson(result);
        json_t *version = json_object_get(body, "version");
        if (json_is_integer(version)) {
            outcome.state = GF_TXN_COMMITTED;
            outcome.version = json_integer_value(version);
        }
        json_decref(body);
    }
    else if (result->status == STATUS_CONFLICT) {
        outcome.state = GF_TXN_CONFLICT;
    }
    else if (result->status == STATUS_TOO_MANY) {
        outcome.state = GF_TXN_REFUSED;
    }
    r->on_commit(r->arg, &outcome);
    free(r);
}

/* Implements GfStoreOps.commit. */
static void
commit(GfStore *store, const GfTxn *txn, GfCommitCallback callback, void *arg)
{
    HttpStore *s = (HttpStore *)store;
    Request *r = new_request(arg);
    r->on_commit = callback;
    GfHttp_PostJson(s->http, s->address, s->port, "/v1/txn",
                    json_incref((json_t *)GfTxn_Body(txn)), CALL_TIMEOUT_MS,
                    on_commit_answer, r);
}

/* Decodes a JSON list of rows. Returns NULL if any row is malformed. The
 * caller frees the array; the values belong to the list. */
static GfRow *
parse_rows(json_t *list, size_t *count)
{
    *count = json_array_size(list);
    GfRow *rows = calloc(*count + 1, sizeof(*rows));
    if (rows == NULL) {
        abort();
    }
    for (size_t i = 0; i < *count; i++) {
        json_t *item = json_array_get(list, i);
        json_t *version = json_object_get(item, "version");
        rows[i].value = json_object_get(item, "value");
        const char *key = json_string_value(json_object_get(item, "key"));
        if (key == NULL || !GfName_SetText(&rows[i].key, key) ||
            !json_is_integer(version) || rows[i].value == NULL) {
            free(rows);
            return NULL;
        }
        rows[i].version = json_integer_value(version);
    }
    return rows;
}

/* HTTP callback of a read. */
static void
on_read_answer(void *arg, const GfHttpResult *result)
{
    Request *r = arg;
    json_t *body =
        result->status == STATUS_OK ? GfHttp_ParseJson(result) : NULL;
    json_t *list = json_object_get(body, "rows");
    size_t count = 0;
    GfRow *rows = json_is_array(list) ? parse_rows(list, &count) : NULL;
    if (rows == NULL) {
        r->on_read(r->arg, GF_STORE_UNAVAILABLE, NULL, 0);
    }
    else {
        r->on_read(r->arg, GF_OK, rows, count);
    }
    free(rows);
    json_decref(body);
    free(r);
}

/* Implements GfStoreOps.read. */
static void
read_rows(GfStore *store, const char *prefix, GfReadCallback callback,
          void *arg)
{
    HttpStore *s = (HttpStore *)store;
    Request *r = new_request(arg);
    r->on_read = callback;
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "/v1/rows?prefix=%s", prefix);
    GfHttpCall call = {.address = s->address,
                       .port = s->port,
                       .method = EVHTTP_REQ_GET,
                       .path = path,
                       .timeout_ms = CALL_TIMEOUT_MS};
    GfHttp_Start(s->http, &call, on_read_answer, r);
}

/* HTTP callback of a request to the object store. */
static void
on_object_answer(void *arg, const GfHttpResult *result)
{
    Request *r = arg;
    GfErrorKind kind = GF_STORE_UNAVAILABLE;
    if (result->kind == GF_OK && result->status == STATUS_OK) {
        kind = GF_OK;
    }
    else if (result->kind == GF_OK && result->status == STATUS_NOT_FOUND) {
        kind = GF_NOT_FOUND;
    }
    r->on_object(r->arg, kind, result->body, result->body_len);
    free(r);
}

/* Sends a request for an object to the object store; data is the body of a
 * PUT. */
static void
request_object(GfStore *store, enum evhttp_cmd_type method, const GfName *name,
               const char *data, size_t len, GfObjectCallback callback,
               void *arg)
{
    HttpStore *s = (HttpStore *)store;
    Request *r = new_request(arg);
    r->on_object = callback;
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "/v1/objects/%s", name->data);
    GfHttpCall call = {.address = s->address,
                       .port = s->port,
                       .method = method,
                       .path = path,
                       .body = data,
                       .body_len = len,
                       .timeout_ms = CALL_TIMEOUT_MS};
    GfHttp_Start(s->http, &call, on_object_answer, r);
}

/* Implements GfStoreOps.put_object. */
static void
put_object(GfStore *store, const GfName *name, const char *data, size_t len,
           GfObjectCallback callback, void *arg)
{
    request_object(store, EVHTTP_REQ_PUT, name, data, len, callback, arg);
}

/* Implements GfStoreOps.get_object. */
static void
get_object(GfStore *store, const GfName *name, GfObjectCallback callback,
           void *arg)
{
    request_object(store, EVHTTP_REQ_GET, name, NULL, 0, callback, arg);
}

/* Implements GfStoreOps.destroy. The HTTP client is borrowed and stays. */
static void
destroy(GfStore *store)
{
    free(store);
}

static const GfStoreOps OPS = {.commit = commit,
                               .read = read_rows,
                               .put_object = put_object,
                               .get_object = get_object,
                               .destroy = destroy};

/* Creates a client of the store over HTTP. Borrows http; GfStore_Destroy frees
 * the client. */
GfStore *
GfHttpStore_Create(GfHttp *http, const char *address, uint16_t port)
{
    assert(http != NULL && address != NULL);
    HttpStore *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->base.ops = &OPS;
    s->http = http;
    snprintf(s->address, sizeof(s->address), "%s", address);
    s->port = port;
    return &s->base;
}
