/* Admission control: which jobs are refused at submission because they can
 * never run, because their team's backlog is full, or because they are
 * forecast to be done too late to be of value. The owner of a cell fills in a
 * GfAdmission about once a second, its forecast a few times a second, and
 * every entry checks new jobs against it. Plain values without references;
 * nothing has to be freed. */
#ifndef GUAVAFLOW_ADMISSION_H
#define GUAVAFLOW_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "guavaflow/cell_config.h"
#include "guavaflow/clock.h"
#include "guavaflow/error.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/name.h"

#define GF_ADMISSION_MAX_SERVICES 16
#define GF_ADMISSION_MAX_TEAMS 64
#define GF_ADMISSION_MAX_QUEUES 16
#define GF_ADMISSION_MAX_WAITS 256

/* The largest amount of each resource on any worker of a service so far; the
 * amounts may be those of different workers. */
typedef struct {
    GfName service;
    GfResources largest;
} GfServiceCapacity;

/* A team whose backlog is full, so that its new jobs are refused. */
typedef struct {
    GfName team;
    uint32_t retry_after_ms; /* estimated time until new jobs are accepted */
} GfFullTeam;

/* The wait until its start of a job that is submitted when the forecast is
 * made. A job that is late after wait_ms waits for late_wait_ms, which may be
 * too long by doubt_ms. */
typedef struct {
    uint32_t queue; /* index in the forecast's queues */
    GfName team;    /* length 0: all teams without an element of their own */
    uint32_t wait_ms;
    uint32_t late_wait_ms;
    uint32_t doubt_ms;
    bool at_limit; /* the team waits for its limit, not for capacity */
} GfAdmissionWait;

/* A queue some of whose jobs have to wait: the capacity that each entry may
 * count on for callers that come back, and by how many ms waits grow in a
 * second. */
typedef struct {
    GfName queue;
    uint32_t spare_mcores;
    uint32_t growth_ms;
} GfQueueForecast;

/* The owner's forecast. Jobs of queues and teams that it does not name do not
 * have to wait. */
typedef struct {
    uint64_t number; /* differs between forecasts, also of different owners;
                        0: there is none */
    struct timespec made_at; /* clock of the entry that uses it */
    GfQueueForecast queues[GF_ADMISSION_MAX_QUEUES];
    size_t queue_count;
    GfAdmissionWait waits[GF_ADMISSION_MAX_WAITS];
    size_t wait_count;
} GfAdmissionForecast;

/* The time for which the next caller of a queue is told to come back. */
typedef struct {
    GfName queue;
    struct timespec next_at;
} GfReturnTime;

/* What an entry checks new jobs against. If all zero, no job is refused.
 * Services and full teams beyond the maxima above are not checked. */
typedef struct {
    GfServiceCapacity services[GF_ADMISSION_MAX_SERVICES];
    size_t service_count;
    GfFullTeam full[GF_ADMISSION_MAX_TEAMS];
    size_t full_count;
    GfAdmissionForecast forecast;
    GfReturnTime returns[GF_ADMISSION_MAX_QUEUES];
    size_t return_count;
} GfAdmission;

/* What a check against the forecast was based on, and when to retry if the job
 * is refused. */
typedef struct {
    uint32_t retry_after_ms; /* 0: accepted */
    int64_t wait_ms;         /* until the start; 0: none is forecast */
    int64_t doubt_ms;        /* of the wait, with the forecast's age */
    int64_t age_ms;          /* of the forecast */
} GfForecastCheck;

/* The backlog of a team: its waiting tasks, the rate at which its tasks are
 * started, and the memory that its jobs take without their tasks. */
typedef struct {
    GfName team;
    uint32_t waiting_tasks;
    double starts_per_s;
    size_t job_bytes;
} GfTeamBacklog;

void GfAdmission_AddCapacity(GfAdmission *admission, const GfName *service,
                             GfResources capacity);
void GfAdmission_SetBacklogs(GfAdmission *admission,
                             const GfTeamBacklog *backlogs, size_t count);
uint32_t GfAdmission_OutageRetryMs(int64_t store_unavailable_ms);
GfErrorKind GfAdmission_Check(const GfAdmission *admission,
                              const GfName *service, const GfName *team,
                              const GfJobSpec *spec, uint32_t *retry_after_ms);
GfErrorKind GfAdmission_CheckLimit(const GfResources *limit,
                                   const GfJobSpec *spec);
void GfAdmission_ForgetForecast(GfAdmission *admission);
GfErrorKind GfAdmission_CheckForecast(GfAdmission *admission,
                                      const GfQueue *queue, const GfName *team,
                                      const GfJobSpec *spec,
                                      struct timespec now,
                                      GfForecastCheck *check);

#endif
