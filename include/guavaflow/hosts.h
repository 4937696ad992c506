/* Reader of the platform's list of hosts: the workers, targets and entries
 * with their addresses and states. The list has a version, and a poll fetches
 * it only if the version has changed. */
#ifndef GUAVAFLOW_HOSTS_H
#define GUAVAFLOW_HOSTS_H

#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/http.h"
#include "guavaflow/name.h"

typedef enum {
    GF_HOST_WORKER,
    GF_HOST_TARGET,
    GF_HOST_ENTRY,
    GF_HOST_KINDS
} GfHostKind;

typedef enum {
    GF_HOST_LIVE,
    GF_HOST_LEAVING, /* still up, but gets no new work */
    GF_HOST_GONE,
    GF_HOST_STATES
} GfHostState;

/* One host. rack, domain and service may be empty. */
typedef struct {
    GfName name;
    GfHostKind kind;
    GfHostState state;
    char address[64];
    uint16_t port;
    GfName rack;
    GfName domain;  /* failure domain */
    GfName service; /* that a target serves */
    uint32_t slots; /* requests that a target serves at a time */
} GfHost;

typedef struct GfHosts GfHosts;

/* Receives the list when it has changed: kind is GF_OK, and hosts is valid
 * during the call only. If it could not be read, kind is
 * GF_STORE_UNAVAILABLE and count 0. */
typedef void (*GfHostsCallback)(void *ctx, GfErrorKind kind,
                                const GfHost *hosts, size_t count);

GfHosts *GfHosts_Create(GfHttp *http, const char *address, uint16_t port,
                        GfHostsCallback callback, void *ctx);
void GfHosts_Poll(GfHosts *hosts);
void GfHosts_Destroy(GfHosts *hosts);
bool GfHost_Parse(const json_t *json, GfHost *host);

#endif
