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
#define CHANGE_INTERVAL_US 5400000 /* 16,000 changes per day */
#define BUDGET_BYTES_PER_S 29000
#define TIMED_CHANGES      20

/* Traffic in a zone that CHANGES changes cause.  */
struct traffic
{
  uint64_t watcher_bytes; /* sent by the busier watcher */
  uint64_t other_bytes;   /* sent by the busiest other instance */
  /* Sizes in base64, in which the service sends values to each watcher.  */
  uint64_t entry_bytes;  /* history entries */
  uint64_t record_bytes; /* whole documents */
};

static size_t
base64_bytes (const struct cfg_zone *zone, const char *key)
{
  return (strlen (fake_kv_value (zone->fake, key)) + 2) / 3 * 4;
}

static struct traffic
measure_zone (bool patches, bool prefer)
{
  struct target *target = g_new0 (struct target, 1);
  struct traffic traffic = { 0 };
  char *text = target_text (target);
  struct cfg_zone zone;

  cfg_zone_open (&zone, CFG_ZONE_NODES_MAX, prefer);
  cfg_zone_change (&zone, text);
  cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
  for (uint32_t i = 0; i < zone.count; i++)
    zone.nodes[i].sent_bytes = 0;
  for (uint32_t step = 0; step < CHANGES; step++)
    {
      char *key = chg_history_key ("e", step + 2);

      g_free (text);
      target_change (target, step);
      text = target_text (target);
      zone.full_documents = !patches;
      cfg_zone_change (&zone, text);
      traffic.entry_bytes += base64_bytes (&zone, key);
      traffic.record_bytes += base64_bytes (&zone, "cowslip/e/document");
      cfg_zone_run (&zone, CHANGE_INTERVAL_US - CFG_ZONE_CHANGE_US);
      CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, text));
      g_free (key);
    }
  for (uint32_t i = 0; i < zone.count; i++)
    {
      uint64_t *max_bytes = i < CFG_ZONE_WATCHERS ? &traffic.watcher_bytes
                                                  : &traffic.other_bytes;

      *max_bytes = MAX (*max_bytes, zone.nodes[i].sent_bytes);
    }
  CU_ASSERT_EQUAL (zone.fetches_in_flight_max, 1);
  CU_ASSERT_EQUAL (zone.refused, 0);
  cfg_zone_close (&zone);
  g_free (text);
  g_free (target);
  return traffic;
}

static void
print_traffic (const char *name, const struct traffic *traffic)
{
  double seconds = CHANGES * (CHANGE_INTERVAL_US / 1e6);

  printf ("%s: watcher sends %.0f B/change %.0f B/s, other instance %.0f "
          "B/change %.0f B/s; watch event %" PRIu64 " B, whole record %" PRIu64
          " B\n",
          name, (double)traffic->watcher_bytes / CHANGES,
          (double)traffic->watcher_bytes / seconds,
          (double)traffic->other_bytes / CHANGES,
          (double)traffic->other_bytes / seconds,
          traffic->entry_bytes / CHANGES, traffic->record_bytes / CHANGES);
}

/* Guards against an instance that sends more than its budget of 29 KB/s at the
   maximum rate of changes, against slow propagation, and against the two
   watchers serving their whole zone.  */
static void
test_zone (void)
{
  struct traffic full_documents = measure_zone (false, false);
  struct traffic patched = measure_zone (true, false);
  struct traffic peers_preferred = measure_zone (true, true);
  double seconds = CHANGES * (CHANGE_INTERVAL_US / 1e6);

  printf ("\n");
  print_traffic ("whole documents", &full_documents);
  print_traffic ("patches", &patched);
  print_traffic ("patches, other peers preferred", &peers_preferred);
  CU_ASSERT_TRUE ((double)peers_preferred.watcher_bytes / seconds
                  < BUDGET_BYTES_PER_S);
  CU_ASSERT_TRUE ((double)peers_preferred.other_bytes / seconds
                  < BUDGET_BYTES_PER_S);
  CU_ASSERT_TRUE (peers_preferred.watcher_bytes < patched.watcher_bytes);
  CU_ASSERT_TRUE (patched.watcher_bytes * 20 < full_documents.watcher_bytes);
}

static double
now_ms (void)
{
  return (double)g_get_monotonic_time () / 1000;
}

/* Measures the processing time of a change.  Guards against a parser that
   refuses a document of the maximum size, and against a digest that differs
   from that of the patch.  */
static void
test_cpu_time (void)
{
  struct target *target = g_new0 (struct target, 1);
  char *base = target_text (target);
  char *text;
  double start_ms;
  double diff_ms = 0;
  double apply_ms = 0;
  double parse_ms = 0;

  for (uint32_t i = 0; i < TIMED_CHANGES; i++)
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
  printf ("mean of %d: diff %.2f ms, apply %.3f ms, parse %.2f ms\n",
          TIMED_CHANGES, diff_ms / TIMED_CHANGES, apply_ms / TIMED_CHANGES,
          parse_ms / TIMED_CHANGES);
  g_free (base);
  g_free (target);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "zone of the maximum size", test_zone },
          { "processing time", test_cpu_time },
          { NULL, NULL } };

  return unit_main ("cfg_size", tests);
}
