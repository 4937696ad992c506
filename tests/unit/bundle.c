/* Parsing of configuration bundles. The tests guard against invalid bundles
 * that are accepted, and errors that do not name the invalid value. */
#include "guavaflow/bundle.h"

#include <stdio.h>
#include <string.h>

#include "suite.h"

#define HEX "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define HEAD "version: 1\nquorum: 1\nmembers: [{name: a, key: " HEX "}]\n"

/* Checks that a bundle is rejected with an error that contains part. */
static void
expect_error(const char *text, const char *part)
{
    GfError error = {.kind = GF_OK};
    GfBundle *b = GfBundle_Parse(text, strlen(text), "b.yaml", &error);
    CU_ASSERT_PTR_NULL(b);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.text, part));
    if (b != NULL || strstr(error.text, part) == NULL) {
        printf("expected \"%s\" in \"%s\"\n", part, error.text);
    }
}

/* A valid bundle: its team is found by name and by API key, and its service
 * has the default number of slots. */
static void
test_good(void)
{
    GfName team = GfName_Format("desk");
    GfName service = GfName_Format("quotes");
    GfStr key = GfKey_Generate(&team);
    char hash[GF_KEY_HASH_HEX + 1];
    GfKey_Hash(key.data, key.len, hash);
    GfStr text = GfStr_Format(
        HEAD "teams:\n- {name: desk, share: 3, limit_cores: 10, "
             "limit_requests: 5, keys: [%s]}\nservices: [{name: quotes}]\n",
        hash);
    GfError error;
    GfBundle *b = GfBundle_Parse(text.data, text.len, "b.yaml", &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(b);
    CU_ASSERT_EQUAL(GfBundle_FindTeam(b, &team)->limit_mcores, 10000);
    CU_ASSERT_PTR_EQUAL(GfBundle_FindTeamByKey(b, key.data),
                        GfBundle_FindTeam(b, &team));
    CU_ASSERT_PTR_NULL(GfBundle_FindTeamByKey(b, "gfk_desk_other"));
    CU_ASSERT_EQUAL(GfBundle_FindService(b, &service)->slots, 8);
    GfBundle_Destroy(b);
    GfStr_Clear(&text);
    GfStr_Clear(&key);
}

/* The error for each invalid value names its path in the document or the
 * value. */
static void
test_errors(void)
{
    expect_error("version: 1\n", "b.yaml");
    expect_error("version: 0\nquorum: 1\nmembers: [{name: a, key: " HEX
                 "}]\nteams: []\nservices: []\n",
                 "version is 0");
    expect_error("version: 1\nquorum: 2\nmembers: [{name: a, key: " HEX
                 "}]\nteams: []\nservices: []\n",
                 "quorum is 2");
    expect_error(HEAD "teams: [{name: t, share: 0, limit_cores: 1, "
                      "limit_requests: 1}]\nservices: []\n",
                 "teams[0]");
    expect_error(HEAD "teams: [{name: t, share: 1, limit_cores: -1, "
                      "limit_requests: 1}]\nservices: []\n",
                 "limit_cores");
    expect_error(HEAD "teams: [{name: t, share: 1, limit_cores: 1, "
                      "limit_requests: 1, keys: [abc]}]\nservices: []\n",
                 "teams[0].keys[0]");
    expect_error(HEAD "teams:\n- {name: t, share: 1, limit_cores: 1, "
                      "limit_requests: 1}\n- {name: t, share: 1, "
                      "limit_cores: 1, limit_requests: 1}\nservices: []\n",
                 "teams[1].name t is a duplicate");
    expect_error(HEAD "teams:\n- {name: t, share: 1, limit_cores: 1, "
                      "limit_requests: 1, keys: [" HEX "]}\n- {name: u, "
                      "share: 1, limit_cores: 1, limit_requests: 1, keys: "
                      "[" HEX "]}\nservices: []\n",
                 "also a key of t");
    expect_error(HEAD "teams: []\nservices: [{name: s, open: true}]\n",
                 "must be a team \"open\"");
    expect_error(HEAD "teams: []\nservices: [{name: \"a/b\"}]\n",
                 "services[0].name");
}

static const SuiteTest TESTS[] = {{"good", test_good},
                                  {"errors", test_errors}};

SUITE_MAIN("bundle", TESTS)
