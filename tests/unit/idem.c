/* Outcomes by idempotency key. The tests guard against a request that runs
 * twice, because two teams' keys collide or a new owner does not know what the
 * former one had begun, and a request that is never run. */
#include "guavaflow/idem.h"

#include "suite.h"

/* Returns the id of a team's key. */
static GfName
key_id(const char *team, const char *text)
{
    GfName t;
    GfName k;
    GfName_SetText(&t, team);
    GfName_SetText(&k, text);
    return GfIdem_Id(&t, &k);
}

/* Keys of two teams do not collide, even if team and key concatenate to the
 * same text. */
static void
test_ids(void)
{
    GfName a = key_id("a", "bc");
    GfName b = key_id("ab", "c");
    GfName c = key_id("a", "bc");
    CU_ASSERT_FALSE(GfName_Equal(&a, &b));
    CU_ASSERT_TRUE(GfName_Equal(&a, &c));
}

/* A key whose request ran returns the outcome; a key whose request certainly
 * did not run can be used again; the journal's records restore both. */
static void
test_outcomes(void)
{
    GfIdem *idem = GfIdem_Create();
    GfIdem *copy = GfIdem_Create();
    GfName ran = key_id("t", "ran");
    GfName not_run = key_id("t", "not");
    GfName open = key_id("t", "open");
    json_t *records = json_array();
    json_array_append_new(records, GfIdem_Intend(idem, &ran, 5));
    json_array_append_new(records, GfIdem_Intend(idem, &not_run, 5));
    json_array_append_new(records, GfIdem_Intend(idem, &open, 5));
    GfAnswer yes = GfAnswer_Make(GF_OK, GF_RAN_YES, "%s", "");
    yes.body = GfStr_Copy("{\"a\":1}", 7);
    GfAnswer no = GfAnswer_Make(GF_BUSY, GF_RAN_NO, "%s", "");
    json_array_append_new(records, GfIdem_Finish(idem, &ran, &yes));
    json_array_append_new(records, GfIdem_Finish(idem, &not_run, &no));
    GfAnswer answer = {.kind = GF_INTERNAL};
    CU_ASSERT_EQUAL(GfIdem_Find(idem, &ran, &answer), GF_IDEM_DONE);
    CU_ASSERT_STRING_EQUAL(answer.body.data, "{\"a\":1}");
    GfAnswer_Clear(&answer);
    CU_ASSERT_EQUAL(GfIdem_Find(idem, &not_run, NULL), GF_IDEM_FREE);
    CU_ASSERT_EQUAL(GfIdem_Find(idem, &open, NULL), GF_IDEM_INTENDED);
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        GfIdem_Replay(copy, record);
    }
    /* A request that the former owner had begun has an unknown outcome. */
    CU_ASSERT_EQUAL(GfIdem_Find(copy, &open, NULL), GF_IDEM_UNKNOWN);
    CU_ASSERT_EQUAL(GfIdem_Find(copy, &not_run, NULL), GF_IDEM_FREE);
    CU_ASSERT_EQUAL(GfIdem_Find(copy, &ran, &answer), GF_IDEM_DONE);
    GfAnswer_Clear(&answer);
    json_t *snapshot = json_array();
    GfIdem_Snapshot(copy, snapshot, 0);
    CU_ASSERT_EQUAL(json_array_size(snapshot), 2);
    json_decref(snapshot);
    json_decref(records);
    GfAnswer_Clear(&yes);
    GfIdem_Destroy(idem);
    GfIdem_Destroy(copy);
}

static const SuiteTest TESTS[] = {{"ids", test_ids},
                                  {"outcomes", test_outcomes}};

SUITE_MAIN("idem", TESTS)
