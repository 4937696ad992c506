/* Control state: the bundle and the failure domains taken out, under one
 * version that only rises, and the time of its last confirmation. */
#ifndef GUAVAFLOW_CONTROL_H
#define GUAVAFLOW_CONTROL_H

#include <jansson.h>

#include "guavaflow/bundle.h"
#include "guavaflow/clock.h"

typedef struct GfControl GfControl;

/* An amount of a team's upper limit: millicores of tasks, and requests. */
typedef struct {
    uint64_t mcores;
    uint64_t requests;
} GfAmount;

GfControl *GfControl_Create(int32_t confirm_ms);
void GfControl_Destroy(GfControl *control);
bool GfControl_Take(GfControl *control, const json_t *document,
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
GfAmount GfControl_Scale(const GfControl *control, const GfName *team,
                         GfAmount amount, uint64_t base_version);

json_t *GfControl_FirstDocument(const char *bundle_yaml, GfError *error);
json_t *GfControl_WithBundle(const json_t *document, const char *bundle_yaml,
                             GfError *error);
json_t *GfControl_WithDomain(const json_t *document, const GfName *domain,
                             bool out, GfError *error);

#endif
