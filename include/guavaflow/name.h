/* Length-counted strings: GfName, a short identifier held by value, and GfStr,
 * a byte string on the heap. Both keep a NUL after the counted bytes, so that
 * data can be passed as a C string. */
#ifndef GUAVAFLOW_NAME_H
#define GUAVAFLOW_NAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest name in bytes, without the NUL. */
#define GF_NAME_MAX_BYTES 63

/* An identifier of visible ASCII characters without '"'. The bytes after the
 * name are zero. GfName_OfText makes one of any other text too. */
typedef struct {
    uint8_t len;
    char data[GF_NAME_MAX_BYTES + 1];
} GfName;

/* A byte string, which may contain NUL bytes. data is on the heap and freed by
 * GfStr_Clear; it may be NULL if the string is empty. */
typedef struct {
    size_t len;
    char *data;
} GfStr;

bool GfName_Set(GfName *name, const char *data, size_t len);
bool GfName_SetText(GfName *name, const char *text);
GfName GfName_OfText(const char *data, size_t len);
GfName GfName_Format(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
bool GfName_Equal(const GfName *a, const GfName *b);
int GfName_Compare(const GfName *a, const GfName *b);
uint64_t GfName_Hash(const GfName *name, uint64_t seed);

GfStr GfStr_Copy(const char *data, size_t len);
GfStr GfStr_Format(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
void GfStr_Clear(GfStr *str);

#endif
