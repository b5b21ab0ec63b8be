#include <string.h>

#include "adapter_sim.h"

/* Longer than real loads, so that they overlap more often.  */
#define AS_LOAD_SPREAD_MS 90
/* An order whose load would end later than order_max_ms is not sent so late.
 */
#define AS_LATE_MS (AS_ORDER_MS - AS_LOAD_SPREAD_MS - 20)
/* Long enough for answers to overtake each other.  */
#define AS_ANSWER_MS 80

/* An order on its way.  The names are copied: the sender may forget them.  */
struct as_order
{
  struct plc_order order;
  struct as_engine *engine;
  uint32_t name; /* model, or adapter of an adapter order */
  uint64_t fence;
  enum plc_outcome outcome;
};

/* What an engine answered at its time.  */
struct as_answer
{
  uint64_t fence; /* of the controller that asked */
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

/* Guard the promises: the reserved memory of each replica, and the share of
   loads in flight.  */
static void
as_check (struct as_world *world)
{
  uint32_t loading = 0;

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    {
      const struct as_held *held = world->engines[i].held;
      uint64_t used[AS_MODELS] = { 0 };

      for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
        if (held[n].state != PLC_COLD)
          {
            used[as_model_of (n)] += held[n].bytes;
            loading += held[n].state == PLC_LOADING;
          }
      for (uint32_t m = 0; m < AS_MODELS; m++)
        if (used[m] > held[m].reserved)
          as_violate (world, "adapters of %s use %u of %u bytes", as_names[m],
                      (uint32_t)used[m], (uint32_t)held[m].reserved);
    }
  if (loading > AS_SHARE)
    as_violate (world, "%u adapter loads in flight", loading);
}

static void
as_send_away (struct as_world *world, struct as_engine *engine, uint32_t name)
{
  struct as_held *held = &engine->held[name];

  if (held->running > 0)
    as_violate (world, "%s unloads %s with %u requests", engine->spec->address,
                as_names[name], held->running);
  held->state = PLC_COLD;
  held->bytes = 0;
  held->reserved = 0;
  held->sent_away = true;
}

static enum plc_outcome
as_load (struct as_world *world, const struct as_order *order)
{
  struct as_held *held = &order->engine->held[order->name];
  uint32_t span_ms = as_is_adapter (order->name)
                         ? 5 + as_pick (world, AS_LOAD_SPREAD_MS)
                         : 100 + as_pick (world, 500);

  if (as_is_adapter (order->name)
      && order->engine->held[as_model_of (order->name)].state != PLC_LOADED)
    return PLC_REFUSED;
  if (held->state != PLC_COLD)
    return PLC_COMPLETED;
  held->state = PLC_LOADING;
  held->bytes = order->order.bytes;
  held->reserved = order->order.adapter_bytes;
  held->until_us = world->now_us + span_ms * AS_US_PER_MS;
  world->adapter_loads += as_is_adapter (order->name);
  as_check (world);
  return PLC_COMPLETED;
}

static void
as_unload_model (struct as_world *world, struct as_engine *engine,
                 uint32_t model)
{
  if (engine->held[model].state == PLC_COLD)
    return;
  for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
    if (as_model_of (n) == model && engine->held[n].state != PLC_COLD)
      as_send_away (world, engine, n);
  as_send_away (world, engine, model);
}

static enum plc_outcome
as_carry_out (struct as_world *world, const struct as_order *order)
{
  struct as_engine *engine = order->engine;

  if (order->order.kind == PLC_READ_STATE)
    return PLC_COMPLETED;
  if (engine->spec->checks_fencing && order->fence < engine->fence)
    return PLC_STALE;
  engine->fence = MAX (engine->fence, order->fence);
  if (order->order.kind == PLC_LOAD || order->order.kind == PLC_ADAPTER_LOAD)
    return as_load (world, order);
  if (order->order.kind == PLC_UNLOAD)
    as_unload_model (world, engine, order->name);
  if (order->order.kind == PLC_ADAPTER_UNLOAD
      && engine->held[order->name].state != PLC_COLD)
    {
      as_send_away (world, engine, order->name);
      world->adapter_unloads++;
    }
  return PLC_COMPLETED;
}

static void
as_answer_arrives (struct as_world *world, void *data)
{
  struct as_answer *answer = data;

  if (answer->fence != world->fence)
    return;
  answer->state.models = answer->models;
  answer->state.adapters = answer->adapters;
  plc_order_done (world->plc, answer->id, answer->outcome, &answer->state);
}

static void
as_answer (struct as_world *world, const struct as_order *order,
           enum plc_outcome outcome, uint64_t delay_us)
{
  const struct as_engine *engine = order->engine;
  struct as_answer *answer = g_new0 (struct as_answer, 1);
  struct plc_engine_state *state = &answer->state;

  answer->fence = order->fence;
  answer->id = order->order.id;
  answer->outcome = outcome;
  state->incarnation = engine->incarnation;
  state->memory_bytes = engine->spec->memory_bytes;
  for (uint32_t m = 0; m < AS_MODELS; m++)
    if (engine->held[m].state != PLC_COLD)
      answer->models[state->model_count++]
          = (struct plc_reported_model){ .name = as_names[m],
                                         .version = "1",
                                         .bytes = engine->held[m].bytes,
                                         .state = engine->held[m].state };
  for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
    if (engine->held[n].state != PLC_COLD)
      answer->adapters[state->adapter_count++]
          = (struct plc_reported_adapter){ .name = as_names[n],
                                           .model = as_names[as_model_of (n)],
                                           .version = "1",
                                           .state = engine->held[n].state };
  as_post (world, delay_us, as_answer_arrives, answer);
}

/* An adapter load is answered when it has ended.  */
static void
as_load_ended (struct as_world *world, void *data)
{
  struct as_order *order = data;
  enum plc_slot_state state = order->engine->held[order->name].state;

  if (order->engine->alive)
    as_answer (world, order, state == PLC_LOADED ? PLC_COMPLETED : PLC_REFUSED,
               (1 + as_pick (world, AS_ANSWER_MS)) * AS_US_PER_MS);
  else
    as_answer (world, order, PLC_NO_RESPONSE, AS_US_PER_MS);
}

static void
as_order_arrives (struct as_world *world, void *data)
{
  const struct as_order *order = data;
  const struct as_held *held = &order->engine->held[order->name];
  enum plc_outcome outcome
      = order->engine->alive ? as_carry_out (world, order) : PLC_NOT_SENT;

  if (order->outcome == PLC_NO_RESPONSE)
    return;
  if (order->order.kind == PLC_ADAPTER_LOAD && outcome == PLC_COMPLETED
      && held->state == PLC_LOADING)
    as_post (world, held->until_us - world->now_us + AS_US_PER_MS,
             as_load_ended, g_memdup2 (order, sizeof *order));
  else
    as_answer (world, order, outcome,
               (1 + as_pick (world, AS_ANSWER_MS)) * AS_US_PER_MS);
}

/* Send ORDER.  While the world is faulty, some are lost, some answers are
   lost, and some orders are carried out as late as order_max_ms.  Answers
   overtake each other.  */
void
as_engine_order (struct as_world *world, const struct plc_order *order)
{
  struct as_order *copy = g_new0 (struct as_order, 1);
  uint32_t dice = world->faulty ? as_pick (world, 1000) : 1000;
  uint64_t delay_ms = 1 + as_pick (world, 5);

  copy->order = *order;
  copy->fence = world->fence;
  if (order->model != NULL)
    copy->name
        = as_name (order->adapter != NULL ? order->adapter : order->model);
  for (uint32_t i = 0; i < AS_ENGINES; i++)
    if (g_str_equal (world->engines[i].spec->address, order->endpoint))
      copy->engine = &world->engines[i];
  if (dice < 90)
    {
      copy->outcome = PLC_NO_RESPONSE;
      as_answer (world, copy, PLC_NO_RESPONSE,
                 (20 + as_pick (world, AS_ORDER_MS - 20)) * AS_US_PER_MS);
    }
  if (dice < 30)
    delay_ms = as_pick (world, AS_LATE_MS);
  if (dice < 60 || dice >= 90)
    as_post (world, delay_ms * AS_US_PER_MS, as_order_arrives, copy);
  else
    g_free (copy);
}

/* Finish loads that are due.  */
void
as_engines_tick (struct as_world *world)
{
  for (uint32_t i = 0; i < AS_ENGINES; i++)
    for (uint32_t n = 0; n < AS_NAMES; n++)
      {
        struct as_held *held = &world->engines[i].held[n];

        if (held->state == PLC_LOADING && world->now_us >= held->until_us)
          held->state = PLC_LOADED;
      }
}

/* Engine INDEX loses its memory; it comes BACK at once or later.  */
void
as_engine_crash (struct as_world *world, uint32_t index, bool back)
{
  struct as_engine *engine = &world->engines[index];

  memset (engine->held, 0, sizeof engine->held);
  engine->incarnation += 100;
  engine->fence = 0;
  engine->alive = back;
}

/* Make the engines of the plan, empty.  */
void
as_engines_init (struct as_world *world)
{
  static const struct plc_engine_spec specs[AS_ENGINES]
      = { { "e0", "p", 260, true },
          { "e1", "p", 260, true },
          { "e2", "p", 260, false },
          { "e3", "p", 260, false } };

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    world->engines[i] = (struct as_engine){ .spec = &specs[i],
                                            .alive = true,
                                            .incarnation = i + 1 };
}
