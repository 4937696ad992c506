/* Structured log lines: time, level, process, component, a short phrase that
 * names the event, and key=value pairs. They go to standard error without a
 * limit or, after GfLog_UseStandardOutput, to standard output, where the rate
 * is limited and a slow reader never blocks the process: lines are dropped and
 * counted. */
#ifndef GUAVAFLOW_LOG_H
#define GUAVAFLOW_LOG_H

#include <stdbool.h>
#include <stdint.h>

/* Levels in ascending order of severity. */
typedef enum {
    GF_LOG_DEBUG,
    GF_LOG_INFO,
    GF_LOG_WARNING,
    GF_LOG_ERROR,
    GF_LOG_LEVELS
} GfLogLevel;

void GfLog_SetLevel(GfLogLevel level);
bool GfLog_SetLevelByName(const char *name);
void GfLog_SetProcessName(const char *name);
void GfLog_UseStandardOutput(void);
uint64_t GfLog_DroppedLines(void);
void GfLog(GfLogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
