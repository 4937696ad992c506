/* The decoder of the platform's documents. The tests guard against one
 * malformed route or tenant that makes a whole configuration unusable, and
 * malformed documents and workers' entries that are accepted. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

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
    CU_ASSERT_EQUAL(c->teams[0].key_count, 2);
    CU_ASSERT_PTR_NULL(GfCellConfig_FindTeamByKey(c, ""));
    GfCellConfig_Destroy(c);
}

/* Returns the configuration with one queue and one team. Each text may be
 * longer than a GfName and have other characters. */
static GfCellConfig *
config_with(const char *queue, const char *host, const char *team,
            const char *key)
{
    GfError error;
    json_t *json =
        json_pack("{s:i,s:[{s:s,s:s,s:s,s:s}],s:[{s:s,s:[s]}]}", "version", 7,
                  "routes", "name", queue, "host", host, "pathPrefix", "/a",
                  "service", queue, "tenants", "name", team, "apiKeys", key);
    CU_ASSERT_PTR_NOT_NULL_FATAL(json);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    GfCellConfig *config = config_of(text, &error);
    free(text);
    return config;
}

/* A member that nobody reads is of no consequence. */
static void
test_version_lost_for_one_number(void)
{
    static const char *const ODD[] = {"12345678901234567890", "-1e300",
                                      "\"a\\u0000b\"", "7.0"};
    for (size_t i = 0; i < sizeof(ODD) / sizeof(ODD[0]); i++) {
        GfError error;
        GfStr text =
            GfStr_Format("{\"version\":%s,\"routes\":[{\"name\":\"q\","
                         "\"pathPrefix\":\"/a\",\"other\":%s}]}",
                         i == 3 ? ODD[i] : "7", ODD[i]);
        GfCellConfig *c = config_of(text.data, &error);
        GfStr_Clear(&text);
        CU_ASSERT_PTR_NOT_NULL_FATAL(c);
        CU_ASSERT_EQUAL(c->version, 7);
        CU_ASSERT_EQUAL(c->queue_count, 1);
        GfCellConfig_Destroy(c);
    }
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
    CU_ASSERT_PTR_NULL(config_of("{\"version\":7.5,\"routes\":[]}", &error));
    CU_ASSERT_PTR_NULL(config_of("{\"version\":1e300,\"routes\":[]}", &error));
    CU_ASSERT_PTR_NULL(config_of("{\"version\":\"7\",\"routes\":[]}", &error));
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

/* A worker's entry with one member replaced by other JSON. */
typedef struct {
    const char *name;
    const char *json;
} OddMember;

/* Returns the text of a worker's entry in which the members of a list replace
 * those of the same name. The caller clears it. */
static GfStr
entry_with(const OddMember *odd)
{
    json_t *entry = json_pack("{s:s,s:s,s:s,s:I,s:s,s:{s:i,s:i}}", "state",
                              "draining", "service", "s", "zone", "z", "born",
                              (json_int_t)5, "address", "10.0.0.1:80",
                              "capacity", "cpu", 2000, "memMb", 512);
    if (odd != NULL) {
        json_t *value = json_loads(odd->json, JSON_DECODE_ANY, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(value);
        json_object_set_new(entry, odd->name, value);
    }
    char *text = json_dumps(entry, JSON_COMPACT);
    json_decref(entry);
    return (GfStr){.data = text, .len = strlen(text)};
}

/* Returns whether a worker's entry with an odd member is taken. */
static bool
is_taken(const OddMember *odd, GfWorkerInfo *info)
{
    GfError error;
    GfStr text = entry_with(odd);
    bool taken =
        PlatformDecoder()->worker("w1", text.data, text.len, info, &error);
    GfStr_Clear(&text);
    return taken;
}

/* A valid configuration sets no limit to the texts in it. */
static void
test_long_text_refused(void)
{
    static const char *const TEXTS[] = {
        "a-text-of-more-than-63-bytes-0123456789-0123456789-0123456789."
        "example",
        "a-text-of-more-than-63-bytes-0123456789-0123456789-0123456789."
        "exampl2",
        "zwei Worte",
        "zwei  Worte",
        "\xc3\xa9quipe",
        "\xc3\xa8quipe"};
    enum { COUNT = sizeof(TEXTS) / sizeof(TEXTS[0]) };
    for (size_t i = 0; i < COUNT; i++) {
        const char *text = TEXTS[i];
        const char *other = TEXTS[i ^ 1U];
        GfCellConfig *c = config_with(text, text, text, text);
        GfCellConfig *d = config_with(other, other, other, other);
        CU_ASSERT_PTR_NOT_NULL_FATAL(c);
        CU_ASSERT_PTR_NOT_NULL_FATAL(d);
        CU_ASSERT_EQUAL_FATAL(c->queue_count, 1);
        CU_ASSERT_EQUAL_FATAL(d->queue_count, 1);
        CU_ASSERT_PTR_EQUAL(GfCellConfig_Route(c, text, strlen(text), "/a/0"),
                            &c->queues[0]);
        CU_ASSERT_PTR_NULL(
            GfCellConfig_Route(c, other, strlen(other), "/a/0"));
        CU_ASSERT_FALSE(GfName_Equal(&c->queues[0].name, &d->queues[0].name));
        CU_ASSERT_EQUAL_FATAL(c->team_count, 1);
        CU_ASSERT_EQUAL_FATAL(d->team_count, 1);
        CU_ASSERT_PTR_EQUAL(GfCellConfig_FindTeamByKey(c, text), &c->teams[0]);
        CU_ASSERT_PTR_NULL(GfCellConfig_FindTeamByKey(c, other));
        CU_ASSERT_FALSE(GfName_Equal(&c->teams[0].name, &d->teams[0].name));
        GfStr json = GfStr_Format("\"%s\"", text);
        OddMember service = {"service", json.data};
        GfWorkerInfo info;
        CU_ASSERT_TRUE(is_taken(&service, &info));
        CU_ASSERT_TRUE(GfName_Equal(&info.service, &c->queues[0].service));
        GfStr_Clear(&json);
        GfCellConfig_Destroy(c);
        GfCellConfig_Destroy(d);
    }
}

/* An entry of another writer names no worker if a number is out of range or
 * the address is none: a host name would be looked up in the event loop. */
static void
test_odd_worker_taken(void)
{
    static const OddMember ODD[] = {
        {"capacity", "{\"cpu\":9223372036854775807,\"memMb\":512}"},
        {"capacity", "{\"cpu\":2000,\"memMb\":-1}"},
        {"capacity", "{\"cpu\":2000,\"memMb\":512,\"gpu\":1e300}"},
        {"capacity", "{\"cpu\":2000,\"memMb\":512,\"gpu\":-1e300}"},
        {"capacity", "{\"cpu\":2000,\"memMb\":512,\"gpu\":\"1\"}"},
        {"born", "-5"},
        {"born", "9223372036854775807"},
        {"address", "\":80\""},
        {"address", "\"worker.example:80\""},
        {"address", "\"10.0.0.300:80\""},
        {"address", "\"10.1:80\""},
        {"address", "\"10.0.0.1:\""},
        {"address", "\"10.0.0.1:0\""},
        {"address", "\"10.0.0.1:65536\""},
        {"address", "\"10.0.0.1:+80\""},
        {"address", "\"10.0.0.1: 80\""},
        {"address", "\"10.0.0.1:-18446744073709551536\""},
        {"address", "\"10.0.0.1:18446744073709551696\""}};
    GfWorkerInfo info;
    CU_ASSERT_TRUE(is_taken(NULL, &info));
    for (size_t i = 0; i < sizeof(ODD) / sizeof(ODD[0]); i++) {
        if (is_taken(&ODD[i], &info)) {
            printf("taken: %s %s\n", ODD[i].name, ODD[i].json);
            CU_FAIL("an odd entry is taken");
        }
    }
}

/* A remaining time out of range leaves the entry valid, as the worker is still
 * one that leaves. */
static void
test_odd_remaining_time(void)
{
    static const OddMember ODD[] = {{"remainingMs", "9223372036854775807"},
                                    {"remainingMs", "1e300"},
                                    {"remainingMs", "-1e300"}};
    enum { MAX_YEARS = 1000 };
    static const int64_t YEAR_MS = INT64_C(366) * 24 * 3600 * 1000;
    for (size_t i = 0; i < sizeof(ODD) / sizeof(ODD[0]); i++) {
        GfWorkerInfo info;
        CU_ASSERT_TRUE_FATAL(is_taken(&ODD[i], &info));
        CU_ASSERT_TRUE(info.leaving);
        CU_ASSERT_TRUE(info.remaining_ms <= MAX_YEARS * YEAR_MS);
        CU_ASSERT_TRUE(info.remaining_ms >= -MAX_YEARS * YEAR_MS);
    }
}

/* An entry that is nested deeply is refused, not followed to the end of the
 * stack. */
static void
test_nested_worker_entry(void)
{
    enum { DEPTH = 1000000 };
    char *text = malloc(DEPTH + 1);
    CU_ASSERT_PTR_NOT_NULL_FATAL(text);
    memset(text, '[', DEPTH);
    text[DEPTH] = '\0';
    GfWorkerInfo info;
    GfError error;
    CU_ASSERT_FALSE(
        PlatformDecoder()->worker("w1", text, DEPTH, &info, &error));
    free(text);
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
    {"version lost for one number", test_version_lost_for_one_number},
    {"long text refused", test_long_text_refused},
    {"worker", test_worker},
    {"odd worker entry taken", test_odd_worker_taken},
    {"odd remaining time", test_odd_remaining_time},
    {"nested worker entry", test_nested_worker_entry},
    {"remaining time", test_remaining_time}};

SUITE_MAIN("decode", TESTS)
