#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PLACE_TIMEOUT_MS 8000
#define STOP_TIMEOUT_MS 2000
#define EVENTS_TIMEOUT_MS 2000
#define FIND_TIMEOUT_MS 2000
#define JOB_TIMEOUT_MS 4000
#define STUCK_MS 500
#define ASK_AGAIN_MS 50
#define URGENT_FIND_MS 500
#define IDLE_FIND_MS 5000

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
        GfKeeper_Placed(call->entry->keeper, &call->placements[i], &placed[i]);
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

const GfKeeperOps ENTRY_KEEPER_OPS = {.place = on_place,
                                      .stop = on_stop,
                                      .append = on_append,
                                      .may_place = on_may_place};

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
        if (GfKeeper_Event(entry->keeper, &box.local.events[i])) {
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
            GfKeeper_Found(call->entry->keeper, call->partition, call->seq,
                           &rack, in->complete, events, count);
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
        GfKeeper_Found(entry->keeper, partition, seq, GfRackAgent_Name(agent),
                       complete, list.events, list.count);
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
        bool wanted =
            GfKeeper_WantsFind(entry->keeper, i, &urgent, &epoch, &seq);
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

/* Serves a call about a job whose partition is owned here. */
void
EntryJobs_HandleJob(GfEntry *entry, const gfx_job_call *call,
                    GfAnswerCallback callback, void *arg)
{
    GfName job;
    GfName team;
    uint32_t partition = 0;
    GfAnswer answer;
    if (!GfName_SetText(&job, call->job) ||
        !GfName_SetText(&team, call->team) ||
        !GfTask_Partition(&job, &partition) ||
        partition >= entry->settings->partitions) {
        answer = GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO, "no such job");
        callback(arg, &answer);
        return;
    }
    EntryPartition *p = &entry->partitions[partition];
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "the job's partition has no owner yet");
        callback(arg, &answer);
        return;
    }
    if (call->verb == ENTRY_JOB_STATUS) {
        answer = GfKeeper_Status(entry->keeper, &job, &team);
        callback(arg, &answer);
        GfAnswer_Clear(&answer);
        return;
    }
    if (call->verb == ENTRY_JOB_CANCEL) {
        answer = GfKeeper_Cancel(entry->keeper, &job, &team);
        callback(arg, &answer);
        GfAnswer_Clear(&answer);
        return;
    }
    GfError error;
    GfJobSpec spec;
    json_t *body = json_loadb(call->body.body_val, call->body.body_len,
                              JSON_REJECT_DUPLICATES, NULL);
    if (!GfJobSpec_Parse(body, &spec, &error)) {
        answer = GfAnswer_Make(error.kind, GF_RAN_NO, "%s", error.text);
        callback(arg, &answer);
    }
    else if (GfJournal_IsStuck(p->journal, Entry_Now(entry), STUCK_MS) ||
             !Entry_HasStore(entry)) {
        answer = GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                               "the store is away; nothing was accepted");
        callback(arg, &answer);
    }
    else {
        spec.id = job;
        spec.team = team;
        GfKeeper_Submit(entry->keeper, &spec, callback, arg);
    }
    json_decref(body);
}

/* A caller's call about a job, on its way to the owner of the job's
 * partition. */
typedef struct {
    GfEntry *entry;
    EntryJobVerb verb;
    GfName job;
    GfName team;
    GfStr body;
    struct timespec deadline;
    GfAnswerCallback callback;
    void *arg;
    struct event *timer;
} AskCall;

static void ask_owner(AskCall *call);

/* Answers the caller and frees the call. */
static void
end_ask(AskCall *call, const GfAnswer *answer)
{
    call->entry->open_calls--;
    call->callback(call->arg, answer);
    GfStr_Clear(&call->body);
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    free(call);
}

/* Looks for the owner again after a short wait. */
static void
on_ask_again(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    AskCall *call = arg;
    event_free(call->timer);
    call->timer = NULL;
    ask_owner(call);
}

/* Takes the owner's answer. If the partition has no owner, which is so for a
 * while after its owner died, another look is taken while time is left. */
static void
on_owner_answer(void *arg, const GfAnswer *answer)
{
    AskCall *call = arg;
    int64_t left = GfTime_DiffMs(call->deadline, Entry_Now(call->entry));
    if (answer->kind == GF_NO_OWNER && answer->ran == GF_RAN_NO &&
        left > ASK_AGAIN_MS) {
        call->timer = evtimer_new(call->entry->base, on_ask_again, call);
        struct timeval tv = GfTime_Interval(ASK_AGAIN_MS);
        evtimer_add(call->timer, &tv);
        return;
    }
    end_ask(call, answer);
}

/* Takes the answer of another entry, being the owner. */
static void
on_remote_answer(void *arg, const GfRpcOutcome *outcome)
{
    AskCall *call = arg;
    GfAnswer answer;
    if (outcome->kind == GF_OK) {
        answer = EntryXdr_ToAnswer(outcome->result);
    }
    else {
        bool unknown = call->verb == ENTRY_JOB_SUBMIT && outcome->sent;
        answer = GfAnswer_Make(outcome->sent ? outcome->kind : GF_NO_OWNER,
                               unknown ? GF_RAN_UNKNOWN : GF_RAN_NO,
                               "the job's owner gave no answer");
    }
    on_owner_answer(call, &answer);
    GfAnswer_Clear(&answer);
}

/* Sends a call about a job to the owner of its partition. */
static void
ask_owner(AskCall *call)
{
    GfEntry *entry = call->entry;
    uint32_t partition = 0;
    GfName owner;
    GfAnswer answer;
    if (!GfTask_Partition(&call->job, &partition) ||
        partition >= entry->settings->partitions) {
        answer = GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO, "there is no job %s",
                               call->job.data);
        end_ask(call, &answer);
        return;
    }
    gfx_job_call args = {.verb = (int)call->verb,
                         .job = call->job.data,
                         .team = call->team.data};
    args.body.body_val = call->body.data;
    args.body.body_len = (u_int)call->body.len;
    bool known = EntryPartitions_Owner(entry, partition, &owner);
    if (known && Entry_IsSelf(entry, &owner)) {
        EntryJobs_HandleJob(entry, &args, on_owner_answer, call);
        return;
    }
    if (known) {
        GfMetrics_Add(GF_METRIC_FORWARDED, 1);
    }
    if (!known ||
        !EntryPeers_Call(entry, &owner, GFX_JOB, &args, sizeof(gfx_answer),
                         JOB_TIMEOUT_MS, on_remote_answer, call)) {
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "the job's partition has no owner yet");
        on_owner_answer(call, &answer);
    }
}

/* Starts a call about a job. */
static void
start_ask(GfEntry *entry, EntryJobVerb verb, const GfName *job,
          const GfName *team, const GfStr *body, int32_t time_ms,
          GfAnswerCallback callback, void *arg)
{
    AskCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    *call = (AskCall){.entry = entry, .verb = verb, .job = *job};
    call->team = *team;
    if (body != NULL) {
        call->body = GfStr_Copy(body->data, body->len);
    }
    call->deadline = GfTime_AddMs(Entry_Now(entry), time_ms);
    call->callback = callback;
    call->arg = arg;
    entry->open_calls++;
    ask_owner(call);
}

/* Submits a job. With a key, the same submission made twice is one job. */
void
EntryJobs_Submit(GfEntry *entry, const GfName *team, const GfName *key,
                 const GfStr *body, int32_t time_ms, GfAnswerCallback callback,
                 void *arg)
{
    uint64_t number = 0;
    GfName seed;
    if (key->len > 0) {
        seed = GfIdem_Id(team, key);
        number = GfName_Hash(&seed, 1);
    }
    else {
        randombytes_buf(&number, sizeof(number));
        seed = GfName_Format("%llx", (unsigned long long)number);
    }
    GfName job = GfJob_MakeId(EntryPartitions_Of(entry, &seed), number);
    start_ask(entry, ENTRY_JOB_SUBMIT, &job, team, body, time_ms, callback,
              arg);
}

/* Asks for a job's status, or cancels it. */
void
EntryJobs_Ask(GfEntry *entry, EntryJobVerb verb, const GfName *job,
              const GfName *team, int32_t time_ms, GfAnswerCallback callback,
              void *arg)
{
    start_ask(entry, verb, job, team, NULL, time_ms, callback, arg);
}
