#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PLACE_TIMEOUT_MS 8000
#define STOP_TIMEOUT_MS 2000

typedef struct {
    GfEntry *entry;
    GfPlacement *placements;
    size_t count;
} PlaceCall;

/* Hands the outcome of each placement of a call to the keeper. */
static void
settle_call(PlaceCall *call, const GfPlaced *placed)
{
    for (size_t i = 0; i < call->count; i++) {
        GfJobTracker_HandlePlacement(call->entry->job_tracker,
                                     &call->placements[i], &placed[i]);
    }
    free(call->placements);
    free(call);
}

/* Takes the outcomes of placements on a rack held here. */
static void
on_placed_here(void *arg, const GfPlaced *placed, size_t count)
{
    PlaceCall *call = arg;
    assert(count == call->count);
    (void)count;
    settle_call(call, placed);
}

/* Gives every placement of a call the same outcome. */
static void
settle_all(PlaceCall *call, GfErrorKind kind, GfRan ran)
{
    GfPlaced *placed = calloc(call->count, sizeof(*placed));
    if (placed == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->count; i++) {
        placed[i].kind = kind;
        placed[i].ran = ran;
    }
    settle_call(call, placed);
    free(placed);
}

/* Takes the outcomes of placements that another entry answered. */
static void
on_placed_there(void *arg, const GfRpcOutcome *outcome)
{
    PlaceCall *call = arg;
    const gfx_place_result *result = outcome->result;
    if (outcome->kind != GF_OK || result->placed.placed_len != call->count) {
        settle_all(call, GF_OUTCOME_UNKNOWN,
                   outcome->sent ? GF_RAN_UNKNOWN : GF_RAN_NO);
        return;
    }
    GfPlaced *placed = calloc(call->count, sizeof(*placed));
    if (placed == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->count; i++) {
        const gfx_placed *in = &result->placed.placed_val[i];
        bool good = in->kind >= 0 && in->kind < GF_ERROR_KINDS &&
                    in->ran >= 0 && in->ran < GF_RANS &&
                    GfName_SetText(&placed[i].worker, in->worker);
        placed[i].kind = good ? (GfErrorKind)in->kind : GF_OUTCOME_UNKNOWN;
        placed[i].ran = good ? (GfRan)in->ran : GF_RAN_UNKNOWN;
    }
    settle_call(call, placed);
    free(placed);
}

/* Describes a placement for another entry. */
static void
fill_place(gfx_place *out, const GfPlacement *p)
{
    out->rack = (char *)p->rack.data;
    out->term = p->term;
    out->partition = p->partition;
    out->epoch = p->epoch;
    out->seq = p->seq;
    out->task.id = (char *)p->spec.id.data;
    out->task.team = (char *)p->spec.team.data;
    out->task.mcores = p->spec.need.mcores;
    out->task.memory_mb = p->spec.need.memory_mb;
    out->task.accelerators = p->spec.need.accelerators;
    out->task.run_ms = p->spec.run_ms;
    out->task.work_class = (int)p->spec.work_class;
    out->task.repeatable = p->spec.repeatable;
    out->task.fails = p->spec.fails;
}

/* Sends placements to the entry that holds their racks. */
static void
place_there(GfEntry *entry, PlaceCall *call, const GfName *holder, bool gang)
{
    gfx_place_args args;
    memset(&args, 0, sizeof(args));
    args.gang = gang;
    args.places.places_len = (u_int)call->count;
    args.places.places_val = calloc(call->count, sizeof(gfx_place));
    if (args.places.places_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->count; i++) {
        fill_place(&args.places.places_val[i], &call->placements[i]);
    }
    if (!EntryPeers_Call(entry, holder, GFX_PLACE, &args,
                         sizeof(gfx_place_result), PLACE_TIMEOUT_MS,
                         on_placed_there, call)) {
        settle_all(call, GF_NO_OWNER, GF_RAN_NO);
    }
    free(args.places.places_val);
}

/* Makes the record of a call with a copy of its placements. */
static PlaceCall *
new_call(GfEntry *entry, const GfPlacement *placements, size_t count)
{
    PlaceCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->entry = entry;
    call->count = count;
    call->placements = calloc(count, sizeof(*placements));
    if (call->placements == NULL) {
        abort();
    }
    memcpy(call->placements, placements, count * sizeof(*placements));
    return call;
}

/* Places tasks on racks held here, a call for each run of one rack. */
static void
place_here(GfEntry *entry, const GfPlacement *placements, size_t count,
           bool gang)
{
    size_t from = 0;
    while (from < count) {
        size_t to = from + 1;
        while (to < count &&
               GfName_Equal(&placements[from].rack, &placements[to].rack)) {
            to++;
        }
        PlaceCall *call = new_call(entry, &placements[from], to - from);
        GfRackAgent *agent = Entry_FindRack(entry, &placements[from].rack);
        if (agent == NULL) {
            settle_all(call, GF_NO_OWNER, GF_RAN_NO);
        }
        else {
            GfRackAgent_Place(agent, call->placements, call->count, gang,
                              on_placed_here, call);
        }
        from = to;
    }
}

/* Sends the keeper's placements to the racks' holder. */
static void
on_place(void *ctx, const GfName *holder, const GfPlacement *placements,
         size_t count, bool gang)
{
    GfEntry *entry = ctx;
    if (Entry_IsSelf(entry, holder)) {
        place_here(entry, placements, count, gang);
        return;
    }
    place_there(entry, new_call(entry, placements, count), holder, gang);
}

/* Ignores an answer whose effect the task's events will tell. */
static void
on_ignored(void *arg, const GfRpcOutcome *outcome)
{
    (void)arg;
    (void)outcome;
}

/* Passes a stop to the holder of the task's rack. */
static void
on_stop(void *ctx, const GfName *rack, const GfName *task, GfStopMode mode)
{
    GfEntry *entry = ctx;
    const GfRackView *view = GfFleet_Find(entry->fleet, rack);
    if (view == NULL) {
        return;
    }
    if (Entry_IsSelf(entry, &view->holder)) {
        GfRackAgent *agent = Entry_FindRack(entry, rack);
        if (agent != NULL) {
            GfRackAgent_Stop(agent, task, mode);
        }
        return;
    }
    gfx_stop args = {.rack = (char *)rack->data,
                     .task = (char *)task->data,
                     .mode = (int)mode};
    EntryPeers_Call(entry, &view->holder, GFX_STOP, &args, sizeof(gfx_answer),
                    STOP_TIMEOUT_MS, on_ignored, NULL);
}

/* Appends a record to a partition's journal. */
static void
on_append(void *ctx, uint32_t partition, json_t *record,
          GfAppendCallback callback, void *arg)
{
    GfEntry *entry = ctx;
    GfJournal_Append(entry->partitions[partition].journal, record, callback,
                     arg);
}

/* Tells whether work of a partition may be placed now. */
static bool
on_may_place(void *ctx, uint32_t partition)
{
    return EntryPartitions_MayPlace(ctx, partition);
}

const GfJobTrackerOps ENTRY_JOB_TRACKER_OPS = {.place = on_place,
                                               .stop = on_stop,
                                               .append = on_append,
                                               .may_place = on_may_place};
