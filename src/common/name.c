#include "guavaflow/name.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Length of what GfName_OfText appends: a tilde and a hash of 64 bits. */
#define HASH_SUFFIX_BYTES 17

/* Returns whether a name may contain the character. */
static bool
is_name_byte(char c)
{
    return c >= 0x21 && c <= 0x7e && c != '"';
}

/* Sets the name to len bytes of data, which may be NULL if len is 0. Returns
 * false and leaves the name unchanged if len exceeds GF_NAME_MAX_BYTES or a
 * byte is '"' or not visible ASCII: names are used unquoted in URLs, store
 * keys and log lines. */
bool
GfName_Set(GfName *name, const char *data, size_t len)
{
    assert(name != NULL);
    assert(data != NULL || len == 0);
    if (len > GF_NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!is_name_byte(data[i])) {
            return false;
        }
    }
    memset(name, 0, sizeof(*name));
    if (len > 0) {
        memcpy(name->data, data, len);
    }
    name->len = (uint8_t)len;
    return true;
}

/* Sets the name to a NUL-terminated text; NULL yields the empty name. Returns
 * false as GfName_Set does. */
bool
GfName_SetText(GfName *name, const char *text)
{
    return GfName_Set(name, text, text == NULL ? 0 : strlen(text));
}

/* Returns the name that stands for a text of len bytes, the same on every host
 * and in every version: the text itself if it is a valid name, else its
 * beginning without the characters that a name cannot have, followed by a hash
 * of the whole text, so that texts that begin alike are told apart. */
GfName
GfName_OfText(const char *data, size_t len)
{
    GfName name = {0};
    if (GfName_Set(&name, data, len)) {
        return name;
    }
    char kept[GF_NAME_MAX_BYTES - HASH_SUFFIX_BYTES + 1];
    size_t count = 0;
    for (size_t i = 0; i < len && count < sizeof(kept) - 1; i++) {
        if (is_name_byte(data[i])) {
            kept[count++] = data[i];
        }
    }
    kept[count] = '\0';
    return GfName_Format("%s~%016llx", kept,
                         (unsigned long long)XXH3_64bits(data, len));
}

/* Returns a name formatted as by printf; its characters are not checked. A
 * result longer than GF_NAME_MAX_BYTES is a programming error: it fails an
 * assertion and is truncated in builds without assertions. */
GfName
GfName_Format(const char *format, ...)
{
    GfName name;
    memset(&name, 0, sizeof(name));
    va_list args;
    va_start(args, format);
    int n = vsnprintf(name.data, sizeof(name.data), format, args);
    va_end(args);
    assert(n >= 0 && (size_t)n < sizeof(name.data));
    name.len = (uint8_t)strlen(name.data);
    return name;
}

/* Returns true if both names have the same bytes. */
bool
GfName_Equal(const GfName *a, const GfName *b)
{
    return a->len == b->len && memcmp(a->data, b->data, a->len) == 0;
}

/* Compares two names bytewise; the result has the sign of strcmp's. */
int
GfName_Compare(const GfName *a, const GfName *b)
{
    return strcmp(a->data, b->data);
}

/* Returns the 64-bit XXH3 hash of the name with the given seed. Ownership is
 * derived from it, so the value must be the same on every host and in every
 * version. */
uint64_t
GfName_Hash(const GfName *name, uint64_t seed)
{
    return XXH3_64bits_withSeed(name->data, name->len, seed);
}

/* Returns a copy of len bytes; data may be NULL if len is 0. The caller frees
 * it with GfStr_Clear. Aborts if out of memory. */
GfStr
GfStr_Copy(const char *data, size_t len)
{
    GfStr str = {.len = len, .data = malloc(len + 1)};
    if (str.data == NULL) {
        abort();
    }
    if (len > 0) {
        memcpy(str.data, data, len);
    }
    str.data[len] = '\0';
    return str;
}

/* Returns a string formatted as by printf; the caller frees it with
 * GfStr_Clear. Aborts if out of memory. */
GfStr
GfStr_Format(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *data = NULL;
    int n = vasprintf(&data, format, args);
    va_end(args);
    if (n < 0) {
        abort();
    }
    return (GfStr){.len = (size_t)n, .data = data};
}

/* Frees the string and sets it to the empty one; clearing it again is safe. */
void
GfStr_Clear(GfStr *str)
{
    assert(str != NULL);
    free(str->data);
    str->data = NULL;
    str->len = 0;
}
