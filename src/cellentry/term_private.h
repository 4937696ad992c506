/* State of a term, the time for which this entry owns the cell. Shared by the
 * term*.c files. */
#ifndef GUAVAFLOW_TERM_PRIVATE_H
#define GUAVAFLOW_TERM_PRIVATE_H

#include "entry_private.h"

/* Jobs whose row is removed and whose progress is not yet; they are removed in
 * one transaction. */
#define TERM_MAX_REMOVED 90

struct Term {
    GfCellEntry *entry;
    GfCell *cell;
    struct event *placement_timer; /* starts a placement round */
    int64_t token;                 /* version of the owner's row */
    TermLoader *loader;
    bool loaded;
    GfName former_owner; /* the owner that this one has replaced */
    struct timespec begun_at;
    struct timespec loaded_at;
    TableWatch *worker_watch;
    TableWatch *job_watch;

    int64_t commit_version; /* of the commit row, as last known */
    uint64_t commit_number; /* of the last commit; counts from 1 per term */
    char *commit_value;     /* value of the commit row in the last commit */
    GfCellRow *pending;     /* rows of the current commit */
    size_t pending_count;
    struct event *commit_timer; /* repeats the commit */
    bool commit_open;
    char settled[40];            /* value of the row of the settled owner in
                                  * the current commit; empty: unchanged */
    bool commit_uncertain;       /* an attempt may have been committed */
    struct timespec verified_at; /* ownership last verified */
    struct timespec admission_updated_at;
    struct timespec forecast_updated_at;
    struct timespec commit_sent_at; /* newest attempt sent */
    int64_t store_ms; /* duration of the attempt that was committed last */
    struct timespec commit_opened_at; /* first attempt of the commit sent */
    struct timespec verify_sent_at;
    bool verifying;            /* a read of the owner's row is in progress */
    struct timespec remove_at; /* when to remove finished jobs next */
    GfName
        removed[TERM_MAX_REMOVED]; /* jobs whose progress is to be removed */
    size_t removed_count;
    size_t open_removals; /* of jobs' rows */
    size_t removing;      /* the first ones are being removed */
    size_t open_calls;    /* store calls that will still report to this term */
    bool ended;           /* freed once open_calls is 0 */
};

/* term.c */
void Term_SchedulePlacement(Term *term);
void Term_FreeIfIdle(Term *term);

/* term_commit.c: storing progress. */
void Term_Commit(void *ctx, const GfCellCommit *commit);
void Term_ClearCommit(Term *term);
void Term_OnCommitTimer(evutil_socket_t fd, short what, void *arg);

/* term_orders.c: the cell's orders and their outcomes. */
extern const GfCellOps TERM_CELL_OPS;
extern const GfCommandSink TERM_SINK;

#endif
