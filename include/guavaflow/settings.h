/* The settings of one entry, read from YAML and checked whole. */
#ifndef GUAVAFLOW_SETTINGS_H
#define GUAVAFLOW_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"

typedef struct {
    char *address;
    uint32_t port;
} GfEndpoint;

typedef struct {
    uint32_t ttl_ms;
    uint32_t renew_ms;
    uint32_t margin_ms;
    uint32_t task_lapse_ms;
    uint32_t command_timeout_ms;
} GfLeaseSettings;

typedef struct {
    uint32_t max_body_bytes;
    uint32_t max_open_requests;
    uint32_t rack_queue;
    uint32_t attempts;
    uint32_t drain_ms;
} GfFrontSettings;

typedef struct {
    char *member;
    char *region;
    char *failure_domain;
    GfEndpoint caller;
    GfEndpoint peer;
    GfEndpoint peer_advertised;
    GfEndpoint platform;
    char *first_bundle;
    uint32_t partitions;
    char *log_level;
    GfLeaseSettings lease;
    GfFrontSettings front;
} GfSettings;

GfSettings *GfSettings_Load(const char *path, GfError *error);
GfSettings *GfSettings_Parse(const char *text, size_t len, const char *path,
                             GfError *error);
void GfSettings_Destroy(GfSettings *settings);

#endif
