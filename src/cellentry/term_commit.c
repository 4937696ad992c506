/* Stores the progress of jobs. Commits are sent one after another; each
 * requires that the commit row has not been written since the one before. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "term_private.h"

#define PART "owner"
/* Timeout of a commit. The store answers within 4 ms, or within some 300 ms
 * when it is slow. */
#define COMMIT_TIMEOUT_MS 900
/* An owner whose commit has been without an answer for longer than this,
 * while the store answered no other call either, reports that it cannot
 * reach the store. */
#define COMMIT_LATE_MS 450
/* Pause before a commit is repeated. */
#define COMMIT_RETRY_MS 120

static void send_commit(Term *term);

/* Frees the rows of the current commit and marks it as closed. */
void
Term_ClearCommit(Term *term)
{
    for (size_t i = 0; i < term->pending_count; i++) {
        free(term->pending[i].text);
    }
    free(term->pending);
    term->pending = NULL;
    term->pending_count = 0;
    term->commit_open = false;
    term->commit_uncertain = false;
}

/* Returns whether the commit row among those of a conflict is the one that
 * our transaction writes. If so, sets *version to its version. */
static bool
is_own_commit(const Term *term, const GfTableRow *rows, size_t count,
              int64_t *version)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].key, ENTRY_COMMIT_KEY) == 0 &&
            rows[i].value != NULL && term->commit_value != NULL &&
            strcmp(rows[i].value, term->commit_value) == 0) {
            *version = rows[i].version;
            return true;
        }
    }
    return false;
}

/* Repeats the current commit. */
void
Term_OnCommitTimer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    send_commit(arg);
}

/* Handles the result of a commit. A conflict with another owner's commit
 * ends the term. A definite refusal is reported to the cell; a result that
 * may be uncertain is resolved by repeating the same transaction. */
static void
on_commit(void *arg, GfTableResult result, int64_t version,
          const GfTableRow *rows, size_t count)
{
    Term *term = arg;
    term->open_calls--;
    if (term->ended) {
        Term_FreeIfIdle(term);
        return;
    }
    EntryStore_RecordResult(term->entry, result);
    bool committed = result == GF_TABLE_OK;
    if (result == GF_TABLE_CONFLICT) {
        committed = is_own_commit(term, rows, count, &version);
        if (!committed) {
            EntryOwnership_GiveUp(term->entry, "a commit met another owner's");
            return;
        }
    }
    if (committed) {
        term->commit_version = version;
        term->verified_at = term->commit_sent_at;
        term->store_ms = GfTime_DiffMs(GfClock_Now(term->entry->clock),
                                       term->commit_sent_at);
        GfMetrics_Observe(GF_HISTOGRAM_COMMIT, term->store_ms);
        Term_ClearCommit(term);
        GfCell_CommitDone(term->cell, version);
        return;
    }
    if (result == GF_TABLE_INVALID) {
        Term_ClearCommit(term);
        GfCell_CommitRejected(term->cell);
        return;
    }
    if (result == GF_TABLE_REFUSED && !term->commit_uncertain) {
        Term_ClearCommit(term);
        GfCell_CommitDone(term->cell, 0);
        return;
    }
    term->commit_uncertain = true;
    struct timeval tv = GfTime_ToTimeval(COMMIT_RETRY_MS);
    evtimer_add(term->commit_timer, &tv);
}

/* Sends the transaction of the current commit. It requires that the commit
 * row still has the last version known, so a copy that arrives late has no
 * effect. */
static void
send_commit(Term *term)
{
    GfTableChange *changes =
        calloc(term->pending_count + 2, sizeof(GfTableChange));
    GfName *keys = calloc(term->pending_count + 1, sizeof(GfName));
    if (changes == NULL || keys == NULL) {
        abort();
    }
    size_t count = 0;
    for (size_t i = 0; i < term->pending_count; i++) {
        const GfCellRow *row = &term->pending[i];
        GfTableChange *change = &changes[count++];
        *change = (GfTableChange){ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                                  row->key, row->text, row->len};
        if (row->is_lease_list) {
            keys[i] = GfName_Format(ENTRY_LEASED_KEY "%s", row->key);
            change->table = ENTRY_CELL_TABLE;
            change->key = keys[i].data;
        }
    }
    if (term->settled[0] != '\0') {
        changes[count++] = (GfTableChange){ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                                           ENTRY_SETTLED_KEY, term->settled,
                                           strlen(term->settled)};
    }
    changes[count++] =
        (GfTableChange){ENTRY_CELL_TABLE, ENTRY_OWNER_PART, ENTRY_COMMIT_KEY,
                        term->commit_value, strlen(term->commit_value)};
    const GfTableExpectation expectation = {ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                                            ENTRY_COMMIT_KEY,
                                            term->commit_version};
    GfTableTransaction transaction = {.expectations = &expectation,
                                      .expectation_count = 1,
                                      .changes = changes,
                                      .change_count = count,
                                      .timeout_ms = COMMIT_TIMEOUT_MS};
    term->open_calls++;
    term->commit_sent_at = GfClock_Now(term->entry->clock);
    GfTable_Transact(term->entry->table, &transaction, on_commit, term);
    free(changes);
    free(keys);
}

/* Starts a commit for the cell: copies the rows, which are borrowed, and
 * sends them. The outcome goes to GfCell_CommitDone. ctx is the Term, which
 * must have no commit in progress. */
void
Term_Commit(void *ctx, const GfCellCommit *commit)
{
    Term *term = ctx;
    assert(!term->commit_open);
    term->commit_open = true;
    term->commit_opened_at = GfClock_Now(term->entry->clock);
    term->pending = calloc(commit->count + 1, sizeof(GfCellRow));
    if (term->pending == NULL) {
        abort();
    }
    for (size_t i = 0; i < commit->count; i++) {
        const GfCellRow *row = &commit->rows[i];
        term->pending[i] = *row;
        if (row->text != NULL) {
            term->pending[i].text = strdup(row->text);
            if (term->pending[i].text == NULL) {
                abort();
            }
        }
    }
    term->pending_count = commit->count;
    term->settled[0] = '\0';
    if (commit->settled_token != 0) {
        snprintf(term->settled, sizeof(term->settled), "{\"token\":%lld}",
                 (long long)commit->settled_token);
    }
    free(term->commit_value);
    GfStr value = GfStr_Format("{\"token\":%lld,\"number\":%llu}",
                               (long long)term->token,
                               (unsigned long long)++term->commit_number);
    term->commit_value = value.data;
    send_commit(term);
}

/* Returns whether a commit has been without an answer for longer than
 * COMMIT_LATE_MS while the store answered no other call either. */
bool
EntryTerm_CommitIsLate(const GfCellEntry *entry)
{
    const Term *term = entry->term;
    if (term == NULL || !term->commit_open) {
        return false;
    }
    struct timespec now = GfClock_Now(entry->clock);
    return GfTime_DiffMs(now, term->commit_opened_at) > COMMIT_LATE_MS &&
           GfTime_DiffMs(now, entry->store_answered_at) > COMMIT_LATE_MS;
}
