/* The filter chain of callers' calls. */
#ifndef GUAVAFLOW_FRONT_PRIVATE_H
#define GUAVAFLOW_FRONT_PRIVATE_H

#include "../entry/entry_private.h"

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

/* A call on its way through the filters. */
typedef struct {
    GfEntry *entry;
    GfExchange *exchange;
    FrontRoute route;
    GfName subject;
    GfName team;
    GfName key;
    GfName request;
    GfName operator_name;
    bool repeatable;
    int32_t time_ms;
    GfStr body;
} FrontCall;

/* FILTER_PASS goes on to the next filter; FILTER_ANSWERED ends the chain. */
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
