#include <json-c/json.h>

#include "own_record.h"
#include "plc_pin.h"

static struct json_object *
own_names_to_json (const GPtrArray *names)
{
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < names->len; i++)
    json_object_array_add (
        list, json_object_new_string (g_ptr_array_index (names, i)));
  return list;
}

static const char *
own_json_string (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static bool
own_json_uint64 (struct json_object *object, const char *key, uint64_t *number)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  *number = json_object_get_uint64 (value);
  return true;
}

static char *
own_json_to_text (struct json_object *object)
{
  char *text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));

  json_object_put (object);
  return text;
}

/* Encode RECORD with the zone's MEMBERS and the lease TTL_MS in milliseconds.
   The incarnation is written in hexadecimal, because many JSON parsers lose
   precision in 64-bit numbers.  The caller frees the result.  */
char *
own_record_encode (const struct own_record *record, const GPtrArray *members,
                   uint32_t ttl_ms)
{
  struct json_object *object = json_object_new_object ();
  char incarnation[20];

  (void)g_snprintf (incarnation, sizeof incarnation,
                    "%016" G_GINT64_MODIFIER "x", record->incarnation);
  json_object_object_add (object, "holder",
                          json_object_new_string (record->holder));
  json_object_object_add (object, "incarnation",
                          json_object_new_string (incarnation));
  json_object_object_add (object, "epoch",
                          json_object_new_uint64 (record->epoch));
  json_object_object_add (object, "expires_after_ms",
                          json_object_new_int64 (ttl_ms));
  json_object_object_add (object, "members", own_names_to_json (members));
  return own_json_to_text (object);
}

/* Decode TEXT into RECORD, to be freed with own_record_clear.  Return false if
   TEXT is malformed.  */
bool
own_record_decode (const char *text, struct own_record *record)
{
  struct json_object *object = json_tokener_parse (text);
  const char *holder = own_json_string (object, "holder");
  const char *incarnation = own_json_string (object, "incarnation");
  bool valid = holder != NULL && incarnation != NULL
               && own_json_uint64 (object, "epoch", &record->epoch);

  if (valid)
    {
      record->holder = g_strdup (holder);
      record->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
    }
  json_object_put (object);
  return valid;
}

/* Free the members of RECORD.  */
void
own_record_clear (struct own_record *record)
{
  g_free (record->holder);
  record->holder = NULL;
}

/* Return an empty placement with epoch 0.  */
struct own_placement *
own_placement_new (void)
{
  struct own_placement *placement = g_new0 (struct own_placement, 1);

  placement->members = g_ptr_array_new_with_free_func (g_free);
  placement->pins = plc_pins_new ();
  return placement;
}

void
own_placement_free (struct own_placement *placement)
{
  if (placement == NULL)
    return;
  g_ptr_array_free (placement->members, TRUE);
  g_ptr_array_free (placement->pins, TRUE);
  g_free (placement);
}

/* Encode PLACEMENT.  The caller frees the result.  */
char *
own_placement_encode (const struct own_placement *placement)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *slots = json_object_new_array ();

  for (guint i = 0; i < placement->pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (placement->pins, i);
      struct json_object *slot = json_object_new_object ();

      json_object_object_add (slot, "model",
                              json_object_new_string (pin->model));
      json_object_object_add (slot, "slot", json_object_new_int64 (pin->slot));
      json_object_object_add (slot, "endpoint",
                              json_object_new_string (pin->endpoint));
      json_object_array_add (slots, slot);
    }
  json_object_object_add (object, "epoch",
                          json_object_new_uint64 (placement->epoch));
  json_object_object_add (object, "members",
                          own_names_to_json (placement->members));
  json_object_object_add (object, "slots", slots);
  return own_json_to_text (object);
}

static bool
own_decode_slots (struct json_object *slots, GPtrArray *pins)
{
  for (size_t i = 0; i < json_object_array_length (slots); i++)
    {
      struct json_object *slot = json_object_array_get_idx (slots, i);
      const char *model = own_json_string (slot, "model");
      const char *endpoint = own_json_string (slot, "endpoint");
      uint64_t number;

      if (model == NULL || endpoint == NULL
          || !own_json_uint64 (slot, "slot", &number) || number > UINT32_MAX)
        return false;
      plc_pins_add (pins, model, (uint32_t)number, endpoint);
    }
  return true;
}

static bool
own_decode_members (struct json_object *members, GPtrArray *names)
{
  for (size_t i = 0; i < json_object_array_length (members); i++)
    {
      struct json_object *name = json_object_array_get_idx (members, i);

      if (!json_object_is_type (name, json_type_string))
        return false;
      g_ptr_array_add (names, g_strdup (json_object_get_string (name)));
    }
  return true;
}

/* Decode TEXT.  Return NULL if it is malformed.  */
struct own_placement *
own_placement_decode (const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  struct own_placement *placement = own_placement_new ();
  struct json_object *members;
  struct json_object *slots;

  if (own_json_uint64 (object, "epoch", &placement->epoch)
      && json_object_object_get_ex (object, "members", &members)
      && json_object_is_type (members, json_type_array)
      && own_decode_members (members, placement->members)
      && json_object_object_get_ex (object, "slots", &slots)
      && json_object_is_type (slots, json_type_array)
      && own_decode_slots (slots, placement->pins))
    {
      json_object_put (object);
      return placement;
    }
  json_object_put (object);
  own_placement_free (placement);
  return NULL;
}
