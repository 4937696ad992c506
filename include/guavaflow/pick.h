/* The choice of a worker for a task, among the rooms that workers have. */
#ifndef GUAVAFLOW_PICK_H
#define GUAVAFLOW_PICK_H

#include "guavaflow/task.h"

/* Returned when the need fits nowhere. */
#define GF_PICK_NONE SIZE_MAX

/* Returns the index of the room to use, or GF_PICK_NONE. */
typedef size_t (*GfPickFunction)(const GfRoom *rooms, size_t count,
                                 const GfRoom *need);

size_t GfPick_BestFit(const GfRoom *rooms, size_t count, const GfRoom *need);

#endif
