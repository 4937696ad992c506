#include "guavaflow/answer.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Makes an answer without a body. The reason is formatted as by printf and
 * truncated to GF_ERROR_TEXT_BYTES. */
GfAnswer
GfAnswer_Make(GfErrorKind kind, GfRan ran, const char *format, ...)
{
    GfAnswer answer = {.kind = kind, .ran = ran};
    va_list args;
    va_start(args, format);
    vsnprintf(answer.reason, sizeof(answer.reason), format, args);
    va_end(args);
    return answer;
}

/* Returns a deep copy; the caller frees it with GfAnswer_Clear. */
GfAnswer
GfAnswer_Copy(const GfAnswer *answer)
{
    GfAnswer copy = *answer;
    copy.body = (GfStr){0};
    if (answer->body.data != NULL) {
        copy.body = GfStr_Copy(answer->body.data, answer->body.len);
    }
    return copy;
}

/* Serializes a JSON document into the body, which replaces the previous body.
 * Takes over the caller's reference to the document. */
void
GfAnswer_SetJson(GfAnswer *answer, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    assert(text != NULL);
    GfStr_Clear(&answer->body);
    answer->body = GfStr_Copy(text, strlen(text));
    free(text);
}

/* Returns the answer as the JSON document that callers receive; the caller
 * owns the reference. A body of valid JSON is embedded as it is, other UTF-8
 * text as a string, and anything else as null. request is the id of the
 * request, NULL or empty if there is none. */
json_t *
GfAnswer_ToJson(const GfAnswer *answer, const GfName *request)
{
    json_t *json = json_pack("{s:s,s:s}", "kind", GfError_Name(answer->kind),
                             "ran", GfRan_Name(answer->ran));
    if (request != NULL && request->len > 0) {
        json_object_set_new(json, "request", json_string(request->data));
    }
    if (answer->reason[0] != '\0') {
        json_object_set_new(json, "reason", json_string(answer->reason));
    }
    if (answer->body.len > 0) {
        json_t *body = json_loadb(answer->body.data, answer->body.len,
                                  JSON_DECODE_ANY, NULL);
        if (body == NULL) {
            body = json_stringn(answer->body.data, answer->body.len);
        }
        if (body == NULL) {
            body = json_null();
        }
        json_object_set_new(json, "answer", body);
    }
    return json;
}

/* Frees the body. Kind and reason stay readable. */
void
GfAnswer_Clear(GfAnswer *answer)
{
    GfStr_Clear(&answer->body);
}
