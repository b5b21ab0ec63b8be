#include "res_impl.h"

/* Delay from the estimated completion of an order to reading the engine's
   report, and between further reads.  Reports are about 100 ms old.  */
#define RES_REFRESH_MS 100
/* Estimated time of an unload, which waits for requests in progress.  */
#define RES_UNLOAD_MS 50
/* Estimated time to load an adapter.  Engines need 5 to 14 ms, on some
   platforms at most 9.7 ms, unless more than 32 adapters are being fetched
   from the store.  */
#define RES_ADAPTER_MS 16
/* Ratios of actual to configured load time at which the limit of concurrent
   loads from the weight store is lowered or raised.  Reports add 0.2 s to load
   times of 6 s and more.  */
#define RES_STORE_SLOW_RATIO 1.3
#define RES_STORE_FAST_RATIO 1.1
/* Backoff after an order that was refused or failed.  */
#define RES_BACKOFF_MS 250
/* An idle engine stays reserved for a model for this long.  */
#define RES_RESERVATION_MS 4000

static void
res_incoming_clear (gpointer data)
{
  struct res_incoming *incoming = data;

  g_free (incoming->model);
  g_free (incoming->adapter);
}

/* Free the struct res_engine at DATA.  */
void
res_engine_free (gpointer data)
{
  struct res_engine *engine = data;

  g_array_free (engine->incoming, TRUE);
  g_free (engine->id);
  g_free (engine->model);
  g_free (engine->assumed_unloaded);
  g_free (engine->adapter_model);
  g_free (engine->adapter);
  g_free (engine->reserved);
  g_free (engine);
}

/* Return the state of the engine ENDPOINT, created if it is missing or from
   before a restart.  */
struct res_engine *
res_engine (struct res_table *table, struct flt_endpoint *endpoint)
{
  const struct flt_entry *entry = &endpoint->entry;
  struct res_engine *engine = g_hash_table_lookup (table->engines, entry->id);

  if (engine != NULL && engine->started_ms == entry->started_ms)
    return engine;
  if (engine != NULL)
    g_hash_table_remove (table->engines, entry->id);
  engine = g_new0 (struct res_engine, 1);
  engine->id = g_strdup (entry->id);
  engine->started_ms = entry->started_ms;
  engine->incoming = g_array_new (FALSE, FALSE, sizeof (struct res_incoming));
  g_array_set_clear_func (engine->incoming, res_incoming_clear);
  g_hash_table_insert (table->engines, engine->id, engine);
  return engine;
}

void
res_clear_reservation (struct res_engine *engine)
{
  g_free (engine->reserved);
  engine->reserved = NULL;
}

/* Return the endpoint of ENGINE, or NULL if it was removed or restarted.  */
struct flt_endpoint *
res_endpoint (struct res_table *table, const struct res_engine *engine)
{
  struct flt_endpoint *endpoint = flt_find (table->fleet, engine->id);

  return endpoint != NULL && endpoint->entry.started_ms == engine->started_ms
             ? endpoint
             : NULL;
}

static void
res_set_phase (struct res_table *table, struct res_engine *engine,
               enum res_phase phase)
{
  engine->phase = phase;
  engine->phase_us = res_now (table);
}

/* Return whether an order can be sent to ENGINE, at ENDPOINT, now.  Each order
   contains the number of orders accepted before it, so only one at a time may
   be without a response.  */
bool
res_can_order (const struct res_table *table, const struct res_engine *engine,
               const struct flt_endpoint *endpoint)
{
  return endpoint->has_report && engine->adapter_order == 0
         && engine->phase != RES_SENT && engine->phase != RES_UNCONFIRMED
         && engine->phase != RES_INHERITED
         && res_now (table) >= engine->not_before_us
         && flt_pause_ms (table->fleet, endpoint) == 0;
}

/* Order ENGINE to load or unload MODEL.  Instances are notified of an unload
   before the engine receives the order, so that they stop sending requests for
   the model.  */
void
res_order_model (struct res_table *table, struct res_engine *engine,
                 enum prt_order_kind kind, const char *model,
                 const char *reason)
{
  struct res_order order = { .id = ++table->next_order,
                             .kind = kind,
                             .endpoint = engine->id,
                             .reason = reason };
  char *name = g_strdup (model);

  g_free (engine->model);
  engine->model = name;
  order.model = name;
  engine->order = order.id;
  engine->kind = kind;
  res_set_phase (table, engine, RES_SENT);
  if (kind == PRT_UNLOAD)
    table->callbacks.notice (table->arg, engine->id, FLT_UNLOADING, name,
                             NULL);
  table->callbacks.order (table->arg, &order);
}

/* Return whether the load of the model for which ENDPOINT is reserved can be
   ordered before a report confirms the unload.  The engine refuses the load
   during the unload, so if it accepts the load, the memory is free.  */
bool
res_may_load_early (struct res_table *table, const struct rte_service *service,
                    struct flt_endpoint *endpoint)
{
  struct res_engine *engine = res_engine (table, endpoint);
  const struct rte_model *wanted;
  const struct rte_model *victim;

  if (engine->phase != RES_EXECUTING || engine->kind != PRT_UNLOAD
      || engine->reserved == NULL || engine->early_attempted
      || engine->adapter_order != 0 || res_now (table) < engine->expected_us
      || flt_pause_ms (table->fleet, endpoint) > 0)
    return false;
  wanted = rte_model (service, engine->reserved);
  victim = rte_model (service, engine->model);
  return wanted != NULL && victim != NULL
         && res_used_mb (table, service, endpoint) + wanted->weights_mb
                <= service->weights_mb + victim->weights_mb;
}

/* Order the load of the model for which ENGINE is reserved, assuming that the
   unload is complete.  */
void
res_load_early (struct res_table *table, struct res_engine *engine)
{
  g_free (engine->assumed_unloaded);
  engine->assumed_unloaded = engine->model;
  engine->model = NULL;
  engine->early_attempted = true;
  res_order_model (table, engine, PRT_LOAD, engine->reserved,
                   "room is being made");
}

/* Order ENGINE to load or unload ADAPTER of MODEL.  */
void
res_order_adapter (struct res_table *table, struct res_engine *engine,
                   enum prt_order_kind kind, const char *model,
                   const char *adapter, const char *reason)
{
  struct res_order order = { .id = ++table->next_order,
                             .kind = kind,
                             .endpoint = engine->id,
                             .reason = reason };
  char *model_name = g_strdup (model);
  char *adapter_name = g_strdup (adapter);

  g_free (engine->adapter_model);
  g_free (engine->adapter);
  engine->adapter_model = model_name;
  engine->adapter = adapter_name;
  engine->adapter_order = order.id;
  engine->adapter_kind = kind;
  order.model = model_name;
  order.adapter = adapter_name;
  if (kind == PRT_UNLOAD)
    table->callbacks.notice (table->arg, engine->id, FLT_UNLOADED, model_name,
                             adapter_name);
  table->callbacks.order (table->arg, &order);
}

/* Return the number of loads from the weight store that are, or may be, in
   progress or reserved.  */
uint32_t
res_store_loads (struct res_table *table)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct res_engine *engine = value;

      /* An unconfirmed or inherited order may be such a load, and an engine
         that is reserved for one will start it next.  */
      if (engine->phase == RES_INHERITED
          || (engine->reserved != NULL && engine->reserved_store)
          || (engine->phase != RES_IDLE && engine->kind == PRT_LOAD
              && (engine->from_store || engine->phase != RES_EXECUTING)))
        count++;
    }
  return count;
}

/* Return the model of the order to ENGINE, at ENDPOINT, or NULL if the
   configuration does not name it.  */
static const struct rte_model *
res_ordered_model (const struct res_table *table,
                   const struct res_engine *engine,
                   const struct flt_endpoint *endpoint)
{
  const struct rte_service *service
      = rte_service (table->config, endpoint->entry.service);

  return service == NULL ? NULL : rte_model (service, engine->model);
}

/* Adjust the limit of concurrent loads from the weight store after one on
   ENGINE has completed: lower it if the load took much longer than a single
   one does, raise it if it did not although the limit was reached.  */
static void
res_adjust_store_max (struct res_table *table, const struct res_engine *engine)
{
  const struct flt_endpoint *endpoint = res_endpoint (table, engine);
  const struct rte_model *model
      = endpoint == NULL ? NULL : res_ordered_model (table, engine, endpoint);
  double took_ms
      = (double)(res_now (table) - engine->phase_us) / RES_US_PER_MS;

  if (model == NULL || model->store_ms == 0)
    return;
  if (took_ms > model->store_ms * RES_STORE_SLOW_RATIO
      && table->store_max > RES_STORE_LOADS_MIN)
    table->store_max--;
  else if (took_ms < model->store_ms * RES_STORE_FAST_RATIO
           && table->store_max < RES_STORE_LOADS_MAX
           && res_store_loads (table) >= table->store_max)
    table->store_max++;
}

/* Handle the completion of the order to ENGINE.  */
static void
res_complete_order (struct res_table *table, struct res_engine *engine)
{
  enum flt_notice_kind notice
      = engine->kind == PRT_LOAD ? FLT_LOADED : FLT_UNLOADED;

  if (engine->kind == PRT_LOAD && engine->from_store
      && engine->phase == RES_EXECUTING)
    res_adjust_store_max (table, engine);
  res_set_phase (table, engine, RES_IDLE);
  if (engine->kind == PRT_LOAD)
    res_clear_reservation (engine);
  table->callbacks.notice (table->arg, engine->id, notice, engine->model,
                           NULL);
}

/* Handle the failure of the order to ENGINE.  */
static void
res_fail_order (struct res_table *table, struct res_engine *engine)
{
  res_set_phase (table, engine, RES_IDLE);
  engine->not_before_us = res_now (table) + RES_BACKOFF_MS * RES_US_PER_MS;
  res_clear_reservation (engine);
  if (engine->kind == PRT_UNLOAD)
    table->callbacks.notice (table->arg, engine->id, FLT_LOADED, engine->model,
                             NULL);
}

/* Read the report of ENGINE, after its pause if it wants no requests now.  */
void
res_refresh (struct res_table *table, struct res_engine *engine)
{
  struct flt_endpoint *endpoint = res_endpoint (table, engine);

  if (endpoint != NULL && flt_pause_ms (table->fleet, endpoint) > 0)
    {
      endpoint->has_report = false;
      engine->next_refresh_us = endpoint->paused_until_us;
      return;
    }
  engine->refreshing = true;
  table->callbacks.refresh (table->arg, engine->id);
}

/* Handle the start of the order for a model on ENGINE.  */
static void
res_begin_execution (struct res_table *table, struct res_engine *engine,
                     const struct flt_endpoint *endpoint)
{
  const struct rte_model *model = res_ordered_model (table, engine, endpoint);
  uint32_t duration_ms = RES_UNLOAD_MS;

  engine->from_store = false;
  if (engine->kind == PRT_UNLOAD)
    engine->early_attempted = false;
  if (engine->kind == PRT_LOAD && model != NULL)
    duration_ms = res_load_ms (endpoint, model, &engine->from_store);
  res_set_phase (table, engine, RES_EXECUTING);
  engine->expected_us = res_now (table) + duration_ms * RES_US_PER_MS;
  engine->next_refresh_us
      = engine->expected_us + RES_REFRESH_MS * RES_US_PER_MS;
}

/* Handle RESULT of a load that was ordered early, if there is one.  Return
   whether the unload before it is still in progress.  */
static bool
res_early_load_result (struct res_table *table, struct res_engine *engine,
                       struct flt_endpoint *endpoint,
                       enum prt_order_result result)
{
  if (engine->assumed_unloaded == NULL)
    return false;
  if (result == PRT_ACCEPTED)
    {
      (void)flt_weights_drop (&endpoint->reported, engine->assumed_unloaded);
      table->callbacks.notice (table->arg, engine->id, FLT_UNLOADED,
                               engine->assumed_unloaded, NULL);
    }
  if (result != PRT_BUSY)
    {
      g_free (engine->assumed_unloaded);
      engine->assumed_unloaded = NULL;
      return false;
    }
  g_free (engine->model);
  engine->model = engine->assumed_unloaded;
  engine->assumed_unloaded = NULL;
  engine->kind = PRT_UNLOAD;
  res_set_phase (table, engine, RES_EXECUTING);
  engine->next_refresh_us = res_now (table) + RES_REFRESH_MS * RES_US_PER_MS;
  return true;
}

static void
res_model_order_result (struct res_table *table, struct res_engine *engine,
                        struct flt_endpoint *endpoint,
                        enum prt_order_result result)
{
  if (res_early_load_result (table, engine, endpoint, result))
    return;
  switch (result)
    {
    case PRT_ACCEPTED:
      endpoint->reported.orders++;
      res_begin_execution (table, engine, endpoint);
      break;
    case PRT_COMPLETED:
      res_complete_order (table, engine);
      res_refresh (table, engine);
      break;
    case PRT_NO_RESPONSE:
      /* The engine may execute it up to 12 s later unless it accepts another
         order first, which changes the count that it compares.  */
      res_set_phase (table, engine, RES_UNCONFIRMED);
      engine->next_refresh_us
          = res_now (table) + RES_REFRESH_MS * RES_US_PER_MS;
      break;
    default:
      res_fail_order (table, engine);
      res_refresh (table, engine);
      break;
    }
}

/* Update the report of ENDPOINT: ADAPTER of MODEL is loaded or not, according
   to the engine's response to an order.  */
static void
res_update_adapter (struct flt_endpoint *endpoint, const char *model,
                    const char *adapter, bool loaded)
{
  struct flt_model *held = flt_weights_find (&endpoint->reported, model);

  if (held == NULL)
    return;
  for (guint i = held->adapters->len; i-- > 0;)
    if (g_str_equal (g_ptr_array_index (held->adapters, i), adapter))
      g_ptr_array_remove_index (held->adapters, i);
  if (loaded)
    g_ptr_array_add (held->adapters, g_strdup (adapter));
}

static void
res_adapter_order_result (struct res_table *table, struct res_engine *engine,
                          struct flt_endpoint *endpoint,
                          enum prt_order_result result)
{
  struct res_incoming incoming
      = { .ready_us = res_now (table) + RES_ADAPTER_MS * RES_US_PER_MS };

  engine->adapter_order = 0;
  if (result == PRT_ACCEPTED
      || (result == PRT_COMPLETED && engine->adapter_kind == PRT_UNLOAD))
    endpoint->reported.orders++;
  if (engine->adapter_kind == PRT_UNLOAD
      && (result == PRT_ACCEPTED || result == PRT_COMPLETED))
    res_update_adapter (endpoint, engine->adapter_model, engine->adapter,
                        false);
  if (engine->adapter_kind == PRT_LOAD
      && (result == PRT_ACCEPTED || result == PRT_COMPLETED))
    {
      incoming.model = g_strdup (engine->adapter_model);
      incoming.adapter = g_strdup (engine->adapter);
      g_array_append_val (engine->incoming, incoming);
    }
  else if (result != PRT_ACCEPTED && result != PRT_COMPLETED)
    {
      /* The adapter was not unloaded and still occupies a slot.  */
      if (engine->adapter_kind == PRT_UNLOAD)
        table->callbacks.notice (table->arg, engine->id, FLT_LOADED,
                                 engine->adapter_model, engine->adapter);
      engine->not_before_us = res_now (table) + RES_BACKOFF_MS * RES_US_PER_MS;
      res_refresh (table, engine);
    }
}

/* Complete the order ID with RESULT.  */
void
res_order_result (struct res_table *table, uint64_t id,
                  enum prt_order_result result)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct res_engine *engine = value;
      struct flt_endpoint *endpoint = res_endpoint (table, engine);

      if (endpoint == NULL)
        continue;
      if (engine->order == id && engine->phase == RES_SENT)
        {
          res_model_order_result (table, engine, endpoint, result);
          return;
        }
      if (engine->adapter_order == id)
        {
          res_adapter_order_result (table, engine, endpoint, result);
          return;
        }
    }
}

/* Return whether the engine's report shows that the order was completed.  */
static bool
res_is_confirmed (const struct res_engine *engine,
                  const struct flt_endpoint *endpoint)
{
  bool held = flt_weights_find (&endpoint->reported, engine->model) != NULL;

  return held == (engine->kind == PRT_LOAD);
}

/* Complete a refresh of the engine ENDPOINT_ID; OK if its report was passed to
   the fleet.  */
void
res_refresh_done (struct res_table *table, const char *endpoint_id, bool ok)
{
  struct res_engine *engine
      = g_hash_table_lookup (table->engines, endpoint_id);
  struct flt_endpoint *endpoint
      = engine == NULL ? NULL : res_endpoint (table, engine);
  uint64_t now_us = res_now (table);

  if (endpoint == NULL)
    return;
  engine->refreshing = false;
  engine->next_refresh_us = now_us + RES_REFRESH_MS * RES_US_PER_MS;
  if (!ok)
    return;
  /* The order count does not change when an order completes, so what an engine
     holds is known only while no order is in progress.  */
  if (engine->phase == RES_IDLE && endpoint->reported.busy)
    res_set_phase (table, engine, RES_INHERITED);
  else if (engine->phase == RES_INHERITED && !endpoint->reported.busy)
    res_set_phase (table, engine, RES_IDLE);
  if (engine->phase != RES_EXECUTING && engine->phase != RES_UNCONFIRMED)
    return;
  if (res_is_confirmed (engine, endpoint))
    res_complete_order (table, engine);
  else if (endpoint->reported.busy)
    {
      /* The order without a response is in progress after all.  */
      if (engine->phase == RES_UNCONFIRMED)
        res_set_phase (table, engine, RES_EXECUTING);
    }
  else if (engine->phase == RES_UNCONFIRMED
           || now_us - engine->phase_us > RES_REFRESH_MS * RES_US_PER_MS)
    res_fail_order (table, engine);
}

static void
res_step_incoming (struct res_table *table, struct res_engine *engine,
                   struct flt_endpoint *endpoint)
{
  for (guint i = engine->incoming->len; i-- > 0;)
    {
      struct res_incoming *incoming
          = &g_array_index (engine->incoming, struct res_incoming, i);

      if (res_now (table) < incoming->ready_us)
        continue;
      table->callbacks.notice (table->arg, engine->id, FLT_LOADED,
                               incoming->model, incoming->adapter);
      res_update_adapter (endpoint, incoming->model, incoming->adapter, true);
      g_array_remove_index (engine->incoming, i);
    }
}

/* Process completed adapter loads, the reservation and due refreshes of
   ENGINE.  */
void
res_engine_step (struct res_table *table, struct res_engine *engine)
{
  struct flt_endpoint *endpoint = res_endpoint (table, engine);
  uint64_t now_us = res_now (table);

  res_step_incoming (table, engine, endpoint);
  if (engine->reserved != NULL
      && now_us - engine->reserved_us > RES_RESERVATION_MS * RES_US_PER_MS
      && engine->phase == RES_IDLE)
    res_clear_reservation (engine);
  if (!endpoint->has_report)
    {
      if (!engine->refreshing && now_us >= engine->next_refresh_us)
        res_refresh (table, engine);
      return;
    }
  if (engine->phase == RES_IDLE || engine->phase == RES_SENT)
    return;
  if (engine->phase == RES_EXECUTING && res_is_confirmed (engine, endpoint))
    res_complete_order (table, engine);
  else if (!engine->refreshing && now_us >= engine->next_refresh_us)
    res_refresh (table, engine);
}
