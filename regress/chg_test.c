#include <string.h>

#include <glib.h>

#include "chg.h"
#include "fake_kv.h"
#include "unit.h"

#define SEEDS 200

struct fixture
{
  struct tm_service *tm;
  struct fake_kv *fake;
  struct kv_store kv;
};

/* Outcomes that were reported to one operator.  */
struct result
{
  uint32_t count;
  enum chg_outcome outcome;
  uint64_t generation;
};

static void
on_changed (void *arg, enum chg_outcome outcome,
            const struct chg_record *record)
{
  struct result *result = arg;

  result->count++;
  result->outcome = outcome;
  result->generation = record == NULL ? 0 : record->generation;
}

static void
fixture_open (struct fixture *fixture)
{
  fixture->tm = tm_new (0);
  fixture->fake = fake_kv_new (fixture->tm, 1000);
  fixture->kv = fake_kv_store (fixture->fake);
}

static void
fixture_close (struct fixture *fixture)
{
  fake_kv_free (fixture->fake);
  tm_free (fixture->tm);
}

static void
apply (struct fixture *fixture, const char *id, uint64_t base,
       struct result *result)
{
  struct chg_change change = { .environment = "e",
                               .base = base,
                               .digest = id,
                               .author = id,
                               .comment = "",
                               .change_id = id,
                               .time_ms = 1,
                               .text = id };

  chg_apply (&fixture->kv, fixture->tm, &change, on_changed, result);
}

static struct chg_record *
stored_record (const struct fixture *fixture)
{
  const char *value = fake_kv_value (fixture->fake, "cowslip/e/document");

  return value == NULL ? NULL : chg_record_parse (value, strlen (value));
}

/* Guards against reporting a wrong outcome to an operator when the key-value
   service fails.  */
static void
test_faults (void)
{
  static const struct
  {
    enum fake_kv_fault fault;
    uint32_t count;
    enum chg_outcome outcome;
  } cases[] = { { FAKE_KV_NONE, 0, CHG_ACCEPTED },
                { FAKE_KV_UNAVAILABLE, 1, CHG_ACCEPTED },
                { FAKE_KV_UNAVAILABLE, 100, CHG_UNAVAILABLE },
                { FAKE_KV_REPLY_LOST, 3, CHG_ACCEPTED },
                { FAKE_KV_REQUEST_LOST, 3, CHG_ACCEPTED },
                { FAKE_KV_EFFECT_DELAYED, 3, CHG_ACCEPTED },
                { FAKE_KV_SLOW, 100, CHG_ACCEPTED } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      struct result result = { 0 };
      struct chg_record *record;

      fixture_open (&fixture);
      apply (&fixture, "one", 0, &result);
      /* The first read is already pending, so the fault affects the write.  */
      fake_kv_inject_faults (fixture.fake, cases[i].fault, cases[i].count);
      tm_advance (fixture.tm, 60000000);
      record = stored_record (&fixture);
      CU_ASSERT_EQUAL (result.count, 1);
      CU_ASSERT_EQUAL (result.outcome, cases[i].outcome);
      CU_ASSERT_EQUAL (record != NULL, result.outcome == CHG_ACCEPTED);
      chg_record_free (record);
      fixture_close (&fixture);
    }
}

static void
inject_random_fault (struct fixture *fixture, GRand *random)
{
  static const enum fake_kv_fault faults[]
      = { FAKE_KV_NONE,         FAKE_KV_UNAVAILABLE,    FAKE_KV_REPLY_LOST,
          FAKE_KV_REQUEST_LOST, FAKE_KV_EFFECT_DELAYED, FAKE_KV_SLOW };
  int index = g_rand_int_range (random, 0, G_N_ELEMENTS (faults));

  fake_kv_inject_faults (fixture->fake, faults[index],
                         (uint32_t)g_rand_int_range (random, 1, 4));
}

static void
check_outcomes (const struct fixture *fixture, const struct result *a,
                const struct result *b, uint32_t seed)
{
  struct chg_record *record = stored_record (fixture);
  bool consistent = a->count == 1 && b->count == 1;

  /* Accepting both changes for generation 1 would lose one of them.  */
  consistent &= !(a->outcome == CHG_ACCEPTED && b->outcome == CHG_ACCEPTED);
  if (a->outcome == CHG_ACCEPTED)
    consistent &= record != NULL && strcmp (record->author, "a") == 0;
  if (b->outcome == CHG_ACCEPTED)
    consistent &= record != NULL && strcmp (record->author, "b") == 0;
  if (a->outcome == CHG_UNAVAILABLE)
    consistent &= record == NULL || strcmp (record->author, "a") != 0;
  if (b->outcome == CHG_UNAVAILABLE)
    consistent &= record == NULL || strcmp (record->author, "b") != 0;
  consistent &= record == NULL || record->generation == 1;
  if (!consistent)
    printf ("seed %u: a %d, b %d, stored %s\n", seed, a->outcome, b->outcome,
            record == NULL ? "nothing" : record->author);
  CU_ASSERT_TRUE (consistent);
  chg_record_free (record);
}

/* Guards against accepting two concurrent changes of the same generation, and
   against reporting a wrong outcome for either, under random faults.  */
static void
test_races (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct fixture fixture;
      struct result a = { 0 };
      struct result b = { 0 };

      fixture_open (&fixture);
      apply (&fixture, "a", 0, &a);
      inject_random_fault (&fixture, random);
      tm_advance (fixture.tm, (uint64_t)g_rand_int_range (random, 0, 4000000));
      apply (&fixture, "b", 0, &b);
      inject_random_fault (&fixture, random);
      tm_advance (fixture.tm, 120000000);
      check_outcomes (&fixture, &a, &b, seed);
      fixture_close (&fixture);
      g_rand_free (random);
    }
}

/* Guards against an unknown outcome of a change whose reply was lost and which
   the next change has already replaced.  */
static void
test_superseded (void)
{
  struct fixture fixture;
  struct result a = { 0 };
  struct result b = { 0 };

  fixture_open (&fixture);
  apply (&fixture, "a", 0, &a);
  /* The read of the document succeeds; the reply to the write is lost.  */
  fake_kv_inject_faults (fixture.fake, FAKE_KV_REPLY_LOST, 1);
  tm_advance (fixture.tm, 500000);
  apply (&fixture, "b", 1, &b);
  tm_advance (fixture.tm, 60000000);
  CU_ASSERT_EQUAL (a.outcome, CHG_ACCEPTED);
  CU_ASSERT_EQUAL (a.generation, 1);
  CU_ASSERT_EQUAL (b.outcome, CHG_ACCEPTED);
  CU_ASSERT_EQUAL (b.generation, 2);
  fixture_close (&fixture);
}

static struct pch_patch *
stored_patch (const struct fixture *fixture, uint64_t generation)
{
  char *key = chg_history_key ("e", generation);
  const char *value = fake_kv_value (fixture->fake, key);
  struct chg_record *entry
      = value == NULL ? NULL : chg_record_parse (value, strlen (value));
  struct pch_patch *patch = NULL;

  CU_ASSERT_PTR_NOT_NULL (entry);
  if (entry != NULL)
    patch = g_steal_pointer (&entry->patch);
  chg_record_free (entry);
  g_free (key);
  return patch;
}

/* Guards against a history entry whose patch is missing, does not apply to the
   previous generation, or exceeds the size limit.  */
static void
test_patch (void)
{
  struct fixture fixture;
  struct result result = { 0 };
  char *longer = g_strnfill (CHG_PATCH_MAX_BYTES, 'x');
  struct pch_patch *patch;
  size_t bytes = 0;
  char *text;

  fixture_open (&fixture);
  apply (&fixture, "first text", 0, &result);
  tm_advance (fixture.tm, 10000000);
  apply (&fixture, "second text", 1, &result);
  tm_advance (fixture.tm, 20000000);
  apply (&fixture, longer, 2, &result);
  tm_advance (fixture.tm, 30000000);
  CU_ASSERT_EQUAL (result.generation, 3);
  CU_ASSERT_PTR_NULL (stored_patch (&fixture, 1));
  CU_ASSERT_PTR_NULL (stored_patch (&fixture, 3));
  patch = stored_patch (&fixture, 2);
  CU_ASSERT_PTR_NOT_NULL_FATAL (patch);
  text = pch_apply (patch, "first text", strlen ("first text"), &bytes);
  CU_ASSERT_STRING_EQUAL (text, "second text");
  pch_free (patch);
  g_free (text);
  g_free (longer);
  fixture_close (&fixture);
}

/* Guards against unbounded growth of the history.  */
static void
test_history_bound (void)
{
  struct fixture fixture;

  fixture_open (&fixture);
  for (uint32_t i = 0; i < CHG_HISTORY_MAX_ENTRIES + 5; i++)
    {
      struct result result = { 0 };
      char id[16];

      g_snprintf (id, sizeof id, "c%u", i);
      apply (&fixture, id, i, &result);
      tm_advance (fixture.tm, tm_now_us (fixture.tm) + 1000000);
      CU_ASSERT_EQUAL (result.outcome, CHG_ACCEPTED);
    }
  CU_ASSERT_EQUAL (fake_kv_count (fixture.fake, "cowslip/e/history/"),
                   CHG_HISTORY_MAX_ENTRIES);
  fixture_close (&fixture);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "outcome under each fault", test_faults },
          { "racing operators", test_races },
          { "superseded after a lost reply", test_superseded },
          { "patch in the history", test_patch },
          { "bounded history", test_history_bound },
          { NULL, NULL } };

  return unit_main ("chg", tests);
}
