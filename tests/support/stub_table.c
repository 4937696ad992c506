#include "stub_table.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Adds a call in progress. */
static void
add_call(GfTable *table, StubCall call)
{
    StubTable *stub = (StubTable *)table;
    assert(stub->open < STUB_TABLE_MAX_CALLS);
    stub->calls[stub->open++] = call;
    stub->started++;
}

static void
stub_read(GfTable *table, const char *name, const char *part, const char *key,
          GfTableCallback callback, void *arg)
{
    (void)name;
    (void)key;
    StubCall call = {.is_read = true, .callback = callback, .arg = arg};
    snprintf(call.part, sizeof(call.part), "%s", part);
    add_call(table, call);
}

static void
stub_follow(GfTable *table, const char *name, int64_t after, int wait_ms,
            GfTableCallback callback, void *arg)
{
    (void)name;
    (void)wait_ms;
    add_call(table,
             (StubCall){.after = after, .callback = callback, .arg = arg});
}

static void
stub_transact(GfTable *table, const GfTableTransaction *transaction,
              GfTableCallback callback, void *arg)
{
    (void)transaction;
    add_call(
        table,
        (StubCall){.is_transaction = true, .callback = callback, .arg = arg});
}

static void
stub_abandon_older(GfTable *table)
{
    ((StubTable *)table)->abandoned++;
}

static const GfTableOps OPS = {.read = stub_read,
                               .follow = stub_follow,
                               .transact = stub_transact,
                               .abandon_older = stub_abandon_older};

/* Prepares a table without calls. */
void
StubTable_Init(StubTable *stub)
{
    memset(stub, 0, sizeof(*stub));
    stub->base.ops = &OPS;
}

/* Answers the oldest call in progress, of which there must be one, and returns
 * it. */
StubCall
StubTable_Answer(StubTable *stub, GfTableResult result, int64_t version,
                 const GfTableRow *rows, size_t count)
{
    assert(stub->open > 0);
    StubCall call = stub->calls[0];
    stub->open--;
    memmove(&stub->calls[0], &stub->calls[1], stub->open * sizeof(StubCall));
    call.callback(call.arg, result, version, rows, count);
    return call;
}
