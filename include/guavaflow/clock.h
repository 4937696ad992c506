/* The clock as an interface, and arithmetic on struct timespec. The system
 * clock goes on while the host is suspended. */
#ifndef GUAVAFLOW_CLOCK_H
#define GUAVAFLOW_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/time.h>
#include <time.h>

typedef struct GfClock GfClock;

struct GfClock {
    struct timespec (*now)(const GfClock *clock);
};

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
int64_t GfTime_Ms(struct timespec t);
int64_t GfTime_DiffMs(struct timespec later, struct timespec earlier);
bool GfTime_Before(struct timespec a, struct timespec b);
struct timeval GfTime_Interval(int64_t ms);
int64_t GfTime_WallMs(void);

#endif
