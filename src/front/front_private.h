/* The filter chain that every HTTP call of a caller passes: it routes the
 * call, limits the load, authenticates the caller, reads headers and body, and
 * hands the call to the module that serves it. Any filter may answer the call,
 * which ends the chain. */
#ifndef GUAVAFLOW_FRONT_PRIVATE_H
#define GUAVAFLOW_FRONT_PRIVATE_H

#include "../entry/entry_private.h"

/* What a call asks for, as its method and path say. */
typedef enum {
    ROUTE_NONE,
    ROUTE_HEALTH,
    ROUTE_METRICS,
    ROUTE_REQUEST,
    ROUTE_JOB_SUBMIT,
    ROUTE_JOB_STATUS,
    ROUTE_JOB_CANCEL,
    ROUTE_ADMIN,
    ROUTES
} FrontRoute;

/* A caller's call while the filters handle it. Each filter may rely on what
 * the ones before it have set. */
typedef struct {
    GfEntry *entry;
    GfExchange *exchange; /* answered exactly once */
    FrontRoute route;
    GfName resource;        /* service or job named in the path, if any */
    GfName team;            /* charged for the work; empty for operators */
    GfName idempotency_key; /* empty if there is none */
    GfName request_id;      /* id of this call, shown in answers */
    GfName operator_name;   /* for ROUTE_ADMIN only */
    bool repeatable;        /* may run again if the outcome is lost */
    int32_t timeout_ms;
    GfStr body; /* owned by the call */
} FrontCall;

/* FILTER_PASS hands the call to the next filter. FILTER_ANSWERED ends the
 * chain: the call was answered, or a callback will answer it, and it must not
 * be used any more. */
typedef enum { FILTER_PASS, FILTER_ANSWERED } FilterResult;

typedef struct {
    const char *name;
    FilterResult (*run)(FrontCall *call);
} Filter;

FilterResult FrontFilter_Identify(FrontCall *call);
FilterResult FrontFilter_Admit(FrontCall *call);
FilterResult FrontFilter_Authenticate(FrontCall *call);
FilterResult FrontFilter_ReadHeaders(FrontCall *call);
FilterResult FrontFilter_ReadBody(FrontCall *call);
FilterResult FrontFilter_Dispatch(FrontCall *call);

FilterResult Front_Refuse(FrontCall *call, GfErrorKind kind,
                          const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void Front_Answer(void *arg, const GfAnswer *answer);
void Front_FreeCall(FrontCall *call);

#endif
