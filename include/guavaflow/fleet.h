/* What this entry knows of all racks: who holds each, and the free room that
 * its holder last stated. Hints for routing; the holder decides. */
#ifndef GUAVAFLOW_FLEET_H
#define GUAVAFLOW_FLEET_H

#include "guavaflow/clock.h"
#include "guavaflow/control.h"
#include "guavaflow/task.h"

#define GF_RACK_SERVICES 16
#define GF_SHARE_SCALE 1024

typedef struct GfFleet GfFleet;

typedef struct {
    GfName service;
    uint32_t free_slots;
    uint32_t queued;
} GfServiceCapacity;

typedef struct {
    GfName rack;
    GfName holder;
    uint64_t term;
    bool open;
    uint32_t free_mcores;
    GfRoom widest;
    GfRoom largest;
    GfServiceCapacity services[GF_RACK_SERVICES];
    size_t service_count;
    struct timespec stated_at;
} GfRackView;

GfFleet *GfFleet_Create(uint32_t seed);
void GfFleet_Destroy(GfFleet *fleet);
void GfFleet_AddRack(GfFleet *fleet, const GfName *rack, const GfName *domain);
void GfFleet_Update(GfFleet *fleet, const GfRackView *view);
void GfFleet_DropHolder(GfFleet *fleet, const GfName *holder);
void GfFleet_CloseOthers(GfFleet *fleet, const GfName *holder,
                         struct timespec since);
size_t GfFleet_Count(const GfFleet *fleet);
const GfRackView *GfFleet_At(const GfFleet *fleet, size_t index);
const GfRackView *GfFleet_Find(const GfFleet *fleet, const GfName *rack);
const GfName *GfFleet_Domain(const GfFleet *fleet, const GfName *rack);
const GfRackView *GfFleet_PickForTask(GfFleet *fleet, const GfControl *control,
                                      const GfName *team, const GfRoom *need,
                                      uint32_t count, struct timespec now);
void GfFleet_BlockTeam(GfFleet *fleet, const GfName *rack, const GfName *team,
                       struct timespec until);
const GfRackView *GfFleet_PickForRequest(GfFleet *fleet,
                                         const GfControl *control,
                                         const GfName *service,
                                         const GfName *tried, size_t tries);
void GfFleet_Reserve(GfFleet *fleet, const GfName *rack, const GfRoom *need);
void GfFleet_ReserveSlot(GfFleet *fleet, const GfName *rack,
                         const GfName *service);
bool GfFleet_CanEverFit(const GfFleet *fleet, const GfRoom *need);
uint64_t GfFleet_Looks(const GfFleet *fleet);
size_t GfFleet_WithoutHolder(const GfFleet *fleet);
void GfFleet_SetUse(GfFleet *fleet, const GfName *member, const GfName *team,
                    GfQuota use, uint32_t waiting);
bool GfFleet_IsFull(const GfFleet *fleet, const GfControl *control);
bool GfFleet_LowestLevel(const GfFleet *fleet, const GfControl *control,
                         GfName *team, uint64_t *level);
void GfFleet_ClearUse(GfFleet *fleet, const GfName *member);
GfQuota GfFleet_TeamUse(const GfFleet *fleet, const GfName *team);

#endif
