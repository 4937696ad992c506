/* Which of the waiting steps are served in time when not all can be, and in
 * which order. If the usual order (lateness, class, the team's share, age)
 * serves all in time, it is returned unchanged. Otherwise the steps are
 * planned by latest start, as in the algorithm of Moore and Hodgson (1968):
 * when the room that frees up to a step's latest start does not suffice, the
 * team that has the most room for its weight gives up the job that is worth
 * least for the work that it still needs. Jobs that have begun are kept as
 * long as others can be given up. What is kept is served by worth for work, so
 * that the most is in time also if there is less room than planned. Each class
 * is planned with the room that earlier classes leave, or with a guaranteed
 * part. */
#ifndef GUAVAFLOW_SELECTION_H
#define GUAVAFLOW_SELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Classes that are planned; steps of higher ones count as the last. */
#define GF_SELECTION_CLASSES 4
/* The latest start of a step that can never be late. */
#define GF_SELECTION_NO_LIMIT INT64_MAX

/* What becomes of a step, in the order in which they are served. KEPT: it is
 * planned to be in time. SET_BACK: it could start in time, but there is not
 * enough room for all. LATE: it can only be late, but still of value.
 * WORTHLESS: its result comes too late to be of value. */
typedef enum {
    GF_SELECTION_KEPT,
    GF_SELECTION_SET_BACK,
    GF_SELECTION_LATE,
    GF_SELECTION_WORTHLESS,
    GF_SELECTION_GROUPS
} GfSelectionGroup;

/* A waiting step. Times are in ms from now; negative ones have passed. */
typedef struct {
    int64_t latest_start_ms; /* later its job is late */
    int64_t latest_value_ms; /* later its job is of no value */
    int64_t age_ms;          /* of the job */
    int64_t room_mcores;     /* of the tasks that wait */
    double work;             /* mcore-ms that the job still needs, without
                                tasks that run; 0: none that is planned */
    double worth;            /* of the job, in any unit */
    uint32_t team;           /* index in the teams */
    uint32_t work_class;     /* 0 is served first */
    bool begun;              /* a task of the job has started */
    uint8_t group;           /* result: a GfSelectionGroup */
} GfSelectionStep;

/* A team. */
typedef struct {
    double weight;        /* above 0 */
    int64_t used_mcores;  /* by tasks that run */
    int64_t limit_mcores; /* most in use at a time; 0: no limit */
} GfSelectionTeam;

/* The fleet. mcores, which free as runs end, exclude what long-running tasks
 * hold; used_mcores is what each class uses of them. */
typedef struct {
    int64_t mcores;
    int64_t used_mcores[GF_SELECTION_CLASSES];
} GfSelectionRoom;

size_t GfSelection_Order(GfSelectionStep *steps, size_t count,
                         const GfSelectionTeam *teams, size_t team_count,
                         const GfSelectionRoom *room, uint32_t *order);

#endif
