#include "guavaflow/table.h"

#include <assert.h>

static const char *const RESULT_NAMES[GF_TABLE_RESULTS] = {
    "ok", "conflict", "refused", "invalid", "no_history", "unknown"};

/* Returns the name of a result, for log lines; it is static. */
const char *
GfTableResult_Name(GfTableResult result)
{
    assert(result < GF_TABLE_RESULTS);
    return RESULT_NAMES[result];
}

/* Commits all changes of the transaction in one step if every row has its
 * expected version, else none (GF_TABLE_CONFLICT). The transaction is copied.
 * The callback runs exactly once, possibly before this function returns. */
void
GfTable_Transact(GfTable *table, const GfTableTransaction *transaction,
                 GfTableCallback callback, void *arg)
{
    assert(table != NULL && transaction != NULL && callback != NULL);
    table->ops->transact(table, transaction, callback, arg);
}

/* Reads the row with the given key, or all rows of a part if key is NULL. The
 * texts are copied; the callback runs exactly once, possibly before this
 * function returns. */
void
GfTable_Read(GfTable *table, const char *name, const char *part,
             const char *key, GfTableCallback callback, void *arg)
{
    assert(table != NULL && name != NULL && part != NULL && callback != NULL);
    table->ops->read(table, name, part, key, callback, arg);
}

/* Reads the rows of all parts of a table that changed after a version, waiting
 * up to wait_ms milliseconds for a change. Fails with GF_TABLE_NO_HISTORY if
 * the changes since that version are no longer kept. The callback runs exactly
 * once, possibly before this function returns. */
void
GfTable_Follow(GfTable *table, const char *name, int64_t after, int wait_ms,
               GfTableCallback callback, void *arg)
{
    assert(table != NULL && name != NULL && callback != NULL);
    table->ops->follow(table, name, after, wait_ms, callback, arg);
}

/* Ends with GF_TABLE_UNKNOWN the calls in progress that were started before
 * the latest one that has been answered. Meant for the end of an outage, when
 * these calls may wait for seconds on connections that it has silenced. Must
 * not be called from a GfTableCallback. */
void
GfTable_AbandonOlder(GfTable *table)
{
    assert(table != NULL);
    table->ops->abandon_older(table);
}

/* Writes the latest reading of the store's clock to *reading. Returns false if
 * there is none. */
bool
GfTable_ReadClock(const GfTable *table, GfTableClock *reading)
{
    assert(table != NULL && reading != NULL);
    return table->ops->read_clock != NULL &&
           table->ops->read_clock(table, reading);
}

/* Frees the store's client; NULL is allowed. */
void
GfTable_Destroy(GfTable *table)
{
    if (table != NULL) {
        table->ops->destroy(table);
    }
}
