#include "mem_told.h"
#include "mem.h"
#include "mem_load.h"

struct mem_told
{
  GHashTable *sent;    /* endpoint -> cs_load, as the peer has it */
  uint32_t number;     /* of the last heartbeat */
  uint64_t connection; /* over which a whole one was answered; 0: none */
  uint64_t whole_us;   /* when the last whole one went out */
};

/* Return what is true of a peer that was told nothing.  */
struct mem_told *
mem_told_new (void)
{
  struct mem_told *told = g_new0 (struct mem_told, 1);

  told->sent
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return told;
}

/* Free a struct mem_told.  */
void
mem_told_free (void *arg)
{
  struct mem_told *told = arg;

  g_hash_table_destroy (told->sent);
  g_free (told);
}

/* Return whether the next heartbeat, over CONNECTION (0: none yet), must be a
   whole one: none was answered over this connection, so the peer may have been
   restarted or may have lost a heartbeat, or the last one is long past.  */
bool
mem_told_is_whole (const struct mem_told *told, uint64_t connection,
                   uint64_t now_us)
{
  return connection == 0 || told->connection != connection
         || now_us - told->whole_us >= MEM_WHOLE_US - MEM_HEARTBEAT_US / 2;
}

static void
mem_told_keep (struct mem_told *told, const cs_load *load)
{
  cs_load *copy = g_memdup2 (load, sizeof *load);

  g_hash_table_replace (told->sent, &copy->endpoint, copy);
}

/* Note that heartbeat NUMBER tells all LOADS (cs_load).  */
void
mem_told_whole (struct mem_told *told, uint32_t number, const GArray *loads,
                uint64_t now_us)
{
  g_hash_table_remove_all (told->sent);
  for (guint i = 0; i < loads->len; i++)
    mem_told_keep (told, &g_array_index (loads, cs_load, i));
  told->number = number;
  told->whole_us = now_us;
}

static void
mem_told_gone (struct mem_told *told, const GArray *loads, GArray *changes)
{
  GHashTable *now = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  void *value;

  for (guint i = 0; i < loads->len; i++)
    g_hash_table_add (now, &g_array_index (loads, cs_load, i).endpoint);
  g_hash_table_iter_init (&iter, told->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_load gone = *(const cs_load *)value;

      if (g_hash_table_contains (now, &gone.endpoint))
        continue;
      gone.packed = MEM_LOAD_GONE;
      g_array_append_val (changes, gone);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_destroy (now);
}

/* Return those of LOADS (cs_load) that heartbeat NUMBER must tell, and the
   number of the heartbeat that they change.  The caller frees the list.  */
GArray *
mem_told_changes (struct mem_told *told, uint32_t number, const GArray *loads,
                  uint32_t *previous)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (cs_load));

  for (guint i = 0; i < loads->len; i++)
    {
      const cs_load *load = &g_array_index (loads, cs_load, i);
      const cs_load *sent = g_hash_table_lookup (told->sent, &load->endpoint);

      if (sent != NULL && !mem_load_differs (sent->packed, load->packed))
        continue;
      g_array_append_vals (changes, load, 1);
      mem_told_keep (told, load);
    }
  mem_told_gone (told, loads, changes);
  *previous = told->number;
  told->number = number;
  return changes;
}

/* The peer answered a whole heartbeat over CONNECTION.  */
void
mem_told_confirmed (struct mem_told *told, uint64_t connection)
{
  told->connection = connection;
}
