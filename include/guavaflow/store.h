/* The platform's transactional table and object store, behind a table of
 * function pointers. */
#ifndef GUAVAFLOW_STORE_H
#define GUAVAFLOW_STORE_H

#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/http.h"
#include "guavaflow/name.h"

typedef struct GfTxn GfTxn;
typedef struct GfStore GfStore;

/* GF_TXN_UNKNOWN: the transaction may have been committed, or may be yet. */
typedef enum {
    GF_TXN_COMMITTED,
    GF_TXN_CONFLICT,
    GF_TXN_REFUSED,
    GF_TXN_UNKNOWN,
    GF_TXN_STATES
} GfTxnState;

typedef struct {
    GfTxnState state;
    int64_t version;
} GfTxnOutcome;

typedef struct {
    GfName key;
    int64_t version;
    json_t *value;
} GfRow;

typedef void (*GfCommitCallback)(void *arg, const GfTxnOutcome *outcome);
/* kind is GF_OK or GF_STORE_UNAVAILABLE; the rows are sorted by key and are
 * valid during the call. */
typedef void (*GfReadCallback)(void *arg, GfErrorKind kind, const GfRow *rows,
                               size_t count);
typedef void (*GfObjectCallback)(void *arg, GfErrorKind kind, const char *data,
                                 size_t len);

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
