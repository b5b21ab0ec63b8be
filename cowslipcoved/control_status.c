#include <json-c/json.h>

#include "control_impl.h"

static void
control_add_string (struct json_object *json, const char *key,
                    const char *text)
{
  json_object_object_add (json, key,
                          text == NULL ? NULL : json_object_new_string (text));
}

static void
control_status_slot (void *arg, const struct plc_slot_status *slot)
{
  struct json_object *json = json_object_new_object ();

  control_add_string (json, "model", slot->model);
  json_object_object_add (json, "slot", json_object_new_int64 (slot->slot));
  control_add_string (json, "endpoint", slot->endpoint);
  control_add_string (json, "state", plc_slot_state_text (slot->state));
  json_object_object_add (json, "pinned",
                          json_object_new_boolean (slot->pinned));
  json_object_object_add (
      json, "doubtful",
      json_object_new_boolean (
          slot->occupied
          && (slot->state == PLC_COLD || slot->state == PLC_DOUBTFUL)));
  json_object_object_add (json, "bytes", json_object_new_uint64 (slot->bytes));
  json_object_array_add (arg, json);
}

/* Add the state of zone control to OUT: holder and fencing number, and on the
   holder the slots and their states, the number of sealed engines, the number
   of waiting loads, the weight store fetches in use, and the adapters loaded
   and being loaded.  */
void
cd_control_status (const struct cd_daemon *daemon, struct json_object *out)
{
  const struct cd_control *control = daemon->control;
  struct json_object *slots = json_object_new_array ();
  struct plc_status status;
  char fence[24];

  (void)g_snprintf (fence, sizeof fence, "%" G_GUINT64_FORMAT,
                    own_fence (control->own));
  plc_status (control->plc, &status);
  plc_foreach_slot (control->plc, control_status_slot, slots);
  control_add_string (out, "holder", own_holder (control->own));
  json_object_object_add (
      out, "in_control",
      json_object_new_boolean (own_is_holder (control->own)));
  control_add_string (out, "fence", fence);
  json_object_object_add (out, "engines",
                          json_object_new_int64 (status.engines));
  json_object_object_add (out, "engines_sealed",
                          json_object_new_int64 (status.sealed));
  json_object_object_add (out, "waiting_loads",
                          json_object_new_int64 (status.waiting_loads));
  json_object_object_add (out, "store_in_use",
                          json_object_new_int64 (status.store_in_use));
  json_object_object_add (out, "store_slots",
                          json_object_new_int64 (status.store_slots));
  json_object_object_add (out, "adapters",
                          json_object_new_int64 (status.adapters));
  json_object_object_add (out, "adapter_loads",
                          json_object_new_int64 (status.adapter_loads));
  json_object_object_add (out, "slots", slots);
}
