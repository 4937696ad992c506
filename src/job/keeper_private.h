/* What the parts of the keeper share. */
#ifndef GUAVAFLOW_JOB_KEEPER_PRIVATE_H
#define GUAVAFLOW_JOB_KEEPER_PRIVATE_H

#include <uthash.h>

#include "guavaflow/keeper.h"
#include "guavaflow/wait_queue.h"

#define KEEPER_MAX_PARTITIONS 256

typedef struct {
    GfName id;
    GfJob *job;
    UT_hash_handle hh;
} KeeperEntry;

typedef struct {
    GfName rack;
    uint64_t seq;
} KeeperRack;

typedef struct {
    bool open;
    uint64_t epoch;
    uint64_t seq;
    bool recovering;
    KeeperRack *settled;
    size_t settled_count;
} KeeperPartition;

struct GfKeeper {
    GfKeeperConfig config;
    GfFleet *fleet;
    const GfControl *control;
    const GfClock *clock;
    const GfKeeperOps *ops;
    void *ctx;
    KeeperEntry *jobs;
    GfWaitQueue *queue;
    KeeperPartition partitions[KEEPER_MAX_PARTITIONS];
    size_t states[GF_JOB_STATES];
    uint64_t mark;
};

typedef struct {
    GfKeeper *keeper;
    GfName job;
    uint32_t index;
    uint32_t attempt;
    GfAnswerCallback callback;
    void *arg;
} KeeperPending;

void Keeper_SetState(GfKeeper *keeper, GfJobTask *task, GfJobTaskState state);
GfJob *Keeper_FindJob(const GfKeeper *keeper, const GfName *id);
GfJobTask *Keeper_FindTask(const GfKeeper *keeper, const GfName *id,
                           uint32_t *attempt);
KeeperPending *Keeper_PendingTask(GfKeeper *keeper, const GfJobTask *task);
void Keeper_FinishTask(GfKeeper *keeper, GfJobTask *task,
                       GfJobTaskState state);
void Keeper_Requeue(GfKeeper *keeper, GfJobTask *task, int64_t delay_ms);
void Keeper_NoteRunning(GfKeeper *keeper, GfJobTask *task, const GfName *rack,
                        const GfName *worker);
void Keeper_NextAttempt(GfKeeper *keeper, GfJobTask *task);

#endif
