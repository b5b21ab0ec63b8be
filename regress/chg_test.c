#include <string.h>

#include <glib.h>

#include "chg.h"
#include "fake_kv.h"
#include "unit.h"

#define SEEDS 200

/* Two operators change the same generation; what each is told.  */
struct race
{
  struct tm_service *tm;
  struct fake_kv *fake;
  struct kv_store kv;
};

struct told
{
  uint32_t count;
  enum chg_outcome outcome;
  uint64_t generation;
};

static void
changed (void *arg, enum chg_outcome outcome, const struct chg_record *record)
{
  struct told *told = arg;

  told->count++;
  told->outcome = outcome;
  told->generation = record == NULL ? 0 : record->generation;
}

static void
race_open (struct race *race)
{
  race->tm = tm_new (0);
  race->fake = fake_kv_new (race->tm, 1000);
  race->kv = fake_kv_store (race->fake);
}

static void
race_close (struct race *race)
{
  fake_kv_free (race->fake);
  tm_free (race->tm);
}

static void
apply (struct race *race, const char *id, uint64_t base, struct told *told)
{
  struct chg_change change = { .environment = "e",
                               .base = base,
                               .digest = id,
                               .author = id,
                               .comment = "",
                               .change_id = id,
                               .time_ms = 1,
                               .text = id };

  chg_apply (&race->kv, race->tm, &change, changed, told);
}

static struct chg_record *
stored (const struct race *race)
{
  const char *value = fake_kv_value (race->fake, "cowslip/e/document");

  return value == NULL ? NULL : chg_record_parse (value, strlen (value));
}

/* Guards against an operator who is told a false outcome for each fault of the
   service.  */
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
                { FAKE_KV_ANSWER_LOST, 3, CHG_ACCEPTED },
                { FAKE_KV_REQUEST_LOST, 3, CHG_ACCEPTED },
                { FAKE_KV_LATE, 3, CHG_ACCEPTED },
                { FAKE_KV_SLOW, 100, CHG_ACCEPTED } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct race race;
      struct told told = { 0 };
      struct chg_record *record;

      race_open (&race);
      apply (&race, "one", 0, &told);
      /* The fault meets the write: the first read is on its way already.  */
      fake_kv_fault_next (race.fake, cases[i].fault, cases[i].count);
      tm_advance (race.tm, 60000000);
      record = stored (&race);
      CU_ASSERT_EQUAL (told.count, 1);
      CU_ASSERT_EQUAL (told.outcome, cases[i].outcome);
      CU_ASSERT_EQUAL (record != NULL, told.outcome == CHG_ACCEPTED);
      chg_record_free (record);
      race_close (&race);
    }
}

static void
random_fault (struct race *race, GRand *random)
{
  static const enum fake_kv_fault faults[]
      = { FAKE_KV_NONE,         FAKE_KV_UNAVAILABLE, FAKE_KV_ANSWER_LOST,
          FAKE_KV_REQUEST_LOST, FAKE_KV_LATE,        FAKE_KV_SLOW };
  int which = g_rand_int_range (random, 0, G_N_ELEMENTS (faults));

  fake_kv_fault_next (race->fake, faults[which],
                      (uint32_t)g_rand_int_range (random, 1, 4));
}

static void
check_race (const struct race *race, const struct told *a,
            const struct told *b, uint32_t seed)
{
  struct chg_record *record = stored (race);
  bool good = a->count == 1 && b->count == 1;

  /* One generation has one author: both accepted would be a lost change.  */
  good &= !(a->outcome == CHG_ACCEPTED && b->outcome == CHG_ACCEPTED);
  if (a->outcome == CHG_ACCEPTED)
    good &= record != NULL && strcmp (record->author, "a") == 0;
  if (b->outcome == CHG_ACCEPTED)
    good &= record != NULL && strcmp (record->author, "b") == 0;
  if (a->outcome == CHG_UNAVAILABLE)
    good &= record == NULL || strcmp (record->author, "a") != 0;
  if (b->outcome == CHG_UNAVAILABLE)
    good &= record == NULL || strcmp (record->author, "b") != 0;
  good &= record == NULL || record->generation == 1;
  if (!good)
    printf ("seed %u: a %d, b %d, stored %s\n", seed, a->outcome, b->outcome,
            record == NULL ? "nothing" : record->author);
  CU_ASSERT_TRUE (good);
  chg_record_free (record);
}

/* Guards against two operators who both win, and against a loser or winner
   who is told the opposite, under random faults.  */
static void
test_races (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct race race;
      struct told a = { 0 };
      struct told b = { 0 };

      race_open (&race);
      apply (&race, "a", 0, &a);
      random_fault (&race, random);
      tm_advance (race.tm, (uint64_t)g_rand_int_range (random, 0, 4000000));
      apply (&race, "b", 0, &b);
      random_fault (&race, random);
      tm_advance (race.tm, 120000000);
      check_race (&race, &a, &b, seed);
      race_close (&race);
      g_rand_free (random);
    }
}

/* Guards against a change on top of a lost answer that hides whether the first
   one took effect.  */
static void
test_superseded (void)
{
  struct race race;
  struct told a = { 0 };
  struct told b = { 0 };

  race_open (&race);
  apply (&race, "a", 0, &a);
  /* The read of the document passes, then the answer to the write is lost.  */
  fake_kv_fault_next (race.fake, FAKE_KV_ANSWER_LOST, 1);
  tm_advance (race.tm, 500000);
  apply (&race, "b", 1, &b);
  tm_advance (race.tm, 60000000);
  CU_ASSERT_EQUAL (a.outcome, CHG_ACCEPTED);
  CU_ASSERT_EQUAL (a.generation, 1);
  CU_ASSERT_EQUAL (b.outcome, CHG_ACCEPTED);
  CU_ASSERT_EQUAL (b.generation, 2);
  race_close (&race);
}

static struct pch_patch *
stored_patch (const struct race *race, uint64_t generation)
{
  char *key = chg_history_key ("e", generation);
  const char *value = fake_kv_value (race->fake, key);
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

/* Guards against a history entry whose patch is missing, does not lead from
   the generation before, or is too long for the watchers.  */
static void
test_patch (void)
{
  struct race race;
  struct told told = { 0 };
  char *longer = g_strnfill (CHG_PATCH_MAX_BYTES, 'x');
  struct pch_patch *patch;
  size_t bytes = 0;
  char *text;

  race_open (&race);
  apply (&race, "first text", 0, &told);
  tm_advance (race.tm, 10000000);
  apply (&race, "second text", 1, &told);
  tm_advance (race.tm, 20000000);
  apply (&race, longer, 2, &told);
  tm_advance (race.tm, 30000000);
  CU_ASSERT_EQUAL (told.generation, 3);
  CU_ASSERT_PTR_NULL (stored_patch (&race, 1));
  CU_ASSERT_PTR_NULL (stored_patch (&race, 3));
  patch = stored_patch (&race, 2);
  CU_ASSERT_PTR_NOT_NULL_FATAL (patch);
  text = pch_apply (patch, "first text", strlen ("first text"), &bytes);
  CU_ASSERT_STRING_EQUAL (text, "second text");
  pch_free (patch);
  g_free (text);
  g_free (longer);
  race_close (&race);
}

/* Guards against a history that grows until it can no longer be read.  */
static void
test_history_bound (void)
{
  struct race race;

  race_open (&race);
  for (uint32_t i = 0; i < CHG_HISTORY_MAX_ENTRIES + 5; i++)
    {
      struct told told = { 0 };
      char id[16];

      g_snprintf (id, sizeof id, "c%u", i);
      apply (&race, id, i, &told);
      tm_advance (race.tm, tm_now_us (race.tm) + 1000000);
      CU_ASSERT_EQUAL (told.outcome, CHG_ACCEPTED);
    }
  CU_ASSERT_EQUAL (fake_kv_count (race.fake, "cowslip/e/history/"),
                   CHG_HISTORY_MAX_ENTRIES);
  race_close (&race);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "outcome under each fault", test_faults },
          { "racing operators", test_races },
          { "superseded after a lost answer", test_superseded },
          { "patch in the history", test_patch },
          { "bounded history", test_history_bound },
          { NULL, NULL } };

  return unit_main ("chg", tests);
}
