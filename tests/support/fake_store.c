#include "fake_store.h"

#include <stdlib.h>
#include <string.h>

#define MAX_HELD 256

/* A transaction that is held back, and its callback. */
typedef struct {
    json_t *body;
    GfCommitCallback callback;
    void *arg;
} Held;

struct FakeStore {
    GfStore base;
    json_t *rows;    /* {version, value} by key */
    json_t *objects; /* text by name */
    int64_t version; /* of the latest committed transaction */
    size_t commits;
    FakeStoreMode mode;
    bool ignore_checks;
    Held held[MAX_HELD];
    size_t held_count;
};

/* Returns a row as {version, value}, which the store owns, or NULL. */
static json_t *
find(const FakeStore *f, const char *key)
{
    return json_object_get(f->rows, key);
}

/* Applies a transaction if its checks hold, else reports a conflict. */
static GfTxnOutcome
apply(FakeStore *f, const json_t *body)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(body, "checks"), i, item)
    {
        json_t *row = find(f, json_string_value(json_object_get(item, "key")));
        json_int_t have = json_integer_value(json_object_get(row, "version"));
        if (!f->ignore_checks &&
            have != json_integer_value(json_object_get(item, "version"))) {
            return (GfTxnOutcome){.state = GF_TXN_CONFLICT};
        }
    }
    f->version++;
    f->commits++;
    json_array_foreach(json_object_get(body, "puts"), i, item)
    {
        json_object_set_new(
            f->rows, json_string_value(json_object_get(item, "key")),
            json_pack("{s:I,s:o}", "version", (json_int_t)f->version, "value",
                      json_deep_copy(json_object_get(item, "value"))));
    }
    json_array_foreach(json_object_get(body, "deletes"), i, item)
    {
        json_object_del(f->rows, json_string_value(item));
    }
    return (GfTxnOutcome){.state = GF_TXN_COMMITTED, .version = f->version};
}

/* Calls back with the outcome that the mode asks for: a lost request is not
 * applied, a lost reply is; the outcome of both is unknown. */
static void
reply(FakeStore *f, const json_t *body, FakeStoreMode mode,
      GfCommitCallback callback, void *arg)
{
    GfTxnOutcome outcome = {.state = GF_TXN_UNKNOWN};
    if (mode != FAKE_STORE_LOSE_REQUEST) {
        outcome = apply(f, body);
    }
    if (mode == FAKE_STORE_LOSE_REPLY) {
        outcome = (GfTxnOutcome){.state = GF_TXN_UNKNOWN};
    }
    callback(arg, &outcome);
}

/* Carries out a transaction or, in the mode FAKE_STORE_HOLD, holds a copy of
 * it back, if fewer than MAX_HELD are held. */
static void
commit(GfStore *store, const GfTxn *txn, GfCommitCallback callback, void *arg)
{
    FakeStore *f = (FakeStore *)store;
    if (f->mode == FAKE_STORE_HOLD && f->held_count < MAX_HELD) {
        f->held[f->held_count++] =
            (Held){.body = json_deep_copy(GfTxn_Body(txn)),
                   .callback = callback,
                   .arg = arg};
        return;
    }
    reply(f, GfTxn_Body(txn), f->mode, callback, arg);
}

/* A qsort comparison of rows by key. */
static int
by_key(const void *a, const void *b)
{
    return GfName_Compare(&((const GfRow *)a)->key, &((const GfRow *)b)->key);
}

/* Reads the rows whose keys have a prefix, sorted by key. The read fails with
 * GF_STORE_UNAVAILABLE in the mode that loses requests. */
static void
read_rows(GfStore *store, const char *prefix, GfReadCallback callback,
          void *arg)
{
    FakeStore *f = (FakeStore *)store;
    if (f->mode == FAKE_STORE_LOSE_REQUEST) {
        callback(arg, GF_STORE_UNAVAILABLE, NULL, 0);
        return;
    }
    GfRow *rows = calloc(json_object_size(f->rows) + 1, sizeof(*rows));
    size_t count = 0;
    const char *key;
    json_t *row;
    json_object_foreach(f->rows, key, row)
    {
        if (strncmp(key, prefix, strlen(prefix)) == 0) {
            GfName_SetText(&rows[count].key, key);
            rows[count].version =
                json_integer_value(json_object_get(row, "version"));
            rows[count].value = json_incref(json_object_get(row, "value"));
            count++;
        }
    }
    qsort(rows, count, sizeof(*rows), by_key);
    callback(arg, GF_OK, rows, count);
    for (size_t i = 0; i < count; i++) {
        json_decref(rows[i].value);
    }
    free(rows);
}

/* Stores a copy of an object; always succeeds. */
static void
put_object(GfStore *store, const GfName *name, const char *data, size_t len,
           GfObjectCallback callback, void *arg)
{
    FakeStore *f = (FakeStore *)store;
    json_object_set_new(f->objects, name->data, json_stringn(data, len));
    callback(arg, GF_OK, NULL, 0);
}

/* Reads an object; GF_NOT_FOUND if there is none of this name. */
static void
get_object(GfStore *store, const GfName *name, GfObjectCallback callback,
           void *arg)
{
    FakeStore *f = (FakeStore *)store;
    json_t *object = json_object_get(f->objects, name->data);
    callback(arg, object == NULL ? GF_NOT_FOUND : GF_OK,
             json_string_value(object), json_string_length(object));
}

/* Frees the store and what it holds back, without calling back. */
static void
destroy(GfStore *store)
{
    FakeStore *f = (FakeStore *)store;
    for (size_t i = 0; i < f->held_count; i++) {
        json_decref(f->held[i].body);
    }
    json_decref(f->rows);
    json_decref(f->objects);
    free(f);
}

static const GfStoreOps OPS = {.commit = commit,
                               .read = read_rows,
                               .put_object = put_object,
                               .get_object = get_object,
                               .destroy = destroy};

/* Creates an empty store that replies. GfStore_Destroy frees it. */
FakeStore *
FakeStore_Create(void)
{
    FakeStore *f = calloc(1, sizeof(*f));
    f->base.ops = &OPS;
    f->rows = json_object();
    f->objects = json_object();
    return f;
}

/* Returns the interface to pass to the code under test. */
GfStore *
FakeStore_Base(FakeStore *fake)
{
    return &fake->base;
}

/* Sets how later transactions are handled. */
void
FakeStore_SetMode(FakeStore *fake, FakeStoreMode mode)
{
    fake->mode = mode;
}

/* Makes the store skip a transaction's checks, to show that a test notices a
 * store without them. */
void
FakeStore_IgnoreChecks(FakeStore *fake, bool ignore)
{
    fake->ignore_checks = ignore;
}

/* Returns the number of transactions that are held back. */
size_t
FakeStore_CountHeld(const FakeStore *fake)
{
    return fake->held_count;
}

/* Carries out the transaction at this index of those held back, in the order
 * of their arrival, and removes it from them. */
void
FakeStore_Deliver(FakeStore *fake, size_t index, FakeStoreMode mode)
{
    Held held = fake->held[index];
    fake->held_count--;
    memmove(&fake->held[index], &fake->held[index + 1],
            (fake->held_count - index) * sizeof(held));
    reply(fake, held.body, mode, held.callback, held.arg);
    json_decref(held.body);
}

/* Returns the number of transactions that were committed. */
size_t
FakeStore_CountCommits(const FakeStore *fake)
{
    return fake->commits;
}

/* Returns a row's value, which the store owns, and sets its version; NULL and
 * 0 if there is no row of this key. */
json_t *
FakeStore_Row(FakeStore *fake, const char *key, int64_t *version)
{
    json_t *row = find(fake, key);
    *version = json_integer_value(json_object_get(row, "version"));
    return json_object_get(row, "value");
}
