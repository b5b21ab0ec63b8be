#include <string.h>

#include "res_impl.h"

/* Memory use of engines and load times.  */

/* Return whether a load of ADAPTER of MODEL was accepted and may still be in
   progress.  */
bool
res_adapter_ordered (const struct res_engine *engine, const char *model,
                     const char *adapter)
{
  for (guint i = 0; i < engine->incoming->len; i++)
    {
      const struct res_incoming *incoming
          = &g_array_index (engine->incoming, struct res_incoming, i);

      if (g_str_equal (incoming->model, model)
          && g_str_equal (incoming->adapter, adapter))
        return true;
    }
  return false;
}

/* Return the number of adapters that WEIGHTS reports as being fetched on an
   order of an earlier leader: neither loaded nor ordered by this one.  */
static uint32_t
res_inherited_adapters (const struct res_engine *engine,
                        const struct flt_weights *weights)
{
  uint32_t count = 0;

  for (guint i = 0; i < weights->incoming->len; i++)
    {
      const char *name = g_ptr_array_index (weights->incoming, i);
      const char *slash = strchr (name, '/');
      const struct flt_model *held;
      char *model;

      if (slash == NULL)
        continue;
      model = g_strndup (name, (gsize)(slash - name));
      held = flt_weights_find (weights, model);
      if ((held == NULL || !flt_model_has (held, slash + 1))
          && !res_adapter_ordered (engine, model, slash + 1))
        count++;
      g_free (model);
    }
  return count;
}

/* Return the number of adapters that ENDPOINT holds or is fetching.  */
uint32_t
res_adapter_count (struct res_table *table, struct flt_endpoint *endpoint)
{
  const struct flt_weights *weights = &endpoint->reported;
  const struct res_engine *engine = res_engine (table, endpoint);
  uint32_t count
      = engine->incoming->len + res_inherited_adapters (engine, weights);

  for (guint i = 0; i < weights->models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (weights->models, i);

      count += model->adapters->len;
    }
  return count;
}

/* Return the model that ENGINE is loading or was ordered to load, or NULL.  */
const char *
res_loading_model (const struct res_engine *engine)
{
  return engine->phase != RES_IDLE && engine->phase != RES_INHERITED
                 && engine->kind == PRT_LOAD
             ? engine->model
             : NULL;
}

/* Return the size of the model called NAME.  One that is not configured counts
   as the full capacity.  */
static uint32_t
res_model_mb (const struct rte_service *service, const char *name)
{
  const struct rte_model *model = rte_model (service, name);

  return model == NULL ? service->weights_mb : model->weights_mb;
}

/* Return the memory of ENDPOINT that is in use or needed by loads in progress,
   in MB.  */
uint32_t
res_used_mb (struct res_table *table, const struct rte_service *service,
             struct flt_endpoint *endpoint)
{
  const struct flt_weights *weights = &endpoint->reported;
  const struct res_engine *engine = res_engine (table, endpoint);
  const char *loads = res_loading_model (engine);
  uint32_t used_mb = 0;

  for (guint i = 0; i < weights->models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (weights->models, i);

      used_mb += res_model_mb (service, model->name);
    }
  if (loads != NULL && flt_weights_find (weights, loads) == NULL)
    used_mb += res_model_mb (service, loads);
  return used_mb
         + res_adapter_count (table, endpoint) * service->adapter_mb_max;
}

/* Return how long ENDPOINT needs to load MODEL, in milliseconds, and store in
   FROM_STORE whether the weights come from the weight store.  */
uint32_t
res_load_ms (const struct flt_endpoint *endpoint,
             const struct rte_model *model, bool *from_store)
{
  const struct flt_weights *weights = &endpoint->reported;

  *from_store = false;
  if (flt_list_has (weights->in_memory, model->name))
    return model->memory_ms;
  if (flt_list_has (weights->on_disk, model->name))
    return model->disk_ms;
  *from_store = true;
  return model->store_ms;
}
