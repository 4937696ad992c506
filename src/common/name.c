#include "guavaflow/name.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Sets the name from counted bytes. Fails if the bytes are too many or are
 * not visible ASCII, so that a name can stand in a URL, a key and a log. */
bool
GfName_Set(GfName *name, const char *data, size_t len)
{
    assert(name != NULL);
    assert(data != NULL || len == 0);
    if (len > GF_NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (data[i] < 0x21 || data[i] > 0x7e || data[i] == '"') {
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

/* Sets the name from a NUL-terminated text; NULL counts as empty. */
bool
GfName_SetText(GfName *name, const char *text)
{
    return GfName_Set(name, text, text == NULL ? 0 : strlen(text));
}

/* Formats a name. The result must fit; a longer one is a programming error
 * and is cut at GF_NAME_MAX_BYTES. */
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

/* Tells whether two names hold the same bytes. */
bool
GfName_Equal(const GfName *a, const GfName *b)
{
    return a->len == b->len && memcmp(a->data, b->data, a->len) == 0;
}

/* Orders two names bytewise, as strcmp does. */
int
GfName_Compare(const GfName *a, const GfName *b)
{
    return strcmp(a->data, b->data);
}

/* Hashes the name (XXH3, 64 bits) under the given seed. The value is the
 * same on every host and so can decide ownership. */
uint64_t
GfName_Hash(const GfName *name, uint64_t seed)
{
    return XXH3_64bits_withSeed(name->data, name->len, seed);
}

/* Copies counted bytes into an owned string. */
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

/* Formats an owned string. */
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

/* Frees the bytes and leaves the empty string. */
void
GfStr_Clear(GfStr *str)
{
    assert(str != NULL);
    free(str->data);
    str->data = NULL;
    str->len = 0;
}
