/* Outcomes of non-repeatable requests by idempotency key: a table that is
 * rebuilt from a journal. A key runs at most once. */
#ifndef GUAVAFLOW_IDEM_H
#define GUAVAFLOW_IDEM_H

#include "guavaflow/answer.h"

typedef struct GfIdem GfIdem;

typedef enum {
    GF_IDEM_FREE,
    GF_IDEM_INTENDED,
    GF_IDEM_DONE,
    GF_IDEM_UNKNOWN,
    GF_IDEM_STATES
} GfIdemState;

GfIdem *GfIdem_Create(void);
void GfIdem_Destroy(GfIdem *idem);
void GfIdem_Clear(GfIdem *idem);
GfName GfIdem_Id(const GfName *team, const GfName *key);
GfIdemState GfIdem_Find(const GfIdem *idem, const GfName *id,
                        GfAnswer *answer);
json_t *GfIdem_Intend(GfIdem *idem, const GfName *id, int64_t wall_ms);
json_t *GfIdem_Finish(GfIdem *idem, const GfName *id, const GfAnswer *answer);
void GfIdem_SetUnknown(GfIdem *idem, const GfName *id);
void GfIdem_Replay(GfIdem *idem, const json_t *record);
void GfIdem_Snapshot(const GfIdem *idem, json_t *records, int64_t oldest_ms);
size_t GfIdem_Count(const GfIdem *idem);

#endif
