/* Admission control: which jobs are refused at submission because they can
 * never run or because their team's backlog is full. The owner of a cell fills
 * in a GfAdmission about once a second, and every entry checks new jobs
 * against it. Plain values without references; nothing has to be freed. */
#ifndef GUAVAFLOW_ADMISSION_H
#define GUAVAFLOW_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/name.h"

#define GF_ADMISSION_MAX_SERVICES 16
#define GF_ADMISSION_MAX_TEAMS 64

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

/* What an entry checks new jobs against. If all zero, no job is refused.
 * Services and full teams beyond the maxima above are not checked. */
typedef struct {
    GfServiceCapacity services[GF_ADMISSION_MAX_SERVICES];
    size_t service_count;
    GfFullTeam full[GF_ADMISSION_MAX_TEAMS];
    size_t full_count;
} GfAdmission;

/* The backlog of a team: its waiting tasks, and the rate at which its tasks
 * are started. */
typedef struct {
    GfName team;
    uint32_t waiting_tasks;
    double starts_per_s;
} GfTeamBacklog;

void GfAdmission_AddCapacity(GfAdmission *admission, const GfName *service,
                             GfResources capacity);
void GfAdmission_SetBacklogs(GfAdmission *admission,
                             const GfTeamBacklog *backlogs, size_t count);
uint32_t GfAdmission_OutageRetryMs(int64_t store_unavailable_ms);
GfErrorKind GfAdmission_Check(const GfAdmission *admission,
                              const GfName *service, const GfName *team,
                              const GfJobSpec *spec, uint32_t *retry_after_ms);

#endif
