#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "entry_private.h"
#include "guavaflow/log.h"

/* Time for an intent to become durable before callers are refused. */
#define INTENT_TIMEOUT_MS 600

/* A caller that waits for the outcome of a key. */
typedef struct Waiter {
    GfAnswerCallback callback;
    void *arg;
    struct Waiter *next;
} Waiter;

/* A request with a key whose partition is owned here, from the recording of
 * its intent to its outcome. All callers with the same key wait for one
 * operation. */
struct EntryIdemOp {
    GfEntry *entry;
    GfName id;
    uint32_t partition;
    EntryRequest request;
    struct timespec deadline;
    Waiter *waiters;
    bool timed_out; /* callers were told that it did not run */
    bool partition_lost;
    bool sent;
    struct event *timer;
    EntryIdemOp *next;
    EntryIdemOp *prev;
};

/* Returns the operation of a key, or NULL. Operations of a lost partition do
 * not count. */
static EntryIdemOp *
find_op(GfEntry *entry, const GfName *id)
{
    EntryIdemOp *op;
    DL_FOREACH(entry->idem_ops, op)
    {
        if (GfName_Equal(&op->id, id) && !op->partition_lost) {
            return op;
        }
    }
    return NULL;
}

/* Passes the answer to all waiting callers and frees their records. The list
 * is detached first, as a callback may add callers. */
static void
answer_waiters(EntryIdemOp *op, const GfAnswer *answer)
{
    Waiter *all = op->waiters;
    op->waiters = NULL;
    while (all != NULL) {
        Waiter *w = all;
        all = w->next;
        w->callback(w->arg, answer);
        free(w);
    }
}

/* Frees an operation whose callers have been answered. */
static void
free_op(EntryIdemOp *op)
{
    DL_DELETE(op->entry->idem_ops, op);
    if (op->timer != NULL) {
        event_free(op->timer);
    }
    GfStr_Clear(&op->request.body);
    free(op);
}

/* Records the outcome, answers the callers and frees the operation. The answer
 * does not wait for the outcome to become durable: if it is lost, the durable
 * intent alone keeps the key from running again. */
static void
complete_op(EntryIdemOp *op, const GfAnswer *answer)
{
    EntryPartition *p = &op->entry->partitions[op->partition];
    if (!op->partition_lost &&
        GfJournal_State(p->journal) == GF_JOURNAL_OWNED) {
        json_t *record = GfIdem_Finish(p->idem, &op->id, answer);
        GfJournal_Append(p->journal, record, NULL, NULL);
    }
    answer_waiters(op, answer);
    free_op(op);
}

/* Handles the answer to the routed request. */
static void
on_routed(void *arg, const GfAnswer *answer)
{
    complete_op(arg, answer);
}

/* Sends the request after its intent became durable. If that took too long,
 * the request is not sent and the key is set free, as callers may have been
 * told that it did not run. The append fails only if the partition is no
 * longer owned here. */
static void
on_intent_appended(void *arg, GfErrorKind kind)
{
    EntryIdemOp *op = arg;
    if (op->timer != NULL) {
        event_del(op->timer);
    }
    GfAnswer answer;
    if (kind != GF_OK || op->partition_lost) {
        op->partition_lost = true;
        answer = GfAnswer_Make(
            GF_NO_OWNER, GF_RAN_NO,
            "this entry no longer owns the partition of the idempotency key");
        complete_op(op, &answer);
        return;
    }
    int64_t left = GfTime_DiffMs(op->deadline, Entry_Now(op->entry));
    if (op->timed_out || left <= 0) {
        answer = GfAnswer_Make(
            GF_STORE_UNAVAILABLE, GF_RAN_NO,
            "the store took too long to record the intent to run");
        complete_op(op, &answer);
        return;
    }
    op->sent = true;
    op->request.remaining_ms = (int32_t)left;
    EntryRequests_Route(op->entry, &op->request, on_routed, op);
}

/* Answers the callers when the intent takes too long to become durable. The
 * operation stays: the intent may still become durable and must then be
 * revoked. */
static void
on_intent_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EntryIdemOp *op = arg;
    op->timed_out = true;
    GfAnswer answer =
        GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                      "the store did not record the intent to run in time");
    answer_waiters(op, &answer);
}

/* Adds a caller to those that wait for an operation. */
static void
add_waiter(EntryIdemOp *op, GfAnswerCallback callback, void *arg)
{
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        abort();
    }
    *w = (Waiter){.callback = callback, .arg = arg, .next = op->waiters};
    op->waiters = w;
}

/* Starts an operation: appends the intent to run the key to the journal. The
 * request is copied. */
static void
start_op(GfEntry *entry, EntryPartition *p, const GfName *id,
         const EntryRequest *request, GfAnswerCallback callback, void *arg)
{
    EntryIdemOp *op = calloc(1, sizeof(*op));
    if (op == NULL) {
        abort();
    }
    op->entry = entry;
    op->id = *id;
    op->partition = p->number;
    op->request = *request;
    op->request.key = (GfName){0};
    op->request.repeatable = false;
    op->request.body = GfStr_Copy(request->body.data, request->body.len);
    op->deadline = GfTime_AddMs(Entry_Now(entry), request->remaining_ms);
    add_waiter(op, callback, arg);
    DL_APPEND(entry->idem_ops, op);
    op->timer = evtimer_new(entry->base, on_intent_timeout, op);
    struct timeval tv = GfTime_ToTimeval(INTENT_TIMEOUT_MS);
    evtimer_add(op->timer, &tv);
    GfJournal_Append(p->journal, GfIdem_Intend(p->idem, id, GfTime_WallMs()),
                     on_intent_appended, op);
}

/* Runs a request with a key at most once; its partition must be owned here. If
 * the key is in progress, the caller waits for the same outcome; a completed
 * one is answered from its record; one whose outcome is unknown is never run
 * again (GF_OUTCOME_UNKNOWN). The request is only read during the call. The
 * callback is called once, possibly before this returns, with GF_NO_OWNER if
 * the partition is not owned here and GF_STORE_UNAVAILABLE if the intent is
 * not recorded in time; the request did not run in either case. */
void
EntryIdem_Run(GfEntry *entry, const EntryRequest *request,
              GfAnswerCallback callback, void *arg)
{
    GfName id = GfIdem_Id(&request->team, &request->key);
    EntryPartition *p = &entry->partitions[EntryPartitions_ForId(entry, &id)];
    GfAnswer answer = {.kind = GF_OK};
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        answer = GfAnswer_Make(
            GF_NO_OWNER, GF_RAN_NO,
            "this entry does not own the partition of the idempotency key");
        callback(arg, &answer);
        return;
    }
    GfIdemState state = GfIdem_Find(p->idem, &id, &answer);
    EntryIdemOp *op = find_op(entry, &id);
    if (state == GF_IDEM_INTENDED && op != NULL && !op->timed_out) {
        add_waiter(op, callback, arg);
        return;
    }
    if (state == GF_IDEM_FREE &&
        !GfJournal_IsStuck(p->journal, Entry_Now(entry), INTENT_TIMEOUT_MS)) {
        start_op(entry, p, &id, request, callback, arg);
        return;
    }
    if (state == GF_IDEM_FREE || (state == GF_IDEM_INTENDED && op != NULL)) {
        answer = GfAnswer_Make(
            GF_STORE_UNAVAILABLE, GF_RAN_NO,
            "the store does not reply; the request was not started");
    }
    else if (state != GF_IDEM_DONE) {
        answer = GfAnswer_Make(GF_OUTCOME_UNKNOWN, GF_RAN_UNKNOWN,
                               "a request with this idempotency key was "
                               "started before; its outcome is unknown");
    }
    callback(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Detaches the operations of a partition that is no longer owned here, so that
 * their outcomes are not recorded. Those already sent still answer their
 * callers. */
void
EntryIdem_DetachPartition(GfEntry *entry, uint32_t partition)
{
    EntryIdemOp *op;
    DL_FOREACH(entry->idem_ops, op)
    {
        if (op->partition == partition) {
            op->partition_lost = true;
        }
    }
}

/* Frees all operations when the entry is destroyed. Their callers get no
 * answer. */
void
EntryIdem_Destroy(GfEntry *entry)
{
    EntryIdemOp *op;
    EntryIdemOp *tmp;
    DL_FOREACH_SAFE(entry->idem_ops, op, tmp)
    {
        while (op->waiters != NULL) {
            Waiter *w = op->waiters;
            op->waiters = w->next;
            free(w);
        }
        free_op(op);
    }
}
