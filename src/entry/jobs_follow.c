#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define EVENTS_TIMEOUT_MS 2000
#define FIND_TIMEOUT_MS 2000
#define URGENT_FIND_MS 500
#define IDLE_FIND_MS 5000

typedef struct {
    GfTaskEvent *events;
    size_t count;
} List;

/* Adds an event to a list. */
static void
on_listed(void *ctx, const GfTaskEvent *event)
{
    List *list = ctx;
    GfTaskEvent *grown =
        realloc(list->events, (list->count + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    list->events = grown;
    list->events[list->count++] = *event;
}

/* Events that go to one owner. */
typedef struct {
    GfEntry *entry;
    GfName owner;
    GfTaskEvent *events;
    size_t count;
} Batch;

/* Lets the holders of tasks forget those that an owner acknowledged. */
static void
ack(GfEntry *entry, const GfName *task)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_Ack(entry->racks[i], task);
    }
}

/* Takes an owner's acknowledgements. */
static void
on_acked(void *arg, const GfRpcOutcome *outcome)
{
    GfEntry *entry = arg;
    if (outcome->kind != GF_OK) {
        return;
    }
    const gfx_acked *acked = outcome->result;
    for (u_int i = 0; i < acked->tasks.tasks_len; i++) {
        GfName task;
        if (GfName_SetText(&task, acked->tasks.tasks_val[i])) {
            ack(entry, &task);
        }
    }
}

/* Sends one owner its events. */
static void
send_batch(Batch *batch)
{
    GfEntry *entry = batch->entry;
    gfx_events args;
    memset(&args, 0, sizeof(args));
    args.events.events_len = (u_int)batch->count;
    args.events.events_val = calloc(batch->count, sizeof(gfx_event));
    if (args.events.events_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < batch->count; i++) {
        gfx_event *out = &args.events.events_val[i];
        out->task = batch->events[i].task.data;
        out->rack = batch->events[i].rack.data;
        out->worker = batch->events[i].worker.data;
        out->state = (int)batch->events[i].state;
        out->exit_code = batch->events[i].exit_code;
    }
    EntryPeers_Call(entry, &batch->owner, GFX_EVENTS, &args, sizeof(gfx_acked),
                    EVENTS_TIMEOUT_MS, on_acked, entry);
    free(args.events.events_val);
}

typedef struct {
    GfEntry *entry;
    Batch *batches;
    size_t count;
    List local;
} Outbox;

/* Adds an event to its owner's batch. */
static void
add_event(Outbox *box, const GfName *owner, const GfTaskEvent *event)
{
    size_t i = 0;
    while (i < box->count && !GfName_Equal(&box->batches[i].owner, owner)) {
        i++;
    }
    if (i == box->count) {
        Batch *grown =
            realloc(box->batches, (box->count + 1) * sizeof(*grown));
        if (grown == NULL) {
            abort();
        }
        box->batches = grown;
        grown[i] = (Batch){.entry = box->entry, .owner = *owner};
        grown[i].events = calloc(GFX_MAX_BATCH, sizeof(GfTaskEvent));
        if (grown[i].events == NULL) {
            abort();
        }
        box->count++;
    }
    Batch *batch = &box->batches[i];
    if (batch->count < GFX_MAX_BATCH) {
        batch->events[batch->count++] = *event;
    }
}

/* Sorts one event into the outbox. */
static void
on_ended(void *ctx, const GfTaskEvent *event)
{
    Outbox *box = ctx;
    GfEntry *entry = box->entry;
    uint32_t partition = 0;
    GfName owner;
    if (!GfTask_Partition(&event->task, &partition) ||
        partition >= entry->settings->partitions ||
        !EntryPartitions_Owner(entry, partition, &owner)) {
        return;
    }
    if (!Entry_IsSelf(entry, &owner)) {
        add_event(box, &owner, event);
        return;
    }
    on_listed(&box->local, event);
}

/* Tells the owners of jobs which of their tasks have ended on racks held
 * here. What is not acknowledged is told again with the next heartbeat. */
void
EntryJobs_SendEvents(GfEntry *entry)
{
    Outbox box = {.entry = entry};
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_ForEachEnded(entry->racks[i], on_ended, &box);
    }
    for (size_t i = 0; i < box.local.count; i++) {
        if (GfJobTracker_HandleEvent(entry->job_tracker,
                                     &box.local.events[i])) {
            ack(entry, &box.local.events[i].task);
        }
    }
    for (size_t i = 0; i < box.count; i++) {
        send_batch(&box.batches[i]);
        free(box.batches[i].events);
    }
    free(box.batches);
    free(box.local.events);
}

typedef struct {
    GfEntry *entry;
    uint32_t partition;
    uint64_t seq;
} FindCall;

/* Takes another entry's answer to a question about a partition. */
static void
on_found(void *arg, const GfRpcOutcome *outcome)
{
    FindCall *call = arg;
    const gfx_found *found = outcome->result;
    for (u_int i = 0; outcome->kind == GF_OK && i < found->racks.racks_len;
         i++) {
        const gfx_found_rack *in = &found->racks.racks_val[i];
        GfName rack;
        size_t count = in->tasks.tasks_len;
        GfTaskEvent *events = calloc(count + 1, sizeof(*events));
        if (events == NULL) {
            abort();
        }
        bool good = GfName_SetText(&rack, in->rack);
        for (size_t k = 0; good && k < count; k++) {
            const gfx_event *e = &in->tasks.tasks_val[k];
            good = e->state >= 0 && e->state < GF_TASK_STATES &&
                   GfName_SetText(&events[k].task, e->task) &&
                   GfName_SetText(&events[k].worker, e->worker);
            events[k].rack = rack;
            events[k].state = (GfTaskState)e->state;
            events[k].exit_code = e->exit_code;
        }
        if (good) {
            GfJobTracker_HandleInventory(call->entry->job_tracker,
                                         call->partition, call->seq, &rack,
                                         in->complete, events, count);
        }
        free(events);
    }
    free(call);
}

/* Asks the racks held here about a partition. */
static void
find_here(GfEntry *entry, uint32_t partition, uint64_t epoch, uint64_t seq)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent *agent = entry->racks[i];
        if (!GfRackAgent_IsHeld(agent)) {
            continue;
        }
        List list = {0};
        bool complete =
            GfRackAgent_Find(agent, partition, epoch, seq, on_listed, &list);
        GfJobTracker_HandleInventory(entry->job_tracker, partition, seq,
                                     GfRackAgent_Name(agent), complete,
                                     list.events, list.count);
        free(list.events);
    }
}

/* Asks all holders where the tasks of the partitions owned here are: soon if
 * some are in doubt, now and then otherwise. */
void
EntryJobs_Find(GfEntry *entry)
{
    struct timespec now = Entry_Now(entry);
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        gfx_find args = {.partition = i};
        bool urgent = false;
        uint64_t epoch = 0;
        uint64_t seq = 0;
        bool wanted = GfJobTracker_NeedsInventory(entry->job_tracker, i,
                                                  &urgent, &epoch, &seq);
        if (!wanted || !EntryPartitions_MayPlace(entry, i) ||
            (!urgent && GfTime_Before(now, p->next_find))) {
            continue;
        }
        args.epoch = epoch;
        args.seq = seq;
        p->next_find =
            GfTime_AddMs(now, urgent ? URGENT_FIND_MS : IDLE_FIND_MS);
        find_here(entry, i, epoch, seq);
        for (size_t k = 0; k < GfMembers_Count(entry->members); k++) {
            FindCall *call = calloc(1, sizeof(*call));
            if (call == NULL) {
                abort();
            }
            *call = (FindCall){.entry = entry, .partition = i, .seq = seq};
            EntryPeers_Call(entry, &GfMembers_At(entry->members, k)->name,
                            GFX_FIND, &args, sizeof(gfx_found),
                            FIND_TIMEOUT_MS, on_found, call);
        }
    }
}
