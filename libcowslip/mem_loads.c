#include <glib.h>

#include "mem_load.h"
#include "mem_loads.h"

struct mem_loads
{
  uint64_t incarnation;
  uint32_t number;   /* of the last heartbeat that counted; 0: none */
  GHashTable *known; /* endpoint -> cs_load */
};

/* Return the loads of a peer that has reported none.  */
struct mem_loads *
mem_loads_new (void)
{
  struct mem_loads *loads = g_new0 (struct mem_loads, 1);

  loads->known
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return loads;
}

/* Free a struct mem_loads.  */
void
mem_loads_free (void *arg)
{
  struct mem_loads *loads = arg;

  g_hash_table_destroy (loads->known);
  g_free (loads);
}

static bool
mem_loads_fits (const struct mem_loads *loads, uint64_t incarnation,
                const cs_beat *beat)
{
  if (beat->previous != 0)
    return loads->incarnation == incarnation
           && loads->number == beat->previous;
  return loads->incarnation != incarnation || beat->number > loads->number;
}

/* Take the loads of BEAT, a heartbeat of INCARNATION.  Return false if it does
   not follow the last one: heartbeats over an old and a new connection may
   overtake each other, and one may be lost with its connection.  Nothing is
   changed then; the next whole heartbeat counts again.  */
bool
mem_loads_take (struct mem_loads *loads, uint64_t incarnation,
                const cs_beat *beat)
{
  if (!mem_loads_fits (loads, incarnation, beat))
    return false;
  if (beat->previous == 0)
    g_hash_table_remove_all (loads->known);
  loads->incarnation = incarnation;
  loads->number = beat->number;
  for (u_int i = 0; i < beat->loads.loads_len; i++)
    {
      cs_load *load = g_memdup2 (&beat->loads.loads_val[i], sizeof *load);

      g_hash_table_replace (loads->known, &load->endpoint, load);
      if (mem_load_is_gone (load->packed))
        g_hash_table_remove (loads->known, &load->endpoint);
    }
  return true;
}

/* Call VISIT with ARG and each load.  Those that the last heartbeat did not
   repeat are as old now as when they were told, because it would have told a
   greater age.  */
void
mem_loads_each (const struct mem_loads *loads, mem_loads_visit visit,
                void *arg)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, loads->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (arg, value);
}
