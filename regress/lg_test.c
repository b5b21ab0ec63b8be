#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lg.h"
#include "unit.h"

/* Tests the lines of the log.  */

#define TEXT_BYTES 4096

/* Write an event with DETAILS and store in TEXT what the log got.  */
static void
write_event (const char *details, char text[TEXT_BYTES])
{
  FILE *file = tmpfile ();
  int saved = dup (STDERR_FILENO);
  size_t bytes;

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  (void)dup2 (fileno (file), STDERR_FILENO);
  lg_write (LG_ENTRY_INVALID, "key=%s", details);
  (void)dup2 (saved, STDERR_FILENO);
  close (saved);
  rewind (file);
  bytes = fread (text, 1, TEXT_BYTES - 1, file);
  text[bytes] = '\0';
  (void)fclose (file);
}

/* Guards against text of other programs that adds lines to the log or controls
   the terminal, and against a line without an end.  */
static void
test_controls (void)
{
  static char large[2 * TEXT_BYTES];
  char text[TEXT_BYTES];

  write_event ("a\n<0>2026-01-01 E1 forged\r\x1b[2J\x7f\t\xc3\xa9", text);
  CU_ASSERT_PTR_EQUAL (strchr (text, '\n'), text + strlen (text) - 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "key=a?<0>2026-01-01 E1 forged??[2J??\xc3\xa9\n"));
  memset (large, 'x', sizeof large - 1);
  write_event (large, text);
  CU_ASSERT_PTR_EQUAL (strchr (text, '\n'), text + strlen (text) - 1);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "control characters", test_controls }, { NULL, NULL } };

  return unit_main ("lg", tests);
}
