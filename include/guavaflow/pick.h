/* Choice of a worker for a task by the free capacity of the workers. */
#ifndef GUAVAFLOW_PICK_H
#define GUAVAFLOW_PICK_H

#include "guavaflow/task.h"

/* Index that stands for no worker. */
#define GF_PICK_NONE SIZE_MAX

/* Picks a worker for a task. free_capacity holds the free capacity of count
 * workers, need what the task requires. Returns the index of the chosen
 * worker, or GF_PICK_NONE if the task fits on none. */
typedef size_t (*GfPickFunction)(const GfResourceVector *free_capacity,
                                 size_t count, const GfResourceVector *need);

/* The GfPickFunction in use. */
size_t GfPick_BestFit(const GfResourceVector *free_capacity, size_t count,
                      const GfResourceVector *need);

#endif
