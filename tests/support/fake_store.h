/* An in-memory store for tests of code that must cope with lost, delayed and
 * reordered transactions. Reads and objects are answered within the call, and
 * so are transactions unless they are held back. */
#ifndef GUAVAFLOW_TESTS_FAKE_STORE_H
#define GUAVAFLOW_TESTS_FAKE_STORE_H

#include "guavaflow/store.h"

typedef struct FakeStore FakeStore;

/* How transactions are handled. */
typedef enum {
    FAKE_STORE_REPLY,        /* carried out, with a reply */
    FAKE_STORE_LOSE_REPLY,   /* carried out; the outcome is unknown */
    FAKE_STORE_LOSE_REQUEST, /* not carried out; the outcome is unknown */
    FAKE_STORE_HOLD          /* held back until FakeStore_Deliver */
} FakeStoreMode;

FakeStore *FakeStore_Create(void);
GfStore *FakeStore_Base(FakeStore *fake);
void FakeStore_SetMode(FakeStore *fake, FakeStoreMode mode);
void FakeStore_IgnoreChecks(FakeStore *fake, bool ignore);
size_t FakeStore_CountHeld(const FakeStore *fake);
void FakeStore_Deliver(FakeStore *fake, size_t index, FakeStoreMode mode);
size_t FakeStore_CountCommits(const FakeStore *fake);
json_t *FakeStore_Row(FakeStore *fake, const char *key, int64_t *version);

#endif
