#include <stdio.h>

#include "sim.h"

#define SIM_LOAD_MIN_MS    100
#define SIM_LOAD_SPREAD_MS 2000
#define SIM_UNLOAD_MS      200
#define SIM_LATENCY_US     3000

/* An order in transit, and its outcome.  */
struct sim_order
{
  struct sim_instance *from;
  struct sim_engine *engine;
  struct plc_order order;
  char model[8];
  enum plc_outcome outcome;
  uint64_t stale_fence;
};

static struct sim_replica *
sim_find_replica (const struct sim_engine *engine, const char *model)
{
  for (guint i = 0; i < engine->replicas->len; i++)
    {
      struct sim_replica *replica = g_ptr_array_index (engine->replicas, i);

      if (g_str_equal (replica->model->name, model))
        return replica;
    }
  return NULL;
}

/* Check the state of the engines: no model has more replicas than its budget,
   and no engine uses more memory than it has.  */
void
sim_check (struct sim *sim)
{
  uint32_t replicas[SIM_MODELS] = { 0 };

  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    {
      const struct sim_engine *engine = &sim->engines[i];
      uint64_t used = 0;

      for (guint j = 0; j < engine->replicas->len; j++)
        {
          const struct sim_replica *replica
              = g_ptr_array_index (engine->replicas, j);

          used += replica->bytes;
          replicas[replica->model - sim_plan.models]
              += replica->state != PLC_UNLOADING;
        }
      if (used > engine->spec->memory_bytes && sim->violation[0] == '\0')
        (void)snprintf (sim->violation, sizeof sim->violation,
                        "%.2f s: %s uses %u of %u bytes",
                        (double)sim->now_us / 1e6, engine->spec->address,
                        (uint32_t)used, (uint32_t)engine->spec->memory_bytes);
    }
  for (uint32_t i = 0; i < SIM_MODELS; i++)
    if (replicas[i] > sim_plan.models[i].budget && sim->violation[0] == '\0')
      (void)snprintf (sim->violation, sizeof sim->violation,
                      "%.2f s: %u replicas of %s, budget %u",
                      (double)sim->now_us / 1e6, replicas[i],
                      sim_plan.models[i].name, sim_plan.models[i].budget);
}

static const struct plc_model_spec *
sim_find_model (const char *name)
{
  for (uint32_t i = 0; i < SIM_MODELS; i++)
    if (g_str_equal (sim_plan.models[i].name, name))
      return &sim_plan.models[i];
  return NULL;
}

static void
sim_load (struct sim *sim, struct sim_engine *engine,
          const struct sim_order *order)
{
  struct sim_replica *replica = sim_find_replica (engine, order->model);

  if (replica != NULL)
    return;
  replica = g_new0 (struct sim_replica, 1);
  replica->model = sim_find_model (order->model);
  replica->bytes = order->order.bytes + order->order.adapter_bytes;
  replica->state = PLC_LOADING;
  replica->until_us
      = sim->now_us
        + (SIM_LOAD_MIN_MS + sim_random_below (sim, SIM_LOAD_SPREAD_MS))
              * SIM_US_PER_MS;
  g_ptr_array_add (engine->replicas, replica);
  sim->loads++;
  sim_log (sim, "%s loads %s", engine->spec->address, order->model);
  sim_check (sim);
}

static void
sim_execute_order (struct sim *sim, struct sim_order *order)
{
  struct sim_engine *engine = order->engine;
  struct sim_replica *replica;

  order->outcome = PLC_COMPLETED;
  if (order->order.kind == PLC_READ_STATE)
    return;
  if (engine->spec->checks_fencing && order->order.fence < engine->fence)
    {
      order->outcome = PLC_STALE;
      order->stale_fence = engine->fence;
      return;
    }
  engine->fence = MAX (engine->fence, order->order.fence);
  if (order->order.kind == PLC_LOAD)
    sim_load (sim, engine, order);
  replica = order->order.kind == PLC_UNLOAD
                ? sim_find_replica (engine, order->model)
                : NULL;
  if (replica == NULL || replica->state == PLC_UNLOADING)
    return;
  replica->state = PLC_UNLOADING;
  replica->until_us = sim->now_us + SIM_UNLOAD_MS * SIM_US_PER_MS;
  sim_log (sim, "%s unloads %s", engine->spec->address, order->model);
}

/* A reply holds the state of the engine at the time at which it was sent.  */
struct sim_order_reply
{
  struct sim_order order;
  struct plc_engine_state state;
  struct plc_reported_model models[16];
};

static void
sim_order_reply_arrives (struct sim *sim, void *data)
{
  struct sim_order_reply *reply = data;
  struct sim_instance *to = reply->order.from;

  (void)sim;
  reply->state.models = reply->models;
  if (reply->order.outcome == PLC_STALE)
    own_fence_rejected (to->own, reply->order.stale_fence);
  plc_order_done (to->plc, reply->order.order.id, reply->order.outcome,
                  &reply->state);
}

static void
sim_send_order_reply (struct sim *sim, const struct sim_order *order,
                      uint64_t delay_us)
{
  struct sim_order_reply *reply = g_new0 (struct sim_order_reply, 1);
  const struct sim_engine *engine = order->engine;

  reply->order = *order;
  reply->state.incarnation = engine->incarnation;
  reply->state.memory_bytes = engine->spec->memory_bytes;
  reply->state.leaving = engine->leaving;
  for (guint i = 0; i < engine->replicas->len && i < 16; i++)
    {
      const struct sim_replica *replica
          = g_ptr_array_index (engine->replicas, i);

      reply->models[reply->state.model_count++]
          = (struct plc_reported_model){ .name = replica->model->name,
                                         .version = replica->model->version,
                                         .bytes = replica->model->bytes,
                                         .state = replica->state,
                                         .tier = PLC_REMOTE };
    }
  if (order->from->alive)
    sim_schedule (sim, order->from, delay_us, sim_order_reply_arrives, reply);
  else
    g_free (reply);
}

static void
sim_order_arrives (struct sim *sim, void *data)
{
  struct sim_order *order = data;

  if (order->engine->alive)
    {
      sim_execute_order (sim, order);
      sim_send_order_reply (sim, order, SIM_LATENCY_US);
    }
  else
    {
      order->outcome = PLC_NOT_SENT;
      sim_send_order_reply (sim, order, SIM_LATENCY_US);
    }
}

static void
sim_order_arrives_no_reply (struct sim *sim, void *data)
{
  struct sim_order *order = data;

  if (order->engine->alive)
    sim_execute_order (sim, order);
}

/* Send ORDER.  Some replies are lost, and some orders are delayed by up to
   order_max_ms; the sender detects a lost reply at any time before that.  */
void
sim_engine_order (struct sim_instance *instance, const struct plc_order *order)
{
  struct sim *sim = instance->sim;
  struct sim_order *copy = g_new0 (struct sim_order, 1);
  uint32_t draw = sim_random_below (sim, 1000);
  uint32_t delay_ms = sim_random_below (sim, OWN_ORDER_MAX_MS - 20);

  /* Orders of an isolated instance get nearly the longest delay that is
     allowed.  */
  if (instance->fault_end_us != 0)
    {
      draw = sim->faults.reply_lost;
      delay_ms = OWN_ORDER_MAX_MS - 20 - sim_random_below (sim, 300);
    }
  copy->from = instance;
  copy->order = *order;
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    if (g_str_equal (sim->engines[i].spec->address, order->endpoint))
      copy->engine = &sim->engines[i];
  if (order->model != NULL)
    g_strlcpy (copy->model, order->model, sizeof copy->model);
  if (draw
      >= sim->faults.reply_lost + sim->faults.delayed + sim->faults.dropped)
    {
      sim_schedule (sim, NULL, SIM_LATENCY_US, sim_order_arrives, copy);
      return;
    }
  copy->outcome = PLC_NO_RESPONSE;
  sim_send_order_reply (sim, copy,
                        (10 + sim_random_below (sim, OWN_ORDER_MAX_MS - 10))
                            * SIM_US_PER_MS);
  if (draw < sim->faults.reply_lost)
    sim_schedule (sim, NULL, SIM_LATENCY_US, sim_order_arrives_no_reply, copy);
  else if (draw < sim->faults.reply_lost + sim->faults.delayed)
    sim_schedule (sim, NULL, delay_ms * SIM_US_PER_MS,
                  sim_order_arrives_no_reply, copy);
  else
    g_free (copy);
}

/* Crash engine INDEX: it restarts with empty memory and without its fencing
   number, or stays down if STAYS_DOWN.  */
void
sim_engine_crash (struct sim *sim, uint32_t index, bool stays_down)
{
  struct sim_engine *engine = &sim->engines[index];

  sim_log (sim, "%s crashes", engine->spec->address);
  engine->alive = !stays_down;
  engine->fence = 0;
  engine->incarnation += 100;
  g_ptr_array_set_size (engine->replicas, 0);
}

/* Complete the loads and unloads that are due.  */
void
sim_engine_tick (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    for (guint j = sim->engines[i].replicas->len; j > 0; j--)
      {
        struct sim_replica *replica
            = g_ptr_array_index (sim->engines[i].replicas, j - 1);

        if (sim->now_us < replica->until_us)
          continue;
        if (replica->state == PLC_UNLOADING)
          g_ptr_array_remove_index (sim->engines[i].replicas, j - 1);
        else
          replica->state = PLC_LOADED;
      }
}

uint32_t
sim_loaded (const struct sim *sim)
{
  uint32_t models = 0;

  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    for (guint j = 0; j < sim->engines[i].replicas->len; j++)
      {
        const struct sim_replica *replica
            = g_ptr_array_index (sim->engines[i].replicas, j);

        if (replica->state == PLC_LOADED)
          models |= 1U << (replica->model - sim_plan.models);
      }
  return models;
}
