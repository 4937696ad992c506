/* Bounds of regression tests, derived from the stated targets. They limit
 * ratios and counts, not times, so that the speed of the machine does not
 * matter. */
#ifndef GUAVAFLOW_TESTS_BOUNDS_H
#define GUAVAFLOW_TESTS_BOUNDS_H

/* Least work placed, in percent of what an offline best-fit-decreasing
 * algorithm places. */
#define BOUND_PACKING_PERCENT 95.0
/* Most racks that a decision examines with 5,000 workers, as a multiple of
 * those with 50. */
#define BOUND_DECISION_RATIO 2.0
/* Largest deviation of a team's part of a full fleet from its share, in
 * percent. */
#define BOUND_SHARE_PERCENT 5.0

#endif
