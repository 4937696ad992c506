#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front_private.h"

/* Seconds, as sent in the header Retry-After. */
#define RETRY_AFTER_S "1"

/* The filters, in the order in which they run. */
static const Filter CHAIN[] = {
    {"identify", FrontFilter_Identify},
    {"admit", FrontFilter_Admit},
    {"authenticate", FrontFilter_Authenticate},
    {"read headers", FrontFilter_ReadHeaders},
    {"read body", FrontFilter_ReadBody},
    {"dispatch", FrontFilter_Dispatch},
};

/* Frees a call whose exchange has been answered or handed on. */
void
Front_FreeCall(FrontCall *call)
{
    GfStr_Clear(&call->body);
    free(call);
}

/* Answers a call over HTTP and frees it. Matches GfAnswerCallback; arg is the
 * FrontCall. The answer stays with the caller. */
void
Front_Answer(void *arg, const GfAnswer *answer)
{
    FrontCall *call = arg;
    int status = GfError_HttpStatus(answer->kind);
    if (call->route == ROUTE_JOB_SUBMIT && answer->kind == GF_OK) {
        status = 202;
    }
    if (GfError_MayRetry(answer->kind)) {
        GfExchange_AddHeader(call->exchange, "Retry-After", RETRY_AFTER_S);
    }
    GfExchange_ReplyJson(call->exchange, status,
                         GfAnswer_ToJson(answer, &call->request_id));
    Front_FreeCall(call);
}

/* Answers that a call was refused and its work did not run, and frees the
 * call. Returns FILTER_ANSWERED, so that a filter can return the result. */
FilterResult
Front_Refuse(FrontCall *call, GfErrorKind kind, const char *format, ...)
{
    GfAnswer answer = GfAnswer_Make(kind, GF_RAN_NO, "%s", "");
    va_list args;
    va_start(args, format);
    vsnprintf(answer.reason, sizeof(answer.reason), format, args);
    va_end(args);
    Front_Answer(call, &answer);
    return FILTER_ANSWERED;
}

/* Handles a caller's HTTP call; ctx is the GfEntry. The exchange is answered
 * here or later, in a callback. */
void
EntryFront_Handle(void *ctx, GfExchange *exchange)
{
    FrontCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->entry = ctx;
    call->exchange = exchange;
    for (size_t i = 0; i < sizeof(CHAIN) / sizeof(CHAIN[0]); i++) {
        if (CHAIN[i].run(call) == FILTER_ANSWERED) {
            return;
        }
    }
}
