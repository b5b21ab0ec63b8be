#include <string.h>

#include "engine.h"

#define ENG_FETCH_TIMEOUT_MS 600000

/* A fetch from the weight store.  It refers to its model by name and serial
   number because the model may be unloaded before the fetch completes.  */
struct eng_fetch
{
  struct engine *engine;
  char *name;
  uint64_t serial;
};

static void
eng_model_free (struct eng_model *model)
{
  tm_cancel (model->engine->host->tm, &model->timer);
  g_free (model->name);
  g_free (model->version);
  g_free (model);
}

/* Return the memory in bytes that all models occupy, including the memory
   reserved for adapters.  */
uint64_t
eng_used_bytes (const struct engine *engine)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t used_bytes = 0;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct eng_model *model = value;
      uint64_t adapters = eng_adapters_bytes (engine, model->name);

      used_bytes += model->bytes + MAX (model->adapter_bytes, adapters);
    }
  return used_bytes;
}

/* Return the model NAME, whatever its state, or NULL.  */
struct eng_model *
eng_model (const struct engine *engine, const char *name)
{
  return g_hash_table_lookup (engine->models, name);
}

/* Return the loaded model that serves NAME, a model or a loaded adapter, or
   NULL.  */
struct eng_model *
eng_model_find_serving (const struct engine *engine, const char *name)
{
  struct eng_model *model = eng_model (engine, name);
  const struct eng_adapter *adapter
      = g_hash_table_lookup (engine->adapters, name);

  if (model == NULL && adapter != NULL && adapter->loaded)
    model = eng_model (engine, adapter->model);
  return model != NULL && model->state == ENG_LOADED ? model : NULL;
}

/* Return whether ENGINE has MORE_BYTES of free memory.  With
   --accept-overcommit, record the excess and return true.  */
bool
eng_check_memory (struct engine *engine, uint64_t more_bytes)
{
  uint64_t used_bytes = eng_used_bytes (engine) + more_bytes;
  struct json_object *entry;

  if (used_bytes <= engine->options->memory_bytes)
    return true;
  if (!engine->options->accept_overcommit)
    {
      engine->records.refused_memory++;
      return false;
    }
  entry = json_object_new_object ();
  stand_add_int (entry, "used_bytes", (int64_t)used_bytes);
  eng_record (engine, engine->records.overcommits, "overcommits", entry);
  return true;
}

static void
eng_model_loaded (void *arg)
{
  struct eng_model *model = arg;

  model->state = ENG_LOADED;
  eng_cache_put (model->engine, model);
  eng_record_state (model->engine, model->name, "loaded");
}

static void
eng_model_remove (void *arg)
{
  struct eng_model *model = arg;
  struct engine *engine = model->engine;

  eng_adapters_unload_all (engine, model->name);
  g_hash_table_remove (engine->models, model->name);
  eng_record_state (engine, model->name, "gone");
  eng_model_free (model);
}

static void
eng_model_fetched (void *arg, const struct http_response *response)
{
  struct eng_fetch *fetch = arg;
  struct eng_model *model = eng_model (fetch->engine, fetch->name);

  if (model != NULL && model->serial == fetch->serial
      && model->state == ENG_LOADING)
    {
      if (response->outcome == HTTP_COMPLETE && response->status == 200)
        eng_model_loaded (model);
      else
        eng_model_remove (model);
    }
  g_free (fetch->name);
  g_free (fetch);
}

static void
eng_model_fetch (struct eng_model *model)
{
  struct engine *engine = model->engine;
  struct eng_fetch *fetch = g_new0 (struct eng_fetch, 1);
  char *path = g_strdup_printf ("/weights/%s?bytes=%" G_GUINT64_FORMAT,
                                model->name, model->bytes);
  struct http_request request = { .method = "GET",
                                  .address = engine->options->weights_address,
                                  .path = path,
                                  .timeout_ms = ENG_FETCH_TIMEOUT_MS };

  fetch->engine = engine;
  fetch->name = g_strdup (model->name);
  fetch->serial = model->serial;
  (void)http_fetch (engine->host->client, &request, eng_model_fetched, fetch);
  g_free (path);
}

static void
eng_model_start_load (struct eng_model *model)
{
  struct engine *engine = model->engine;
  const struct eng_options *options = engine->options;
  const struct eng_checkpoint *cached
      = eng_checkpoint (engine, model->name, model->version);
  uint64_t rates[]
      = { options->memory_rate, options->disk_rate, options->remote_rate };
  uint64_t load_us;

  model->tier = cached == NULL ? ENG_TIER_REMOTE : cached->tier;
  load_us = model->bytes / (rates[model->tier] / STAND_US_PER_MS + 1)
            * STAND_US_PER_MS;
  model->ready_us = stand_now_us () + load_us;
  if (model->tier == ENG_TIER_REMOTE && options->weights_address != NULL)
    eng_model_fetch (model);
  else
    tm_after (engine->host->tm, &model->timer, load_us, eng_model_loaded,
              model);
}

/* Execute the load ORDER and return the HTTP status: 202 if accepted, 400 if
   invalid, 409 if another version is loaded or the model is unloading, 507 if
   out of memory.  */
uint16_t
eng_model_load (struct engine *engine, struct json_object *order)
{
  const char *name = stand_get_string (order, "model");
  const char *version = stand_get_string (order, "version");
  uint64_t bytes = (uint64_t)stand_get_int (order, "bytes", 0);
  uint64_t adapter_bytes = (uint64_t)stand_get_int (order, "adapter_bytes", 0);
  struct eng_model *model = eng_model (engine, name);

  if (name[0] == '\0' || bytes == 0)
    return 400;
  if (model != NULL)
    return model->state != ENG_UNLOADING
                   && strcmp (model->version, version) == 0
               ? 202
               : 409;
  if (!eng_check_memory (engine, bytes + adapter_bytes))
    return 507;
  model = g_new0 (struct eng_model, 1);
  model->engine = engine;
  model->name = g_strdup (name);
  model->version = g_strdup (version);
  model->bytes = bytes;
  model->adapter_bytes = adapter_bytes;
  model->serial = ++engine->serial;
  g_hash_table_insert (engine->models, model->name, model);
  eng_record_state (engine, name, "loading");
  eng_model_start_load (model);
  return 202;
}

/* If MODEL is unloading and has no running requests, remove it after the
   duration of an unload.  */
void
eng_model_finish_unload (struct eng_model *model)
{
  if (model->state == ENG_UNLOADING && model->running == 0
      && !tm_pending (&model->timer))
    tm_after (model->engine->host->tm, &model->timer,
              (uint64_t)model->engine->options->unload_ms * STAND_US_PER_MS,
              eng_model_remove, model);
}

/* Start to unload the model NAME.  It accepts no new requests, and running
   requests complete first.  Return the HTTP status 202, also if the model is
   not present.  */
uint16_t
eng_model_unload (struct engine *engine, const char *name)
{
  struct eng_model *model = eng_model (engine, name);

  if (model == NULL || model->state == ENG_UNLOADING)
    return 202;
  if (model->running > 0)
    engine->records.unloads_while_busy++;
  tm_cancel (engine->host->tm, &model->timer);
  model->state = ENG_UNLOADING;
  eng_record_state (engine, name, "unloading");
  eng_model_finish_unload (model);
  return 202;
}
