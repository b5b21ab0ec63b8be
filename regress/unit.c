#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "unit.h"

/* Run TESTS as the suite SUITE and return the exit status of the program: 0
   only if at least one test ran and none failed.  */
int
unit_main (const char *suite, const struct unit_test *tests)
{
  CU_pSuite registered;
  bool passed;

  signal (SIGPIPE, SIG_IGN);
  g_log_set_always_fatal (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  registered = CU_add_suite (suite, NULL, NULL);
  for (; tests->name != NULL; tests++)
    CU_add_test (registered, tests->name, tests->run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  passed = CU_get_number_of_failures () == 0 && CU_get_number_of_tests_run ();
  CU_cleanup_registry ();
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
