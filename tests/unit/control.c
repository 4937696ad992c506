/* Control state: the bundle in force and the evacuated failure domains. The
 * tests guard against old state that replaces newer, state that counts as
 * confirmed for too long, and parts of a limit that survive its lowering. Such
 * failures arise when answers arrive late or in another order. */
#include "guavaflow/control.h"

#include <stdlib.h>
#include <string.h>

#include "suite.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Returns the YAML of a bundle with one team and its limits, which the caller
 * owns. */
static GfStr
bundle(int version, int cores, int requests)
{
    return GfStr_Format(
        "version: %d\nquorum: 1\nmembers: [{name: a, key: " HASH "}]\n"
        "teams: [{name: t, share: 1, limit_cores: %d, limit_requests: %d, "
        "keys: []}]\nservices: [{name: s}]\n",
        version, cores, requests);
}

/* Returns the control state that follows a document (NULL: the first one) with
 * these limits. Releases the document; the caller owns the result. */
static json_t *
next_document(json_t *document, int version, int cores, int requests)
{
    GfError error;
    GfStr text = bundle(version, cores, requests);
    json_t *next = document == NULL
                       ? GfControl_FirstDocument(text.data, &error)
                       : GfControl_WithBundle(document, text.data, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    GfStr_Clear(&text);
    json_decref(document);
    return next;
}

/* The version only rises: an older document is accepted without effect, and a
 * malformed one is rejected. Taking out a domain twice is an error. */
static void
test_versions(void)
{
    GfManualClock clock;
    GfManualClock_Init(&clock, 1000);
    GfControl *c = GfControl_Create(3000);
    json_t *first = next_document(NULL, 1, 10, 10);
    json_t *second = next_document(json_incref(first), 2, 20, 20);
    GfName domain = GfName_Format("fd");
    CU_ASSERT_TRUE(GfControl_Apply(c, second, clock.time, NULL));
    CU_ASSERT_EQUAL(GfControl_Version(c), 2);
    CU_ASSERT_TRUE(GfControl_Apply(c, first, clock.time, NULL));
    CU_ASSERT_EQUAL(GfControl_Version(c), 2);
    json_t *out = GfControl_WithDomain(second, &domain, true, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    CU_ASSERT_TRUE(GfControl_Apply(c, out, clock.time, NULL));
    CU_ASSERT_TRUE(GfControl_DomainIsOut(c, &domain));
    CU_ASSERT_PTR_NULL(GfControl_WithDomain(out, &domain, true, NULL));
    json_t *broken = json_pack("{s:i,s:s}", "version", 9, "bundle", "x: [");
    CU_ASSERT_FALSE(GfControl_Apply(c, broken, clock.time, NULL));
    CU_ASSERT_EQUAL(GfControl_Version(c), 3);
    json_decref(broken);
    json_decref(out);
    json_decref(second);
    json_decref(first);
    GfControl_Destroy(c);
}

/* The state is confirmed for 3000 ms from the sending of the query, not from
 * the answer, and only if the answer names no newer version. */
static void
test_confirmed(void)
{
    GfManualClock clock;
    GfManualClock_Init(&clock, 10000);
    GfControl *c = GfControl_Create(3000);
    json_t *first = next_document(NULL, 1, 10, 10);
    struct timespec sent = clock.time;
    GfControl_Confirm(c, 0, sent);
    CU_ASSERT_FALSE(GfControl_IsConfirmed(c, clock.time));
    GfControl_Apply(c, first, clock.time, NULL);
    GfControl_Confirm(c, 2, sent);
    CU_ASSERT_FALSE(GfControl_IsConfirmed(c, clock.time));
    GfControl_Confirm(c, 1, sent);
    CU_ASSERT_TRUE(GfControl_IsConfirmed(c, clock.time));
    GfManualClock_Advance(&clock, 2999);
    CU_ASSERT_TRUE(GfControl_IsConfirmed(c, clock.time));
    GfManualClock_Advance(&clock, 1);
    CU_ASSERT_FALSE(GfControl_IsConfirmed(c, clock.time));
    json_decref(first);
    GfControl_Destroy(c);
}

/* An amount is scaled down for each lowering of the limit since it was
 * granted, and not scaled up when the limit rises again. */
static void
test_scale(void)
{
    GfControl *c = GfControl_Create(3000);
    struct timespec now = {0};
    GfName team = GfName_Format("t");
    json_t *document = next_document(NULL, 1, 100, 10);
    document = next_document(document, 2, 50, 10);
    document = next_document(document, 3, 80, 5);
    GfControl_Apply(c, document, now, NULL);
    GfQuota part = {.mcores = 40001, .requests = 3};
    GfQuota left = GfControl_ScaleGrant(c, &team, part, 1);
    CU_ASSERT_EQUAL(left.mcores, 20000);
    CU_ASSERT_EQUAL(left.requests, 1);
    left = GfControl_ScaleGrant(c, &team, part, 2);
    CU_ASSERT_EQUAL(left.mcores, 40001);
    left = GfControl_ScaleGrant(c, &team, part, 3);
    CU_ASSERT_EQUAL(left.requests, 3);
    json_decref(document);
    GfControl_Destroy(c);
}

/* An amount that was granted before the oldest recorded lowering scales to 0,
 * as its factor is not known any more. */
static void
test_scale_floor(void)
{
    GfControl *c = GfControl_Create(3000);
    struct timespec now = {0};
    GfName team = GfName_Format("t");
    json_t *document = next_document(NULL, 1, 100, 100);
    for (int i = 0; i < 40; i++) {
        document = next_document(document, 2 + i, 100 - i - 1, 100);
    }
    GfControl_Apply(c, document, now, NULL);
    GfQuota part = {.mcores = 1000, .requests = 10};
    CU_ASSERT_EQUAL(GfControl_ScaleGrant(c, &team, part, 1).mcores, 0);
    CU_ASSERT_TRUE(GfControl_ScaleGrant(c, &team, part, 40).mcores > 0);
    json_decref(document);
    GfControl_Destroy(c);
}

/* A bundle whose version is not the next after the one in force conflicts. */
static void
test_stale_base(void)
{
    GfError error = {.kind = GF_OK};
    json_t *document = next_document(NULL, 1, 10, 10);
    GfStr text = bundle(3, 10, 10);
    CU_ASSERT_PTR_NULL(GfControl_WithBundle(document, text.data, &error));
    CU_ASSERT_EQUAL(error.kind, GF_CONFLICT);
    GfStr_Clear(&text);
    json_decref(document);
}

static const SuiteTest TESTS[] = {{"versions", test_versions},
                                  {"confirmed", test_confirmed},
                                  {"scale", test_scale},
                                  {"scale floor", test_scale_floor},
                                  {"stale base", test_stale_base}};

SUITE_MAIN("control", TESTS)
