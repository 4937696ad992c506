/* Parsing of an entry's settings. The tests guard against invalid settings
 * that are accepted, and errors that do not name the setting and what is
 * allowed. */
#include "guavaflow/settings.h"

#include <string.h>

#include "suite.h"

#define GOOD                                                                  \
    "member: entry1\nregion: r1\nfailure_domain: fd1\n"                       \
    "caller: {address: 127.0.0.1, port: 8000}\n"                              \
    "peer: {address: 127.0.0.1, port: 8001}\n"                                \
    "platform: {address: 127.0.0.1, port: 8002}\n"

/* Checks that settings are rejected with an error that contains part and the
 * file name. */
static void
expect_error(const char *text, const char *part)
{
    GfError error = {.kind = GF_OK};
    GfSettings *s = GfSettings_Parse(text, strlen(text), "f.yaml", &error);
    CU_ASSERT_PTR_NULL(s);
    CU_ASSERT_EQUAL(error.kind, GF_BAD_CONFIG);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.text, "f.yaml"));
    CU_ASSERT_PTR_NOT_NULL(strstr(error.text, part));
    if (strstr(error.text, part) == NULL) {
        printf("expected \"%s\" in \"%s\"\n", part, error.text);
    }
}

/* Settings that are omitted have their default values. */
static void
test_defaults(void)
{
    GfError error;
    GfSettings *s = GfSettings_Parse(GOOD, strlen(GOOD), "f.yaml", &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(s->lease.ttl_ms, 4000);
    CU_ASSERT_EQUAL(s->partitions, 16);
    CU_ASSERT_STRING_EQUAL(s->member, "entry1");
    GfSettings_Destroy(s);
}

/* The error for each invalid setting names it or what is allowed. */
static void
test_errors(void)
{
    expect_error("", "f.yaml");
    expect_error("member: [", "f.yaml");
    expect_error(GOOD "colour: blue\n", "colour");
    expect_error(GOOD "partitions: many\n", "partitions");
    expect_error(GOOD "partitions: 1000\n", "1 to 256");
    expect_error(GOOD "partitions: -1\n", "partitions");
    expect_error(GOOD "lease: {ttl_ms: 1000, renew_ms: 900}\n",
                 "two renewals");
    expect_error(GOOD "lease: {task_lapse_ms: 5000}\n", "twice lease.ttl_ms");
    expect_error(GOOD "log_level: loud\n", "debug, info, warning, error");
    expect_error("member: a/b\nregion: r\nfailure_domain: f\n"
                 "caller: {address: 127.0.0.1, port: 1}\n"
                 "peer: {address: 127.0.0.1, port: 2}\n"
                 "platform: {address: 127.0.0.1, port: 3}\n",
                 "member");
    expect_error("member: a\nregion: r\nfailure_domain: f\n"
                 "caller: {address: localhost, port: 1}\n"
                 "peer: {address: 127.0.0.1, port: 2}\n"
                 "platform: {address: 127.0.0.1, port: 3}\n",
                 "caller.address");
    expect_error("member: a\nregion: r\nfailure_domain: f\n"
                 "caller: {address: 127.0.0.1, port: 2}\n"
                 "peer: {address: 127.0.0.1, port: 2}\n"
                 "platform: {address: 127.0.0.1, port: 3}\n",
                 "two endpoints");
}

static const SuiteTest TESTS[] = {{"defaults", test_defaults},
                                  {"errors", test_errors}};

SUITE_MAIN("settings", TESTS)
