/* The state of a term, shared by the files that make it up. */
#ifndef GUAVAFLOW_TERM_PRIVATE_H
#define GUAVAFLOW_TERM_PRIVATE_H

#include "entry_private.h"

struct Term {
    GfCellEntry *entry;
    GfCell *cell;
    struct event *wake;
    int64_t token;
    Load *load;
    bool loaded;
    struct timespec begun_at;
    struct timespec loaded_at;
    Follow *workers;
    Follow *jobs;
    int64_t commit_version;
    uint64_t commit_number;
    char *commit_value;
    GfCellCommit pending;
    char **texts;
    struct event *commit_timer;
    bool commit_open;
    bool commit_uncertain;
    struct timespec proved_at;
    struct timespec admission_at;
    struct timespec commit_sent_at;
    int64_t store_ms;                 /* what the last transaction took */
    struct timespec commit_opened_at; /* when its first attempt left */
    struct timespec prove_sent_at;
    bool proving;
    struct timespec sweep_at;
    size_t calls_open; /* store calls that will still report to this term */
    bool ended;
};

/* term.c */
void Term_Wake(Term *term);
void Term_FreeIfIdle(Term *term);

/* term_commit.c: storing progress. */
void Term_Commit(void *ctx, const GfCellCommit *commit);
void Term_ClearCommit(Term *term);
void Term_OnCommitTimer(evutil_socket_t fd, short what, void *arg);

/* term_orders.c: the cell's orders and their outcomes. */
extern const GfCellOps TERM_CELL_OPS;
extern const GfCommandSink TERM_SINK;

#endif
