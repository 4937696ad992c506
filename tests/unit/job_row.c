/* The partitioning of the jobs table. The tests guard against submitters that
 * queue behind each other's transactions when a burst of jobs meets a slow
 * store, and parts that share a name. */
#include "guavaflow/job_row.h"

#include <stdlib.h>
#include <string.h>

#include "suite.h"

#define JOBS 300
#define JOBS_PER_S 75
/* About sixty times the store's usual transaction time. */
#define TRANSACTION_MS 200
#define MS_PER_S 1000

/* A qsort comparison of int64_t values, ascending. */
static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* A burst of new jobs at a slow store that carries out one transaction at a
 * time in each part: the median caller waits for at most half a transaction of
 * others, and 95 percent of the callers for at most one. */
static void
test_burst_at_a_slow_store(void)
{
    static int64_t waits[JOBS];
    char parts[GF_JOB_ROW_PARTS][GF_JOB_ROW_PART_BYTES];
    int64_t free_at[GF_JOB_ROW_PARTS] = {0};
    size_t used = 0;
    for (int i = 0; i < JOBS; i++) {
        int64_t now = (int64_t)i * MS_PER_S / JOBS_PER_S;
        GfName id = GfName_Format("%016llx", i * 0x9E3779B97F4A7C15ULL);
        GfJobRowPart part = GfJobRow_Part(&id);
        size_t p = 0;
        while (p < used && strcmp(parts[p], part.text) != 0) {
            p++;
        }
        if (p == used) {
            CU_ASSERT_FATAL(used < GF_JOB_ROW_PARTS);
            memcpy(parts[used++], part.text, sizeof(part.text));
        }
        int64_t start = free_at[p] > now ? free_at[p] : now;
        free_at[p] = start + TRANSACTION_MS;
        waits[i] = free_at[p] - now;
    }
    qsort(waits, JOBS, sizeof(waits[0]), compare);
    CU_ASSERT(waits[JOBS / 2] <= TRANSACTION_MS * 3 / 2);
    CU_ASSERT(waits[JOBS * 95 / 100] <= 2 * TRANSACTION_MS);
}

/* The parts' names differ, and a job's part is one of them. */
static void
test_names(void)
{
    for (uint32_t i = 0; i < GF_JOB_ROW_PARTS; i++) {
        for (uint32_t j = 0; j < i; j++) {
            CU_ASSERT_STRING_NOT_EQUAL(GfJobRow_PartAt(i).text,
                                       GfJobRow_PartAt(j).text);
        }
    }
    GfName id;
    CU_ASSERT(GfName_SetText(&id, "00000bb87a21d94b"));
    GfJobRowPart part = GfJobRow_Part(&id);
    bool found = false;
    for (uint32_t i = 0; i < GF_JOB_ROW_PARTS; i++) {
        found = found || strcmp(part.text, GfJobRow_PartAt(i).text) == 0;
    }
    CU_ASSERT(found);
}

static const SuiteTest TESTS[] = {
    {"a burst at a slow store", test_burst_at_a_slow_store},
    {"names", test_names},
};

SUITE_MAIN("job_row", TESTS)
