#include "guavaflow/store.h"

#include <assert.h>
#include <stdlib.h>

struct GfTxn {
    json_t *body;
};

/* Creates an empty transaction. */
GfTxn *
GfTxn_Create(void)
{
    GfTxn *txn = calloc(1, sizeof(*txn));
    if (txn == NULL) {
        abort();
    }
    txn->body = json_pack("{s:[],s:[],s:[]}", "checks", "puts", "deletes");
    return txn;
}

/* Demands that a row has the given version; 0 demands that it is absent. */
void
GfTxn_Check(GfTxn *txn, const GfName *key, int64_t version)
{
    json_array_append_new(json_object_get(txn->body, "checks"),
                          json_pack("{s:s,s:I}", "key", key->data, "version",
                                    (json_int_t)version));
}

/* Writes a row. Takes the value's reference. */
void
GfTxn_Put(GfTxn *txn, const GfName *key, json_t *value)
{
    assert(value != NULL);
    json_array_append_new(
        json_object_get(txn->body, "puts"),
        json_pack("{s:s,s:o}", "key", key->data, "value", value));
}

/* Removes a row. */
void
GfTxn_Delete(GfTxn *txn, const GfName *key)
{
    json_array_append_new(json_object_get(txn->body, "deletes"),
                          json_string(key->data));
}

/* Returns the transaction as {checks, puts, deletes}. */
const json_t *
GfTxn_Body(const GfTxn *txn)
{
    return txn->body;
}

/* Frees the transaction. */
void
GfTxn_Destroy(GfTxn *txn)
{
    if (txn != NULL) {
        json_decref(txn->body);
        free(txn);
    }
}

/* Commits a transaction: all of it, or nothing. */
void
GfStore_Commit(GfStore *store, const GfTxn *txn, GfCommitCallback callback,
               void *arg)
{
    store->ops->commit(store, txn, callback, arg);
}

/* Reads all rows whose keys begin with the prefix. */
void
GfStore_Read(GfStore *store, const char *prefix, GfReadCallback callback,
             void *arg)
{
    store->ops->read(store, prefix, callback, arg);
}

/* Writes an object under a name. */
void
GfStore_PutObject(GfStore *store, const GfName *name, const char *data,
                  size_t len, GfObjectCallback callback, void *arg)
{
    store->ops->put_object(store, name, data, len, callback, arg);
}

/* Reads an object. */
void
GfStore_GetObject(GfStore *store, const GfName *name,
                  GfObjectCallback callback, void *arg)
{
    store->ops->get_object(store, name, callback, arg);
}

/* Frees the adapter. */
void
GfStore_Destroy(GfStore *store)
{
    if (store != NULL) {
        store->ops->destroy(store);
    }
}
