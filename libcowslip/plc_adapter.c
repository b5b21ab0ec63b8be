#include "plc_adapter.h"

/* One adapter on one engine.  It uses reserved memory from the load order to
   the confirmed unload.  */
struct plc_adapter
{
  char *endpoint;
  char *model;
  char *name;
  uint64_t bytes;
  uint64_t used_us;
  bool loading;
  bool unloading;
};

struct plc_adapters
{
  uint32_t share;
  uint32_t in_flight;
  GHashTable *engines; /* endpoint -> GPtrArray of struct plc_adapter */
};

static void
plc_adapter_free (gpointer data)
{
  struct plc_adapter *adapter = data;

  g_free (adapter->endpoint);
  g_free (adapter->model);
  g_free (adapter->name);
  g_free (adapter);
}

static void
plc_adapter_list_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

/* Return how many of LOADS_MAX adapter loads at once one of ZONES zones may
   use, at least 1.  */
uint32_t
plc_adapter_share (uint32_t loads_max, uint32_t zones)
{
  return MAX (loads_max / MAX (zones, 1), 1);
}

/* Return an empty table that allows SHARE loads in flight.  */
struct plc_adapters *
plc_adapters_new (uint32_t share)
{
  struct plc_adapters *adapters = g_new0 (struct plc_adapters, 1);

  adapters->share = share;
  adapters->engines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             plc_adapter_list_free);
  return adapters;
}

/* Free ADAPTERS.  */
void
plc_adapters_free (struct plc_adapters *adapters)
{
  if (adapters == NULL)
    return;
  g_hash_table_destroy (adapters->engines);
  g_free (adapters);
}

/* Allow SHARE loads in flight from now on.  */
void
plc_adapters_set_share (struct plc_adapters *adapters, uint32_t share)
{
  adapters->share = share;
}

static GPtrArray *
plc_adapter_list (struct plc_adapters *adapters, const char *endpoint)
{
  GPtrArray *list = g_hash_table_lookup (adapters->engines, endpoint);

  if (list != NULL)
    return list;
  list = g_ptr_array_new_with_free_func (plc_adapter_free);
  g_hash_table_insert (adapters->engines, g_strdup (endpoint), list);
  return list;
}

static struct plc_adapter *
plc_adapter_find (GPtrArray *list, const char *name)
{
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      struct plc_adapter *adapter = g_ptr_array_index (list, i);

      if (g_str_equal (adapter->name, name))
        return adapter;
    }
  return NULL;
}

/* Find the least recently used adapter of the model that can be unloaded, and
   sum up what is used and what is being freed.  */
static struct plc_adapter *
plc_adapter_victim (GPtrArray *list, const char *model, uint64_t *used_bytes,
                    uint64_t *freeing_bytes)
{
  struct plc_adapter *victim = NULL;

  for (guint i = 0; i < list->len; i++)
    {
      struct plc_adapter *adapter = g_ptr_array_index (list, i);

      if (!g_str_equal (adapter->model, model))
        continue;
      *used_bytes += adapter->bytes;
      if (adapter->unloading)
        *freeing_bytes += adapter->bytes;
      else if (!adapter->loading
               && (victim == NULL || adapter->used_us < victim->used_us))
        victim = adapter;
    }
  return victim;
}

static enum plc_adapter_step
plc_adapter_begin (struct plc_adapters *adapters, GPtrArray *list,
                   const struct plc_adapter_need *need, uint64_t now_us)
{
  struct plc_adapter *adapter;

  if (adapters->in_flight >= adapters->share)
    return PLC_ADAPTER_WAIT;
  adapter = g_new0 (struct plc_adapter, 1);
  adapter->endpoint = g_strdup (need->endpoint);
  adapter->model = g_strdup (need->model);
  adapter->name = g_strdup (need->adapter);
  adapter->bytes = need->bytes;
  adapter->used_us = now_us;
  adapter->loading = true;
  g_ptr_array_add (list, adapter);
  adapters->in_flight++;
  return PLC_ADAPTER_LOAD;
}

/* Decide the next step so that an engine can use the adapter of NEED, and note
   that it is used now.  With PLC_ADAPTER_EVICT, VICTIM names the adapter to be
   unloaded, which is valid until plc_adapter_unloaded.  */
enum plc_adapter_step
plc_adapter_next (struct plc_adapters *adapters,
                  const struct plc_adapter_need *need, uint64_t now_us,
                  const char **victim)
{
  GPtrArray *list = plc_adapter_list (adapters, need->endpoint);
  struct plc_adapter *adapter = plc_adapter_find (list, need->adapter);
  uint64_t used_bytes = 0;
  uint64_t freeing_bytes = 0;

  if (need->bytes > need->reserved_bytes)
    return PLC_ADAPTER_TOO_BIG;
  if (adapter != NULL)
    {
      adapter->used_us = now_us;
      return adapter->loading || adapter->unloading ? PLC_ADAPTER_WAIT
                                                    : PLC_ADAPTER_READY;
    }

  adapter
      = plc_adapter_victim (list, need->model, &used_bytes, &freeing_bytes);
  if (used_bytes + need->bytes <= need->reserved_bytes)
    return plc_adapter_begin (adapters, list, need, now_us);
  if (adapter == NULL
      || used_bytes + need->bytes <= need->reserved_bytes + freeing_bytes)
    return PLC_ADAPTER_WAIT;
  adapter->unloading = true;
  *victim = adapter->name;
  return PLC_ADAPTER_EVICT;
}

/* The load of ADAPTER on ENDPOINT ended; LOADED tells whether the engine has
   confirmed it.  */
void
plc_adapter_done (struct plc_adapters *adapters, const char *endpoint,
                  const char *adapter, bool loaded)
{
  GPtrArray *list = g_hash_table_lookup (adapters->engines, endpoint);
  struct plc_adapter *found = plc_adapter_find (list, adapter);

  if (found == NULL || !found->loading)
    return;
  found->loading = false;
  adapters->in_flight--;
  if (!loaded)
    g_ptr_array_remove (list, found);
}

/* ENDPOINT has confirmed that it unloaded ADAPTER.  */
void
plc_adapter_unloaded (struct plc_adapters *adapters, const char *endpoint,
                      const char *adapter)
{
  GPtrArray *list = g_hash_table_lookup (adapters->engines, endpoint);
  struct plc_adapter *found = plc_adapter_find (list, adapter);

  if (found != NULL && found->unloading)
    g_ptr_array_remove (list, found);
}

/* The replica of MODEL on ENDPOINT was unloaded, and its adapters with it.  */
void
plc_adapters_drop (struct plc_adapters *adapters, const char *endpoint,
                   const char *model)
{
  GPtrArray *list = g_hash_table_lookup (adapters->engines, endpoint);

  for (guint i = list == NULL ? 0 : list->len; i > 0; i--)
    {
      struct plc_adapter *adapter = g_ptr_array_index (list, i - 1);

      if (!g_str_equal (adapter->model, model))
        continue;
      adapters->in_flight -= adapter->loading;
      g_ptr_array_remove_index (list, i - 1);
    }
}

/* Return how many loads are in flight.  */
uint32_t
plc_adapters_in_flight (const struct plc_adapters *adapters)
{
  return adapters->in_flight;
}
