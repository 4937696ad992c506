/* Whether the owner of a cell is silent, or the link of this entry is full. An
 * entry that hears nothing from the owner may have lost it, or may receive
 * nothing in time. The owner counts as silent once a message to it has gone
 * unanswered while messages to others, sent before and after it, were answered
 * in time. */
#ifndef GUAVAFLOW_OWNER_SILENCE_H
#define GUAVAFLOW_OWNER_SILENCE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* What has been sent and answered since the last contact with the owner.
 * Initialize with zero bytes. */
typedef struct {
    struct timespec since; /* last contact with the owner */
    bool answered_before;  /* another message was answered in time */
    int64_t before_ms;     /* least time that such an answer took */
    bool asked; /* a message to the owner has been sent after that answer */
    struct timespec asked_at; /* when the first such was sent */
    bool answered_after;      /* another message, sent since asked_at, was
                               * answered in time */
    int64_t after_ms;         /* least time that such an answer took */
    struct timespec last_answered_at; /* when the newest of them was */
} GfOwnerSilence;

void GfOwnerSilence_SetContact(GfOwnerSilence *s, struct timespec contact_at);
void GfOwnerSilence_RecordAsked(GfOwnerSilence *s, struct timespec now);
void GfOwnerSilence_RecordAnswer(GfOwnerSilence *s, struct timespec sent_at,
                                 struct timespec now);
bool GfOwnerSilence_IsShown(const GfOwnerSilence *s, struct timespec now);
bool GfOwnerSilence_NeedsAnswer(const GfOwnerSilence *s, struct timespec now);

#endif
