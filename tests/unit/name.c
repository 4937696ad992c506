/* Names and owned strings. The tests guard against names that would break the
 * formats in which they are written, and a hash that differs between hosts. */
#include "guavaflow/name.h"

#include "suite.h"

/* A name accepts printable ASCII without spaces and double quotes, up to
 * GF_NAME_MAX_BYTES; NULL gives an empty name. */
static void
test_limits(void)
{
    GfName name;
    char longest[GF_NAME_MAX_BYTES + 2];
    memset(longest, 'a', sizeof(longest));
    CU_ASSERT_TRUE(GfName_Set(&name, longest, GF_NAME_MAX_BYTES));
    CU_ASSERT_FALSE(GfName_Set(&name, longest, GF_NAME_MAX_BYTES + 1));
    CU_ASSERT_FALSE(GfName_SetText(&name, "two words"));
    CU_ASSERT_FALSE(GfName_SetText(&name, "line\nbreak"));
    CU_ASSERT_FALSE(GfName_SetText(&name, "\"quoted\""));
    CU_ASSERT_FALSE(GfName_SetText(&name, "\x80"));
    CU_ASSERT_TRUE(GfName_SetText(&name, NULL));
    CU_ASSERT_EQUAL(name.len, 0);
}

/* The name of a text that is no valid name is the same on every host, so it is
 * fixed here, and tells texts apart that begin alike. */
static void
test_name_of_text(void)
{
    GfName valid = GfName_OfText("rack1", 5);
    CU_ASSERT_STRING_EQUAL(valid.data, "rack1");
    GfName words = GfName_OfText("two words", 9);
    CU_ASSERT_STRING_EQUAL(words.data, "twowords~c6a748cef3b57855");
    char longest[GF_NAME_MAX_BYTES + 2];
    memset(longest, 'a', sizeof(longest));
    GfName first = GfName_OfText(longest, sizeof(longest));
    longest[GF_NAME_MAX_BYTES + 1] = 'b';
    GfName second = GfName_OfText(longest, sizeof(longest));
    CU_ASSERT_EQUAL(first.len, GF_NAME_MAX_BYTES);
    CU_ASSERT_FALSE(GfName_Equal(&first, &second));
}

/* The hash decides ownership, so it must be the same on every host and in
 * every version: its value for one name is fixed here. */
static void
test_hash(void)
{
    GfName a = GfName_Format("rack%d", 1);
    GfName b;
    GfName_SetText(&b, "rack1");
    CU_ASSERT_TRUE(GfName_Equal(&a, &b));
    CU_ASSERT_EQUAL(GfName_Hash(&a, 7), GfName_Hash(&b, 7));
    CU_ASSERT_NOT_EQUAL(GfName_Hash(&a, 7), GfName_Hash(&a, 8));
    CU_ASSERT_EQUAL(GfName_Hash(&a, 0), 9516779231604917177ULL);
}

/* The length of an owned string includes embedded NUL bytes. */
static void
test_str(void)
{
    GfStr s = GfStr_Copy("a\0b", 3);
    CU_ASSERT_EQUAL(s.len, 3);
    CU_ASSERT_EQUAL(s.data[3], '\0');
    GfStr_Clear(&s);
    CU_ASSERT_EQUAL(s.len, 0);
    CU_ASSERT_PTR_NULL(s.data);
}

static const SuiteTest TESTS[] = {{"limits", test_limits},
                                  {"name of text", test_name_of_text},
                                  {"hash", test_hash},
                                  {"str", test_str}};

SUITE_MAIN("name", TESTS)
