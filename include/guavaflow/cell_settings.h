/* The settings of an entry of a cell, where the entry that holds the current
 * token in the platform's store owns the cell. They are read from YAML and
 * validated before use. Entries without such a token use settings.h. */
#ifndef GUAVAFLOW_CELL_SETTINGS_H
#define GUAVAFLOW_CELL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/features.h"
#include "guavaflow/settings.h"

/* Further seeds in the settings are ignored. */
#define GF_MAX_SEEDS 8

/* The fields up to features hold the keys of the YAML document under
 * their own names; an optional text that is missing is NULL, an optional
 * number 0. Endpoints are texts of the form ADDRESS:PORT with an IPv4
 * address. The fields after features hold the same endpoints parsed. */
typedef struct {
    char *ownership;        /* "token" is the only allowed value */
    char *member;           /* name of this entry */
    char *failure_domain;   /* failure domain of this entry's host */
    char *front;            /* listens for clients */
    char *ready;            /* listens for the balancer's readiness checks */
    char *peer;             /* listens for other entries */
    char *peer_advertised;  /* address that other entries call; optional, peer
                             * if empty */
    char *store;            /* endpoint of the platform's store */
    char *advice;           /* endpoint of the advice service; optional */
    char *seeds;            /* entries to contact at startup, separated by
                             * commas; optional */
    char *log_level;        /* debug, info, warning or error; optional */
    uint32_t metrics_port;  /* serves metrics and state on the address of peer;
                             * 0: not served */
    double processor_share; /* processors available to this entry, 1.0 is one
                             * whole processor; 0: unknown */
    double link_mbps;       /* bandwidth of the network link in Mbit/s;
                             * 0: unknown */
    double stop_grace_s;    /* seconds from the stop signal until the platform
                             * kills the process */
    double longest_lease_ms;  /* longest lease in ms that workers accept */
    double keep_finished_s;   /* seconds that finished jobs are kept */
    uint32_t max_body_bytes;  /* longest body of a request of a client; 0: 1
                                 MiB */
    uint32_t max_connections; /* of clients; 0: default of server.h */
    uint32_t max_held_bytes;  /* for requests of clients that are being read;
                                 0: default of server.h */
    GfFeatures features;      /* keys overload_order to neighbour_separation;
                               * optional, false if missing */
    GfEndpoint front_endpoint;
    GfEndpoint ready_endpoint;
    GfEndpoint peer_endpoint;
    GfEndpoint peer_advertised_endpoint;
    GfEndpoint store_endpoint;
    GfEndpoint advice_endpoint; /* port 0: no advice service */
    GfEndpoint seed_endpoints[GF_MAX_SEEDS];
    size_t seed_count;
} GfCellEntrySettings;

bool GfCellEntrySettings_Matches(const char *text, size_t len);
GfCellEntrySettings *GfCellEntrySettings_Parse(const char *text, size_t len,
                                               const char *path,
                                               GfError *error);
GfCellEntrySettings *GfCellEntrySettings_Load(const char *path,
                                              GfError *error);
void GfCellEntrySettings_Destroy(GfCellEntrySettings *settings);

#endif
