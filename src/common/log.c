#include "guavaflow/log.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <poll.h>
#include <unistd.h>

#include "guavaflow/clock.h"

#define LINE_BYTES 1024
#define PROCESS_NAME_BYTES 64
#define MS_PER_S 1000
/* Rate limit on standard output. 250 lines a second allow some ten lines for
 * each job at 20 jobs a second. After a quiet time a burst of twice as many
 * lines is allowed, half of which are reserved for warnings and errors. */
#define LINES_PER_S 250
#define BURST_LINES (LINES_PER_S * 2)

static const char *const LEVEL_NAMES[GF_LOG_LEVELS] = {"debug", "info",
                                                       "warning", "error"};

static GfLogLevel min_level = GF_LOG_INFO;
static char process_name[PROCESS_NAME_BYTES] = "-";
static bool rate_limited;
/* The rate limit is a token bucket: line_tokens is refilled at LINES_PER_S,
 * and each line takes one. */
static double line_tokens = BURST_LINES;
static int64_t last_refill_ms;
static uint64_t dropped_lines;
static uint64_t reported_dropped_lines;

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
    return dropped_lines;
}

/* Applies the rate limit at time ms (wall clock): takes a token and returns
 * true if standard output can take a line; otherwise counts a dropped line.
 * Lines below the level of warnings must leave LINES_PER_S tokens. */
static bool
take_line_token(GfLogLevel level, int64_t ms)
{
    if (ms > last_refill_ms) {
        line_tokens +=
            (double)(ms - last_refill_ms) * LINES_PER_S / (double)MS_PER_S;
        line_tokens = line_tokens > BURST_LINES ? BURST_LINES : line_tokens;
    }
    last_refill_ms = ms;
    struct pollfd fd = {.fd = STDOUT_FILENO, .events = POLLOUT};
    double reserved = level >= GF_LOG_WARNING ? 0 : LINES_PER_S;
    if (line_tokens - 1 < reserved || poll(&fd, 1, 0) != 1 ||
        (fd.revents & POLLOUT) == 0) {
        dropped_lines++;
        return false;
    }
    line_tokens--;
    return true;
}

/* Formats a line and writes it. If a pipe takes only a part of the line, the
 * rest is lost and the line counts as dropped. */
static void
write_line(int64_t ms, GfLogLevel level, const char *part, const char *text)
{
    char line[LINE_BYTES + PROCESS_NAME_BYTES + PROCESS_NAME_BYTES];
    int n = snprintf(line, sizeof(line), "%lld.%03d %s %s %s: %s\n",
                     (long long)(ms / MS_PER_S), (int)(ms % MS_PER_S),
                     LEVEL_NAMES[level], process_name, part, text);
    size_t len = n < 0 ? 0 : (size_t)n;
    len = len < sizeof(line) ? len : sizeof(line) - 1;
    if (!rate_limited) {
        fwrite(line, 1, len, stderr);
    }
    else if (write(STDOUT_FILENO, line, len) < (ssize_t)len) {
        dropped_lines++;
    }
}

/* Writes one line: wall-clock time in seconds, level, process, part and the
 * formatted text, which is truncated to LINE_BYTES. Control characters are
 * replaced by '?', so that untrusted input cannot forge a line. Dropped lines
 * are reported before the next line that is written. */
void
GfLog(GfLogLevel level, const char *part, const char *format, ...)
{
    if (level < min_level) {
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
    if (rate_limited && !take_line_token(level, ms)) {
        return;
    }
    if (dropped_lines > reported_dropped_lines) {
        char note[LINE_BYTES];
        snprintf(note, sizeof(note), "log lines dropped count=%llu",
                 (unsigned long long)(dropped_lines - reported_dropped_lines));
        reported_dropped_lines = dropped_lines;
        write_line(ms, GF_LOG_WARNING, "log", note);
    }
    write_line(ms, level, part, text);
}
