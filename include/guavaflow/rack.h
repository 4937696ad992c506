/* Ownership of one rack by worker leases: a state machine without I/O.
 *
 * A worker grants an exclusive lease to one holder at a time. A term is an
 * unbroken time in which this holder has a majority of the rack's leases.
 * Within a term the use of a team is counted from what was seen on held
 * workers, this holder's own unanswered starts, and, for workers not seen in
 * this term, all the room that they have. */
#ifndef GUAVAFLOW_RACK_H
#define GUAVAFLOW_RACK_H

#include "guavaflow/clock.h"
#include "guavaflow/task.h"

typedef struct GfRack GfRack;

/* The parts of the rule. Each can be left out in a test only, to show that
 * the check of the rule finds the breach. */
typedef enum {
    GF_RACK_RESERVE_UNSEEN = 1 << 0,
    GF_RACK_NEED_MAJORITY = 1 << 1,
    GF_RACK_FORGET_AFTER_TERM = 1 << 2,
    GF_RACK_ORDER_INVENTORIES = 1 << 3,
    GF_RACK_ALL_RULES = (1 << 4) - 1
} GfRackRules;

typedef struct {
    GfName name;
    uint64_t first_term;
    int32_t margin_ms;
    GfRackRules rules;
} GfRackConfig;

/* A worker's answer to a lease call. tasks is ignored if unchanged is set:
 * the inventory is the one of the same version that was seen before. */
typedef struct {
    int64_t lease;
    int32_t ttl_ms;
    GfName boot;
    int64_t version;
    GfRoom capacity;
    bool unchanged;
    const GfTask *tasks;
    size_t task_count;
} GfLeaseGrant;

/* Called for each start whose lease has been replaced: it can no longer take
 * effect; seen tells whether it did before. */
typedef void (*GfFlightCallback)(void *ctx, const GfName *worker,
                                 const GfTaskSpec *spec, bool seen);
typedef void (*GfTaskCallback)(void *ctx, const GfName *worker,
                               const GfTask *task);

GfRack *GfRack_Create(const GfRackConfig *config);
void GfRack_Destroy(GfRack *rack);
const GfName *GfRack_Name(const GfRack *rack);

void GfRack_AddWorker(GfRack *rack, const GfName *worker, struct timespec now);
void GfRack_RemoveWorker(GfRack *rack, const GfName *worker,
                         struct timespec now);
size_t GfRack_WorkerCount(const GfRack *rack);
const GfName *GfRack_WorkerAt(const GfRack *rack, size_t index);
bool GfRack_HasWorker(const GfRack *rack, const GfName *worker);

bool GfRack_Granted(GfRack *rack, const GfName *worker,
                    const GfLeaseGrant *grant, struct timespec sent_at,
                    struct timespec now, GfFlightCallback callback, void *ctx);
void GfRack_GivenUp(GfRack *rack, const GfName *worker, struct timespec now);
bool GfRack_Holds(const GfRack *rack, const GfName *worker,
                  struct timespec now);
int64_t GfRack_Lease(const GfRack *rack, const GfName *worker);
int64_t GfRack_SeenVersion(const GfRack *rack, const GfName *worker);
size_t GfRack_HeldCount(const GfRack *rack, struct timespec now);
bool GfRack_InTerm(GfRack *rack, struct timespec now);
uint64_t GfRack_Term(const GfRack *rack);
bool GfRack_IsComplete(GfRack *rack, struct timespec now);

GfRoom GfRack_FreeRoom(const GfRack *rack, const GfName *worker,
                       struct timespec now);
GfRoom GfRack_Capacity(const GfRack *rack, const GfName *worker);
uint64_t GfRack_TeamUse(GfRack *rack, const GfName *team, struct timespec now);
uint64_t GfRack_SeenUse(const GfRack *rack, const GfName *team);
const GfTask *GfRack_FindTask(const GfRack *rack, const GfName *task,
                              GfName *worker);
bool GfRack_HasTask(const GfRack *rack, const GfName *task);
bool GfRack_HasFlight(const GfRack *rack, uint32_t partition);

void GfRack_StartSent(GfRack *rack, const GfName *worker,
                      const GfTaskSpec *spec);
void GfRack_StartAccepted(GfRack *rack, const GfName *worker,
                          const GfName *task, int64_t version);
void GfRack_StartRefused(GfRack *rack, const GfName *worker,
                         const GfName *task);
void GfRack_StartUnanswered(GfRack *rack, const GfName *worker);
bool GfRack_NeedsFence(const GfRack *rack, const GfName *worker);
void GfRack_ForEachTask(const GfRack *rack, GfTaskCallback callback,
                        void *ctx);

#endif
