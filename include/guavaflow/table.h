/* A transactional table of rows behind a table of function pointers. A row is
 * named by table, part and key and has the version of the transaction that
 * wrote it; versions come from one counter. */
#ifndef GUAVAFLOW_TABLE_H
#define GUAVAFLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct GfTable GfTable;

/* REFUSED: surely nothing was done. UNKNOWN: the transaction may have been
 * committed, or may be yet. NO_HISTORY: changes since then are not kept. */
typedef enum {
    GF_TABLE_OK,
    GF_TABLE_CONFLICT,
    GF_TABLE_REFUSED,
    GF_TABLE_NO_HISTORY,
    GF_TABLE_UNKNOWN,
    GF_TABLE_RESULTS
} GfTableResult;

typedef struct {
    const char *table;
    const char *part;
    const char *key;
    int64_t version;
    const char *value;
    size_t value_len;
    bool deleted;
} GfTableRow;

/* version 0: the row does not exist. */
typedef struct {
    const char *table;
    const char *part;
    const char *key;
    int64_t version;
} GfTableExpectation;

typedef struct {
    const char *table;
    const char *part;
    const char *key;
    const char *value; /* NULL: the row is removed */
    size_t value_len;
} GfTableChange;

typedef struct {
    const GfTableExpectation *expectations;
    size_t expectation_count;
    const GfTableChange *changes;
    size_t change_count;
    int timeout_ms;
} GfTableTransaction;

/* rows are valid during the call. version is the newest one of the answer. On
 * CONFLICT the rows are those of the expectations. */
typedef void (*GfTableCallback)(void *arg, GfTableResult result,
                                int64_t version, const GfTableRow *rows,
                                size_t count);

typedef struct {
    void (*transact)(GfTable *table, const GfTableTransaction *transaction,
                     GfTableCallback callback, void *arg);
    void (*read)(GfTable *table, const char *name, const char *part,
                 const char *key, GfTableCallback callback, void *arg);
    void (*follow)(GfTable *table, const char *name, int64_t after,
                   int wait_ms, GfTableCallback callback, void *arg);
    void (*destroy)(GfTable *table);
} GfTableOps;

struct GfTable {
    const GfTableOps *ops;
};

void GfTable_Transact(GfTable *table, const GfTableTransaction *transaction,
                      GfTableCallback callback, void *arg);
void GfTable_Read(GfTable *table, const char *name, const char *part,
                  const char *key, GfTableCallback callback, void *arg);
void GfTable_Follow(GfTable *table, const char *name, int64_t after,
                    int wait_ms, GfTableCallback callback, void *arg);
void GfTable_Destroy(GfTable *table);
const char *GfTableResult_Name(GfTableResult result);

#endif
