#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that an instance survives entries, reports and configurations that
   another program wrote, and goes on following the store.  */

#define LARGE_BYTES  (1U << 20)
#define NESTED_BYTES 100000
#define CALLS        5
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

/* Guards against an endpoint whose address the kernel rejects: requests must
   reach the others.  */
static void
test_rejected_address (void)
{
  static const struct wire_script script
      = { GWF_RESPONSE_B, WIRE_KEEP, false };

  gwf_start ();
  gwf_set_script (0, &script);
  fake_kv_put (gwf_kv, ODD_KEY, ENTRY ("224.0.0.1:80", "ready", ""));
  while (flt_find (gwf_gw.fleet, "odd") == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  for (int i = 0; i < CALLS; i++)
    {
      char *bytes = gwf_request_text ("once");
      struct wire_caller *caller;

      /* The endpoint in question has the least load.  */
      for (guint e = 0; e < flt_all (gwf_gw.fleet)->len; e++)
        if (g_ptr_array_index (flt_all (gwf_gw.fleet), e)
            != flt_find (gwf_gw.fleet, "odd"))
          flt_set_load (gwf_gw.fleet,
                        g_ptr_array_index (flt_all (gwf_gw.fleet), e), 4, 0,
                        100);
      caller = gwf_call (bytes, 1);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
      gwf_end_call (caller);
      g_free (bytes);
    }
  CU_ASSERT_TRUE (flt_find (gwf_gw.fleet, "odd")->failures > 0);
}

/* Guards against an instance that ends, or gives up a valid configuration,
   after an invalid one, and against one that no longer follows changes.  */
static void
test_invalid_configurations (void)
{
  static const char *const texts[]
      = { "",
          "null",
          "[]",
          "{}",
          "{\"Version\":7}",
          "{\"Version\":1e300,\"Routes\":[],\"Services\":[]}",
          "{\"Version\":7,\"Routes\":[null],\"Services\":[null]}",
          "\xff" };
  char *nested = g_strnfill (NESTED_BYTES, '[');
  char **parts = g_strsplit (gwf_config_text, "\"Version\":1,", 2);
  char *text = g_strjoinv ("\"Version\":2,", parts);
  uint64_t start_us;

  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      fake_kv_put (gwf_kv, "op/config", texts[i]);
      CU_ASSERT_TRUE (follows ("servers/sound", ++born));
      CU_ASSERT_EQUAL (gwf_gw.config->version, 1);
    }
  fake_kv_put (gwf_kv, "op/config", nested);
  fake_kv_put (gwf_kv, "op/config", text);
  start_us = tm_now_us (gwf_gw.tm);
  while (gwf_gw.config->version == 1
         && tm_now_us (gwf_gw.tm) - start_us < WAIT_US)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (gwf_gw.config->version, 2);
  g_free (text);
  g_strfreev (parts);
  g_free (nested);
}

/* Guards against an instance that ends because of an invalid record among
   those of the system itself.  */
static void
test_invalid_records (void)
{
  static const char *const keys[]
      = { "cowslip/members/odd", "cowslip/term",
          "cowslip/strength",    "cowslip/peer-key",
          "cowslip/odd",         "cowslip/blocked/00000000000000ff",
          "cowslip/blocked/odd", "cowslip/leader" };
  static const char *const values[]
      = { "",
          "null",
          "[]",
          "{}",
          "{\"instance\":null,\"crashes\":null}",
          "{\"instance\":\"x\",\"zone\":\"z\",\"address\":\"x\","
          "\"incarnation\":1e300,\"cpu_percent\":-1}",
          "{\"instance\":\"x\",\"zone\":\"z\",\"address\":\"x\","
          "\"incarnation\":1,\"cpu_percent\":4294967295}",
          "{\"crashes\":[null,5,{\"crash\":\"x\",\"time_ms\":-1}]}",
          "{\"crashes\":[{\"crash\":\"1\",\"place\":\"2\",\"request\":\"3\","
          "\"time_ms\":18446744073709551615}]}",
          "\xff\xfe" };

  gwf_start ();
  for (size_t k = 0; k < G_N_ELEMENTS (keys); k++)
    for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
      {
        fake_kv_put (gwf_kv, keys[k], values[i]);
        if (!follows ("servers/sound", ++born))
          {
            printf ("\n%s: %s\n", keys[k], values[i]);
            CU_FAIL ("record");
          }
      }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "invalid entries", test_invalid_entries },
          { "overwritten entry", test_overwritten_entry },
          { "odd ids", test_odd_ids },
          { "rejected address", test_rejected_address },
          { "invalid configurations", test_invalid_configurations },
          { "invalid records", test_invalid_records },
          { NULL, NULL } };

  return unit_main ("odd entries", tests);
}
