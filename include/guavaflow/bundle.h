/* The bundle, which is the configuration that the members sign: teams with
 * their keys, shares and upper limits, services, operators, and the members
 * themselves. It is parsed from YAML and checked as a whole; a parsed bundle
 * never changes.
 *
 * Pointers that its functions return belong to the bundle and are valid until
 * it is destroyed.
 */
#ifndef GUAVAFLOW_BUNDLE_H
#define GUAVAFLOW_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

/* Hexadecimal digits of a hash by GfKey_Hash, without the ending NUL. */
#define GF_KEY_HASH_HEX 64

typedef struct GfBundle GfBundle;

typedef struct {
    GfName name;
    uint32_t share;          /* weight in fair sharing, over 0 */
    uint64_t limit_mcores;   /* upper limit of all running tasks together */
    uint32_t limit_requests; /* upper limit of requests at a time */
} GfTeam;

typedef struct {
    GfName name;
    bool open;                 /* serves requests without a key too */
    uint32_t slots;            /* not used: targets report their slots */
    uint32_t request_limit_ms; /* longest time a request may take */
} GfService;

GfBundle *GfBundle_Parse(const char *text, size_t len, const char *path,
                         GfError *error);
void GfBundle_Destroy(GfBundle *bundle);
uint64_t GfBundle_Version(const GfBundle *bundle);
uint32_t GfBundle_Quorum(const GfBundle *bundle);
size_t GfBundle_TeamCount(const GfBundle *bundle);
const GfTeam *GfBundle_TeamAt(const GfBundle *bundle, size_t index);
const GfTeam *GfBundle_FindTeam(const GfBundle *bundle, const GfName *name);
const GfTeam *GfBundle_FindTeamByKey(const GfBundle *bundle, const char *key);
const char *GfBundle_FindOperatorByKey(const GfBundle *bundle,
                                       const char *key);
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
GfStr GfKey_Generate(const GfName *team);

#endif
