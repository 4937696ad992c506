/* What a caller is told: the kind, whether the work ran, a reason, and the
 * body that came back. */
#ifndef GUAVAFLOW_ANSWER_H
#define GUAVAFLOW_ANSWER_H

#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

typedef struct {
    GfErrorKind kind;
    GfRan ran;
    char text[GF_ERROR_TEXT_BYTES];
    GfStr body;
} GfAnswer;

typedef void (*GfAnswerCallback)(void *arg, const GfAnswer *answer);

GfAnswer GfAnswer_Make(GfErrorKind kind, GfRan ran, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
GfAnswer GfAnswer_Copy(const GfAnswer *answer);
void GfAnswer_SetJson(GfAnswer *answer, json_t *body);
json_t *GfAnswer_ToJson(const GfAnswer *answer, const GfName *request);
void GfAnswer_Clear(GfAnswer *answer);

#endif
