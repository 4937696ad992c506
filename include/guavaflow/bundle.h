/* The bundle: teams, keys, shares, upper limits, services and the members who
 * sign. Parsed from YAML and checked whole. */
#ifndef GUAVAFLOW_BUNDLE_H
#define GUAVAFLOW_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define GF_KEY_HASH_HEX 64

typedef struct GfBundle GfBundle;

typedef struct {
    GfName name;
    uint32_t share;
    uint64_t limit_mcores;
    uint32_t limit_requests;
} GfTeam;

typedef struct {
    GfName name;
    bool open;
    uint32_t slots;
    uint32_t request_limit_ms;
} GfService;

GfBundle *GfBundle_Parse(const char *text, size_t len, const char *path,
                         GfError *error);
void GfBundle_Destroy(GfBundle *bundle);
uint64_t GfBundle_Version(const GfBundle *bundle);
uint32_t GfBundle_Quorum(const GfBundle *bundle);
size_t GfBundle_TeamCount(const GfBundle *bundle);
const GfTeam *GfBundle_TeamAt(const GfBundle *bundle, size_t index);
const GfTeam *GfBundle_FindTeam(const GfBundle *bundle, const GfName *name);
const GfTeam *GfBundle_TeamOfKey(const GfBundle *bundle, const char *key);
const char *GfBundle_OperatorOfKey(const GfBundle *bundle, const char *key);
size_t GfBundle_KeyCount(const GfBundle *bundle, size_t team);
const char *GfBundle_KeyAt(const GfBundle *bundle, size_t team, size_t index);
size_t GfBundle_ServiceCount(const GfBundle *bundle);
const GfService *GfBundle_ServiceAt(const GfBundle *bundle, size_t index);
const GfService *GfBundle_FindService(const GfBundle *bundle,
                                      const GfName *name);
size_t GfBundle_MemberCount(const GfBundle *bundle);
const char *GfBundle_MemberName(const GfBundle *bundle, size_t index);
const char *GfBundle_MemberKey(const GfBundle *bundle, size_t index);

void GfKey_Hash(const char *key, size_t len, char hex[GF_KEY_HASH_HEX + 1]);
GfStr GfKey_New(const GfName *team);

#endif
