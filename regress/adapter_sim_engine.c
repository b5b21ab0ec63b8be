#include <string.h>

#include "adapter_sim.h"

/* Longer than real loads, so that more of them overlap.  */
#define AS_LOAD_SPREAD_MS 90
/* Orders are not delayed so long that their load would end after order_max_ms.
 */
#define AS_DELAY_MAX_MS (AS_ORDER_MS - AS_LOAD_SPREAD_MS - 20)
/* Long enough for replies to be reordered.  */
#define AS_REPLY_MAX_MS 80

/* An order in transit.  The name is kept as an index, because the sender may
   free its strings.  */
struct as_order
{
  struct plc_order order;
  struct as_engine *engine;
  uint32_t name; /* model, or adapter of an adapter order */
  uint64_t fence;
  enum plc_outcome outcome;
};

/* A reply, with the state of the engine at the time at which it was sent.  */
struct as_reply
{
  uint64_t fence; /* of the controller that sent the order */
  uint64_t id;
  enum plc_outcome outcome;
  struct plc_engine_state state;
  struct plc_reported_model models[AS_MODELS];
  struct plc_reported_adapter adapters[AS_ADAPTERS];
};

static bool
as_is_adapter (uint32_t name)
{
  return name >= AS_MODELS;
}

/* Check that adapters fit into the memory reserved by their replica, and that
   no more adapter loads are in flight than allowed.  */
static void
as_check (struct as_sim *sim)
{
  uint32_t loading = 0;

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    {
      const struct as_resident *resident = sim->engines[i].resident;
      uint64_t used[AS_MODELS] = { 0 };

      for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
        if (resident[n].state != PLC_COLD)
          {
            used[as_model_of (n)] += resident[n].bytes;
            loading += resident[n].state == PLC_LOADING;
          }
      for (uint32_t m = 0; m < AS_MODELS; m++)
        if (used[m] > resident[m].reserved)
          as_report_violation (sim, "adapters of %s use %u of %u bytes",
                               as_names[m], (uint32_t)used[m],
                               (uint32_t)resident[m].reserved);
    }
  if (loading > AS_ADAPTER_LOADS_MAX)
    as_report_violation (sim, "%u adapter loads in flight", loading);
}

static void
as_unload (struct as_sim *sim, struct as_engine *engine, uint32_t name)
{
  struct as_resident *resident = &engine->resident[name];

  if (resident->running > 0)
    as_report_violation (sim, "%s unloads %s with %u requests",
                         engine->spec->address, as_names[name],
                         resident->running);
  resident->state = PLC_COLD;
  resident->bytes = 0;
  resident->reserved = 0;
  resident->unloaded = true;
}

static enum plc_outcome
as_load (struct as_sim *sim, const struct as_order *order)
{
  struct as_resident *resident = &order->engine->resident[order->name];
  uint32_t duration_ms = as_is_adapter (order->name)
                             ? 5 + as_random_below (sim, AS_LOAD_SPREAD_MS)
                             : 100 + as_random_below (sim, 500);

  if (as_is_adapter (order->name)
      && order->engine->resident[as_model_of (order->name)].state
             != PLC_LOADED)
    return PLC_REFUSED;
  if (resident->state != PLC_COLD)
    return PLC_COMPLETED;
  resident->state = PLC_LOADING;
  resident->bytes = order->order.bytes;
  resident->reserved = order->order.adapter_bytes;
  resident->until_us = sim->now_us + duration_ms * AS_US_PER_MS;
  sim->adapter_loads += as_is_adapter (order->name);
  as_check (sim);
  return PLC_COMPLETED;
}

static void
as_unload_model (struct as_sim *sim, struct as_engine *engine, uint32_t model)
{
  if (engine->resident[model].state == PLC_COLD)
    return;
  for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
    if (as_model_of (n) == model && engine->resident[n].state != PLC_COLD)
      as_unload (sim, engine, n);
  as_unload (sim, engine, model);
}

static enum plc_outcome
as_execute (struct as_sim *sim, const struct as_order *order)
{
  struct as_engine *engine = order->engine;

  if (order->order.kind == PLC_READ_STATE)
    return PLC_COMPLETED;
  if (engine->spec->checks_fencing && order->fence < engine->fence)
    return PLC_STALE;
  engine->fence = MAX (engine->fence, order->fence);
  if (order->order.kind == PLC_LOAD || order->order.kind == PLC_ADAPTER_LOAD)
    return as_load (sim, order);
  if (order->order.kind == PLC_UNLOAD)
    as_unload_model (sim, engine, order->name);
  if (order->order.kind == PLC_ADAPTER_UNLOAD
      && engine->resident[order->name].state != PLC_COLD)
    {
      as_unload (sim, engine, order->name);
      sim->adapter_unloads++;
    }
  return PLC_COMPLETED;
}

static void
as_reply_arrives (struct as_sim *sim, void *data)
{
  struct as_reply *reply = data;

  if (reply->fence != sim->fence)
    return;
  reply->state.models = reply->models;
  reply->state.adapters = reply->adapters;
  plc_order_done (sim->plc, reply->id, reply->outcome, &reply->state);
}

static void
as_reply (struct as_sim *sim, const struct as_order *order,
          enum plc_outcome outcome, uint64_t delay_us)
{
  const struct as_engine *engine = order->engine;
  struct as_reply *reply = g_new0 (struct as_reply, 1);
  struct plc_engine_state *state = &reply->state;

  reply->fence = order->fence;
  reply->id = order->order.id;
  reply->outcome = outcome;
  state->incarnation = engine->incarnation;
  state->memory_bytes = engine->spec->memory_bytes;
  for (uint32_t m = 0; m < AS_MODELS; m++)
    if (engine->resident[m].state != PLC_COLD)
      reply->models[state->model_count++]
          = (struct plc_reported_model){ .name = as_names[m],
                                         .version = "1",
                                         .bytes = engine->resident[m].bytes,
                                         .state = engine->resident[m].state };
  for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
    if (engine->resident[n].state != PLC_COLD)
      reply->adapters[state->adapter_count++]
          = (struct plc_reported_adapter){ .name = as_names[n],
                                           .model = as_names[as_model_of (n)],
                                           .version = "1",
                                           .state
                                           = engine->resident[n].state };
  as_schedule (sim, delay_us, as_reply_arrives, reply);
}

/* The reply to an adapter load is sent when the load has ended.  */
static void
as_load_done (struct as_sim *sim, void *data)
{
  struct as_order *order = data;
  enum plc_slot_state state = order->engine->resident[order->name].state;

  if (order->engine->alive)
    as_reply (sim, order, state == PLC_LOADED ? PLC_COMPLETED : PLC_REFUSED,
              (1 + as_random_below (sim, AS_REPLY_MAX_MS)) * AS_US_PER_MS);
  else
    as_reply (sim, order, PLC_NO_RESPONSE, AS_US_PER_MS);
}

static void
as_order_arrives (struct as_sim *sim, void *data)
{
  const struct as_order *order = data;
  const struct as_resident *resident = &order->engine->resident[order->name];
  enum plc_outcome outcome
      = order->engine->alive ? as_execute (sim, order) : PLC_NOT_SENT;

  if (order->outcome == PLC_NO_RESPONSE)
    return;
  if (order->order.kind == PLC_ADAPTER_LOAD && outcome == PLC_COMPLETED
      && resident->state == PLC_LOADING)
    as_schedule (sim, resident->until_us - sim->now_us + AS_US_PER_MS,
                 as_load_done, g_memdup2 (order, sizeof *order));
  else
    as_reply (sim, order, outcome,
              (1 + as_random_below (sim, AS_REPLY_MAX_MS)) * AS_US_PER_MS);
}

/* Send ORDER.  While faults are enabled, some orders are lost, some replies
   are lost, and some orders are delayed by up to order_max_ms.  Replies may be
   reordered.  */
void
as_engine_order (struct as_sim *sim, const struct plc_order *order)
{
  struct as_order *copy = g_new0 (struct as_order, 1);
  uint32_t draw = sim->faulty ? as_random_below (sim, 1000) : 1000;
  uint64_t delay_ms = 1 + as_random_below (sim, 5);

  copy->order = *order;
  copy->fence = sim->fence;
  if (order->model != NULL)
    copy->name = as_name_index (order->adapter != NULL ? order->adapter
                                                       : order->model);
  for (uint32_t i = 0; i < AS_ENGINES; i++)
    if (g_str_equal (sim->engines[i].spec->address, order->endpoint))
      copy->engine = &sim->engines[i];
  if (draw < 90)
    {
      copy->outcome = PLC_NO_RESPONSE;
      as_reply (sim, copy, PLC_NO_RESPONSE,
                (20 + as_random_below (sim, AS_ORDER_MS - 20)) * AS_US_PER_MS);
    }
  if (draw < 30)
    delay_ms = as_random_below (sim, AS_DELAY_MAX_MS);
  if (draw < 60 || draw >= 90)
    as_schedule (sim, delay_ms * AS_US_PER_MS, as_order_arrives, copy);
  else
    g_free (copy);
}

/* Complete the loads that are due.  */
void
as_engines_tick (struct as_sim *sim)
{
  for (uint32_t i = 0; i < AS_ENGINES; i++)
    for (uint32_t n = 0; n < AS_NAMES; n++)
      {
        struct as_resident *resident = &sim->engines[i].resident[n];

        if (resident->state == PLC_LOADING
            && sim->now_us >= resident->until_us)
          resident->state = PLC_LOADED;
      }
}

/* Crash engine INDEX, which loses its memory.  If RESTARTS, it is up again at
   once.  */
void
as_engine_crash (struct as_sim *sim, uint32_t index, bool restarts)
{
  struct as_engine *engine = &sim->engines[index];

  memset (engine->resident, 0, sizeof engine->resident);
  engine->incarnation += 100;
  engine->fence = 0;
  engine->alive = restarts;
}

/* Initialize the engines of the plan without models.  */
void
as_engines_init (struct as_sim *sim)
{
  static const struct plc_engine_spec specs[AS_ENGINES]
      = { { "e0", "p", 260, true },
          { "e1", "p", 260, true },
          { "e2", "p", 260, false },
          { "e3", "p", 260, false } };

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    sim->engines[i] = (struct as_engine){ .spec = &specs[i],
                                          .alive = true,
                                          .incarnation = i + 1 };
}
