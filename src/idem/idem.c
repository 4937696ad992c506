#include "guavaflow/idem.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>

/* A 128-bit hash: collisions of keys need not be expected. */
#define HASH_BYTES 16
/* Values of the field "t" of a journal record, which names its type. */
#define RECORD_INTENT "intent"
#define RECORD_OUTCOME "outcome"

/* A used key. The answer is set in state GF_IDEM_DONE. */
typedef struct {
    GfName id;
    GfIdemState state;
    int64_t wall_ms; /* time of the intent, since the Unix epoch */
    GfAnswer answer;
    UT_hash_handle hh;
} IdemEntry;

struct GfIdem {
    IdemEntry *entries;
};

/* Creates an empty table, to be freed with GfIdem_Destroy. Never returns
 * NULL. */
GfIdem *
GfIdem_Create(void)
{
    GfIdem *idem = calloc(1, sizeof(*idem));
    if (idem == NULL) {
        abort();
    }
    return idem;
}

/* Removes an entry and frees it with its answer. */
static void
delete_entry(GfIdem *idem, IdemEntry *e)
{
    HASH_DEL(idem->entries, e);
    GfAnswer_Clear(&e->answer);
    free(e);
}

/* Removes all entries. Done before a journal is replayed into the table. */
void
GfIdem_Clear(GfIdem *idem)
{
    IdemEntry *e;
    IdemEntry *tmp;
    HASH_ITER(hh, idem->entries, e, tmp)
    {
        delete_entry(idem, e);
    }
}

/* Frees the table with all entries; NULL is allowed. */
void
GfIdem_Destroy(GfIdem *idem)
{
    if (idem != NULL) {
        GfIdem_Clear(idem);
        free(idem);
    }
}

/* Returns the id under which a team's key is stored: a 128-bit BLAKE2b hash of
 * both names in hexadecimal. Whole fixed-size names are hashed, so keys of
 * different teams have different ids even if team and key concatenate to the
 * same text. */
GfName
GfIdem_Id(const GfName *team, const GfName *key)
{
    unsigned char hash[HASH_BYTES];
    char hex[HASH_BYTES * 2 + 1];
    crypto_generichash_state state;
    crypto_generichash_init(&state, NULL, 0, sizeof(hash));
    crypto_generichash_update(&state, (const unsigned char *)team,
                              sizeof(*team));
    crypto_generichash_update(&state, (const unsigned char *)key,
                              sizeof(*key));
    crypto_generichash_final(&state, hash, sizeof(hash));
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    return GfName_Format("%s", hex);
}

/* Returns the entry of an id, or NULL. */
static IdemEntry *
find_entry(const GfIdem *idem, const GfName *id)
{
    IdemEntry *e;
    HASH_FIND(hh, idem->entries, id, sizeof(*id), e);
    return e;
}

/* Returns the entry of an id; a new one has state GF_IDEM_FREE. */
static IdemEntry *
get_or_add_entry(GfIdem *idem, const GfName *id)
{
    IdemEntry *e = find_entry(idem, id);
    if (e == NULL) {
        e = calloc(1, sizeof(*e));
        if (e == NULL) {
            abort();
        }
        e->id = *id;
        HASH_ADD(hh, idem->entries, id, sizeof(e->id), e);
    }
    return e;
}

/* Returns the state of a key. In state GF_IDEM_DONE, *answer is set to a copy
 * of the outcome, which the caller clears; otherwise it is left as it is.
 * answer may be NULL. */
GfIdemState
GfIdem_Find(const GfIdem *idem, const GfName *id, GfAnswer *answer)
{
    const IdemEntry *e = find_entry(idem, id);
    if (e == NULL) {
        return GF_IDEM_FREE;
    }
    if (e->state == GF_IDEM_DONE && answer != NULL) {
        *answer = GfAnswer_Copy(&e->answer);
    }
    return e->state;
}

/* Changes a free key to GF_IDEM_INTENDED and returns the journal record for
 * it, which the caller owns. The request may be sent only after the record is
 * durable: a new owner could run it again otherwise. wall_ms is the wall-clock
 * time in milliseconds since the Unix epoch. */
json_t *
GfIdem_Intend(GfIdem *idem, const GfName *id, int64_t wall_ms)
{
    assert(GfIdem_Find(idem, id, NULL) == GF_IDEM_FREE);
    IdemEntry *e = get_or_add_entry(idem, id);
    e->state = GF_IDEM_INTENDED;
    e->wall_ms = wall_ms;
    return json_pack("{s:s,s:s,s:I}", "t", RECORD_INTENT, "id", id->data, "at",
                     (json_int_t)wall_ms);
}

/* Applies an outcome to an entry. A request that certainly did not run frees
 * its key: the entry is deleted. */
static void
set_outcome(GfIdem *idem, IdemEntry *e, const GfAnswer *answer)
{
    if (answer->ran == GF_RAN_NO) {
        delete_entry(idem, e);
        return;
    }
    GfAnswer_Clear(&e->answer);
    e->answer = GfAnswer_Copy(answer);
    e->state = answer->ran == GF_RAN_YES ? GF_IDEM_DONE : GF_IDEM_UNKNOWN;
}

/* Returns the journal record of an outcome. The body is left out if it is
 * empty or not UTF-8, as JSON strings cannot hold it. */
static json_t *
make_outcome_record(const GfName *id, const GfAnswer *answer, int64_t wall_ms)
{
    json_t *record = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I}", "t", RECORD_OUTCOME, "id", id->data,
        "kind", GfError_Name(answer->kind), "ran", GfRan_Name(answer->ran),
        "text", answer->reason, "at", (json_int_t)wall_ms);
    if (answer->body.len > 0) {
        json_t *body = json_stringn(answer->body.data, answer->body.len);
        if (body != NULL) {
            json_object_set_new(record, "body", body);
        }
    }
    return record;
}

/* Stores the outcome of an intended key and returns the journal record for it,
 * which the caller owns. The answer is copied. If the request certainly did
 * not run, the key is free again. */
json_t *
GfIdem_Finish(GfIdem *idem, const GfName *id, const GfAnswer *answer)
{
    IdemEntry *e = get_or_add_entry(idem, id);
    int64_t wall_ms = e->wall_ms;
    set_outcome(idem, e, answer);
    return make_outcome_record(id, answer, wall_ms);
}

/* Marks the outcome of an intended key as unknown for good. Keys in any other
 * state are left as they are. */
void
GfIdem_SetUnknown(GfIdem *idem, const GfName *id)
{
    IdemEntry *e = find_entry(idem, id);
    if (e != NULL && e->state == GF_IDEM_INTENDED) {
        e->state = GF_IDEM_UNKNOWN;
    }
}

/* Applies a journal record; records of other types and malformed ones are
 * ignored. An intent that no outcome follows was written by a former owner,
 * which may have sent the request, so its outcome is unknown. */
void
GfIdem_Replay(GfIdem *idem, const json_t *record)
{
    const char *type = json_string_value(json_object_get(record, "t"));
    const char *text = json_string_value(json_object_get(record, "id"));
    GfName id;
    if (type == NULL || text == NULL || !GfName_SetText(&id, text)) {
        return;
    }
    json_t *at = json_object_get(record, "at");
    if (strcmp(type, RECORD_INTENT) == 0) {
        IdemEntry *e = get_or_add_entry(idem, &id);
        e->state = GF_IDEM_UNKNOWN;
        e->wall_ms = json_integer_value(at);
    }
    else if (strcmp(type, RECORD_OUTCOME) == 0) {
        IdemEntry *e = get_or_add_entry(idem, &id);
        e->wall_ms = json_integer_value(at);
        json_t *body = json_object_get(record, "body");
        GfAnswer answer = {.kind = GfError_FromName(json_string_value(
                               json_object_get(record, "kind"))),
                           .ran = GfRan_FromName(json_string_value(
                               json_object_get(record, "ran")))};
        const char *reason =
            json_string_value(json_object_get(record, "text"));
        if (reason != NULL) {
            strncpy(answer.reason, reason, sizeof(answer.reason) - 1);
        }
        if (json_is_string(body)) {
            answer.body =
                GfStr_Copy(json_string_value(body), json_string_length(body));
        }
        set_outcome(idem, e, &answer);
        GfAnswer_Clear(&answer);
    }
}

/* Appends to the array the records from which the table can be rebuilt. Keys
 * first used before oldest_ms, in milliseconds since the Unix epoch, are left
 * out. A key in progress or with an unknown outcome is written as an intent,
 * so a new owner treats its outcome as unknown. */
void
GfIdem_Snapshot(const GfIdem *idem, json_t *records, int64_t oldest_ms)
{
    for (const IdemEntry *e = idem->entries; e != NULL; e = e->hh.next) {
        if (e->wall_ms < oldest_ms) {
            continue;
        }
        if (e->state == GF_IDEM_DONE) {
            json_array_append_new(
                records, make_outcome_record(&e->id, &e->answer, e->wall_ms));
        }
        else {
            json_array_append_new(
                records, json_pack("{s:s,s:s,s:I}", "t", RECORD_INTENT, "id",
                                   e->id.data, "at", (json_int_t)e->wall_ms));
        }
    }
}

/* Returns the number of keys that are not free. */
size_t
GfIdem_Count(const GfIdem *idem)
{
    return HASH_COUNT(idem->entries);
}
