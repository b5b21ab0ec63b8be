#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plc.h"

#define ENTRIES_MAX 16
#define US_PER_MS   UINT64_C (1000)
#define START_US    UINT64_C (10000000)

/* Runs the placement on commands, one per line:
   model NAME BYTES BUDGET MIN_MS MAX_MS, engine NAME MEMORY, store SHARE,
   member NAME, start, advance MS, demand MODEL WAITING WITHIN_MS PRIORITY,
   cached ENGINE MODEL, answer ENGINE ok|lost|refused|notsent,
   ready ENGINE MODEL, absent ENGINE MODEL, quiet MEMBER MODEL ENGINE
   IN_FLIGHT (a quiesce reply), lose MEMBER (unreachable), leaving ENGINE,
   gone ENGINE (unlisted).  */

struct engine
{
  char name[16];
  struct plc_order order; /* pending; id 0: none */
  char model[16];
  struct plc_reported_model models[ENTRIES_MAX];
  struct plc_cached_model cached[ENTRIES_MAX];
  uint32_t model_count;
  uint32_t cached_count;
};

static struct tm_service *tm;
static struct plc *plc;
static struct plc_model_spec models[ENTRIES_MAX];
static struct plc_engine_spec specs[ENTRIES_MAX];
static struct engine engines[ENTRIES_MAX];
static struct plc_member members[ENTRIES_MAX];
static struct plc_plan plan
    = { .models = models, .engines = specs, .weight_fetches_max = 2 };
static uint32_t member_count;
static bool save_pending;

static const char *
intern (const char *text)
{
  return g_intern_string (text);
}

static struct engine *
find_engine (const char *name)
{
  for (uint32_t i = 0; i < plan.engine_count; i++)
    if (strcmp (engines[i].name, name) == 0)
      return &engines[i];
  abort ();
}

static uint64_t
now_ms (void)
{
  return (tm_now_us (tm) - START_US) / US_PER_MS;
}

static bool
on_may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  (void)arg;
  (void)checks_fencing;
  *fence = 7;
  return true;
}

static bool
may_order_later (void *arg, bool checks_fencing)
{
  (void)arg;
  (void)checks_fencing;
  return false;
}

static void
on_order (void *arg, const struct plc_order *order)
{
  static const char *const kinds[] = { "seal", "state", "load", "unload" };
  struct engine *engine = find_engine (order->endpoint);

  (void)arg;
  engine->order = *order;
  g_strlcpy (engine->model, order->model == NULL ? "" : order->model,
             sizeof engine->model);
  if (order->kind != PLC_READ_STATE)
    printf ("%6lu %s %s %s\n", (unsigned long)now_ms (), kinds[order->kind],
            engine->name, engine->model);
}

static void
on_save (void *arg, const GPtrArray *pins)
{
  (void)arg;
  printf ("%6lu save", (unsigned long)now_ms ());
  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      printf (" %s/%u@%s", pin->model, pin->slot, pin->endpoint);
    }
  printf ("\n");
  save_pending = true;
}

static void
on_request_quiesce (void *arg, const char *instance, const char *model,
                    const char *endpoint)
{
  (void)arg;
  printf ("%6lu ask %s about %s on %s\n", (unsigned long)now_ms (), instance,
          model, endpoint);
}

static void
on_view (void *arg, const struct vw_view *view)
{
  (void)arg;
  printf ("%6lu view", (unsigned long)now_ms ());
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      printf (" %s@%s:%s", r->model, r->endpoint, vw_state_text (r->state));
    }
  printf ("\n");
}

static void
on_event (void *arg, enum plc_event event, const char *endpoint,
          const char *model)
{
  (void)arg;
  if (event == PLC_EVENT_LOAD_FAILED || event == PLC_EVENT_DOUBTFUL
      || event == PLC_EVENT_UNPINNED)
    printf ("%6lu note %d %s %s\n", (unsigned long)now_ms (), event, endpoint,
            model == NULL ? "" : model);
}

static void
set_model (struct engine *engine, const char *name, int state)
{
  uint32_t i = 0;

  while (i < engine->model_count && strcmp (engine->models[i].name, name) != 0)
    i++;
  if (state == PLC_COLD)
    {
      if (i < engine->model_count)
        engine->models[i] = engine->models[--engine->model_count];
      return;
    }
  if (i == engine->model_count)
    engine->model_count++;
  engine->models[i]
      = (struct plc_reported_model){ .name = intern (name),
                                     .version = "1",
                                     .bytes = 40,
                                     .state = (enum plc_slot_state)state,
                                     .tier = PLC_REMOTE };
}

static void
complete_order (struct engine *engine, const char *result)
{
  struct plc_engine_state state = { .incarnation = 1 };
  uint64_t id = engine->order.id;
  enum plc_outcome outcome = PLC_COMPLETED;

  engine->order.id = 0;
  if (strcmp (result, "lost") == 0)
    outcome = PLC_NO_RESPONSE;
  else if (strcmp (result, "refused") == 0)
    outcome = PLC_REFUSED;
  else if (strcmp (result, "notsent") == 0)
    outcome = PLC_NOT_SENT;
  else if (engine->order.kind == PLC_LOAD)
    set_model (engine, engine->model, PLC_LOADING);
  else if (engine->order.kind == PLC_UNLOAD)
    set_model (engine, engine->model, PLC_COLD);
  state.models = engine->models;
  state.model_count = engine->model_count;
  state.cached = engine->cached;
  state.cached_count = engine->cached_count;
  plc_order_done (plc, id, outcome, &state);
}

/* Advance the clock.  State reads are answered at once, orders only by
   command.  */
static void
advance (uint64_t duration_ms)
{
  for (uint64_t end_us = tm_now_us (tm) + duration_ms * US_PER_MS;
       tm_now_us (tm) < end_us;)
    {
      tm_advance (tm, tm_now_us (tm) + 10 * US_PER_MS);
      for (uint32_t i = 0; i < plan.engine_count; i++)
        if (engines[i].order.id != 0
            && engines[i].order.kind == PLC_READ_STATE)
          complete_order (&engines[i], "ok");
      if (save_pending)
        plc_save_done (plc, true);
      save_pending = false;
    }
}

static void
start (void)
{
  static const struct plc_callbacks callbacks
      = { on_may_order, on_order, on_save,        on_request_quiesce,
          on_view,      on_event, may_order_later };
  GPtrArray *none = plc_pins_new ();

  plc = plc_new (tm, "z", &callbacks, NULL);
  plc_set_plan (plc, &plan);
  plc_set_members (plc, members, member_count);
  plc_start (plc, 7, none, true);
  g_ptr_array_unref (none);
}

static void
run_line (char **args)
{
  if (strcmp (args[0], "model") == 0)
    models[plan.model_count++] = (struct plc_model_spec){
      .name = intern (args[1]),
      .version = "1",
      .pool = "p",
      .bytes = strtoul (args[2], NULL, 10),
      .budget = (uint32_t)atoi (args[3]),
      .batch = 2,
      .keep_alive_min_ms = (uint32_t)atoi (args[4]),
      .keep_alive_max_ms = (uint32_t)atoi (args[5])
    };
  else if (strcmp (args[0], "engine") == 0)
    {
      g_strlcpy (engines[plan.engine_count].name, args[1], 16);
      specs[plan.engine_count++]
          = (struct plc_engine_spec){ intern (args[1]), "p",
                                      strtoul (args[2], NULL, 10), true };
    }
  else if (strcmp (args[0], "store") == 0)
    plan.weight_fetches_max = (uint32_t)atoi (args[1]);
  else if (strcmp (args[0], "member") == 0)
    members[member_count++]
        = (struct plc_member){ intern (args[1]), true, true };
  else if (strcmp (args[0], "lose") == 0)
    {
      for (uint32_t i = 0; i < member_count; i++)
        if (strcmp (members[i].instance, args[1]) == 0)
          members[i].reachable = false;
      plc_set_members (plc, members, member_count);
    }
  else if (strcmp (args[0], "start") == 0)
    start ();
  else if (strcmp (args[0], "advance") == 0)
    advance (strtoul (args[1], NULL, 10));
  else if (strcmp (args[0], "demand") == 0)
    {
      struct plc_demand demand
          = { intern (args[1]), (uint32_t)atoi (args[2]),
              tm_now_us (tm) + strtoul (args[3], NULL, 10) * US_PER_MS,
              atoi (args[4]), (uint32_t)atoi (args[2]) };

      plc_update_demand (plc, "i1", &demand);
    }
  else if (strcmp (args[0], "cached") == 0)
    {
      struct engine *engine = find_engine (args[1]);

      engine->cached[engine->cached_count++]
          = (struct plc_cached_model){ intern (args[2]), "1", PLC_DISK };
    }
  else if (strcmp (args[0], "answer") == 0)
    complete_order (find_engine (args[1]), args[2]);
  else if (strcmp (args[0], "ready") == 0)
    set_model (find_engine (args[1]), args[2], PLC_LOADED);
  else if (strcmp (args[0], "absent") == 0)
    set_model (find_engine (args[1]), args[2], PLC_COLD);
  else if (strcmp (args[0], "quiet") == 0)
    plc_quiesce_reply (plc, args[1], args[2], args[3], true,
                       (uint32_t)atoi (args[4]));
  else if (strcmp (args[0], "leaving") == 0)
    plc_set_leaving (plc, args[1], true);
  else if (strcmp (args[0], "gone") == 0)
    plc_set_unlisted (plc, args[1], true);
  else
    printf ("unknown command %s\n", args[0]);
}

int
main (void)
{
  char line[128];

  tm = tm_new (START_US);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char *padded = g_strconcat (g_strstrip (line), " - - - - - -", NULL);
      char **words = g_strsplit (padded, " ", -1);

      if (line[0] != '#' && line[0] != '\0')
        {
          printf ("> %s\n", line);
          run_line (words);
        }
      g_strfreev (words);
      g_free (padded);
    }
  plc_free (plc);
  tm_free (tm);
  return 0;
}
