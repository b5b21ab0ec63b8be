#include <string.h>

#include <glib.h>

#include "cfg_zone.h"
#include "target.h"
#include "unit.h"

#define SLOW_US 3000000
#define CHOICES 20
#define ENTRY   "cowslip/e/history/0000000002"

/* Guards against a watcher that installs what a damaged, missing or foreign
   entry makes of its text, or that stays behind because of one.  */
static void
test_entries (void)
{
  static const struct
  {
    const char *found; /* in the entry of the second change */
    const char *put;
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
      char *damaged = g_strjoinv (cases[i].put, parts);
      struct cfg_zone zone;
      uint64_t calls;

      cfg_zone_open (&zone, 1, true);
      cfg_zone_change (&zone, "one,one,one,one");
      cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
      calls = fake_kv_calls (zone.fake);
      fake_kv_put (zone.fake, "cowslip/e/document",
                   fake_kv_value (source.fake, "cowslip/e/document"));
      fake_kv_put (zone.fake, ENTRY, damaged);
      cfg_zone_pass (&zone, CFG_ZONE_BEAT_US);
      CU_ASSERT_EQUAL (fake_kv_calls (zone.fake) - calls, cases[i].reads);
      CU_ASSERT_EQUAL (cfg_generation (zone.nodes[0].cfg),
                       cases[i].generation);
      CU_ASSERT_TRUE (cfg_zone_all_have (&zone, cases[i].generation == 2
                                                    ? "one,one,two,one"
                                                    : "one,one,one,one"));
      /* What only the poll can see is in force after it.  */
      cfg_zone_pass (&zone, 60 * CFG_ZONE_BEAT_US);
      CU_ASSERT_TRUE (cfg_zone_all_have (&zone, "one,one,two,one"));
      cfg_zone_close (&zone);
      g_free (damaged);
      g_strfreev (parts);
    }
  cfg_zone_close (&source);
}

/* Guards against an instance that was cut off for a few changes and fetches
   the whole document, or for many and does not catch up.  */
static void
test_behind (void)
{
  static const uint32_t missed[]
      = { 1, 5, CFG_CACHE_MAX_ENTRIES, CFG_CACHE_MAX_ENTRIES + 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (missed); i++)
    {
      struct target *target = g_new0 (struct target, 1);
      struct cfg_zone zone;
      char *text = target_text (target);

      cfg_zone_open (&zone, 3, true);
      cfg_zone_change (&zone, text);
      cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
      cfg_zone_stop_beats (&zone);
      for (uint32_t n = 0; n < zone.count; n++)
        zone.nodes[n].sent_bytes = 0;
      for (uint32_t n = 0; n < missed[i]; n++)
        {
          g_free (text);
          target_change (target, n);
          text = target_text (target);
          cfg_zone_change (&zone, text);
        }
      cfg_zone_beat (&zone.nodes[0]);
      cfg_zone_pass (&zone, 5 * CFG_ZONE_BEAT_US);
      CU_ASSERT_TRUE (cfg_zone_all_have (&zone, text));
      CU_ASSERT_EQUAL (zone.nodes[0].sent_bytes + zone.nodes[1].sent_bytes
                           < strlen (text),
                       missed[i] <= CFG_CACHE_MAX_ENTRIES);
      cfg_zone_close (&zone);
      g_free (text);
      g_free (target);
    }
}

/* Guards against an instance that stays behind because the entries of its
   peers do not apply, and against one that asks several slow peers at once. */
static void
test_damaged (void)
{
  char *text = g_strnfill (2000, 'x');
  struct cfg_zone zone;

  cfg_zone_open (&zone, 5, true);
  cfg_zone_change (&zone, text);
  cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
  zone.damaged = true;
  zone.round_trip_us = SLOW_US;
  text[1000] = 'y';
  cfg_zone_change (&zone, text);
  cfg_zone_pass (&zone, 15 * CFG_ZONE_BEAT_US);
  CU_ASSERT_TRUE (cfg_zone_all_have (&zone, text));
  CU_ASSERT_EQUAL (zone.asking_max, 1);
  cfg_zone_close (&zone);
  g_free (text);
}

/* Guards against a poll that reads the document again and again: that alone
   would be half of what an instance may receive.  */
static void
test_poll (void)
{
  struct target *target = g_new0 (struct target, 1);
  char *text = target_text (target);
  struct cfg_zone zone;

  cfg_zone_open (&zone, 3, true);
  cfg_zone_change (&zone, text);
  cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
  zone.read_bytes = 0;
  target_change (target, 0);
  g_free (text);
  text = target_text (target);
  cfg_zone_change (&zone, text);
  cfg_zone_pass (&zone, 3600 * (uint64_t)CFG_ZONE_BEAT_US);
  CU_ASSERT_TRUE (cfg_zone_all_have (&zone, text));
  CU_ASSERT_TRUE (zone.read_bytes < strlen (text));
  cfg_zone_close (&zone);
  g_free (text);
  g_free (target);
}

/* Guards against an instance that asks a watcher while another peer shows the
   newest generation, or a peer that does not.  */
static void
test_choice (void)
{
  struct cfg_zone zone;

  cfg_zone_open (&zone, 5, true);
  cfg_zone_change (&zone, "one");
  cfg_zone_pass (&zone, 10 * CFG_ZONE_BEAT_US);
  cfg_zone_stop_beats (&zone);
  for (uint64_t generation = 2; generation < 2 + 2 * (uint64_t)CHOICES;
       generation++)
    {
      bool other = generation % 2 == 0;

      cfg_update_peer (zone.nodes[4].cfg, "0", generation);
      cfg_update_peer (zone.nodes[4].cfg, "3",
                       other ? generation : generation - 1);
      cfg_update_peer (zone.nodes[4].cfg, "1", generation);
      cfg_zone_pass (&zone, 2 * CFG_ZONE_BEAT_US);
      CU_ASSERT_EQUAL (strcmp (zone.nodes[4].asked, "3") == 0, other);
    }
  cfg_zone_close (&zone);
}

static guint
kept_since (const struct cfg_cache *kept, uint64_t generation,
            const char *digest)
{
  GArray *found = cfg_cache_since (kept, generation, digest);
  guint count = found == NULL ? 0 : found->len;

  if (found != NULL)
    g_array_free (found, TRUE);
  return count;
}

/* Guards against entries that are kept beyond their limits, and against an
   answer with a gap or for a text that the asker does not have.  */
static void
test_kept (void)
{
  struct cfg_cache *kept = cfg_cache_new ();
  char *large = g_strnfill (CFG_CACHE_ENTRY_MAX_BYTES, 'x');
  struct cfg_entry entry = { "entry", 5 };

  for (uint64_t generation = 1; generation <= 100; generation++)
    cfg_cache_add (kept, generation, "d", &entry);
  CU_ASSERT_EQUAL (kept_since (kept, 99, "d"), 1);
  CU_ASSERT_EQUAL (kept_since (kept, 99, "e"), 0);
  CU_ASSERT_EQUAL (kept_since (kept, 100, "d"), 0);
  CU_ASSERT_EQUAL (kept_since (kept, 36, "d"), CFG_CACHE_MAX_ENTRIES);
  CU_ASSERT_EQUAL (kept_since (kept, 35, "d"), 0);
  cfg_cache_add (kept, 102, "d", &entry);
  CU_ASSERT_EQUAL (kept_since (kept, 99, "d"), 0);
  CU_ASSERT_EQUAL (kept_since (kept, 101, "d"), 1);
  entry = (struct cfg_entry){ large, CFG_CACHE_ENTRY_MAX_BYTES };
  for (uint64_t generation = 103; generation < 111; generation++)
    cfg_cache_add (kept, generation, "d", &entry);
  CU_ASSERT_EQUAL (kept_since (kept, 102, "d"), 0);
  CU_ASSERT_EQUAL (kept_since (kept, 103, "d"), 7);
  entry.bytes++;
  cfg_cache_add (kept, 111, "d", &entry);
  CU_ASSERT_EQUAL (kept_since (kept, 109, "d"), 0);
  cfg_cache_free (kept);
  g_free (large);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "entries", test_entries },
          { "behind", test_behind },
          { "damaged", test_damaged },
          { "poll", test_poll },
          { "choice of a peer", test_choice },
          { "kept entries", test_kept },
          { NULL, NULL } };

  return unit_main ("cfg", tests);
}
