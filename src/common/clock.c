#include "guavaflow/clock.h"

#include <assert.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define US_PER_MS 1000
#define NS_PER_S 1000000000L

/* Reads CLOCK_BOOTTIME, which unlike CLOCK_MONOTONIC goes on while the host
 * is suspended. */
static struct timespec
system_now(const GfClock *clock)
{
    (void)clock;
    struct timespec t;
    clock_gettime(CLOCK_BOOTTIME, &t);
    return t;
}

/* Returns the time that the test has set. */
static struct timespec
manual_now(const GfClock *clock)
{
    return ((const GfManualClock *)clock)->time;
}

static const GfClock SYSTEM = {.now = system_now};

/* Returns the system clock, which is never freed. Its origin is the boot of
 * the host. */
const GfClock *
GfClock_System(void)
{
    return &SYSTEM;
}

/* Returns the time since the clock's origin. */
struct timespec
GfClock_Now(const GfClock *clock)
{
    assert(clock != NULL);
    return clock->now(clock);
}

/* Initializes a manual clock at ms milliseconds after its origin. */
void
GfManualClock_Init(GfManualClock *clock, int64_t ms)
{
    clock->clock.now = manual_now;
    clock->time = GfTime_FromMs(ms);
}

/* Advances a manual clock by ms milliseconds, which must not be negative. */
void
GfManualClock_Advance(GfManualClock *clock, int64_t ms)
{
    assert(ms >= 0);
    clock->time = GfTime_AddMs(clock->time, ms);
}

/* Converts milliseconds since the clock's origin to a time. */
struct timespec
GfTime_FromMs(int64_t ms)
{
    return (struct timespec){.tv_sec = ms / MS_PER_S,
                             .tv_nsec = (ms % MS_PER_S) * NS_PER_MS};
}

/* Adds milliseconds to a time; a negative ms yields an earlier time. */
struct timespec
GfTime_AddMs(struct timespec t, int64_t ms)
{
    t.tv_sec += ms / MS_PER_S;
    t.tv_nsec += (ms % MS_PER_S) * NS_PER_MS;
    if (t.tv_nsec >= NS_PER_S) {
        t.tv_sec++;
        t.tv_nsec -= NS_PER_S;
    }
    else if (t.tv_nsec < 0) {
        t.tv_sec--;
        t.tv_nsec += NS_PER_S;
    }
    return t;
}

/* Converts a time to whole milliseconds since the clock's origin, rounded
 * down. */
int64_t
GfTime_ToMs(struct timespec t)
{
    return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / NS_PER_MS;
}

/* Returns later - earlier in whole milliseconds, off by less than one;
 * negative if later is the earlier one. */
int64_t
GfTime_DiffMs(struct timespec later, struct timespec earlier)
{
    int64_t ns = later.tv_nsec - earlier.tv_nsec;
    return ((int64_t)later.tv_sec - earlier.tv_sec) * MS_PER_S +
           ns / NS_PER_MS;
}

/* Returns true if a is earlier than b; false if they are equal. */
bool
GfTime_Before(struct timespec a, struct timespec b)
{
    if (a.tv_sec != b.tv_sec) {
        return a.tv_sec < b.tv_sec;
    }
    return a.tv_nsec < b.tv_nsec;
}

/* Converts milliseconds to the struct timeval that libevent timers take. */
struct timeval
GfTime_ToTimeval(int64_t ms)
{
    return (struct timeval){.tv_sec = ms / MS_PER_S,
                            .tv_usec = (ms % MS_PER_S) * US_PER_MS};
}

/* Returns the wall-clock time in milliseconds since the epoch. It can jump, so
 * timeouts and leases use a GfClock instead; it is for logs, audit records and
 * other times that must mean the same on all hosts. */
int64_t
GfTime_WallMs(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return GfTime_ToMs(t);
}
