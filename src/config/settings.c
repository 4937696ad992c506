#include "guavaflow/settings.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/name.h"
#include "guavaflow/server.h"
#include "guavaflow/yaml.h"

#define MAX_PORT 65535
#define MAX_PARTITIONS 256
#define MIN_TTL_MS 500
#define MAX_TTL_MS 60000
#define MAX_BODY_LIMIT_BYTES (1024 * 1024)
#define MIN_CONNECTIONS 8
#define MAX_CONNECTIONS 100000
/* A body takes up to twice its length in memory. */
#define MIN_HELD_BODIES 4
#define MIN_HELD_BYTES (256 * 1024)
#define MAX_HELD_LIMIT_BYTES (1024 * 1024 * 1024)
#define MIN_RENEW_MS 50
#define MIN_COMMAND_TIMEOUT_MS 50
#define MAX_ATTEMPTS 16

static const cyaml_schema_field_t ENDPOINT_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER, GfEndpoint, address,
                           1, 64),
    CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, GfEndpoint, port),
    CYAML_FIELD_END};

static const cyaml_schema_field_t LEASE_FIELDS[] = {
    CYAML_FIELD_UINT("ttl_ms", CYAML_FLAG_OPTIONAL, GfLeaseSettings, ttl_ms),
    CYAML_FIELD_UINT("renew_ms", CYAML_FLAG_OPTIONAL, GfLeaseSettings,
                     renew_ms),
    CYAML_FIELD_UINT("margin_ms", CYAML_FLAG_OPTIONAL, GfLeaseSettings,
                     margin_ms),
    CYAML_FIELD_UINT("task_lapse_ms", CYAML_FLAG_OPTIONAL, GfLeaseSettings,
                     task_lapse_ms),
    CYAML_FIELD_UINT("command_timeout_ms", CYAML_FLAG_OPTIONAL,
                     GfLeaseSettings, command_timeout_ms),
    CYAML_FIELD_END};

static const cyaml_schema_field_t FRONT_FIELDS[] = {
    CYAML_FIELD_UINT("max_body_bytes", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     max_body_bytes),
    CYAML_FIELD_UINT("max_open_requests", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     max_open_requests),
    CYAML_FIELD_UINT("rack_queue", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     rack_queue),
    CYAML_FIELD_UINT("attempts", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     attempts),
    CYAML_FIELD_UINT("max_connections", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     max_connections),
    CYAML_FIELD_UINT("max_held_bytes", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     max_held_bytes),
    CYAML_FIELD_UINT("drain_ms", CYAML_FLAG_OPTIONAL, GfFrontSettings,
                     drain_ms),
    CYAML_FIELD_END};

static const cyaml_schema_field_t FIELDS[] = {
    CYAML_FIELD_STRING_PTR("member", CYAML_FLAG_POINTER, GfSettings, member, 1,
                           32),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, GfSettings, region, 1,
                           32),
    CYAML_FIELD_STRING_PTR("failure_domain", CYAML_FLAG_POINTER, GfSettings,
                           failure_domain, 1, 32),
    CYAML_FIELD_MAPPING("caller", CYAML_FLAG_DEFAULT, GfSettings, caller,
                        ENDPOINT_FIELDS),
    CYAML_FIELD_MAPPING("peer", CYAML_FLAG_DEFAULT, GfSettings, peer,
                        ENDPOINT_FIELDS),
    CYAML_FIELD_MAPPING("peer_advertised", CYAML_FLAG_OPTIONAL, GfSettings,
                        peer_advertised, ENDPOINT_FIELDS),
    CYAML_FIELD_MAPPING("platform", CYAML_FLAG_DEFAULT, GfSettings, platform,
                        ENDPOINT_FIELDS),
    CYAML_FIELD_STRING_PTR("first_bundle",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           GfSettings, first_bundle, 1, 4096),
    CYAML_FIELD_UINT("partitions", CYAML_FLAG_OPTIONAL, GfSettings,
                     partitions),
    CYAML_FIELD_STRING_PTR("log_level",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           GfSettings, log_level, 1, 16),
    CYAML_FIELD_MAPPING("lease", CYAML_FLAG_OPTIONAL, GfSettings, lease,
                        LEASE_FIELDS),
    CYAML_FIELD_MAPPING("front", CYAML_FLAG_OPTIONAL, GfSettings, front,
                        FRONT_FIELDS),
    CYAML_FIELD_END};

static const cyaml_schema_value_t SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, GfSettings, FIELDS)};

/* Sets a setting to its default if it is omitted or 0: the schema loads an
 * omitted number as 0. */
static void
set_default(uint32_t *value, uint32_t default_value)
{
    if (*value == 0) {
        *value = default_value;
    }
}

/* Sets the defaults of all optional numbers. */
static void
set_defaults(GfSettings *s)
{
    set_default(&s->partitions, 16);
    set_default(&s->lease.ttl_ms, 4000);
    set_default(&s->lease.renew_ms, 1000);
    set_default(&s->lease.margin_ms, 200);
    set_default(&s->lease.task_lapse_ms, 20000);
    set_default(&s->lease.command_timeout_ms, 1000);
    set_default(&s->front.max_body_bytes, 65536);
    set_default(&s->front.max_open_requests, 4096);
    GfSettings_SetClientDefaults(&s->front.max_connections,
                                 &s->front.max_held_bytes);
    set_default(&s->front.rack_queue, 64);
    set_default(&s->front.attempts, 3);
    set_default(&s->front.drain_ms, 1000);
}

/* Checks that low <= value <= high. */
static bool
check_range(const char *path, const char *key, uint32_t value, uint32_t low,
            uint32_t high, GfError *error)
{
    if (value >= low && value <= high) {
        return true;
    }
    return GfError_Set(error, GF_BAD_CONFIG,
                       "%s: %s is %u; allowed is %u to %u", path, key, value,
                       low, high);
}

/* Sets the limits on all connections of clients together to their defaults if
 * they are omitted or 0. */
void
GfSettings_SetClientDefaults(uint32_t *max_connections,
                             uint32_t *max_held_bytes)
{
    set_default(max_connections, GF_SERVER_MAX_CONNECTIONS);
    set_default(max_held_bytes, GF_SERVER_MAX_HELD_BYTES);
}

/* Checks the limits on clients: their ranges, and that several bodies of the
 * longest kind can be read at a time. prefix is that of the keys. */
bool
GfSettings_CheckClientLimits(const char *path, const char *prefix,
                             uint32_t max_body_bytes, uint32_t max_connections,
                             uint32_t max_held_bytes, GfError *error)
{
    char body_key[64];
    char connections_key[64];
    char held_key[64];
    snprintf(body_key, sizeof(body_key), "%smax_body_bytes", prefix);
    snprintf(connections_key, sizeof(connections_key), "%smax_connections",
             prefix);
    snprintf(held_key, sizeof(held_key), "%smax_held_bytes", prefix);
    return check_range(path, body_key, max_body_bytes, 1, MAX_BODY_LIMIT_BYTES,
                       error) &&
           check_range(path, connections_key, max_connections, MIN_CONNECTIONS,
                       MAX_CONNECTIONS, error) &&
           check_range(path, held_key, max_held_bytes,
                       max_body_bytes * MIN_HELD_BODIES + MIN_HELD_BYTES,
                       MAX_HELD_LIMIT_BYTES, error);
}

/* Checks that an endpoint has an IPv4 address and a port from 1 to 65535. */
static bool
check_endpoint(const char *path, const char *key, const GfEndpoint *endpoint,
               GfError *error)
{
    struct in_addr address;
    if (inet_pton(AF_INET, endpoint->address, &address) != 1) {
        return GfError_Set(
            error, GF_BAD_CONFIG,
            "%s: %s.address is \"%s\"; allowed is an IPv4 address", path, key,
            endpoint->address);
    }
    char port_key[64];
    snprintf(port_key, sizeof(port_key), "%s.port", key);
    return check_range(path, port_key, endpoint->port, 1, MAX_PORT, error);
}

/* Checks that the name of a member, region or failure domain is a valid GfName
 * without '/'. */
static bool
check_name(const char *path, const char *key, const char *text, GfError *error)
{
    GfName name;
    if (GfName_SetText(&name, text) && strchr(text, '/') == NULL) {
        return true;
    }
    return GfError_Set(error, GF_BAD_CONFIG,
                       "%s: %s is \"%s\"; allowed are visible ASCII "
                       "characters except '/' and '\"'",
                       path, key, text);
}

/* Checks the ranges of the lease times and their relations: a lease must
 * outlast two renewals, and tasks must outlive their lease long enough for
 * another entry to take over the worker. */
static bool
check_lease(const char *path, const GfLeaseSettings *lease, GfError *error)
{
    if (!check_range(path, "lease.ttl_ms", lease->ttl_ms, MIN_TTL_MS,
                     MAX_TTL_MS, error) ||
        !check_range(path, "lease.renew_ms", lease->renew_ms, MIN_RENEW_MS,
                     MAX_TTL_MS, error) ||
        !check_range(path, "lease.command_timeout_ms",
                     lease->command_timeout_ms, MIN_COMMAND_TIMEOUT_MS,
                     MAX_TTL_MS, error)) {
        return false;
    }
    if (lease->renew_ms * 2 + lease->margin_ms > lease->ttl_ms) {
        return GfError_Set(
            error, GF_BAD_CONFIG,
            "%s: lease.ttl_ms is %u; it must be at least two renewals "
            "plus lease.margin_ms, which is %u",
            path, lease->ttl_ms, lease->renew_ms * 2 + lease->margin_ms);
    }
    if (lease->task_lapse_ms < lease->ttl_ms * 2) {
        return GfError_Set(
            error, GF_BAD_CONFIG,
            "%s: lease.task_lapse_ms is %u; it must be at least "
            "twice lease.ttl_ms, so that tasks keep running "
            "during a takeover",
            path, lease->task_lapse_ms);
    }
    return true;
}

/* Checks the names, endpoints, ranges and lease times. Sets the process's log
 * level if the settings have one. */
static bool
check_settings(const GfSettings *s, const char *path, GfError *error)
{
    if (!check_name(path, "member", s->member, error) ||
        !check_name(path, "region", s->region, error) ||
        !check_name(path, "failure_domain", s->failure_domain, error) ||
        !check_endpoint(path, "caller", &s->caller, error) ||
        !check_endpoint(path, "peer", &s->peer, error) ||
        !check_endpoint(path, "platform", &s->platform, error) ||
        !check_range(path, "partitions", s->partitions, 1, MAX_PARTITIONS,
                     error) ||
        !GfSettings_CheckClientLimits(path, "front.", s->front.max_body_bytes,
                                      s->front.max_connections,
                                      s->front.max_held_bytes, error) ||
        !check_range(path, "front.attempts", s->front.attempts, 1,
                     MAX_ATTEMPTS, error) ||
        !check_lease(path, &s->lease, error)) {
        return false;
    }
    if (s->peer_advertised.address != NULL &&
        !check_endpoint(path, "peer_advertised", &s->peer_advertised, error)) {
        return false;
    }
    if (s->caller.port == s->peer.port &&
        strcmp(s->caller.address, s->peer.address) == 0) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: caller and peer are both %s port %u; they "
                           "must be two endpoints",
                           path, s->caller.address, s->caller.port);
    }
    if (s->log_level != NULL && !GfLog_SetLevelByName(s->log_level)) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: log_level is \"%s\"; allowed are debug, info, "
                           "warning, error",
                           path, s->log_level);
    }
    return true;
}

/* Parses and validates len bytes of YAML and sets defaults; path only names
 * the document in errors. The caller frees the result with GfSettings_Destroy.
 * On failure returns NULL with a GF_BAD_CONFIG error that names the path, the
 * key and the allowed values. Also sets the process's log level. */
GfSettings *
GfSettings_Parse(const char *text, size_t len, const char *path,
                 GfError *error)
{
    assert(text != NULL && path != NULL);
    GfSettings *s = GfYaml_Load(text, len, path, &SCHEMA, error);
    if (s == NULL) {
        return NULL;
    }
    set_defaults(s);
    if (!check_settings(s, path, error)) {
        GfSettings_Destroy(s);
        return NULL;
    }
    return s;
}

/* Reads a file and parses it as GfSettings_Parse does. */
GfSettings *
GfSettings_Load(const char *path, GfError *error)
{
    GfStr text;
    if (!GfYaml_ReadFile(path, &text, error)) {
        return NULL;
    }
    GfSettings *s = GfSettings_Parse(text.data, text.len, path, error);
    GfStr_Clear(&text);
    return s;
}

/* Frees the settings with all their texts; NULL is allowed. */
void
GfSettings_Destroy(GfSettings *settings)
{
    if (settings != NULL) {
        GfYaml_Free(&SCHEMA, settings);
    }
}
