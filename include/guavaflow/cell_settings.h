/* The settings of an entry whose cell is owned by a token in the platform's
 * store, read from YAML and checked whole. */
#ifndef GUAVAFLOW_CELL_SETTINGS_H
#define GUAVAFLOW_CELL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/settings.h"

#define GF_MAX_SEEDS 8

typedef struct {
    char *ownership;
    char *member;
    char *failure_domain;
    char *front;
    char *ready;
    char *peer;
    char *peer_advertised; /* what other entries call; as peer if empty */
    char *store;
    char *advice;
    char *seeds;
    char *log_level;
    uint32_t metrics_port;
    double processor_share; /* of one processor */
    double link_mbps;
    double stop_grace_s;
    double longest_lease_ms;
    double keep_finished_s;
    GfEndpoint front_at;
    GfEndpoint ready_at;
    GfEndpoint peer_at;
    GfEndpoint peer_advertised_at;
    GfEndpoint store_at;
    GfEndpoint advice_at; /* port 0: none */
    GfEndpoint seed_at[GF_MAX_SEEDS];
    size_t seed_count;
} GfCellEntrySettings;

bool GfCellEntrySettings_Describes(const char *text, size_t len);
GfCellEntrySettings *GfCellEntrySettings_Parse(const char *text, size_t len,
                                               const char *path,
                                               GfError *error);
GfCellEntrySettings *GfCellEntrySettings_Load(const char *path,
                                              GfError *error);
void GfCellEntrySettings_Destroy(GfCellEntrySettings *settings);

#endif
