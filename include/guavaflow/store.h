/* Interface of the platform's transactional row store and of its object store,
 * behind a table of function pointers. All calls are asynchronous. A row has a
 * key, a JSON value and a version, which changes with each write. */
#ifndef GUAVAFLOW_STORE_H
#define GUAVAFLOW_STORE_H

#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/http.h"
#include "guavaflow/name.h"

typedef struct GfTxn GfTxn;
typedef struct GfStore GfStore;

typedef enum {
    GF_TXN_COMMITTED,
    GF_TXN_CONFLICT, /* a check did not hold; nothing was written */
    GF_TXN_REFUSED,  /* not accepted or never sent; nothing was written */
    GF_TXN_UNKNOWN,  /* may be committed, now or later */
    GF_TXN_STATES
} GfTxnState;

/* The outcome of a transaction. version is that of the written rows if state
 * is GF_TXN_COMMITTED, else 0. */
typedef struct {
    GfTxnState state;
    int64_t version;
} GfTxnOutcome;

/* One row of a read. value is borrowed from the answer. */
typedef struct {
    GfName key;
    int64_t version;
    json_t *value;
} GfRow;

/* Receives the outcome of a commit, which is valid during the call only. */
typedef void (*GfCommitCallback)(void *arg, const GfTxnOutcome *outcome);

/* kind is GF_OK or GF_STORE_UNAVAILABLE. The rows are sorted by key and valid
 * during the call only. */
typedef void (*GfReadCallback)(void *arg, GfErrorKind kind, const GfRow *rows,
                               size_t count);

/* kind is GF_OK, GF_NOT_FOUND or GF_STORE_UNAVAILABLE. After a read, data
 * holds the object's len bytes, which are valid during the call only. */
typedef void (*GfObjectCallback)(void *arg, GfErrorKind kind, const char *data,
                                 size_t len);

/* The operations of an implementation; the functions below describe them. */
typedef struct {
    void (*commit)(GfStore *store, const GfTxn *txn, GfCommitCallback callback,
                   void *arg);
    void (*read)(GfStore *store, const char *prefix, GfReadCallback callback,
                 void *arg);
    void (*put_object)(GfStore *store, const GfName *name, const char *data,
                       size_t len, GfObjectCallback callback, void *arg);
    void (*get_object)(GfStore *store, const GfName *name,
                       GfObjectCallback callback, void *arg);
    void (*destroy)(GfStore *store);
} GfStoreOps;

/* Base of an implementation: its first member. */
struct GfStore {
    const GfStoreOps *ops;
};

GfTxn *GfTxn_Create(void);
void GfTxn_Check(GfTxn *txn, const GfName *key, int64_t version);
void GfTxn_Put(GfTxn *txn, const GfName *key, json_t *value);
void GfTxn_Delete(GfTxn *txn, const GfName *key);
const json_t *GfTxn_Body(const GfTxn *txn);
void GfTxn_Destroy(GfTxn *txn);

void GfStore_Commit(GfStore *store, const GfTxn *txn,
                    GfCommitCallback callback, void *arg);
void GfStore_Read(GfStore *store, const char *prefix, GfReadCallback callback,
                  void *arg);
void GfStore_PutObject(GfStore *store, const GfName *name, const char *data,
                       size_t len, GfObjectCallback callback, void *arg);
void GfStore_GetObject(GfStore *store, const GfName *name,
                       GfObjectCallback callback, void *arg);
void GfStore_Destroy(GfStore *store);

GfStore *GfHttpStore_Create(GfHttp *http, const char *address, uint16_t port);

#endif
