#include "mem_load.h"
#include "peers_impl.h"

/* Loads older than 10 s, which is five half-lives, are not sent: their weight
   is below 1/30.  */
#define CD_LOAD_AGE_MAX_US 10000000

/* Return the loads read by this instance (cs_load); the caller frees the
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
      const struct cd_load_sample *sample = value;
      uint64_t age_us = now_us - sample->measured_us;
      cs_load load = { mem_load_hash (endpoint),
                       mem_load_pack (sample->running, sample->waiting,
                                      age_us / CD_US_PER_MS) };

      if (age_us <= CD_LOAD_AGE_MAX_US)
        g_array_append_val (loads, load);
    }
  return loads;
}

/* Map the hashes that identify endpoints in heartbeats to the addresses in the
   document.  */
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
cd_load_publish (void *arg, const cs_load *received)
{
  const struct cd_peers *peers = arg;
  struct cd_load load = { .endpoint = g_hash_table_lookup (
                              peers->endpoints, &received->endpoint),
                          .running = mem_load_running (received->packed),
                          .waiting = mem_load_waiting (received->packed),
                          .age_ms = mem_load_age_ms (received->packed) };

  if (load.endpoint != NULL)
    cd_publish (peers->daemon, CD_LOAD, &load);
}

/* Apply the loads in BEAT from INCARNATION of INSTANCE.  */
void
cd_beat_apply_loads (struct cd_peers *peers, const char *instance,
                     uint64_t incarnation, const cs_beat *beat)
{
  struct mem_loads *loads = g_hash_table_lookup (peers->received, instance);

  if (loads == NULL)
    {
      loads = mem_loads_new ();
      g_hash_table_insert (peers->received, g_strdup (instance), loads);
    }
  if (mem_loads_apply (loads, incarnation, beat))
    mem_loads_foreach (loads, cd_load_publish, peers);
}

/* Return the record of the loads sent to INSTANCE.  */
struct mem_delta *
cd_loads_sent (struct cd_peers *peers, const char *instance)
{
  struct mem_delta *sent_loads
      = g_hash_table_lookup (peers->sent_loads, instance);

  if (sent_loads != NULL)
    return sent_loads;
  sent_loads = mem_delta_new ();
  g_hash_table_insert (peers->sent_loads, g_strdup (instance), sent_loads);
  return sent_loads;
}

static gboolean
cd_is_not_member (void *instance, void *value, void *table)
{
  (void)value;
  return mem_find (table, instance) == NULL;
}

/* Remove the loads sent to and received from instances that are no longer
   members.  */
void
cd_loads_prune (struct cd_peers *peers)
{
  g_hash_table_foreach_remove (peers->sent_loads, cd_is_not_member,
                               peers->table);
  g_hash_table_foreach_remove (peers->received, cd_is_not_member,
                               peers->table);
}

/* Initialize the tables of loads.  */
void
cd_loads_init (struct cd_peers *peers)
{
  peers->sent_loads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             mem_delta_free);
  peers->received = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           mem_loads_free);
  peers->endpoints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Free the tables of loads.  */
void
cd_loads_free (struct cd_peers *peers)
{
  g_hash_table_destroy (peers->sent_loads);
  g_hash_table_destroy (peers->received);
  g_hash_table_destroy (peers->endpoints);
}
