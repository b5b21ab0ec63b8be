#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cfg.h"
#include "chg.h"
#include "fake_kv.h"
#include "mem.h"
#include "mem_beat.h"
#include "mem_record.h"
#include "mem_register.h"

/* Runs instances, each with its membership and configuration, on commands that
   also cause failures of the network and of the key-value service.  Commands:
     node NAME ZONE NUMBER [PEER...]   start an instance
     stop NAME                         stop it without notice
     cut A B | heal                    partition A from B, instances or zones
     kv FAULT-NUMBER                   see enum fake_kv_fault
     put GENERATION TEXT               write the document
     record NAME ZONE NUMBER INCARNATION   write a member's record
     offer NAME GENERATION TEXT        as from a peer; "bad" text is refused
     run MS                            advance the clock
     show NAME                         generation and members: incarnation,
                                       "r" with record, "+" reachable  */

#define SEED             7
#define LATENCY_US       1000
#define FETCH_TIMEOUT_US 1000000
#define WORDS_MAX        16
/* The history entry of a change, without a patch.  */
#define CHANGE_ENTRY                                                          \
  "{\"generation\":%s,\"digest\":\"d\",\"author\":\"a\",\"change_id\":\"i\"," \
  "\"time_ms\":1}"

struct node
{
  struct mem_member self;
  struct mem_table *table;
  struct mem_register *reg;
  struct mem_beat *beat;
  struct cfg_state *cfg;
  gsl_rng *random;
  struct kv_store kv;
  char *text;
  bool kv_reachable;
};

struct message
{
  struct tm_timer timer;
  char *from;
  uint64_t from_incarnation;
  char *address;
  char *instance; /* recipient; NULL: unknown */
  bool fetch;
};

static struct tm_service *tm;
static struct fake_kv *kv;
static GPtrArray *nodes;
static GPtrArray *cuts; /* "A B" */
static uint64_t incarnations = 1;

static struct node *
node_find (const char *name, const char *address)
{
  for (guint i = 0; i < nodes->len; i++)
    {
      struct node *node = g_ptr_array_index (nodes, i);

      if ((name != NULL && strcmp (node->self.instance, name) == 0)
          || (address != NULL
              && strcmp (node->self.rpc_address, address) == 0))
        return node;
    }
  return NULL;
}

static bool
is_cut (const struct node *a, const struct node *b)
{
  for (guint i = 0; i < cuts->len; i++)
    {
      char **ends = g_strsplit (g_ptr_array_index (cuts, i), " ", 2);
      bool forward = (strcmp (ends[0], a->self.instance) == 0
                      || strcmp (ends[0], a->self.zone) == 0)
                     && (strcmp (ends[1], b->self.instance) == 0
                         || strcmp (ends[1], b->self.zone) == 0);
      bool reverse = (strcmp (ends[0], b->self.instance) == 0
                      || strcmp (ends[0], b->self.zone) == 0)
                     && (strcmp (ends[1], a->self.instance) == 0
                         || strcmp (ends[1], a->self.zone) == 0);

      g_strfreev (ends);
      if (forward || reverse)
        return true;
    }
  return false;
}

static void
message_free (struct message *message)
{
  g_free (message->from);
  g_free (message->address);
  g_free (message->instance);
  g_free (message);
}

static void
heartbeat_arrives (struct node *from, struct node *to)
{
  struct mem_member sender = *mem_self (from->table);

  if (!mem_receive_heartbeat (to->table, &sender))
    return;
  cfg_update_peer (to->cfg, from->self.rpc_address, sender.generation);
  mem_receive_reply (from->table, to->self.instance, to->self.incarnation,
                     cfg_generation (to->cfg));
  cfg_update_peer (from->cfg, to->self.rpc_address, cfg_generation (to->cfg));
}

static void
fetch_arrives (struct node *from, const struct node *to, const char *address)
{
  struct cfg_document document = { 0 };

  if (to == NULL)
    {
      cfg_fetch_done (from->cfg, address, NULL);
      return;
    }
  document.generation = cfg_generation (to->cfg);
  document.digest = "d";
  document.text = to->text;
  document.bytes = to->text != NULL ? strlen (to->text) : 0;
  cfg_fetch_done (from->cfg, address, &document);
}

static void
message_arrives (void *arg)
{
  struct message *message = arg;
  struct node *from = node_find (message->from, NULL);
  struct node *to = node_find (NULL, message->address);

  if (from == NULL || from->self.incarnation != message->from_incarnation)
    from = NULL;
  if (from != NULL && to != NULL && is_cut (from, to))
    to = NULL;
  if (from != NULL && message->fetch)
    fetch_arrives (from, to, message->address);
  else if (from != NULL && to != NULL)
    heartbeat_arrives (from, to);
  message_free (message);
}

static void
message_send (struct node *from, const char *address, bool fetch)
{
  struct message *message = g_new0 (struct message, 1);
  const struct node *to = node_find (NULL, address);
  bool lost = to == NULL || is_cut (from, to);

  message->from = g_strdup (from->self.instance);
  message->from_incarnation = from->self.incarnation;
  message->address = g_strdup (address);
  message->fetch = fetch;
  tm_after (tm, &message->timer, lost ? FETCH_TIMEOUT_US : LATENCY_US,
            message_arrives, message);
}

static void
on_beat (void *arg, const char *address, const char *instance)
{
  (void)instance;
  message_send (arg, address, false);
}

static void
on_changed (void *arg)
{
  struct node *node = arg;

  if (node->cfg != NULL)
    cfg_set_watching (node->cfg, mem_is_among_lowest (node->table, 2));
}

static void
print_event (const struct node *node, const char *what, const char *about)
{
  printf ("%7.1f %s: %s %s\n", (double)tm_now_us (tm) / 1e6,
          node->self.instance, what, about);
}

static void
on_reach (void *arg, const struct mem_member *member)
{
  print_event (arg, member->reachable ? "hears" : "misses", member->instance);
}

static void
on_greet (void *arg, const struct mem_member *member)
{
  message_send (arg, member->rpc_address, false);
}

static void
on_records (void *arg, const char *zone, const GPtrArray *records)
{
  struct node *node = arg;

  mem_apply_records (node->table, zone, records);
}

static void
on_kv (void *arg, bool reachable)
{
  struct node *node = arg;

  if (node->kv_reachable != reachable)
    print_event (node, reachable ? "reaches" : "loses", "kv");
  node->kv_reachable = reachable;
}

static bool
on_wants_all (void *arg)
{
  struct node *node = arg;

  return mem_lowest (node->table) == mem_self (node->table);
}

static bool
on_install (void *arg, const struct cfg_document *document)
{
  struct node *node = arg;
  char *text = g_strndup (document->text, document->bytes);
  char *what = g_strdup_printf ("%" G_GUINT64_FORMAT " %s",
                                document->generation, text);
  bool valid = strcmp (text, "bad") != 0;

  if (valid)
    {
      print_event (node, "installs", what);
      g_free (node->text);
      node->text = g_strdup (text);
      mem_set_self (node->table, document->generation, false);
    }
  g_free (text);
  g_free (what);
  return valid;
}

static void
on_fetch (void *arg, const char *address)
{
  message_send (arg, address, true);
}

static void
on_ignored (void *arg, const struct cfg_document *document, bool refused)
{
  char *what = g_strdup_printf ("%" G_GUINT64_FORMAT, document->generation);

  print_event (arg, refused ? "refuses" : "ignores", what);
  g_free (what);
}

static void
node_start (char **words, size_t count)
{
  static const struct mem_callbacks mem_calls
      = { on_changed, on_reach, on_greet };
  static const struct mem_register_callbacks reg_calls
      = { on_records, on_kv, on_wants_all };
  static const struct cfg_callbacks cfg_calls
      = { on_install, on_fetch, on_ignored };
  struct node *node = g_new0 (struct node, 1);

  node->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (node->random, SEED + incarnations);
  node->kv = fake_kv_store (kv);
  node->self.instance = g_strdup (words[1]);
  node->self.zone = g_strdup (words[2]);
  node->self.rpc_address = g_strdup (words[1]);
  node->self.http_address = g_strdup (words[1]);
  node->self.number = (uint32_t)strtoul (words[3], NULL, 10);
  node->self.incarnation = incarnations++;
  g_ptr_array_add (nodes, node);
  node->table = mem_table_new (tm, &node->self, &mem_calls, node);
  node->cfg = cfg_new (tm, &node->kv, node->random, "e", &cfg_calls, node);
  node->reg = mem_register_new (tm, &node->kv, node->random, "e", &node->self,
                                &reg_calls, node);
  node->beat = mem_beat_new (tm, node->table, node->random,
                             (const char *const *)words + 4, count - 4,
                             on_beat, node);
  cfg_start (node->cfg, (const char *const *)words + 4, count - 4);
  on_changed (node);
}

/* Stop NODE.  Its pending calls must be removed from the store before it is
   freed, because there is no one to receive their replies.  */
static void
node_stop (struct node *node)
{
  fake_kv_cancel_calls (kv, node->reg);
  fake_kv_cancel_calls (kv, node->cfg);
  mem_beat_free (node->beat);
  cfg_free (node->cfg);
  fake_kv_inject_faults (kv, FAKE_KV_UNAVAILABLE, 1);
  mem_register_free (node->reg);
  fake_kv_inject_faults (kv, FAKE_KV_NONE, 0);
  mem_table_free (node->table);
  gsl_rng_free (node->random);
  g_free (node->self.instance);
  g_free (node->self.zone);
  g_free (node->self.rpc_address);
  g_free (node->self.http_address);
  g_free (node->text);
  g_ptr_array_remove (nodes, node);
  g_free (node);
}

static void
show (struct node *node)
{
  const GPtrArray *members = mem_members (node->table);

  printf ("%7.1f %s: generation %" G_GUINT64_FORMAT ", lowest %s%s:",
          (double)tm_now_us (tm) / 1e6, node->self.instance,
          cfg_generation (node->cfg), mem_lowest (node->table)->instance,
          mem_is_among_lowest (node->table, 2) ? ", watches" : "");
  for (guint i = 0; i < members->len; i++)
    {
      const struct mem_member *m = g_ptr_array_index (members, i);

      printf (" %s/%" G_GUINT64_FORMAT "%s%s", m->instance, m->incarnation,
              m->recorded ? "r" : "", m->reachable ? "+" : "-");
    }
  printf ("\n");
}

static void
run_on_node (const char *name, void (*run) (struct node *node))
{
  struct node *node = node_find (name, NULL);

  if (node != NULL)
    run (node);
  else
    printf ("no instance %s\n", name);
}

static void
offer (struct node *node, char **words)
{
  struct cfg_document document
      = { strtoull (words[2], NULL, 10), "d", words[3], strlen (words[3]) };

  cfg_fetch_done (node->cfg, "elsewhere", &document);
}

static void
put (char **words)
{
  char *value = g_strdup_printf (
      "{\"generation\":%s,\"digest\":\"d\",\"document\":\"%s\"}", words[1],
      words[2]);

  char *key = chg_history_key ("e", g_ascii_strtoull (words[1], NULL, 10));
  char *entry = g_strdup_printf (CHANGE_ENTRY, words[1]);

  fake_kv_put (kv, "cowslip/e/document", value);
  fake_kv_put (kv, key, entry);
  g_free (key);
  g_free (entry);
  g_free (value);
}

/* Write a member record, as if a delayed write of an earlier incarnation
   arrived.  */
static void
put_record (char **words)
{
  struct mem_member member
      = { .instance = words[1],
          .zone = words[2],
          .rpc_address = words[1],
          .http_address = words[1],
          .number = (uint32_t)strtoul (words[3], NULL, 10),
          .incarnation = strtoull (words[4], NULL, 10) };
  char *key = g_strdup_printf ("cowslip/e/members/%s/%s", words[2], words[1]);
  char *value = mem_record_format (&member);

  fake_kv_put (kv, key, value);
  g_free (key);
  g_free (value);
}

static void
command (char **words, size_t count)
{
  if (strcmp (words[0], "node") == 0 && count >= 4)
    node_start (words, count);
  else if (strcmp (words[0], "stop") == 0)
    run_on_node (words[1], node_stop);
  else if (strcmp (words[0], "show") == 0)
    run_on_node (words[1], show);
  else if (strcmp (words[0], "cut") == 0)
    g_ptr_array_add (cuts, g_strjoin (" ", words[1], words[2], NULL));
  else if (strcmp (words[0], "heal") == 0)
    g_ptr_array_set_size (cuts, 0);
  else if (strcmp (words[0], "kv") == 0)
    fake_kv_set_fault (kv, (enum fake_kv_fault)strtoul (words[1], NULL, 10));
  else if (strcmp (words[0], "put") == 0)
    put (words);
  else if (strcmp (words[0], "record") == 0 && count == 5)
    put_record (words);
  else if (strcmp (words[0], "offer") == 0)
    offer (node_find (words[1], NULL), words);
  else if (strcmp (words[0], "run") == 0)
    tm_advance (tm, tm_now_us (tm) + strtoull (words[1], NULL, 10) * 1000);
  else
    printf ("bad command %s\n", words[0]);
}

int
main (void)
{
  char line[256];

  tm = tm_new (0);
  kv = fake_kv_new (tm, LATENCY_US);
  nodes = g_ptr_array_new ();
  cuts = g_ptr_array_new_with_free_func (g_free);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char **words;

      g_strchomp (line);
      if (line[0] == '\0' || line[0] == '#')
        continue;
      words = g_strsplit (line, " ", WORDS_MAX);
      command (words, g_strv_length (words));
      g_strfreev (words);
    }
  while (nodes->len > 0)
    node_stop (g_ptr_array_index (nodes, 0));
  tm_advance (tm, tm_now_us (tm) + 2 * FETCH_TIMEOUT_US);
  g_ptr_array_free (nodes, TRUE);
  g_ptr_array_free (cuts, TRUE);
  fake_kv_free (kv);
  tm_free (tm);
  return EXIT_SUCCESS;
}
