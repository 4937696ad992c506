/* Structured log lines: time, level, process, component, a short phrase that
 * names the event, and key=value pairs. They go to standard error without a
 * limit or, after GfLog_UseStandardOutput, to standard output, where the rate
 * is limited (log_limit.h) and a slow reader never blocks the process: lines
 * are dropped and counted, and the counts are logged once a second. */
#ifndef GUAVAFLOW_LOG_H
#define GUAVAFLOW_LOG_H

#include <stdbool.h>
#include <stdint.h>

/* Levels in ascending order of severity. When not all lines can be written,
 * those of a higher level go first. DETAIL, NOTICE and INFO are all named info
 * in settings and lines. */
typedef enum {
    GF_LOG_DEBUG,
    GF_LOG_DETAIL, /* a request or task that goes as usual */
    GF_LOG_NOTICE, /* a request or task that is refused, late or fails */
    GF_LOG_INFO,   /* a change of ownership, configuration or workers, or a
                      summary */
    GF_LOG_WARNING,
    GF_LOG_ERROR,
    GF_LOG_LEVELS
} GfLogLevel;

void GfLog_SetLevel(GfLogLevel level);
bool GfLog_SetLevelByName(const char *name);
void GfLog_SetProcessName(const char *name);
void GfLog_UseStandardOutput(void);
uint64_t GfLog_DroppedLines(void);
bool GfLog_IsTaken(GfLogLevel level);
void GfLog(GfLogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
