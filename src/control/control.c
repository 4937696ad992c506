#include "guavaflow/control.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Failure domains whose return to service is remembered. */
#define MAX_RETURNED 64
/* Recorded lowerings of a team's limit; older ones are dropped. */
#define MAX_LOWERINGS_PER_TEAM 32
/* Stands for the path in errors about a bundle from a control document. */
#define BUNDLE_ERROR_PATH "bundle"

/* A failure domain that returned to service. */
typedef struct {
    GfName domain;
    struct timespec since;
} ReturnedDomain;

struct GfControl {
    int32_t confirm_ms;
    json_t *document;
    GfBundle *bundle;
    uint64_t version;
    bool confirmed;
    struct timespec confirmed_at; /* when the confirming request was sent */
    ReturnedDomain returned[MAX_RETURNED];
    size_t returned_count;
};

/* Creates a control state without a document. A confirmation is valid for
 * confirm_ms milliseconds. Free with GfControl_Destroy. */
GfControl *
GfControl_Create(int32_t confirm_ms)
{
    GfControl *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->confirm_ms = confirm_ms;
    return c;
}

/* Frees the control state. NULL is allowed. */
void
GfControl_Destroy(GfControl *control)
{
    if (control != NULL) {
        json_decref(control->document);
        GfBundle_Destroy(control->bundle);
        free(control);
    }
}

/* Returns the version of a document, or 0 if it has none. */
static uint64_t
document_version(const json_t *document)
{
    json_t *version = json_object_get(document, "version");
    return json_is_integer(version) ? (uint64_t)json_integer_value(version)
                                    : 0;
}

/* Returns whether a document lists a failure domain as out of service. */
static bool
is_listed_out(const json_t *document, const char *domain)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(document, "domains_out"), i, item)
    {
        const char *name = json_string_value(item);
        if (name != NULL && strcmp(name, domain) == 0) {
            return true;
        }
    }
    return false;
}

/* Records the failure domains that are out of service in the current document
 * but not in the next one. */
static void
record_returned_domains(GfControl *c, const json_t *next, struct timespec now)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(c->document, "domains_out"), i, item)
    {
        const char *name = json_string_value(item);
        if (name == NULL || is_listed_out(next, name)) {
            continue;
        }
        size_t slot = 0;
        GfName domain;
        GfName_SetText(&domain, name);
        while (slot < c->returned_count &&
               !GfName_Equal(&c->returned[slot].domain, &domain)) {
            slot++;
        }
        if (slot < MAX_RETURNED) {
            c->returned[slot] =
                (ReturnedDomain){.domain = domain, .since = now};
            c->returned_count += slot == c->returned_count;
        }
    }
}

/* Puts a document in force if its version is higher than the current one; an
 * older or equal one is ignored without an error. Fails with GF_PROTOCOL if
 * the version or the bundle is missing and with GF_BAD_CONFIG if the bundle is
 * invalid; then the current document stays in force. The document is copied.
 */
bool
GfControl_Apply(GfControl *control, const json_t *document,
                struct timespec now, GfError *error)
{
    uint64_t version = document_version(document);
    if (version <= control->version && version != 0) {
        return true;
    }
    const char *yaml = json_string_value(json_object_get(document, "bundle"));
    if (version == 0 || yaml == NULL) {
        return GfError_Set(error, GF_PROTOCOL,
                           "the control document has no version or no bundle");
    }
    GfBundle *bundle =
        GfBundle_Parse(yaml, strlen(yaml), BUNDLE_ERROR_PATH, error);
    if (bundle == NULL) {
        return false;
    }
    record_returned_domains(control, document, now);
    GfBundle_Destroy(control->bundle);
    json_decref(control->document);
    control->bundle = bundle;
    control->document = json_deep_copy(document);
    control->version = version;
    return true;
}

/* Notes that the store or a peer, asked at sent_at, knew no version above the
 * given one. Ignored if this entry has an older version, or none. */
void
GfControl_Confirm(GfControl *control, uint64_t version,
                  struct timespec sent_at)
{
    if (version > control->version || control->version == 0) {
        return;
    }
    if (!control->confirmed || GfTime_Before(control->confirmed_at, sent_at)) {
        control->confirmed = true;
        control->confirmed_at = sent_at;
    }
}

/* Returns whether the version in force was confirmed less than confirm_ms ago.
 * If not, no work may be accepted or started. */
bool
GfControl_IsConfirmed(const GfControl *control, struct timespec now)
{
    return control->confirmed && control->bundle != NULL &&
           GfTime_DiffMs(now, control->confirmed_at) < control->confirm_ms;
}

/* Returns the version in force, or 0 if there is none. */
uint64_t
GfControl_Version(const GfControl *control)
{
    return control->version;
}

/* Returns the document in force, or NULL. It belongs to the control state and
 * is valid until the next GfControl_Apply. */
const json_t *
GfControl_Document(const GfControl *control)
{
    return control->document;
}

/* Returns the bundle in force, or NULL. It belongs to the control state and is
 * valid until the next GfControl_Apply. */
const GfBundle *
GfControl_Bundle(const GfControl *control)
{
    return control->bundle;
}

/* Returns whether a failure domain is out of service. */
bool
GfControl_DomainIsOut(const GfControl *control, const GfName *domain)
{
    return is_listed_out(control->document, domain->data);
}

/* Returns whether this entry saw a failure domain return to service, and sets
 * *since to the time of its last return. */
bool
GfControl_DomainReturned(const GfControl *control, const GfName *domain,
                         struct timespec *since)
{
    for (size_t i = 0; i < control->returned_count; i++) {
        if (GfName_Equal(&control->returned[i].domain, domain)) {
            *since = control->returned[i].since;
            return true;
        }
    }
    return false;
}

/* Returns amount * to / from, rounded down. An amount is never increased; with
 * a limit of 0 before, it is 0. */
static uint64_t
scale_down(uint64_t amount, json_t *from, json_t *to)
{
    uint64_t old = (uint64_t)json_integer_value(from);
    uint64_t new = (uint64_t)json_integer_value(to);
    if (old == 0 || new >= old) {
        return old == 0 ? 0 : amount;
    }
    return (uint64_t)((__uint128_t)amount * new / old);
}

/* Returns what is left of an amount granted at version base_version of the
 * control state, after every lowering of the team's limit since then. Each
 * holder of a part of the limit scales it by this rule, so the sum of the
 * parts stays within the lowered limit. If a lowering since base_version is no
 * longer recorded, nothing is left. */
GfQuota
GfControl_ScaleGrant(const GfControl *control, const GfName *team,
                     GfQuota amount, uint64_t base_version)
{
    json_t *limits = json_object_get(control->document, "lowerings");
    json_t *list = json_object_get(limits, team->data);
    json_t *newest_dropped = json_object_get(limits, "");
    if ((uint64_t)json_integer_value(newest_dropped) > base_version) {
        return (GfQuota){0};
    }
    size_t i;
    json_t *step;
    json_array_foreach(list, i, step)
    {
        uint64_t version =
            (uint64_t)json_integer_value(json_array_get(step, 0));
        if (version <= base_version) {
            continue;
        }
        amount.mcores = scale_down(amount.mcores, json_array_get(step, 1),
                                   json_array_get(step, 2));
        amount.requests = scale_down(amount.requests, json_array_get(step, 3),
                                     json_array_get(step, 4));
    }
    return amount;
}

/* Builds the document with version 1 from a bundle. Returns NULL with an error
 * if the bundle is invalid. The caller owns the document. */
json_t *
GfControl_FirstDocument(const char *bundle_yaml, GfError *error)
{
    GfBundle *bundle = GfBundle_Parse(bundle_yaml, strlen(bundle_yaml),
                                      BUNDLE_ERROR_PATH, error);
    if (bundle == NULL) {
        return NULL;
    }
    GfBundle_Destroy(bundle);
    return json_pack("{s:i,s:s,s:[],s:{}}", "version", 1, "bundle",
                     bundle_yaml, "domains_out", "lowerings");
}

/* Returns a copy of a document with the next version. */
static json_t *
next_version(const json_t *document)
{
    json_t *next = json_deep_copy(document);
    json_object_set_new(
        next, "version",
        json_integer((json_int_t)document_version(document) + 1));
    return next;
}

/* Records that a team's limit was lowered, or the team removed (new is NULL).
 * The version of the newest dropped record is kept under the empty team name:
 * the lowerings of later versions are all recorded. Increases need no record.
 */
static void
record_lowering(json_t *next, const GfName *name, const GfTeam *old,
                const GfTeam *new)
{
    uint64_t mcores = new == NULL ? 0 : new->limit_mcores;
    uint32_t requests = new == NULL ? 0 : new->limit_requests;
    if (mcores >= old->limit_mcores && requests >= old->limit_requests) {
        return;
    }
    json_t *lowerings = json_object_get(next, "lowerings");
    json_t *list = json_object_get(lowerings, name->data);
    if (list == NULL) {
        list = json_array();
        json_object_set_new(lowerings, name->data, list);
    }
    /* [version, millicores before, after, requests before, after] */
    json_array_append_new(
        list, json_pack("[I,I,I,i,i]", (json_int_t)document_version(next),
                        (json_int_t)old->limit_mcores, (json_int_t)mcores,
                        (int)old->limit_requests, (int)requests));
    if (json_array_size(list) > MAX_LOWERINGS_PER_TEAM) {
        json_t *first = json_array_get(json_array_get(list, 0), 0);
        json_int_t dropped_version = json_integer_value(first);
        json_t *newest_dropped = json_object_get(lowerings, "");
        if (dropped_version > json_integer_value(newest_dropped)) {
            json_object_set_new(lowerings, "", json_integer(dropped_version));
        }
        json_array_remove(list, 0);
    }
}

/* Returns the document that follows the given one with another bundle; the
 * caller owns it. Returns NULL with GF_BAD_CONFIG if a bundle is invalid, or
 * with GF_CONFLICT unless the version of the bundle is one higher than that of
 * the bundle in force. */
json_t *
GfControl_WithBundle(const json_t *document, const char *bundle_yaml,
                     GfError *error)
{
    const char *old_yaml =
        json_string_value(json_object_get(document, "bundle"));
    GfBundle *old =
        GfBundle_Parse(old_yaml, strlen(old_yaml), BUNDLE_ERROR_PATH, error);
    GfBundle *new = GfBundle_Parse(bundle_yaml, strlen(bundle_yaml),
                                   BUNDLE_ERROR_PATH, error);
    json_t *next = NULL;
    if (old == NULL || new == NULL) {
        GfBundle_Destroy(old);
        GfBundle_Destroy(new);
        return NULL;
    }
    if (GfBundle_Version(new) != GfBundle_Version(old) + 1) {
        GfError_Set(error, GF_CONFLICT,
                    "the bundle has version %llu; the one in force has %llu, "
                    "so the next must have %llu",
                    (unsigned long long)GfBundle_Version(new),
                    (unsigned long long)GfBundle_Version(old),
                    (unsigned long long)GfBundle_Version(old) + 1);
    }
    else {
        next = next_version(document);
        json_object_set_new(next, "bundle", json_string(bundle_yaml));
        for (size_t i = 0; i < GfBundle_TeamCount(old); i++) {
            const GfTeam *team = GfBundle_TeamAt(old, i);
            record_lowering(next, &team->name, team,
                            GfBundle_FindTeam(new, &team->name));
        }
    }
    GfBundle_Destroy(old);
    GfBundle_Destroy(new);
    return next;
}

/* Returns the document that follows the given one with a failure domain taken
 * out of service or returned to it; the caller owns it. Returns NULL with
 * GF_CONFLICT if the domain is in that state already. */
json_t *
GfControl_WithDomain(const json_t *document, const GfName *domain, bool out,
                     GfError *error)
{
    if (is_listed_out(document, domain->data) == out) {
        GfError_Set(error, GF_CONFLICT, "failure domain %s is already %s",
                    domain->data, out ? "out" : "in");
        return NULL;
    }
    json_t *next = next_version(document);
    json_t *list = json_object_get(next, "domains_out");
    if (out) {
        json_array_append_new(list, json_string(domain->data));
        return next;
    }
    for (size_t i = json_array_size(list); i > 0; i--) {
        const char *name = json_string_value(json_array_get(list, i - 1));
        if (name != NULL && strcmp(name, domain->data) == 0) {
            json_array_remove(list, i - 1);
        }
    }
    return next;
}
