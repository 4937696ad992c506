/* Forecast of how long a job that is submitted now would wait for its start,
 * by work class and team. It knows what runs and when that is expected to end,
 * what waits, what arrives, and the limits of teams, and plays the scheduling
 * order forward on amounts of processors instead of single tasks: work in time
 * before late work, then by class, then by the teams' weights. Plain values;
 * one forecast covers the workers of one service. Processors are in mcores,
 * times in ms from now. */
#ifndef GUAVAFLOW_FORECAST_H
#define GUAVAFLOW_FORECAST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Classes that are told apart; higher ones count as the last. */
#define GF_FORECAST_CLASSES 4
/* Teams that are told apart; further ones count as the last. */
#define GF_FORECAST_TEAMS 64
/* Stands for a team without running, waiting or arriving work. */
#define GF_FORECAST_NEW_TEAM GF_FORECAST_TEAMS
/* What starts later than this is given as waiting so long. */
#define GF_FORECAST_HORIZON_MS 54000

typedef struct GfForecast GfForecast;

/* What holds for a class: the processors that its tasks can use, which leaves
 * out what is too small for one; the mean run time of its tasks; and how long
 * one of its jobs may wait and still be in time. */
typedef struct {
    int64_t capacity_mcores;
    int64_t run_ms;
    int64_t slack_ms;
} GfForecastClass;

/* How much work of a team and class arrives, as the mcores that it needs on
 * average: now_mcores for lasting_ms, later_mcores after that. */
typedef struct {
    double now_mcores;
    double later_mcores;
    int64_t lasting_ms;
} GfForecastArrivals;

/* The wait of a job that is submitted now. late_wait_ms applies if wait_ms
 * makes it late: late work starts after all work that can be in time. doubt_ms
 * is how far late_wait_ms may be too long. */
typedef struct {
    int64_t wait_ms;
    int64_t late_wait_ms;
    int64_t doubt_ms;
    bool at_limit; /* the team waits for its limit, not for capacity */
} GfForecastWait;

GfForecast *GfForecast_Create(void);
void GfForecast_Destroy(GfForecast *forecast);
void GfForecast_Clear(GfForecast *forecast);
void GfForecast_SetClass(GfForecast *forecast, uint32_t work_class,
                         const GfForecastClass *values);
void GfForecast_SetTeam(GfForecast *forecast, size_t team, double weight,
                        int64_t limit_mcores);
void GfForecast_SetArrivals(GfForecast *forecast, size_t team,
                            uint32_t work_class,
                            const GfForecastArrivals *arrivals);
void GfForecast_AddRunning(GfForecast *forecast, size_t team,
                           uint32_t work_class, int64_t mcores,
                           int64_t remaining_ms, bool preemptible);
void GfForecast_AddWaiting(GfForecast *forecast, size_t team,
                           uint32_t work_class, int64_t mcores, int64_t run_ms,
                           bool preemptible, bool late);
void GfForecast_Compute(GfForecast *forecast);
GfForecastWait GfForecast_Wait(const GfForecast *forecast, size_t team,
                               uint32_t work_class);
int64_t GfForecast_AdviceWaitMs(size_t requests, size_t callers,
                                int64_t request_ms);

#endif
