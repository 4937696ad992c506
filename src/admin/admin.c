#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/sign.h"

#define PART "admin"
#define IN_FORCE_POLL_MS 50
#define IN_FORCE_TIMEOUT_MS 3000

/* A committed change of an operator, until it is in force at all entries or
 * IN_FORCE_TIMEOUT_MS have passed. */
typedef struct {
    GfEntry *entry;
    GfExchange *exchange;
    GfName operator_name;
    uint64_t version;         /* of the control state that has the change */
    struct timespec deadline; /* of the wait for the other entries */
    struct event *timer;
} AdminChange;

/* Answers an operator's call with an error. ran says whether the change was
 * made. */
static void
reply_error(GfExchange *exchange, GfErrorKind kind, GfRan ran,
            const char *text)
{
    GfAnswer answer = GfAnswer_Make(kind, ran, "%s", text);
    GfExchange_ReplyJson(exchange, GfError_HttpStatus(kind),
                         GfAnswer_ToJson(&answer, NULL));
}

/* Answers the operator once every known entry has the version, or, when the
 * time is up, with the names of those that don't. Until then it sends the
 * version with heartbeats and checks again after IN_FORCE_POLL_MS. */
static void
check_in_force(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    AdminChange *c = arg;
    json_t *missing = EntryControl_ListOutdatedMembers(c->entry, c->version);
    bool timed_out = !GfTime_Before(Entry_Now(c->entry), c->deadline);
    if (json_array_size(missing) > 0 && !timed_out) {
        json_decref(missing);
        EntryPeers_SendHeartbeats(c->entry);
        struct timeval tv = GfTime_ToTimeval(IN_FORCE_POLL_MS);
        evtimer_add(c->timer, &tv);
        return;
    }
    bool in_force = json_array_size(missing) == 0;
    GfLog(GF_LOG_INFO, PART,
          "control change committed version=%" PRIu64
          " operator=%s state=\"%s\"",
          c->version, c->operator_name.data,
          in_force ? "in force" : "not yet in force everywhere");
    GfExchange_ReplyJson(c->exchange, 200,
                         json_pack("{s:s,s:s,s:I,s:b,s:o}", "kind", "ok",
                                   "ran", "yes", "version",
                                   (json_int_t)c->version, "in_force",
                                   in_force, "missing", missing));
    event_free(c->timer);
    free(c);
}

/* Called when the commit of a change has completed: answers an error, or waits
 * until the change is in force everywhere. */
static void
on_committed(void *arg, const GfAnswer *answer)
{
    AdminChange *c = arg;
    if (answer->kind != GF_OK) {
        reply_error(c->exchange, answer->kind, answer->ran, answer->reason);
        free(c);
        return;
    }
    c->deadline = GfTime_AddMs(Entry_Now(c->entry), IN_FORCE_TIMEOUT_MS);
    c->timer = evtimer_new(c->entry->base, check_in_force, c);
    check_in_force(-1, 0, c);
}

/* Commits the next control document together with its audit record, and
 * answers the operator later. Takes over the references to next and audit. */
static void
commit_change(GfEntry *entry, GfExchange *exchange,
              const GfName *operator_name, json_t *next, json_t *audit)
{
    AdminChange *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->entry = entry;
    c->exchange = exchange;
    c->operator_name = *operator_name;
    c->version =
        (uint64_t)json_integer_value(json_object_get(next, "version"));
    json_object_set_new(audit, "who", json_string(operator_name->data));
    json_object_set_new(audit, "version",
                        json_integer((json_int_t)c->version));
    json_object_set_new(audit, "at_ms", json_integer(GfTime_WallMs()));
    const char *previous = json_string_value(
        json_object_get(GfControl_Document(entry->control), "audit_hash"));
    GfAudit_Link(audit, previous == NULL ? "" : previous);
    json_object_set(next, "audit_hash", json_object_get(audit, "hash"));
    EntryControl_Commit(entry, next, audit, on_committed, c);
}

/* Takes a failure domain out of service or returns it to service. */
static void
change_domain(GfEntry *entry, GfExchange *exchange,
              const GfName *operator_name, const json_t *body)
{
    GfError error;
    GfName domain;
    const char *name = json_string_value(json_object_get(body, "domain"));
    json_t *out = json_object_get(body, "out");
    if (name == NULL || !json_is_boolean(out) ||
        !GfName_SetText(&domain, name) || domain.len == 0) {
        reply_error(
            exchange, GF_BAD_REQUEST, GF_RAN_NO,
            "the body must be {\"domain\": NAME, \"out\": true or false}");
        return;
    }
    json_t *next = GfControl_WithDomain(GfControl_Document(entry->control),
                                        &domain, json_is_true(out), &error);
    if (next == NULL) {
        reply_error(exchange, error.kind, GF_RAN_NO, error.text);
        return;
    }
    commit_change(entry, exchange, operator_name, next,
                  json_pack("{s:s,s:s}", "what",
                            json_is_true(out) ? "domain out" : "domain in",
                            "domain", domain.data));
}

/* Puts another bundle in force after checking its signatures. */
static void
change_bundle(GfEntry *entry, GfExchange *exchange,
              const GfName *operator_name, const json_t *body)
{
    GfError error;
    const char *yaml = json_string_value(json_object_get(body, "bundle"));
    if (yaml == NULL) {
        reply_error(exchange, GF_BAD_REQUEST, GF_RAN_NO,
                    "the body must have the bundle's text in \"bundle\"");
        return;
    }
    const GfBundle *current = GfControl_Bundle(entry->control);
    json_t *signers = json_array();
    if (!GfSign_Check(current, yaml, json_object_get(body, "signatures"),
                      signers, &error)) {
        json_decref(signers);
        reply_error(exchange, error.kind, GF_RAN_NO, error.text);
        return;
    }
    json_t *next =
        GfControl_WithBundle(GfControl_Document(entry->control), yaml, &error);
    if (next == NULL) {
        json_decref(signers);
        reply_error(exchange,
                    error.kind == GF_BAD_CONFIG ? GF_BAD_REQUEST : error.kind,
                    GF_RAN_NO, error.text);
        return;
    }
    char hex[GF_KEY_HASH_HEX + 1];
    GfKey_Hash(yaml, strlen(yaml), hex);
    commit_change(entry, exchange, operator_name, next,
                  json_pack("{s:s,s:s,s:o}", "what", "bundle", "bundle_hash",
                            hex, "signers", signers));
}

/* Answers with the version of the control state, the bundle, the failure
 * domains that are out of service, and the names of the entries that have an
 * older version. */
static void
show_control(GfEntry *entry, GfExchange *exchange)
{
    const json_t *document = GfControl_Document(entry->control);
    json_t *missing = EntryControl_ListOutdatedMembers(
        entry, GfControl_Version(entry->control));
    GfExchange_ReplyJson(
        exchange, 200,
        json_pack("{s:I,s:O,s:O,s:o}", "version",
                  (json_int_t)GfControl_Version(entry->control), "bundle",
                  json_object_get(document, "bundle"), "domains_out",
                  json_object_get(document, "domains_out"), "missing",
                  missing));
}

/* Answers with the members that this entry knows, whether it has contact with
 * them, and the racks with their holders and free capacity. */
static void
show_members(GfEntry *entry, GfExchange *exchange)
{
    struct timespec now = Entry_Now(entry);
    json_t *list = json_array();
    json_array_append_new(
        list, json_pack("{s:s,s:b,s:b,s:I}", "name", entry->member.data,
                        "in_contact", 1, "leaving", (int)entry->stopping,
                        "control_version",
                        (json_int_t)GfControl_Version(entry->control)));
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        const GfMember *m = GfMembers_At(entry->members, i);
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:i,s:b,s:b,s:I}", "name", m->name.data,
                            "address", m->address, "port", (int)m->port,
                            "in_contact",
                            (int)GfMembers_InContact(entry->members, m, now),
                            "leaving", (int)m->leaving, "control_version",
                            (json_int_t)m->control_version));
    }
    json_t *racks = json_array();
    for (size_t i = 0; i < GfFleet_Count(entry->fleet); i++) {
        const GfRackView *v = GfFleet_At(entry->fleet, i);
        json_array_append_new(
            racks,
            json_pack("{s:s,s:s,s:b,s:i}", "rack", v->rack.data, "holder",
                      v->open ? v->holder.data : "", "open", (int)v->open,
                      "free_mcores", (int)v->free_mcores));
    }
    GfExchange_ReplyJson(
        exchange, 200,
        json_pack("{s:o,s:o}", "members", list, "racks", racks));
}

/* Answers with all audit records, as the store returned them. */
static void
on_audit(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfExchange *exchange = arg;
    if (kind != GF_OK) {
        reply_error(
            exchange, kind, GF_RAN_NO,
            "the audit records cannot be read: the store does not answer");
        return;
    }
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append(list, rows[i].value);
    }
    GfExchange_ReplyJson(exchange, 200, json_pack("{s:o}", "records", list));
}

/* Handles an operator's call under /v1/admin/. The exchange is answered here
 * or later; the text, the call's body, is a JSON object where one is needed.
 * operator_name is copied. */
void
EntryAdmin_Handle(GfEntry *entry, GfExchange *exchange,
                  const GfName *operator_name, const GfStr *text)
{
    const char *path = GfExchange_Path(exchange) + strlen("/v1/admin/");
    bool post = strcmp(GfExchange_Method(exchange), "POST") == 0;
    json_t *body =
        json_loadb(text->data, text->len, JSON_REJECT_DUPLICATES, NULL);
    if (post && !json_is_object(body)) {
        reply_error(exchange, GF_BAD_REQUEST, GF_RAN_NO,
                    "the body must be a JSON object");
    }
    else if (post && strcmp(path, "domain") == 0) {
        change_domain(entry, exchange, operator_name, body);
    }
    else if (post && strcmp(path, "bundle") == 0) {
        change_bundle(entry, exchange, operator_name, body);
    }
    else if (!post && strcmp(path, "control") == 0) {
        show_control(entry, exchange);
    }
    else if (!post && strcmp(path, "members") == 0) {
        show_members(entry, exchange);
    }
    else if (!post && strcmp(path, "audit") == 0) {
        GfStore_Read(entry->store, "audit/", on_audit, exchange);
    }
    else {
        reply_error(exchange, GF_NOT_FOUND, GF_RAN_NO,
                    "there is no such administration call");
    }
    json_decref(body);
}
