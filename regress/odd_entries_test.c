#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that an instance survives entries, reports and configurations that
   another program wrote, and goes on following the store.  */

#define LARGE_BYTES  (1U << 20)
#define NESTED_BYTES 100000
#define ID_CHARS     150
#define ODD_KEY      "servers/odd"
#define WAIT_US      2000000
#define ENTRY(address, state, rest)                                           \
  "{\"Service\":\"plain\",\"Address\":\"" address "\",\"Zone\":\"z1\","       \
  "\"Slots\":8,\"State\":\"" state "\"" rest "}"
#define VALID_ADDRESS "127.0.0.1:9"

static uint64_t born;

static const char *const invalid_entries[] = {
  "",
  " ",
  "null",
  "true",
  "7",
  "-1e999",
  "NaN",
  "\"x\"",
  "[]",
  "[null]",
  "{}",
  "{\"Service\"",
  "\xff\xfe\xfd",
  "/* c */",
  ENTRY ("127.0.0.1:0", "ready", ""),
  ENTRY ("127.0.0.1:65536", "ready", ""),
  ENTRY ("127.0.0.1:-1", "ready", ""),
  ENTRY ("127.0.0.1:99999999999999999999", "ready", ""),
  ENTRY ("127.0.0.1", "ready", ""),
  ENTRY ("[::1]:80", "ready", ""),
  ENTRY ("::1:80", "ready", ""),
  ENTRY ("", "ready", ""),
  ENTRY (VALID_ADDRESS, "asleep", ""),
  ENTRY (VALID_ADDRESS, "ready\\u0000", ""),
  ENTRY (VALID_ADDRESS "\\u0000", "ready", ""),
  ENTRY (VALID_ADDRESS, "ready", ",\"Service\":\"plain\\u0000x\""),
  ENTRY (VALID_ADDRESS, "ready", ",\"Slots\":-1"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Slots\":1e300"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Slots\":4294967296"),
  ENTRY (VALID_ADDRESS, "ready", ",\"born\":1e300"),
  ENTRY (VALID_ADDRESS, "ready", ",\"born\":-5"),
  ENTRY (VALID_ADDRESS, "ready", ",\"born\":null"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Zone\":null"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Service\":null"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Models\":null"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Models\":[null]"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Models\":[{\"Name\":null}]"),
  ENTRY (VALID_ADDRESS, "ready",
         ",\"Models\":[{\"Name\":\"m\",\"Version\":-1}]"),
  ENTRY (VALID_ADDRESS, "ready",
         ",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":{}}]"),
  ENTRY (VALID_ADDRESS, "ready", ",\"Incoming\":5,\"Models\":[]"),
  ENTRY (VALID_ADDRESS, "draining", ",\"RemainingMs\":1e300"),
  ENTRY (VALID_ADDRESS, "draining", ",\"RemainingMs\":-1"),
  ENTRY (VALID_ADDRESS, "draining", ",\"RemainingMs\":NaN"),
  ENTRY (VALID_ADDRESS, "draining", ",\"RemainingMs\":\"1\""),
};

/* Put a valid entry under KEY and wait until the instance knows it.  Return
   false if it does not within the limit.  */
static bool
follows (const char *key, uint64_t started_ms)
{
  char *text
      = g_strdup_printf ("{\"Service\":\"other\",\"Address\":"
                         "\"127.0.0.1:9\",\"Zone\":\"z1\",\"Slots\":1,"
                         "\"State\":\"ready\",\"born\":%" G_GUINT64_FORMAT "}",
                         started_ms);
  const char *id = key + strlen ("servers/");
  uint64_t start_us = tm_now_us (gwf_gw.tm);
  const struct flt_endpoint *endpoint = NULL;

  fake_kv_put (gwf_kv, key, text);
  g_free (text);
  while (tm_now_us (gwf_gw.tm) - start_us < WAIT_US)
    {
      endpoint = flt_find (gwf_gw.fleet, id);
      if (endpoint != NULL && endpoint->entry.started_ms == started_ms)
        return true;
      uv_run (gwf_gw.loop, UV_RUN_ONCE);
    }
  return false;
}

static void
check_invalid (const char *text, const char *name)
{
  static const struct flt_grace none = { 0, 0 };

  fake_kv_put (gwf_kv, ODD_KEY, text);
  if (!follows ("servers/sound", ++born)
      || flt_find (gwf_gw.fleet, "odd") != NULL)
    {
      printf ("\nentry %s\n", name);
      CU_FAIL ("entry");
    }
  flt_remove_entry (gwf_gw.fleet, "odd", 0, &none);
  flt_sweep (gwf_gw.fleet);
}

/* Guards against an instance that ends, or stops following the engines, after
   an entry of another writer, and against the use of such an entry.  */
static void
test_invalid_entries (void)
{
  char *nested = g_strnfill (NESTED_BYTES, '[');
  char *large = g_strnfill (LARGE_BYTES, 'x');
  char *text;

  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_entries); i++)
    check_invalid (invalid_entries[i], invalid_entries[i]);
  check_invalid (nested, "deeply nested");
  text = g_strdup_printf (ENTRY (VALID_ADDRESS, "ready", ",\"x\":%s"), nested);
  check_invalid (text, "with a deeply nested field");
  g_free (text);
  check_invalid (large, "1 MiB");
  text = g_strdup_printf (ENTRY (VALID_ADDRESS, "%s", ""), large);
  check_invalid (text, "state of 1 MiB");
  g_free (text);
  g_free (large);
  g_free (nested);
}

/* Guards against the use of an endpoint whose entry has become invalid, which
   instances that read the list do not know, and against its loss when the
   entry is valid again.  */
static void
test_overwritten_entry (void)
{
  const struct flt_endpoint *endpoint;

  gwf_start ();
  CU_ASSERT_TRUE (follows ("servers/changed", ++born));
  fake_kv_put (gwf_kv, "servers/changed", ENTRY (VALID_ADDRESS, "asleep", ""));
  CU_ASSERT_TRUE (follows ("servers/sound", ++born));
  endpoint = flt_find (gwf_gw.fleet, "changed");
  CU_ASSERT_TRUE (endpoint == NULL || !endpoint->listed);
  CU_ASSERT_TRUE (follows ("servers/changed", ++born));
  endpoint = flt_find (gwf_gw.fleet, "changed");
  CU_ASSERT_TRUE (endpoint != NULL && endpoint->listed);
}

/* Guards against an id that adds a field to the heads of requests, or makes
   messages between instances invalid.  */
static void
test_odd_ids (void)
{
  char *text = g_strnfill (ID_CHARS, 'x');
  char *large = g_strconcat ("servers/", text, NULL);
  const char *const keys[] = { "servers/",
                               "servers/a b",
                               "servers/a\r\nX-Field: 1",
                               "servers/a\x7f",
                               "servers/\xff\xfe",
                               "servers/\xc3\xa9",
                               large };

  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      fake_kv_put (gwf_kv, keys[i], ENTRY (VALID_ADDRESS, "ready", ""));
      CU_ASSERT_TRUE (follows ("servers/sound", ++born));
      CU_ASSERT_PTR_NULL (
          flt_find (gwf_gw.fleet, keys[i] + strlen ("servers/")));
    }
  g_free (large);
  g_free (text);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "invalid entries", test_invalid_entries },
          { "overwritten entry", test_overwritten_entry },
          { "odd ids", test_odd_ids },
          { NULL, NULL } };

  return unit_main ("odd entries", tests);
}
