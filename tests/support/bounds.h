/* Regression bounds, from the stated targets. Ratios and counts only. */
#ifndef GUAVAFLOW_TESTS_BOUNDS_H
#define GUAVAFLOW_TESTS_BOUNDS_H

/* Placed work, in percent of what an offline best-fit-decreasing places. */
#define BOUND_PACKING_PERCENT 95.0
/* Racks that a decision looks at with 5,000 workers, against 50. */
#define BOUND_DECISION_RATIO 2.0
/* A team's part of a full fleet, in percent away from its share. */
#define BOUND_SHARE_PERCENT 5.0

#endif
