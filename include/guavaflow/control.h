/* The control state of an entry: the bundle in force and the failure domains
 * that are out of service.
 *
 * Both are parts of one JSON document, which the store holds and the entries
 * pass on to each other. Its version rises by one with each change, and an
 * entry never goes back to a lower one. An entry may work only while its
 * version was confirmed recently as the newest one.
 *
 * The document has the fields version, bundle (the YAML text), domains_out (an
 * array of names) and lowerings (for each team the changes that lowered its
 * upper limit, see GfControl_ScaleGrant).
 */
#ifndef GUAVAFLOW_CONTROL_H
#define GUAVAFLOW_CONTROL_H

#include <jansson.h>

#include "guavaflow/bundle.h"
#include "guavaflow/clock.h"

typedef struct GfControl GfControl;

/* A part of a team's upper limit, or a use that counts toward it. */
typedef struct {
    uint64_t mcores;   /* of running tasks */
    uint64_t requests; /* being served */
} GfQuota;

GfControl *GfControl_Create(int32_t confirm_ms);
void GfControl_Destroy(GfControl *control);
bool GfControl_Apply(GfControl *control, const json_t *document,
                     struct timespec now, GfError *error);
void GfControl_Confirm(GfControl *control, uint64_t version,
                       struct timespec sent_at);
bool GfControl_IsConfirmed(const GfControl *control, struct timespec now);
uint64_t GfControl_Version(const GfControl *control);
const json_t *GfControl_Document(const GfControl *control);
const GfBundle *GfControl_Bundle(const GfControl *control);
bool GfControl_DomainIsOut(const GfControl *control, const GfName *domain);
bool GfControl_DomainReturned(const GfControl *control, const GfName *domain,
                              struct timespec *since);
GfQuota GfControl_ScaleGrant(const GfControl *control, const GfName *team,
                             GfQuota amount, uint64_t base_version);

json_t *GfControl_FirstDocument(const char *bundle_yaml, GfError *error);
json_t *GfControl_WithBundle(const json_t *document, const char *bundle_yaml,
                             GfError *error);
json_t *GfControl_WithDomain(const json_t *document, const GfName *domain,
                             bool out, GfError *error);

#endif
