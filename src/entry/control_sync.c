#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/allot.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/yaml.h"

#define PART "control"
#define HEAD_KEY "control/head"
#define AT_KEY "control/at"
#define POOL_KEY "allot-pool"
#define FETCH_TIMEOUT_MS 1500

/* Takes a document, wherever it came from. */
static void
take(GfEntry *entry, const json_t *document)
{
    GfError error;
    uint64_t before = GfControl_Version(entry->control);
    if (!GfControl_Apply(entry->control, document, Entry_Now(entry), &error)) {
        GfLog(GF_LOG_ERROR, PART, "A control document is refused: %s.",
              error.text);
        return;
    }
    uint64_t after = GfControl_Version(entry->control);
    if (after != before) {
        GfLog(GF_LOG_INFO, PART, "Control version %" PRIu64 " is in force.",
              after);
    }
}

/* Ends the first write of the control rows, whoever's came first. */
static void
on_bootstrapped(void *arg, const GfTxnOutcome *outcome)
{
    GfEntry *entry = arg;
    entry->bootstrapping = false;
    if (outcome->state == GF_TXN_COMMITTED) {
        GfLog(GF_LOG_INFO, PART, "The first bundle is written.");
        EntryControl_Poll(entry);
    }
}

/* Writes the small row that holds only a document's version. */
static void
put_at(GfTxn *txn, const json_t *document)
{
    GfName key = GfName_Format("%s", AT_KEY);
    GfTxn_Put(
        txn, &key,
        json_pack("{s:O}", "version", json_object_get(document, "version")));
}

/* Writes the first bundle and the pool of its limits into an empty store. */
static void
bootstrap(GfEntry *entry)
{
    GfStr yaml;
    GfError error;
    const char *path = entry->settings->first_bundle;
    if (path == NULL || entry->bootstrapping) {
        return;
    }
    if (!GfYaml_ReadFile(path, &yaml, &error)) {
        GfLog(GF_LOG_ERROR, PART, "%s.", error.text);
        return;
    }
    json_t *document = GfControl_FirstDocument(yaml.data, &error);
    GfStr_Clear(&yaml);
    if (document == NULL) {
        GfLog(GF_LOG_ERROR, PART, "The first bundle is refused: %s.",
              error.text);
        return;
    }
    GfControl *after = GfControl_Create(0);
    GfControl_Apply(after, document, Entry_Now(entry), &error);
    GfParts *pool = GfParts_Create();
    GfPool_Adjust(pool, NULL, after);
    GfName head_key = GfName_Format("%s", HEAD_KEY);
    GfName pool_key = GfName_Format("%s", POOL_KEY);
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &head_key, 0);
    GfTxn_Check(txn, &pool_key, 0);
    GfTxn_Put(txn, &head_key, document);
    put_at(txn, document);
    GfTxn_Put(txn, &pool_key, GfParts_Save(pool));
    entry->bootstrapping = true;
    GfStore_Commit(entry->store, txn, on_bootstrapped, entry);
    GfTxn_Destroy(txn);
    GfParts_Destroy(pool);
    GfControl_Destroy(after);
}

/* Takes the control state that the store holds. */
static void
on_head(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->reading_control = false;
    if (kind != GF_OK || count == 0) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    take(entry, rows[0].value);
    json_t *version = json_object_get(rows[0].value, "version");
    GfControl_Confirm(entry->control, (uint64_t)json_integer_value(version),
                      entry->control_asked);
}

/* Takes the version that the store holds: it confirms the one in force, or
 * says that there is a newer one to read. */
static void
on_at(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->reading_control = false;
    if (kind != GF_OK) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    entry->store_heard = Entry_Now(entry);
    if (count == 0) {
        bootstrap(entry);
        return;
    }
    json_t *value = json_object_get(rows[0].value, "version");
    uint64_t version = (uint64_t)json_integer_value(value);
    GfControl_Confirm(entry->control, version, entry->control_asked);
    if (version > GfControl_Version(entry->control)) {
        entry->reading_control = true;
        GfStore_Read(entry->store, HEAD_KEY, on_head, entry);
    }
}

/* Asks the store for the version of the control state. */
void
EntryControl_Poll(GfEntry *entry)
{
    if (entry->reading_control) {
        return;
    }
    entry->reading_control = true;
    entry->control_asked = Entry_Now(entry);
    GfStore_Read(entry->store, AT_KEY, on_at, entry);
}

/* Takes the control state that a peer sent. */
static void
on_fetched(void *arg, const GfRpcOutcome *outcome)
{
    GfEntry *entry = arg;
    entry->fetching_control = false;
    if (outcome->kind != GF_OK) {
        return;
    }
    const gfx_control *control = outcome->result;
    json_t *document = json_loadb(control->document.document_val,
                                  control->document.document_len, 0, NULL);
    if (document != NULL) {
        take(entry, document);
        json_decref(document);
    }
}

/* Asks a peer that knows a higher version for the control state. */
void
EntryControl_FetchFrom(GfEntry *entry, const GfName *member)
{
    if (entry->fetching_control) {
        return;
    }
    gfx_control_ask ask = {.known_version = GfControl_Version(entry->control)};
    entry->fetching_control = true;
    if (!EntryPeers_Call(entry, member, GFX_CONTROL, &ask, sizeof(gfx_control),
                         FETCH_TIMEOUT_MS, on_fetched, entry)) {
        entry->fetching_control = false;
    }
}

/* Returns the names of the listed entries that do not yet have a version. */
json_t *
EntryControl_Missing(GfEntry *entry, uint64_t version)
{
    json_t *missing = json_array();
    if (GfControl_Version(entry->control) < version) {
        json_array_append_new(missing, json_string(entry->member.data));
    }
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        const GfMember *m = GfMembers_At(entry->members, i);
        if (m->control_version < version) {
            json_array_append_new(missing, json_string(m->name.data));
        }
    }
    return missing;
}

/* A change on its way into the store. */
typedef struct {
    GfEntry *entry;
    json_t *next;
    json_t *audit;
    GfRow head;
    GfAnswerCallback callback;
    void *arg;
} Change;

/* Ends a change with an answer. */
static void
end_change(Change *c, GfAnswer answer)
{
    c->callback(c->arg, &answer);
    GfAnswer_Clear(&answer);
    json_decref(c->head.value);
    json_decref(c->next);
    json_decref(c->audit);
    free(c);
}

/* Handles the outcome of a change's transaction. */
static void
on_changed(void *arg, const GfTxnOutcome *outcome)
{
    Change *c = arg;
    GfEntry *entry = c->entry;
    if (outcome->state == GF_TXN_COMMITTED) {
        take(entry, c->next);
        EntryPeers_SendBeats(entry);
        GfAnswer answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "committed");
        json_t *version = json_object_get(c->next, "version");
        GfAnswer_SetJson(&answer, json_pack("{s:O}", "version", version));
        end_change(c, answer);
    }
    else if (outcome->state == GF_TXN_CONFLICT) {
        end_change(c, GfAnswer_Make(GF_CONFLICT, GF_RAN_NO,
                                    "another change came first; look at the "
                                    "state in force and try again"));
    }
    else {
        bool surely = outcome->state == GF_TXN_REFUSED;
        end_change(c, GfAnswer_Make(GF_STORE_UNAVAILABLE,
                                    surely ? GF_RAN_NO : GF_RAN_UNKNOWN,
                                    "the store gave no answer"));
    }
}

/* Finds a row by its key, or NULL. */
static const GfRow *
find_row(const GfRow *rows, size_t count, const char *key)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].key.data, key) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

/* Commits a change under checks of the control row and the pool. */
static void
commit_change(Change *c, const GfRow *pool_row)
{
    GfEntry *entry = c->entry;
    const GfRow *head = &c->head;
    GfError error;
    json_int_t base =
        json_integer_value(json_object_get(head->value, "version"));
    json_int_t next = json_integer_value(json_object_get(c->next, "version"));
    if (next != base + 1) {
        end_change(c, GfAnswer_Make(GF_CONFLICT, GF_RAN_NO,
                                    "another change came first; look at the "
                                    "state in force and try again"));
        return;
    }
    GfControl *before = GfControl_Create(0);
    GfControl *after = GfControl_Create(0);
    GfParts *pool = GfParts_Create();
    if (!GfControl_Apply(before, head->value, Entry_Now(entry), &error) ||
        !GfControl_Apply(after, c->next, Entry_Now(entry), &error) ||
        !GfParts_Load(pool, pool_row->value, &error)) {
        GfAnswer refusal =
            GfAnswer_Make(error.kind, GF_RAN_NO, "%s", error.text);
        end_change(c, refusal);
    }
    else {
        GfPool_Adjust(pool, before, after);
        GfTxn *txn = GfTxn_Create();
        GfTxn_Check(txn, &head->key, head->version);
        GfTxn_Check(txn, &pool_row->key, pool_row->version);
        GfTxn_Put(txn, &head->key, json_incref(c->next));
        put_at(txn, c->next);
        GfTxn_Put(txn, &pool_row->key, GfParts_Save(pool));
        GfName audit_key = GfName_Format("audit/%012" PRId64, (int64_t)next);
        GfTxn_Check(txn, &audit_key, 0);
        GfTxn_Put(txn, &audit_key, json_incref(c->audit));
        GfStore_Commit(entry->store, txn, on_changed, c);
        GfTxn_Destroy(txn);
    }
    GfParts_Destroy(pool);
    GfControl_Destroy(before);
    GfControl_Destroy(after);
}

/* Goes on with a change once both rows have been read. */
static void
on_change_pool(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    Change *c = arg;
    const GfRow *pool = find_row(rows, count, POOL_KEY);
    if (kind != GF_OK || pool == NULL) {
        end_change(c, GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                                    "the store gave no answer"));
        return;
    }
    commit_change(c, pool);
}

/* Reads the pool after the control row. */
static void
on_change_head(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    Change *c = arg;
    const GfRow *head = find_row(rows, count, HEAD_KEY);
    if (kind != GF_OK || head == NULL) {
        end_change(c, GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                                    "the store gave no answer"));
        return;
    }
    c->head = *head;
    json_incref(c->head.value);
    GfStore_Read(c->entry->store, POOL_KEY, on_change_pool, c);
}

/* Commits the next control document with its audit record. Takes both
 * references. The answer says whether it was committed, lost a race, or has
 * an unknown outcome. */
void
EntryControl_Commit(GfEntry *entry, json_t *next, json_t *audit,
                    GfAnswerCallback callback, void *arg)
{
    Change *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    *c = (Change){.entry = entry, .next = next, .audit = audit};
    c->callback = callback;
    c->arg = arg;
    GfStore_Read(entry->store, HEAD_KEY, on_change_head, c);
}
