#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define EVENTS_TIMEOUT_MS 2000
#define FIND_TIMEOUT_MS 2000
/* Time from an inventory query to the next one that is not urgent: after an
 * urgent query, and after any other. Urgent queries are sent with every
 * heartbeat. */
#define URGENT_FIND_MS 500
#define IDLE_FIND_MS 5000

/* A growing array of events; the array is owned. */
typedef struct {
    GfTaskEvent *events;
    size_t count;
} EventList;

/* Appends a copy of an event to the list ctx. */
static void
append_event(void *ctx, const GfTaskEvent *event)
{
    EventList *list = ctx;
    GfTaskEvent *grown =
        realloc(list->events, (list->count + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    list->events = grown;
    list->events[list->count++] = *event;
}

/* Completions for one owner, at most GFX_MAX_BATCH. */
typedef struct {
    GfEntry *entry;
    GfName owner;
    GfTaskEvent *events;
    size_t count;
} EventBatch;

/* Tells the racks of this entry that the owner of a completed task's job has
 * recorded the completion, so that its worker may forget the task. */
static void
acknowledge(GfEntry *entry, const GfName *task)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_Ack(entry->racks[i], task);
    }
}

/* Handles the acknowledgements of an owner. */
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
            acknowledge(entry, &task);
        }
    }
}

/* Sends a batch of completions to its owner. The batch stays with the
 * caller. */
static void
send_batch(EventBatch *batch)
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

/* Completions sorted by owner; local are those for this entry. */
typedef struct {
    GfEntry *entry;
    EventBatch *batches;
    size_t count;
    EventList local;
} Outbox;

/* Adds an event to the batch of its owner. A full batch drops the event; it is
 * reported again with the next heartbeat. */
static void
add_to_batch(Outbox *box, const GfName *owner, const GfTaskEvent *event)
{
    size_t i = 0;
    while (i < box->count && !GfName_Equal(&box->batches[i].owner, owner)) {
        i++;
    }
    if (i == box->count) {
        EventBatch *grown =
            realloc(box->batches, (box->count + 1) * sizeof(*grown));
        if (grown == NULL) {
            abort();
        }
        box->batches = grown;
        grown[i] = (EventBatch){.entry = box->entry, .owner = *owner};
        grown[i].events = calloc(GFX_MAX_BATCH, sizeof(GfTaskEvent));
        if (grown[i].events == NULL) {
            abort();
        }
        box->count++;
    }
    EventBatch *batch = &box->batches[i];
    if (batch->count < GFX_MAX_BATCH) {
        batch->events[batch->count++] = *event;
    }
}

/* Sorts one completion into the outbox: to this entry, or to the peer that
 * owns the job. Without a known owner it is reported later. */
static void
sort_completion(void *ctx, const GfTaskEvent *event)
{
    Outbox *box = ctx;
    GfEntry *entry = box->entry;
    uint32_t partition = 0;
    GfName owner;
    if (!GfTask_Partition(&event->task, &partition) ||
        partition >= entry->settings->partitions ||
        !EntryPartitions_FindOwner(entry, partition, &owner)) {
        return;
    }
    if (!Entry_IsSelf(entry, &owner)) {
        add_to_batch(box, &owner, event);
        return;
    }
    append_event(&box->local, event);
}

/* Reports completed tasks on the racks held here to the owners of their jobs.
 * Called with each heartbeat; completions that are not acknowledged are
 * reported again. */
void
EntryJobs_ReportCompletions(GfEntry *entry)
{
    Outbox box = {.entry = entry};
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent_ForEachCompleted(entry->racks[i], sort_completion, &box);
    }
    for (size_t i = 0; i < box.local.count; i++) {
        if (GfJobTracker_HandleEvent(entry->job_tracker,
                                     &box.local.events[i])) {
            acknowledge(entry, &box.local.events[i].task);
        }
    }
    for (size_t i = 0; i < box.count; i++) {
        send_batch(&box.batches[i]);
        free(box.batches[i].events);
    }
    free(box.batches);
    free(box.local.events);
}

/* An inventory query to a peer. seq is the last placement of the partition at
 * the time of the query. */
typedef struct {
    GfEntry *entry;
    uint32_t partition;
    uint64_t seq;
} InventoryCall;

/* Handles a peer's reply to an inventory query: passes each rack's list of
 * tasks to the job tracker. A rack with a malformed task is skipped. Frees the
 * call. */
static void
on_inventory(void *arg, const GfRpcOutcome *outcome)
{
    InventoryCall *call = arg;
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
        bool valid = GfName_SetText(&rack, in->rack);
        for (size_t k = 0; valid && k < count; k++) {
            const gfx_event *e = &in->tasks.tasks_val[k];
            valid = e->state >= 0 && e->state < GF_TASK_STATES &&
                    GfName_SetText(&events[k].task, e->task) &&
                    GfName_SetText(&events[k].worker, e->worker);
            events[k].rack = rack;
            events[k].state = (GfTaskState)e->state;
            events[k].exit_code = e->exit_code;
        }
        if (valid) {
            GfJobTracker_HandleInventory(call->entry->job_tracker,
                                         call->partition, call->seq, &rack,
                                         in->complete, events, count);
        }
        free(events);
    }
    free(call);
}

/* Queries the racks held here for a partition's tasks. Afterwards they accept
 * no placement up to the given epoch and seq, so a complete list is final for
 * those. */
static void
query_local_racks(GfEntry *entry, uint32_t partition, uint64_t epoch,
                  uint64_t seq)
{
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent *agent = entry->racks[i];
        if (!GfRackAgent_IsHeld(agent)) {
            continue;
        }
        EventList list = {0};
        bool complete = GfRackAgent_ListPartitionTasks(
            agent, partition, epoch, seq, append_event, &list);
        GfJobTracker_HandleInventory(entry->job_tracker, partition, seq,
                                     GfRackAgent_Name(agent), complete,
                                     list.events, list.count);
        free(list.events);
    }
}

/* Queries all entries for the tasks of the partitions owned here, to find out
 * what runs where after a takeover or a lost reply. Called with each
 * heartbeat; a partition is queried every time while the state of tasks is
 * uncertain, and otherwise every IDLE_FIND_MS. Partitions for which this entry
 * may not act now are skipped. */
void
EntryJobs_LocateTasks(GfEntry *entry)
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
            (!urgent && GfTime_Before(now, p->next_find_at))) {
            continue;
        }
        args.epoch = epoch;
        args.seq = seq;
        p->next_find_at =
            GfTime_AddMs(now, urgent ? URGENT_FIND_MS : IDLE_FIND_MS);
        query_local_racks(entry, i, epoch, seq);
        for (size_t k = 0; k < GfMembers_Count(entry->members); k++) {
            InventoryCall *call = calloc(1, sizeof(*call));
            if (call == NULL) {
                abort();
            }
            *call =
                (InventoryCall){.entry = entry, .partition = i, .seq = seq};
            EntryPeers_Call(entry, &GfMembers_At(entry->members, k)->name,
                            GFX_FIND, &args, sizeof(gfx_found),
                            FIND_TIMEOUT_MS, on_inventory, call);
        }
    }
}
