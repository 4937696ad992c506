/* Settings of an entry of a cell. The tests guard against an optional part
 * that is on although no setting asks for it, and against settings with a
 * mistake that are taken as they are. */
#include "guavaflow/cell_settings.h"

#include <stdio.h>
#include <string.h>

#include "suite.h"

static const char BASE[] =
    "ownership: token\nmember: e1\nfailure_domain: d1\n"
    "front: 127.0.0.1:8000\nready: 127.0.0.1:8001\npeer: 127.0.0.1:8002\n"
    "store: 127.0.0.1:8003\nstop_grace_s: 6\nlongest_lease_ms: 6000\n"
    "keep_finished_s: 120\n";

/* Parses the base document with further lines; NULL if it is refused. */
static GfCellEntrySettings *
parse(const char *more)
{
    char text[1024];
    GfError error;
    snprintf(text, sizeof(text), "%s%s", BASE, more);
    return GfCellEntrySettings_Parse(text, strlen(text), "test", &error);
}

static void
test_parts_off_by_default(void)
{
    GfCellEntrySettings *s = parse("");
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_FALSE(s->features.overload_order);
    CU_ASSERT_FALSE(s->features.overload_refusal);
    CU_ASSERT_FALSE(s->features.worker_speeds);
    CU_ASSERT_FALSE(s->features.neighbour_separation);
    GfCellEntrySettings_Destroy(s);
}

static void
test_each_part_has_its_key(void)
{
    GfCellEntrySettings *s = parse("overload_order: true\n"
                                   "worker_speeds: false\n"
                                   "neighbour_separation: true\n");
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_TRUE(s->features.overload_order);
    CU_ASSERT_FALSE(s->features.overload_refusal);
    CU_ASSERT_FALSE(s->features.worker_speeds);
    CU_ASSERT_TRUE(s->features.neighbour_separation);
    GfCellEntrySettings_Destroy(s);
}

static void
test_bad_values_are_refused(void)
{
    CU_ASSERT_PTR_NULL(parse("overload_orders: true\n"));
    CU_ASSERT_PTR_NULL(parse("overload_refusal: [1]\n"));
}

/* The limits on clients have defaults, and values that would refuse ordinary
 * requests are refused. */
static void
test_client_limits(void)
{
    GfCellEntrySettings *s = parse("");
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(s->max_body_bytes, 1024 * 1024);
    CU_ASSERT_EQUAL(s->max_connections, 1000);
    CU_ASSERT_EQUAL(s->max_held_bytes, 16 * 1024 * 1024);
    GfCellEntrySettings_Destroy(s);
    s = parse("max_body_bytes: 65536\nmax_connections: 20\n"
              "max_held_bytes: 1000000\n");
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(s->max_body_bytes, 65536);
    CU_ASSERT_EQUAL(s->max_connections, 20);
    CU_ASSERT_EQUAL(s->max_held_bytes, 1000000);
    GfCellEntrySettings_Destroy(s);
    CU_ASSERT_PTR_NULL(parse("max_connections: 2\n"));
    CU_ASSERT_PTR_NULL(parse("max_connections: many\n"));
    CU_ASSERT_PTR_NULL(parse("max_body_bytes: 2000000\n"));
    CU_ASSERT_PTR_NULL(parse("max_held_bytes: 1000000\n"));
}

static const SuiteTest TESTS[] = {
    {"parts off by default", test_parts_off_by_default},
    {"each part has its key", test_each_part_has_its_key},
    {"bad values are refused", test_bad_values_are_refused},
    {"client limits", test_client_limits}};

SUITE_MAIN("cell_settings", TESTS)
