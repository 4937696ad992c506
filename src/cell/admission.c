/* Refusals of what cannot be served. They answer jobs that fit no worker,
 * which would wait for ever, and a team that hands in far more than gets
 * started, whose backlog would take the owner's memory from the others. What
 * is merely late is taken in, since its callers count on it to be done. */
#include "guavaflow/admission.h"

#include <assert.h>
#include <string.h>

/* Tasks that one team may have waiting: at some 150 bytes each 6 MB of the
 * 160 MB of the smallest hosts. */
#define TEAM_TASKS 40000
/* All teams together: 30 MB. Above it those with more than an equal part of
 * it are full. */
#define ALL_TASKS 200000
/* A full team is told to come back when this much of its backlog is gone. */
#define RELIEF_PERCENT 10
#define PERCENT 100
/* Bounds for that time: a look at the backlog takes a second to show, and an
 * estimate for longer is worth little. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 10000
#define MS_PER_S 1000
/* A takeover is over by the first, and the store's short outages mostly. */
#define OUTAGE_RETRY_MIN_MS 1000
#define OUTAGE_RETRY_MAX_MS 3000

/* Returns the larger of two numbers. */
static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* Finds what is known of a service, or returns NULL. */
static const GfServiceRoom *
find_room(const GfAdmission *a, const GfName *service)
{
    for (size_t i = 0; i < a->room_count; i++) {
        if (GfName_Equal(&a->rooms[i].service, service)) {
            return &a->rooms[i];
        }
    }
    return NULL;
}

/* Notes the room of a worker of a service. It stays known when the worker
 * goes, as it may return. Services beyond the table are not known, and refuse
 * nothing. */
void
GfAdmission_AddRoom(GfAdmission *a, const GfName *service, GfAmounts room)
{
    assert(a != NULL && service != NULL);
    GfServiceRoom *known = (GfServiceRoom *)find_room(a, service);
    if (known == NULL) {
        if (a->room_count == GF_ADMISSION_MAX_SERVICES) {
            return;
        }
        known = &a->rooms[a->room_count++];
        *known = (GfServiceRoom){.service = *service};
    }
    GfAmounts *l = &known->largest;
    l->mcores = larger(l->mcores, room.mcores);
    l->memory_mb = larger(l->memory_mb, room.memory_mb);
    l->accelerators = larger(l->accelerators, room.accelerators);
}

/* Returns when a team with a backlog should come back. */
static uint32_t
retry_after_ms(const GfTeamBacklog *b)
{
    double relief = (double)b->waiting_tasks * RELIEF_PERCENT / PERCENT;
    double ms = b->starts_per_s > 0 ? relief / b->starts_per_s * MS_PER_S
                                    : RETRY_MAX_MS;
    if (ms < RETRY_MIN_MS) {
        return RETRY_MIN_MS;
    }
    return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

/* Takes what the teams have waiting, in place of what was known. */
void
GfAdmission_SetBacklogs(GfAdmission *a, const GfTeamBacklog *backlogs,
                        size_t count)
{
    assert(a != NULL && (backlogs != NULL || count == 0));
    uint64_t all = 0;
    for (size_t i = 0; i < count; i++) {
        all += backlogs[i].waiting_tasks;
    }
    uint64_t part = count > 0 ? ALL_TASKS / count : ALL_TASKS;
    a->full_count = 0;
    for (size_t i = 0; i < count; i++) {
        const GfTeamBacklog *b = &backlogs[i];
        bool full = b->waiting_tasks >= TEAM_TASKS ||
                    (all >= ALL_TASKS && b->waiting_tasks >= part);
        if (full && a->full_count < GF_ADMISSION_MAX_TEAMS) {
            a->full[a->full_count++] =
                (GfFullTeam){b->team, retry_after_ms(b)};
        }
    }
}

/* Returns when a caller should come back who is refused since the store or
 * the owner is away; store_away_ms is 0 if the store answers. An outage that
 * has lasted goes on for about as long again; callers who come back too early
 * use up their attempts. */
uint32_t
GfAdmission_OutageRetryMs(int64_t store_away_ms)
{
    if (store_away_ms < OUTAGE_RETRY_MIN_MS) {
        return OUTAGE_RETRY_MIN_MS;
    }
    return store_away_ms < OUTAGE_RETRY_MAX_MS ? (uint32_t)store_away_ms
                                               : OUTAGE_RETRY_MAX_MS;
}

/* Tells whether a step's tasks fit a worker with the largest known room. */
static bool
fits(const GfServiceRoom *room, const GfStepSpec *step)
{
    const GfAmounts *l = &room->largest;
    return (step->filler || step->need.mcores <= l->mcores) &&
           step->need.memory_mb <= l->memory_mb &&
           step->need.accelerators <= l->accelerators;
}

/* Tells whether a job is to be taken in: GF_OK; GF_NEVER_FITS if no worker of
 * the service is large enough for a task of it; or GF_LIMIT_REACHED, with the
 * time after which the caller should come back. */
GfErrorKind
GfAdmission_Check(const GfAdmission *a, const GfName *service,
                  const GfName *team, const GfJobSpec *spec,
                  uint32_t *retry_after)
{
    assert(a != NULL && service != NULL && team != NULL && spec != NULL);
    *retry_after = 0;
    const GfServiceRoom *room = find_room(a, service);
    for (size_t i = 0; room != NULL && i < spec->step_count; i++) {
        if (!fits(room, &spec->steps[i])) {
            return GF_NEVER_FITS;
        }
    }
    for (size_t i = 0; i < a->full_count; i++) {
        if (GfName_Equal(&a->full[i].team, team)) {
            *retry_after = a->full[i].retry_after_ms;
            return GF_LIMIT_REACHED;
        }
    }
    return GF_OK;
}
