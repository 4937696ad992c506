#include "guavaflow/store.h"

#include <assert.h>
#include <stdlib.h>

/* body is the transaction as it goes on the wire, in three lists: checks, puts
 * and deletes. */
struct GfTxn {
    json_t *body;
};

/* Creates an empty transaction, which GfTxn_Destroy frees. */
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

/* Adds the condition that a row has the given version; 0 means that it does
 * not exist. */
void
GfTxn_Check(GfTxn *txn, const GfName *key, int64_t version)
{
    json_array_append_new(json_object_get(txn->body, "checks"),
                          json_pack("{s:s,s:I}", "key", key->data, "version",
                                    (json_int_t)version));
}

/* Adds a row to write, creating or replacing it. Takes the reference to
 * value. */
void
GfTxn_Put(GfTxn *txn, const GfName *key, json_t *value)
{
    assert(value != NULL);
    json_array_append_new(
        json_object_get(txn->body, "puts"),
        json_pack("{s:s,s:o}", "key", key->data, "value", value));
}

/* Adds a row to delete. */
void
GfTxn_Delete(GfTxn *txn, const GfName *key)
{
    json_array_append_new(json_object_get(txn->body, "deletes"),
                          json_string(key->data));
}

/* Returns the transaction as a JSON object with the lists checks, puts and
 * deletes. The transaction keeps the reference. */
const json_t *
GfTxn_Body(const GfTxn *txn)
{
    return txn->body;
}

/* Frees a transaction; NULL is allowed. */
void
GfTxn_Destroy(GfTxn *txn)
{
    if (txn != NULL) {
        json_decref(txn->body);
        free(txn);
    }
}

/* Commits a transaction, either all of it or nothing. The transaction is
 * copied; the callback runs exactly once, possibly before this function
 * returns. */
void
GfStore_Commit(GfStore *store, const GfTxn *txn, GfCommitCallback callback,
               void *arg)
{
    store->ops->commit(store, txn, callback, arg);
}

/* Reads all rows whose keys begin with prefix. The callback runs exactly once,
 * possibly before this function returns. */
void
GfStore_Read(GfStore *store, const char *prefix, GfReadCallback callback,
             void *arg)
{
    store->ops->read(store, prefix, callback, arg);
}

/* Writes the object name, of len bytes, which are copied. The callback runs
 * exactly once, possibly before this function returns. */
void
GfStore_PutObject(GfStore *store, const GfName *name, const char *data,
                  size_t len, GfObjectCallback callback, void *arg)
{
    store->ops->put_object(store, name, data, len, callback, arg);
}

/* Reads the object name. The callback runs exactly once, possibly before this
 * function returns. */
void
GfStore_GetObject(GfStore *store, const GfName *name,
                  GfObjectCallback callback, void *arg)
{
    store->ops->get_object(store, name, callback, arg);
}

/* Frees the store's client; NULL is allowed. */
void
GfStore_Destroy(GfStore *store)
{
    if (store != NULL) {
        store->ops->destroy(store);
    }
}
