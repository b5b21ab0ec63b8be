#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "mem.h"
#include "mem_delta.h"
#include "mem_load.h"
#include "mem_loads.h"

/* Runs the heartbeats of one instance "s" to one peer over a connection that
   the script can break.  Commands:
     load ENDPOINT RUNNING WAITING AGE-MS   set a load known to the sender
     unload ENDPOINT       remove it
     connect NUMBER        use this connection; 0: none
     beat                  send and deliver a heartbeat; acknowledge a full one
     lose                  send a heartbeat that is lost
     keep | deliver        send a heartbeat that arrives at "deliver"
     sender INCARNATION    restart the sender
     peer                  restart the peer
     run MS                advance the clock
   For each heartbeat, its kind ("whole": full, "short": delta) and its loads
   are printed; for each arrival, whether it is accepted and the loads known to
   the peer afterwards.  */

#define WORDS_MAX 8

struct heartbeat
{
  bool full;
  uint64_t incarnation;
  cs_beat beat;
};

static struct tm_service *tm;
static GPtrArray *names; /* endpoints in the order of the script */
static GArray *loads;    /* cs_load */
static struct mem_delta *delta;
static struct mem_loads *peer_loads;
static struct mem_table *table;
static uint64_t connection;
static uint64_t incarnation = 1;
static uint32_t number;
static struct heartbeat heartbeat;

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

static void
peer_start (void)
{
  static const struct mem_callbacks callbacks
      = { on_changed, on_member, on_member };
  struct mem_member self = { .instance = (char *)"p",
                             .zone = (char *)"z",
                             .rpc_address = (char *)"p",
                             .http_address = (char *)"p",
                             .number = 2,
                             .incarnation = 100 };

  mem_table_free (table);
  if (peer_loads != NULL)
    mem_loads_free (peer_loads);
  table = mem_table_new (tm, &self, &callbacks, NULL);
  peer_loads = mem_loads_new ();
}

static void
load_clear (const char *name, bool remove)
{
  uint64_t hash = mem_load_hash (name);

  for (guint i = 0; i < loads->len; i++)
    if (g_array_index (loads, cs_load, i).endpoint == hash)
      {
        g_array_remove_index (loads, i);
        break;
      }
  if (!remove
      && !g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
    g_ptr_array_add (names, g_strdup (name));
}

static void
load_set (char **words)
{
  cs_load load = { mem_load_hash (words[1]),
                   mem_load_pack ((uint32_t)strtoul (words[2], NULL, 10),
                                  (uint32_t)strtoul (words[3], NULL, 10),
                                  strtoull (words[4], NULL, 10)) };

  load_clear (words[1], false);
  g_array_append_val (loads, load);
}

static void
load_print (void *arg, const cs_load *load)
{
  const char *name = arg;

  if (load->endpoint != mem_load_hash (name))
    return;
  if (mem_load_is_removed (load->packed))
    printf (" %s gone", name);
  else
    printf (" %s %u/%u/%u", name, mem_load_running (load->packed),
            mem_load_waiting (load->packed), mem_load_age_ms (load->packed));
}

static void
send_heartbeat (struct heartbeat *out)
{
  GArray *sent = loads;
  uint64_t now_us = tm_now_us (tm);

  memset (out, 0, sizeof *out);
  out->full = mem_delta_needs_full (delta, connection, now_us);
  out->incarnation = incarnation;
  out->beat.number = ++number;
  if (out->full)
    mem_delta_sent_full (delta, number, loads, now_us);
  else
    sent = mem_delta_encode (delta, number, loads, &out->beat.previous);
  out->beat.loads.loads_len = sent->len;
  out->beat.loads.loads_val
      = g_memdup2 (sent->data, sent->len * sizeof (cs_load));
  if (!out->full)
    g_array_free (sent, TRUE);
  printf ("%5.1f %s:", (double)now_us / 1e6, out->full ? "whole" : "short");
  for (guint n = 0; n < names->len; n++)
    for (u_int i = 0; i < out->beat.loads.loads_len; i++)
      load_print (g_ptr_array_index (names, n), &out->beat.loads.loads_val[i]);
  printf ("\n");
}

static void
deliver (struct heartbeat *in, bool acknowledged)
{
  struct mem_member sender = { .instance = (char *)"s",
                               .zone = (char *)"z",
                               .rpc_address = (char *)"s",
                               .http_address = (char *)"s",
                               .number = 1,
                               .incarnation = in->incarnation };
  bool known = in->full ? mem_receive_heartbeat (table, &sender)
                        : mem_receive_delta_heartbeat (
                            table, "s", in->incarnation, 0, false);

  if (!known)
    printf ("      unknown sender\n");
  else if (!mem_loads_apply (peer_loads, in->incarnation, &in->beat))
    printf ("      does not follow\n");
  else
    {
      printf ("      has:");
      for (guint n = 0; n < names->len; n++)
        mem_loads_foreach (peer_loads, load_print,
                           g_ptr_array_index (names, n));
      printf ("\n");
    }
  if (in->full && acknowledged)
    mem_delta_full_acked (delta, connection);
  g_free (in->beat.loads.loads_val);
  in->beat.loads.loads_val = NULL;
}

static void
sender_restart (const char *word)
{
  incarnation = strtoull (word, NULL, 10);
  number = 0;
  mem_delta_free (delta);
  delta = mem_delta_new ();
}

static void
command (char **words, size_t count)
{
  struct heartbeat now;

  if (strcmp (words[0], "load") == 0 && count == 5)
    load_set (words);
  else if (strcmp (words[0], "unload") == 0 && count == 2)
    load_clear (words[1], true);
  else if (strcmp (words[0], "connect") == 0 && count == 2)
    connection = strtoull (words[1], NULL, 10);
  else if (strcmp (words[0], "sender") == 0 && count == 2)
    sender_restart (words[1]);
  else if (strcmp (words[0], "peer") == 0)
    peer_start ();
  else if (strcmp (words[0], "run") == 0 && count == 2)
    tm_advance (tm, tm_now_us (tm) + strtoull (words[1], NULL, 10) * 1000);
  else if (strcmp (words[0], "beat") == 0)
    {
      send_heartbeat (&now);
      deliver (&now, true);
    }
  else if (strcmp (words[0], "lose") == 0)
    {
      send_heartbeat (&now);
      g_free (now.beat.loads.loads_val);
    }
  else if (strcmp (words[0], "keep") == 0)
    send_heartbeat (&heartbeat);
  else if (strcmp (words[0], "deliver") == 0)
    deliver (&heartbeat, false);
  else
    printf ("bad command %s\n", words[0]);
}

int
main (void)
{
  char line[256];

  tm = tm_new (0);
  names = g_ptr_array_new_with_free_func (g_free);
  loads = g_array_new (FALSE, FALSE, sizeof (cs_load));
  delta = mem_delta_new ();
  peer_start ();
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
  g_free (heartbeat.beat.loads.loads_val);
  mem_delta_free (delta);
  mem_loads_free (peer_loads);
  mem_table_free (table);
  g_array_free (loads, TRUE);
  g_ptr_array_free (names, TRUE);
  tm_free (tm);
  return EXIT_SUCCESS;
}
