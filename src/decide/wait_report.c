#include "guavaflow/wait_report.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Slots of a class's hash table; a power of two that leaves half of them
 * free, which keeps the search for a team short. */
#define SLOTS (GF_WAIT_TEAMS * 2)

/* The sums of a class. slots is an open-addressing hash table of its teams; a
 * slot without waits is free. */
typedef struct {
    uint32_t waiting;
    uint32_t team_count;
    int64_t by_cause_ms[GF_WAIT_CAUSES];
    int64_t other_teams_ms;
    GfTeamWait slots[SLOTS];
} ClassSums;

struct GfWaitReport {
    ClassSums classes[GF_WAIT_CLASSES];
};

/* Creates an empty report. Aborts if out of memory. */
GfWaitReport *
GfWaitReport_Create(void)
{
    GfWaitReport *report = calloc(1, sizeof(*report));
    if (report == NULL) {
        abort();
    }
    return report;
}

/* Frees the report; NULL is ignored. */
void
GfWaitReport_Destroy(GfWaitReport *report)
{
    free(report);
}

/* Returns the slot of a team, or the free one in which it belongs. */
static GfTeamWait *
find_slot(ClassSums *sums, const GfName *team)
{
    size_t at = GfName_Hash(team, 0) % SLOTS;
    while (sums->slots[at].waited_ms > 0 &&
           !GfName_Equal(&sums->slots[at].team, team)) {
        at = (at + 1) % SLOTS;
    }
    return &sums->slots[at];
}

/* Adds ms milliseconds that a step waited; 0 and less are ignored. With a team
 * of NULL they count in the totals alone. */
void
GfWaitReport_Add(GfWaitReport *report, uint32_t work_class, uint32_t cause,
                 const GfName *team, int64_t ms)
{
    assert(report != NULL);
    assert(work_class < GF_WAIT_CLASSES && cause < GF_WAIT_CAUSES);
    if (ms <= 0) {
        return;
    }
    ClassSums *sums = &report->classes[work_class];
    sums->by_cause_ms[cause] += ms;
    if (team == NULL) {
        return;
    }
    GfTeamWait *slot = find_slot(sums, team);
    if (slot->waited_ms == 0 && sums->team_count == GF_WAIT_TEAMS) {
        sums->other_teams_ms += ms;
        return;
    }
    if (slot->waited_ms == 0) {
        slot->team = *team;
        sums->team_count++;
    }
    slot->waited_ms += ms;
}

/* Counts a step of the class that waits now. */
void
GfWaitReport_CountWaiting(GfWaitReport *report, uint32_t work_class)
{
    assert(report != NULL && work_class < GF_WAIT_CLASSES);
    report->classes[work_class].waiting++;
}

/* Returns whether a waited longer than b; of equal waits, the team whose name
 * sorts first counts as the longer one. */
static bool
waited_longer(const GfTeamWait *a, const GfTeamWait *b)
{
    return a->waited_ms != b->waited_ms
               ? a->waited_ms > b->waited_ms
               : GfName_Compare(&a->team, &b->team) < 0;
}

/* Adds a team to the worst ones if it belongs there. */
static void
insert_worst(GfClassWaits *waits, const GfTeamWait *team)
{
    size_t at = waits->worst_count;
    while (at > 0 && waited_longer(team, &waits->worst[at - 1])) {
        if (at < GF_WAIT_WORST_TEAMS) {
            waits->worst[at] = waits->worst[at - 1];
        }
        at--;
    }
    if (at < GF_WAIT_WORST_TEAMS) {
        waits->worst[at] = *team;
        waits->worst_count += waits->worst_count < GF_WAIT_WORST_TEAMS;
    }
}

/* Writes what a class has waited since the report was created or cleared to
 * *waits. */
void
GfWaitReport_Summarize(const GfWaitReport *report, uint32_t work_class,
                       GfClassWaits *waits)
{
    assert(report != NULL && work_class < GF_WAIT_CLASSES);
    const ClassSums *sums = &report->classes[work_class];
    *waits = (GfClassWaits){.waiting = sums->waiting,
                            .other_teams_ms = sums->other_teams_ms};
    for (size_t i = 0; i < GF_WAIT_CAUSES; i++) {
        waits->by_cause_ms[i] = sums->by_cause_ms[i];
        waits->total_ms += sums->by_cause_ms[i];
    }
    for (size_t i = 0; sums->team_count > 0 && i < SLOTS; i++) {
        if (sums->slots[i].waited_ms > 0) {
            insert_worst(waits, &sums->slots[i]);
        }
    }
}

/* Begins a new period: sets all sums to zero. */
void
GfWaitReport_Clear(GfWaitReport *report)
{
    memset(report, 0, sizeof(*report));
}
