#ifndef REGRESS_UNIT_H
#define REGRESS_UNIT_H

#include <CUnit/CUnit.h>

/* Entry point of the CUnit test programs.  */

/* One test; the table ends with a NULL name.  */
struct unit_test
{
  const char *name;
  void (*run) (void);
};

int unit_main (const char *suite, const struct unit_test *tests);

#endif
