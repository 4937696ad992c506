#include "suite.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <sodium.h>

/* Runs the tests with libsodium initialized and SIGPIPE ignored, as in the
 * product. Returns 0, as the exit code, if no assertion failed and there was
 * at least one, else 1. */
int
Suite_Run(const char *name, const SuiteTest *tests, size_t count)
{
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    CU_pSuite suite = CU_add_suite(name, NULL, NULL);
    for (size_t i = 0; i < count; i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    int code =
        CU_get_number_of_failures() > 0 || CU_get_number_of_asserts() == 0;
    CU_cleanup_registry();
    return code;
}
