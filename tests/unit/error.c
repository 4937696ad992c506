/* Error kinds and texts. The tests guard against a kind that is missing from
 * the tables, and a text that overruns its buffer. */
#include "guavaflow/error.h"

#include <string.h>

#include "suite.h"

/* Every kind has a name that maps back to it, an HTTP status, and an exit code
 * that is 0 only for GF_OK. Unknown names have a default. */
static void
test_table(void)
{
    for (int i = 0; i < GF_ERROR_KINDS; i++) {
        const char *name = GfError_Name((GfErrorKind)i);
        CU_ASSERT_PTR_NOT_NULL_FATAL(name);
        CU_ASSERT_EQUAL(GfError_FromName(name), (GfErrorKind)i);
        int status = GfError_HttpStatus((GfErrorKind)i);
        CU_ASSERT_TRUE(status >= 200 && status < 600);
        CU_ASSERT_EQUAL(GfError_ExitCode((GfErrorKind)i) == 0, i == GF_OK);
    }
    CU_ASSERT_EQUAL(GfError_FromName("no such kind"), GF_PROTOCOL);
    CU_ASSERT_EQUAL(GfRan_FromName(NULL), GF_RAN_UNKNOWN);
}

/* A text that is too long is truncated to its buffer, and a NULL error is
 * allowed. */
static void
test_long_text(void)
{
    GfError error;
    char text[2000];
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    CU_ASSERT_FALSE(GfError_Set(&error, GF_BUSY, "%s", text));
    CU_ASSERT_EQUAL(strlen(error.text), GF_ERROR_TEXT_BYTES - 1);
    CU_ASSERT_FALSE(GfError_Set(NULL, GF_BUSY, "no error to fill in"));
}

static const SuiteTest TESTS[] = {{"table", test_table},
                                  {"long text", test_long_text}};

SUITE_MAIN("error", TESTS)
