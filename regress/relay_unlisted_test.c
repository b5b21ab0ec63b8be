#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Guards against an instance that keeps an old configuration because it does
   not know yet that the source of its group is a member: after a cut, members
   register again one after the other.  */

#define NEXT_VERSION 2

/* Return the configuration of the fixture with the next version.  */
static GString *
next_config (void)
{
  static const char version[] = "\"Version\":1";
  GString *text = g_string_new (gwf_config_text);

  CU_ASSERT_EQUAL (g_string_replace (text, version, "\"Version\":2", 1), 1);
  return text;
}

static void
test_unlisted_source (void)
{
  struct rpc_origin origin = { .instance = "i9", .incarnation = 1 };
  GString *text;
  cs_relay_change change = { 0 };
  cs_relay_stream stream = { 0 };
  cs_relay batch = { 0 };

  gwf_start ();
  text = next_config ();
  change.key = (char *)gwf_gw.protocol->keys.config;
  change.kind = RLY_PUT;
  change.revision = INT32_MAX;
  change.value.value_val = text->str;
  change.value.value_len = (u_int)text->len;
  stream.prefix = change.key;
  stream.revision = change.revision;
  stream.changes.changes_val = &change;
  stream.changes.changes_len = 1;
  batch.streams.streams_val = &stream;
  batch.streams.streams_len = 1;
  CU_ASSERT_PTR_NULL (ldr_find_member (gwf_gw.ldr, origin.instance));
  gw_relay_handle (&gwf_gw, &origin, &batch);
  CU_ASSERT_EQUAL (gwf_gw.config->version, NEXT_VERSION);
  g_string_free (text, TRUE);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "source that is not listed", test_unlisted_source },
          { NULL, NULL } };

  return unit_main ("relay_unlisted", tests);
}
