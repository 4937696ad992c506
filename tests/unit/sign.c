/* Signatures of bundles and the hash chain of audit records. The tests guard
 * against a bundle that comes into force without a quorum of valid signatures,
 * and against audit records that are altered unnoticed. */
#include "guavaflow/sign.h"

#include <string.h>

#include "suite.h"

/* A quorum of the members of the bundle in force must have signed exactly this
 * text, each with its own key. */
static void
test_quorum(void)
{
    char public_hex[2][GF_PUBLIC_KEY_HEX + 1];
    char secret_hex[2][GF_SECRET_KEY_HEX + 1];
    char signature[2][GF_SIGNATURE_HEX + 1];
    GfError error = {.kind = GF_OK};
    for (int i = 0; i < 2; i++) {
        GfSign_GenerateKeys(public_hex[i], secret_hex[i]);
        CU_ASSERT_TRUE(
            GfSign_Sign("next", secret_hex[i], signature[i], &error));
    }
    GfStr text = GfStr_Format(
        "version: 1\nquorum: 2\nmembers: [{name: a, key: %s}, {name: b, key: "
        "%s}]\nteams: []\nservices: []\n",
        public_hex[0], public_hex[1]);
    GfBundle *b = GfBundle_Parse(text.data, text.len, "b", &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(b);
    json_t *signatures = json_pack("{s:s}", "a", signature[0]);
    json_t *signers = json_array();
    CU_ASSERT_FALSE(GfSign_Check(b, "next", signatures, signers, &error));
    CU_ASSERT_EQUAL(error.kind, GF_FORBIDDEN);
    json_object_set_new(signatures, "b", json_string(signature[1]));
    json_array_clear(signers);
    CU_ASSERT_TRUE(GfSign_Check(b, "next", signatures, signers, &error));
    CU_ASSERT_EQUAL(json_array_size(signers), 2);
    CU_ASSERT_FALSE(GfSign_Check(b, "other", signatures, signers, &error));
    json_object_set_new(signatures, "b", json_string(signature[0]));
    CU_ASSERT_FALSE(GfSign_Check(b, "next", signatures, signers, &error));
    json_object_set_new(signatures, "c", json_string(signature[0]));
    CU_ASSERT_FALSE(GfSign_Check(b, "next", signatures, signers, &error));
    CU_ASSERT_FALSE(GfSign_Sign("next", "abc", signature[0], &error));
    json_decref(signatures);
    json_decref(signers);
    GfBundle_Destroy(b);
    GfStr_Clear(&text);
}

/* A record that was changed or removed breaks the chain. (So does one that was
 * moved, which is not tried here.) */
static void
test_audit(void)
{
    GfError error;
    json_t *records = json_array();
    const char *previous = "";
    for (int i = 0; i < 3; i++) {
        json_t *record = json_pack("{s:i,s:s}", "version", i, "who", "ops");
        GfAudit_Link(record, previous);
        previous = json_string_value(json_object_get(record, "hash"));
        json_array_append_new(records, record);
    }
    CU_ASSERT_TRUE(GfAudit_Verify(records, &error));
    json_t *changed = json_deep_copy(records);
    json_object_set_new(json_array_get(changed, 1), "who",
                        json_string("mallory"));
    CU_ASSERT_FALSE(GfAudit_Verify(changed, &error));
    json_decref(changed);
    changed = json_deep_copy(records);
    json_array_remove(changed, 1);
    CU_ASSERT_FALSE(GfAudit_Verify(changed, &error));
    json_decref(changed);
    json_decref(records);
}

static const SuiteTest TESTS[] = {{"quorum", test_quorum},
                                  {"audit", test_audit}};

SUITE_MAIN("sign", TESTS)
