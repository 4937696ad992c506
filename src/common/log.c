#include "guavaflow/log.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <poll.h>
#include <unistd.h>

#include "guavaflow/clock.h"
#include "guavaflow/log_limit.h"

#define LINE_BYTES 1024
#define PROCESS_NAME_BYTES 64
#define MS_PER_S 1000

/* Of equal names, the first is the one that settings mean. */
static const char *const LEVEL_NAMES[GF_LOG_LEVELS] = {
    "debug", "info", "info", "info", "warning", "error"};

static GfLogLevel min_level = GF_LOG_DETAIL;
static char process_name[PROCESS_NAME_BYTES] = "-";
static bool rate_limited;
static GfLogLimit limit;

/* Sets the lowest level that is written; lines below it are discarded. */
void
GfLog_SetLevel(GfLogLevel level)
{
    assert(level < GF_LOG_LEVELS);
    min_level = level;
}

/* Sets the lowest level that is written by its name: debug, info, warning or
 * error. Returns false and changes nothing for any other name. */
bool
GfLog_SetLevelByName(const char *name)
{
    for (int i = 0; i < GF_LOG_LEVELS; i++) {
        if (strcmp(LEVEL_NAMES[i], name) == 0) {
            min_level = (GfLogLevel)i;
            return true;
        }
    }
    return false;
}

/* Sets the process name that every line shows; it is copied and truncated to
 * PROCESS_NAME_BYTES. */
void
GfLog_SetProcessName(const char *name)
{
    assert(name != NULL);
    snprintf(process_name, sizeof(process_name), "%s", name);
}

/* Switches from standard error to standard output with the rate limit. A line
 * that standard output cannot take at once is dropped. */
void
GfLog_UseStandardOutput(void)
{
    rate_limited = true;
}

/* Returns the number of lines dropped or cut off since the start. */
uint64_t
GfLog_DroppedLines(void)
{
    return GfLogLimit_Dropped(&limit);
}

/* Returns whether standard output takes a line at once. */
static bool
is_writable(void)
{
    struct pollfd fd = {.fd = STDOUT_FILENO, .events = POLLOUT};
    return poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT) != 0;
}

/* Formats a line and writes it. Returns false if it was not written wholly; a
 * pipe may take only a part of a line, and the rest is lost then. */
static bool
write_line(GfLogLevel level, const char *part, const char *text)
{
    char line[LINE_BYTES + PROCESS_NAME_BYTES + PROCESS_NAME_BYTES];
    int64_t ms = GfTime_WallMs();
    int n = snprintf(line, sizeof(line), "%lld.%03d %s %s %s: %s\n",
                     (long long)(ms / MS_PER_S), (int)(ms % MS_PER_S),
                     LEVEL_NAMES[level], process_name, part, text);
    size_t len = n < 0 ? 0 : (size_t)n;
    len = len < sizeof(line) ? len : sizeof(line) - 1;
    if (!rate_limited) {
        return fwrite(line, 1, len, stderr) == len;
    }
    return write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

/* Logs the lines that were dropped, if that is due. */
static void
report_drops(struct timespec now)
{
    GfLogDrops drops;
    if (!GfLogLimit_ReportDue(&limit, now, &drops) || !is_writable()) {
        return;
    }
    char note[LINE_BYTES];
    snprintf(note, sizeof(note),
             "log lines dropped count=%" PRIu64 " debug=%" PRIu64
             " detail=%" PRIu64 " notice=%" PRIu64 " info=%" PRIu64
             " warning=%" PRIu64 " error=%" PRIu64 " over_ms=%" PRId64,
             drops.total, drops.count[GF_LOG_DEBUG],
             drops.count[GF_LOG_DETAIL], drops.count[GF_LOG_NOTICE],
             drops.count[GF_LOG_INFO], drops.count[GF_LOG_WARNING],
             drops.count[GF_LOG_ERROR], drops.period_ms);
    GfLogLimit_Take(&limit);
    GfLogLimit_Reported(&limit);
    if (!write_line(GF_LOG_WARNING, "log", note)) {
        GfLogLimit_Drop(&limit, GF_LOG_WARNING, now);
    }
}

/* Returns whether the rate limit, if there is one, allows a line of this level
 * now. If not, the line counts as dropped. Reports dropped lines if due. */
static bool
is_within_limit(GfLogLevel level, struct timespec now)
{
    if (!rate_limited) {
        return true;
    }
    report_drops(now);
    if (!GfLogLimit_Allows(&limit, level, now)) {
        GfLogLimit_Drop(&limit, level, now);
        return false;
    }
    return true;
}

/* Returns whether a line of this level is written now, for callers whose
 * arguments are costly to prepare. A line over the limit counts as dropped
 * here; the caller leaves it out. */
bool
GfLog_IsTaken(GfLogLevel level)
{
    assert(level < GF_LOG_LEVELS);
    return level >= min_level &&
           is_within_limit(level, GfClock_Now(GfClock_System()));
}

/* Writes one line: wall-clock time in seconds, level, process, part and the
 * formatted text, which is truncated to LINE_BYTES. Control characters are
 * replaced by '?', so that untrusted input cannot forge a line. A line over
 * the limit is dropped before it is formatted. */
void
GfLog(GfLogLevel level, const char *part, const char *format, ...)
{
    if (level < min_level) {
        return;
    }
    struct timespec now = GfClock_Now(GfClock_System());
    if (!is_within_limit(level, now)) {
        return;
    }
    if (rate_limited) {
        if (!is_writable()) {
            GfLogLimit_Drop(&limit, level, now);
            return;
        }
        GfLogLimit_Take(&limit);
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
    if (!write_line(level, part, text) && rate_limited) {
        GfLogLimit_Drop(&limit, level, now);
    }
}
