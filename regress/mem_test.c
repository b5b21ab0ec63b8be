#include <string.h>

#include <glib.h>

#include "mem.h"
#include "mem_record.h"
#include "unit.h"

#define MEMBERS 10
#define ENGINES 1000

static void
on_changed (void *arg)
{
  (void)arg;
}

static void
on_member (void *arg, const struct mem_member *member)
{
  (void)arg;
  (void)member;
}

static const struct mem_callbacks callbacks
    = { on_changed, on_member, on_member };

static struct mem_member
make_member (char *name, const char *zone, uint32_t number)
{
  struct mem_member member = { .instance = name,
                               .zone = (char *)zone,
                               .rpc_address = name,
                               .http_address = name,
                               .number = number,
                               .incarnation = number };

  return member;
}

static struct mem_table *
new_table (struct tm_service *tm, uint32_t count)
{
  struct mem_member self = make_member ((char *)"n1", "z", 1);
  struct mem_table *table = mem_table_new (tm, &self, &callbacks, NULL);

  for (uint32_t i = 2; i <= count; i++)
    {
      char name[8];
      struct mem_member other = make_member (name, "z", i);

      g_snprintf (name, sizeof name, "n%u", i);
      CU_ASSERT_TRUE (mem_receive_heartbeat (table, &other));
    }
  return table;
}

/* Guards against engines without a reader, against an uneven distribution of
   engines, and against reassigning engines of other members when one member
   leaves.  */
static void
test_readers (void)
{
  struct tm_service *tm = tm_new (1);
  struct mem_table *all = new_table (tm, MEMBERS);
  struct mem_table *fewer = new_table (tm, MEMBERS - 1);
  uint32_t share[MEMBERS + 1] = { 0 };

  for (uint32_t i = 0; i < ENGINES; i++)
    {
      char endpoint[32];
      const struct mem_member *before;
      const struct mem_member *after;

      g_snprintf (endpoint, sizeof endpoint, "127.0.0.1:%u", 7000 + i);
      before = mem_report_reader (all, endpoint);
      after = mem_report_reader (fewer, endpoint);
      share[before->number]++;
      if (before->number != MEMBERS)
        CU_ASSERT_EQUAL (before->number, after->number);
    }
  for (uint32_t i = 1; i <= MEMBERS; i++)
    CU_ASSERT_TRUE (share[i] > 60 && share[i] < 140);
  mem_table_free (all);
  mem_table_free (fewer);
  tm_free (tm);
}

/* Guards against duties for a draining or unreachable member, and against
   using a dead member as the contact of its zone for ever.  */
static void
test_duties (void)
{
  struct tm_service *tm = tm_new (1);
  struct mem_table *table = new_table (tm, 3);
  struct mem_member remote1 = make_member ((char *)"f1", "y", 11);
  struct mem_member remote2 = make_member ((char *)"f2", "y", 12);
  GPtrArray *records = g_ptr_array_new ();

  CU_ASSERT_TRUE (mem_is_among_lowest (table, 1));
  mem_set_self (table, 0, true);
  CU_ASSERT_STRING_EQUAL (mem_lowest (table)->instance, "n2");
  CU_ASSERT_STRING_NOT_EQUAL (mem_report_reader (table, "x")->instance, "n1");
  tm_advance (tm, 4000000);
  CU_ASSERT_STRING_EQUAL (mem_lowest (table)->instance, "n1");
  g_ptr_array_add (records, &remote1);
  g_ptr_array_add (records, &remote2);
  mem_apply_records (table, "y", records);
  CU_ASSERT_STRING_EQUAL (mem_zone_contact (table, "y")->instance, "f1");
  CU_ASSERT_STRING_EQUAL (mem_zone_contact (table, "y")->instance, "f2");
  CU_ASSERT_TRUE (mem_receive_heartbeat (table, &remote2));
  CU_ASSERT_STRING_EQUAL (mem_zone_contact (table, "y")->instance, "f2");
  CU_ASSERT_STRING_EQUAL (mem_zone_contact (table, "y")->instance, "f2");
  g_ptr_array_free (records, TRUE);
  mem_table_free (table);
  tm_free (tm);
}

/* Guards against partial use of a member record that another version or
   another program has written.  */
static void
test_records (void)
{
  static const char *const bad[] = {
    "",
    "[]",
    "7",
    "{",
    "{}",
    "{\"instance\":\"a\"}",
    "{\"instance\":\"a\",\"zone\":\"z\",\"rpc_address\":\"r\","
    "\"http_address\":\"h\",\"number\":0,\"incarnation\":\"1\"}",
    "{\"instance\":\"a\",\"zone\":\"z\",\"rpc_address\":\"r\","
    "\"http_address\":\"h\",\"number\":1,\"incarnation\":\"x\"}",
    "{\"instance\":7,\"zone\":\"z\",\"rpc_address\":\"r\","
    "\"http_address\":\"h\",\"number\":1,\"incarnation\":\"1\"}",
  };
  struct mem_member member = make_member ((char *)"n1", "z", 9);
  char *text = mem_record_format (&member);
  struct mem_member *copy = mem_record_parse (text, strlen (text));

  g_free (text);
  CU_ASSERT_PTR_NOT_NULL (copy);
  if (copy == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (copy->instance, "n1");
  CU_ASSERT_EQUAL (copy->number, 9);
  CU_ASSERT_EQUAL (copy->incarnation, 9);
  mem_member_free (copy);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    CU_ASSERT_PTR_NULL (mem_record_parse (bad[i], strlen (bad[i])));
}

int
main (void)
{
  static const struct unit_test tests[] = { { "readers", test_readers },
                                            { "duties", test_duties },
                                            { "records", test_records },
                                            { NULL, NULL } };

  return unit_main ("mem", tests);
}
