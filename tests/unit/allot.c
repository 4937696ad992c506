/* Allotments of a team's limit to racks. The tests guard against a sum of all
 * parts above the limit, which lets a team use more than it may. It comes
 * about when the limit is lowered while racks and the pool hold parts that
 * were granted under the former limit and are scaled down later. */
#include "guavaflow/allot.h"

#include <stdlib.h>

#include "suite.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define RACKS 5
#define STEPS 400

static const GfName TEAM = {.len = 1, .data = "t"};

/* Returns the control state that follows a document (NULL: the first one) with
 * another limit of processors. Releases the document; the caller owns the
 * result. */
static json_t *
with_limit(json_t *document, int version, int cores)
{
    GfStr text = GfStr_Format(
        "version: %d\nquorum: 1\nmembers: [{name: a, key: " HASH "}]\n"
        "teams: [{name: t, share: 1, limit_cores: %d, limit_requests: 1}]\n"
        "services: []\n",
        version, cores);
    json_t *next = document == NULL
                       ? GfControl_FirstDocument(text.data, NULL)
                       : GfControl_WithBundle(document, text.data, NULL);
    GfStr_Clear(&text);
    json_decref(document);
    return next;
}

/* Adjusts the pool to a new control state, as the transaction that commits the
 * state does. Frees the former state; the caller owns the result. */
static GfControl *
advance(GfControl *before, json_t *document, GfAllotments *pool)
{
    GfControl *after = GfControl_Create(0);
    GfControl_Apply(after, document, (struct timespec){0}, NULL);
    GfPool_Adjust(pool, before, after);
    GfControl_Destroy(before);
    return after;
}

/* Parts move between racks and pool while the limit changes at random, and
 * rows are normalized to the new limit only when they are written: the sum of
 * all parts never exceeds the limit. */
static void
test_sum(void)
{
    srand(7);
    for (int run = 0; run < 20; run++) {
        GfAllotments *pool = GfAllotments_Create();
        GfAllotments *racks[RACKS];
        for (int i = 0; i < RACKS; i++) {
            racks[i] = GfAllotments_Create();
        }
        int limit = 50;
        int version = 1;
        json_t *document = with_limit(NULL, version, limit);
        GfControl *control = advance(NULL, document, pool);
        for (int step = 0; step < STEPS; step++) {
            if (rand() % 12 == 0) {
                limit = 1 + rand() % 99;
                document = with_limit(document, ++version, limit);
                control = advance(control, document, pool);
            }
            GfAllotments *rack = racks[rand() % RACKS];
            GfQuota have = GfAllotments_Get(rack, &TEAM, control);
            GfQuota left = GfAllotments_Get(pool, &TEAM, control);
            GfQuota want = {.mcores = (uint64_t)(rand() % 20000)};
            GfQuota take = GfPool_AmountToTake(left, want, want, RACKS);
            uint64_t give =
                have.mcores > 0 ? (uint64_t)rand() % (have.mcores + 1) : 0;
            have.mcores = have.mcores + take.mcores - give;
            left.mcores = left.mcores - take.mcores + give;
            uint64_t base = GfControl_Version(control);
            GfAllotments_Set(rack, &TEAM, have, base);
            GfAllotments_Set(pool, &TEAM, left, base);
            uint64_t sum = GfAllotments_Get(pool, &TEAM, control).mcores;
            for (int i = 0; i < RACKS; i++) {
                sum += GfAllotments_Get(racks[i], &TEAM, control).mcores;
            }
            CU_ASSERT_TRUE(sum <= (uint64_t)limit * 1000);
        }
        for (int i = 0; i < RACKS; i++) {
            GfAllotments_Destroy(racks[i]);
        }
        GfAllotments_Destroy(pool);
        GfControl_Destroy(control);
        json_decref(document);
    }
}

/* A rack takes an equal part of the pool, or more if its next task needs more,
 * but no more than it wants or the pool has. */
static void
test_take(void)
{
    GfQuota pool = {.mcores = 9000};
    GfQuota want = {.mcores = 9000};
    GfQuota least = {.mcores = 1000};
    CU_ASSERT_EQUAL(GfPool_AmountToTake(pool, want, least, 3).mcores, 3000);
    least.mcores = 5000;
    CU_ASSERT_EQUAL(GfPool_AmountToTake(pool, want, least, 3).mcores, 5000);
    least.mcores = 12000;
    want.mcores = 12000;
    CU_ASSERT_EQUAL(GfPool_AmountToTake(pool, want, least, 3).mcores, 9000);
    want.mcores = 0;
    CU_ASSERT_EQUAL(GfPool_AmountToTake(pool, want, least, 3).mcores, 0);
}

/* A saved row loads with the same base version; a malformed row is rejected.
 */
static void
test_rows(void)
{
    GfAllotments *parts = GfAllotments_Create();
    GfQuota amount = {.mcores = 5, .requests = 6};
    GfAllotments_Set(parts, &TEAM, amount, 3);
    json_t *row = GfAllotments_Save(parts);
    GfAllotments *copy = GfAllotments_Create();
    CU_ASSERT_TRUE(GfAllotments_Load(copy, row, NULL));
    CU_ASSERT_EQUAL(GfAllotments_MaxBaseVersion(copy), 3);
    json_decref(row);
    row = json_pack("{s:{s:[i,i,i]}}", "teams", "t", -1, 0, 0);
    CU_ASSERT_FALSE(GfAllotments_Load(copy, row, NULL));
    json_decref(row);
    GfAllotments_Destroy(copy);
    GfAllotments_Destroy(parts);
}

static const SuiteTest TESTS[] = {
    {"sum", test_sum}, {"take", test_take}, {"rows", test_rows}};

SUITE_MAIN("allot", TESTS)
