#include <float.h>
#include <string.h>

#include "res_impl.h"

/* Request rate, per second, from which a model has a second replica, so that
   it stays loaded when an engine is lost.  */
#define RES_SECOND_REPLICA_RATE 1.0
/* Requests per second that one replica serves without long gaps between
   events.  An idle engine processes about 15 prompts per second (1,460 tokens
   each, at 22 to 26 tokens per ms), and each prompt stalls the other streams
   meanwhile.  */
#define RES_REPLICA_RATE 2.5
/* A replica at this many times that rate is overloaded: callers wait for
   seconds.  */
#define RES_OVERLOAD_FACTOR 2.0
/* While requests wait for other models, overloaded models get replicas if more
   than the first of these shares of the engines is idle, and busy ones from
   the second on.  */
#define RES_IDLE_SHARE_MIN  0.5
#define RES_IDLE_SHARE_HIGH 0.75
/* The same while most engines are idle: a further replica then costs only the
   eviction of a model with little demand.  */
#define RES_BUSY_FACTOR 1.2
/* Weight of the rate over the last seconds, which varies more.  */
#define RES_RECENT_WEIGHT 0.8
/* Replicas that are ordered in one step.  */
#define RES_REPLICAS_PER_STEP 4
/* Cost of a load, in ms, per request per second that the engine serves.  */
#define RES_RATE_COST_MS 250.0
/* Time by which requests in progress delay an unload.  */
#define RES_ACTIVE_COST_MS 1500.0
/* Time to unload an unused model, including the report that confirms it.  */
#define RES_EVICTION_MS 200.0
/* Time for which an engine that is reserved for another model is busy with it:
   an unload and a load from its disk.  The wait can pay off, because a load
   from the weight store takes 6 to 9 s.  */
#define RES_RESERVED_COST_MS 1200.0
/* Requests within this time count against the eviction of a model.  Demand
   moves to other models about every 5 s, so a replica is useful for about that
   long.  */
#define RES_HORIZON_S 5.0
/* A single replica is not evicted within this time after the last demand, so
   that requests that waited for its load can be sent.  */
#define RES_MIN_RESIDENCY_MS 800

/* Requests expected within this time count as waiting.  An eviction and a load
   take about 1 s; requests within twice that time find the model loaded.  */
#define RES_LOOKAHEAD_S 2.0
/* Weight of a wait of 1 s, in requests.  The longest time limit of a request
   is 10 s; a busy model has 10 to 20 requests waiting by then.  */
#define RES_AGE_WEIGHT 0.5
/* Models with a copy for which all engines are compared in one step because
   the engines with a copy are busy.  The others wait for a later step: with
   250 engines a comparison takes 30 us.  */
#define RES_STORE_SEARCHES_MAX 8
/* Interval of the search for models without a copy.  A load from the weight
   store takes seconds.  */
#define RES_PREFETCH_INTERVAL_MS 200

/* A possible placement of a model.  */
struct res_choice
{
  struct flt_endpoint *endpoint; /* NULL: none */
  char *victim;                  /* model to evict first, or NULL */
  double cost_ms;
  bool immediate;          /* the order can be sent now */
  bool reserved_for_other; /* the engine is reserved for another model */
  bool from_store;
};

/* Return the requests per second for the model of ITEM that its replicas must
   serve.  */
static double
res_replica_demand (const struct res_item *item)
{
  return MAX (item->step_rate, RES_RECENT_WEIGHT * item->step_recent_rate);
}

/* Return the number of replicas that a model with RATE should have.  */
static uint32_t
res_target_replicas (double rate)
{
  uint32_t by_rate = (uint32_t)(rate / RES_REPLICA_RATE + 1);

  return rate < RES_SECOND_REPLICA_RATE ? 1 : MAX (by_rate, 2);
}

/* Return the cost of evicting MODEL from ENDPOINT, in milliseconds of
   resulting wait, or a negative number if it must not be evicted.  */
static double
res_victim_cost (struct res_table *table, const struct rte_service *service,
                 struct flt_endpoint *endpoint, const char *model)
{
  const struct rte_model *spec = rte_model (service, model);
  const struct res_item *item = g_hash_table_lookup (table->items, model);
  uint32_t replicas = res_replicas (table, model);
  bool from_store;
  double cost_ms = RES_EVICTION_MS;
  double reload_ms;

  if (item == NULL)
    return cost_ms;
  if (replicas <= 1
      && (item->waiting > 0
          || res_now (table) - item->used_us
                 < RES_MIN_RESIDENCY_MS * RES_US_PER_MS))
    return -1;
  if (item->active > 0)
    cost_ms += RES_ACTIVE_COST_MS;
  reload_ms = spec == NULL ? 0 : res_load_ms (endpoint, spec, &from_store);
  /* The rate of a model includes that of its adapters.  */
  return cost_ms
         + res_rate (table, model) / MAX (replicas, 1) * RES_HORIZON_S
               * reload_ms;
}

/* Return the model that costs least to evict from ENDPOINT and store the cost
   in COST_MS, or return NULL if none can be evicted.  */
static char *
res_cheapest_victim (struct res_table *table,
                     const struct rte_service *service,
                     struct flt_endpoint *endpoint, double *cost_ms)
{
  const GPtrArray *models = endpoint->reported.models;
  char *best = NULL;

  *cost_ms = 0;
  for (guint i = 0; i < models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (models, i);
      double cost = res_victim_cost (table, service, endpoint, model->name);

      if (cost >= 0 && (best == NULL || cost < *cost_ms))
        {
          best = model->name;
          *cost_ms = cost;
        }
    }
  return best;
}

/* Update the used memory and the eviction victim of ENGINE, at ENDPOINT,
   unless they are current.  */
static void
res_update_usage (struct res_table *table, const struct rte_service *service,
                  struct flt_endpoint *endpoint, struct res_engine *engine)
{
  if (engine->usage_generation == table->generation
      && (engine->victim == NULL
          || res_replicas (table, engine->victim) == engine->victim_replicas))
    return;
  engine->usage_generation = table->generation;
  engine->used_mb = res_used_mb (table, service, endpoint);
  engine->victim
      = res_cheapest_victim (table, service, endpoint, &engine->victim_ms);
  engine->victim_replicas
      = engine->victim == NULL ? 0 : res_replicas (table, engine->victim);
}

/* Return the estimated time until the order to ENGINE is complete, in
   milliseconds.  */
static double
res_order_left_ms (struct res_table *table, const struct res_engine *engine)
{
  uint64_t now_us = res_now (table);

  if (engine->phase == RES_IDLE)
    return now_us >= engine->not_before_us
               ? 0
               : (double)(engine->not_before_us - now_us) / RES_US_PER_MS;
  if (engine->phase != RES_EXECUTING || now_us >= engine->expected_us)
    return RES_EVICTION_MS;
  return (double)(engine->expected_us - now_us) / RES_US_PER_MS;
}

/* Return the estimated time until ENGINE, at ENDPOINT, takes an order, in
   milliseconds.  */
static double
res_busy_ms (struct res_table *table, const struct res_engine *engine,
             const struct flt_endpoint *endpoint)
{
  return MAX (res_order_left_ms (table, engine),
              flt_pause_ms (table->fleet, endpoint));
}

/* Fill CHOICE with the cost of loading MODEL at ENDPOINT, from the weight
   store or from a copy there.  Return false if that is not possible.  */
static bool
res_estimate (struct res_table *table, const struct rte_service *service,
              const struct rte_model *model, struct flt_endpoint *endpoint,
              bool from_store, struct res_choice *choice)
{
  struct res_engine *engine = res_engine (table, endpoint);
  bool reserved_for_other = engine->reserved != NULL
                            && !g_str_equal (engine->reserved, model->name);

  if (from_store && reserved_for_other)
    return false;
  if (!endpoint->has_report
      || flt_weights_find (&endpoint->reported, model->name) != NULL)
    return false;
  *choice = (struct res_choice){ .endpoint = endpoint,
                                 .reserved_for_other = reserved_for_other,
                                 .from_store = from_store };
  choice->cost_ms = from_store
                        ? model->store_ms
                        : res_load_ms (endpoint, model, &choice->from_store);
  choice->cost_ms += res_busy_ms (table, engine, endpoint)
                     + RES_RATE_COST_MS * engine->request_rate;
  choice->immediate = engine->phase == RES_IDLE
                      && res_can_order (table, engine, endpoint)
                      && !reserved_for_other;
  if (reserved_for_other)
    choice->cost_ms += RES_RESERVED_COST_MS;
  res_update_usage (table, service, endpoint, engine);
  if (engine->used_mb + model->weights_mb <= service->weights_mb)
    return true;
  choice->victim = engine->victim;
  choice->cost_ms += engine->victim_ms;
  return choice->victim != NULL;
}

/* Replace BEST by loading MODEL at ENDPOINT, if possible and cheaper.  */
static void
res_consider (struct res_table *table, const struct rte_service *service,
              const struct rte_model *model, struct flt_endpoint *endpoint,
              bool from_store, struct res_choice *best)
{
  struct res_choice choice;

  if (res_estimate (table, service, model, endpoint, from_store, &choice)
      && (best->endpoint == NULL || choice.cost_ms < best->cost_ms))
    *best = choice;
}

/* Return the cheapest placement of MODEL.  The other engines are considered
   only if no engine with a copy is faster than the weight store: they are
   many, and the store is seldom faster.  */
static struct res_choice
res_choose (struct res_table *table, const struct rte_service *service,
            const struct rte_model *model, uint32_t store_max)
{
  GPtrArray *holders = res_copy_holders (table, model->name);
  struct res_choice best = { 0 };

  for (guint i = 0; i < holders->len; i++)
    res_consider (table, service, model, g_ptr_array_index (holders, i), false,
                  &best);
  if ((best.endpoint != NULL && best.cost_ms <= model->store_ms)
      || (holders->len > 0 && table->store_searches >= RES_STORE_SEARCHES_MAX)
      || res_store_loads (table) >= store_max)
    return best;
  if (holders->len > 0)
    table->store_searches++;
  for (guint i = 0; i < table->available->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (table->available, i);

      if (!g_ptr_array_find (holders, endpoint, NULL))
        res_consider (table, service, model, endpoint, true, &best);
    }
  return best;
}

static void
res_set_reservation (const struct res_table *table, struct res_engine *engine,
                     const char *model, bool from_store)
{
  res_clear_reservation (engine);
  engine->reserved = g_strdup (model);
  engine->reserved_us = res_now (table);
  engine->reserved_store = from_store;
}

/* Execute CHOICE: order the load of MODEL, or the eviction before it.  */
static void
res_execute (struct res_table *table, const struct rte_model *model,
             const struct res_choice *choice, const char *reason)
{
  struct res_engine *engine = res_engine (table, choice->endpoint);

  res_set_reservation (table, engine, model->name, choice->from_store);
  res_add_pending (table, model->name);
  engine->usage_generation = 0;
  if (choice->victim != NULL)
    {
      res_replica_evicted (table, choice->endpoint, choice->victim);
      res_order_model (table, engine, PRT_UNLOAD, choice->victim, reason);
    }
  else
    res_order_model (table, engine, PRT_LOAD, model->name, reason);
}

/* Reserve the engine of CHOICE, which is busy, for MODEL.  */
static void
res_reserve_busy (struct res_table *table, const struct rte_model *model,
                  const struct res_choice *choice)
{
  struct res_engine *engine = res_engine (table, choice->endpoint);

  res_set_reservation (table, engine, model->name, choice->from_store);
  res_add_pending (table, model->name);
}

/* Continue with engines that are reserved for a model.  */
static void
res_continue_reserved (struct res_table *table,
                       const struct rte_service *service)
{
  for (guint i = 0; i < table->available->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (table->available, i);
      struct res_engine *engine = res_engine (table, endpoint);
      const struct rte_model *model;
      struct res_choice choice;

      if (res_may_load_early (table, service, endpoint))
        res_load_early (table, engine);
      if (engine->reserved == NULL || engine->phase != RES_IDLE)
        continue;
      model = rte_model (service, engine->reserved);
      if (model != NULL && res_can_order (table, engine, endpoint)
          && res_estimate (table, service, model, endpoint,
                           engine->reserved_store, &choice)
          && choice.immediate)
        res_execute (table, model, &choice, "room was made");
    }
}

/* Return the urgency of loading the model of ITEM, in requests: those that
   wait, those expected during the load, and a term for the age of the oldest,
   which prevents starvation of models with little demand.  */
static double
res_urgency (const struct res_table *table, const struct res_item *item)
{
  double age_s = (double)(res_now (table) - item->waiting_since_us) / 1e6;

  return item->waiting + RES_LOOKAHEAD_S * res_rate (table, item->name)
         + RES_AGE_WEIGHT * age_s;
}

static gint
res_compare_urgency (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct res_table *table = data;
  const struct res_item *x = a;
  const struct res_item *y = b;
  double difference = res_urgency (table, y) - res_urgency (table, x);

  return difference > 0 ? 1 : difference < 0 ? -1 : strcmp (x->name, y->name);
}

/* Return the models of SERVICE for which requests wait and that no engine
   holds or loads, sorted by descending urgency.  */
static GList *
res_cold_models (struct res_table *table, const struct rte_service *service)
{
  GHashTableIter iter;
  gpointer value;
  GList *cold = NULL;

  g_hash_table_iter_init (&iter, table->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct res_item *item = value;

      if (item->adapter == NULL && item->waiting > 0
          && rte_model (service, item->model) != NULL
          && res_replicas (table, item->model) == 0
          && res_pending (table, item->model) == 0)
        cold = g_list_prepend (cold, item);
    }
  return g_list_sort_with_data (cold, res_compare_urgency, table);
}

/* Repeat the notices about models that engines hold and for which requests
   wait.  The instances concerned have missed the first notice.  Only reports
   count: entries include the notices, so a wrong notice would repeat itself.
 */
static void
res_notify_waiting (struct res_table *table)
{
  for (guint i = 0; i < table->available->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (table->available, i);
      const GPtrArray *models = endpoint->reported.models;

      if (!endpoint->has_report)
        continue;
      for (guint j = 0; j < models->len; j++)
        {
          const struct flt_model *model = g_ptr_array_index (models, j);
          struct res_item *item
              = g_hash_table_lookup (table->items, model->name);

          if (item != NULL && item->waiting > 0
              && flt_holds (table->fleet, endpoint, model->name, NULL))
            res_notify_again (table, item, endpoint);
        }
    }
}

/* Return the limit of concurrent loads from the weight store below which
   models without waiting requests may be loaded.  It leaves one load for
   requests that arrive meanwhile.  */
static uint32_t
res_prefetch_max (const struct res_table *table)
{
  return table->store_max - 1;
}

/* Load models of which no engine has a copy, so that a later load is from a
   disk, which takes about 1 s and does not occupy the weight store.  */
static void
res_prefetch (struct res_table *table, const struct rte_service *service)
{
  uint64_t now_us = res_now (table);

  if (now_us < table->next_prefetch_us
      || res_store_loads (table) >= res_prefetch_max (table))
    return;
  table->next_prefetch_us = now_us + RES_PREFETCH_INTERVAL_MS * RES_US_PER_MS;
  for (guint i = 0; i < service->models->len
                    && res_store_loads (table) < res_prefetch_max (table);
       i++)
    {
      const struct rte_model *model = g_ptr_array_index (service->models, i);
      struct res_choice choice;

      if (res_copy_holders (table, model->name)->len > 0
          || res_replicas (table, model->name) > 0
          || res_pending (table, model->name) > 0)
        continue;
      choice = res_choose (table, service, model, res_prefetch_max (table));
      if (choice.endpoint != NULL && choice.immediate)
        res_execute (table, model, &choice, "no copy outside the store");
    }
}

/* Return whether a further replica of MODEL would serve more requests per
   second than a replica of VICTIM, which would be evicted, serves now.  True
   if VICTIM is NULL.  */
static bool
res_outweighs_victim (const struct res_table *table, const char *model,
                      const char *victim)
{
  uint32_t replicas = res_replicas (table, model);
  uint32_t others = victim == NULL ? 0 : res_replicas (table, victim);

  if (victim == NULL)
    return true;
  return res_rate (table, model) / (replicas + 1)
         > res_rate (table, victim) / MAX (others, 1);
}

/* Return the item of SERVICE with the highest rate per replica among those
   with fewer replicas, loaded or pending, than their rate needs and more than
   EACH_MIN requests per second on each.  Return NULL if there is none.  */
static const struct res_item *
res_most_overloaded (const struct res_table *table,
                     const struct rte_service *service, double each_min)
{
  const struct res_item *overloaded = NULL;
  double most = each_min;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct res_item *item = value;
      double rate = res_replica_demand (item);
      uint32_t replicas;

      if (item->adapter != NULL || rate <= most)
        continue;
      replicas = res_replicas (table, item->model)
                 + res_pending (table, item->model);
      if (replicas < res_target_replicas (rate)
          && rate / MAX (replicas, 1) > most
          && rte_model (service, item->model) != NULL)
        {
          overloaded = item;
          most = rate / MAX (replicas, 1);
        }
    }
  return overloaded;
}

/* Order replicas of models with more than EACH_MIN requests per second on each
   replica.  */
static void
res_load_replicas (struct res_table *table, const struct rte_service *service,
                   double each_min)
{
  for (uint32_t i = 0; i < RES_REPLICAS_PER_STEP; i++)
    {
      const struct res_item *item
          = res_most_overloaded (table, service, each_min);
      const struct rte_model *model;
      struct res_choice choice;

      if (item == NULL)
        return;
      model = rte_model (service, item->model);
      choice = res_choose (table, service, model, res_prefetch_max (table));
      if (choice.endpoint == NULL || !choice.immediate
          || !res_outweighs_victim (table, model->name, choice.victim))
        return;
      res_execute (table, model, &choice, "asked for often");
    }
}

/* Return the share of engines that are idle and not reserved.  In a small
   fleet, idle engines are soon needed for models with waiting requests.  */
static double
res_idle_share (struct res_table *table)
{
  uint32_t idle = 0;

  for (guint i = 0; i < table->available->len; i++)
    {
      const struct res_engine *engine
          = res_engine (table, g_ptr_array_index (table->available, i));

      if (engine->phase == RES_IDLE && engine->reserved == NULL)
        idle++;
    }
  return (double)idle / MAX (table->available->len, 1);
}

/* Return the requests per second on each replica above which a model gets a
   further one.  COLD: requests wait for other models.  */
static double
res_replica_limit (struct res_table *table, bool cold)
{
  double idle = res_idle_share (table);

  if (!cold)
    return 0;
  if (idle > RES_IDLE_SHARE_HIGH)
    return RES_BUSY_FACTOR * RES_REPLICA_RATE;
  return idle > RES_IDLE_SHARE_MIN ? RES_OVERLOAD_FACTOR * RES_REPLICA_RATE
                                   : DBL_MAX;
}

/* Order the loads of models of SERVICE.  Models with waiting requests are
   loaded first, in the order of urgency, each on the engine where it is ready
   soonest; a busy engine is reserved for it.  Further replicas and prefetches
   use spare capacity of the weight store, the scarcest resource.  */
void
res_step_models (struct res_table *table, const struct rte_service *service)
{
  GList *cold;

  table->copies_valid = false;
  table->store_searches = 0;
  res_continue_reserved (table, service);
  cold = res_cold_models (table, service);
  for (GList *each = cold; each != NULL; each = each->next)
    {
      const struct res_item *item = each->data;
      const struct rte_model *model = rte_model (service, item->model);
      struct res_choice choice
          = res_choose (table, service, model, table->store_max);

      if (choice.endpoint != NULL && choice.immediate)
        res_execute (table, model, &choice, "requests wait");
      else if (choice.endpoint != NULL && !choice.reserved_for_other)
        res_reserve_busy (table, model, &choice);
    }
  /* In a large fleet some model is always waiting for a load; overloaded
     models get replicas nevertheless.  */
  res_load_replicas (table, service, res_replica_limit (table, cold != NULL));
  if (cold == NULL)
    res_prefetch (table, service);
  g_list_free (cold);
  res_notify_waiting (table);
}
