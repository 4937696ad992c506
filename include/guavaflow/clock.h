/* A replaceable source of time, and arithmetic on struct timespec. All
 * timeouts and leases use a GfClock, so that tests can replace the system
 * clock, which counts from boot and goes on while the host is suspended. */
#ifndef GUAVAFLOW_CLOCK_H
#define GUAVAFLOW_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/time.h>
#include <time.h>

typedef struct GfClock GfClock;

/* now returns the time since the clock's origin; it never goes backwards. */
struct GfClock {
    struct timespec (*now)(const GfClock *clock);
};

/* A clock for tests that advances only on GfManualClock_Advance. clock must
 * stay the first member. */
typedef struct {
    GfClock clock;
    struct timespec time;
} GfManualClock;

const GfClock *GfClock_System(void);
struct timespec GfClock_Now(const GfClock *clock);
void GfManualClock_Init(GfManualClock *clock, int64_t ms);
void GfManualClock_Advance(GfManualClock *clock, int64_t ms);

struct timespec GfTime_FromMs(int64_t ms);
struct timespec GfTime_AddMs(struct timespec t, int64_t ms);
int64_t GfTime_ToMs(struct timespec t);
int64_t GfTime_DiffMs(struct timespec later, struct timespec earlier);
bool GfTime_Before(struct timespec a, struct timespec b);
struct timeval GfTime_ToTimeval(int64_t ms);
int64_t GfTime_WallMs(void);

#endif
