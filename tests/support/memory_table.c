#include "memory_table.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_BYTES 200
/* The key of the owner's row, which is not among the rows of the table. */
#define OWNER_KEY "owner"

static MemoryCall *
add_call(MemoryTable *t, const char *table, const char *part,
         GfTableCallback callback, void *arg)
{
    assert(t->open < MEMORY_TABLE_MAX_CALLS);
    MemoryCall *call = &t->calls[t->open++];
    *call = (MemoryCall){.callback = callback, .arg = arg};
    snprintf(call->table, sizeof(call->table), "%s", table);
    snprintf(call->part, sizeof(call->part), "%s", part);
    return call;
}

static void
memory_read(GfTable *table, const char *name, const char *part,
            const char *key, GfTableCallback callback, void *arg)
{
    MemoryCall *call =
        add_call((MemoryTable *)table, name, part, callback, arg);
    snprintf(call->key, sizeof(call->key), "%s", key == NULL ? "" : key);
}

/* A follow request is answered when the test is over. */
static void
memory_follow(GfTable *table, const char *name, int64_t after, int wait_ms,
              GfTableCallback callback, void *arg)
{
    (void)name;
    (void)after;
    (void)wait_ms;
    MemoryTable *t = (MemoryTable *)table;
    assert(t->follow_count < MEMORY_TABLE_MAX_FOLLOWS);
    t->follows[t->follow_count++] =
        (MemoryCall){.callback = callback, .arg = arg};
}

static void
memory_transact(GfTable *table, const GfTableTransaction *transaction,
                GfTableCallback callback, void *arg)
{
    MemoryCall *call = add_call((MemoryTable *)table, "", "", callback, arg);
    call->changes = json_array();
    call->expectations = json_array();
    for (size_t i = 0; i < transaction->change_count; i++) {
        const GfTableChange *c = &transaction->changes[i];
        json_t *value = c->value == NULL
                            ? json_null()
                            : json_stringn(c->value, c->value_len);
        json_array_append_new(
            call->changes,
            json_pack("[s,s,s,o]", c->table, c->part, c->key, value));
    }
    for (size_t i = 0; i < transaction->expectation_count; i++) {
        const GfTableExpectation *x = &transaction->expectations[i];
        json_array_append_new(call->expectations,
                              json_pack("[s,s,s,I]", x->table, x->part, x->key,
                                        (json_int_t)x->version));
    }
}

static void
memory_abandon_older(GfTable *table)
{
    (void)table;
}

static const GfTableOps OPS = {.read = memory_read,
                               .follow = memory_follow,
                               .transact = memory_transact,
                               .abandon_older = memory_abandon_older};

/* Makes an empty table. */
void
MemoryTable_Init(MemoryTable *t)
{
    memset(t, 0, sizeof(*t));
    t->base.ops = &OPS;
    t->rows = json_object();
    t->version = 100;
}

/* Frees the rows; no call may be in progress. */
void
MemoryTable_Clear(MemoryTable *t)
{
    json_decref(t->rows);
}

/* Writes a row. */
void
MemoryTable_Put(MemoryTable *t, const char *table, const char *part,
                const char *key, const char *value)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "%s/%s/%s", table, part, key);
    json_object_set_new(t->rows, path, json_string(value));
}

/* Returns whether there is a row. */
bool
MemoryTable_Has(const MemoryTable *t, const char *table, const char *part,
                const char *key)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "%s/%s/%s", table, part, key);
    return json_object_get(t->rows, path) != NULL;
}

/* Answers a read with the row that it names, or all rows of the part. */
static void
answer_read(MemoryTable *t, const MemoryCall *call)
{
    if (strcmp(call->key, OWNER_KEY) == 0) {
        GfTableRow owner = {.key = OWNER_KEY, .version = t->owner_version};
        call->callback(call->arg, GF_TABLE_OK, t->version, &owner, 1);
        return;
    }
    char prefix[PATH_BYTES];
    snprintf(prefix, sizeof(prefix), "%s/%s/", call->table, call->part);
    GfTableRow *rows =
        calloc(json_object_size(t->rows) + 1, sizeof(GfTableRow));
    size_t count = 0;
    const char *path;
    json_t *value;
    json_object_foreach(t->rows, path, value)
    {
        const char *key = path + strlen(prefix);
        if (strncmp(path, prefix, strlen(prefix)) == 0 &&
            (call->key[0] == '\0' || strcmp(call->key, key) == 0)) {
            rows[count++] =
                (GfTableRow){.table = call->table,
                             .part = call->part,
                             .key = key,
                             .version = t->version,
                             .value = json_string_value(value),
                             .value_len = json_string_length(value)};
        }
    }
    call->callback(call->arg, GF_TABLE_OK, t->version, rows, count);
    free(rows);
}

/* Writes the path of a row that a change or an expectation names. */
static void
format_path(char *path, const json_t *row)
{
    snprintf(path, PATH_BYTES, "%s/%s/%s",
             json_string_value(json_array_get(row, 0)),
             json_string_value(json_array_get(row, 1)),
             json_string_value(json_array_get(row, 2)));
}

/* Returns whether a transaction is refused for a removal. */
static bool
is_refused(const MemoryTable *t, const MemoryCall *call)
{
    size_t i;
    json_t *c;
    json_array_foreach(call->changes, i, c)
    {
        const char *table = json_string_value(json_array_get(c, 0));
        if (t->refused_table != NULL && json_is_null(json_array_get(c, 3)) &&
            strcmp(table, t->refused_table) == 0) {
            return true;
        }
    }
    return false;
}

/* Looks for a row that a transaction expects not to exist. Returns its value,
 * or NULL. */
static const json_t *
find_conflict(const MemoryTable *t, const MemoryCall *call)
{
    size_t i;
    json_t *x;
    json_array_foreach(call->expectations, i, x)
    {
        char path[PATH_BYTES];
        format_path(path, x);
        const json_t *row = json_object_get(t->rows, path);
        if (json_integer_value(json_array_get(x, 3)) == 0 && row != NULL) {
            return row;
        }
    }
    return NULL;
}

/* Carries out a transaction. Returns its result, and with a conflict the row
 * in *row. */
static GfTableResult
carry_out(MemoryTable *t, const MemoryCall *call, const json_t **row)
{
    *row = find_conflict(t, call);
    t->transactions++;
    t->version++;
    if (*row != NULL || is_refused(t, call)) {
        return *row != NULL ? GF_TABLE_CONFLICT : GF_TABLE_REFUSED;
    }
    size_t i;
    json_t *c;
    json_array_foreach(call->changes, i, c)
    {
        char path[PATH_BYTES];
        format_path(path, c);
        json_t *value = json_array_get(c, 3);
        if (json_is_null(value)) {
            json_object_del(t->rows, path);
        }
        else {
            json_object_set(t->rows, path, value);
        }
    }
    return GF_TABLE_OK;
}

/* Frees what a transaction holds. */
static void
free_transaction(const MemoryCall *call)
{
    json_decref(call->changes);
    json_decref(call->expectations);
}

/* Returns whether a transaction stays without an answer. */
static bool
is_late(MemoryTable *t, const MemoryCall *call)
{
    size_t i;
    json_t *c;
    json_array_foreach(call->changes, i, c)
    {
        const char *key = json_string_value(json_array_get(c, 2));
        if (t->late_left > 0 && strcmp(key, t->late_key) == 0) {
            t->late_left--;
            return true;
        }
    }
    return false;
}

/* Carries out a transaction and answers it, or keeps it for later. */
static void
answer_transaction(MemoryTable *t, const MemoryCall *call)
{
    if (is_late(t, call)) {
        assert(t->late_count < MEMORY_TABLE_MAX_LATE);
        t->late[t->late_count++] = *call;
        call->callback(call->arg, GF_TABLE_UNKNOWN, 0, NULL, 0);
        return;
    }
    const json_t *found;
    GfTableResult result = carry_out(t, call, &found);
    GfTableRow row = {.version = t->version,
                      .value = json_string_value(found),
                      .value_len = json_string_length(found)};
    call->callback(call->arg, result, t->version, &row,
                   result == GF_TABLE_CONFLICT ? 1 : 0);
    free_transaction(call);
}

/* Answers the calls that are open, those that follow included. */
void
MemoryTable_AnswerAll(MemoryTable *t)
{
    while (t->open > 0) {
        MemoryCall call = t->calls[0];
        memmove(t->calls, t->calls + 1, --t->open * sizeof(MemoryCall));
        if (call.changes == NULL) {
            answer_read(t, &call);
        }
        else {
            answer_transaction(t, &call);
        }
    }
}

/* Carries out the transactions that stayed without an answer. */
void
MemoryTable_CarryOutLate(MemoryTable *t)
{
    for (size_t i = 0; i < t->late_count; i++) {
        const json_t *found;
        carry_out(t, &t->late[i], &found);
        free_transaction(&t->late[i]);
    }
    t->late_count = 0;
}

/* Ends the follow requests without an answer. */
void
MemoryTable_EndFollows(MemoryTable *t)
{
    for (size_t i = 0; i < t->follow_count; i++) {
        const MemoryCall *call = &t->follows[i];
        call->callback(call->arg, GF_TABLE_UNKNOWN, 0, NULL, 0);
    }
    t->follow_count = 0;
}
