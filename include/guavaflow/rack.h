/* Ownership of one rack by worker leases: a state machine without I/O.
 *
 * Each worker grants its lease to at most one holder at a time. A holder has
 * a term on the rack as long as it holds the leases of a majority of the
 * rack's workers without interruption; it may start work only in a term. Two
 * holders that know the same workers can't be in a term at the same time.
 *
 * To bound a team's use, the holder counts the tasks that it has seen on
 * workers, its own starts whose outcome no inventory shows yet (pending
 * starts), and the full capacity of every worker that it hasn't seen in this
 * term, where tasks of a former holder may run.
 *
 * Times are those of one monotonic clock, passed in by the caller; they must
 * not go back. Calls for a worker that the rack doesn't have change nothing,
 * except that GfRack_StartSent requires a known one. Names and specs passed in
 * are copied. Memory exhaustion ends the process. */
#ifndef GUAVAFLOW_RACK_H
#define GUAVAFLOW_RACK_H

#include "guavaflow/clock.h"
#include "guavaflow/task.h"

typedef struct GfRack GfRack;

/* The rules that make ownership safe. A test can leave one out to show that
 * its search finds the resulting violation; the product uses all of them. */
typedef enum {
    /* Count the capacity of unseen workers as used by every team. */
    GF_RACK_RESERVE_UNSEEN = 1 << 0,
    /* Start work only with a majority of the leases. */
    GF_RACK_NEED_MAJORITY = 1 << 1,
    /* After a term, forget the inventories of workers that aren't held. */
    GF_RACK_FORGET_AFTER_TERM = 1 << 2,
    /* Ignore grants that are older than one already applied. */
    GF_RACK_ORDER_INVENTORIES = 1 << 3,
    GF_RACK_ALL_RULES = (1 << 4) - 1
} GfRackRules;

typedef struct {
    GfName name;
    uint64_t first_term; /* terms are numbered from the next one on */
    int32_t margin_ms;   /* how early a lease counts as expired */
    GfRackRules rules;
} GfRackConfig;

/* A worker's response that grants or renews its lease. If unchanged is set,
 * the inventory is the one seen before at the same version, and tasks is
 * ignored. */
typedef struct {
    int64_t lease;   /* lease id; rises with each new lease of one boot */
    int32_t ttl_ms;  /* lifetime from the time the call was sent */
    GfName boot;     /* identifies one start of the worker */
    int64_t version; /* inventory version, rises within one boot */
    GfResourceVector capacity;
    bool unchanged;
    const GfTask *tasks;
    size_t task_count;
} GfLeaseGrant;

/* Called for each pending start that a grant settles before the worker has
 * answered it. The start took effect if seen is set, which means that the
 * inventory lists the task; otherwise it never will. */
typedef void (*GfPendingStartCallback)(void *ctx, const GfName *worker,
                                       const GfTaskSpec *spec, bool seen);

/* Called for one task of the inventories. The rack must not be changed during
 * the call. */
typedef void (*GfTaskCallback)(void *ctx, const GfName *worker,
                               const GfTask *task);

/* Life cycle and workers. */
GfRack *GfRack_Create(const GfRackConfig *config);
void GfRack_Destroy(GfRack *rack);
const GfName *GfRack_Name(const GfRack *rack);
void GfRack_AddWorker(GfRack *rack, const GfName *worker, struct timespec now);
void GfRack_RemoveWorker(GfRack *rack, const GfName *worker,
                         struct timespec now);
size_t GfRack_WorkerCount(const GfRack *rack);
const GfName *GfRack_WorkerAt(const GfRack *rack, size_t index);
bool GfRack_HasWorker(const GfRack *rack, const GfName *worker);

/* Leases and terms. */
bool GfRack_ApplyGrant(GfRack *rack, const GfName *worker,
                       const GfLeaseGrant *grant, struct timespec sent_at,
                       struct timespec now, GfPendingStartCallback callback,
                       void *ctx);
void GfRack_DropLease(GfRack *rack, const GfName *worker, struct timespec now);
bool GfRack_Holds(const GfRack *rack, const GfName *worker,
                  struct timespec now);
int64_t GfRack_Lease(const GfRack *rack, const GfName *worker);
int64_t GfRack_InventoryVersion(const GfRack *rack, const GfName *worker);
size_t GfRack_HeldCount(const GfRack *rack, struct timespec now);
bool GfRack_InTerm(GfRack *rack, struct timespec now);
uint64_t GfRack_Term(const GfRack *rack);
bool GfRack_IsComplete(GfRack *rack, struct timespec now);

/* Capacity, use in millicores, and tasks. */
GfResourceVector GfRack_FreeCapacity(const GfRack *rack, const GfName *worker,
                                     struct timespec now);
GfResourceVector GfRack_Capacity(const GfRack *rack, const GfName *worker);
uint64_t GfRack_TeamUse(GfRack *rack, const GfName *team, struct timespec now);
uint64_t GfRack_KnownUse(const GfRack *rack, const GfName *team);
const GfTask *GfRack_FindTask(const GfRack *rack, const GfName *task,
                              GfName *worker);
bool GfRack_HasTask(const GfRack *rack, const GfName *task);
bool GfRack_HasPendingStart(const GfRack *rack, uint32_t partition);

/* Starts: each is recorded before it is sent, then accepted, refused or left
 * without a response. */
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
