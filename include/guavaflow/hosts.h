/* The platform's list of live, leaving and gone hosts. */
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
    GF_HOST_LEAVING,
    GF_HOST_GONE,
    GF_HOST_STATES
} GfHostState;

typedef struct {
    GfName name;
    GfHostKind kind;
    GfHostState state;
    char address[64];
    uint16_t port;
    GfName rack;
    GfName domain;
    GfName service;
    uint32_t slots;
} GfHost;

typedef struct GfHosts GfHosts;
typedef void (*GfHostsCallback)(void *ctx, GfErrorKind kind,
                                const GfHost *hosts, size_t count);

GfHosts *GfHosts_Create(GfHttp *http, const char *address, uint16_t port,
                        GfHostsCallback callback, void *ctx);
void GfHosts_Poll(GfHosts *hosts);
void GfHosts_Destroy(GfHosts *hosts);
bool GfHost_Parse(const json_t *json, GfHost *host);

#endif
