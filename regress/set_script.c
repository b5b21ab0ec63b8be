#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "set.h"

#define INPUT_MAX_BYTES (1 << 16)

/* Loads the settings on standard input and prints a summary or the error.
   Guards against starting an instance with invalid settings.  */
int
main (void)
{
  static char text[INPUT_MAX_BYTES];
  size_t bytes = fread (text, 1, sizeof text - 1, stdin);
  char *directory = g_dir_make_tmp ("set-XXXXXX", NULL);
  char *file = g_build_filename (directory, "settings.json", NULL);
  char *key = g_build_filename (directory, "key", NULL);
  char *weak = g_build_filename (directory, "weak", NULL);
  struct set_settings *settings;
  GError *error = NULL;

  g_file_set_contents (file, text, (gssize)bytes, NULL);
  g_file_set_contents (key, "0123456789abcdef0123456789abcdef", -1, NULL);
  g_file_set_contents (weak, "short", -1, NULL);
  settings = set_load (file, &error);
  if (settings == NULL)
    {
      /* Skip the directory, whose name is random.  */
      const char *message = strstr (error->message, "settings.json");

      printf ("refused: %s\n", message == NULL ? error->message : message);
      g_error_free (error);
    }
  else
    printf ("%s number %u in %s, HTTP %s, %u peers, body %u, drain %u\n",
            settings->instance, settings->member_number, settings->zone,
            settings->http_address, settings->peers->len,
            settings->body_max_bytes, settings->drain_max_ms);
  set_free (settings);
  g_unlink (file);
  g_unlink (key);
  g_unlink (weak);
  g_rmdir (directory);
  g_free (file);
  g_free (key);
  g_free (weak);
  g_free (directory);
  return 0;
}
