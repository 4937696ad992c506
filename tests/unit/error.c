#include "guavaflow/error.h"

#include <string.h>

#include "suite.h"

/* Every kind has a name of its own, a status and an exit code. */
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

/* A text that is too long is cut, not overrun. */
static void
test_long_text(void)
{
    GfError error;
    char text[2000];
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    CU_ASSERT_FALSE(GfError_Set(&error, GF_BUSY, "%s", text));
    CU_ASSERT_EQUAL(strlen(error.text), GF_ERROR_TEXT_BYTES - 1);
    CU_ASSERT_FALSE(GfError_Set(NULL, GF_BUSY, "nobody listens"));
}

static const SuiteTest TESTS[] = {{"table", test_table},
                                  {"long text", test_long_text}};

SUITE_MAIN("error", TESTS)
