#include <string.h>

#include "plc.h"
#include "unit.h"

#define MS UINT64_C (1000)

/* A controller with scripted engine replies: engines A and B, model m, adapter
   a.  */
static struct tm_service *tm;
static struct plc *plc;
static uint64_t last_id[PLC_ADAPTER_UNLOAD + 1]; /* by kind; on A only */
static uint32_t model_quiesce_requests;
static enum vw_state adapter_state;

static const struct plc_reported_model loaded_model
    = { .name = "m", .version = "1", .bytes = 10, .state = PLC_LOADED };
static const struct plc_reported_adapter loaded_adapter
    = { .name = "a", .model = "m", .version = "1", .state = PLC_LOADED };

static bool
may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  (void)arg;
  (void)checks_fencing;
  *fence = 1;
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
  (void)arg;
  if (g_str_equal (order->endpoint, "A"))
    last_id[order->kind] = order->id;
}

static void
on_save (void *arg, const GPtrArray *pins)
{
  (void)arg;
  (void)pins;
}

static void
on_request_quiesce (void *arg, const char *instance, const char *model,
                    const char *endpoint)
{
  (void)arg;
  (void)instance;
  (void)endpoint;
  model_quiesce_requests += g_str_equal (model, "m");
}

static void
on_view (void *arg, const struct vw_view *view)
{
  (void)arg;
  adapter_state = VW_COLD;
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      if (g_str_equal (r->model, "a"))
        adapter_state = r->state;
    }
}

static void
on_event (void *arg, enum plc_event event, const char *endpoint,
          const char *model)
{
  (void)arg;
  (void)event;
  (void)endpoint;
  (void)model;
}

static void
advance_ms (uint64_t duration_ms)
{
  for (uint64_t i = 0; i < duration_ms; i++)
    tm_advance (tm, tm_now_us (tm) + MS);
}

static void
reply (enum plc_order_kind kind, bool with_adapter)
{
  struct plc_engine_state state = { .incarnation = 1,
                                    .memory_bytes = 100,
                                    .models = &loaded_model,
                                    .model_count = 1,
                                    .adapters = &loaded_adapter,
                                    .adapter_count = with_adapter };

  plc_order_done (plc, last_id[kind], PLC_COMPLETED, &state);
  advance_ms (1);
}

static void
demand (const char *name, uint32_t waiting)
{
  struct plc_demand report = { .model = name,
                               .waiting = waiting,
                               .earliest_us = tm_now_us (tm) + 60000 * MS,
                               .arrivals = 1 };

  plc_update_demand (plc, "i", &report);
  advance_ms (1);
}

/* Start with ENGINES engines and a replica of m on A, which is sealed.  B, if
   there, never replies.  The replica is kept for KEEP_ALIVE_MS.  */
static void
begin (uint32_t engines, uint32_t keep_alive_ms)
{
  static const struct plc_callbacks callbacks
      = { may_order, on_order, on_save,        on_request_quiesce,
          on_view,   on_event, may_order_later };
  static const struct plc_engine_spec specs[]
      = { { "A", "p", 100, true }, { "B", "p", 100, true } };
  static const struct plc_adapter_spec adapter = { "a", "1", "m", 5 };
  static const struct plc_member self = { "i", true, true };
  struct plc_model_spec model
      = { "m", "1", "p", 10, 10, 1, 4, keep_alive_ms, keep_alive_ms };
  struct plc_plan plan = { &model, 1, specs, engines, 1 };
  GPtrArray *pins = plc_pins_new ();

  memset (last_id, 0, sizeof last_id);
  model_quiesce_requests = 0;
  tm = tm_new (1000 * MS);
  plc = plc_new (tm, "z", &callbacks, NULL);
  plc_set_plan (plc, &plan);
  plc_set_adapters (plc, &adapter, 1, 1);
  plc_set_members (plc, &self, 1);
  plc_pins_add (pins, "m", 0, "A");
  plc_start (plc, 1, pins, true);
  g_ptr_array_unref (pins);
  advance_ms (1);
  reply (PLC_SEAL, false);
}

static void
end (void)
{
  plc_free (plc);
  tm_free (tm);
}

/* Guards against an engine state that was read before a load but arrives after
   the reply to it: the adapter would no longer be counted or used.  */
static void
test_reordered_replies (void)
{
  begin (1, 60000);
  advance_ms (10500);
  CU_ASSERT_TRUE (last_id[PLC_READ_STATE] > 0);
  demand ("a", 1);
  CU_ASSERT_TRUE (last_id[PLC_ADAPTER_LOAD] > last_id[PLC_READ_STATE]);
  reply (PLC_ADAPTER_LOAD, true);
  CU_ASSERT_EQUAL (adapter_state, VW_READY);
  reply (PLC_READ_STATE, false);
  CU_ASSERT_EQUAL (adapter_state, VW_READY);
  end ();
}

/* Guards against adapter loads while a previous controller may still have
   loads in flight on an engine that is not sealed yet.  */
static void
test_unsealed_engine (void)
{
  begin (2, 60000);
  demand ("a", 1);
  advance_ms (1900);
  CU_ASSERT_EQUAL (last_id[PLC_ADAPTER_LOAD], 0);
  advance_ms (200);
  CU_ASSERT_TRUE (last_id[PLC_ADAPTER_LOAD] > 0);
  end ();
}

/* Guards against quiesce replies for an adapter that were sent before its
   replica was put back into use.  */
static void
test_stale_quiesce_reply (void)
{
  begin (1, 3000);
  demand ("a", 1);
  reply (PLC_ADAPTER_LOAD, true);
  demand ("a", 0);
  advance_ms (3500);
  CU_ASSERT_TRUE (model_quiesce_requests > 0);
  CU_ASSERT_EQUAL (adapter_state, VW_QUIESCING);
  plc_quiesce_reply (plc, "i", "a", "A", true, 0);
  demand ("m", 1);
  advance_ms (200);
  CU_ASSERT_EQUAL (adapter_state, VW_READY);
  demand ("m", 0);
  /* The state is read within 2 s, because a request waited although its
     replica was loaded.  */
  advance_ms (3500);
  reply (PLC_READ_STATE, true);
  CU_ASSERT_EQUAL (adapter_state, VW_QUIESCING);
  plc_quiesce_reply (plc, "i", "m", "A", true, 0);
  advance_ms (500);
  CU_ASSERT_EQUAL (last_id[PLC_UNLOAD], 0);
  plc_quiesce_reply (plc, "i", "a", "A", true, 0);
  advance_ms (500);
  CU_ASSERT_TRUE (last_id[PLC_UNLOAD] > 0);
  end ();
}

/* Guards against an adapter that is used or loaded again while the outcome of
   its load is unknown.  */
static void
test_doubtful (void)
{
  struct plc_status status;

  begin (1, 60000);
  demand ("a", 1);
  plc_order_done (plc, last_id[PLC_ADAPTER_LOAD], PLC_NO_RESPONSE, NULL);
  last_id[PLC_ADAPTER_LOAD] = 0;
  last_id[PLC_READ_STATE] = 0;
  advance_ms (1900);
  plc_status (plc, &status);
  CU_ASSERT_EQUAL (status.adapter_loads, 1);
  CU_ASSERT_EQUAL (last_id[PLC_ADAPTER_LOAD], 0);
  CU_ASSERT_EQUAL (adapter_state, VW_DOUBTFUL);
  advance_ms (200);
  reply (PLC_READ_STATE, true);
  CU_ASSERT_EQUAL (adapter_state, VW_READY);
  end ();
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "reordered_replies", test_reordered_replies },
          { "unsealed_engine", test_unsealed_engine },
          { "stale_quiesce_reply", test_stale_quiesce_reply },
          { "doubtful", test_doubtful },
          { NULL, NULL } };

  return unit_main ("plc_adapter_order", tests);
}
