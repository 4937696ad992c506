/* Interface of a transactional store of rows, behind a table of function
 * pointers. A row is identified by table, part and key; its version is that of
 * the transaction that last wrote it. One counter numbers the transactions on
 * all tables. Texts are NUL-terminated; values are byte strings with a
 * length. All calls are asynchronous. */
#ifndef GUAVAFLOW_TABLE_H
#define GUAVAFLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A client of the store. Its functions take the name of a table in name. */
typedef struct GfTable GfTable;

/* The result of a call. */
typedef enum {
    GF_TABLE_OK,
    GF_TABLE_CONFLICT,   /* an expectation did not hold; nothing was done */
    GF_TABLE_REFUSED,    /* not accepted or never sent; nothing was done */
    GF_TABLE_INVALID,    /* not accepted, nor will a repetition be; nothing
                          * was done */
    GF_TABLE_NO_HISTORY, /* changes since the version are no longer kept */
    GF_TABLE_UNKNOWN,    /* no definite answer; a transaction may be committed,
                          * now or later */
    GF_TABLE_RESULTS
} GfTableResult;

/* A row in an answer. Its texts and value are valid during the callback
 * only. */
typedef struct {
    const char *table;
    const char *part;
    const char *key;
    int64_t version;
    const char *value; /* NULL: none, or it could not be decoded */
    size_t value_len;
    bool deleted; /* the row has been removed */
} GfTableRow;

/* Demands that a row has a version; 0 demands that it does not exist. */
typedef struct {
    const char *table;
    const char *part;
    const char *key;
    int64_t version;
} GfTableExpectation;

/* Writes a row or removes it. */
typedef struct {
    const char *table;
    const char *part;
    const char *key;
    const char *value; /* NULL: the row is removed */
    size_t value_len;
} GfTableChange;

/* Changes that are committed together if all expectations hold. */
typedef struct {
    const GfTableExpectation *expectations;
    size_t expectation_count;
    const GfTableChange *changes;
    size_t change_count;
    int timeout_ms;
} GfTableTransaction;

/* Receives the result of a call. rows is valid during the call only. version
 * is that of the committed transaction, or the newest one that the answer to a
 * read or follow covers; for a read that took several pages it is that of the
 * first page. On CONFLICT rows are those that the expectations name, as they
 * are now. */
typedef void (*GfTableCallback)(void *arg, GfTableResult result,
                                int64_t version, const GfTableRow *rows,
                                size_t count);

/* A reading of the store's steady clock, which all clients of the store share:
 * it showed ms at some time between earliest and latest on the local clock. */
typedef struct {
    int64_t ms;
    struct timespec earliest;
    struct timespec latest;
} GfTableClock;

/* The operations of an implementation; the functions below describe them.
 * read_clock may be NULL if the store has no clock. */
typedef struct {
    void (*transact)(GfTable *table, const GfTableTransaction *transaction,
                     GfTableCallback callback, void *arg);
    void (*read)(GfTable *table, const char *name, const char *part,
                 const char *key, GfTableCallback callback, void *arg);
    void (*follow)(GfTable *table, const char *name, int64_t after,
                   int wait_ms, GfTableCallback callback, void *arg);
    void (*abandon_older)(GfTable *table);
    bool (*read_clock)(const GfTable *table, GfTableClock *reading);
    void (*destroy)(GfTable *table);
} GfTableOps;

/* Base of an implementation: its first member. */
struct GfTable {
    const GfTableOps *ops;
};

void GfTable_Transact(GfTable *table, const GfTableTransaction *transaction,
                      GfTableCallback callback, void *arg);
void GfTable_Read(GfTable *table, const char *name, const char *part,
                  const char *key, GfTableCallback callback, void *arg);
void GfTable_Follow(GfTable *table, const char *name, int64_t after,
                    int wait_ms, GfTableCallback callback, void *arg);
void GfTable_AbandonOlder(GfTable *table);
bool GfTable_ReadClock(const GfTable *table, GfTableClock *reading);
void GfTable_Destroy(GfTable *table);
const char *GfTableResult_Name(GfTableResult result);

#endif
