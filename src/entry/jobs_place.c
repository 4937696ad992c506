#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PLACE_TIMEOUT_MS 8000
#define STOP_TIMEOUT_MS 2000

/* Placements whose outcomes are reported together. Owns the placements. */
typedef struct {
    GfEntry *entry;
    GfPlacement *placements;
    size_t count;
} PlaceCall;

/* Passes the outcome of each placement to the job tracker and frees the call.
 * placed has one element per placement. */
static void
finish_call(PlaceCall *call, const GfPlacementResult *placed)
{
    for (size_t i = 0; i < call->count; i++) {
        GfJobTracker_HandlePlacement(call->entry->job_tracker,
                                     &call->placements[i], &placed[i]);
    }
    free(call->placements);
    free(call);
}

/* Handles the outcomes of placements on a rack held here. */
static void
on_local_outcomes(void *arg, const GfPlacementResult *placed, size_t count)
{
    PlaceCall *call = arg;
    assert(count == call->count);
    (void)count;
    finish_call(call, placed);
}

/* Reports the same outcome for all placements of a call and frees the call. */
static void
finish_call_with(PlaceCall *call, GfErrorKind kind, GfRan ran)
{
    GfPlacementResult *placed = calloc(call->count, sizeof(*placed));
    if (placed == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->count; i++) {
        placed[i].kind = kind;
        placed[i].ran = ran;
    }
    finish_call(call, placed);
    free(placed);
}

/* Handles the outcomes of placements sent to a peer. Without a usable reply
 * they are unknown, unless the call was never sent. */
static void
on_remote_outcomes(void *arg, const GfRpcOutcome *outcome)
{
    PlaceCall *call = arg;
    const gfx_place_result *result = outcome->result;
    if (outcome->kind != GF_OK || result->placed.placed_len != call->count) {
        finish_call_with(call, GF_OUTCOME_UNKNOWN,
                         outcome->sent ? GF_RAN_UNKNOWN : GF_RAN_NO);
        return;
    }
    GfPlacementResult *placed = calloc(call->count, sizeof(*placed));
    if (placed == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->count; i++) {
        const gfx_placed *in = &result->placed.placed_val[i];
        bool valid = in->kind >= 0 && in->kind < GF_ERROR_KINDS &&
                     in->ran >= 0 && in->ran < GF_RANS &&
                     GfName_SetText(&placed[i].worker, in->worker);
        placed[i].kind = valid ? (GfErrorKind)in->kind : GF_OUTCOME_UNKNOWN;
        placed[i].ran = valid ? (GfRan)in->ran : GF_RAN_UNKNOWN;
    }
    finish_call(call, placed);
    free(placed);
}

/* Fills the wire form of a placement. Its strings point into p. */
static void
encode_placement(gfx_place *out, const GfPlacement *p)
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

/* Sends placements to the entry that holds their racks. Takes ownership of the
 * call. */
static void
place_remotely(GfEntry *entry, PlaceCall *call, const GfName *holder,
               bool gang)
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
        encode_placement(&args.places.places_val[i], &call->placements[i]);
    }
    if (!EntryPeers_Call(entry, holder, GFX_PLACE, &args,
                         sizeof(gfx_place_result), PLACE_TIMEOUT_MS,
                         on_remote_outcomes, call)) {
        finish_call_with(call, GF_NO_OWNER, GF_RAN_NO);
    }
    free(args.places.places_val);
}

/* Creates a call with a copy of the placements. */
static PlaceCall *
create_call(GfEntry *entry, const GfPlacement *placements, size_t count)
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

/* Places tasks on racks held here, with one call for each run of placements on
 * the same rack. */
static void
place_locally(GfEntry *entry, const GfPlacement *placements, size_t count,
              bool gang)
{
    size_t from = 0;
    while (from < count) {
        size_t to = from + 1;
        while (to < count &&
               GfName_Equal(&placements[from].rack, &placements[to].rack)) {
            to++;
        }
        PlaceCall *call = create_call(entry, &placements[from], to - from);
        GfRackAgent *agent = Entry_FindRack(entry, &placements[from].rack);
        if (agent == NULL) {
            finish_call_with(call, GF_NO_OWNER, GF_RAN_NO);
        }
        else {
            GfRackAgent_Place(agent, call->placements, call->count, gang,
                              on_local_outcomes, call);
        }
        from = to;
    }
}

/* Sends the placements of the job tracker to the holder of their racks. In a
 * gang, all tasks are placed or none. */
static void
on_place(void *ctx, const GfName *holder, const GfPlacement *placements,
         size_t count, bool gang)
{
    GfEntry *entry = ctx;
    if (Entry_IsSelf(entry, holder)) {
        place_locally(entry, placements, count, gang);
        return;
    }
    place_remotely(entry, create_call(entry, placements, count), holder, gang);
}

/* Ignores the reply to a stop: the task's completion shows its effect. */
static void
ignore_reply(void *arg, const GfRpcOutcome *outcome)
{
    (void)arg;
    (void)outcome;
}

/* Sends a stop to the holder of the task's rack. It is dropped if the rack or
 * its holder is unknown. */
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
                    STOP_TIMEOUT_MS, ignore_reply, NULL);
}

/* Appends a record to a partition's journal. Takes the record's reference. */
static void
on_append(void *ctx, uint32_t partition, json_t *record,
          GfAppendCallback callback, void *arg)
{
    GfEntry *entry = ctx;
    GfJournal_Append(entry->partitions[partition].journal, record, callback,
                     arg);
}

/* Returns whether work of a partition may be placed now. */
static bool
on_may_place(void *ctx, uint32_t partition)
{
    return EntryPartitions_MayPlace(ctx, partition);
}

const GfJobTrackerOps ENTRY_JOB_TRACKER_OPS = {.place = on_place,
                                               .stop = on_stop,
                                               .append = on_append,
                                               .may_place = on_may_place};
