#include <json-c/json.h>

#include "own_record.h"
#include "plc_pin.h"

static struct json_object *
own_names (const GPtrArray *names)
{
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < names->len; i++)
    json_object_array_add (
        list, json_object_new_string (g_ptr_array_index (names, i)));
  return list;
}

static const char *
own_text_member (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static bool
own_number_member (struct json_object *object, const char *key,
                   uint64_t *number)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  *number = json_object_get_uint64 (value);
  return true;
}

static char *
own_finish (struct json_object *object)
{
  char *text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));

  json_object_put (object);
  return text;
}

/* Return RECORD with the zone's MEMBERS and the lease time TTL_MS in
   milliseconds as text.  The incarnation is in hexadecimal, because JSON
   numbers lose 64-bit precision in other readers.  */
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
  json_object_object_add (object, "members", own_names (members));
  return own_finish (object);
}

/* Read RECORD from TEXT; the caller clears it.  Return false if TEXT is not
   such a record.  */
bool
own_record_decode (const char *text, struct own_record *record)
{
  struct json_object *object = json_tokener_parse (text);
  const char *holder = own_text_member (object, "holder");
  const char *incarnation = own_text_member (object, "incarnation");
  bool good = holder != NULL && incarnation != NULL
              && own_number_member (object, "epoch", &record->epoch);

  if (good)
    {
      record->holder = g_strdup (holder);
      record->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
    }
  json_object_put (object);
  return good;
}

/* Free what RECORD holds.  */
void
own_record_clear (struct own_record *record)
{
  g_free (record->holder);
  record->holder = NULL;
}

/* Return an empty placement of epoch 0.  */
struct own_placement *
own_placement_new (void)
{
  struct own_placement *placement = g_new0 (struct own_placement, 1);

  placement->members = g_ptr_array_new_with_free_func (g_free);
  placement->pins = plc_pins_new ();
  return placement;
}

/* Free PLACEMENT.  */
void
own_placement_free (struct own_placement *placement)
{
  if (placement == NULL)
    return;
  g_ptr_array_free (placement->members, TRUE);
  g_ptr_array_free (placement->pins, TRUE);
  g_free (placement);
}

/* Return PLACEMENT as text.  */
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
  json_object_object_add (object, "members", own_names (placement->members));
  json_object_object_add (object, "slots", slots);
  return own_finish (object);
}

static bool
own_read_slots (struct json_object *slots, GPtrArray *pins)
{
  for (size_t i = 0; i < json_object_array_length (slots); i++)
    {
      struct json_object *slot = json_object_array_get_idx (slots, i);
      const char *model = own_text_member (slot, "model");
      const char *endpoint = own_text_member (slot, "endpoint");
      uint64_t number;

      if (model == NULL || endpoint == NULL
          || !own_number_member (slot, "slot", &number) || number > UINT32_MAX)
        return false;
      plc_pins_add (pins, model, (uint32_t)number, endpoint);
    }
  return true;
}

static bool
own_read_members (struct json_object *members, GPtrArray *names)
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

/* Return the placement in TEXT, or NULL if TEXT is not a placement.  */
struct own_placement *
own_placement_decode (const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  struct own_placement *placement = own_placement_new ();
  struct json_object *members;
  struct json_object *slots;

  if (own_number_member (object, "epoch", &placement->epoch)
      && json_object_object_get_ex (object, "members", &members)
      && json_object_is_type (members, json_type_array)
      && own_read_members (members, placement->members)
      && json_object_object_get_ex (object, "slots", &slots)
      && json_object_is_type (slots, json_type_array)
      && own_read_slots (slots, placement->pins))
    {
      json_object_put (object);
      return placement;
    }
  json_object_put (object);
  own_placement_free (placement);
  return NULL;
}
