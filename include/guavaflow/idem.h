/* Idempotency keys of non-repeatable requests. For each key the table holds
 * whether its request was started and with what outcome, so that it runs at
 * most once. The table is in memory. GfIdem_Intend and GfIdem_Finish return
 * JSON records that the caller appends to the journal of the key's partition;
 * replaying the journal rebuilds the table. */
#ifndef GUAVAFLOW_IDEM_H
#define GUAVAFLOW_IDEM_H

#include "guavaflow/answer.h"

typedef struct GfIdem GfIdem;

typedef enum {
    GF_IDEM_FREE,     /* never used, or its request certainly did not run */
    GF_IDEM_INTENDED, /* the request may be running; no outcome yet */
    GF_IDEM_DONE,     /* the request ran and its outcome is stored */
    GF_IDEM_UNKNOWN,  /* may have run, outcome lost; must not run again */
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
