#include "guavaflow/cell_settings.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/name.h"
#include "guavaflow/yaml.h"

#define MAX_PORT 65535
/* Documents of this kind start with this key. */
#define FIRST_KEY "ownership:"
#define MAX_TEXT_BYTES 512
#define MIN_LONGEST_LEASE_MS 1000
#define MS_PER_S 1000
#define DEFAULT_BODY_BYTES (1024 * 1024)

#define STRING_FIELD(name, flags)                                             \
    CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER | (flags),               \
                           GfCellEntrySettings, name, 0, MAX_TEXT_BYTES)

#define FEATURE_FIELD(name)                                                   \
    CYAML_FIELD_BOOL(#name, CYAML_FLAG_OPTIONAL, GfCellEntrySettings,         \
                     features.name)

#define COUNT_FIELD(name)                                                     \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, GfCellEntrySettings, name)

static const cyaml_schema_field_t FIELDS[] = {
    STRING_FIELD(ownership, CYAML_FLAG_DEFAULT),
    STRING_FIELD(member, CYAML_FLAG_DEFAULT),
    STRING_FIELD(failure_domain, CYAML_FLAG_DEFAULT),
    STRING_FIELD(front, CYAML_FLAG_DEFAULT),
    STRING_FIELD(ready, CYAML_FLAG_DEFAULT),
    STRING_FIELD(peer, CYAML_FLAG_DEFAULT),
    STRING_FIELD(peer_advertised, CYAML_FLAG_OPTIONAL),
    STRING_FIELD(store, CYAML_FLAG_DEFAULT),
    STRING_FIELD(advice, CYAML_FLAG_OPTIONAL),
    STRING_FIELD(seeds, CYAML_FLAG_OPTIONAL),
    STRING_FIELD(log_level, CYAML_FLAG_OPTIONAL),
    CYAML_FIELD_UINT("metrics_port", CYAML_FLAG_OPTIONAL, GfCellEntrySettings,
                     metrics_port),
    CYAML_FIELD_FLOAT("processor_share", CYAML_FLAG_OPTIONAL,
                      GfCellEntrySettings, processor_share),
    CYAML_FIELD_FLOAT("link_mbps", CYAML_FLAG_OPTIONAL, GfCellEntrySettings,
                      link_mbps),
    CYAML_FIELD_FLOAT("stop_grace_s", CYAML_FLAG_DEFAULT, GfCellEntrySettings,
                      stop_grace_s),
    CYAML_FIELD_FLOAT("longest_lease_ms", CYAML_FLAG_DEFAULT,
                      GfCellEntrySettings, longest_lease_ms),
    CYAML_FIELD_FLOAT("keep_finished_s", CYAML_FLAG_DEFAULT,
                      GfCellEntrySettings, keep_finished_s),
    COUNT_FIELD(max_body_bytes),
    COUNT_FIELD(max_connections),
    COUNT_FIELD(max_held_bytes),
    FEATURE_FIELD(overload_order),
    FEATURE_FIELD(overload_refusal),
    FEATURE_FIELD(worker_speeds),
    FEATURE_FIELD(neighbour_separation),
    CYAML_FIELD_END};

static const cyaml_schema_value_t SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, GfCellEntrySettings, FIELDS)};

/* Returns true if the document holds the settings of an entry of a cell. Only
 * its first bytes are looked at: the key ownership must come first. */
bool
GfCellEntrySettings_Matches(const char *text, size_t len)
{
    return len >= strlen(FIRST_KEY) &&
           strncmp(text, FIRST_KEY, strlen(FIRST_KEY)) == 0;
}

/* Parses the len bytes of text as ADDRESS:PORT with an IPv4 address. path and
 * name are the file and the key for the error. out->address is allocated and
 * freed by the caller. Returns false with the error set on bad text; false
 * without one if out of memory. */
static bool
read_endpoint(const char *path, const char *name, const char *text, size_t len,
              GfEndpoint *out, GfError *error)
{
    char buffer[MAX_TEXT_BYTES];
    char *colon = NULL;
    if (len < sizeof(buffer)) {
        memcpy(buffer, text, len);
        buffer[len] = '\0';
        colon = strrchr(buffer, ':');
    }
    char *end = NULL;
    struct in_addr in;
    unsigned long port = 0;
    if (colon != NULL) {
        *colon = '\0';
        port = strtoul(colon + 1, &end, 10);
    }
    if (colon == NULL || *end != '\0' || port < 1 || port > MAX_PORT ||
        inet_pton(AF_INET, buffer, &in) != 1) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: %s is \"%.*s\"; allowed is an IPv4 address "
                           "with a port, such as 127.0.0.1:8000",
                           path, name, (int)len, text);
    }
    out->address = strdup(buffer);
    out->port = (uint32_t)port;
    return out->address != NULL;
}

/* Parses the seeds, endpoints separated by commas. Seeds after the first
 * GF_MAX_SEEDS are ignored. */
static bool
read_seeds(const char *path, GfCellEntrySettings *s, GfError *error)
{
    const char *rest = s->seeds == NULL ? "" : s->seeds;
    while (*rest != '\0' && s->seed_count < GF_MAX_SEEDS) {
        size_t len = strcspn(rest, ",");
        if (!read_endpoint(path, "seeds", rest, len,
                           &s->seed_endpoints[s->seed_count], error)) {
            return false;
        }
        s->seed_count++;
        rest += len;
        rest += *rest == ',';
    }
    return true;
}

/* Checks that a text is a valid GfName and not empty. */
static bool
check_name(const char *path, const char *name, const char *text,
           GfError *error)
{
    GfName out;
    if (text[0] == '\0' || !GfName_SetText(&out, text)) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: %s is \"%s\"; allowed are 1 to %d visible "
                           "ASCII characters except '\"'",
                           path, name, text, GF_NAME_MAX_BYTES);
    }
    return true;
}

/* Sets the defaults of the limits on clients. */
static void
set_defaults(GfCellEntrySettings *s)
{
    if (s->max_body_bytes == 0) {
        s->max_body_bytes = DEFAULT_BODY_BYTES;
    }
    GfSettings_SetClientDefaults(&s->max_connections, &s->max_held_bytes);
}

/* Checks all values and parses the endpoints. Sets the process's log level if
 * the settings have one. */
static bool
check_settings(const char *path, GfCellEntrySettings *s, GfError *error)
{
    if (strcmp(s->ownership, "token") != 0) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: ownership is \"%s\"; allowed is token", path,
                           s->ownership);
    }
    if (s->longest_lease_ms < MIN_LONGEST_LEASE_MS || s->stop_grace_s < 1 ||
        s->keep_finished_s < 1 || s->metrics_port > MAX_PORT ||
        s->processor_share < 0 || s->link_mbps < 0) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: allowed are longest_lease_ms from %d, "
                           "stop_grace_s and keep_finished_s from 1, "
                           "metrics_port to %d, processor_share and "
                           "link_mbps from 0",
                           path, MIN_LONGEST_LEASE_MS, MAX_PORT);
    }
    if (!GfSettings_CheckClientLimits(path, "", s->max_body_bytes,
                                      s->max_connections, s->max_held_bytes,
                                      error)) {
        return false;
    }
    if (s->log_level != NULL && s->log_level[0] != '\0' &&
        !GfLog_SetLevelByName(s->log_level)) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: log_level is \"%s\"; allowed are debug, info, "
                           "warning, error",
                           path, s->log_level);
    }
    const char *advertised = s->peer_advertised;
    if (advertised == NULL || advertised[0] == '\0') {
        advertised = s->peer;
    }
    bool has_advice = s->advice != NULL && s->advice[0] != '\0';
    return check_name(path, "member", s->member, error) &&
           check_name(path, "failure_domain", s->failure_domain, error) &&
           read_endpoint(path, "front", s->front, strlen(s->front),
                         &s->front_endpoint, error) &&
           read_endpoint(path, "ready", s->ready, strlen(s->ready),
                         &s->ready_endpoint, error) &&
           read_endpoint(path, "peer", s->peer, strlen(s->peer),
                         &s->peer_endpoint, error) &&
           read_endpoint(path, "peer_advertised", advertised,
                         strlen(advertised), &s->peer_advertised_endpoint,
                         error) &&
           read_endpoint(path, "store", s->store, strlen(s->store),
                         &s->store_endpoint, error) &&
           (!has_advice ||
            read_endpoint(path, "advice", s->advice, strlen(s->advice),
                          &s->advice_endpoint, error)) &&
           read_seeds(path, s, error);
}

/* Parses and validates len bytes of YAML; path only names the document in
 * errors. The caller frees the result with GfCellEntrySettings_Destroy. On
 * failure returns NULL with a GF_BAD_CONFIG error that names the path, the key
 * and the allowed values. Also sets the process's log level. */
GfCellEntrySettings *
GfCellEntrySettings_Parse(const char *text, size_t len, const char *path,
                          GfError *error)
{
    assert(text != NULL && path != NULL);
    GfCellEntrySettings *s = GfYaml_Load(text, len, path, &SCHEMA, error);
    if (s == NULL) {
        return NULL;
    }
    set_defaults(s);
    if (!check_settings(path, s, error)) {
        GfCellEntrySettings_Destroy(s);
        return NULL;
    }
    return s;
}

/* Reads a file and parses it as GfCellEntrySettings_Parse does. */
GfCellEntrySettings *
GfCellEntrySettings_Load(const char *path, GfError *error)
{
    GfStr text;
    if (!GfYaml_ReadFile(path, &text, error)) {
        return NULL;
    }
    GfCellEntrySettings *s =
        GfCellEntrySettings_Parse(text.data, text.len, path, error);
    GfStr_Clear(&text);
    return s;
}

/* Frees the settings with all their texts; NULL is allowed. */
void
GfCellEntrySettings_Destroy(GfCellEntrySettings *settings)
{
    if (settings == NULL) {
        return;
    }
    free(settings->front_endpoint.address);
    free(settings->ready_endpoint.address);
    free(settings->peer_endpoint.address);
    free(settings->peer_advertised_endpoint.address);
    free(settings->store_endpoint.address);
    free(settings->advice_endpoint.address);
    for (size_t i = 0; i < settings->seed_count; i++) {
        free(settings->seed_endpoints[i].address);
    }
    GfYaml_Free(&SCHEMA, settings);
}
