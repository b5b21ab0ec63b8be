#include <stdarg.h>
#include <stdio.h>

#include "adapter_sim.h"

struct as_event
{
  uint64_t at_us;
  as_run run;
  void *data;
};

/* A question or an answer of the quiesce protocol.  */
struct as_question
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

/* Return the position of NAME, which is a model or an adapter.  */
uint32_t
as_name (const char *name)
{
  uint32_t i = 0;

  while (!g_str_equal (as_names[i], name))
    i++;
  return i;
}

/* Return the model of NAME, which is the model itself or an adapter.  */
uint32_t
as_model_of (uint32_t name)
{
  return name < AS_MODELS ? name : (name - AS_MODELS) % AS_MODELS;
}

uint32_t
as_pick (struct as_world *world, uint32_t count)
{
  return (uint32_t)gsl_rng_uniform_int (world->random, count);
}

/* Note the first broken promise.  */
void
as_violate (struct as_world *world, const char *format, ...)
{
  char text[160];
  va_list ap;

  if (world->violation[0] != '\0')
    return;
  va_start (ap, format);
  (void)g_vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  (void)g_snprintf (world->violation, sizeof world->violation, "%.3f s: %s",
                    (double)world->now_us / 1e6, text);
}

void
as_post (struct as_world *world, uint64_t delay_us, as_run run, void *data)
{
  struct as_event *event = g_new0 (struct as_event, 1);

  event->at_us = world->now_us + delay_us;
  event->run = run;
  event->data = data;
  g_ptr_array_add (world->events, event);
}

static bool
as_may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  const struct as_world *world = arg;

  *fence = world->fence;
  return checks_fencing
         || world->now_us
                >= world->started_us + (AS_ORDER_MS + 100) * AS_US_PER_MS;
}

static bool
never_will (void *arg, bool checks_fencing)
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
as_saved (struct as_world *world, void *data)
{
  const struct as_question *question = data;

  if (question->fence == world->fence)
    plc_save_done (world->plc, true);
}

static void
as_save (void *arg, const GPtrArray *pins)
{
  struct as_world *world = arg;
  struct as_question *question = g_new0 (struct as_question, 1);

  g_ptr_array_set_size (world->pins, 0);
  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      plc_pins_add (world->pins, pin->model, pin->slot, pin->endpoint);
    }
  question->fence = world->fence;
  as_post (world, AS_US_PER_MS, as_saved, question);
}

static bool
as_shows_ready (const struct vw_view *view, const char *name,
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
as_quiesce_answered (struct as_world *world, void *data)
{
  const struct as_question *q = data;

  if (q->fence == world->fence)
    plc_quiesce_reply (world->plc, world->members[q->member].name, q->name,
                       world->engines[q->engine].spec->address, q->accepted,
                       q->in_flight);
}

/* As the daemon does: only with a view of the same controller that does not
   show the replica as ready.  */
static void
as_quiesce_asked (struct as_world *world, void *data)
{
  struct as_question *q = g_memdup2 (data, sizeof *q);
  const struct as_member *member = &world->members[q->member];
  const char *address = world->engines[q->engine].spec->address;

  q->accepted = member->view != NULL && member->view->fence == q->fence
                && !as_shows_ready (member->view, q->name, address);
  if (q->accepted)
    q->in_flight = rt_quiesce (member->routes, q->name, address);
  as_post (world, (1 + as_pick (world, 5)) * AS_US_PER_MS, as_quiesce_answered,
           q);
}

static void
as_ask_quiesce (void *arg, const char *instance, const char *model,
                const char *endpoint)
{
  struct as_world *world = arg;
  struct as_question *q = g_new0 (struct as_question, 1);

  q->fence = world->fence;
  q->member = (uint32_t)(instance[1] - '0');
  q->engine = (uint32_t)(endpoint[1] - '0');
  g_strlcpy (q->name, model, sizeof q->name);
  as_post (world, (1 + as_pick (world, 5)) * AS_US_PER_MS, as_quiesce_asked,
           q);
}

static void
as_view_arrives (struct as_world *world, void *data)
{
  const struct as_view *arrived = data;
  struct as_member *member = &world->members[arrived->member];

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
  struct as_world *world = arg;

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
      as_post (world, (1 + as_pick (world, 20)) * AS_US_PER_MS,
               as_view_arrives, copy);
    }
}

static void
as_note (void *arg, enum plc_event note, const char *endpoint,
         const char *model)
{
  const struct as_world *world = arg;

  if (world->verbose)
    printf ("%.3f s: note %d %s %s\n", (double)world->now_us / 1e6, (int)note,
            endpoint, model == NULL ? "" : model);
}

/* A new controller takes over at once; orders of the earlier one may still be
   under way.  */
void
as_take_over (struct as_world *world)
{
  static const struct plc_callbacks callbacks
      = { as_may_order, as_order, as_save,   as_ask_quiesce,
          as_push_view, as_note,  never_will };
  struct plc_engine_spec engines[AS_ENGINES];
  struct plc_plan plan = { as_models, AS_MODELS, engines, AS_ENGINES, 4 };
  struct plc_member members[AS_MEMBERS];

  for (uint32_t i = 0; i < AS_ENGINES; i++)
    engines[i] = *world->engines[i].spec;
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    members[i] = (struct plc_member){ world->members[i].name, true, true };
  for (uint32_t i = 0; i < AS_ADAPTERS; i++)
    as_adapters[i]
        = (struct plc_adapter_spec){ as_names[AS_MODELS + i], "1",
                                     as_names[i % AS_MODELS], 8 + i % 4 * 3 };
  plc_free (world->plc);
  world->fence++;
  world->started_us = world->now_us;
  world->plc = plc_new (world->tm, "z", &callbacks, world);
  plc_set_plan (world->plc, &plan);
  plc_set_adapters (world->plc, as_adapters, AS_ADAPTERS, AS_SHARE);
  plc_set_members (world->plc, members, AS_MEMBERS);
  plc_start (world->plc, world->fence, world->pins, true);
}

static void
as_run_events (struct as_world *world)
{
  for (guint i = 0; i < world->events->len;)
    {
      struct as_event *event = g_ptr_array_index (world->events, i);

      if (event->at_us > world->now_us)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (world->events, i);
      event->run (world, event->data);
      g_free (event->data);
      g_free (event);
    }
}

/* Let DURATION_MS pass in steps of 1 ms, or less if a promise is broken.  */
void
as_advance (struct as_world *world, uint32_t duration_ms)
{
  for (uint32_t i = 0; i < duration_ms && world->violation[0] == '\0'; i++)
    {
      world->now_us += AS_US_PER_MS;
      as_engines_tick (world);
      as_run_events (world);
      tm_advance (world->tm, world->now_us);
      as_members_tick (world);
    }
}

/* Return a zone with empty engines and a controller; SEED decides all chance.
 */
struct as_world *
as_new (uint64_t seed)
{
  struct as_world *world = g_new0 (struct as_world, 1);

  world->now_us = 1000 * AS_US_PER_MS;
  world->tm = tm_new (world->now_us);
  world->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->random, seed);
  world->pins = plc_pins_new ();
  world->events = g_ptr_array_new ();
  as_engines_init (world);
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      struct as_member *member = &world->members[i];

      (void)g_snprintf (member->name, sizeof member->name, "i%u", i);
      member->routes = rt_new (world->tm, world->random);
      for (uint32_t n = AS_MODELS; n < AS_NAMES; n++)
        rt_set_base (member->routes, as_names[n], as_names[as_model_of (n)]);
      for (uint32_t e = 0; e < AS_ENGINES; e++)
        rt_set_batch (
            member->routes,
            rt_endpoint (member->routes, world->engines[e].spec->address), 4);
    }
  as_take_over (world);
  return world;
}

/* Free WORLD.  */
void
as_free (struct as_world *world)
{
  plc_free (world->plc);
  for (guint i = 0; i < world->events->len; i++)
    {
      struct as_event *event = g_ptr_array_index (world->events, i);

      if (event->run == as_view_arrives)
        vw_free (((struct as_view *)event->data)->view);
      g_free (event->data);
      g_free (event);
    }
  g_ptr_array_free (world->events, TRUE);
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      vw_free (world->members[i].view);
      rt_free (world->members[i].routes);
    }
  g_ptr_array_unref (world->pins);
  gsl_rng_free (world->random);
  tm_free (world->tm);
  g_free (world);
}
