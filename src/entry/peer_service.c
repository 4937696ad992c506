#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

/* Bounds the time that a peer can give a request. */
#define MAX_REQUEST_TIME_MS 120000

/* Decodes an answer from another entry; the caller clears it. One of unknown
 * kind becomes GF_PROTOCOL with GF_RAN_UNKNOWN. */
GfAnswer
EntryXdr_ToAnswer(const gfx_answer *xdr)
{
    if (xdr->kind < 0 || xdr->kind >= GF_ERROR_KINDS || xdr->ran < 0 ||
        xdr->ran >= GF_RANS) {
        return GfAnswer_Make(GF_PROTOCOL, GF_RAN_UNKNOWN,
                             "another entry sent an answer of unknown kind");
    }
    GfAnswer answer = GfAnswer_Make((GfErrorKind)xdr->kind, (GfRan)xdr->ran,
                                    "%s", xdr->text);
    if (xdr->body.body_len > 0) {
        answer.body = GfStr_Copy(xdr->body.body_val, xdr->body.body_len);
    }
    return answer;
}

/* Fills the wire form of an answer. It points into the answer and owns
 * nothing. */
void
EntryXdr_FromAnswer(const GfAnswer *answer, gfx_answer *xdr)
{
    memset(xdr, 0, sizeof(*xdr));
    xdr->kind = (int)answer->kind;
    xdr->ran = (int)answer->ran;
    xdr->text = (char *)answer->reason;
    xdr->body.body_val = answer->body.data;
    xdr->body.body_len = (u_int)answer->body.len;
}

/* Replies with an answer to the call arg of another entry. */
static void
reply_answer(void *arg, const GfAnswer *answer)
{
    gfx_answer result;
    EntryXdr_FromAnswer(answer, &result);
    GfRpcCall_Reply(arg, &result);
}

/* Refuses a call of another entry, whose work has not run. */
static void
reply_refusal(GfRpcCall *call, GfErrorKind kind, const char *text)
{
    GfAnswer answer = GfAnswer_Make(kind, GF_RAN_NO, "%s", text);
    reply_answer(call, &answer);
}

/* Applies a heartbeat and replies with this entry's own state. */
static void
handle_heartbeat(void *ctx, GfRpcCall *call, void *args)
{
    GfEntry *entry = ctx;
    EntryPeers_HandleHeartbeat(entry, args);
    gfx_beat_reply reply = {.member = entry->member.data,
                            .incarnation = entry->incarnation,
                            .control_version =
                                GfControl_Version(entry->control)};
    GfRpcCall_Reply(call, &reply);
}

/* Decodes a request from another entry. The body is borrowed from args.
 * Returns false if a name is malformed. */
static bool
decode_request(const gfx_request *args, EntryRequest *request)
{
    memset(request, 0, sizeof(*request));
    request->remaining_ms =
        (int32_t)(args->time_ms < MAX_REQUEST_TIME_MS ? args->time_ms
                                                      : MAX_REQUEST_TIME_MS);
    request->repeatable = args->repeatable;
    request->body =
        (GfStr){.len = args->body.body_len, .data = args->body.body_val};
    return GfName_SetText(&request->id, args->id) &&
           GfName_SetText(&request->service, args->service) &&
           GfName_SetText(&request->team, args->team) &&
           GfName_SetText(&request->key, args->key);
}

/* Runs a request with an idempotency key whose partition is owned here. */
static void
handle_request(void *ctx, GfRpcCall *call, void *args)
{
    EntryRequest request;
    if (!decode_request(args, &request) || request.key.len == 0) {
        reply_refusal(call, GF_BAD_REQUEST,
                      "malformed request, or one without an idempotency key");
        return;
    }
    EntryIdem_Run(ctx, &request, reply_answer, call);
}

/* Runs a request on a rack that is held here. */
static void
handle_execute(void *ctx, GfRpcCall *call, void *args)
{
    const gfx_request *in = args;
    EntryRequest request;
    GfName rack;
    GfRackAgent *agent = NULL;
    if (decode_request(in, &request) && GfName_SetText(&rack, in->rack)) {
        agent = Entry_FindRack(ctx, &rack);
    }
    if (agent == NULL) {
        reply_refusal(call, GF_NO_OWNER,
                      "malformed request, or a rack unknown to this entry");
        return;
    }
    GfServiceRequest run = {.id = request.id,
                            .service = request.service,
                            .team = request.team,
                            .time_left_ms = request.remaining_ms,
                            .body = request.body};
    GfRackAgent_Execute(agent, &run, reply_answer, call);
}

/* Decodes a placement from another entry. Returns false if it is malformed. */
static bool
decode_placement(const gfx_place *in, GfPlacement *p)
{
    memset(p, 0, sizeof(*p));
    p->term = in->term;
    p->partition = in->partition;
    p->epoch = in->epoch;
    p->seq = in->seq;
    p->spec.need = (GfResourceVector){.mcores = in->task.mcores,
                                      .memory_mb = in->task.memory_mb,
                                      .accelerators = in->task.accelerators};
    p->spec.run_ms = in->task.run_ms;
    p->spec.repeatable = in->task.repeatable;
    p->spec.fails = in->task.fails;
    if (in->task.work_class < 0 || in->task.work_class >= GF_CLASSES) {
        return false;
    }
    p->spec.work_class = (GfClass)in->task.work_class;
    return GfName_SetText(&p->rack, in->rack) &&
           GfName_SetText(&p->spec.id, in->task.id) &&
           GfName_SetText(&p->spec.team, in->task.team);
}

/* A placement call, which can name several racks. Consecutive placements on
 * one rack form a group; the reply is sent when all groups are done. */
typedef struct {
    GfRpcCall *call;
    GfPlacement *placements;
    GfPlacementResult *placed;
    size_t count;
    size_t open; /* unfinished groups, plus one while groups are started */
} PlaceCall;

/* A group of a placement call. */
typedef struct {
    PlaceCall *call;
    size_t from; /* index of its first placement */
} PlaceGroup;

/* Replies to a placement call once all its groups are done, and frees it. */
static void
reply_placements(PlaceCall *pc)
{
    gfx_place_result result;
    result.placed.placed_len = (u_int)pc->count;
    result.placed.placed_val = calloc(pc->count + 1, sizeof(gfx_placed));
    if (result.placed.placed_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < pc->count; i++) {
        gfx_placed *out = &result.placed.placed_val[i];
        out->kind = (int)pc->placed[i].kind;
        out->ran = (int)pc->placed[i].ran;
        out->worker = pc->placed[i].worker.data;
    }
    GfRpcCall_Reply(pc->call, &result);
    free(result.placed.placed_val);
    free(pc->placements);
    free(pc->placed);
    free(pc);
}

/* Stores the outcomes of one group. */
static void
on_group_placed(void *arg, const GfPlacementResult *placed, size_t count)
{
    PlaceGroup *group = arg;
    PlaceCall *pc = group->call;
    memcpy(&pc->placed[group->from], placed, count * sizeof(*placed));
    free(group);
    pc->open--;
    if (pc->open == 0) {
        reply_placements(pc);
    }
}

/* Places one group. A rack that the host list has not named gets
 * GF_NO_OWNER. */
static void
place_group(GfEntry *entry, PlaceCall *pc, size_t from, size_t to, bool gang)
{
    GfRackAgent *agent = Entry_FindRack(entry, &pc->placements[from].rack);
    if (agent == NULL) {
        for (size_t i = from; i < to; i++) {
            pc->placed[i].kind = GF_NO_OWNER;
        }
        return;
    }
    PlaceGroup *group = calloc(1, sizeof(*group));
    if (group == NULL) {
        abort();
    }
    *group = (PlaceGroup){.call = pc, .from = from};
    pc->open++;
    GfRackAgent_Place(agent, &pc->placements[from], to - from, gang,
                      on_group_placed, group);
}

/* Places tasks on racks that are held here. If any placement is malformed,
 * none is carried out and all get GF_BAD_REQUEST. */
static void
handle_place(void *ctx, GfRpcCall *call, void *args)
{
    const gfx_place_args *in = args;
    PlaceCall *pc = calloc(1, sizeof(*pc));
    if (pc == NULL) {
        abort();
    }
    pc->call = call;
    pc->count = in->places.places_len;
    pc->placements = calloc(pc->count + 1, sizeof(*pc->placements));
    pc->placed = calloc(pc->count + 1, sizeof(*pc->placed));
    if (pc->placements == NULL || pc->placed == NULL) {
        abort();
    }
    bool valid = true;
    for (size_t i = 0; i < pc->count; i++) {
        valid = valid && decode_placement(&in->places.places_val[i],
                                          &pc->placements[i]);
        pc->placed[i].kind = GF_BAD_REQUEST;
    }
    pc->open = 1;
    size_t from = 0;
    while (valid && from < pc->count) {
        size_t to = from + 1;
        while (to < pc->count && GfName_Equal(&pc->placements[from].rack,
                                              &pc->placements[to].rack)) {
            to++;
        }
        place_group(ctx, pc, from, to, in->gang);
        from = to;
    }
    pc->open--;
    if (pc->open == 0) {
        reply_placements(pc);
    }
}

/* Passes completions to the job tracker and replies with the tasks that may be
 * forgotten by their holder. Malformed events are skipped. */
static void
handle_events(void *ctx, GfRpcCall *call, void *args)
{
    GfEntry *entry = ctx;
    const gfx_events *in = args;
    gfx_acked result = {0};
    result.tasks.tasks_val =
        calloc(in->events.events_len + 1, sizeof(gfx_name));
    if (result.tasks.tasks_val == NULL) {
        abort();
    }
    for (u_int i = 0; i < in->events.events_len; i++) {
        const gfx_event *e = &in->events.events_val[i];
        GfTaskEvent event = {.exit_code = e->exit_code};
        if (e->state < 0 || e->state >= GF_TASK_STATES ||
            !GfName_SetText(&event.task, e->task) ||
            !GfName_SetText(&event.rack, e->rack) ||
            !GfName_SetText(&event.worker, e->worker)) {
            continue;
        }
        event.state = (GfTaskState)e->state;
        if (GfJobTracker_HandleEvent(entry->job_tracker, &event)) {
            result.tasks.tasks_val[result.tasks.tasks_len++] = e->task;
        }
    }
    GfRpcCall_Reply(call, &result);
    free(result.tasks.tasks_val);
}

/* The list of a rack's tasks that is being built. */
typedef struct {
    gfx_found_rack *rack;
    size_t capacity;
} Listing;

/* Appends a task to the list of a rack; the strings are copied. Tasks beyond
 * GFX_MAX_TASKS are dropped, and the list is then not complete. */
static void
append_task(void *ctx, const GfTaskEvent *event)
{
    Listing *listing = ctx;
    gfx_found_rack *rack = listing->rack;
    size_t count = rack->tasks.tasks_len;
    if (count == GFX_MAX_TASKS) {
        return;
    }
    if (count == listing->capacity) {
        listing->capacity = listing->capacity * 2 + 16;
        gfx_event *grown =
            realloc(rack->tasks.tasks_val, listing->capacity * sizeof(*grown));
        if (grown == NULL) {
            abort();
        }
        rack->tasks.tasks_val = grown;
    }
    rack->tasks.tasks_val[count] =
        (gfx_event){.task = strdup(event->task.data),
                    .rack = strdup(event->rack.data),
                    .worker = strdup(event->worker.data),
                    .state = (int)event->state,
                    .exit_code = event->exit_code};
    rack->tasks.tasks_len++;
}

/* Replies with the inventory of a partition's tasks on the racks that are held
 * here. Afterwards those racks accept no placement up to the epoch and seq of
 * the query. */
static void
handle_find(void *ctx, GfRpcCall *call, void *args)
{
    GfEntry *entry = ctx;
    const gfx_find *in = args;
    gfx_found result = {0};
    result.racks.racks_val =
        calloc(entry->rack_count + 1, sizeof(gfx_found_rack));
    if (result.racks.racks_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent *agent = entry->racks[i];
        if (!GfRackAgent_IsHeld(agent)) {
            continue;
        }
        gfx_found_rack *out =
            &result.racks.racks_val[result.racks.racks_len++];
        Listing listing = {.rack = out};
        out->rack = strdup(GfRackAgent_Name(agent)->data);
        out->complete =
            GfRackAgent_ListPartitionTasks(agent, in->partition, in->epoch,
                                           in->seq, append_task, &listing) &&
            out->tasks.tasks_len < GFX_MAX_TASKS;
    }
    GfRpcCall_Reply(call, &result);
    xdr_free((xdrproc_t)xdr_gfx_found, (char *)&result);
}

/* Stops, checkpoints or throttles a task on a rack that is held here. The
 * reply says only that the stop was passed on. */
static void
handle_stop(void *ctx, GfRpcCall *call, void *args)
{
    const gfx_stop *in = args;
    GfName rack;
    GfName task;
    GfRackAgent *agent = NULL;
    if (GfName_SetText(&rack, in->rack) && GfName_SetText(&task, in->task) &&
        in->mode >= 0 && in->mode < GF_STOP_MODES) {
        agent = Entry_FindRack(ctx, &rack);
    }
    if (agent == NULL) {
        reply_refusal(call, GF_NO_OWNER,
                      "malformed stop, or a rack unknown to this entry");
        return;
    }
    GfRackAgent_Stop(agent, &task, (GfStopMode)in->mode);
    GfAnswer answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "%s", "");
    reply_answer(call, &answer);
}

/* Executes a call about a job whose partition is owned here. */
static void
handle_job(void *ctx, GfRpcCall *call, void *args)
{
    EntryJobs_HandleCall(ctx, args, reply_answer, call);
}

/* Replies with the control document; it is empty if this entry has none. */
static void
handle_control(void *ctx, GfRpcCall *call, void *args)
{
    (void)args;
    GfEntry *entry = ctx;
    gfx_control result = {0};
    const json_t *document = GfControl_Document(entry->control);
    char *text = document == NULL ? NULL : json_dumps(document, JSON_COMPACT);
    if (text != NULL) {
        result.document_version = GfControl_Version(entry->control);
        result.document.document_val = text;
        result.document.document_len = (u_int)strlen(text);
    }
    GfRpcCall_Reply(call, &result);
    free(text);
}

static const GfRpcProcedure PROCEDURES[] = {
    GF_RPC_PROCEDURE(GFX_BEAT, gfx_beat, gfx_beat_reply, handle_heartbeat),
    GF_RPC_PROCEDURE(GFX_REQUEST, gfx_request, gfx_answer, handle_request),
    GF_RPC_PROCEDURE(GFX_EXECUTE, gfx_request, gfx_answer, handle_execute),
    GF_RPC_PROCEDURE(GFX_PLACE, gfx_place_args, gfx_place_result,
                     handle_place),
    GF_RPC_PROCEDURE(GFX_EVENTS, gfx_events, gfx_acked, handle_events),
    GF_RPC_PROCEDURE(GFX_FIND, gfx_find, gfx_found, handle_find),
    GF_RPC_PROCEDURE(GFX_STOP, gfx_stop, gfx_answer, handle_stop),
    GF_RPC_PROCEDURE(GFX_JOB, gfx_job_call, gfx_answer, handle_job),
    GF_RPC_PROCEDURE(GFX_CONTROL, gfx_control_ask, gfx_control,
                     handle_control),
};

const GfRpcProgram ENTRY_PEER_PROGRAM = {
    .program = GFX_PEER,
    .version = GFX_PEER_V1,
    .procedures = PROCEDURES,
    .procedure_count = sizeof(PROCEDURES) / sizeof(PROCEDURES[0])};
