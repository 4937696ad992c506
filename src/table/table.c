#include "guavaflow/table.h"

#include <assert.h>

static const char *const RESULT_NAMES[GF_TABLE_RESULTS] = {
    "ok", "conflict", "refused", "no_history", "unknown"};

/* Returns the name of an outcome. */
const char *
GfTableResult_Name(GfTableResult result)
{
    assert(result < GF_TABLE_RESULTS);
    return RESULT_NAMES[result];
}

/* Commits all changes if all expectations hold, else none. */
void
GfTable_Transact(GfTable *table, const GfTableTransaction *transaction,
                 GfTableCallback callback, void *arg)
{
    assert(table != NULL && transaction != NULL && callback != NULL);
    table->ops->transact(table, transaction, callback, arg);
}

/* Reads all rows of a part, or the one with the given key. */
void
GfTable_Read(GfTable *table, const char *name, const char *part,
             const char *key, GfTableCallback callback, void *arg)
{
    assert(table != NULL && name != NULL && part != NULL && callback != NULL);
    table->ops->read(table, name, part, key, callback, arg);
}

/* Waits up to wait_ms for rows that changed after a version. */
void
GfTable_Follow(GfTable *table, const char *name, int64_t after, int wait_ms,
               GfTableCallback callback, void *arg)
{
    assert(table != NULL && name != NULL && callback != NULL);
    table->ops->follow(table, name, after, wait_ms, callback, arg);
}

/* Frees the table's client. */
void
GfTable_Destroy(GfTable *table)
{
    if (table != NULL) {
        table->ops->destroy(table);
    }
}
