/* The closed list of error kinds, the answer that each kind gives, and the
 * error struct that fallible functions fill in. */
#ifndef GUAVAFLOW_ERROR_H
#define GUAVAFLOW_ERROR_H

#include <stdbool.h>

#define GF_ERROR_TEXT_BYTES 384

typedef enum {
    GF_OK,
    GF_BAD_REQUEST,
    GF_UNAUTHENTICATED,
    GF_FORBIDDEN,
    GF_NOT_FOUND,
    GF_CONFLICT,
    GF_TOO_LARGE,
    GF_NEVER_FITS,
    GF_LIMIT_REACHED,
    GF_BUSY,
    GF_NO_OWNER,
    GF_STORE_UNAVAILABLE,
    GF_NOT_CONFIRMED,
    GF_LEASE_LOST,
    GF_TIMEOUT,
    GF_CONNECTION_LOST,
    GF_TARGET_FAILED,
    GF_OUTCOME_UNKNOWN,
    GF_CANCELLED,
    GF_NO_SUCH_JOB,
    GF_STOPPING,
    GF_PROTOCOL,
    GF_BAD_CONFIG,
    GF_INTERNAL,
    GF_ERROR_KINDS
} GfErrorKind;

/* Whether the work of a request ran. GF_RAN_NO is a promise that no attempt
 * ran or can still run. */
typedef enum { GF_RAN_NO, GF_RAN_YES, GF_RAN_UNKNOWN, GF_RANS } GfRan;

typedef struct {
    GfErrorKind kind;
    char text[GF_ERROR_TEXT_BYTES];
} GfError;

bool GfError_Set(GfError *error, GfErrorKind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
const char *GfError_Name(GfErrorKind kind);
int GfError_HttpStatus(GfErrorKind kind);
int GfError_ExitCode(GfErrorKind kind);
bool GfError_MayRetry(GfErrorKind kind);
GfErrorKind GfError_FromName(const char *name);
const char *GfRan_Name(GfRan ran);
GfRan GfRan_FromName(const char *name);

#endif
