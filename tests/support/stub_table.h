/* A stand-in for a table of the store that records the calls in progress and
 * lets a test answer them, for tests of code that follows the store. */
#ifndef GUAVAFLOW_TESTS_STUB_TABLE_H
#define GUAVAFLOW_TESTS_STUB_TABLE_H

#include "guavaflow/table.h"

/* Calls that can be in progress at a time. */
#define STUB_TABLE_MAX_CALLS 32

/* A call in progress. part is that of a read, after that of a follow request.
 */
typedef struct {
    bool is_read;
    bool is_transaction;
    char part[64];
    int64_t after;
    GfTableCallback callback;
    void *arg;
} StubCall;

typedef struct {
    GfTable base;
    StubCall calls[STUB_TABLE_MAX_CALLS];
    size_t open;      /* calls in progress */
    size_t started;   /* calls so far */
    size_t abandoned; /* requests to abandon older calls */
} StubTable;

void StubTable_Init(StubTable *stub);
StubCall StubTable_Answer(StubTable *stub, GfTableResult result,
                          int64_t version, const GfTableRow *rows,
                          size_t count);

#endif
