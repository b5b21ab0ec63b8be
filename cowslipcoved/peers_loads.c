#include "mem_load.h"
#include "peers_impl.h"

/* Reports older than this say nothing any more: after five half-lives their
   weight is below a thirtieth.  */
#define CD_LOAD_AGE_MAX_US 10000000

/* Return the loads that this instance reads (cs_load); the caller frees the
   list.  */
GArray *
cd_loads_current (const struct cd_peers *peers)
{
  uint64_t now_us = tm_now_us (peers->daemon->tm);
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (cs_load));
  GHashTableIter iter;
  void *endpoint;
  void *value;

  g_hash_table_iter_init (&iter, peers->loads);
  while (g_hash_table_iter_next (&iter, &endpoint, &value)
         && loads->len < COWSLIP_LIST_MAX)
    {
      const struct cd_load_seen *seen = value;
      uint64_t age_us = now_us - seen->true_us;
      cs_load load = { mem_load_hash (endpoint),
                       mem_load_pack (seen->running, seen->waiting,
                                      age_us / CD_US_PER_MS) };

      if (age_us <= CD_LOAD_AGE_MAX_US)
        g_array_append_val (loads, load);
    }
  return loads;
}

/* Note by which numbers heartbeats name the endpoints of the document.  */
void
cd_loads_map_endpoints (struct cd_peers *peers)
{
  const GPtrArray *pools = env_pools (peers->document);

  g_hash_table_remove_all (peers->endpoints);
  for (guint i = 0; i < pools->len; i++)
    {
      const struct env_pool *pool = g_ptr_array_index (pools, i);

      for (guint e = 0; e < pool->endpoints->len; e++)
        {
          const struct env_endpoint *endpoint
              = g_ptr_array_index (pool->endpoints, e);
          uint64_t hash = mem_load_hash (endpoint->address);

          g_hash_table_insert (peers->endpoints,
                               g_memdup2 (&hash, sizeof hash),
                               endpoint->address);
        }
    }
}

static void
cd_load_heard (void *arg, const cs_load *heard)
{
  const struct cd_peers *peers = arg;
  struct cd_load load
      = { .endpoint = g_hash_table_lookup (peers->endpoints, &heard->endpoint),
          .running = mem_load_running (heard->packed),
          .waiting = mem_load_waiting (heard->packed),
          .age_ms = mem_load_age_ms (heard->packed) };

  if (load.endpoint != NULL)
    cd_publish (peers->daemon, CD_LOAD, &load);
}

/* Take the loads of BEAT, which INCARNATION of INSTANCE sent.  */
void
cd_beat_apply_loads (struct cd_peers *peers, const char *instance,
                     uint64_t incarnation, const cs_beat *beat)
{
  struct mem_loads *loads = g_hash_table_lookup (peers->heard, instance);

  if (loads == NULL)
    {
      loads = mem_loads_new ();
      g_hash_table_insert (peers->heard, g_strdup (instance), loads);
    }
  if (mem_loads_take (loads, incarnation, beat))
    mem_loads_each (loads, cd_load_heard, peers);
}

/* Return what INSTANCE was told.  */
struct mem_told *
cd_loads_sent (struct cd_peers *peers, const char *instance)
{
  struct mem_told *told = g_hash_table_lookup (peers->told, instance);

  if (told != NULL)
    return told;
  told = mem_told_new ();
  g_hash_table_insert (peers->told, g_strdup (instance), told);
  return told;
}

static gboolean
cd_is_unknown (void *instance, void *value, void *table)
{
  (void)value;
  return mem_find (table, instance) == NULL;
}

/* Forget what instances said or were told that are no members any more.  */
void
cd_loads_prune (struct cd_peers *peers)
{
  g_hash_table_foreach_remove (peers->told, cd_is_unknown, peers->table);
  g_hash_table_foreach_remove (peers->heard, cd_is_unknown, peers->table);
}

/* Start with nothing said and nothing heard.  */
void
cd_loads_init (struct cd_peers *peers)
{
  peers->told
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mem_told_free);
  peers->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        mem_loads_free);
  peers->endpoints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Free what cd_loads_init made.  */
void
cd_loads_free (struct cd_peers *peers)
{
  g_hash_table_destroy (peers->told);
  g_hash_table_destroy (peers->heard);
  g_hash_table_destroy (peers->endpoints);
}
