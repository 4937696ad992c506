/* Structured log lines: time, level, process, prefix of the part, a short
 * sentence and key=value pairs. On standard error, or, for a server, on
 * standard output, bounded in number and never waiting for a reader. */
#ifndef GUAVAFLOW_LOG_H
#define GUAVAFLOW_LOG_H

#include <stdbool.h>
#include <stdint.h>

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
void GfLog_UseStandardOutput(void);
uint64_t GfLog_LeftOut(void);
void GfLog(GfLogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
