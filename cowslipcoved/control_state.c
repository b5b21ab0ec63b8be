#include <json-c/json.h>

#include "control_state.h"

static const char *const control_tiers[] = { "memory", "disk", "remote" };
/* Indexed by enum plc_slot_state.  */
static const char *const control_states[]
    = { "", "loading", "loaded", "", "unloading" };

static const char *
control_json_string (struct json_object *json, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (json, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static uint64_t
control_json_uint64 (struct json_object *json, const char *key)
{
  struct json_object *value;

  return json_object_object_get_ex (json, key, &value)
             ? json_object_get_uint64 (value)
             : 0;
}

/* Return the index of TEXT in NAMES, or COUNT if it is missing.  */
static uint32_t
control_index_of (const char *text, const char *const *names, uint32_t count)
{
  uint32_t i = 0;

  while (i < count && g_strcmp0 (names[i], text) != 0)
    i++;
  return i;
}

/* Append a model to MODELS.  Return false if the entry is invalid: the whole
   state is then rejected, as the memory of that model would go uncounted.  */
static bool
control_parse_model (struct json_object *json, GArray *models)
{
  uint32_t state
      = control_index_of (control_json_string (json, "state"), control_states,
                          G_N_ELEMENTS (control_states));
  uint32_t tier = control_index_of (control_json_string (json, "tier"),
                                    control_tiers, PLC_TIER_COUNT);
  struct plc_reported_model model
      = { .name = control_json_string (json, "name"),
          .version = control_json_string (json, "version"),
          .bytes = control_json_uint64 (json, "bytes"),
          .state = (enum plc_slot_state)state,
          .tier = (enum plc_tier)MIN (tier, PLC_REMOTE),
          .ready_in_ms = (uint32_t)MIN (
              control_json_uint64 (json, "ready_in_ms"), UINT32_MAX) };

  if (model.name == NULL || model.version == NULL
      || state == G_N_ELEMENTS (control_states))
    return false;
  g_array_append_val (models, model);
  return true;
}

static bool
control_parse_cached (struct json_object *json, GArray *list)
{
  uint32_t tier = control_index_of (control_json_string (json, "tier"),
                                    control_tiers, PLC_TIER_COUNT);
  struct plc_cached_model cached
      = { .name = control_json_string (json, "name"),
          .version = control_json_string (json, "version"),
          .tier = (enum plc_tier)tier };

  if (cached.name != NULL && cached.version != NULL && tier < PLC_TIER_COUNT)
    g_array_append_val (list, cached);
  return true;
}

/* Append an adapter to ADAPTERS.  Return false if the entry is invalid, for
   the same reason as in control_parse_model.  */
static bool
control_parse_adapter (struct json_object *json, GArray *adapters)
{
  uint32_t state
      = control_index_of (control_json_string (json, "state"), control_states,
                          G_N_ELEMENTS (control_states));
  struct plc_reported_adapter adapter
      = { .name = control_json_string (json, "name"),
          .model = control_json_string (json, "model"),
          .version = control_json_string (json, "version"),
          .state = (enum plc_slot_state)state };

  if (adapter.name == NULL || adapter.model == NULL
      || state == G_N_ELEMENTS (control_states))
    return false;
  g_array_append_val (adapters, adapter);
  return true;
}

static bool
control_parse_list (struct json_object *json, const char *key, GArray *out,
                    bool (*read) (struct json_object *json, GArray *out))
{
  struct json_object *list;

  if (!json_object_object_get_ex (json, key, &list)
      || !json_object_is_type (list, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (!read (json_object_array_get_idx (list, i), out))
      return false;
  return true;
}

static bool
control_parse_state (struct control_state *state)
{
  const char *incarnation = control_json_string (state->json, "incarnation");
  struct json_object *leaving;

  if (incarnation == NULL
      || !control_parse_list (state->json, "models", state->models,
                              control_parse_model)
      || (json_object_object_get_ex (state->json, "adapters", NULL)
          && !control_parse_list (state->json, "adapters", state->adapters,
                                  control_parse_adapter)))
    return false;
  (void)control_parse_list (state->json, "cached", state->cached,
                            control_parse_cached);
  state->state.incarnation = g_ascii_strtoull (incarnation, NULL, 16);
  state->state.memory_bytes
      = control_json_uint64 (state->json, "memory_bytes");
  state->state.leaving
      = json_object_object_get_ex (state->json, "leaving", &leaving)
        && json_object_get_boolean (leaving);
  state->state.models
      = (const struct plc_reported_model *)(void *)state->models->data;
  state->state.model_count = state->models->len;
  state->state.cached
      = (const struct plc_cached_model *)(void *)state->cached->data;
  state->state.cached_count = state->cached->len;
  state->state.adapters
      = (const struct plc_reported_adapter *)(void *)state->adapters->data;
  state->state.adapter_count = state->adapters->len;
  return true;
}

/* Parse RESPONSE into STATE, which the caller must clear in any case, and
   return the outcome of the order.  An unreadable response leaves the effect
   of the order unknown.  */
enum plc_outcome
control_state_parse (struct control_state *state,
                     const struct http_response *response)
{
  const char *fence;

  *state = (struct control_state){ 0 };
  state->models
      = g_array_new (FALSE, FALSE, sizeof (struct plc_reported_model));
  state->cached = g_array_new (FALSE, FALSE, sizeof (struct plc_cached_model));
  state->adapters
      = g_array_new (FALSE, FALSE, sizeof (struct plc_reported_adapter));
  if (response->outcome == HTTP_CONNECT_FAILED || !response->sent)
    return PLC_NOT_SENT;
  if (response->outcome != HTTP_COMPLETE)
    return PLC_NO_RESPONSE;
  if (response->status >= 400 && response->status < 500
      && response->status != 409)
    return PLC_REFUSED;
  if (response->status == 507)
    return PLC_REFUSED;

  state->json = json_tokener_parse (response->body);
  if (response->status == 409)
    {
      fence = control_json_string (state->json, "fence");
      state->fence = fence == NULL ? 0 : g_ascii_strtoull (fence, NULL, 10);
      return fence == NULL ? PLC_REFUSED : PLC_STALE;
    }
  if (response->status >= 300 || !control_parse_state (state))
    return PLC_NO_RESPONSE;
  return PLC_COMPLETED;
}

/* Free the contents of STATE.  */
void
control_state_clear (struct control_state *state)
{
  g_array_free (state->models, TRUE);
  g_array_free (state->cached, TRUE);
  g_array_free (state->adapters, TRUE);
  json_object_put (state->json);
}
