/* Runs one CUnit suite as a program: a test file lists its cases in an array
 * and ends with SUITE_MAIN. */
#ifndef GUAVAFLOW_TESTS_SUITE_H
#define GUAVAFLOW_TESTS_SUITE_H

#include <CUnit/CUnit.h>

/* A test case. name is what CUnit prints. */
typedef struct {
    const char *name;
    void (*run)(void);
} SuiteTest;

int Suite_Run(const char *name, const SuiteTest *tests, size_t count);

/* Defines the main function of a test program. tests is an array, not a
 * pointer. */
#define SUITE_MAIN(name, tests)                                               \
    int main(void)                                                            \
    {                                                                         \
        return Suite_Run(name, tests, sizeof(tests) / sizeof((tests)[0]));    \
    }

#endif
