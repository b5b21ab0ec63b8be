#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "pch.h"
#include "unit.h"

#define SEED      20261204
#define EDITS     20000
#define LINES_MAX 60

/* Append a random line: lines repeat, end with or without a comma or line
   feed, and contain multi-byte characters and a byte that JSON must escape. */
static void
add_line (gsl_rng *random, GString *text)
{
  static const char *const kinds[] = { "{\"a\":%u,\"b\":[%u]},\n",
                                       "\"d\xc3\xa9j\xc3\xa0 %u\",%u,",
                                       "}\n",
                                       "\xe2\x82\xac%u\x01\"\\\n",
                                       "%u",
                                       "" };

  g_string_append_printf (
      text, kinds[gsl_rng_uniform_int (random, G_N_ELEMENTS (kinds))],
      (guint)gsl_rng_uniform_int (random, 40),
      (guint)gsl_rng_uniform_int (random, 4));
}

static GString *
random_text (gsl_rng *random)
{
  GString *text = g_string_new (NULL);
  unsigned long lines = gsl_rng_uniform_int (random, LINES_MAX);

  while (lines-- > 0)
    add_line (random, text);
  return text;
}

/* Edit TEXT at random: delete, insert or move a range, or set a byte.  */
static void
edit (gsl_rng *random, GString *text)
{
  gssize at = (gssize)gsl_rng_uniform_int (random, text->len + 1);
  gssize span
      = (gssize)gsl_rng_uniform_int (random, MIN (text->len - at, 40U) + 1);
  char *removed = g_strndup (text->str + at, (gsize)span);

  switch (gsl_rng_uniform_int (random, 4))
    {
    case 0:
      g_string_erase (text, at, span);
      break;
    case 1:
      g_string_insert (text, at, "new,\xc3\xa4\n");
      break;
    case 2:
      g_string_erase (text, at, span);
      at = (gssize)gsl_rng_uniform_int (random, text->len + 1);
      g_string_insert_len (text, at, removed, (gssize)strlen (removed));
      break;
    default:
      if (text->len > (gsize)at)
        text->str[at] = (char)gsl_rng_uniform_int (random, 256);
      break;
    }
  g_free (removed);
}

/* Return PATCH encoded as JSON text and decoded again.  */
static struct pch_patch *
round_trip (const struct pch_patch *patch)
{
  struct json_object *object = pch_encode (patch);
  struct json_object *parsed
      = json_tokener_parse (json_object_to_json_string (object));
  struct pch_patch *decoded = pch_decode (parsed);

  json_object_put (object);
  json_object_put (parsed);
  return decoded;
}

static bool
reproduces (const GString *base, const GString *text)
{
  struct pch_patch *patch
      = pch_diff (base->str, base->len, text->str, text->len);
  struct pch_patch *parsed = round_trip (patch);
  size_t bytes = 0;
  char *result = parsed == NULL
                     ? NULL
                     : pch_apply (parsed, base->str, base->len, &bytes);
  bool matches = result != NULL && bytes == text->len
                 && memcmp (result, text->str, bytes) == 0;

  g_free (result);
  pch_free (patch);
  pch_free (parsed);
  return matches;
}

/* Guards against patches that do not reproduce the new text exactly.  */
static void
test_random_edits (void)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  uint32_t failures = 0;

  gsl_rng_set (random, SEED);
  for (uint32_t i = 0; i < EDITS; i++)
    {
      GString *base = random_text (random);
      GString *text = i % 10 == 0
                          ? random_text (random)
                          : g_string_new_len (base->str, (gssize)base->len);

      for (unsigned long n = gsl_rng_uniform_int (random, 5); n > 0; n--)
        edit (random, text);
      failures += !reproduces (base, text);
      g_string_free (base, TRUE);
      g_string_free (text, TRUE);
    }
  printf ("%u of %u edits wrong, seed %u\n", failures, EDITS, SEED);
  CU_ASSERT_EQUAL (failures, 0);
  gsl_rng_free (random);
}

/* Guards against a patch of the size of the text when one line moves or two
   distant lines change.  */
static void
test_short (void)
{
  GString *base = g_string_new (NULL);
  GString *text = g_string_new ("line 999,");
  struct pch_patch *patch;
  size_t inserted = 0;

  for (uint32_t i = 0; i < 1000; i++)
    g_string_append_printf (base, "line %u,", i);
  for (uint32_t i = 0; i < 999; i++)
    g_string_append_printf (text, "line %u%s,", i, i % 500 == 7 ? "x" : "");
  patch = pch_diff (base->str, base->len, text->str, text->len);
  for (guint i = 0; i < patch->hunks->len; i++)
    inserted += g_array_index (patch->hunks, struct pch_hunk, i).text_bytes;
  CU_ASSERT_TRUE (patch->hunks->len <= 4);
  CU_ASSERT_TRUE (inserted < 40);
  CU_ASSERT_TRUE (reproduces (base, text));
  pch_free (patch);
  g_string_free (base, TRUE);
  g_string_free (text, TRUE);
}

/* Guards against a corrupt patch that produces a wrong text or causes an
   access out of bounds.  */
static void
test_faults (void)
{
  static const char base[] = "one,two,three,";
  static const char text[] = "one,2,three,four,";
  static const struct
  {
    const char *found;
    const char *put;
    bool applies;
  } cases[] = {
    { "[4,3,", "[4,3,", true },
    { "[4,3,", "[4,4,", false },
    { "[4,3,", "[5,3,", false },
    { "[4,3,", "[15,0,", false },
    { "[4,3,", "[900000,3,", false },
    { "[4,3,", "[14,1,", false },
    { "[4,3,", "[4,999999,", false },
    { "[4,3,", "[-1,3,", false },
    { "[4,3,", "[4,18446744073709551615,", false },
    { "[4,3,", "[4,", false },
    { "[4,3,\"2\"]", "[4,3,2]", false },
    { "[4,3,\"2\"]", "[4,3,\"5\"]", false },
    { "[4,3,\"2\"],", "", false },
    { "[4,3,\"2\"]", "4", false },
    { "\"hunks\"", "\"hunk\"", false },
    { "\"base\":\"", "\"base\":\"0", false },
    { "\"digest\":\"", "\"digest\":\"0", false },
  };
  struct pch_patch *patch
      = pch_diff (base, strlen (base), text, strlen (text));
  struct json_object *object = pch_encode (patch);
  const char *encoded
      = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  size_t bytes;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char **parts = g_strsplit (encoded, cases[i].found, 2);
      char *changed = g_strjoinv (cases[i].put, parts);
      struct json_object *parsed = json_tokener_parse (changed);
      struct pch_patch *damaged = pch_decode (parsed);
      char *result = damaged == NULL
                         ? NULL
                         : pch_apply (damaged, base, strlen (base), &bytes);

      if ((result != NULL) != cases[i].applies || parts[1] == NULL)
        printf ("case %zu: %s\n", i, changed);
      CU_ASSERT_EQUAL (result != NULL, cases[i].applies);
      CU_ASSERT_PTR_NOT_NULL (parts[1]);
      g_free (result);
      pch_free (damaged);
      json_object_put (parsed);
      g_free (changed);
      g_strfreev (parts);
    }
  /* Wrong base texts: longer, shorter, and one with no line in common.  */
  CU_ASSERT_PTR_NULL (pch_apply (patch, text, strlen (text), &bytes));
  CU_ASSERT_PTR_NULL (pch_apply (patch, base, strlen (base) - 1, &bytes));
  json_object_put (object);
  pch_free (patch);
  patch = pch_diff ("aaa", 3, "bbb", 3);
  CU_ASSERT_PTR_NULL (pch_apply (patch, "ccc", 3, &bytes));
  pch_free (patch);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "random edits", test_random_edits },
          { "short", test_short },
          { "faults", test_faults },
          { NULL, NULL } };

  return unit_main ("pch", tests);
}
