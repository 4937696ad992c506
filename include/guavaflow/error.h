/* The error kinds that callers can receive, with the name, HTTP status and
 * exit code of each, and the error struct that fallible functions fill in. */
#ifndef GUAVAFLOW_ERROR_H
#define GUAVAFLOW_ERROR_H

#include <stdbool.h>

/* Size of an error text in bytes, including the terminating NUL. */
#define GF_ERROR_TEXT_BYTES 384

typedef enum {
    GF_OK,
    GF_BAD_REQUEST,       /* malformed call or argument */
    GF_UNAUTHENTICATED,   /* no key, or one that is not known */
    GF_FORBIDDEN,         /* the key does not allow this call */
    GF_NOT_FOUND,         /* unknown path or object */
    GF_CONFLICT,          /* contradicts the current state */
    GF_TOO_LARGE,         /* body over the limit */
    GF_NEVER_FITS,        /* needs more than the largest worker has, or
                           * than the team may use */
    GF_LIMIT_REACHED,     /* the team is at its limit, or too much of its
                           * work is waiting */
    GF_BUSY,              /* no free capacity, or too many open calls */
    GF_NO_OWNER,          /* no entry owns the object now */
    GF_STORE_UNAVAILABLE, /* the store does not answer */
    GF_NOT_CONFIRMED,     /* no control state, or one that may be out
                           * of date */
    GF_LEASE_LOST,        /* the lease on the rack or partition is no
                           * longer held */
    GF_TIMEOUT,           /* no answer in time */
    GF_CONNECTION_LOST,   /* not connected, or closed before the answer */
    GF_TARGET_FAILED,     /* the target answered with an error */
    GF_OUTCOME_UNKNOWN,   /* sent, but the result is unknown */
    GF_CANCELLED,
    GF_NO_SUCH_JOB, /* no job with this id was accepted */
    GF_STOPPING,    /* the entry is shutting down */
    GF_PROTOCOL,    /* an answer that breaks the protocol */
    GF_BAD_CONFIG,  /* invalid or unreadable settings or file */
    GF_INTERNAL,
    GF_ERROR_KINDS /* number of kinds */
} GfErrorKind;

/* Whether the work of a request was executed. GF_RAN_NO guarantees that no
 * attempt ran and that none can still start. */
typedef enum { GF_RAN_NO, GF_RAN_YES, GF_RAN_UNKNOWN, GF_RANS } GfRan;

/* An error: its kind and a NUL-terminated text that says what failed, on what
 * and what is allowed. */
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
