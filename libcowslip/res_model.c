#include <string.h>

#include "res_impl.h"

/* A model that is asked for this often has a second replica, so that the loss
   of an engine does not make it cold.  In requests per second.  */
#define RES_SPARE_RATE 1.0
/* Requests per second that one replica serves without pauses between events:
   an engine reads about 15 such prompts a second if it does nothing else
   (SYSTEM: 1,460 tokens at 22 to 26 per ms), and each keeps the streams of the
   others waiting meanwhile.  */
#define RES_REPLICA_RATE 2.5
/* A replica that serves this many times that rate is full: callers wait for
   seconds.  */
#define RES_CROWDED 2.0
/* What one request per second that an engine serves already counts against a
   further load there, in milliseconds.  */
#define RES_CROWD_MS 250.0
/* Runs under way delay an unload by about this much.  */
#define RES_ACTIVE_MS 1500.0
/* An unload that finds the model unused takes about this long, with the
   report that shows it.  */
#define RES_MAKE_ROOM_MS 200.0
/* An engine that is kept for another model takes about this long for it: an
   unload and a load from its disk.  Worth waiting for, because a load from the
   weight store takes 6 to 9 s.  */
#define RES_TURN_MS 1200.0
/* What an unloaded model would have served within this time counts against
   its unload: a replica stays useful about as long as demand stays put, which
   is 5 s (model_shift).  */
#define RES_HORIZON_S 5.0
/* A model that was loaded for waiting requests is not unloaded before they
   had the time to be sent.  */
#define RES_FRESH_MS 800

/* A swap takes about a second; requests that come within twice that time find
   the model loaded.  */
#define RES_AHEAD_S 2.0
/* A wait of one second counts like this many requests.  Callers of the longest
   class wait 10 s; a busy model has 10 to 20 requests waiting by then.  */
#define RES_AGE_WEIGHT 0.5
/* Models without a copy are looked for this often; a load from the weight
   store takes seconds.  */
#define RES_AHEAD_EVERY_MS 200

/* One way to load a model.  */
struct res_choice
{
  struct flt_endpoint *endpoint; /* NULL: none */
  char *victim;                  /* to be unloaded first, or NULL */
  double cost_ms;
  bool now;   /* false: the engine is busy and worth waiting for */
  bool taken; /* the engine is kept for another model first */
  bool from_store;
};

/* Return the replicas that MODEL should have.  */
static uint32_t
res_wanted (const struct res_table *table, const char *model)
{
  double rate = res_rate (table, model);
  uint32_t by_rate = (uint32_t)(rate / RES_REPLICA_RATE + 1);

  return rate < RES_SPARE_RATE ? 1 : MAX (by_rate, 2);
}

/* Return what it costs to unload MODEL from ENDPOINT, as milliseconds of
   waiting that follow from it, or a negative number if it must stay.  */
static double
res_victim_cost (struct res_table *table, const struct rte_service *service,
                 struct flt_endpoint *endpoint, const char *model)
{
  const struct rte_model *spec = rte_model (service, model);
  const struct res_item *item = g_hash_table_lookup (table->items, model);
  uint32_t replicas = res_replicas (table, model);
  bool from_store;
  double cost_ms = RES_MAKE_ROOM_MS;
  double back_ms;

  if (item == NULL)
    return cost_ms;
  if (replicas <= 1
      && (item->waiting > 0
          || res_now (table) - item->used_us < RES_FRESH_MS * RES_US_PER_MS))
    return -1;
  if (item->active > 0)
    cost_ms += RES_ACTIVE_MS;
  back_ms = spec == NULL ? 0 : res_load_ms (endpoint, spec, &from_store);
  /* Rates of an item hold those of its adapters too.  */
  return cost_ms
         + res_rate (table, model) / MAX (replicas, 1) * RES_HORIZON_S
               * back_ms;
}

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

/* Find how full ENGINE, at ENDPOINT, is and what could give way there, unless
   that is known since the last order.  */
static void
res_look_at (struct res_table *table, const struct rte_service *service,
             struct flt_endpoint *endpoint, struct res_engine *engine)
{
  if (engine->looked == table->counts)
    return;
  engine->looked = table->counts;
  engine->used_mb = res_used_mb (table, service, endpoint);
  engine->victim
      = res_cheapest_victim (table, service, endpoint, &engine->victim_ms);
}

/* Return how long ENDPOINT is still busy with its order, in milliseconds.  */
static double
res_busy_ms (struct res_table *table, const struct res_engine *engine)
{
  uint64_t now_us = res_now (table);

  if (engine->phase == RES_IDLE)
    return now_us >= engine->not_before_us
               ? 0
               : (double)(engine->not_before_us - now_us) / RES_US_PER_MS;
  if (engine->phase != RES_WORKING || now_us >= engine->expected_us)
    return RES_MAKE_ROOM_MS;
  return (double)(engine->expected_us - now_us) / RES_US_PER_MS;
}

/* Fill CHOICE with what loading MODEL at ENDPOINT takes, from the weight store
   or from a copy there.  Return false if it is not possible.  */
static bool
res_weigh (struct res_table *table, const struct rte_service *service,
           const struct rte_model *model, struct flt_endpoint *endpoint,
           bool from_store, struct res_choice *choice)
{
  struct res_engine *engine = res_engine (table, endpoint);
  bool taken = engine->reserved != NULL
               && !g_str_equal (engine->reserved, model->name);

  if (from_store && taken)
    return false;
  if (!endpoint->reported_known
      || flt_weights_find (&endpoint->reported, model->name) != NULL)
    return false;
  *choice = (struct res_choice){ .endpoint = endpoint,
                                 .taken = taken,
                                 .from_store = from_store };
  choice->cost_ms = from_store
                        ? model->store_ms
                        : res_load_ms (endpoint, model, &choice->from_store);
  choice->cost_ms
      += res_busy_ms (table, engine) + RES_CROWD_MS * engine->crowd;
  choice->now = engine->phase == RES_IDLE
                && res_can_order (table, engine, endpoint) && !taken;
  if (taken)
    choice->cost_ms += RES_TURN_MS;
  res_look_at (table, service, endpoint, engine);
  if (engine->used_mb + model->weights_mb <= service->weights_mb)
    return true;
  choice->victim = engine->victim;
  choice->cost_ms += engine->victim_ms;
  return choice->victim != NULL;
}

/* Take loading MODEL at ENDPOINT as BEST, if that is possible and cheaper.  */
static void
res_consider (struct res_table *table, const struct rte_service *service,
              const struct rte_model *model, struct flt_endpoint *endpoint,
              bool from_store, struct res_choice *best)
{
  struct res_choice choice;

  if (res_weigh (table, service, model, endpoint, from_store, &choice)
      && (best->endpoint == NULL || choice.cost_ms < best->cost_ms))
    *best = choice;
}

/* Return the cheapest way to load MODEL.  Engines that have a copy are looked
   at first: the weight store is seldom faster, and the other engines are
   many.  */
static struct res_choice
res_choose (struct res_table *table, const struct rte_service *service,
            const struct rte_model *model, uint32_t store_max)
{
  GPtrArray *holders = res_holders (table, service, model->name);
  GPtrArray *all = flt_all (table->fleet);
  struct res_choice best = { 0 };

  for (guint i = 0; i < holders->len; i++)
    res_consider (table, service, model, g_ptr_array_index (holders, i), false,
                  &best);
  if ((best.endpoint != NULL && best.cost_ms <= model->store_ms)
      || res_store_loads (table) >= store_max)
    return best;
  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);

      if (res_serves (table, service, endpoint)
          && !g_ptr_array_find (holders, endpoint, NULL))
        res_consider (table, service, model, endpoint, true, &best);
    }
  return best;
}

static void
res_keep (const struct res_table *table, struct res_engine *engine,
          const char *model, bool from_store)
{
  res_release (engine);
  engine->reserved = g_strdup (model);
  engine->reserved_us = res_now (table);
  engine->reserved_store = from_store;
}

/* Carry CHOICE out: load MODEL of SERVICE, or make room for it.  */
static void
res_carry_out (struct res_table *table, const struct rte_service *service,
               const struct rte_model *model, const struct res_choice *choice,
               const char *reason)
{
  struct res_engine *engine = res_engine (table, choice->endpoint);

  res_keep (table, engine, model->name, choice->from_store);
  if (choice->victim != NULL)
    res_order_model (table, engine, PRT_UNLOAD, choice->victim, reason);
  else
    res_order_model (table, engine, PRT_LOAD, model->name, reason);
  res_count_replicas (table, service);
}

/* Keep the engine of CHOICE, which is busy, for MODEL.  */
static void
res_reserve (struct res_table *table, const struct rte_model *model,
             const struct res_choice *choice)
{
  struct res_engine *engine = res_engine (table, choice->endpoint);

  res_keep (table, engine, model->name, choice->from_store);
  g_hash_table_add (table->under_way, g_strdup (model->name));
}

/* Go on with engines on which room was made.  */
static void
res_finish_reserved (struct res_table *table,
                     const struct rte_service *service)
{
  GPtrArray *all = flt_all (table->fleet);

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      struct res_engine *engine;
      const struct rte_model *model;
      struct res_choice choice;

      if (!res_serves (table, service, endpoint))
        continue;
      engine = res_engine (table, endpoint);
      if (res_may_load_early (table, service, endpoint))
        res_load_early (table, engine);
      if (engine->reserved == NULL || engine->phase != RES_IDLE)
        continue;
      model = rte_model (service, engine->reserved);
      if (model != NULL && res_can_order (table, engine, endpoint)
          && res_weigh (table, service, model, endpoint,
                        engine->reserved_store, &choice)
          && choice.now)
        res_carry_out (table, service, model, &choice, "room was made");
    }
}

/* Return how much is served by loading the model of ITEM next: the requests
   that wait and those that will come while it is loaded, and a share for the
   age of the oldest, so that a model which few ask for has its turn.  */
static double
res_urgency (const struct res_table *table, const struct res_item *item)
{
  double age_s = (double)(res_now (table) - item->waiting_since_us) / 1e6;

  return item->waiting + RES_AHEAD_S * res_rate (table, item->name)
         + RES_AGE_WEIGHT * age_s;
}

static gint
res_most_urgent (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct res_table *table = data;
  const struct res_item *x = a;
  const struct res_item *y = b;
  double difference = res_urgency (table, y) - res_urgency (table, x);

  return difference > 0 ? 1 : difference < 0 ? -1 : strcmp (x->name, y->name);
}

/* Return the models of SERVICE for which requests wait and that no engine
   holds or loads, the most urgent first.  */
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
          && !res_is_under_way (table, item->model))
        cold = g_list_prepend (cold, item);
    }
  return g_list_sort_with_data (cold, res_most_urgent, table);
}

/* An instance that waits for a model that an engine holds has missed the
   news.  */
static void
res_repeat_news (struct res_table *table, const struct rte_service *service)
{
  GPtrArray *all = flt_all (table->fleet);

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      const GPtrArray *models = endpoint->entry.weights.models;

      if (!res_serves (table, service, endpoint))
        continue;
      for (guint j = 0; j < models->len; j++)
        {
          const struct flt_model *model = g_ptr_array_index (models, j);
          struct res_item *item
              = g_hash_table_lookup (table->items, model->name);

          if (item != NULL && item->waiting > 0
              && flt_holds (table->fleet, endpoint, model->name, NULL))
            res_repeat_ready (table, item, endpoint);
        }
    }
}

/* Return how many loads from the weight store may run for models that nobody
   waits for.  One place stays free for a request that comes meanwhile.  */
static uint32_t
res_store_ahead (const struct res_table *table)
{
  return table->store_max - 1;
}

/* Load models of which no engine has a copy, so that a later request finds
   them on a disk, which takes a second and not the weight store's time.  */
static void
res_load_ahead (struct res_table *table, const struct rte_service *service)
{
  uint64_t now_us = res_now (table);

  if (now_us < table->ahead_us
      || res_store_loads (table) >= res_store_ahead (table))
    return;
  table->ahead_us = now_us + RES_AHEAD_EVERY_MS * RES_US_PER_MS;
  for (guint i = 0; i < service->models->len
                    && res_store_loads (table) < res_store_ahead (table);
       i++)
    {
      const struct rte_model *model = g_ptr_array_index (service->models, i);
      struct res_choice choice;

      if (res_holders (table, service, model->name)->len > 0
          || res_replicas (table, model->name) > 0
          || res_is_under_way (table, model->name))
        continue;
      choice = res_choose (table, service, model, res_store_ahead (table));
      if (choice.endpoint != NULL && choice.now)
        res_carry_out (table, service, model, &choice,
                       "no copy outside the store");
    }
}

/* Return whether the replicas of MODEL are worth more than what VICTIM, which
   would give way, serves: one of the requests per second of a crowded replica
   against all of the victim's.  */
static bool
res_is_worth (const struct res_table *table, const char *model,
              const char *victim)
{
  uint32_t replicas = res_replicas (table, model);
  uint32_t others = victim == NULL ? 0 : res_replicas (table, victim);

  if (victim == NULL)
    return true;
  return res_rate (table, model) / (replicas + 1)
         > res_rate (table, victim) / MAX (others, 1);
}

/* Give models that are asked for often as many replicas as their rate needs,
   the most crowded first, if each has more than EACH_MIN requests per
   second.  */
static void
res_load_spares (struct res_table *table, const struct rte_service *service,
                 double each_min)
{
  const struct rte_model *crowded = NULL;
  double most = each_min;
  struct res_choice choice;

  for (guint i = 0; i < service->models->len; i++)
    {
      const struct rte_model *model = g_ptr_array_index (service->models, i);
      uint32_t replicas = res_replicas (table, model->name);
      double each = res_rate (table, model->name) / MAX (replicas, 1);

      if (replicas < res_wanted (table, model->name) && each > most
          && !res_is_under_way (table, model->name))
        {
          crowded = model;
          most = each;
        }
    }
  if (crowded == NULL)
    return;
  choice = res_choose (table, service, crowded, res_store_ahead (table));
  if (choice.endpoint != NULL && choice.now
      && res_is_worth (table, crowded->name, choice.victim))
    res_carry_out (table, service, crowded, &choice, "asked for often");
}

/* Return whether more than half of the engines of SERVICE can take an order.
   Where there are few engines, those that are idle are soon needed for a model
   that somebody waits for.  */
static bool
res_has_idle_half (struct res_table *table, const struct rte_service *service)
{
  GPtrArray *all = flt_all (table->fleet);
  uint32_t engines = 0;
  uint32_t idle = 0;

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      const struct res_engine *engine;

      if (!res_serves (table, service, endpoint))
        continue;
      engine = res_engine (table, endpoint);
      engines++;
      if (engine->phase == RES_IDLE && engine->reserved == NULL)
        idle++;
    }
  return idle * 2 > engines;
}

/* Order the loads of models of SERVICE.  Requests that wait come first, the
   most urgent model first, each on the engine where it is soonest ready, which
   is kept for it if it is busy; the weight store, which is the scarcest, is
   used for the rest while it is idle.  */
void
res_step_models (struct res_table *table, const struct rte_service *service)
{
  GList *cold;

  table->copies_known = false;
  res_count_replicas (table, service);
  res_finish_reserved (table, service);
  cold = res_cold_models (table, service);
  for (GList *each = cold; each != NULL; each = each->next)
    {
      const struct res_item *item = each->data;
      const struct rte_model *model = rte_model (service, item->model);
      struct res_choice choice
          = res_choose (table, service, model, table->store_max);

      if (choice.endpoint != NULL && choice.now)
        res_carry_out (table, service, model, &choice, "requests wait");
      else if (choice.endpoint != NULL && !choice.taken)
        res_reserve (table, model, &choice);
    }
  /* On many engines some model is always cold; busy models whose engines are
     full must not wait for that to end.  */
  if (cold == NULL || res_has_idle_half (table, service))
    res_load_spares (table, service,
                     cold == NULL ? 0 : RES_CROWDED * RES_REPLICA_RATE);
  if (cold == NULL)
    res_load_ahead (table, service);
  g_list_free (cold);
  res_repeat_news (table, service);
}
