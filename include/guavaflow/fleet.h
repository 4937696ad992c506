/* One entry's view of all racks: which entry holds each rack, the free
 * capacity that the holder last reported, and the use of each team. Placement
 * and request routing choose racks by it. It lags behind the racks, so its
 * choices are hints: the holder of a rack admits or refuses the work.
 *
 * Names passed in are copied. Calls for a rack that the view doesn't know
 * change nothing. Memory exhaustion ends the process. */
#ifndef GUAVAFLOW_FLEET_H
#define GUAVAFLOW_FLEET_H

#include "guavaflow/clock.h"
#include "guavaflow/control.h"
#include "guavaflow/task.h"

/* Services that one rack can report. */
#define GF_RACK_MAX_SERVICES 16

/* Scale of a team's level, which is its millicores in use per share times this
 * factor. */
#define GF_SHARE_SCALE 1024

typedef struct GfFleet GfFleet;

/* The state of one service on a rack: unused slots of its targets and the
 * requests that wait for a slot. */
typedef struct {
    GfName service;
    uint32_t free_slots;
    uint32_t queued;
} GfServiceSlots;

/* What the holder of a rack reports about it. */
typedef struct {
    GfName rack;
    GfName holder; /* the member that reported it */
    uint64_t term; /* the holder's term on the rack, the last one if ended */
    bool open;     /* the holder accepts new work for the rack */
    uint32_t free_mcores;          /* millicores, summed over the workers */
    GfResourceVector largest_free; /* free capacity of the worker with most
                                      free millicores */
    GfResourceVector largest_capacity; /* total capacity of the worker with
                                          most millicores */
    GfServiceSlots services[GF_RACK_MAX_SERVICES];
    size_t service_count;
    struct timespec reported_at; /* when this entry received the report */
} GfRackView;

/* Life cycle and content of the view. */
GfFleet *GfFleet_Create(uint32_t seed);
void GfFleet_Destroy(GfFleet *fleet);
void GfFleet_AddRack(GfFleet *fleet, const GfName *rack, const GfName *domain);
void GfFleet_Update(GfFleet *fleet, const GfRackView *view);
void GfFleet_DropHolder(GfFleet *fleet, const GfName *holder);
void GfFleet_CloseStale(GfFleet *fleet, const GfName *holder,
                        struct timespec since);
size_t GfFleet_Count(const GfFleet *fleet);
const GfRackView *GfFleet_At(const GfFleet *fleet, size_t index);
const GfRackView *GfFleet_Find(const GfFleet *fleet, const GfName *rack);
const GfName *GfFleet_Domain(const GfFleet *fleet, const GfName *rack);

/* Choice of a rack. The views returned belong to the fleet and stay valid
 * until it is destroyed; their content changes with each report. */
const GfRackView *GfFleet_PickForTask(GfFleet *fleet, const GfControl *control,
                                      const GfName *team,
                                      const GfResourceVector *need,
                                      uint32_t count, struct timespec now);
void GfFleet_BlockTeam(GfFleet *fleet, const GfName *rack, const GfName *team,
                       struct timespec until);
const GfRackView *GfFleet_PickForRequest(GfFleet *fleet,
                                         const GfControl *control,
                                         const GfName *service,
                                         const GfName *tried, size_t tries);
void GfFleet_Reserve(GfFleet *fleet, const GfName *rack,
                     const GfResourceVector *need);
void GfFleet_ReserveSlot(GfFleet *fleet, const GfName *rack,
                         const GfName *service);
bool GfFleet_CanEverFit(const GfFleet *fleet, const GfResourceVector *need);
uint64_t GfFleet_RacksExamined(const GfFleet *fleet);
size_t GfFleet_CountWithoutHolder(const GfFleet *fleet);

/* What members report about teams: millicores of running tasks, requests in
 * progress, and the number of waiting tasks. */
void GfFleet_SetUse(GfFleet *fleet, const GfName *member, const GfName *team,
                    GfQuota use, uint32_t waiting);
bool GfFleet_IsFull(const GfFleet *fleet, const GfControl *control);
bool GfFleet_MostUnderservedTeam(const GfFleet *fleet,
                                 const GfControl *control, GfName *team,
                                 uint64_t *level);
void GfFleet_ClearUse(GfFleet *fleet, const GfName *member);
GfQuota GfFleet_TeamUse(const GfFleet *fleet, const GfName *team);

#endif
