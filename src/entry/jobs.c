#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define JOB_TIMEOUT_MS 4000
#define STUCK_MS 500
#define ASK_AGAIN_MS 50

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
        answer = GfJobTracker_Status(entry->job_tracker, &job, &team);
        callback(arg, &answer);
        GfAnswer_Clear(&answer);
        return;
    }
    if (call->verb == ENTRY_JOB_CANCEL) {
        answer = GfJobTracker_Cancel(entry->job_tracker, &job, &team);
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
        GfJobTracker_Submit(entry->job_tracker, &spec, callback, arg);
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
        struct timeval tv = GfTime_ToTimeval(ASK_AGAIN_MS);
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
