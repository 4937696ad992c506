#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Timeout of a call to the owner of a job's partition. */
#define JOB_CALL_TIMEOUT_MS 4000
/* Jobs are refused if records wait longer than this to become durable. */
#define JOURNAL_STUCK_MS 500
/* Pause before the owner is looked up again. */
#define RETRY_MS 50

/* Executes a call about a job whose partition is owned here. call is only
 * read during the call. The callback is called once, for a submission after
 * its record is durable. Errors include GF_NOT_FOUND, GF_NO_OWNER if the
 * partition is not owned here, and GF_STORE_UNAVAILABLE if a job cannot be
 * recorded now. */
void
EntryJobs_HandleCall(GfEntry *entry, const gfx_job_call *call,
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
        answer =
            GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO,
                          "malformed call, or the job id names no partition");
        callback(arg, &answer);
        return;
    }
    EntryPartition *p = &entry->partitions[partition];
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "this entry does not own the job's partition");
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
    else if (GfJournal_IsStuck(p->journal, Entry_Now(entry),
                               JOURNAL_STUCK_MS) ||
             !Entry_StoreIsReachable(entry)) {
        answer = GfAnswer_Make(
            GF_STORE_UNAVAILABLE, GF_RAN_NO,
            "the store is unreachable; the job was not accepted");
        callback(arg, &answer);
    }
    else {
        spec.id = job;
        spec.team = team;
        GfJobTracker_Submit(entry->job_tracker, &spec, callback, arg);
    }
    json_decref(body);
}

/* A caller's call about a job, until the owner of the job's partition has
 * answered it. body is set for submissions only. */
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
} JobCall;

static void call_owner(JobCall *call);

/* Answers the caller and frees the call. */
static void
end_call(JobCall *call, const GfAnswer *answer)
{
    call->entry->open_calls--;
    call->callback(call->arg, answer);
    GfStr_Clear(&call->body);
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    free(call);
}

/* Looks up the owner again after a pause. */
static void
on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    JobCall *call = arg;
    event_free(call->timer);
    call->timer = NULL;
    call_owner(call);
}

/* Handles the owner's answer. While the partition has no owner, for example
 * after the last one failed, the call is repeated until its deadline. */
static void
on_owner_answer(void *arg, const GfAnswer *answer)
{
    JobCall *call = arg;
    int64_t left = GfTime_DiffMs(call->deadline, Entry_Now(call->entry));
    if (answer->kind == GF_NO_OWNER && answer->ran == GF_RAN_NO &&
        left > RETRY_MS) {
        call->timer = evtimer_new(call->entry->base, on_retry_timer, call);
        struct timeval tv = GfTime_ToTimeval(RETRY_MS);
        evtimer_add(call->timer, &tv);
        return;
    }
    end_call(call, answer);
}

/* Handles the outcome of a call to another entry that owns the partition. A
 * submission that was sent but not answered may have been accepted. */
static void
on_remote_answer(void *arg, const GfRpcOutcome *outcome)
{
    JobCall *call = arg;
    GfAnswer answer;
    if (outcome->kind == GF_OK) {
        answer = EntryXdr_ToAnswer(outcome->result);
    }
    else {
        bool unknown = call->verb == ENTRY_JOB_SUBMIT && outcome->sent;
        answer =
            GfAnswer_Make(outcome->sent ? outcome->kind : GF_NO_OWNER,
                          unknown ? GF_RAN_UNKNOWN : GF_RAN_NO,
                          "the owner of the job's partition did not reply");
    }
    on_owner_answer(call, &answer);
    GfAnswer_Clear(&answer);
}

/* Passes a call to the owner of the job's partition: this entry or a peer. */
static void
call_owner(JobCall *call)
{
    GfEntry *entry = call->entry;
    uint32_t partition = 0;
    GfName owner;
    GfAnswer answer;
    if (!GfTask_Partition(&call->job, &partition) ||
        partition >= entry->settings->partitions) {
        answer = GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO,
                               "job id %s does not exist", call->job.data);
        end_call(call, &answer);
        return;
    }
    gfx_job_call args = {.verb = (int)call->verb,
                         .job = call->job.data,
                         .team = call->team.data};
    args.body.body_val = call->body.data;
    args.body.body_len = (u_int)call->body.len;
    bool known = EntryPartitions_FindOwner(entry, partition, &owner);
    if (known && Entry_IsSelf(entry, &owner)) {
        EntryJobs_HandleCall(entry, &args, on_owner_answer, call);
        return;
    }
    if (known) {
        GfMetrics_Add(GF_METRIC_FORWARDED, 1);
    }
    if (!known ||
        !EntryPeers_Call(entry, &owner, GFX_JOB, &args, sizeof(gfx_answer),
                         JOB_CALL_TIMEOUT_MS, on_remote_answer, call)) {
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "no owner of the job's partition is known");
        on_owner_answer(call, &answer);
    }
}

/* Starts a call about a job. All arguments are copied; body may be NULL.
 * time_ms is the time for repeated attempts. */
static void
start_call(GfEntry *entry, EntryJobVerb verb, const GfName *job,
           const GfName *team, const GfStr *body, int32_t time_ms,
           GfAnswerCallback callback, void *arg)
{
    JobCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    *call = (JobCall){.entry = entry, .verb = verb, .job = *job};
    call->team = *team;
    if (body != NULL) {
        call->body = GfStr_Copy(body->data, body->len);
    }
    call->deadline = GfTime_AddMs(Entry_Now(entry), time_ms);
    call->callback = callback;
    call->arg = arg;
    entry->open_calls++;
    call_owner(call);
}

/* Submits a job; body is its specification in JSON and is copied. With a key,
 * the job's id is derived from team and key, so a repeated submission is the
 * same job; with an empty key it is random. time_ms is the time in which an
 * owner must be found. The callback is called once with the answer. */
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
    GfName job = GfJob_MakeId(EntryPartitions_ForId(entry, &seed), number);
    start_call(entry, ENTRY_JOB_SUBMIT, &job, team, body, time_ms, callback,
               arg);
}

/* Queries the status of a job or cancels it, as verb says. The arguments are
 * copied; time_ms and the callback are as for EntryJobs_Submit. */
void
EntryJobs_CallOwner(GfEntry *entry, EntryJobVerb verb, const GfName *job,
                    const GfName *team, int32_t time_ms,
                    GfAnswerCallback callback, void *arg)
{
    start_call(entry, verb, job, team, NULL, time_ms, callback, arg);
}
