/* The decoder of the platform's documents. The tests guard against one
 * malformed route or tenant that makes a whole configuration unusable, and
 * malformed documents that are accepted. */
#include <string.h>

#include "guavaflow/log.h"
#include "platform.h"
#include "suite.h"

/* Decodes a configuration, which the caller owns; NULL with an error if the
 * text is malformed. Warnings about skipped elements are not logged. */
static GfCellConfig *
config_of(const char *text, GfError *error)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    return PlatformDecoder()->config(text, strlen(text), error);
}

/* A malformed route, tenant or API key is skipped; the others are decoded, in
 * order. */
static void
test_malformed_elements(void)
{
    GfError error;
    GfCellConfig *c = config_of(
        "{\"version\":7,\"routes\":[{\"name\":\"q1\",\"pathPrefix\":\"/a\"},"
        "{\"name\":\"q2\"},{\"name\":\"q3\",\"pathPrefix\":\"/c\"}],"
        "\"tenants\":[{\"weight\":2},{\"name\":\"b\",\"weight\":3,"
        "\"maximum\":{\"cpu\":500},\"apiKeys\":[\"k1\",5,\"k2\"]}]}",
        &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(c);
    CU_ASSERT_EQUAL(c->version, 7);
    CU_ASSERT_EQUAL_FATAL(c->queue_count, 2);
    CU_ASSERT_STRING_EQUAL(c->queues[0].name.data, "q1");
    CU_ASSERT_STRING_EQUAL(c->queues[1].name.data, "q3");
    CU_ASSERT_EQUAL(c->queues[1].max_attempts, 1);
    CU_ASSERT_EQUAL_FATAL(c->team_count, 1);
    CU_ASSERT_STRING_EQUAL(c->teams[0].name.data, "b");
    CU_ASSERT_EQUAL(c->teams[0].limit.mcores, 500);
    GfCellConfig_Destroy(c);
}

/* A malformed document gives an error and no configuration. */
static void
test_unreadable(void)
{
    GfError error;
    CU_ASSERT_PTR_NULL(config_of("{\"version\":7", &error));
    CU_ASSERT_EQUAL(error.kind, GF_PROTOCOL);
    CU_ASSERT_PTR_NULL(config_of("{\"routes\":[]}", &error));
    CU_ASSERT_PTR_NULL(config_of("", &error));
}

/* A worker's row must have its state, start time, capacity, and an address
 * with a port. */
static void
test_worker(void)
{
    static const char GOOD[] =
        "{\"state\":\"ready\",\"service\":\"s\",\"zone\":\"z\",\"born\":5,"
        "\"capacity\":{\"cpu\":2000,\"memMb\":512},"
        "\"address\":\"10.0.0.1:80\"}";
    static const char *const BAD[] = {
        "{}", "[]", "",
        "{\"state\":\"ready\",\"service\":\"s\",\"zone\":\"z\",\"born\":5,"
        "\"capacity\":{\"cpu\":2000,\"memMb\":512},\"address\":\"10.0.0.1\"}",
        "{\"state\":\"ready\",\"service\":\"s\",\"zone\":\"z\",\"born\":5,"
        "\"address\":\"10.0.0.1:80\"}"};
    const GfDecoder *d = PlatformDecoder();
    GfWorkerInfo info;
    GfError error;
    CU_ASSERT_TRUE_FATAL(
        d->worker("w1", GOOD, sizeof(GOOD) - 1, &info, &error));
    CU_ASSERT_STRING_EQUAL(info.address, "10.0.0.1");
    CU_ASSERT_EQUAL(info.port, 80);
    CU_ASSERT_EQUAL(info.capacity.mcores, 2000);
    CU_ASSERT_FALSE(info.leaving);
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        CU_ASSERT_FALSE(
            d->worker("w1", BAD[i], strlen(BAD[i]), &info, &error));
        CU_ASSERT_EQUAL(error.kind, GF_PROTOCOL);
    }
}

/* A worker that leaves says how long it stays at least; the number of one that
 * does not leave is ignored. */
static void
test_remaining_time(void)
{
    static const struct {
        const char *state;
        int64_t remaining_ms;
    } CASES[] = {{"draining", 1700}, {"ready", 0}};
    GfWorkerInfo info;
    GfError error;
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        GfStr row = GfStr_Format(
            "{\"state\":\"%s\",\"service\":\"s\",\"zone\":\"z\","
            "\"born\":5,\"capacity\":{\"cpu\":2000,\"memMb\":512},"
            "\"address\":\"10.0.0.1:80\",\"remainingMs\":1700}",
            CASES[i].state);
        CU_ASSERT_TRUE_FATAL(
            PlatformDecoder()->worker("w1", row.data, row.len, &info, &error));
        CU_ASSERT_EQUAL(info.remaining_ms, CASES[i].remaining_ms);
        GfStr_Clear(&row);
    }
}

static const SuiteTest TESTS[] = {
    {"entries left out", test_malformed_elements},
    {"unreadable", test_unreadable},
    {"worker", test_worker},
    {"remaining time", test_remaining_time}};

SUITE_MAIN("decode", TESTS)
