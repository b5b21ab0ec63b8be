#include <json-c/json.h>
#include <string.h>

#include "control_impl.h"
#include "control_state.h"

static char *
control_order_body (const struct plc_order *order)
{
  struct json_object *json = json_object_new_object ();
  char fence[24];
  char *text;

  (void)g_snprintf (fence, sizeof fence, "%" G_GUINT64_FORMAT, order->fence);
  json_object_object_add (json, "fence", json_object_new_string (fence));
  if (order->model != NULL)
    json_object_object_add (json, "model",
                            json_object_new_string (order->model));
  if (order->adapter != NULL)
    json_object_object_add (json, "adapter",
                            json_object_new_string (order->adapter));
  if (order->kind == PLC_LOAD || order->kind == PLC_ADAPTER_LOAD)
    {
      json_object_object_add (json, "version",
                              json_object_new_string (order->version));
      json_object_object_add (json, "bytes",
                              json_object_new_uint64 (order->bytes));
    }
  if (order->kind == PLC_LOAD)
    json_object_object_add (json, "adapter_bytes",
                            json_object_new_uint64 (order->adapter_bytes));
  text = g_strdup (
      json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return text;
}

/* An HTTP call that cannot be started fails before control_send_order returns,
   and placement must not be called from within its own callback; so failures
   are reported from the event loop.  */
static void
control_order_report_failure (void *arg)
{
  struct control_call *call = arg;
  struct cd_control *control = call->control;

  plc_order_done (control->plc, call->id, call->outcome, NULL);
  control_call_free (call);
}

static void
control_order_done (void *arg, const struct http_response *response)
{
  struct control_call *call = arg;
  struct cd_control *control = call->control;
  struct control_state state;

  if (control == NULL)
    {
      control_call_free (call);
      return;
    }
  call->outcome = control_state_parse (&state, response);
  if (call->outcome == PLC_COMPLETED)
    {
      plc_order_done (control->plc, call->id, PLC_COMPLETED, &state.state);
      control_call_free (call);
    }
  else
    {
      if (call->outcome == PLC_STALE)
        own_fence_rejected (control->own, state.fence);
      tm_after (control->daemon->tm, &call->timer, 0,
                control_order_report_failure, call);
    }
  control_state_clear (&state);
}

/* Send ORDER to its engine.  The timeout bounds the time for which an order
   can be in flight.  */
void
control_send_order (void *arg, const struct plc_order *order)
{
  static const char *const paths[]
      = { [PLC_SEAL] = "/admin/seal",
          [PLC_READ_STATE] = "/admin/state",
          [PLC_LOAD] = "/admin/load",
          [PLC_UNLOAD] = "/admin/unload",
          [PLC_ADAPTER_LOAD] = "/admin/adapters/load",
          [PLC_ADAPTER_UNLOAD] = "/admin/adapters/unload" };
  static const struct http_header headers[]
      = { { "Content-Type", "application/json" }, { NULL, NULL } };
  struct cd_control *control = arg;
  struct control_call *call = control_call_new (control);
  bool read = order->kind == PLC_READ_STATE;
  char *body = read ? NULL : control_order_body (order);
  struct http_request request = { .method = read ? "GET" : "POST",
                                  .address = order->endpoint,
                                  .path = paths[order->kind],
                                  .headers = read ? NULL : headers,
                                  .body = body,
                                  .body_bytes = read ? 0 : strlen (body),
                                  .timeout_ms = OWN_ORDER_MAX_MS };

  call->id = order->id;
  (void)http_fetch (control->daemon->client, &request, control_order_done,
                    call);
  g_free (body);
}
