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
/* Rows of the store: the control document, its version alone, which is
 * cheap to poll, and the part of the teams' limits that no rack has been
 * allotted. */
#define CONTROL_KEY "control/head"
#define VERSION_KEY "control/at"
#define LIMIT_POOL_KEY "allot-pool"
#define FETCH_TIMEOUT_MS 1500

/* Applies a control document, from the store or from a peer, if its version is
 * higher than the current one. A document that cannot be read is logged and
 * ignored. The document is only read. */
static void
apply_document(GfEntry *entry, const json_t *document)
{
    GfError error;
    uint64_t before = GfControl_Version(entry->control);
    if (!GfControl_Apply(entry->control, document, Entry_Now(entry), &error)) {
        GfLog(GF_LOG_ERROR, PART, "control document rejected cause=%s",
              error.text);
        return;
    }
    uint64_t after = GfControl_Version(entry->control);
    if (after != before) {
        GfLog(GF_LOG_INFO, PART, "control document applied version=%" PRIu64,
              after);
    }
}

/* Handles the outcome of writing the first bundle. A conflict means that
 * another entry wrote its own first. */
static void
on_bootstrapped(void *arg, const GfTxnOutcome *outcome)
{
    GfEntry *entry = arg;
    entry->bootstrapping = false;
    if (outcome->state == GF_TXN_COMMITTED) {
        GfLog(GF_LOG_INFO, PART, "first bundle written to the store");
        EntryControl_Poll(entry);
    }
}

/* Adds to a transaction the row that holds only the document's version. */
static void
put_version_row(GfTxn *txn, const json_t *document)
{
    GfName key = GfName_Format("%s", VERSION_KEY);
    GfTxn_Put(
        txn, &key,
        json_pack("{s:O}", "version", json_object_get(document, "version")));
}

/* Writes the bundle of the settings file and the pool of its limits into an
 * empty store. The transaction checks that both rows are absent, so of several
 * entries one succeeds. */
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
        GfLog(GF_LOG_ERROR, PART, "first bundle rejected cause=%s",
              error.text);
        return;
    }
    GfControl *after = GfControl_Create(0);
    GfControl_Apply(after, document, Entry_Now(entry), &error);
    GfAllotments *pool = GfAllotments_Create();
    GfPool_Adjust(pool, NULL, after);
    GfName head_key = GfName_Format("%s", CONTROL_KEY);
    GfName pool_key = GfName_Format("%s", LIMIT_POOL_KEY);
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &head_key, 0);
    GfTxn_Check(txn, &pool_key, 0);
    GfTxn_Put(txn, &head_key, document);
    put_version_row(txn, document);
    GfTxn_Put(txn, &pool_key, GfAllotments_Save(pool));
    entry->bootstrapping = true;
    GfStore_Commit(entry->store, txn, on_bootstrapped, entry);
    GfTxn_Destroy(txn);
    GfAllotments_Destroy(pool);
    GfControl_Destroy(after);
}

/* Applies the control document read from the store. */
static void
on_control_read(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->control_read_pending = false;
    if (kind != GF_OK || count == 0) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    apply_document(entry, rows[0].value);
    json_t *version = json_object_get(rows[0].value, "version");
    GfControl_Confirm(entry->control, (uint64_t)json_integer_value(version),
                      entry->control_read_at);
}

/* Handles the version read from the store: confirms the current state if there
 * is no newer one, as of the time when the read was sent; otherwise reads the
 * whole document. An empty store gets the first bundle. */
static void
on_version_read(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->control_read_pending = false;
    if (kind != GF_OK) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    entry->store_contact = Entry_Now(entry);
    if (count == 0) {
        bootstrap(entry);
        return;
    }
    json_t *value = json_object_get(rows[0].value, "version");
    uint64_t version = (uint64_t)json_integer_value(value);
    GfControl_Confirm(entry->control, version, entry->control_read_at);
    if (version > GfControl_Version(entry->control)) {
        entry->control_read_pending = true;
        GfStore_Read(entry->store, CONTROL_KEY, on_control_read, entry);
    }
}

/* Reads the version of the control state from the store, unless a read is in
 * progress. */
void
EntryControl_Poll(GfEntry *entry)
{
    if (entry->control_read_pending) {
        return;
    }
    entry->control_read_pending = true;
    entry->control_read_at = Entry_Now(entry);
    GfStore_Read(entry->store, VERSION_KEY, on_version_read, entry);
}

/* Applies the control document that a peer sent. */
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
        apply_document(entry, document);
        json_decref(document);
    }
}

/* Requests the control document from a peer that reported a higher version,
 * unless such a request is in progress. Peers can have it while the store is
 * unreachable. */
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

/* Returns a new array of the names of the members, this entry included, that
 * are not known to have applied the given version. The caller owns it. */
json_t *
EntryControl_ListOutdatedMembers(GfEntry *entry, uint64_t version)
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

/* A change of the control state while it is being committed. Owns its JSON
 * values. */
typedef struct {
    GfEntry *entry;
    json_t *next;
    json_t *audit;
    GfRow head;
    GfAnswerCallback callback;
    void *arg;
} ControlChange;

/* Reports the answer to the caller, clears it and frees the change. */
static void
finish_change(ControlChange *c, GfAnswer answer)
{
    c->callback(c->arg, &answer);
    GfAnswer_Clear(&answer);
    json_decref(c->head.value);
    json_decref(c->next);
    json_decref(c->audit);
    free(c);
}

/* Handles the outcome of the transaction. The new state is applied here and
 * announced to the peers at once. */
static void
on_change_committed(void *arg, const GfTxnOutcome *outcome)
{
    ControlChange *c = arg;
    GfEntry *entry = c->entry;
    if (outcome->state == GF_TXN_COMMITTED) {
        apply_document(entry, c->next);
        EntryPeers_SendHeartbeats(entry);
        GfAnswer answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "committed");
        json_t *version = json_object_get(c->next, "version");
        GfAnswer_SetJson(&answer, json_pack("{s:O}", "version", version));
        finish_change(c, answer);
    }
    else if (outcome->state == GF_TXN_CONFLICT) {
        finish_change(
            c, GfAnswer_Make(GF_CONFLICT, GF_RAN_NO,
                             "another change was committed first; read "
                             "the current control state and try again"));
    }
    else {
        bool not_run = outcome->state == GF_TXN_REFUSED;
        finish_change(
            c, GfAnswer_Make(
                   GF_STORE_UNAVAILABLE, not_run ? GF_RAN_NO : GF_RAN_UNKNOWN,
                   "the store did not confirm the commit of the change"));
    }
}

/* Returns the row with the given key, or NULL; a read by prefix can return
 * other rows too. */
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

/* Commits a change, on condition that neither the control row nor the limit
 * pool has changed since they were read. The pool is adjusted to the changed
 * limits in the same transaction. The audit row is keyed by the version and
 * must not exist, so each version has one record. Answers GF_CONFLICT if the
 * change does not follow the version that was read. */
static void
commit_change(ControlChange *c, const GfRow *pool_row)
{
    GfEntry *entry = c->entry;
    const GfRow *head = &c->head;
    GfError error;
    json_int_t base =
        json_integer_value(json_object_get(head->value, "version"));
    json_int_t next = json_integer_value(json_object_get(c->next, "version"));
    if (next != base + 1) {
        finish_change(
            c, GfAnswer_Make(GF_CONFLICT, GF_RAN_NO,
                             "another change was committed first; read "
                             "the current control state and try again"));
        return;
    }
    GfControl *before = GfControl_Create(0);
    GfControl *after = GfControl_Create(0);
    GfAllotments *pool = GfAllotments_Create();
    if (!GfControl_Apply(before, head->value, Entry_Now(entry), &error) ||
        !GfControl_Apply(after, c->next, Entry_Now(entry), &error) ||
        !GfAllotments_Load(pool, pool_row->value, &error)) {
        GfAnswer refusal =
            GfAnswer_Make(error.kind, GF_RAN_NO, "%s", error.text);
        finish_change(c, refusal);
    }
    else {
        GfPool_Adjust(pool, before, after);
        GfTxn *txn = GfTxn_Create();
        GfTxn_Check(txn, &head->key, head->version);
        GfTxn_Check(txn, &pool_row->key, pool_row->version);
        GfTxn_Put(txn, &head->key, json_incref(c->next));
        put_version_row(txn, c->next);
        GfTxn_Put(txn, &pool_row->key, GfAllotments_Save(pool));
        GfName audit_key = GfName_Format("audit/%012" PRId64, (int64_t)next);
        GfTxn_Check(txn, &audit_key, 0);
        GfTxn_Put(txn, &audit_key, json_incref(c->audit));
        GfStore_Commit(entry->store, txn, on_change_committed, c);
        GfTxn_Destroy(txn);
    }
    GfAllotments_Destroy(pool);
    GfControl_Destroy(before);
    GfControl_Destroy(after);
}

/* Commits the change after the limit pool was read. */
static void
on_change_pool_read(void *arg, GfErrorKind kind, const GfRow *rows,
                    size_t count)
{
    ControlChange *c = arg;
    const GfRow *pool = find_row(rows, count, LIMIT_POOL_KEY);
    if (kind != GF_OK || pool == NULL) {
        finish_change(
            c,
            GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                          "the limit pool could not be read from the store"));
        return;
    }
    commit_change(c, pool);
}

/* Reads the limit pool after the control row. */
static void
on_change_control_read(void *arg, GfErrorKind kind, const GfRow *rows,
                       size_t count)
{
    ControlChange *c = arg;
    const GfRow *head = find_row(rows, count, CONTROL_KEY);
    if (kind != GF_OK || head == NULL) {
        finish_change(
            c, GfAnswer_Make(
                   GF_STORE_UNAVAILABLE, GF_RAN_NO,
                   "the control state could not be read from the store"));
        return;
    }
    c->head = *head;
    json_incref(c->head.value);
    GfStore_Read(c->entry->store, LIMIT_POOL_KEY, on_change_pool_read, c);
}

/* Commits a new control document together with its audit record. next must
 * have the version after that in the store. Takes the references to both. The
 * callback gets GF_OK and the version if it was committed, GF_CONFLICT if
 * another change was committed first, GF_STORE_UNAVAILABLE if the store could
 * not be read or did not confirm the commit, and another error if a document
 * is malformed. Only GF_RAN_UNKNOWN leaves open whether it was committed. */
void
EntryControl_Commit(GfEntry *entry, json_t *next, json_t *audit,
                    GfAnswerCallback callback, void *arg)
{
    ControlChange *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    *c = (ControlChange){.entry = entry, .next = next, .audit = audit};
    c->callback = callback;
    c->arg = arg;
    GfStore_Read(entry->store, CONTROL_KEY, on_change_control_read, c);
}
