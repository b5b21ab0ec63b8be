#include <string.h>

#include <glib.h>

#include "cfg_zone.h"
#include "target.h"
#include "unit.h"

#define SLOW_ROUND_TRIP_US 3000000
#define CHOICE_ROUNDS      20
#define ENTRY              "cowslip/e/history/0000000002"

/* Guards against a watcher that installs a wrong text because of a corrupt,
   missing or mismatched history entry, or that does not catch up after one. */
static void
test_entries (void)
{
  static const struct
  {
    const char *found; /* text in the entry of the second change */
    const char *replacement;
    uint64_t reads; /* of the whole document */
    uint64_t generation;
  } cases[] = {
    { "{", "{", 0, 2 },
    { "\"two", "\"owt", 1, 2 },
    { "\"generation\":2", "\"generation\":3", 1, 2 },
    { "\"generation\":2", "\"generation\":1", 0, 1 },
    { "\"patch\":{", "\"hctap\":{", 1, 2 },
    { "\"base\":\"", "\"base\":\"0", 1, 2 },
    { "\"digest\":\"", "\"digest\":\"0", 1, 2 },
    { "{", "", 1, 2 },
  };
  struct cfg_zone source;

  cfg_zone_open (&source, 1, true);
  cfg_zone_change (&source, "one,one,one,one");
  cfg_zone_change (&source, "one,one,two,one");
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char **parts
          = g_strsplit (fake_kv_value (source.fake, ENTRY), cases[i].found, 2);
      char *damaged = g_strjoinv (cases[i].replacement, parts);
      struct cfg_zone zone;
      uint64_t calls;

      cfg_zone_open (&zone, 1, true);
      cfg_zone_change (&zone, "one,one,one,one");
      cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
      calls = fake_kv_call_count (zone.fake);
      fake_kv_put (zone.fake, "cowslip/e/document",
                   fake_kv_value (source.fake, "cowslip/e/document"));
      fake_kv_put (zone.fake, ENTRY, damaged);
      cfg_zone_run (&zone, CFG_ZONE_HEARTBEAT_US);
      CU_ASSERT_EQUAL (fake_kv_call_count (zone.fake) - calls, cases[i].reads);
      CU_ASSERT_EQUAL (cfg_generation (zone.nodes[0].cfg),
                       cases[i].generation);
      CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, cases[i].generation == 2
                                                        ? "one,one,two,one"
                                                        : "one,one,one,one"));
      /* Changes that only the poll detects are in force after it.  */
      cfg_zone_run (&zone, 60 * CFG_ZONE_HEARTBEAT_US);
      CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, "one,one,two,one"));
      cfg_zone_close (&zone);
      g_free (damaged);
      g_strfreev (parts);
    }
  cfg_zone_close (&source);
}

/* Guards against fetching the whole document after missing only a few changes,
   and against an instance that does not catch up after missing many.  */
static void
test_catch_up (void)
{
  static const uint32_t missed_changes[]
      = { 1, 5, CFG_CACHE_MAX_ENTRIES, CFG_CACHE_MAX_ENTRIES + 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (missed_changes); i++)
    {
      struct target *target = g_new0 (struct target, 1);
      struct cfg_zone zone;
      char *text = target_text (target);

      cfg_zone_open (&zone, 3, true);
      cfg_zone_change (&zone, text);
      cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
      cfg_zone_stop_heartbeats (&zone);
      for (uint32_t n = 0; n < zone.count; n++)
        zone.nodes[n].sent_bytes = 0;
      for (uint32_t n = 0; n < missed_changes[i]; n++)
        {
          g_free (text);
          target_change (target, n);
          text = target_text (target);
          cfg_zone_change (&zone, text);
        }
      cfg_zone_heartbeat (&zone.nodes[0]);
      cfg_zone_run (&zone, 5 * CFG_ZONE_HEARTBEAT_US);
      CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, text));
      CU_ASSERT_EQUAL (zone.nodes[0].sent_bytes + zone.nodes[1].sent_bytes
                           < strlen (text),
                       missed_changes[i] <= CFG_CACHE_MAX_ENTRIES);
      cfg_zone_close (&zone);
      g_free (text);
      g_free (target);
    }
}

/* Guards against an instance that does not catch up because the patches of its
   peers are damaged, and against concurrent fetches from slow peers.  */
static void
test_damaged_patches (void)
{
  char *text = g_strnfill (2000, 'x');
  struct cfg_zone zone;

  cfg_zone_open (&zone, 5, true);
  cfg_zone_change (&zone, text);
  cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
  zone.damaged = true;
  zone.round_trip_us = SLOW_ROUND_TRIP_US;
  text[1000] = 'y';
  cfg_zone_change (&zone, text);
  cfg_zone_run (&zone, 15 * CFG_ZONE_HEARTBEAT_US);
  CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, text));
  CU_ASSERT_EQUAL (zone.fetches_in_flight_max, 1);
  cfg_zone_close (&zone);
  g_free (text);
}

/* Guards against a poll that reads the document each time; that would use half
   of the receive budget of an instance.  */
static void
test_poll (void)
{
  struct target *target = g_new0 (struct target, 1);
  char *text = target_text (target);
  struct cfg_zone zone;

  cfg_zone_open (&zone, 3, true);
  cfg_zone_change (&zone, text);
  cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
  zone.read_bytes = 0;
  target_change (target, 0);
  g_free (text);
  text = target_text (target);
  cfg_zone_change (&zone, text);
  cfg_zone_run (&zone, 3600 * (uint64_t)CFG_ZONE_HEARTBEAT_US);
  CU_ASSERT_TRUE (cfg_zone_is_converged (&zone, text));
  CU_ASSERT_TRUE (zone.read_bytes < strlen (text));
  cfg_zone_close (&zone);
  g_free (text);
  g_free (target);
}

/* Guards against fetching from a watcher while another peer has the newest
   generation, and against fetching from a peer that does not have it.  */
static void
test_choice (void)
{
  struct cfg_zone zone;

  cfg_zone_open (&zone, 5, true);
  cfg_zone_change (&zone, "one");
  cfg_zone_run (&zone, 10 * CFG_ZONE_HEARTBEAT_US);
  cfg_zone_stop_heartbeats (&zone);
  for (uint64_t generation = 2; generation < 2 + 2 * (uint64_t)CHOICE_ROUNDS;
       generation++)
    {
      bool use_other_peer = generation % 2 == 0;

      cfg_update_peer (zone.nodes[4].cfg, "0", generation);
      cfg_update_peer (zone.nodes[4].cfg, "3",
                       use_other_peer ? generation : generation - 1);
      cfg_update_peer (zone.nodes[4].cfg, "1", generation);
      cfg_zone_run (&zone, 2 * CFG_ZONE_HEARTBEAT_US);
      CU_ASSERT_EQUAL (strcmp (zone.nodes[4].last_fetch_address, "3") == 0,
                       use_other_peer);
    }
  cfg_zone_close (&zone);
}

static guint
count_since (const struct cfg_cache *cache, uint64_t generation,
             const char *digest)
{
  GArray *found = cfg_cache_since (cache, generation, digest);
  guint count = found == NULL ? 0 : found->len;

  if (found != NULL)
    g_array_free (found, TRUE);
  return count;
}

/* Guards against a cache beyond its limits, and against a reply that skips a
   generation or applies to another base text.  */
static void
test_cache (void)
{
  struct cfg_cache *cache = cfg_cache_new ();
  char *large = g_strnfill (CFG_CACHE_ENTRY_MAX_BYTES, 'x');
  struct cfg_entry entry = { "entry", 5 };

  for (uint64_t generation = 1; generation <= 100; generation++)
    cfg_cache_add (cache, generation, "d", &entry);
  CU_ASSERT_EQUAL (count_since (cache, 99, "d"), 1);
  CU_ASSERT_EQUAL (count_since (cache, 99, "e"), 0);
  CU_ASSERT_EQUAL (count_since (cache, 100, "d"), 0);
  CU_ASSERT_EQUAL (count_since (cache, 36, "d"), CFG_CACHE_MAX_ENTRIES);
  CU_ASSERT_EQUAL (count_since (cache, 35, "d"), 0);
  cfg_cache_add (cache, 102, "d", &entry);
  CU_ASSERT_EQUAL (count_since (cache, 99, "d"), 0);
  CU_ASSERT_EQUAL (count_since (cache, 101, "d"), 1);
  entry = (struct cfg_entry){ large, CFG_CACHE_ENTRY_MAX_BYTES };
  for (uint64_t generation = 103; generation < 111; generation++)
    cfg_cache_add (cache, generation, "d", &entry);
  CU_ASSERT_EQUAL (count_since (cache, 102, "d"), 0);
  CU_ASSERT_EQUAL (count_since (cache, 103, "d"), 7);
  entry.bytes++;
  cfg_cache_add (cache, 111, "d", &entry);
  CU_ASSERT_EQUAL (count_since (cache, 109, "d"), 0);
  cfg_cache_free (cache);
  g_free (large);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "entries", test_entries },
          { "catch up", test_catch_up },
          { "damaged patches", test_damaged_patches },
          { "poll", test_poll },
          { "choice of a peer", test_choice },
          { "cached entries", test_cache },
          { NULL, NULL } };

  return unit_main ("cfg", tests);
}
