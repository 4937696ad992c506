/* The final result of a request or an administrative call, as it is returned
 * to the caller over HTTP and forwarded between entries. */
#ifndef GUAVAFLOW_ANSWER_H
#define GUAVAFLOW_ANSWER_H

#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

/* One result. kind is GF_OK on success. ran says whether the work was
 * executed. reason is why it failed, NUL-terminated, and may be empty. body is
 * the payload that came back, mostly JSON; it is owned by the answer and freed
 * by GfAnswer_Clear. */
typedef struct {
    GfErrorKind kind;
    GfRan ran;
    char reason[GF_ERROR_TEXT_BYTES];
    GfStr body;
} GfAnswer;

/* Receives the result of an asynchronous call. The answer belongs to the
 * caller of the callback and is valid only until the callback returns. */
typedef void (*GfAnswerCallback)(void *arg, const GfAnswer *answer);

GfAnswer GfAnswer_Make(GfErrorKind kind, GfRan ran, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
GfAnswer GfAnswer_Copy(const GfAnswer *answer);
void GfAnswer_SetJson(GfAnswer *answer, json_t *body);
json_t *GfAnswer_ToJson(const GfAnswer *answer, const GfName *request);
void GfAnswer_Clear(GfAnswer *answer);

#endif
