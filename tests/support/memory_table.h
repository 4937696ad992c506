/* A table of the store in memory, for tests of code that reads and writes it.
 * Calls are carried out when the test has them answered. A transaction fails
 * with a conflict if a row exists that must not; other versions that it
 * expects are not compared. The transaction that writes a chosen row may stay
 * without an answer and be carried out later. */
#ifndef GUAVAFLOW_TESTS_MEMORY_TABLE_H
#define GUAVAFLOW_TESTS_MEMORY_TABLE_H

#include <jansson.h>

#include "guavaflow/table.h"

#define MEMORY_TABLE_MAX_CALLS 512
#define MEMORY_TABLE_MAX_FOLLOWS 8
#define MEMORY_TABLE_MAX_LATE 8

/* A call in progress. changes and expectations are those of a transaction, as
 * [table, part, key, value or null] and [table, part, key, version]; changes
 * is NULL for a read. */
typedef struct {
    char table[24];
    char part[24];
    char key[24]; /* of a read; empty: all rows of the part */
    json_t *changes;
    json_t *expectations;
    GfTableCallback callback;
    void *arg;
} MemoryCall;

typedef struct {
    GfTable base;
    json_t *rows; /* text by "table/part/key" */
    MemoryCall calls[MEMORY_TABLE_MAX_CALLS];
    size_t open;
    MemoryCall follows[MEMORY_TABLE_MAX_FOLLOWS];
    size_t follow_count;
    MemoryCall late[MEMORY_TABLE_MAX_LATE];
    size_t late_count;
    int64_t version;
    int64_t owner_version; /* of the owner's row */
    size_t transactions;
    const char *refused_table; /* removals from it are refused */
    const char *late_key; /* so many transactions that write it are answered
                             as unknown and carried out later */
    int late_left;
} MemoryTable;

void MemoryTable_Init(MemoryTable *t);
void MemoryTable_Clear(MemoryTable *t);
void MemoryTable_Put(MemoryTable *t, const char *table, const char *part,
                     const char *key, const char *value);
bool MemoryTable_Has(const MemoryTable *t, const char *table, const char *part,
                     const char *key);
void MemoryTable_AnswerAll(MemoryTable *t);
void MemoryTable_CarryOutLate(MemoryTable *t);
void MemoryTable_EndFollows(MemoryTable *t);

#endif
