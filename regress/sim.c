#include <stdarg.h>
#include <stdio.h>

#include "sim.h"

#define SIM_STEP_MS      40
#define SIM_REACHABLE_MS 3000
#define SIM_RECORD_MS    10000
#define SIM_MEMBERS_MS   250

static const struct plc_model_spec sim_models[SIM_MODELS] = {
  { "a", "1", "text", 40, 5, 1, 4, 500, 3000 },
  { "b", "1", "text", 40, 5, 2, 4, 500, 3000 },
  { "c", "1", "text", 40, 5, 2, 4, 500, 3000 },
  { "d", "1", "plain", 40, 5, 1, 4, 500, 3000 },
  { "e", "1", "plain", 40, 5, 2, 4, 500, 3000 },
  { "f", "1", "plain", 40, 5, 2, 4, 500, 3000 },
};

static const struct plc_engine_spec sim_engine_specs[SIM_ENGINES] = {
  { "e0", "text", 100, true },
  { "e1", "text", 100, true },
  { "e2", "plain", 100, false },
  { "e3", "plain", 100, false },
};

const struct plc_plan sim_plan
    = { sim_models, SIM_MODELS, sim_engine_specs, SIM_ENGINES, 2 };

/* The clock of all instances; global because the clock function of the timer
   service takes no argument.  */
static uint64_t sim_clock_us;

static uint64_t
sim_clock (void)
{
  return sim_clock_us;
}

struct sim_event
{
  struct sim *sim;
  struct tm_timer timer;
  struct sim_instance *instance;
  uint64_t incarnation;
  sim_handler run;
  void *data;
  bool always; /* also called if the instance has died */
};

/* Print an event if the simulation is verbose, as in scripted runs and to
   diagnose a seed.  */
void
sim_log (struct sim *sim, const char *format, ...)
{
  va_list ap;

  if (!sim->verbose)
    return;
  printf ("%7.2f ", (double)sim->now_us / 1e6);
  va_start (ap, format);
  (void)vprintf (format, ap);
  va_end (ap);
  printf ("\n");
}

uint32_t
sim_random_below (struct sim *sim, uint32_t count)
{
  return (uint32_t)gsl_rng_uniform_int (sim->random, count);
}

static void
sim_event_free (gpointer data)
{
  struct sim_event *event = data;

  tm_cancel (event->sim->tm, &event->timer);
  g_free (event->data);
  g_free (event);
}

static void
sim_event_fire (void *arg)
{
  struct sim_event *event = arg;
  struct sim_instance *instance = event->instance;

  if (instance != NULL && instance->incarnation == event->incarnation
      && instance->paused)
    {
      tm_after (event->sim->tm, &event->timer, SIM_STEP_MS * SIM_US_PER_MS,
                sim_event_fire, event);
      return;
    }
  if (instance == NULL || event->always
      || (instance->alive && instance->incarnation == event->incarnation))
    event->run (event->sim, event->data);
  g_ptr_array_remove_fast (event->sim->events, event);
}

static struct sim_event *
sim_add_event (struct sim *sim, struct sim_instance *instance,
               uint64_t delay_us, sim_handler run, void *data)
{
  struct sim_event *event = g_new0 (struct sim_event, 1);

  event->sim = sim;
  event->instance = instance;
  event->incarnation = instance == NULL ? 0 : instance->incarnation;
  event->run = run;
  event->data = data;
  g_ptr_array_add (sim->events, event);
  tm_after (sim->tm, &event->timer, delay_us, sim_event_fire, event);
  return event;
}

void
sim_schedule (struct sim *sim, struct sim_instance *instance,
              uint64_t delay_us, sim_handler run, void *data)
{
  (void)sim_add_event (sim, instance, delay_us, run, data);
}

void
sim_schedule_always (struct sim *sim, struct sim_instance *instance,
                     uint64_t delay_us, sim_handler run, void *data)
{
  sim_add_event (sim, instance, delay_us, run, data)->always = true;
}

/* A message between two instances.  */
struct sim_message
{
  struct sim_instance *from;
  struct sim_instance *to;
  uint64_t from_incarnation;
  uint64_t fence;
  uint64_t sequence;
  uint64_t sent_us;
  uint32_t duration_ms;
  bool granted;
  char model[8];
  char endpoint[8];
  struct plc_demand demand;
};

static struct sim_message *
sim_message (struct sim_instance *from, struct sim_instance *to)
{
  struct sim_message *message = g_new0 (struct sim_message, 1);

  message->from = from;
  message->to = to;
  message->from_incarnation = from->incarnation;
  return message;
}

static void
sim_deliver (struct sim *sim, struct sim_message *message, sim_handler run)
{
  sim_schedule (sim, message->to, 500 + sim_random_below (sim, 5000), run,
                message);
}

static struct sim_message *
sim_reply (const struct sim_message *message)
{
  struct sim_message *reply = g_memdup2 (message, sizeof *message);

  reply->from = message->to;
  reply->to = message->from;
  return reply;
}

static void
sim_promise_reply_arrives (struct sim *sim, void *data)
{
  struct sim_message *message = data;

  (void)sim;
  if (message->to->incarnation == message->from_incarnation)
    own_promise_done (message->to->own, message->from->name, message->fence,
                      message->sent_us, message->granted);
}

static void
sim_promise_request_arrives (struct sim *sim, void *data)
{
  const struct sim_message *message = data;
  struct sim_message *reply = sim_reply (message);

  reply->granted = own_grant_promise (message->to->own, message->from->name,
                                      message->fence, message->duration_ms);
  sim_deliver (sim, reply, sim_promise_reply_arrives);
}

static struct sim_instance *
sim_find_instance (struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    if (g_str_equal (sim->instances[i].name, name))
      return &sim->instances[i];
  return NULL;
}

static void
sim_on_request_promise (void *arg, const char *name, uint64_t fence,
                        uint32_t duration_ms, uint64_t sent_us)
{
  struct sim_instance *instance = arg;
  struct sim_instance *to = sim_find_instance (instance->sim, name);
  struct sim_message *message = sim_message (instance, to);

  message->fence = fence;
  message->duration_ms = duration_ms;
  message->sent_us = sent_us;
  sim_deliver (instance->sim, message, sim_promise_request_arrives);
}

static void
sim_quiesce_reply_arrives (struct sim *sim, void *data)
{
  struct sim_message *message = data;

  (void)sim;
  plc_quiesce_reply (message->to->plc, message->from->name, message->model,
                     message->endpoint, message->granted, 0);
}

static void
sim_quiesce_request_arrives (struct sim *sim, void *data)
{
  const struct sim_message *message = data;
  struct sim_message *reply = sim_reply (message);

  reply->granted = message->to->fence <= message->fence;
  sim_deliver (sim, reply, sim_quiesce_reply_arrives);
}

static void
sim_on_request_quiesce (void *arg, const char *name, const char *model,
                        const char *endpoint)
{
  struct sim_instance *instance = arg;
  struct sim_message *message
      = sim_message (instance, sim_find_instance (instance->sim, name));

  g_strlcpy (message->model, model, sizeof message->model);
  g_strlcpy (message->endpoint, endpoint, sizeof message->endpoint);
  message->fence = own_fence (instance->own);
  sim_deliver (instance->sim, message, sim_quiesce_request_arrives);
}

static void
sim_view_arrives (struct sim *sim, void *data)
{
  const struct sim_message *message = data;

  (void)sim;
  message->to->fence = MAX (message->to->fence, message->fence);
  own_observe_fence (message->to->own, message->fence, message->from->name);
}

static void
sim_on_view (void *arg, const struct vw_view *view)
{
  struct sim_instance *instance = arg;

  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      struct sim_message *message
          = sim_message (instance, &instance->sim->instances[i]);

      message->fence = view->fence;
      sim_deliver (instance->sim, message, sim_view_arrives);
    }
}

static void
sim_on_gained (void *arg, uint64_t fence, const GPtrArray *pins, bool certain)
{
  struct sim_instance *instance = arg;

  sim_log (instance->sim, "%s gained %u.%u.%u%s", instance->name,
           (uint32_t)(fence >> 32), (uint32_t)(fence >> 16) & 0xffff,
           (uint32_t)fence & 0xffff, certain ? "" : " (by round)");
  plc_start (instance->plc, fence, pins, certain);
}

static void
sim_on_lost (void *arg)
{
  struct sim_instance *instance = arg;

  sim_log (instance->sim, "%s lost", instance->name);
  plc_stop (instance->plc);
}

static bool
sim_on_may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  struct sim_instance *instance = arg;

  return own_may_order (instance->own, checks_fencing, fence);
}

static bool
sim_on_may_order_later (void *arg, bool checks_fencing)
{
  struct sim_instance *instance = arg;

  return own_may_order_later (instance->own, checks_fencing);
}

static void
sim_on_order (void *arg, const struct plc_order *order)
{
  sim_engine_order (arg, order);
}

static void
sim_on_save_done (void *arg, bool saved)
{
  struct sim_instance *instance = arg;

  plc_save_done (instance->plc, saved);
}

static void
sim_on_save (void *arg, const GPtrArray *pins)
{
  struct sim_instance *instance = arg;

  own_save_pins (instance->own, pins, sim_on_save_done, instance);
}

static void
sim_on_event (void *arg, enum plc_event kind, const char *endpoint,
              const char *model)
{
  static const char *const texts[]
      = { "sealed", "doubtful", "load", "load failed", "unload", "unpinned" };
  struct sim_instance *instance = arg;

  sim_log (instance->sim, "%s %s %s %s", instance->name, texts[kind], endpoint,
           model == NULL ? "" : model);
}

void
sim_start (struct sim *sim, uint32_t index)
{
  static const struct own_callbacks own_callbacks
      = { sim_on_gained, sim_on_lost, sim_on_request_promise };
  static const struct plc_callbacks plc_callbacks
      = { sim_on_may_order,       sim_on_order, sim_on_save,
          sim_on_request_quiesce, sim_on_view,  sim_on_event,
          sim_on_may_order_later };
  struct sim_instance *instance = &sim->instances[index];
  struct own_config config = { .kv = sim_kv_store (instance),
                               .environment = "t",
                               .zone = "z",
                               .instance = instance->name,
                               .number = index + 1 };

  instance->alive = true;
  instance->paused = false;
  instance->kv_unreachable = false;
  instance->fault_end_us = 0;
  instance->fence = 0;
  instance->incarnation++;
  instance->last_heartbeat_us = sim->now_us;
  instance->tm = tm_new_clock (sim_clock);
  config.tm = instance->tm;
  config.incarnation = instance->incarnation;
  instance->plc = plc_new (instance->tm, "z", &plc_callbacks, instance);
  plc_set_plan (instance->plc, &sim_plan);
  instance->own = own_new (&config, &own_callbacks, instance);
  sim_log (sim, "%s starts", instance->name);
}

void
sim_kill (struct sim *sim, uint32_t index)
{
  struct sim_instance *instance = &sim->instances[index];

  if (!instance->alive)
    return;
  sim_log (sim, "%s dies", instance->name);
  instance->alive = false;
  instance->paused = false;
  instance->stopped_us = sim->now_us;
  own_free (instance->own);
  plc_free (instance->plc);
  tm_free (instance->tm);
  instance->own = NULL;
  instance->plc = NULL;
  instance->tm = NULL;
}

static bool
sim_is_reachable (const struct sim *sim, const struct sim_instance *instance)
{
  return instance->alive
         && sim->now_us < instance->last_heartbeat_us
                              + SIM_REACHABLE_MS * SIM_US_PER_MS;
}

static bool
sim_is_recorded (const struct sim *sim, const struct sim_instance *instance)
{
  uint64_t last_us
      = instance->alive ? instance->last_heartbeat_us : instance->stopped_us;

  return instance->incarnation > 0
         && sim->now_us < last_us + SIM_RECORD_MS * SIM_US_PER_MS;
}

/* Pass the current members to INSTANCE.  */
static void
sim_update_members (struct sim *sim, struct sim_instance *instance)
{
  struct plc_member members[SIM_INSTANCES];
  struct own_member others[SIM_INSTANCES];
  uint32_t count = 0;

  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      const struct sim_instance *peer = &sim->instances[i];

      members[i]
          = (struct plc_member){ peer->name, sim_is_recorded (sim, peer),
                                 sim_is_reachable (sim, peer) };
      if (peer != instance)
        others[count++] = (struct own_member){
          .instance = peer->name,
          .number = i + 1,
          .recorded = members[i].recorded,
          .reachable = members[i].reachable,
        };
    }
  own_set_members (instance->own, others, count);
  plc_set_members (instance->plc, members, SIM_INSTANCES);
}

static void
sim_step (struct sim *sim)
{
  bool members = sim->now_us / SIM_US_PER_MS % SIM_MEMBERS_MS < SIM_STEP_MS;

  sim->now_us += SIM_STEP_MS * SIM_US_PER_MS;
  sim_clock_us = sim->now_us;
  tm_advance (sim->tm, sim->now_us);
  sim_kv_expire (sim);
  sim_engine_tick (sim);
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      struct sim_instance *instance = &sim->instances[i];

      if (instance->fault_end_us != 0 && sim->now_us >= instance->fault_end_us)
        {
          instance->paused = false;
          instance->kv_unreachable = false;
          instance->fault_end_us = 0;
        }
      if (!instance->alive || instance->paused)
        continue;
      instance->last_heartbeat_us = sim->now_us;
      if (members)
        sim_update_members (sim, instance);
      tm_advance (instance->tm, sim->now_us);
    }
  sim_check (sim);
}

void
sim_advance (struct sim *sim, uint64_t duration_ms)
{
  for (uint64_t i = 0; i < duration_ms; i += SIM_STEP_MS)
    sim_step (sim);
}

static void
sim_demand_arrives (struct sim *sim, void *data)
{
  const struct sim_message *message = data;
  struct plc_demand demand = message->demand;

  (void)sim;
  demand.model = message->model;
  plc_update_demand (message->to->plc, message->from->name, &demand);
}

/* Report WAITING requests for MODEL from instance INDEX to the controller that
   it knows.  */
void
sim_demand (struct sim *sim, uint32_t index, const char *model,
            uint32_t waiting, uint64_t within_ms)
{
  struct sim_instance *instance = &sim->instances[index];
  const char *holder = instance->alive ? own_holder (instance->own) : NULL;
  struct sim_message *message;

  if (holder == NULL)
    return;
  message = sim_message (instance, sim_find_instance (sim, holder));
  g_strlcpy (message->model, model, sizeof message->model);
  message->demand.waiting = waiting;
  message->demand.arrivals = waiting;
  message->demand.earliest_us = sim->now_us + within_ms * SIM_US_PER_MS;
  sim_deliver (sim, message, sim_demand_arrives);
}

struct sim *
sim_new (uint64_t seed, const struct sim_faults *faults)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->now_us = 100000000;
  sim_clock_us = sim->now_us;
  sim->tm = tm_new (sim->now_us);
  sim->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim->random, seed);
  sim->faults = *faults;
  sim->events = g_ptr_array_new_with_free_func (sim_event_free);
  sim_kv_init (sim);
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    {
      sim->engines[i].spec = &sim_engine_specs[i];
      sim->engines[i].replicas = g_ptr_array_new_with_free_func (g_free);
      sim->engines[i].alive = true;
      sim->engines[i].incarnation = i + 1;
    }
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      sim->instances[i].sim = sim;
      sim->instances[i].index = i;
      (void)g_snprintf (sim->instances[i].name, sizeof sim->instances[i].name,
                        "i%u", i + 1);
    }
  return sim;
}

void
sim_free (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    sim_kill (sim, i);
  for (guint i = 0; i < sim->events->len; i++)
    {
      const struct sim_event *event = g_ptr_array_index (sim->events, i);

      if (event->always)
        event->run (sim, event->data);
    }
  g_ptr_array_free (sim->events, TRUE);
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    g_ptr_array_free (sim->engines[i].replicas, TRUE);
  sim_kv_free (sim);
  tm_free (sim->tm);
  gsl_rng_free (sim->random);
  g_free (sim);
}
