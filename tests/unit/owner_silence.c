/* Evidence that the owner of a cell is silent. The tests guard against entries
 * with a full link that replace an owner that works, and against a cell that
 * stays without an owner, or gets one late, after the owner is lost. The first
 * arises when a large document fills a narrow link, the second when the store
 * is slow or all other entries are lost too. */
#include "guavaflow/owner_silence.h"

#include "guavaflow/clock.h"
#include "suite.h"

#define STEP_MS 10
#define TICK_MS 50
#define HEARTBEAT_MS 150
#define HEARTBEAT_TIMEOUT_MS 470
#define RECONNECT_MS 105
/* Without contact for this long the owner may be replaced, and a lost one is
 * replaced at most ADDED_MS later; the stated target. */
#define OWNER_TIMEOUT_MS 700
#define ADDED_MS 200
#define LAST_MS 6000
#define NEVER (-1)

/* What happens to an entry after its last contact with the owner, which is at
 * time 0. Times in ms; an answer time of NEVER: no answer comes. */
typedef struct {
    int64_t peer_ms;   /* until another entry answers */
    int64_t store_ms;  /* until the store answers */
    int64_t owner_ms;  /* until the owner answers */
    int64_t full_from; /* from here on no answer comes until full_until */
    int64_t full_until;
} Case;

/* Returns when a message sent at a time is answered, NEVER if it is not. */
static int64_t
answered_at(const Case *c, int64_t sent, int64_t takes)
{
    if (takes == NEVER) {
        return NEVER;
    }
    int64_t at = sent + takes;
    return at > c->full_from && at < c->full_until ? c->full_until : at;
}

/* A message in progress. */
typedef struct {
    bool open;
    int64_t sent;
    int64_t answered;
} Message;

/* Sends a message. */
static Message
send_message(const Case *c, int64_t at, int64_t takes)
{
    return (Message){
        .open = true, .sent = at, .answered = answered_at(c, at, takes)};
}

/* Records the answer to a message if it arrives at a time. */
static void
receive(GfOwnerSilence *s, Message *m, int64_t at)
{
    if (m->open && m->answered != NEVER && at >= m->answered) {
        m->open = false;
        GfOwnerSilence_RecordAnswer(s, GfTime_FromMs(m->sent),
                                    GfTime_FromMs(at));
    }
}

/* Returns when the owner is replaced, NEVER if it answers before. Times count
 * from the last contact. */
static int64_t
replaced_at(const Case *c, int64_t phase)
{
    GfOwnerSilence s = {.answered_before = false};
    const int64_t origin = 100000;
    GfOwnerSilence_SetContact(&s, GfTime_FromMs(origin));
    Case moved = *c;
    moved.full_from += origin;
    moved.full_until += origin;
    Message owner = {.open = false};
    Message peer = {.open = false};
    Message store = {.open = false};
    int64_t next = origin + HEARTBEAT_MS - STEP_MS;
    for (int64_t t = origin + STEP_MS; t < origin + LAST_MS; t += STEP_MS) {
        if (owner.open && owner.answered != NEVER && t >= owner.answered) {
            return NEVER;
        }
        if (owner.open && t - owner.sent >= HEARTBEAT_TIMEOUT_MS) {
            owner.open = false;
            next = t + RECONNECT_MS;
        }
        receive(&s, &peer, t);
        receive(&s, &store, t);
        if (peer.open && t - peer.sent >= HEARTBEAT_TIMEOUT_MS) {
            peer.open = false;
        }
        if ((t - origin + phase) % TICK_MS != 0) {
            continue;
        }
        struct timespec now = GfTime_FromMs(t);
        if (t >= next) {
            next = t + HEARTBEAT_MS;
            if (!owner.open) {
                owner = send_message(&moved, t, c->owner_ms);
                GfOwnerSilence_RecordAsked(&s, now);
            }
            if (t - origin > 2 * HEARTBEAT_MS && !peer.open) {
                peer = send_message(&moved, t, c->peer_ms);
            }
        }
        if (!store.open && GfOwnerSilence_NeedsAnswer(&s, now)) {
            store = send_message(&moved, t, c->store_ms);
        }
        if (t - origin > OWNER_TIMEOUT_MS && GfOwnerSilence_IsShown(&s, now)) {
            return t - origin;
        }
    }
    return NEVER;
}

/* Returns the latest time at which the owner is replaced, over all phases of
 * the tick; NEVER if it is kept in one. */
static int64_t
latest(const Case *c)
{
    int64_t last = 0;
    for (int64_t phase = 0; phase < TICK_MS; phase += STEP_MS) {
        int64_t at = replaced_at(c, phase);
        if (at == NEVER) {
            return NEVER;
        }
        last = at > last ? at : last;
    }
    return last;
}

/* An owner that is lost is replaced in time, whether other entries answer or
 * the store alone. */
static void
test_owner_lost(void)
{
    enum { LIMIT_MS = OWNER_TIMEOUT_MS + TICK_MS + ADDED_MS };
    Case c = {.peer_ms = 10, .store_ms = 20, .owner_ms = NEVER};
    int64_t at = latest(&c);
    CU_ASSERT(at > OWNER_TIMEOUT_MS && at <= LIMIT_MS);
    c.peer_ms = NEVER;
    at = latest(&c);
    CU_ASSERT(at > OWNER_TIMEOUT_MS && at <= LIMIT_MS);
}

/* With all other entries lost, a slow store is enough, however slow. */
static void
test_slow_store(void)
{
    enum { SLOW_MS = 300, VERY_SLOW_MS = 1200, LIMIT_MS = 2000 };
    Case c = {.peer_ms = NEVER, .store_ms = SLOW_MS, .owner_ms = NEVER};
    int64_t at = latest(&c);
    CU_ASSERT(at > OWNER_TIMEOUT_MS && at <= LIMIT_MS);
    c.store_ms = VERY_SLOW_MS;
    CU_ASSERT(latest(&c) > OWNER_TIMEOUT_MS);
}

/* An owner that works is kept while the link is full, whenever that begins
 * and ends. */
static void
test_full_link(void)
{
    enum { FULL_MS = 1300 };
    Case c = {.peer_ms = 10, .store_ms = 20, .owner_ms = 10};
    for (int64_t from = 0; from < 140; from += STEP_MS) {
        for (int64_t ms = 600; ms <= FULL_MS; ms += STEP_MS) {
            c.full_from = from;
            c.full_until = from + ms;
            for (int64_t phase = 0; phase < TICK_MS; phase += STEP_MS) {
                CU_ASSERT_EQUAL(replaced_at(&c, phase), NEVER);
            }
        }
    }
}

/* An owner that is lost while the link is full is replaced soon after that. */
static void
test_lost_while_full(void)
{
    enum { FULL_MS = 1300, LIMIT_MS = FULL_MS + 1000 };
    Case c = {.peer_ms = 10,
              .store_ms = 20,
              .owner_ms = NEVER,
              .full_from = 0,
              .full_until = FULL_MS};
    int64_t at = latest(&c);
    CU_ASSERT(at > FULL_MS && at <= LIMIT_MS);
}

/* Without any answer the link is not known to work. */
static void
test_nobody_answers(void)
{
    Case c = {.peer_ms = NEVER, .store_ms = NEVER, .owner_ms = NEVER};
    CU_ASSERT_EQUAL(replaced_at(&c, 0), NEVER);
}

/* Evidence from before a contact counts no more. */
static void
test_contact(void)
{
    enum { T = 100000, LATER = T + 500 };
    GfOwnerSilence s = {.answered_before = false};
    GfOwnerSilence_SetContact(&s, GfTime_FromMs(T));
    GfOwnerSilence_RecordAnswer(&s, GfTime_FromMs(T + 10),
                                GfTime_FromMs(T + 20));
    GfOwnerSilence_RecordAsked(&s, GfTime_FromMs(T + 30));
    GfOwnerSilence_RecordAnswer(&s, GfTime_FromMs(T + 40),
                                GfTime_FromMs(T + 50));
    CU_ASSERT_TRUE(GfOwnerSilence_IsShown(&s, GfTime_FromMs(LATER)));
    GfOwnerSilence_SetContact(&s, GfTime_FromMs(T + 60));
    CU_ASSERT_FALSE(GfOwnerSilence_IsShown(&s, GfTime_FromMs(LATER)));
    GfOwnerSilence_RecordAnswer(&s, GfTime_FromMs(T + 40),
                                GfTime_FromMs(T + 70));
    CU_ASSERT_FALSE(s.answered_before);
}

static const SuiteTest TESTS[] = {{"owner lost", test_owner_lost},
                                  {"slow store", test_slow_store},
                                  {"full link", test_full_link},
                                  {"lost while full", test_lost_while_full},
                                  {"nobody answers", test_nobody_answers},
                                  {"contact", test_contact}};

SUITE_MAIN("owner_silence", TESTS)
