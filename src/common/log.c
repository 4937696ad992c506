#include "guavaflow/log.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "guavaflow/clock.h"

#define LINE_BYTES 1024
#define HOST_BYTES 64
#define MS_PER_S 1000

static const char *const LEVEL_NAMES[GF_LOG_LEVELS] = {"debug", "info",
                                                       "warning", "error"};

static GfLogLevel threshold = GF_LOG_INFO;
static char host_name[HOST_BYTES] = "-";

/* Drops lines below the given level from now on. */
void
GfLog_SetLevel(GfLogLevel level)
{
    assert(level < GF_LOG_LEVELS);
    threshold = level;
}

/* Sets the level by name; returns false for an unknown name. */
bool
GfLog_SetLevelByName(const char *name)
{
    for (int i = 0; i < GF_LOG_LEVELS; i++) {
        if (strcmp(LEVEL_NAMES[i], name) == 0) {
            threshold = (GfLogLevel)i;
            return true;
        }
    }
    return false;
}

/* Names the process in every line. */
void
GfLog_SetHost(const char *host)
{
    assert(host != NULL);
    snprintf(host_name, sizeof(host_name), "%s", host);
}

/* Writes one line: time in seconds, level, process, part, sentence. Control
 * characters become '?', so that input cannot forge a line. */
void
GfLog(GfLogLevel level, const char *part, const char *format, ...)
{
    if (level < threshold) {
        return;
    }
    char text[LINE_BYTES];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *c = text; *c != '\0'; c++) {
        if ((unsigned char)*c < ' ') {
            *c = '?';
        }
    }
    int64_t ms = GfTime_WallMs();
    fprintf(stderr, "%lld.%03d %s %s %s: %s\n", (long long)(ms / MS_PER_S),
            (int)(ms % MS_PER_S), LEVEL_NAMES[level], host_name, part, text);
}
