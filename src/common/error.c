#include "guavaflow/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* What a caller receives for one kind. may_retry: another rack or a later
 * attempt may succeed. */
typedef struct {
    const char *name;
    int http_status;
    int exit_code;
    bool may_retry;
} KindInfo;

static const KindInfo KIND_INFO[GF_ERROR_KINDS] = {
    [GF_OK] = {"ok", 200, 0, false},
    [GF_BAD_REQUEST] = {"bad_request", 400, 2, false},
    [GF_UNAUTHENTICATED] = {"unauthenticated", 401, 3, false},
    [GF_FORBIDDEN] = {"forbidden", 403, 3, false},
    [GF_NOT_FOUND] = {"not_found", 404, 4, false},
    [GF_CONFLICT] = {"conflict", 409, 5, false},
    [GF_TOO_LARGE] = {"too_large", 413, 2, false},
    [GF_NEVER_FITS] = {"never_fits", 422, 5, false},
    [GF_LIMIT_REACHED] = {"limit_reached", 429, 6, true},
    [GF_BUSY] = {"busy", 503, 6, true},
    [GF_NO_OWNER] = {"no_owner", 503, 6, true},
    [GF_STORE_UNAVAILABLE] = {"store_unavailable", 503, 6, true},
    [GF_NOT_CONFIRMED] = {"not_confirmed", 503, 6, true},
    [GF_LEASE_LOST] = {"lease_lost", 503, 6, true},
    [GF_TIMEOUT] = {"timeout", 504, 7, true},
    [GF_CONNECTION_LOST] = {"connection_lost", 502, 7, true},
    [GF_TARGET_FAILED] = {"target_failed", 502, 7, false},
    [GF_OUTCOME_UNKNOWN] = {"outcome_unknown", 502, 7, false},
    [GF_CANCELLED] = {"cancelled", 409, 5, false},
    [GF_NO_SUCH_JOB] = {"no_such_job", 410, 4, false},
    [GF_STOPPING] = {"stopping", 503, 6, true},
    [GF_PROTOCOL] = {"protocol", 502, 7, false},
    [GF_BAD_CONFIG] = {"bad_config", 500, 8, false},
    [GF_INTERNAL] = {"internal", 500, 9, false},
};

static const char *const RAN_NAMES[GF_RANS] = {"no", "yes", "unknown"};

/* Sets kind and text of the error, unless error is NULL. The text is formatted
 * as by printf and truncated to GF_ERROR_TEXT_BYTES. Always returns false, so
 * that a failing function can write return GfError_Set(...). */
bool
GfError_Set(GfError *error, GfErrorKind kind, const char *format, ...)
{
    assert(kind < GF_ERROR_KINDS);
    if (error == NULL) {
        return false;
    }
    error->kind = kind;
    va_list args;
    va_start(args, format);
    vsnprintf(error->text, sizeof(error->text), format, args);
    va_end(args);
    return false;
}

/* Returns the name of a kind in replies and logs; a static string. */
const char *
GfError_Name(GfErrorKind kind)
{
    assert(kind < GF_ERROR_KINDS);
    return KIND_INFO[kind].name;
}

/* Returns the HTTP status of a reply with this kind. */
int
GfError_HttpStatus(GfErrorKind kind)
{
    assert(kind < GF_ERROR_KINDS);
    return KIND_INFO[kind].http_status;
}

/* Returns the exit code of a command that failed with this kind; 0 for
 * GF_OK. */
int
GfError_ExitCode(GfErrorKind kind)
{
    assert(kind < GF_ERROR_KINDS);
    return KIND_INFO[kind].exit_code;
}

/* Returns true if the same work may succeed on another rack or later. Whether
 * a retry is safe is decided by GfRan: the work must not have run. */
bool
GfError_MayRetry(GfErrorKind kind)
{
    assert(kind < GF_ERROR_KINDS);
    return KIND_INFO[kind].may_retry;
}

/* Returns the kind with this name; GF_PROTOCOL for NULL or an unknown name. */
GfErrorKind
GfError_FromName(const char *name)
{
    for (int i = 0; name != NULL && i < GF_ERROR_KINDS; i++) {
        if (strcmp(KIND_INFO[i].name, name) == 0) {
            return (GfErrorKind)i;
        }
    }
    return GF_PROTOCOL;
}

/* Returns "no", "yes" or "unknown", the values of the field "ran" in
 * replies. */
const char *
GfRan_Name(GfRan ran)
{
    assert(ran < GF_RANS);
    return RAN_NAMES[ran];
}

/* Returns the value with this name; GF_RAN_UNKNOWN for NULL or any name but
 * "no" and "yes". */
GfRan
GfRan_FromName(const char *name)
{
    for (int i = 0; name != NULL && i < GF_RANS; i++) {
        if (strcmp(RAN_NAMES[i], name) == 0) {
            return (GfRan)i;
        }
    }
    return GF_RAN_UNKNOWN;
}
