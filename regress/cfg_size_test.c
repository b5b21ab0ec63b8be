#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "cfg_zone.h"
#include "chg.h"
#include "env.h"
#include "target.h"
#include "unit.h"

#define CHANGES            40
#define CHANGE_US          5400000 /* 16,000 changes a day */
#define BUDGET_BYTES_PER_S 29000
#define TIMES              20

/* What CHANGES changes cost a zone.  */
struct cost
{
  uint64_t watcher_bytes; /* sent by the watcher that sent more */
  uint64_t other_bytes;   /* sent by the other instance that sent most */
  /* As base64, in which the service sends values to each watcher.  */
  uint64_t entry_bytes;  /* history entries */
  uint64_t record_bytes; /* whole documents */
};

static size_t
base64_bytes (const struct cfg_zone *zone, const char *key)
{
  return (strlen (fake_kv_value (zone->fake, key)) + 2) / 3 * 4;
}

static struct cost
run_zone (bool patches, bool prefer)
{
  struct target *target = g_new0 (struct target, 1);
  struct cost cost = { 0 };
  char *text = target_text (target);
  struct cfg_zone zone;

  cfg_zone_open (&zone, CFG_ZONE_NODES_MAX, prefer);
  cfg_zone_change (&zone, text);
  cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
  for (uint32_t i = 0; i < zone.count; i++)
    zone.nodes[i].sent_bytes = 0;
  for (uint32_t step = 0; step < CHANGES; step++)
    {
      char *key = chg_history_key ("e", step + 2);

      g_free (text);
      target_change (target, step);
      text = target_text (target);
      zone.whole = !patches;
      cfg_zone_change (&zone, text);
      cost.entry_bytes += base64_bytes (&zone, key);
      cost.record_bytes += base64_bytes (&zone, "cowslip/e/document");
      cfg_zone_pass (&zone, CHANGE_US - CFG_ZONE_CHANGE_US);
      CU_ASSERT_TRUE (cfg_zone_all_have (&zone, text));
      g_free (key);
    }
  for (uint32_t i = 0; i < zone.count; i++)
    {
      uint64_t *most
          = i < CFG_ZONE_WATCHERS ? &cost.watcher_bytes : &cost.other_bytes;

      *most = MAX (*most, zone.nodes[i].sent_bytes);
    }
  CU_ASSERT_EQUAL (zone.asking_max, 1);
  CU_ASSERT_EQUAL (zone.refused, 0);
  cfg_zone_close (&zone);
  g_free (text);
  g_free (target);
  return cost;
}

static void
print_cost (const char *name, const struct cost *cost)
{
  double seconds = CHANGES * (CHANGE_US / 1e6);

  printf ("%s: watcher sends %.0f B/change %.0f B/s, other instance %.0f "
          "B/change %.0f B/s; watch event %" PRIu64 " B, whole record %" PRIu64
          " B\n",
          name, (double)cost->watcher_bytes / CHANGES,
          (double)cost->watcher_bytes / seconds,
          (double)cost->other_bytes / CHANGES,
          (double)cost->other_bytes / seconds, cost->entry_bytes / CHANGES,
          cost->record_bytes / CHANGES);
}

/* Guards against changes at the target rate that cost an instance more than
   its share of 29 KB/s, that reach an instance late, and against two watchers
   that serve their whole zone.  */
static void
test_zone (void)
{
  struct cost whole = run_zone (false, false);
  struct cost patched = run_zone (true, false);
  struct cost spread = run_zone (true, true);
  double seconds = CHANGES * (CHANGE_US / 1e6);

  printf ("\n");
  print_cost ("whole documents", &whole);
  print_cost ("patches", &patched);
  print_cost ("patches, other peers preferred", &spread);
  CU_ASSERT_TRUE ((double)spread.watcher_bytes / seconds < BUDGET_BYTES_PER_S);
  CU_ASSERT_TRUE ((double)spread.other_bytes / seconds < BUDGET_BYTES_PER_S);
  CU_ASSERT_TRUE (spread.watcher_bytes < patched.watcher_bytes);
  CU_ASSERT_TRUE (patched.watcher_bytes * 20 < whole.watcher_bytes);
}

static double
now_ms (void)
{
  return (double)g_get_monotonic_time () / 1000;
}

/* Measures what a change costs an instance in time, and guards against a text
   of the target size that the document's parser refuses or whose digest is
   another than the patch's.  */
static void
test_times (void)
{
  struct target *target = g_new0 (struct target, 1);
  char *base = target_text (target);
  char *text;
  double start_ms;
  double diff_ms = 0;
  double apply_ms = 0;
  double parse_ms = 0;

  for (uint32_t i = 0; i < TIMES; i++)
    {
      struct env_document *document;
      struct pch_patch *patch;
      size_t bytes = 0;
      char *result;

      target_change (target, i);
      text = target_text (target);
      start_ms = now_ms ();
      patch = pch_diff (base, strlen (base), text, strlen (text));
      diff_ms += now_ms () - start_ms;
      start_ms = now_ms ();
      result = pch_apply (patch, base, strlen (base), &bytes);
      apply_ms += now_ms () - start_ms;
      start_ms = now_ms ();
      document = env_parse_for (result, bytes, "e", NULL);
      parse_ms += now_ms () - start_ms;
      CU_ASSERT_PTR_NOT_NULL_FATAL (document);
      CU_ASSERT_STRING_EQUAL (env_digest (document), patch->digest);
      env_unref (document);
      pch_free (patch);
      g_free (result);
      g_free (base);
      base = text;
    }
  printf ("mean of %d: diff %.2f ms, apply %.3f ms, parse %.2f ms\n", TIMES,
          diff_ms / TIMES, apply_ms / TIMES, parse_ms / TIMES);
  g_free (base);
  g_free (target);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "zone of the target size", test_zone },
          { "times", test_times },
          { NULL, NULL } };

  return unit_main ("cfg_size", tests);
}
