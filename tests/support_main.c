#include "support.h"

#include <apr_general.h>
#include <stdlib.h>

int
main(void)
{
    SRunner *runner;
    int failed;

    apr_initialize();
    runner = srunner_create(Test_Suite());
    /* Sanitizers and tests with threads need a single process. */
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    apr_terminate();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
