/* Structured log lines on standard error: level, prefix of the part, short
 * sentence. */
#ifndef GUAVAFLOW_LOG_H
#define GUAVAFLOW_LOG_H

#include <stdbool.h>

typedef enum {
    GF_LOG_DEBUG,
    GF_LOG_INFO,
    GF_LOG_WARNING,
    GF_LOG_ERROR,
    GF_LOG_LEVELS
} GfLogLevel;

void GfLog_SetLevel(GfLogLevel level);
bool GfLog_SetLevelByName(const char *name);
void GfLog_SetHost(const char *host);
void GfLog(GfLogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
