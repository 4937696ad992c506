#include "guavaflow/sign.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

/* Generates an Ed25519 key pair for a member. */
void
GfSign_GenerateKeys(char public_hex[GF_PUBLIC_KEY_HEX + 1],
                    char secret_hex[GF_SECRET_KEY_HEX + 1])
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    crypto_sign_keypair(public_key, secret_key);
    sodium_bin2hex(public_hex, GF_PUBLIC_KEY_HEX + 1, public_key,
                   sizeof(public_key));
    sodium_bin2hex(secret_hex, GF_SECRET_KEY_HEX + 1, secret_key,
                   sizeof(secret_key));
    sodium_memzero(secret_key, sizeof(secret_key));
}

/* Signs the text of a bundle with a member's secret key. Fails with
 * GF_BAD_REQUEST if the key is malformed. */
bool
GfSign_Sign(const char *bundle, const char *secret_hex,
            char signature[GF_SIGNATURE_HEX + 1], GfError *error)
{
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    unsigned char bytes[crypto_sign_BYTES];
    size_t len = 0;
    if (sodium_hex2bin(secret_key, sizeof(secret_key), secret_hex,
                       strlen(secret_hex), NULL, &len, NULL) != 0 ||
        len != sizeof(secret_key)) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "the secret key must be %d hexadecimal digits",
                           GF_SECRET_KEY_HEX);
    }
    crypto_sign_detached(bytes, NULL, (const unsigned char *)bundle,
                         strlen(bundle), secret_key);
    sodium_memzero(secret_key, sizeof(secret_key));
    sodium_bin2hex(signature, GF_SIGNATURE_HEX + 1, bytes, sizeof(bytes));
    return true;
}

/* Returns the public key of the member with a name, or NULL. */
static const char *
member_key(const GfBundle *bundle, const char *name)
{
    for (size_t i = 0; i < GfBundle_MemberCount(bundle); i++) {
        if (strcmp(GfBundle_MemberName(bundle, i), name) == 0) {
            return GfBundle_MemberKey(bundle, i);
        }
    }
    return NULL;
}

/* Returns whether a signature of a bundle's text was made with the secret key
 * that belongs to a public key. False if either is malformed. */
static bool
is_valid_signature(const char *bundle, const char *signature, const char *key)
{
    unsigned char bytes[crypto_sign_BYTES];
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    size_t len = 0;
    size_t key_len = 0;
    return sodium_hex2bin(bytes, sizeof(bytes), signature, strlen(signature),
                          NULL, &len, NULL) == 0 &&
           len == sizeof(bytes) &&
           sodium_hex2bin(public_key, sizeof(public_key), key, strlen(key),
                          NULL, &key_len, NULL) == 0 &&
           key_len == sizeof(public_key) &&
           crypto_sign_verify_detached(bytes, (const unsigned char *)bundle,
                                       strlen(bundle), public_key) == 0;
}

/* Checks the signatures of a proposed bundle, a JSON object {MEMBER:
 * SIGNATURE}, against the members and the quorum of the bundle in force.
 * Appends the names of the signers to the array signers. Fails with
 * GF_FORBIDDEN if any signature is not valid or there are too few; signers may
 * be partly filled then. */
bool
GfSign_Check(const GfBundle *in_force, const char *bundle,
             const json_t *signatures, json_t *signers, GfError *error)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)signatures, name, value)
    {
        const char *key = member_key(in_force, name);
        const char *signature = json_string_value(value);
        if (key == NULL) {
            return GfError_Set(error, GF_FORBIDDEN,
                               "%.60s is not a member in the bundle in force",
                               name);
        }
        if (signature == NULL || !is_valid_signature(bundle, signature, key)) {
            return GfError_Set(
                error, GF_FORBIDDEN,
                "the signature of %.60s is not valid for the proposed bundle",
                name);
        }
        json_array_append_new(signers, json_string(name));
    }
    if (json_array_size(signers) < GfBundle_Quorum(in_force)) {
        return GfError_Set(
            error, GF_FORBIDDEN,
            "%zu members signed; the bundle in force requires %u",
            json_array_size(signers), GfBundle_Quorum(in_force));
    }
    return true;
}

/* Hashes an audit record without its field "hash". Keys are sorted and the
 * JSON is compact, so equal records have equal hashes. */
static void
hash_record(const json_t *record, char hex[GF_KEY_HASH_HEX + 1])
{
    json_t *copy = json_copy((json_t *)record);
    json_object_del(copy, "hash");
    char *text = json_dumps(copy, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(copy);
    assert(text != NULL);
    GfKey_Hash(text, strlen(text), hex);
    free(text);
}

/* Links an audit record to the one before it, or to "" if it is the first, and
 * sets its own hash. */
void
GfAudit_Link(json_t *record, const char *previous_hash)
{
    char hex[GF_KEY_HASH_HEX + 1];
    json_object_set_new(record, "previous", json_string(previous_hash));
    hash_record(record, hex);
    json_object_set_new(record, "hash", json_string(hex));
}

/* Checks that a list of audit records, from the first one on, has none
 * changed, missing or out of order. Records missing at the end are not
 * noticed. Fails with GF_CONFLICT and the index of the record. */
bool
GfAudit_Verify(const json_t *records, GfError *error)
{
    const char *previous = "";
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        char hex[GF_KEY_HASH_HEX + 1];
        const char *before =
            json_string_value(json_object_get(record, "previous"));
        const char *hash = json_string_value(json_object_get(record, "hash"));
        hash_record(record, hex);
        if (before == NULL || strcmp(before, previous) != 0) {
            return GfError_Set(error, GF_CONFLICT,
                               "record %zu does not follow the one before it",
                               i);
        }
        if (hash == NULL || strcmp(hash, hex) != 0) {
            return GfError_Set(error, GF_CONFLICT,
                               "record %zu was changed after it was written",
                               i);
        }
        previous = hash;
    }
    return true;
}
