/* The rows of a job. A job whose progress fits a row has one. A larger one has
 * a main row, with its state and finished steps, and a row for each block of
 * CELL_BLOCK_TASKS tasks of a step that has begun, of which only those that
 * changed are written. They may be stored in several transactions: each row
 * tells of its own tasks only.
 *
 * When a job outgrows its one row, the blocks are written first. The main row,
 * which names done tasks no more, replaces that row in the same transaction as
 * the last of them, or later. An owner that ends in between leaves a row that
 * is whole, as of before, and some newer blocks, and the next one goes on from
 * both. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_private.h"

/* See GfCellSettings.single_row_bytes. */
#define SINGLE_ROW_BYTES ((size_t)48 * 1024)
/* Most bytes of a row. */
#define ROW_BYTES ((size_t)64 * 1024)
/* Most bytes of the rows of a transaction: in base64, with its keys, it stays
 * below the 1 MB that the store takes. */
#define TRANSACTION_BYTES ((size_t)640 * 1024)

/* Returns the number of blocks of a step. */
static uint32_t
count_blocks(const Step *step)
{
    return (step->spec->task_count + CELL_BLOCK_TASKS - 1) / CELL_BLOCK_TASKS;
}

/* Returns the number of a step over all occurrences. */
static size_t
position(const Step *step)
{
    return (size_t)step->occurrence * step->job->spec.step_count +
           step->number;
}

/* Adds a row to a transaction; text is taken, NULL removes the row. Returns
 * false, with nothing added, if there is no space for it. */
bool
CellRows_Add(RowSet *set, bool is_lease_list, const char *key, char *text)
{
    size_t len = text == NULL ? 0 : strlen(text);
    if (set->count == CELL_COMMIT_ROWS ||
        set->bytes + len > TRANSACTION_BYTES) {
        free(text);
        return false;
    }
    GfCellRow *row = &set->rows[set->count++];
    *row =
        (GfCellRow){.is_lease_list = is_lease_list, .text = text, .len = len};
    snprintf(row->key, sizeof(row->key), "%s", key);
    set->bytes += len;
    return true;
}

/* Returns the text of a JSON value, whose reference is taken; NULL for NULL.
 * The caller frees it. */
char *
CellRows_Dump(json_t *json)
{
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* Frees the texts of a transaction's rows. */
void
CellRows_Clear(RowSet *set)
{
    for (size_t i = 0; i < set->count; i++) {
        free(set->rows[i].text);
    }
    set->count = 0;
}

/* Allocates the state of a step's blocks, with its tasks. */
void
CellJobRows_Open(Step *step)
{
    step->blocks = calloc(count_blocks(step), 1);
    if (step->blocks == NULL) {
        abort();
    }
}

/* Records that a row of a block is not needed any more. */
static void
add_obsolete(Job *job, size_t at, uint32_t block)
{
    job->obsolete =
        realloc(job->obsolete, (job->obsolete_count + 1) * sizeof(BlockName));
    if (job->obsolete == NULL) {
        abort();
    }
    job->obsolete[job->obsolete_count++] = (BlockName){at, block};
    CellJob_MarkDirty(job);
}

/* Frees the state of a step's blocks. Their rows are removed later. */
void
CellJobRows_Close(Step *step)
{
    for (uint32_t i = 0; step->blocks != NULL && i < count_blocks(step); i++) {
        if ((step->blocks[i] & (CELL_BLOCK_STORED | CELL_BLOCK_IN_COMMIT)) !=
            0) {
            add_obsolete(step->job, position(step), i);
        }
    }
    free(step->blocks);
    step->blocks = NULL;
}

/* Records that what is stored of a task is out of date. */
void
CellJobRows_MarkTask(Task *task)
{
    Step *step = task->step;
    step->blocks[task->index / CELL_BLOCK_TASKS] |= CELL_BLOCK_CHANGED;
    step->has_changed_blocks = true;
    CellJob_MarkDirty(step->job);
}

/* Records that a block was loaded from its row; step counts over all
 * occurrences. The row of a finished step is removed. */
void
CellJobRows_Loaded(Job *job, size_t at, uint32_t block)
{
    size_t count = job->spec.step_count;
    if (at >= job->spec.occurrences * count) {
        return;
    }
    const Step *step =
        CellJob_Step(job, (uint32_t)(at / count), (uint32_t)(at % count));
    if (step == NULL || step->blocks == NULL) {
        add_obsolete(job, at, block);
    }
    else if (block < count_blocks(step)) {
        step->blocks[block] = CELL_BLOCK_STORED;
    }
}

/* Begins to store a job in several rows: the next transactions write all
 * blocks of its open steps. */
void
CellJobRows_Split(Job *job)
{
    job->spilled = true;
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            if (step != NULL && step->blocks != NULL) {
                for (uint32_t b = 0; b < count_blocks(step); b++) {
                    step->blocks[b] |= CELL_BLOCK_CHANGED;
                }
                step->has_changed_blocks = true;
            }
        }
    }
}

/* Formats the key of a block's row. */
static void
format_key(char *key, const Job *job, size_t at, uint32_t block)
{
    snprintf(key, GF_CELL_KEY_BYTES, "%s.%zu.%u", job->id.data, at, block);
}

/* Returns the text of a block's row, without what is not needed if it is too
 * large otherwise; NULL if there is nothing to store. The caller frees it. */
static char *
save_block(const Step *step, uint32_t block)
{
    size_t at = position(step);
    char *text = CellRows_Dump(CellProgress_SaveBlock(step, at, block, true));
    if (text != NULL && strlen(text) > ROW_BYTES) {
        free(text);
        text = CellRows_Dump(CellProgress_SaveBlock(step, at, block, false));
    }
    return text;
}

/* Adds the changed blocks of a step. Returns false if some are left. */
static bool
add_blocks(RowSet *set, Step *step)
{
    const Job *job = step->job;
    for (uint32_t i = 0; i < count_blocks(step); i++) {
        uint8_t *state = &step->blocks[i];
        char *row = NULL;
        if ((*state & CELL_BLOCK_CHANGED) != 0 && step->unfinished > 0) {
            row = save_block(step, i);
        }
        char key[GF_CELL_KEY_BYTES];
        format_key(key, job, position(step), i);
        if (row != NULL && !CellRows_Add(set, false, key, row)) {
            return false;
        }
        *state &= (uint8_t)~CELL_BLOCK_CHANGED;
        if (row != NULL) {
            *state |= CELL_BLOCK_IN_COMMIT;
        }
    }
    step->has_changed_blocks = false;
    return true;
}

/* Adds the changed blocks of a job. Returns false if some are left. */
static bool
add_all_blocks(RowSet *set, Job *job)
{
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            if (step != NULL && step->blocks != NULL &&
                step->has_changed_blocks && !add_blocks(set, step)) {
                return false;
            }
        }
    }
    return true;
}

/* Removes the rows of a job's blocks that are not needed any more. Returns
 * false if some are left. */
static bool
remove_obsolete(RowSet *set, Job *job)
{
    for (size_t i = 0; i < job->obsolete_count; i++) {
        char key[GF_CELL_KEY_BYTES];
        format_key(key, job, job->obsolete[i].at, job->obsolete[i].block);
        if (!CellRows_Add(set, false, key, NULL)) {
            return false;
        }
        job->obsolete_in_commit = i + 1;
    }
    return true;
}

/* Adds the rows of a job that changed to a transaction: its main row and its
 * blocks, in this order unless the job is being split. Returns how far: a job
 * that is added in part stays changed. */
RowsAdded
CellJobRows_Add(RowSet *set, Job *job)
{
    size_t before = set->count;
    char *row = CellRows_Dump(CellProgress_Save(job));
    size_t limit = job->cell->settings.single_row_bytes;
    if (CellJob_Active(job) && !job->spilled &&
        strlen(row) > (limit > 0 ? limit : SINGLE_ROW_BYTES)) {
        CellJobRows_Split(job);
        free(row);
        row = CellRows_Dump(CellProgress_Save(job));
    }
    bool has_blocks = CellJob_Active(job) && job->spilled;
    bool splits = has_blocks && !job->split_stored;
    if (splits && !add_all_blocks(set, job)) {
        free(row);
        return set->count > before ? ROWS_PART : ROWS_NONE;
    }
    if (!CellRows_Add(set, false, job->id.data, row)) {
        return set->count > before ? ROWS_PART : ROWS_NONE;
    }
    job->split_in_commit = splits;
    if (has_blocks && !splits && !add_all_blocks(set, job)) {
        return ROWS_PART;
    }
    return remove_obsolete(set, job) ? ROWS_ALL : ROWS_PART;
}

/* Updates the blocks of a job whose transaction is over. stored: it was
 * committed. */
void
CellJobRows_Done(Job *job, bool stored)
{
    job->split_stored = job->split_stored || (stored && job->split_in_commit);
    job->split_in_commit = false;
    for (uint32_t k = 0; job->spilled && k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            for (uint32_t b = 0; step != NULL && step->blocks != NULL &&
                                 b < count_blocks(step);
                 b++) {
                uint8_t *state = &step->blocks[b];
                if ((*state & CELL_BLOCK_IN_COMMIT) == 0) {
                    continue;
                }
                *state &= (uint8_t)~CELL_BLOCK_IN_COMMIT;
                *state |= stored ? CELL_BLOCK_STORED : CELL_BLOCK_CHANGED;
                step->has_changed_blocks = step->has_changed_blocks || !stored;
            }
        }
    }
    if (stored && job->obsolete_in_commit > 0) {
        job->obsolete_count -= job->obsolete_in_commit;
        memmove(job->obsolete, job->obsolete + job->obsolete_in_commit,
                job->obsolete_count * sizeof(BlockName));
    }
    job->obsolete_in_commit = 0;
}
