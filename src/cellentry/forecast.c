/* The owner's forecast of waits between entries. It is in each answer of the
 * owner to a heartbeat and to a call about a job, in full if the caller has
 * another one, else only with its age. An entry uses what it heard from the
 * entry that it holds for the owner, and nothing that is older than admission
 * allows. */
#include <string.h>

#include "entry_private.h"

/* Fills in the forecast for an answer, without waits if the caller has them or
 * this entry is not the owner. rows is storage that must live until the answer
 * is sent; names point into the entry. */
void
EntryForecast_Fill(GfCellEntry *entry, uint64_t known_number,
                   ForecastRows *rows, gfc_forecast *out)
{
    const GfAdmissionForecast *f = &entry->admission.forecast;
    *out = (gfc_forecast){0};
    if (entry->term == NULL || f->number == 0) {
        return;
    }
    int64_t age_ms = GfTime_DiffMs(GfClock_Now(entry->clock), f->made_at);
    out->number = f->number;
    out->age_ms = age_ms < UINT32_MAX ? (u_int)age_ms : UINT32_MAX;
    if (known_number == f->number) {
        return;
    }
    for (size_t i = 0; i < f->queue_count; i++) {
        const GfQueueForecast *q = &f->queues[i];
        rows->queues[i] = (gfc_queue_forecast){.queue = (char *)q->queue.data,
                                               .spare_mcores = q->spare_mcores,
                                               .growth_ms = q->growth_ms};
    }
    for (size_t i = 0; i < f->wait_count; i++) {
        const GfAdmissionWait *w = &f->waits[i];
        rows->waits[i] = (gfc_team_wait){.queue = w->queue,
                                         .team = (char *)w->team.data,
                                         .wait_ms = w->wait_ms,
                                         .late_wait_ms = w->late_wait_ms,
                                         .doubt_ms = w->doubt_ms,
                                         .at_limit = w->at_limit};
    }
    out->queues.queues_val = rows->queues;
    out->queues.queues_len = (u_int)f->queue_count;
    out->waits.waits_val = rows->waits;
    out->waits.waits_len = (u_int)f->wait_count;
}

/* Returns the number of the forecast that this entry has, 0 if it has none. */
uint64_t
EntryForecast_KnownNumber(const GfCellEntry *entry)
{
    return entry->admission.forecast.number;
}

/* Replaces the rows of a forecast by those of a message; rows that are not
 * valid are left out. */
static void
copy_rows(GfAdmissionForecast *f, const gfc_forecast *forecast)
{
    f->queue_count = 0;
    f->wait_count = 0;
    for (u_int i = 0; i < forecast->queues.queues_len; i++) {
        const gfc_queue_forecast *from = &forecast->queues.queues_val[i];
        GfQueueForecast *q = &f->queues[f->queue_count++];
        if (!GfName_SetText(&q->queue, from->queue)) {
            q->queue = (GfName){0};
        }
        q->spare_mcores = from->spare_mcores;
        q->growth_ms = from->growth_ms;
    }
    for (u_int i = 0; i < forecast->waits.waits_len; i++) {
        const gfc_team_wait *from = &forecast->waits.waits_val[i];
        GfAdmissionWait *w = &f->waits[f->wait_count];
        *w = (GfAdmissionWait){.queue = from->queue,
                               .wait_ms = from->wait_ms,
                               .late_wait_ms = from->late_wait_ms,
                               .doubt_ms = from->doubt_ms,
                               .at_limit = from->at_limit != 0};
        if (from->team[0] == '\0' || GfName_SetText(&w->team, from->team)) {
            f->wait_count++;
        }
    }
}

/* Applies the forecast in a peer's answer to a call that was sent at sent_at,
 * if the peer is the owner. Answers can overtake each other: one that is older
 * than what is known is ignored. An answer without a forecast ends it. */
void
EntryForecast_Apply(GfCellEntry *entry, const Peer *from,
                    struct timespec sent_at, const gfc_forecast *forecast)
{
    if (entry->term != NULL || from != EntryOwnership_OwnerPeer(entry)) {
        return;
    }
    GfAdmissionForecast *f = &entry->admission.forecast;
    if (forecast->number == 0) {
        GfAdmission_ForgetForecast(&entry->admission);
        return;
    }
    /* It may have been made later, if the answer took time. */
    struct timespec made_at =
        GfTime_AddMs(sent_at, -(int64_t)forecast->age_ms);
    if (forecast->number == f->number) {
        if (GfTime_Before(f->made_at, made_at)) {
            f->made_at = made_at;
        }
        return;
    }
    if (forecast->number < f->number) {
        return;
    }
    copy_rows(f, forecast);
    f->number = forecast->number;
    f->made_at = made_at;
}
