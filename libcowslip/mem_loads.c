#include <glib.h>

#include "mem_load.h"
#include "mem_loads.h"

struct mem_loads
{
  uint64_t incarnation;
  uint32_t number;         /* of the last heartbeat applied; 0: none */
  GHashTable *by_endpoint; /* endpoint -> cs_load */
};

/* Return the state for a peer that has reported no loads.  */
struct mem_loads *
mem_loads_new (void)
{
  struct mem_loads *loads = g_new0 (struct mem_loads, 1);

  loads->by_endpoint
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return loads;
}

/* Free ARG, a struct mem_loads.  */
void
mem_loads_free (void *arg)
{
  struct mem_loads *loads = arg;

  g_hash_table_destroy (loads->by_endpoint);
  g_free (loads);
}

static bool
mem_loads_is_next (const struct mem_loads *loads, uint64_t incarnation,
                   const cs_beat *beat)
{
  if (beat->previous != 0)
    return loads->incarnation == incarnation
           && loads->number == beat->previous;
  return loads->incarnation != incarnation || beat->number > loads->number;
}

/* Apply the loads of BEAT, a heartbeat of INCARNATION.  Return false and
   change nothing if it does not follow the last one applied: heartbeats over
   an old and a new connection may arrive out of order, and one may be lost
   with its connection.  The next full heartbeat restores the state.  */
bool
mem_loads_apply (struct mem_loads *loads, uint64_t incarnation,
                 const cs_beat *beat)
{
  if (!mem_loads_is_next (loads, incarnation, beat))
    return false;
  if (beat->previous == 0)
    g_hash_table_remove_all (loads->by_endpoint);
  loads->incarnation = incarnation;
  loads->number = beat->number;
  for (u_int i = 0; i < beat->loads.loads_len; i++)
    {
      cs_load *load = g_memdup2 (&beat->loads.loads_val[i], sizeof *load);

      g_hash_table_replace (loads->by_endpoint, &load->endpoint, load);
      if (mem_load_is_removed (load->packed))
        g_hash_table_remove (loads->by_endpoint, &load->endpoint);
    }
  return true;
}

/* Call VISIT with ARG and each load.  The age of a load that the last
   heartbeat left out is still the one reported earlier: the heartbeat would
   have carried the load if its age had changed.  */
void
mem_loads_foreach (const struct mem_loads *loads, mem_loads_visitor visit,
                   void *arg)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, loads->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (arg, value);
}
