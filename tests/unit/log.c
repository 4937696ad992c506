/* The rate limit of log lines. The tests guard against a busy period that
 * leaves no trace of its cause: one line a request fills the limit, so that
 * decisions and summaries are dropped, and notes on dropped lines take the
 * place of lines. */
#include "guavaflow/log_limit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <unistd.h>

#include "guavaflow/clock.h"
#include "suite.h"

#define START_MS 1000000
/* Lines a millisecond that a busy owner would write, ten times the limit. */
#define BUSY_LINES_PER_MS 3
#define CAPTURE_BYTES 65536

/* Counts of a simulated period. */
typedef struct {
    int written[GF_LOG_LEVELS];
    int refused[GF_LOG_LEVELS];
} Tally;

/* Offers one line at a time. */
static void
offer(GfLogLimit *limit, GfLogLevel level, int64_t ms, Tally *tally)
{
    struct timespec now = GfTime_FromMs(START_MS + ms);
    if (GfLogLimit_Allows(limit, level, now)) {
        GfLogLimit_Take(limit);
        tally->written[level]++;
    }
    else {
        GfLogLimit_Drop(limit, level, now);
        tally->refused[level]++;
    }
}

/* Ten seconds of far more request lines than the limit: decisions, summaries
 * and warnings beside them are all written, and the request lines get the rest
 * of the limit. */
static void
test_request_lines_do_not_crowd_out_decisions(void)
{
    GfLogLimit limit = {0};
    Tally tally = {0};
    for (int64_t ms = 0; ms < 10000; ms++) {
        for (int i = 0; i < BUSY_LINES_PER_MS; i++) {
            offer(&limit, GF_LOG_DETAIL, ms, &tally);
        }
        if (ms % 50 == 0) {
            offer(&limit, GF_LOG_INFO, ms, &tally);
        }
        if (ms % 200 == 0) {
            offer(&limit, GF_LOG_WARNING, ms, &tally);
        }
    }
    CU_ASSERT_EQUAL(tally.refused[GF_LOG_INFO], 0);
    CU_ASSERT_EQUAL(tally.refused[GF_LOG_WARNING], 0);
    int total = tally.written[GF_LOG_DETAIL] + tally.written[GF_LOG_INFO] +
                tally.written[GF_LOG_WARNING];
    CU_ASSERT_TRUE(total >= 10 * GF_LOG_LINES_PER_S);
    CU_ASSERT_TRUE(total <= 10 * GF_LOG_LINES_PER_S + GF_LOG_BURST_LINES);
}

/* Refused and late requests go before those that go as usual, and do not crowd
 * out decisions either. */
static void
test_order_of_levels(void)
{
    GfLogLimit limit = {0};
    Tally tally = {0};
    for (int64_t ms = 0; ms < 10000; ms++) {
        offer(&limit, GF_LOG_DETAIL, ms, &tally);
        offer(&limit, GF_LOG_NOTICE, ms, &tally);
        if (ms % 10 == 0) {
            offer(&limit, GF_LOG_INFO, ms, &tally);
        }
    }
    CU_ASSERT_EQUAL(tally.refused[GF_LOG_INFO], 0);
    CU_ASSERT_TRUE(tally.written[GF_LOG_NOTICE] >=
                   10 * (GF_LOG_LINES_PER_S - 100));
    /* Details get only the burst at the start. */
    CU_ASSERT_TRUE(tally.written[GF_LOG_DETAIL] < GF_LOG_LINES_PER_S);
}

/* A sudden burst of decisions or request lines leaves room for the warnings
 * that follow. */
static void
test_reserve_for_warnings(void)
{
    GfLogLimit limit = {0};
    Tally tally = {0};
    for (int i = 0; i < 1000; i++) {
        offer(&limit, GF_LOG_DETAIL, 0, &tally);
        offer(&limit, GF_LOG_INFO, 0, &tally);
    }
    for (int i = 0; i < GF_LOG_LINES_PER_S; i++) {
        offer(&limit, GF_LOG_WARNING, 0, &tally);
    }
    CU_ASSERT_EQUAL(tally.refused[GF_LOG_WARNING], 0);
}

/* Lines that come a fraction of a millisecond apart get the whole limit. */
static void
test_refill_by_fractions_of_a_millisecond(void)
{
    GfLogLimit limit = {.taken = GF_LOG_BURST_LINES,
                        .refilled_at = GfTime_FromMs(START_MS)};
    struct timespec now = GfTime_FromMs(START_MS);
    int written = 0;
    for (int i = 0; i < 100000; i++) {
        now.tv_nsec += 100000;
        if (now.tv_nsec >= 1000000000) {
            now.tv_nsec -= 1000000000;
            now.tv_sec++;
        }
        if (GfLogLimit_Allows(&limit, GF_LOG_ERROR, now)) {
            GfLogLimit_Take(&limit);
            written++;
        }
    }
    /* All tokens but a rounding error of the last one. */
    CU_ASSERT_TRUE(written >= 10 * GF_LOG_LINES_PER_S - 1);
    CU_ASSERT_TRUE(written <= 10 * GF_LOG_LINES_PER_S);
}

/* Dropped lines are reported once a second, with a count for each level that
 * adds up to all of them. */
static void
test_drops_are_reported_once_a_second(void)
{
    GfLogLimit limit = {0};
    Tally tally = {0};
    int reports = 0;
    GfLogDrops sum = {0};
    for (int64_t ms = 0; ms < 10000; ms++) {
        for (int i = 0; i < BUSY_LINES_PER_MS; i++) {
            offer(&limit, GF_LOG_DETAIL, ms, &tally);
            offer(&limit, GF_LOG_NOTICE, ms, &tally);
        }
        GfLogDrops drops;
        if (GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS + ms),
                                 &drops)) {
            GfLogLimit_Reported(&limit);
            reports++;
            sum.total += drops.total;
            sum.count[GF_LOG_DETAIL] += drops.count[GF_LOG_DETAIL];
            sum.count[GF_LOG_NOTICE] += drops.count[GF_LOG_NOTICE];
            CU_ASSERT_EQUAL(drops.period_ms, 1000);
        }
    }
    GfLogDrops rest;
    CU_ASSERT_TRUE(
        GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS + 20000), &rest));
    sum.total += rest.total;
    CU_ASSERT_EQUAL(reports, 9);
    CU_ASSERT_EQUAL(sum.total, GfLogLimit_Dropped(&limit));
    CU_ASSERT_EQUAL(sum.count[GF_LOG_DETAIL] + rest.count[GF_LOG_DETAIL],
                    (uint64_t)tally.refused[GF_LOG_DETAIL]);
    CU_ASSERT_EQUAL(sum.count[GF_LOG_NOTICE] + rest.count[GF_LOG_NOTICE],
                    (uint64_t)tally.refused[GF_LOG_NOTICE]);
}

/* No report without drops, and none before a second has passed. */
static void
test_no_report_before_it_is_due(void)
{
    GfLogLimit limit = {0};
    GfLogDrops drops;
    CU_ASSERT_FALSE(
        GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS), &drops));
    GfLogLimit_Drop(&limit, GF_LOG_DETAIL, GfTime_FromMs(START_MS));
    CU_ASSERT_FALSE(
        GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS + 999), &drops));
    CU_ASSERT_TRUE(
        GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS + 1000), &drops));
    GfLogLimit_Reported(&limit);
    CU_ASSERT_FALSE(
        GfLogLimit_ReportDue(&limit, GfTime_FromMs(START_MS + 9000), &drops));
}

/* Returns how often text contains word. */
static int
count_in(const char *text, const char *word)
{
    int count = 0;
    for (const char *at = strstr(text, word); at != NULL;
         at = strstr(at + 1, word)) {
        count++;
    }
    return count;
}

/* Writes what a busy moment logs to standard output and returns it; the caller
 * frees it. Nothing is read while lines are written, as by a slow reader. */
static char *
capture_busy_moment(void)
{
    char *text = calloc(1, CAPTURE_BYTES);
    int ends[2];
    fflush(stdout);
    int saved = dup(STDOUT_FILENO);
    if (text == NULL || saved < 0 || pipe(ends) != 0) {
        abort();
    }
    dup2(ends[1], STDOUT_FILENO);
    GfLog_UseStandardOutput();
    for (int i = 0; i < 2000; i++) {
        GfLog(GF_LOG_DETAIL, "test", "request answered number=%d", i);
    }
    GfLog(GF_LOG_INFO, "test", "ownership lost\nforged");
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[1]);
    size_t len = 0;
    ssize_t n = 1;
    while (n > 0 && len < CAPTURE_BYTES - 1) {
        n = read(ends[0], text + len, CAPTURE_BYTES - 1 - len);
        len += n > 0 ? (size_t)n : 0;
    }
    close(ends[0]);
    return text;
}

/* The logger as a whole: a decision after a burst of request lines is written,
 * the request lines over the limit are counted, lines of all request levels
 * show as info, and a decision cannot forge a line. */
static void
test_decision_after_burst_is_written(void)
{
    GfLog_SetProcessName("entry1");
    char *text = capture_busy_moment();
    CU_ASSERT_EQUAL(count_in(text, " info entry1 test: ownership lost?forged"),
                    1);
    int details = count_in(text, " info entry1 test: request answered");
    CU_ASSERT_TRUE(details > 0 && details < 2000);
    CU_ASSERT_EQUAL(GfLog_DroppedLines(), (uint64_t)(2000 - details));
    free(text);
}

/* The setting info includes the lines of requests; warning leaves them out,
 * and a line that is not wanted does not count as dropped. */
static void
test_setting_of_the_level(void)
{
    CU_ASSERT_TRUE(GfLog_SetLevelByName("warning"));
    uint64_t dropped = GfLog_DroppedLines();
    CU_ASSERT_FALSE(GfLog_IsTaken(GF_LOG_DETAIL));
    CU_ASSERT_FALSE(GfLog_IsTaken(GF_LOG_INFO));
    CU_ASSERT_EQUAL(GfLog_DroppedLines(), dropped);
    CU_ASSERT_TRUE(GfLog_SetLevelByName("info"));
    CU_ASSERT_TRUE(GfLog_IsTaken(GF_LOG_NOTICE));
    CU_ASSERT_FALSE(GfLog_IsTaken(GF_LOG_DEBUG));
    CU_ASSERT_FALSE(GfLog_SetLevelByName("detail"));
}

static const SuiteTest TESTS[] = {
    {"request lines do not crowd out decisions",
     test_request_lines_do_not_crowd_out_decisions},
    {"order of levels", test_order_of_levels},
    {"reserve for warnings", test_reserve_for_warnings},
    {"refill by fractions of a millisecond",
     test_refill_by_fractions_of_a_millisecond},
    {"drops are reported once a second",
     test_drops_are_reported_once_a_second},
    {"no report before it is due", test_no_report_before_it_is_due},
    {"setting of the level", test_setting_of_the_level},
    {"decision after a burst is written",
     test_decision_after_burst_is_written}};

SUITE_MAIN("log", TESTS)
