/* The settings of an entry that owns its share of the racks and partitions,
 * read from YAML and validated before use. Fields have the names of the keys
 * in the document. Entries of a cell use cell_settings.h instead. */
#ifndef GUAVAFLOW_SETTINGS_H
#define GUAVAFLOW_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"

/* An IPv4 address in dotted notation, owned by the settings, and a port. */
typedef struct {
    char *address;
    uint32_t port;
} GfEndpoint;

/* Times of the leases that an entry holds on workers. */
typedef struct {
    uint32_t ttl_ms;             /* validity of a lease */
    uint32_t renew_ms;           /* longest time that a worker delays its reply
                                  * to a renewal, unless its inventory changes
                                  * before */
    uint32_t margin_ms;          /* subtracted from ttl_ms by the holder */
    uint32_t task_lapse_ms;      /* workers stop tasks this long after the
                                  * last lease call */
    uint32_t command_timeout_ms; /* timeout of a call to a worker */
} GfLeaseSettings;

/* Limits on calls from clients. */
typedef struct {
    uint32_t max_body_bytes;    /* longest body of a call */
    uint32_t max_open_requests; /* more open calls are refused as busy */
    uint32_t rack_queue;        /* requests that may wait for one rack */
    uint32_t attempts;          /* attempts for one request in all */
    uint32_t max_connections;   /* open at a time; with so many, the one that
                                 * is inactive for longest gives way */
    uint32_t max_held_bytes;    /* memory for calls that are being read; above
                                 * it, the largest are refused */
    uint32_t drain_ms;          /* time from a stop until new connections are
                                 * refused, for the balancer to notice */
} GfFrontSettings;

typedef struct {
    char *member; /* name of this entry */
    char *region;
    char *failure_domain;       /* failure domain of this entry's host */
    GfEndpoint caller;          /* listens for clients */
    GfEndpoint peer;            /* listens for other entries */
    GfEndpoint peer_advertised; /* address that other entries call; optional,
                                 * peer if omitted */
    GfEndpoint platform;        /* the platform's store and host list */
    char *first_bundle;         /* path of the bundle that is written into an
                                 * empty store; NULL: none */
    uint32_t partitions;        /* number of job partitions; must be the same
                                 * at all entries */
    char *log_level;            /* NULL: unchanged */
    GfLeaseSettings lease;
    GfFrontSettings front;
} GfSettings;

GfSettings *GfSettings_Load(const char *path, GfError *error);
GfSettings *GfSettings_Parse(const char *text, size_t len, const char *path,
                             GfError *error);
void GfSettings_Destroy(GfSettings *settings);
void GfSettings_SetClientDefaults(uint32_t *max_connections,
                                  uint32_t *max_held_bytes);
bool GfSettings_CheckClientLimits(const char *path, const char *prefix,
                                  uint32_t max_body_bytes,
                                  uint32_t max_connections,
                                  uint32_t max_held_bytes, GfError *error);

#endif
