#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define INTENT_LIMIT_MS 600

/* A caller that waits for the outcome of a key. */
typedef struct Waiter {
    GfAnswerCallback callback;
    void *arg;
    struct Waiter *next;
} Waiter;

/* A keyed request whose partition is owned here, from its intent to its
 * outcome. It runs once even if several callers bring the same key. */
struct EntryIdemOp {
    GfEntry *entry;
    GfName id;
    uint32_t partition;
    EntryRequest request;
    struct timespec deadline;
    Waiter *waiters;
    bool abandoned;
    bool lost;
    bool sent;
    struct event *timer;
    EntryIdemOp *next;
    EntryIdemOp *prev;
};

/* Finds the operation of a key, or NULL. */
static EntryIdemOp *
find_op(GfEntry *entry, const GfName *id)
{
    EntryIdemOp *op;
    DL_FOREACH(entry->idem_ops, op)
    {
        if (GfName_Equal(&op->id, id) && !op->lost) {
            return op;
        }
    }
    return NULL;
}

/* Answers everyone who waits for a key. */
static void
answer_all(EntryIdemOp *op, const GfAnswer *answer)
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

/* Records the outcome and answers. The record need not be durable first: if
 * it is lost, the intent alone still keeps the key from running again. */
static void
finish(EntryIdemOp *op, const GfAnswer *answer)
{
    EntryPartition *p = &op->entry->partitions[op->partition];
    if (!op->lost && GfJournal_State(p->journal) == GF_JOURNAL_OWNED) {
        json_t *record = GfIdem_Finish(p->idem, &op->id, answer);
        GfJournal_Append(p->journal, record, NULL, NULL);
    }
    answer_all(op, answer);
    free_op(op);
}

/* Takes the outcome of the request. */
static void
on_routed(void *arg, const GfAnswer *answer)
{
    finish(arg, answer);
}

/* Sends the request once its intent is durable. If the callers have been
 * told meanwhile that it did not run, it is not sent. */
static void
on_intent(void *arg, GfErrorKind kind)
{
    EntryIdemOp *op = arg;
    if (op->timer != NULL) {
        event_del(op->timer);
    }
    GfAnswer answer;
    if (kind != GF_OK || op->lost) {
        op->lost = true;
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "the key's partition has another owner");
        finish(op, &answer);
        return;
    }
    int64_t left = GfTime_DiffMs(op->deadline, Entry_Now(op->entry));
    if (op->abandoned || left <= 0) {
        answer = GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                               "the intent was recorded too late");
        finish(op, &answer);
        return;
    }
    op->sent = true;
    op->request.time_ms = (int32_t)left;
    EntryRequests_Route(op->entry, &op->request, on_routed, op);
}

/* Tells the callers at once that the store does not answer. The intent may
 * still become durable; then the key is set free without having run. */
static void
on_intent_late(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EntryIdemOp *op = arg;
    op->abandoned = true;
    GfAnswer answer = GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                                    "the store does not answer");
    answer_all(op, &answer);
}

/* Adds a caller to those who wait for a key. */
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

/* Records the intent to run a key. */
static void
begin(GfEntry *entry, EntryPartition *p, const GfName *id,
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
    op->deadline = GfTime_AddMs(Entry_Now(entry), request->time_ms);
    add_waiter(op, callback, arg);
    DL_APPEND(entry->idem_ops, op);
    op->timer = evtimer_new(entry->base, on_intent_late, op);
    struct timeval tv = GfTime_ToTimeval(INTENT_LIMIT_MS);
    evtimer_add(op->timer, &tv);
    GfJournal_Append(p->journal, GfIdem_Intend(p->idem, id, GfTime_WallMs()),
                     on_intent, op);
}

/* Runs a keyed request whose partition is owned here, at most once. A key
 * that is running is waited for; a finished one is answered from its record;
 * one with unknown outcome is never run again. */
void
EntryIdem_Run(GfEntry *entry, const EntryRequest *request,
              GfAnswerCallback callback, void *arg)
{
    GfName id = GfIdem_Id(&request->team, &request->key);
    EntryPartition *p = &entry->partitions[EntryPartitions_Of(entry, &id)];
    GfAnswer answer = {.kind = GF_OK};
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                               "the key's partition is not owned here");
        callback(arg, &answer);
        return;
    }
    GfIdemState state = GfIdem_Find(p->idem, &id, &answer);
    EntryIdemOp *op = find_op(entry, &id);
    if (state == GF_IDEM_INTENDED && op != NULL && !op->abandoned) {
        add_waiter(op, callback, arg);
        return;
    }
    if (state == GF_IDEM_FREE &&
        !GfJournal_IsStuck(p->journal, Entry_Now(entry), INTENT_LIMIT_MS)) {
        begin(entry, p, &id, request, callback, arg);
        return;
    }
    if (state == GF_IDEM_FREE || (state == GF_IDEM_INTENDED && op != NULL)) {
        answer = GfAnswer_Make(GF_STORE_UNAVAILABLE, GF_RAN_NO,
                               "the store does not answer");
    }
    else if (state != GF_IDEM_DONE) {
        answer = GfAnswer_Make(GF_OUTCOME_UNKNOWN, GF_RAN_UNKNOWN,
                               "the key was tried; its outcome is unknown");
    }
    callback(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Cuts the running operations of a lost partition off from its table. Those
 * already sent still answer their callers. */
void
EntryIdem_Lost(GfEntry *entry, uint32_t partition)
{
    EntryIdemOp *op;
    DL_FOREACH(entry->idem_ops, op)
    {
        if (op->partition == partition) {
            op->lost = true;
        }
    }
}

/* Frees the operations that are open when the entry ends. */
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
