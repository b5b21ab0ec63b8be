#include "mem_delta.h"
#include "mem.h"
#include "mem_load.h"

struct mem_delta
{
  GHashTable *sent;      /* endpoint -> cs_load last sent */
  uint32_t number;       /* of the last heartbeat */
  uint64_t connection;   /* that acknowledged a full one; 0: none */
  uint64_t full_sent_us; /* time of the last full one */
};

/* Return the state for a peer to which no heartbeat was sent.  */
struct mem_delta *
mem_delta_new (void)
{
  struct mem_delta *delta = g_new0 (struct mem_delta, 1);

  delta->sent
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return delta;
}

/* Free ARG, a struct mem_delta.  */
void
mem_delta_free (void *arg)
{
  struct mem_delta *delta = arg;

  g_hash_table_destroy (delta->sent);
  g_free (delta);
}

/* Return whether the next heartbeat, over CONNECTION (0: none yet), must be a
   full one: because none was acknowledged over this connection, so that the
   peer may have restarted or lost a heartbeat, or because one is due.  */
bool
mem_delta_needs_full (const struct mem_delta *delta, uint64_t connection,
                      uint64_t now_us)
{
  return connection == 0 || delta->connection != connection
         || now_us - delta->full_sent_us
                >= MEM_FULL_HEARTBEAT_US - MEM_HEARTBEAT_US / 2;
}

static void
mem_delta_store (struct mem_delta *delta, const cs_load *load)
{
  cs_load *copy = g_memdup2 (load, sizeof *load);

  g_hash_table_replace (delta->sent, &copy->endpoint, copy);
}

/* Record that heartbeat NUMBER carries all LOADS (cs_load).  */
void
mem_delta_sent_full (struct mem_delta *delta, uint32_t number,
                     const GArray *loads, uint64_t now_us)
{
  g_hash_table_remove_all (delta->sent);
  for (guint i = 0; i < loads->len; i++)
    mem_delta_store (delta, &g_array_index (loads, cs_load, i));
  delta->number = number;
  delta->full_sent_us = now_us;
}

static void
mem_delta_add_removed (struct mem_delta *delta, const GArray *loads,
                       GArray *changes)
{
  GHashTable *current = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  void *value;

  for (guint i = 0; i < loads->len; i++)
    g_hash_table_add (current, &g_array_index (loads, cs_load, i).endpoint);
  g_hash_table_iter_init (&iter, delta->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_load removed = *(const cs_load *)value;

      if (g_hash_table_contains (current, &removed.endpoint))
        continue;
      removed.packed = MEM_LOAD_REMOVED;
      g_array_append_val (changes, removed);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_destroy (current);
}

/* Return the loads (cs_load) that heartbeat NUMBER must carry, and set
   PREVIOUS to the number of the heartbeat that they update.  The caller frees
   the array.  */
GArray *
mem_delta_encode (struct mem_delta *delta, uint32_t number,
                  const GArray *loads, uint32_t *previous)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (cs_load));

  for (guint i = 0; i < loads->len; i++)
    {
      const cs_load *load = &g_array_index (loads, cs_load, i);
      const cs_load *sent = g_hash_table_lookup (delta->sent, &load->endpoint);

      if (sent != NULL && !mem_load_differs (sent->packed, load->packed))
        continue;
      g_array_append_vals (changes, load, 1);
      mem_delta_store (delta, load);
    }
  mem_delta_add_removed (delta, loads, changes);
  *previous = delta->number;
  delta->number = number;
  return changes;
}

/* The peer acknowledged a full heartbeat over CONNECTION.  */
void
mem_delta_full_acked (struct mem_delta *delta, uint64_t connection)
{
  delta->connection = connection;
}
