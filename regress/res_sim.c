#include <stdio.h>
#include <string.h>

#include "res_sim_impl.h"

#define RSM_STEP_MS         50
#define RSM_LATENCY_MS      2
#define RSM_REPORT_MS       100
#define RSM_ANNOUNCE_MS     1200
#define RSM_DELAY_MIN_MS    2000
#define RSM_DELAY_SPREAD_MS 10000

static struct rsm_message *
rsm_message_new (struct rsm *sim, const char *engine)
{
  struct rsm_message *message = g_new0 (struct rsm_message, 1);

  message->sim = sim;
  message->engine = g_strdup (engine);
  message->term = sim->term;
  g_hash_table_add (sim->messages, message);
  return message;
}

static void
rsm_message_free (struct rsm_message *message)
{
  g_hash_table_remove (message->sim->messages, message);
  g_free (message->engine);
  g_free (message->model);
  g_free (message->adapter);
  g_free (message);
}

static void
rsm_after (struct rsm_message *message, uint64_t ms, void (*fire) (void *arg))
{
  tm_after (message->sim->tm, &message->timer, ms * RSM_US_PER_MS, fire,
            message);
}

static void
rsm_reply_arrives (void *arg)
{
  struct rsm_message *order = arg;

  if (order->term == order->sim->term)
    res_order_result (order->sim->res, order->order,
                      order->replied ? order->result : PRT_NO_RESPONSE);
  rsm_message_free (order);
}

static void
rsm_order_arrives_late (void *arg)
{
  struct rsm_message *order = arg;
  struct rsm_engine *engine = rsm_find_engine (order->sim, order->engine);

  if (engine != NULL)
    (void)rsm_accept (order->sim, engine, order);
  rsm_message_free (order);
}

static bool
rsm_chance (struct rsm *sim, uint32_t percent)
{
  return gsl_rng_uniform_int (sim->random, 100) < percent;
}

static void
rsm_order_arrives (void *arg)
{
  struct rsm_message *order = arg;
  struct rsm *sim = order->sim;
  struct rsm_engine *engine = rsm_find_engine (sim, order->engine);
  struct rsm_message *delayed;

  order->replied = true;
  order->result = PRT_REFUSED;
  if (engine != NULL && rsm_chance (sim, sim->faults.delayed))
    {
      order->replied = false;
      delayed = rsm_message_new (sim, order->engine);
      delayed->started_ms = order->started_ms;
      delayed->kind = order->kind;
      delayed->model = g_strdup (order->model);
      delayed->adapter = g_strdup (order->adapter);
      delayed->orders = order->orders;
      rsm_after (delayed,
                 RSM_DELAY_MIN_MS
                     + gsl_rng_uniform_int (sim->random, RSM_DELAY_SPREAD_MS),
                 rsm_order_arrives_late);
    }
  else if (engine != NULL)
    {
      order->result = rsm_accept (sim, engine, order);
      order->replied = order->result != PRT_NO_RESPONSE
                       && !rsm_chance (sim, sim->faults.reply_lost);
    }
  rsm_after (order, order->replied ? RSM_LATENCY_MS : 1000, rsm_reply_arrives);
}

static void
rsm_on_order (void *arg, const struct res_order *order)
{
  struct rsm *sim = arg;
  const struct flt_endpoint *endpoint = flt_find (sim->fleet, order->endpoint);
  struct rsm_message *message = rsm_message_new (sim, order->endpoint);

  message->order = order->id;
  message->started_ms = endpoint->entry.started_ms;
  message->kind = order->kind;
  message->model = g_strdup (order->model);
  message->adapter = g_strdup (order->adapter);
  message->orders = endpoint->reported.orders;
  rsm_after (message, RSM_LATENCY_MS, rsm_order_arrives);
}

static void
rsm_report_arrives (void *arg)
{
  struct rsm_message *report = arg;
  struct rsm *sim = report->sim;
  struct flt_endpoint *endpoint = flt_find (sim->fleet, report->engine);
  bool valid = report->term == sim->term && endpoint != NULL
               && endpoint->entry.started_ms == report->started_ms;

  if (valid)
    flt_set_report (sim->fleet, endpoint, &report->weights);
  else
    flt_weights_clear (&report->weights);
  if (report->term == sim->term)
    res_refresh_done (sim->res, report->engine, valid);
  rsm_message_free (report);
}

/* A report holds the state at the time of the request, RSM_REPORT_MS before it
   arrives.  */
static void
rsm_on_refresh (void *arg, const char *name)
{
  struct rsm *sim = arg;
  struct rsm_engine *engine = rsm_find_engine (sim, name);
  struct rsm_message *report = rsm_message_new (sim, name);

  flt_weights_init (&report->weights);
  report->started_ms = engine->started_ms;
  rsm_fill_report (sim, engine, &report->weights);
  rsm_after (report, RSM_REPORT_MS, rsm_report_arrives);
}

static void
rsm_on_notice (void *arg, const char *name, enum flt_notice_kind notice,
               const char *model, const char *adapter)
{
  struct rsm *sim = arg;
  struct flt_endpoint *endpoint = flt_find (sim->fleet, name);

  if (endpoint != NULL)
    flt_apply_notice (sim->fleet, endpoint, notice, model, adapter);
}

static bool
rsm_on_may_order (void *arg)
{
  return ((struct rsm *)arg)->may_order;
}

static const struct res_callbacks rsm_callbacks
    = { rsm_on_order, rsm_on_refresh, rsm_on_notice, rsm_on_may_order };

static void
rsm_announcement_arrives (void *arg)
{
  struct rsm_message *message = arg;
  struct rsm *sim = message->sim;
  const struct rsm_engine *engine = rsm_find_engine (sim, message->engine);

  if (engine != NULL && engine->started_ms == message->started_ms)
    {
      struct flt_entry *entry = flt_entry_new ();

      entry->id = g_strdup (engine->name);
      entry->service = g_strdup ("engines");
      entry->address = g_strdup ("10.0.0.1:1");
      entry->zone = g_strdup (engine->zone);
      entry->slots = 64;
      entry->started_ms = engine->started_ms;
      entry->leaving = engine->leaving;
      flt_weights_clear (&entry->weights);
      entry->weights = message->weights;
      message->weights = (struct flt_weights){ 0 };
      flt_put_entry (sim->fleet, entry);
    }
  else
    flt_weights_clear (&message->weights);
  rsm_message_free (message);
}

/* Announce the current state of ENGINE to the leader, with a random delay.  */
void
rsm_announce (struct rsm *sim, struct rsm_engine *engine)
{
  struct rsm_message *message = rsm_message_new (sim, engine->name);

  message->started_ms = engine->started_ms;
  flt_weights_init (&message->weights);
  rsm_fill_report (sim, engine, &message->weights);
  message->weights.orders = 0;
  message->weights.busy = false;
  rsm_after (message, gsl_rng_uniform_int (sim->random, 400),
             rsm_announcement_arrives);
}

static void
rsm_step (void *arg)
{
  struct rsm *sim = arg;

  tm_after (sim->tm, &sim->step, RSM_STEP_MS * RSM_US_PER_MS, rsm_step, sim);
  if (rsm_now (sim) / RSM_US_PER_MS % RSM_ANNOUNCE_MS < RSM_STEP_MS)
    for (guint i = 0; i < sim->engines->len; i++)
      rsm_announce (sim, g_ptr_array_index (sim->engines, i));
  flt_sweep (sim->fleet);
  res_step (sim->res);
}

static void
rsm_free_messages (struct rsm *sim)
{
  GList *all = g_hash_table_get_keys (sim->messages);

  for (GList *item = all; item != NULL; item = item->next)
    {
      struct rsm_message *message = item->data;

      if (message->weights.models != NULL)
        flt_weights_clear (&message->weights);
      rsm_message_free (message);
    }
  g_list_free (all);
  g_hash_table_destroy (sim->messages);
}

/* Return a simulation without engines, for engines of WEIGHTS_MB and
   ADAPTER_SLOTS each.  */
struct rsm *
rsm_new (uint64_t seed, uint32_t weights_mb, uint32_t adapter_slots)
{
  struct rsm *sim = g_new0 (struct rsm, 1);

  sim->tm = tm_new (1);
  sim->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->random, seed);
  sim->config = rte_config_new ();
  sim->service = rte_service_new ();
  sim->service->name = g_strdup ("engines");
  sim->service->engines = true;
  sim->service->weights_mb = weights_mb;
  sim->service->adapter_slots = adapter_slots;
  g_ptr_array_add (sim->config->services, sim->service);
  sim->engines = g_ptr_array_new_with_free_func (rsm_engine_free);
  sim->messages = g_hash_table_new (g_direct_hash, g_direct_equal);
  sim->store_loads = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  sim->may_order = true;
  sim->store_slowdown = 1;
  sim->fleet = flt_new (sim->tm);
  sim->res = res_new (sim->tm, sim->fleet, &rsm_callbacks, sim);
  res_configure (sim->res, sim->config);
  res_start_term (sim->res);
  tm_after (sim->tm, &sim->step, 0, rsm_step, sim);
  return sim;
}

/* Free SIM and all messages in transit.  */
void
rsm_free (struct rsm *sim)
{
  res_free (sim->res);
  rsm_free_messages (sim);
  g_ptr_array_free (sim->engines, TRUE);
  flt_free (sim->fleet);
  rte_config_unref (sim->config);
  gsl_rng_free (sim->random);
  g_array_free (sim->store_loads, TRUE);
  tm_free (sim->tm);
  g_free (sim);
}

/* Add a model with ADAPTERS adapters.  */
void
rsm_add_model (struct rsm *sim, const char *name, uint32_t weights_mb,
               uint32_t adapters)
{
  struct rte_model *model = g_new0 (struct rte_model, 1);

  model->name = g_strdup (name);
  model->weights_mb = weights_mb;
  model->adapter_mb = RSM_ADAPTER_MB;
  model->adapters = adapters;
  model->store_ms = RSM_STORE_MS;
  model->disk_ms = RSM_DISK_MS;
  model->memory_ms = RSM_MEMORY_MS;
  rte_add_model (sim->service, model);
}

/* Replace the leader by another instance, which knows no reports or orders of
   the previous one.  */
void
rsm_take_over (struct rsm *sim)
{
  sim->term++;
  flt_invalidate_reports (sim->fleet);
  res_free (sim->res);
  sim->res = res_new (sim->tm, sim->fleet, &rsm_callbacks, sim);
  res_configure (sim->res, sim->config);
  res_start_term (sim->res);
}

/* Advance the clock by MS milliseconds.  */
void
rsm_advance (struct rsm *sim, uint64_t ms)
{
  tm_advance (sim->tm, rsm_now (sim) + ms * RSM_US_PER_MS);
}
