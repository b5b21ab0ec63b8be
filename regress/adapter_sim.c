#include <stdarg.h>
#include <stdio.h>

#include "adapter_sim.h"

struct as_event
{
  uint64_t at_us;
  as_handler run;
  void *data;
};

/* A request or a reply of the quiesce protocol, or a pending save.  */
struct as_query
{
  uint64_t fence;
  uint32_t member;
  uint32_t engine;
  char name[4];
  bool accepted;
  uint32_t in_flight;
};

struct as_view
{
  struct vw_view *view;
  uint32_t member;
};

const char *const as_names[AS_NAMES]
    = { "m0", "m1", "m2", "a0", "a1", "a2",  "a3", "a4",
        "a5", "a6", "a7", "a8", "a9", "a10", "a11" };

static const struct plc_model_spec as_models[AS_MODELS]
    = { { "m0", "1", "p", 90, 30, 3, 4, 300, 1500 },
        { "m1", "1", "p", 90, 30, 2, 4, 300, 1500 },
        { "m2", "1", "p", 90, 30, 2, 4, 300, 1500 } };

static struct plc_adapter_spec as_adapters[AS_ADAPTERS];

/* Return the index of NAME, a model or an adapter.  */
uint32_t
as_name_index (const char *name)
{
  uint32_t i = 0;

  while (!g_str_equal (as_names[i], name))
    i++;
  return i;
}

/* Return the model of NAME, which is the index of a model or of an adapter.
 */
uint32_t
as_model_of (uint32_t name)
{
  return name < AS_MODELS ? name : (name - AS_MODELS) % AS_MODELS;
}

uint32_t
as_random_below (struct as_sim *sim, uint32_t count)
{
  return (uint32_t)gsl_rng_uniform_int (sim->random, count);
}

/* Record the first violation of an invariant.  */
void
as_report_violation (struct as_sim *sim, const char *format, ...)
{
  char text[160];
  va_list ap;

  if (sim->violation[0] != '\0')
    return;
  va_start (ap, format);
  (void)g_vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  (void)g_snprintf (sim->violation, sizeof sim->violation, "%.3f s: %s",
                    (double)sim->now_us / 1e6, text);
}

void
as_schedule (struct as_sim *sim, uint64_t delay_us, as_handler run, void *data)
{
  struct as_event *event = g_new0 (struct as_event, 1);

  event->at_us = sim->now_us + delay_us;
  event->run = run;
  event->data = data;
  g_ptr_array_add (sim->events, event);
}

static bool
as_may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  const struct as_sim *sim = arg;

  *fence = sim->fence;
  return checks_fencing
         || sim->now_us
                >= sim->started_us + (AS_ORDER_MS + 100) * AS_US_PER_MS;
}

static bool
as_may_order_later (void *arg, bool checks_fencing)
{
  (void)arg;
  (void)checks_fencing;
  return false;
}

static void
as_order (void *arg, const struct plc_order *order)
{
  as_engine_order (arg, order);
}

static void
as_save_done (struct as_sim *sim, void *data)
{
  const struct as_query *query = data;

  if (query->fence == sim->fence)
    plc_save_done (sim->plc, true);
}

static void
as_save (void *arg, const GPtrArray *pins)
{
  struct as_sim *sim = arg;
  struct as_query *query = g_new0 (struct as_query, 1);

  g_ptr_array_set_size (sim->pins, 0);
  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      plc_pins_add (sim->pins, pin->model, pin->slot, pin->endpoint);
    }
  query->fence = sim->fence;
  as_schedule (sim, AS_US_PER_MS, as_save_done, query);
}

static bool
as_view_has_ready (const struct vw_view *view, const char *name,
                   const char *endpoint)
{
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      if (r->state == VW_READY && g_str_equal (r->model, name)
          && g_str_equal (r->endpoint, endpoint))
        return true;
    }
  return false;
}

static void
as_quiesce_reply_arrives (struct as_sim *sim, void *data)
{
  const struct as_query *q = data;

  if (q->fence == sim->fence)
    plc_quiesce_reply (sim->plc, sim->members[q->member].name, q->name,
                       sim->engines[q->engine].spec->address, q->accepted,
                       q->in_flight);
}

/* Like the daemon, accept only with a view of the same controller in which the
   replica is not ready.  */
static void
as_quiesce_request_arrives (struct as_sim *sim, void *data)
{
  struct as_query *q = g_memdup2 (data, sizeof *q);
  const struct as_member *member = &sim->members[q->member];
  const char *address = sim->engines[q->engine].spec->address;

  q->accepted = member->view != NULL && member->view->fence == q->fence
                && !as_view_has_ready (member->view, q->name, address);
  if (q->accepted)
    q->in_flight = rt_quiesce (member->routes, q->name, address);
  as_schedule (sim, (1 + as_random_below (sim, 5)) * AS_US_PER_MS,
               as_quiesce_reply_arrives, q);
}

static void
as_request_quiesce (void *arg, const char *instance, const char *model,
                    const char *endpoint)
{
  struct as_sim *sim = arg;
  struct as_query *q = g_new0 (struct as_query, 1);

  q->fence = sim->fence;
  q->member = (uint32_t)(instance[1] - '0');
  q->engine = (uint32_t)(endpoint[1] - '0');
  g_strlcpy (q->name, model, sizeof q->name);
  as_schedule (sim, (1 + as_random_below (sim, 5)) * AS_US_PER_MS,
               as_quiesce_request_arrives, q);
}

static void
as_view_arrives (struct as_sim *sim, void *data)
{
  const struct as_view *arrived = data;
  struct as_member *member = &sim->members[arrived->member];

  if (!vw_is_newer (arrived->view, member->view))
    {
      vw_free (arrived->view);
      return;
    }
  vw_free (member->view);
  member->view = arrived->view;
  rt_view_begin (member->routes, member->view->fence);
  for (guint i = 0; i < member->view->replicas->len; i++)
    {
      const struct vw_replica *r
          = g_ptr_array_index (member->view->replicas, i);

      if (r->state == VW_READY)
        rt_view_ready (member->routes, r->model, r->endpoint);
    }
  rt_view_end (member->routes);
}

static void
as_push_view (void *arg, const struct vw_view *view)
{
  struct as_sim *sim = arg;

  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      struct as_view *copy = g_new0 (struct as_view, 1);

      copy->member = i;
      copy->view = vw_new (view->zone, view->fence, view->sequence);
      for (guint j = 0; j < view->replicas->len; j++)
        {
          const struct vw_replica *r = g_ptr_array_index (view->replicas, j);

          (void)vw_add (copy->view, r->model, r->endpoint, r->state,
                        r->ready_us);
        }
      as_schedule (sim, (1 + as_random_below (sim, 20)) * AS_US_PER_MS,
                   as_view_arrives, copy);
    }
}

static void
as_on_event (void *arg, enum plc_event kind, const char *endpoint,
             const char *model)
{
  const struct as_sim *sim = arg;

  if (sim->verbose)
    printf ("%.3f s: event %d %s %s\n", (double)sim->now_us / 1e6, (int)kind,
            endpoint, model == NULL ? "" : model);
}

/* Replace the controller at once; orders of the previous one may still be in
   transit.  */
void
as_take_over (struct as_sim *sim)
{
  static const struct plc_callbacks callbacks
      = { as_may_order, as_order,    as_save,           as_request_quiesce,
          as_push_view, as_on_event, as_may_order_later };
  struct plc_engine_spec engines[AS_ENGINES];
  struct plc_plan plan = { as_models, AS_MODELS, engines, AS_ENGINES, 4 };
  struct plc_member members[AS_MEMBERS];

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    engines[i] = *sim->engines[i].spec;
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    members[i] = (struct plc_member){ sim->members[i].name, true, true };
  for (uint32_t i = 0; i < AS_ADAPTERS; i++)
    as_adapters[i]
        = (struct plc_adapter_spec){ as_names[AS_MODELS + i], "1",
                                     as_names[i % AS_MODELS], 8 + i % 4 * 3 };
  plc_free (sim->plc);
  sim->fence++;
  sim->started_us = sim->now_us;
  sim->plc = plc_new (sim->tm, "z", &callbacks, sim);
  plc_set_plan (sim->plc, &plan);
  plc_set_adapters (sim->plc, as_adapters, AS_ADAPTERS, AS_ADAPTER_LOADS_MAX);
  plc_set_members (sim->plc, members, AS_MEMBERS);
  plc_start (sim->plc, sim->fence, sim->pins, true);
}

static void
as_run_events (struct as_sim *sim)
{
  for (guint i = 0; i < sim->events->len;)
    {
      struct as_event *event = g_ptr_array_index (sim->events, i);

      if (event->at_us > sim->now_us)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (sim->events, i);
      event->run (sim, event->data);
      g_free (event->data);
      g_free (event);
    }
}

/* Advance the clock by DURATION_MS in steps of 1 ms; stop early at a
   violation.  */
void
as_advance (struct as_sim *sim, uint32_t duration_ms)
{
  for (uint32_t i = 0; i < duration_ms && sim->violation[0] == '\0'; i++)
    {
      sim->now_us += AS_US_PER_MS;
      as_engines_tick (sim);
      as_run_events (sim);
      tm_advance (sim->tm, sim->now_us);
      as_members_tick (sim);
    }
}

/* Return a zone with empty engines and a controller.  SEED initializes the
   random number generator.  */
struct as_sim *
as_new (uint64_t seed)
{
  struct as_sim *sim = g_new0 (struct as_sim, 1);

  sim->now_us = 1000 * AS_US_PER_MS;
  sim->tm = tm_new (sim->now_us);
  sim->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim->random, seed);
  sim->pins = plc_pins_new ();
  sim->events = g_ptr_array_new ();
  as_engines_init (sim);
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      struct as_member *member = &sim->members[i];

      (void)g_snprintf (member->name, sizeof member->name, "i%u", i);
      member->routes = rt_new (sim->tm, sim->random);
      for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
        rt_set_base (member->routes, as_names[n], as_names[as_model_of (n)]);
      for (uint32_t e = 0; e < AS_ENGINES; e++)
        rt_set_batch (
            member->routes,
            rt_endpoint (member->routes, sim->engines[e].spec->address), 4);
    }
  as_take_over (sim);
  return sim;
}

/* Free SIM.  */
void
as_free (struct as_sim *sim)
{
  plc_free (sim->plc);
  for (guint i = 0; i < sim->events->len; i++)
    {
      struct as_event *event = g_ptr_array_index (sim->events, i);

      if (event->run == as_view_arrives)
        vw_free (((struct as_view *)event->data)->view);
      g_free (event->data);
      g_free (event);
    }
  g_ptr_array_free (sim->events, TRUE);
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      vw_free (sim->members[i].view);
      rt_free (sim->members[i].routes);
    }
  g_ptr_array_unref (sim->pins);
  gsl_rng_free (sim->random);
  tm_free (sim->tm);
  g_free (sim);
}
