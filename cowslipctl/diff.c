#include <stdio.h>

#include <glib.h>

#include "ctl.h"

/* Traversal of two documents.  */
struct diff_walk
{
  GString *path;
  uint32_t changes;
};

static void diff_values (struct diff_walk *walk, struct json_object *from,
                         struct json_object *to);

static void
diff_line (struct diff_walk *walk, char sign, struct json_object *value)
{
  printf ("%c %s: %s\n", sign, walk->path->str,
          json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  walk->changes++;
}

static void
diff_objects (struct diff_walk *walk, struct json_object *from,
              struct json_object *to)
{
  size_t length = walk->path->len;

  json_object_object_foreach (from, key, old)
  {
    struct json_object *new = NULL;

    g_string_append_printf (walk->path, "%s%s", length == 0 ? "" : ".", key);
    if (json_object_object_get_ex (to, key, &new))
      diff_values (walk, old, new);
    else
      diff_line (walk, '-', old);
    g_string_truncate (walk->path, length);
  }
  json_object_object_foreach (to, added_key, added)
  {
    if (json_object_object_get_ex (from, added_key, NULL))
      continue;
    g_string_append_printf (walk->path, "%s%s", length == 0 ? "" : ".",
                            added_key);
    diff_line (walk, '+', added);
    g_string_truncate (walk->path, length);
  }
}

static void
diff_values (struct diff_walk *walk, struct json_object *from,
             struct json_object *to)
{
  if (json_object_is_type (from, json_type_object)
      && json_object_is_type (to, json_type_object))
    diff_objects (walk, from, to);
  else if (!json_object_equal (from, to))
    {
      diff_line (walk, '-', from);
      diff_line (walk, '+', to);
    }
}

/* Print the differences between FROM and TO, one line per removed or added
   value, and return the number of lines.  */
uint32_t
ctl_print_diff (struct json_object *from, struct json_object *to)
{
  struct diff_walk walk = { .path = g_string_new (NULL) };

  diff_values (&walk, from, to);
  g_string_free (walk.path, TRUE);
  return walk.changes;
}
