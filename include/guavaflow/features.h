/* Optional parts of the scheduler. Each is off unless the settings of an entry
 * switch it on. */
#ifndef GUAVAFLOW_FEATURES_H
#define GUAVAFLOW_FEATURES_H

#include <stdbool.h>

/* Which parts are on. A part that is off has no effect on decisions. */
typedef struct {
    bool overload_order;       /* if not all jobs can be in time, the most
                                  that can are, in place of a little each */
    bool overload_refusal;     /* refuse jobs that cannot be done in time to
                                  be of value */
    bool worker_speeds;        /* learn how fast each worker runs tasks */
    bool neighbour_separation; /* keep tasks that slow each other apart */
} GfFeatures;

#endif
