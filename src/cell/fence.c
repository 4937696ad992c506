/* Tokens of orders. An order without an answer may be carried out seconds
 * later, by the next incarnation of its worker: a hold then acknowledges ends
 * by the numbers of the former one, and extends the lease to a time on its
 * clock. Workers obey only the highest token that they have seen. The token of
 * a term is the version of the owner's claim. Each transaction that the owner
 * stores has a higher version, and the next claim a higher one still. So each
 * incarnation that is noticed gets a token of its own, the version of the
 * latest stored transaction: once it has carried out an order with that token,
 * it refuses those that were meant for the former one.
 *
 * An incarnation gets no tasks before it has answered a hold with its token.
 * Until then its lease may be extended by former holds, as long as these may
 * arrive. */
#include "cell_private.h"
#include "guavaflow/log.h"

/* An order that was sent with the former token has an outcome after this time.
 */
#define SETTLE_MS 1000

/* Gives a worker's incarnation its token, once a transaction has been stored
 * whose version no order to the worker has carried. Returns whether it has
 * been given one. */
static bool
raise_token(GfCell *cell, Worker *w)
{
    if (!w->token_wanted || cell->stored_version <= w->token) {
        return false;
    }
    w->token = cell->stored_version;
    w->token_wanted = false;
    w->token_raised_at = GfClock_Now(cell->clock);
    GfLog(GF_LOG_INFO, CELL_PART, "token raised worker=%s token=%lld",
          w->info.id.data, (long long)w->token);
    return true;
}

/* Records that a worker begins a new incarnation, which may carry out orders
 * that were meant for the former one. */
void
CellFence_Restarted(GfCell *cell, Worker *w)
{
    w->token_unseen = true;
    w->token_wanted = true;
    (void)raise_token(cell, w);
}

/* Records the version of a stored transaction of this owner. Workers that have
 * answered with their former token are asked for an inventory with the new
 * one, as a hold call may stay without an answer for long. */
void
CellFence_Stored(GfCell *cell, int64_t version)
{
    cell->stored_version = version;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (raise_token(cell, w) && w->contacted) {
            CellWorker_Poll(cell, w);
        }
    }
}

/* Records that the present incarnation of a worker has answered a hold that
 * was sent at sent_at. */
void
CellFence_HoldAnswered(GfCell *cell, Worker *w, struct timespec sent_at)
{
    if (!w->token_unseen || w->token_wanted ||
        GfTime_Before(sent_at, w->token_raised_at)) {
        return;
    }
    CellWorker_AssumeForeignLease(cell, w);
    w->token_unseen = false;
    cell->dirty = true;
}

/* Returns whether the outcome of a hold that was sent at sent_at shows that
 * another owner has called the worker, and reports that to ops->fenced. */
bool
CellFence_HoldEndsTerm(GfCell *cell, const Worker *w, GfOrderResult result,
                       struct timespec sent_at)
{
    if (result != GF_ORDER_FENCED ||
        GfTime_Before(sent_at, w->token_raised_at)) {
        return false;
    }
    cell->ops->fenced(cell->ctx, &w->info.id);
    return true;
}

/* Returns whether the outcome of another order to a worker, which may be NULL,
 * shows that another owner has called the worker, and reports that to
 * ops->fenced. If the order was refused for the worker's new token, changes
 * the result to GF_ORDER_REFUSED. */
bool
CellFence_EndsTerm(GfCell *cell, const Worker *w, GfOrderResult *result)
{
    if (*result != GF_ORDER_FENCED) {
        return false;
    }
    if (w != NULL && GfTime_DiffMs(GfClock_Now(cell->clock),
                                   w->token_raised_at) < SETTLE_MS) {
        *result = GF_ORDER_REFUSED;
        return false;
    }
    if (w != NULL) {
        cell->ops->fenced(cell->ctx, &w->info.id);
    }
    return true;
}
