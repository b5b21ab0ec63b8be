#include <string.h>

#include <gsl/gsl_randist.h>

#include "engine.h"

#define ENG_ADAPTER_MIN_MS           5U
#define ENG_ADAPTER_MAX_MS           14U
#define ENG_ADAPTER_FETCH_TIMEOUT_MS 60000

struct eng_adapter_fetch
{
  struct engine *engine;
  char *name;
  uint64_t serial;
};

static void
eng_adapter_respond (struct eng_adapter *adapter, uint16_t status)
{
  struct engine *engine = adapter->engine;

  for (guint i = 0; i < adapter->callers->len; i++)
    {
      if (status == 200)
        stand_reply (adapter->callers->pdata[i], 200, eng_state_json (engine));
      else
        stand_reply_error (adapter->callers->pdata[i], status,
                           "adapter not loaded");
    }
  g_ptr_array_set_size (adapter->callers, 0);
}

static void
eng_adapter_free (struct eng_adapter *adapter)
{
  eng_adapter_respond (adapter, 409);
  tm_cancel (adapter->engine->host->tm, &adapter->timer);
  g_ptr_array_free (adapter->callers, TRUE);
  g_free (adapter->name);
  g_free (adapter->model);
  g_free (adapter->version);
  g_free (adapter);
}

/* Return the memory in bytes that the adapters of MODEL occupy.  */
uint64_t
eng_adapters_bytes (const struct engine *engine, const char *model)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t bytes = 0;

  g_hash_table_iter_init (&iter, engine->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct eng_adapter *adapter = value;

      if (strcmp (adapter->model, model) == 0)
        bytes += adapter->bytes;
    }
  return bytes;
}

static void
eng_adapter_loaded (void *arg)
{
  struct eng_adapter *adapter = arg;

  adapter->loaded = true;
  eng_adapter_respond (adapter, 200);
}

static void
eng_adapter_fetched (void *arg, const struct http_response *response)
{
  struct eng_adapter_fetch *fetch = arg;
  struct eng_adapter *adapter
      = g_hash_table_lookup (fetch->engine->adapters, fetch->name);

  if (adapter != NULL && adapter->serial == fetch->serial)
    {
      if (response->outcome == HTTP_COMPLETE && response->status == 200)
        eng_adapter_loaded (adapter);
      else
        (void)eng_adapter_unload (fetch->engine, fetch->name);
    }
  g_free (fetch->name);
  g_free (fetch);
}

static void
eng_adapter_fetch (struct eng_adapter *adapter)
{
  struct engine *engine = adapter->engine;
  struct eng_adapter_fetch *fetch = g_new0 (struct eng_adapter_fetch, 1);
  char *path = g_strdup_printf ("/adapters/%s", adapter->name);
  struct http_request request = { .method = "GET",
                                  .address = engine->options->weights_address,
                                  .path = path,
                                  .timeout_ms = ENG_ADAPTER_FETCH_TIMEOUT_MS };

  fetch->engine = engine;
  fetch->name = g_strdup (adapter->name);
  fetch->serial = adapter->serial;
  (void)http_fetch (engine->host->client, &request, eng_adapter_fetched,
                    fetch);
  g_free (path);
}

static void
eng_adapter_start_load (struct eng_adapter *adapter)
{
  const struct eng_options *options = adapter->engine->options;
  double load_ms = options->adapter_ms;

  if (options->adapters_from_store && options->weights_address != NULL)
    {
      eng_adapter_fetch (adapter);
      return;
    }
  if (options->adapter_ms == 0)
    load_ms = gsl_ran_flat (adapter->engine->rng, ENG_ADAPTER_MIN_MS,
                            ENG_ADAPTER_MAX_MS);
  tm_after (adapter->engine->host->tm, &adapter->timer,
            (uint64_t)(load_ms * STAND_US_PER_MS), eng_adapter_loaded,
            adapter);
}

static bool
eng_adapter_fits (struct engine *engine, const struct eng_model *model,
                  uint64_t bytes)
{
  uint64_t used_bytes = eng_adapters_bytes (engine, model->name);
  uint64_t reserved_before = MAX (used_bytes, model->adapter_bytes);
  uint64_t reserved_after = MAX (used_bytes + bytes, model->adapter_bytes);

  return reserved_after == reserved_before
         || eng_check_memory (engine, reserved_after - reserved_before);
}

/* Load the adapter of ORDER and respond to EXCHANGE when the load completes.
   Respond with 409 if the model is not loaded and 507 if out of memory.  */
void
eng_adapter_load (struct engine *engine, struct http_exchange *exchange,
                  struct json_object *order)
{
  const char *name = stand_get_string (order, "adapter");
  uint64_t bytes = (uint64_t)stand_get_int (order, "bytes", 0);
  struct eng_adapter *adapter = g_hash_table_lookup (engine->adapters, name);
  struct eng_model *model
      = eng_model (engine, stand_get_string (order, "model"));

  if (model == NULL || model->state != ENG_LOADED || name[0] == '\0')
    {
      stand_reply_error (exchange, 409, "model not loaded");
      return;
    }
  if (adapter == NULL && !eng_adapter_fits (engine, model, bytes))
    {
      stand_reply_error (exchange, 507, "out of memory");
      return;
    }
  if (adapter == NULL)
    {
      adapter = g_new0 (struct eng_adapter, 1);
      adapter->engine = engine;
      adapter->name = g_strdup (name);
      adapter->model = g_strdup (model->name);
      adapter->version = g_strdup (stand_get_string (order, "version"));
      adapter->bytes = bytes;
      adapter->serial = ++engine->serial;
      adapter->callers = g_ptr_array_new ();
      g_hash_table_insert (engine->adapters, adapter->name, adapter);
      eng_adapter_start_load (adapter);
    }
  g_ptr_array_add (adapter->callers, exchange);
  if (adapter->loaded)
    eng_adapter_respond (adapter, 200);
}

/* Unload the adapter NAME.  Return the HTTP status 200, also if the adapter is
   not present.  */
uint16_t
eng_adapter_unload (struct engine *engine, const char *name)
{
  struct eng_adapter *adapter = g_hash_table_lookup (engine->adapters, name);

  if (adapter == NULL)
    return 200;
  g_hash_table_remove (engine->adapters, name);
  eng_adapter_free (adapter);
  return 200;
}

/* Unload all adapters of MODEL.  */
void
eng_adapters_unload_all (struct engine *engine, const char *model)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct eng_adapter *adapter = value;

      if (strcmp (adapter->model, model) != 0)
        continue;
      g_hash_table_iter_remove (&iter);
      eng_adapter_free (adapter);
    }
}
