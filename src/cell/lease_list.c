/* The stored list of workers that may hold a lease, for the next owner. It has
 * one row in a small fleet; a larger one has several parts, each a row with
 * the workers whose ids hash to it. Only parts that changed are written. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>
#include <xxhash.h>

#include "cell_private.h"

/* Most tasks that the list names, so that it stays within the size of a row:
 * 15 KB of the store's 64. */
#define MAX_NAMED_TASKS 500
/* A list with a larger part gets twice as many. */
#define PART_BYTES ((size_t)32 * 1024)

/* Returns the part of the list that a worker belongs to. */
static size_t
part_of(const GfCell *cell, const Worker *w)
{
    return GfName_Hash(&w->info.id, 0) & (cell->lease_part_count - 1);
}

/* Sets how many parts the stored list has. */
void
GfCell_SetLeaseParts(GfCell *cell, size_t count)
{
    while (cell->lease_part_count < count &&
           cell->lease_part_count < CELL_LEASE_PARTS) {
        cell->lease_part_count *= 2;
    }
}

/* Appends a task's entry in the stored lease list. One that may not have been
 * started has a fifth element. */
static void
append_task(json_t *tasks, const GfTaskId *id, bool confirmed)
{
    json_t *entry = json_pack("[s,i,i,i]", id->job.data, (int)id->occurrence,
                              (int)id->step, (int)id->index);
    if (!confirmed) {
        json_array_append_new(entry, json_true());
    }
    json_array_append_new(tasks, entry);
}

/* Returns a list of the tasks that a closed worker may still run. */
static json_t *
encode_tasks(const Worker *w)
{
    json_t *tasks = json_array();
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        GfTaskId id = CellTask_Id(t);
        append_task(tasks, &id, t->state == TASK_RUNNING);
    }
    for (size_t i = 0; !w->contacted && i < w->inherited_count; i++) {
        append_task(tasks, &w->inherited[i].task, w->inherited[i].confirmed);
    }
    return tasks;
}

/* Adds to a worker's entry of the lease list the tasks that it may still run,
 * the end of its lease, 0 if that is not known, and whether it leaves. */
static void
encode_closed(const GfCell *cell, Worker *w, json_t *entry, json_t *tasks)
{
    json_array_append(entry, tasks);
    int64_t end = w->expiry_wanted ? CellLeaseEnd_Shared(cell, w) : 0;
    json_array_append_new(entry, json_integer((json_int_t)end));
    json_array_append_new(entry, json_boolean(w->info.leaving));
    if (w->expiry_wanted) {
        w->lease_frozen = true;
        w->expiry_in_commit = true;
    }
}

/* Appends the workers in the list to their parts and marks them as part of
 * this transaction. Closed workers beyond MAX_NAMED_TASKS are listed like the
 * others, without their tasks: then all jobs count as uncertain there. */
static void
encode_workers(GfCell *cell, json_t **parts)
{
    size_t named = 0;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        w->in_commit = w->in_lease_list;
        w->expiry_in_commit = false;
        if (!w->in_lease_list) {
            continue;
        }
        json_t *entry = json_pack("[s,I,s,i]", w->info.id.data,
                                  (json_int_t)w->info.incarnation,
                                  w->info.address, (int)w->info.port);
        w->closed_in_commit = w->closed;
        if (w->closed) {
            json_t *tasks = encode_tasks(w);
            named += json_array_size(tasks);
            if (named <= MAX_NAMED_TASKS) {
                encode_closed(cell, w, entry, tasks);
            }
            json_decref(tasks);
        }
        json_array_append_new(parts[part_of(cell, w)], entry);
    }
}

/* Encodes the list into parts, as many as there are now. Writes their texts,
 * which the caller frees. Returns whether none of them is too large. */
static bool
encode_parts(GfCell *cell, char **texts)
{
    json_t *parts[CELL_LEASE_PARTS];
    for (size_t i = 0; i < cell->lease_part_count; i++) {
        parts[i] = json_array();
    }
    encode_workers(cell, parts);
    bool fits = true;
    for (size_t i = 0; i < cell->lease_part_count; i++) {
        texts[i] = CellRows_Dump(parts[i]);
        fits = fits && strlen(texts[i]) <= PART_BYTES;
    }
    return fits;
}

/* Adds the parts of the list that changed to a transaction, the last ones
 * first. Those that find no space, and all before them, are left for the next
 * one. When the list is divided, workers move to parts further back: a part is
 * written without them only after the one that names them, so that an owner
 * that ends in between leaves them named. */
void
CellLeaseList_Add(GfCell *cell, RowSet *set)
{
    char *texts[CELL_LEASE_PARTS];
    while (!encode_parts(cell, texts) &&
           cell->lease_part_count < CELL_LEASE_PARTS) {
        for (size_t i = 0; i < cell->lease_part_count; i++) {
            free(texts[i]);
        }
        cell->lease_part_count *= 2;
        memset(cell->lease_parts, 0, sizeof(cell->lease_parts));
    }
    cell->lease_list_dirty = false;
    for (size_t i = cell->lease_part_count; i-- > 0;) {
        LeasePart *part = &cell->lease_parts[i];
        part->hash = XXH3_64bits(texts[i], strlen(texts[i])) | 1U;
        part->in_commit = false;
        if (part->hash == part->stored_hash || cell->lease_list_dirty) {
            free(texts[i]);
            continue;
        }
        char key[GF_CELL_KEY_BYTES] = "";
        if (i > 0) {
            snprintf(key, sizeof(key), ".%zu", i);
        }
        part->in_commit = CellRows_Add(set, true, key, texts[i]);
        cell->lease_list_dirty = !part->in_commit;
    }
}

/* Marks the workers that the stored list now names; only these get tasks. */
void
CellLeaseList_Stored(GfCell *cell)
{
    for (size_t i = 0; i < cell->lease_part_count; i++) {
        LeasePart *part = &cell->lease_parts[i];
        if (part->in_commit) {
            part->stored_hash = part->hash;
        }
    }
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        const LeasePart *part = &cell->lease_parts[part_of(cell, w)];
        if (part->hash != part->stored_hash) {
            continue;
        }
        if (w->in_commit && w->in_lease_list && !w->in_stored_list &&
            w->closed_in_commit == w->closed) {
            w->in_stored_list = true;
            cell->dirty = true;
        }
        w->lease_frozen = w->lease_frozen && w->expiry_in_commit;
    }
}
