/* Evidence that the owner of a cell is silent. It guards against the following
 * failure: a large document fills the narrow links of many entries, heartbeat
 * answers queue up behind it, and each of these entries replaces an owner that
 * works. */
#include "guavaflow/owner_silence.h"

#include <assert.h>
#include <string.h>

#include "guavaflow/clock.h"

/* An answer that takes longer shows nothing: a heartbeat would have timed
 * out. */
#define IN_TIME_MS 450
/* Least time that a message to the owner goes unanswered. It is also at least
 * ANSWER_FACTOR times as long as the other answers took: a new connection
 * takes a round trip more. */
#define UNANSWERED_MS 100
#define ANSWER_FACTOR 2
/* The link may have become full since the last answer if that is older. Longer
 * than STORE_INTERVAL_MS and the slowest answer together. */
#define FRESH_MS 1200
/* After so long without contact the owner is replaced however long answers
 * take, as a cell must not stay without an owner. */
#define LONG_SILENCE_MS 3000
/* Other entries are asked at every heartbeat; the store only if they have not
 * answered for this long. */
#define STORE_AFTER_MS 450
#define STORE_AFTER_ASKED_MS 70
#define STORE_INTERVAL_MS 500

/* Sets the time of the last contact with the owner. Evidence from before a
 * new contact is dropped. */
void
GfOwnerSilence_SetContact(GfOwnerSilence *s, struct timespec contact_at)
{
    assert(s != NULL);
    if (GfTime_Before(s->since, contact_at)) {
        memset(s, 0, sizeof(*s));
        s->since = contact_at;
    }
}

/* Records that a message to the owner has been sent. */
void
GfOwnerSilence_RecordAsked(GfOwnerSilence *s, struct timespec now)
{
    assert(s != NULL);
    if (s->answered_before && !s->asked) {
        s->asked = true;
        s->asked_at = now;
    }
}

/* Records that a message to another entry or the store, sent at sent_at, has
 * been answered. */
void
GfOwnerSilence_RecordAnswer(GfOwnerSilence *s, struct timespec sent_at,
                            struct timespec now)
{
    assert(s != NULL);
    int64_t ms = GfTime_DiffMs(now, sent_at);
    bool in_time =
        ms <= IN_TIME_MS || GfTime_DiffMs(now, s->since) > LONG_SILENCE_MS;
    if (GfTime_Before(sent_at, s->since) || !in_time) {
        return;
    }
    if (!s->asked) {
        s->before_ms =
            s->answered_before && s->before_ms < ms ? s->before_ms : ms;
        s->answered_before = true;
    }
    else if (!GfTime_Before(sent_at, s->asked_at)) {
        s->after_ms = s->answered_after && s->after_ms < ms ? s->after_ms : ms;
        s->answered_after = true;
        s->last_answered_at = now;
    }
}

/* Returns whether it is shown that the owner does not answer although the link
 * of this entry works. */
bool
GfOwnerSilence_IsShown(const GfOwnerSilence *s, struct timespec now)
{
    assert(s != NULL);
    if (!s->answered_after) {
        return false;
    }
    if (GfTime_DiffMs(now, s->since) > LONG_SILENCE_MS) {
        return true;
    }
    int64_t slower_ms =
        s->before_ms > s->after_ms ? s->before_ms : s->after_ms;
    int64_t least_ms = slower_ms * ANSWER_FACTOR > UNANSWERED_MS
                           ? slower_ms * ANSWER_FACTOR
                           : UNANSWERED_MS;
    return GfTime_DiffMs(now, s->asked_at) >= least_ms &&
           GfTime_DiffMs(now, s->last_answered_at) <= FRESH_MS;
}

/* Returns whether an answer of the store is needed, since other entries have
 * not answered. */
bool
GfOwnerSilence_NeedsAnswer(const GfOwnerSilence *s, struct timespec now)
{
    assert(s != NULL);
    if (!s->answered_before) {
        return GfTime_DiffMs(now, s->since) > STORE_AFTER_MS;
    }
    if (!s->answered_after) {
        return s->asked &&
               GfTime_DiffMs(now, s->asked_at) > STORE_AFTER_ASKED_MS;
    }
    return GfTime_DiffMs(now, s->last_answered_at) > STORE_INTERVAL_MS;
}
