/* A store in memory whose answers a test can lose, delay or refuse. */
#ifndef GUAVAFLOW_TESTS_FAKE_STORE_H
#define GUAVAFLOW_TESTS_FAKE_STORE_H

#include "guavaflow/store.h"

typedef struct FakeStore FakeStore;

typedef enum {
    FAKE_ANSWER,
    FAKE_LOSE_ANSWER,
    FAKE_LOSE_CALL,
    FAKE_HOLD
} FakeMode;

FakeStore *FakeStore_Create(void);
GfStore *FakeStore_Base(FakeStore *fake);
void FakeStore_SetMode(FakeStore *fake, FakeMode mode);
void FakeStore_IgnoreChecks(FakeStore *fake, bool ignore);
size_t FakeStore_Held(const FakeStore *fake);
void FakeStore_Deliver(FakeStore *fake, size_t index, FakeMode mode);
size_t FakeStore_Commits(const FakeStore *fake);
json_t *FakeStore_Row(FakeStore *fake, const char *key, int64_t *version);

#endif
