/* Runs one CUnit suite as a program. */
#ifndef GUAVAFLOW_TESTS_SUITE_H
#define GUAVAFLOW_TESTS_SUITE_H

#include <CUnit/CUnit.h>

typedef struct {
    const char *name;
    void (*run)(void);
} SuiteTest;

int Suite_Run(const char *name, const SuiteTest *tests, size_t count);

#define SUITE_MAIN(name, tests)                                               \
    int main(void)                                                            \
    {                                                                         \
        return Suite_Run(name, tests, sizeof(tests) / sizeof((tests)[0]));    \
    }

#endif
