#include "res_impl.h"

/* A report is read this long after an order should have been carried out, and
   again after the same time: reports are some 100 ms old.  */
#define RES_REFRESH_MS 100
/* Unloads wait for the runs under way.  */
#define RES_UNLOAD_MS 50
/* An adapter is loaded within 5 to 14 ms unless more than 32 are on their way
   from the store (SYSTEM); engines of these sheets need up to 9.7 and 14.  */
#define RES_ADAPTER_MS 16
/* A load that takes this many times as long as the configuration says shares
   the weight store with too many; reports add 0.2 s to the 6 s and more.  */
#define RES_STORE_SLOW 1.3
#define RES_STORE_FAST 1.1
/* Pause after an order that was refused or failed.  */
#define RES_PAUSE_MS 250
/* Room that was made for a model is kept for it this long.  */
#define RES_RESERVED_MS 4000

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
  g_free (engine->unloaded);
  g_free (engine->adapter_model);
  g_free (engine->adapter);
  g_free (engine->reserved);
  g_free (engine);
}

/* Return what is known of ENDPOINT, an engine.  A restart clears it.  */
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

/* ENGINE is kept for no model any more.  */
void
res_release (struct res_engine *engine)
{
  g_free (engine->reserved);
  engine->reserved = NULL;
}

/* Return the endpoint of ENGINE, or NULL if it is gone or was restarted.  */
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

/* Return whether ENGINE, at ENDPOINT, can be sent an order now.  Each order
   names the count of those before it, so one at a time waits for its
   answer.  */
bool
res_can_order (const struct res_table *table, const struct res_engine *engine,
               const struct flt_endpoint *endpoint)
{
  return endpoint->reported_known && engine->adapter_order == 0
         && engine->phase != RES_SENT && engine->phase != RES_DOUBTFUL
         && engine->phase != RES_FOREIGN
         && res_now (table) >= engine->not_before_us;
}

/* Order ENGINE, which is idle, to load or unload MODEL.  Instances stop using
   what is unloaded before the engine hears of it.  */
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
    table->callbacks.news (table->arg, engine->id, FLT_CLOSING, name, NULL);
  table->callbacks.order (table->arg, &order);
}

/* Return whether the model for which room is made at ENDPOINT can be ordered
   before a report shows that the unload is done.  The engine refuses the load
   while the unload lasts, so an accepted one finds the room.  */
bool
res_may_load_early (struct res_table *table, const struct rte_service *service,
                    struct flt_endpoint *endpoint)
{
  struct res_engine *engine = res_engine (table, endpoint);
  const struct rte_model *wanted;
  const struct rte_model *victim;

  if (engine->phase != RES_WORKING || engine->kind != PRT_UNLOAD
      || engine->reserved == NULL || engine->tried_early
      || engine->adapter_order != 0 || res_now (table) < engine->expected_us)
    return false;
  wanted = rte_model (service, engine->reserved);
  victim = rte_model (service, engine->model);
  return wanted != NULL && victim != NULL
         && res_used_mb (table, service, endpoint) + wanted->weights_mb
                <= service->weights_mb + victim->weights_mb;
}

/* Order the model for which ENGINE is making room.  */
void
res_load_early (struct res_table *table, struct res_engine *engine)
{
  g_free (engine->unloaded);
  engine->unloaded = engine->model;
  engine->model = NULL;
  engine->tried_early = true;
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
    table->callbacks.news (table->arg, engine->id, FLT_GONE, model_name,
                           adapter_name);
  table->callbacks.order (table->arg, &order);
}

/* Return how many loads from the weight store are under way, or may be.  */
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

      /* An order in doubt, or of an earlier leader, may be such a load, and an
         engine on which room is made has its place already.  */
      if (engine->phase == RES_FOREIGN
          || (engine->reserved != NULL && engine->reserved_store)
          || (engine->phase != RES_IDLE && engine->kind == PRT_LOAD
              && (engine->from_store || engine->phase != RES_WORKING)))
        count++;
    }
  return count;
}

/* Return the model of the order to ENGINE, at ENDPOINT, or NULL if the
   configuration does not name it.  */
static const struct rte_model *
res_ordered (const struct res_table *table, const struct res_engine *engine,
             const struct flt_endpoint *endpoint)
{
  const struct rte_service *service
      = rte_service (table->config, endpoint->entry.service);

  return service == NULL ? NULL : rte_model (service, engine->model);
}

/* A load from the weight store has ended: fewer at once if it took much longer
   than one alone does, more if it did not although all places were taken.  */
static void
res_learn_store (struct res_table *table, const struct res_engine *engine)
{
  const struct flt_endpoint *endpoint = res_endpoint (table, engine);
  const struct rte_model *model
      = endpoint == NULL ? NULL : res_ordered (table, engine, endpoint);
  double took_ms
      = (double)(res_now (table) - engine->phase_us) / RES_US_PER_MS;

  if (model == NULL || model->store_ms == 0)
    return;
  if (took_ms > model->store_ms * RES_STORE_SLOW
      && table->store_max > RES_STORE_MIN)
    table->store_max--;
  else if (took_ms < model->store_ms * RES_STORE_FAST
           && table->store_max < RES_STORE_MOST
           && res_store_loads (table) >= table->store_max)
    table->store_max++;
}

/* The order to ENGINE is carried out.  */
static void
res_done (struct res_table *table, struct res_engine *engine)
{
  enum flt_news news = engine->kind == PRT_LOAD ? FLT_READY : FLT_GONE;

  if (engine->kind == PRT_LOAD && engine->from_store
      && engine->phase == RES_WORKING)
    res_learn_store (table, engine);
  res_set_phase (table, engine, RES_IDLE);
  if (engine->kind == PRT_LOAD)
    res_release (engine);
  table->callbacks.news (table->arg, engine->id, news, engine->model, NULL);
}

/* The order to ENGINE was not carried out.  */
static void
res_failed (struct res_table *table, struct res_engine *engine)
{
  res_set_phase (table, engine, RES_IDLE);
  engine->not_before_us = res_now (table) + RES_PAUSE_MS * RES_US_PER_MS;
  res_release (engine);
  if (engine->kind == PRT_UNLOAD)
    table->callbacks.news (table->arg, engine->id, FLT_READY, engine->model,
                           NULL);
}

static void
res_refresh (struct res_table *table, struct res_engine *engine)
{
  engine->refreshing = true;
  table->callbacks.refresh (table->arg, engine->id);
}

/* ENGINE has begun to carry out the order for a model.  */
static void
res_started (struct res_table *table, struct res_engine *engine,
             const struct flt_endpoint *endpoint)
{
  const struct rte_model *model = res_ordered (table, engine, endpoint);
  uint32_t needs_ms = RES_UNLOAD_MS;

  engine->from_store = false;
  if (engine->kind == PRT_UNLOAD)
    engine->tried_early = false;
  if (engine->kind == PRT_LOAD && model != NULL)
    needs_ms = res_load_ms (endpoint, model, &engine->from_store);
  res_set_phase (table, engine, RES_WORKING);
  engine->expected_us = res_now (table) + needs_ms * RES_US_PER_MS;
  engine->next_refresh_us
      = engine->expected_us + RES_REFRESH_MS * RES_US_PER_MS;
}

/* The load that was ordered early was answered with RESULT.  Return whether
   the unload before it still lasts.  */
static bool
res_early_answered (struct res_table *table, struct res_engine *engine,
                    struct flt_endpoint *endpoint,
                    enum prt_order_result result)
{
  if (engine->unloaded == NULL)
    return false;
  if (result == PRT_STARTED)
    {
      (void)flt_weights_drop (&endpoint->reported, engine->unloaded);
      table->callbacks.news (table->arg, engine->id, FLT_GONE,
                             engine->unloaded, NULL);
    }
  if (result != PRT_BUSY)
    {
      g_free (engine->unloaded);
      engine->unloaded = NULL;
      return false;
    }
  g_free (engine->model);
  engine->model = engine->unloaded;
  engine->unloaded = NULL;
  engine->kind = PRT_UNLOAD;
  res_set_phase (table, engine, RES_WORKING);
  engine->next_refresh_us = res_now (table) + RES_REFRESH_MS * RES_US_PER_MS;
  return true;
}

static void
res_model_answered (struct res_table *table, struct res_engine *engine,
                    struct flt_endpoint *endpoint,
                    enum prt_order_result result)
{
  if (res_early_answered (table, engine, endpoint, result))
    return;
  switch (result)
    {
    case PRT_STARTED:
      endpoint->reported.orders++;
      res_started (table, engine, endpoint);
      break;
    case PRT_HOLDS:
      res_done (table, engine);
      res_refresh (table, engine);
      break;
    case PRT_NO_ANSWER:
      /* It may be carried out up to 12 s later unless the engine accepts
         another order before, which changes the count it compares.  */
      res_set_phase (table, engine, RES_DOUBTFUL);
      engine->next_refresh_us
          = res_now (table) + RES_REFRESH_MS * RES_US_PER_MS;
      break;
    default:
      res_failed (table, engine);
      res_refresh (table, engine);
      break;
    }
}

/* Note in the report of ENDPOINT that ADAPTER of MODEL is loaded or not, as
   the engine's answer to an order says.  */
static void
res_report_adapter (struct flt_endpoint *endpoint, const char *model,
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
res_adapter_answered (struct res_table *table, struct res_engine *engine,
                      struct flt_endpoint *endpoint,
                      enum prt_order_result result)
{
  struct res_incoming incoming
      = { .ready_us = res_now (table) + RES_ADAPTER_MS * RES_US_PER_MS };

  engine->adapter_order = 0;
  if (result == PRT_STARTED
      || (result == PRT_HOLDS && engine->adapter_kind == PRT_UNLOAD))
    endpoint->reported.orders++;
  if (engine->adapter_kind == PRT_UNLOAD
      && (result == PRT_STARTED || result == PRT_HOLDS))
    res_report_adapter (endpoint, engine->adapter_model, engine->adapter,
                        false);
  if (engine->adapter_kind == PRT_LOAD
      && (result == PRT_STARTED || result == PRT_HOLDS))
    {
      incoming.model = g_strdup (engine->adapter_model);
      incoming.adapter = g_strdup (engine->adapter);
      g_array_append_val (engine->incoming, incoming);
    }
  else if (result != PRT_STARTED && result != PRT_HOLDS)
    {
      /* What was to be unloaded still takes a place.  */
      if (engine->adapter_kind == PRT_UNLOAD)
        table->callbacks.news (table->arg, engine->id, FLT_READY,
                               engine->adapter_model, engine->adapter);
      engine->not_before_us = res_now (table) + RES_PAUSE_MS * RES_US_PER_MS;
      res_refresh (table, engine);
    }
}

/* The order ID was answered with RESULT.  */
void
res_answered (struct res_table *table, uint64_t id,
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
          res_model_answered (table, engine, endpoint, result);
          return;
        }
      if (engine->adapter_order == id)
        {
          res_adapter_answered (table, engine, endpoint, result);
          return;
        }
    }
}

/* Return whether the engine shows that the order was carried out.  */
static bool
res_shows (const struct res_engine *engine,
           const struct flt_endpoint *endpoint)
{
  bool held = flt_weights_find (&endpoint->reported, engine->model) != NULL;

  return held == (engine->kind == PRT_LOAD);
}

/* The report of the engine ENDPOINT_ID was given to the fleet if GOOD.  */
void
res_refreshed (struct res_table *table, const char *endpoint_id, bool good)
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
  if (!good)
    return;
  /* The count of orders does not change when an order is completed, so what
     an engine holds is known only when none is under way.  */
  if (engine->phase == RES_IDLE && endpoint->reported.busy)
    res_set_phase (table, engine, RES_FOREIGN);
  else if (engine->phase == RES_FOREIGN && !endpoint->reported.busy)
    res_set_phase (table, engine, RES_IDLE);
  if (engine->phase != RES_WORKING && engine->phase != RES_DOUBTFUL)
    return;
  if (res_shows (engine, endpoint))
    res_done (table, engine);
  else if (endpoint->reported.busy)
    {
      /* An unanswered order turns out to be under way.  */
      if (engine->phase == RES_DOUBTFUL)
        res_set_phase (table, engine, RES_WORKING);
    }
  else if (engine->phase == RES_DOUBTFUL
           || now_us - engine->phase_us > RES_REFRESH_MS * RES_US_PER_MS)
    res_failed (table, engine);
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
      table->callbacks.news (table->arg, engine->id, FLT_READY,
                             incoming->model, incoming->adapter);
      res_report_adapter (endpoint, incoming->model, incoming->adapter, true);
      g_array_remove_index (engine->incoming, i);
    }
}

/* Do what is due for ENGINE apart from new orders.  */
void
res_engine_step (struct res_table *table, struct res_engine *engine)
{
  struct flt_endpoint *endpoint = res_endpoint (table, engine);
  uint64_t now_us = res_now (table);

  res_step_incoming (table, engine, endpoint);
  if (engine->reserved != NULL
      && now_us - engine->reserved_us > RES_RESERVED_MS * RES_US_PER_MS
      && engine->phase == RES_IDLE)
    res_release (engine);
  if (!endpoint->reported_known)
    {
      if (!engine->refreshing && now_us >= engine->next_refresh_us)
        res_refresh (table, engine);
      return;
    }
  if (engine->phase == RES_IDLE || engine->phase == RES_SENT)
    return;
  if (engine->phase == RES_WORKING && res_shows (engine, endpoint))
    res_done (table, engine);
  else if (!engine->refreshing && now_us >= engine->next_refresh_us)
    res_refresh (table, engine);
}
