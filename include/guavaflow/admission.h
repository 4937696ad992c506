/* Which jobs are refused when they are handed in, as what they ask for cannot
 * be served. */
#ifndef GUAVAFLOW_ADMISSION_H
#define GUAVAFLOW_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "guavaflow/error.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/name.h"

#define GF_ADMISSION_MAX_SERVICES 16
#define GF_ADMISSION_MAX_TEAMS 64

/* The largest of each amount that any worker of a service has had. */
typedef struct {
    GfName service;
    GfAmounts largest;
} GfServiceRoom;

/* A team that has as much waiting as one team may. */
typedef struct {
    GfName team;
    uint32_t retry_after_ms; /* by then there is room for more, as it seems */
} GfFullTeam;

/* What an entry knows; all zero, it refuses nothing. */
typedef struct {
    GfServiceRoom rooms[GF_ADMISSION_MAX_SERVICES];
    size_t room_count;
    GfFullTeam full[GF_ADMISSION_MAX_TEAMS];
    size_t full_count;
} GfAdmission;

/* What a team has waiting, and how fast that gets started. */
typedef struct {
    GfName team;
    uint32_t waiting_tasks;
    double starts_per_s;
} GfTeamBacklog;

void GfAdmission_AddRoom(GfAdmission *admission, const GfName *service,
                         GfAmounts room);
void GfAdmission_SetBacklogs(GfAdmission *admission,
                             const GfTeamBacklog *backlogs, size_t count);
uint32_t GfAdmission_OutageRetryMs(int64_t store_away_ms);
GfErrorKind GfAdmission_Check(const GfAdmission *admission,
                              const GfName *service, const GfName *team,
                              const GfJobSpec *spec, uint32_t *retry_after_ms);

#endif
