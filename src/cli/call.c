#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "cli.h"
#include "guavaflow/http.h"

#define DEFAULT_ENTRY "127.0.0.1:8000"
#define ADDRESS_BYTES 64
#define MAX_HEADERS 8
#define MAX_PORT 65535
#define KEY_ENVIRONMENT_VARIABLE "GUAVAFLOW_KEY"

/* State of a call while the event loop waits for the reply. */
typedef struct {
    struct event_base *base;
    CliReply *reply;
    GfErrorKind kind;
    bool sent;
} PendingCall;

/* Stores the result of the call and ends the event loop. */
static void
on_reply(void *arg, const GfHttpResult *result)
{
    PendingCall *pending = arg;
    pending->kind = result->kind;
    pending->sent = result->sent;
    if (result->kind == GF_OK) {
        pending->reply->status = result->status;
        pending->reply->body = GfHttp_ParseJson(result);
        if (pending->reply->body == NULL) {
            pending->reply->body =
                json_stringn(result->body, result->body_len);
        }
    }
    event_base_loopexit(pending->base, NULL);
}

/* Splits the option --entry, or its default, into address and port. */
static bool
parse_entry_option(char address[ADDRESS_BYTES], uint16_t *port, GfError *error)
{
    const char *text = cli_call_options.entry == NULL ? DEFAULT_ENTRY
                                                      : cli_call_options.entry;
    const char *colon = strrchr(text, ':');
    long value = colon == NULL ? 0 : strtol(colon + 1, NULL, 10);
    if (colon == NULL || (size_t)(colon - text) >= ADDRESS_BYTES ||
        value < 1 || value > MAX_PORT) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "--entry is \"%s\"; allowed is ADDRESS:PORT", text);
    }
    memcpy(address, text, (size_t)(colon - text));
    address[colon - text] = '\0';
    *port = (uint16_t)value;
    return true;
}

/* Makes an HTTP call to the entry of the options and waits for the reply.
 * method is "POST" or "GET"; body may be NULL. headers is a NULL-terminated
 * list of alternating names and values, or NULL; at most MAX_HEADERS are sent
 * in all, with Authorization and Content-Type. Returns true for any HTTP
 * status; the caller then owns reply->body. Returns false with the error set
 * if --entry is invalid or there is no reply. */
bool
Cli_Call(const char *method, const char *path, const char *body,
         const char *const *headers, CliReply *reply, GfError *error)
{
    char address[ADDRESS_BYTES];
    uint16_t port = 0;
    memset(reply, 0, sizeof(*reply));
    if (!parse_entry_option(address, &port, error)) {
        return false;
    }
    GfHttpHeader header_list[MAX_HEADERS];
    size_t count = 0;
    const char *key = cli_call_options.key == NULL
                          ? getenv(KEY_ENVIRONMENT_VARIABLE)
                          : cli_call_options.key;
    GfStr authorization = GfStr_Format("Bearer %s", key == NULL ? "" : key);
    if (key != NULL) {
        header_list[count++] =
            (GfHttpHeader){"Authorization", authorization.data};
    }
    header_list[count++] = (GfHttpHeader){"Content-Type", "application/json"};
    for (size_t i = 0;
         headers != NULL && headers[i] != NULL && count < MAX_HEADERS;
         i += 2) {
        header_list[count++] = (GfHttpHeader){headers[i], headers[i + 1]};
    }
    struct event_base *base = event_base_new();
    GfHttp *http = GfHttp_Create(base);
    PendingCall pending = {.base = base, .reply = reply};
    GfHttpCall call = {.address = address,
                       .port = port,
                       .method = strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST
                                                             : EVHTTP_REQ_GET,
                       .path = path,
                       .headers = header_list,
                       .header_count = count,
                       .body = body,
                       .body_len = body == NULL ? 0 : strlen(body),
                       .timeout_ms = cli_call_options.timeout_ms};
    GfHttp_Start(http, &call, on_reply, &pending);
    event_base_dispatch(base);
    GfHttp_Destroy(http);
    event_base_free(base);
    GfStr_Clear(&authorization);
    if (pending.kind != GF_OK) {
        return GfError_Set(
            error, pending.kind, "call to %s:%u failed (%s); ran: %s", address,
            port, GfError_Name(pending.kind), pending.sent ? "unknown" : "no");
    }
    return true;
}

/* Prints a reply in the format of --output and releases its body. Returns the
 * exit code of the reply's error kind, 0 if it has none. */
int
Cli_PrintReply(const CliReply *reply)
{
    const char *kind = json_string_value(json_object_get(reply->body, "kind"));
    const char *ran = json_string_value(json_object_get(reply->body, "ran"));
    const char *reason =
        json_string_value(json_object_get(reply->body, "reason"));
    json_t *answer = json_object_get(reply->body, "answer");
    if (Cli_WantsJson() || kind == NULL) {
        char *text = json_dumps(reply->body, JSON_INDENT(2) | JSON_ENCODE_ANY);
        printf("%s\n", text);
        free(text);
    }
    else {
        printf("%s, ran: %s", kind, ran == NULL ? "unknown" : ran);
        printf("%s%s\n", reason == NULL ? "" : ": ",
               reason == NULL ? "" : reason);
        if (answer != NULL) {
            char *text = json_dumps(answer, JSON_INDENT(2) | JSON_ENCODE_ANY);
            printf("%s\n", text);
            free(text);
        }
    }
    int code = kind == NULL ? 0 : GfError_ExitCode(GfError_FromName(kind));
    json_decref(reply->body);
    return code;
}
