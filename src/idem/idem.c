#include "guavaflow/idem.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>

#define ID_BYTES 16
#define RECORD_INTENT "intent"
#define RECORD_OUTCOME "outcome"

typedef struct {
    GfName id;
    GfIdemState state;
    int64_t wall_ms;
    GfAnswer answer;
    UT_hash_handle hh;
} Entry;

struct GfIdem {
    Entry *entries;
};

/* Creates an empty table. */
GfIdem *
GfIdem_Create(void)
{
    GfIdem *idem = calloc(1, sizeof(*idem));
    if (idem == NULL) {
        abort();
    }
    return idem;
}

/* Removes one entry. */
static void
delete_entry(GfIdem *idem, Entry *e)
{
    HASH_DEL(idem->entries, e);
    GfAnswer_Clear(&e->answer);
    free(e);
}

/* Removes all entries, before a journal is replayed. */
void
GfIdem_Clear(GfIdem *idem)
{
    Entry *e;
    Entry *tmp;
    HASH_ITER(hh, idem->entries, e, tmp)
    {
        delete_entry(idem, e);
    }
}

/* Frees the table. */
void
GfIdem_Destroy(GfIdem *idem)
{
    if (idem != NULL) {
        GfIdem_Clear(idem);
        free(idem);
    }
}

/* Returns the id of a team's key: 128 bits of BLAKE2b in hexadecimal. Keys of
 * two teams never meet. */
GfName
GfIdem_Id(const GfName *team, const GfName *key)
{
    unsigned char hash[ID_BYTES];
    char hex[ID_BYTES * 2 + 1];
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

/* Finds an entry, or NULL. */
static Entry *
find(const GfIdem *idem, const GfName *id)
{
    Entry *e;
    HASH_FIND(hh, idem->entries, id, sizeof(*id), e);
    return e;
}

/* Finds an entry or adds it. */
static Entry *
get(GfIdem *idem, const GfName *id)
{
    Entry *e = find(idem, id);
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

/* Returns how a key stands. For a finished one *answer is set to a copy of
 * its outcome. */
GfIdemState
GfIdem_Find(const GfIdem *idem, const GfName *id, GfAnswer *answer)
{
    const Entry *e = find(idem, id);
    if (e == NULL) {
        return GF_IDEM_FREE;
    }
    if (e->state == GF_IDEM_DONE && answer != NULL) {
        *answer = GfAnswer_Copy(&e->answer);
    }
    return e->state;
}

/* Marks a free key as intended and returns the record to append. The work
 * may be sent only once that record is durable. */
json_t *
GfIdem_Intend(GfIdem *idem, const GfName *id, int64_t wall_ms)
{
    assert(GfIdem_Find(idem, id, NULL) == GF_IDEM_FREE);
    Entry *e = get(idem, id);
    e->state = GF_IDEM_INTENDED;
    e->wall_ms = wall_ms;
    return json_pack("{s:s,s:s,s:I}", "t", RECORD_INTENT, "id", id->data, "at",
                     (json_int_t)wall_ms);
}

/* Sets an entry's outcome. Work that surely did not run frees the key. */
static void
set_outcome(GfIdem *idem, Entry *e, const GfAnswer *answer)
{
    if (answer->ran == GF_RAN_NO) {
        delete_entry(idem, e);
        return;
    }
    GfAnswer_Clear(&e->answer);
    e->answer = GfAnswer_Copy(answer);
    e->state = answer->ran == GF_RAN_YES ? GF_IDEM_DONE : GF_IDEM_UNKNOWN;
}

/* Returns an outcome as a record. */
static json_t *
outcome_record(const GfName *id, const GfAnswer *answer, int64_t wall_ms)
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

/* Sets the outcome of an intended key and returns the record to append. */
json_t *
GfIdem_Finish(GfIdem *idem, const GfName *id, const GfAnswer *answer)
{
    Entry *e = get(idem, id);
    int64_t wall_ms = e->wall_ms;
    set_outcome(idem, e, answer);
    return outcome_record(id, answer, wall_ms);
}

/* Notes that an intended key's outcome cannot be learned. */
void
GfIdem_SetUnknown(GfIdem *idem, const GfName *id)
{
    Entry *e = find(idem, id);
    if (e != NULL && e->state == GF_IDEM_INTENDED) {
        e->state = GF_IDEM_UNKNOWN;
    }
}

/* Takes over a record of a journal. An intent without an outcome was begun
 * by a former owner: whether it ran is unknown. */
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
        Entry *e = get(idem, &id);
        e->state = GF_IDEM_UNKNOWN;
        e->wall_ms = json_integer_value(at);
    }
    else if (strcmp(type, RECORD_OUTCOME) == 0) {
        Entry *e = get(idem, &id);
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

/* Appends the records that stand for the table, without the entries that are
 * older than oldest_ms of wall-clock time. */
void
GfIdem_Snapshot(const GfIdem *idem, json_t *records, int64_t oldest_ms)
{
    for (const Entry *e = idem->entries; e != NULL; e = e->hh.next) {
        if (e->wall_ms < oldest_ms) {
            continue;
        }
        if (e->state == GF_IDEM_DONE) {
            json_array_append_new(
                records, outcome_record(&e->id, &e->answer, e->wall_ms));
        }
        else {
            json_array_append_new(
                records, json_pack("{s:s,s:s,s:I}", "t", RECORD_INTENT, "id",
                                   e->id.data, "at", (json_int_t)e->wall_ms));
        }
    }
}

/* Returns the number of keys. */
size_t
GfIdem_Count(const GfIdem *idem)
{
    return HASH_COUNT(idem->entries);
}
