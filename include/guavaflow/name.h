/* Length-counted strings: a short identifier held by value and an owned byte
 * string. Both keep a terminating NUL after the counted bytes. */
#ifndef GUAVAFLOW_NAME_H
#define GUAVAFLOW_NAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GF_NAME_MAX_BYTES 63

typedef struct {
    uint8_t len;
    char data[GF_NAME_MAX_BYTES + 1];
} GfName;

typedef struct {
    size_t len;
    char *data;
} GfStr;

bool GfName_Set(GfName *name, const char *data, size_t len);
bool GfName_SetText(GfName *name, const char *text);
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
