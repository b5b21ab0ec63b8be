#include "blm_record.h"

/* Clocks of instances differ and step.  The last crash is taken to be this
   long ago at most, so that a wrong clock shortens what is remembered but does
   not discard it.  */
#define BLM_RECORD_AGE_MAX_MS 300000
#define BLM_HASH_DIGITS       16

/* State of encoding the crashes of one trait.  */
struct blm_encoder
{
  struct json_object *list;
  uint64_t unix_ms;
};

/* Add the hash VALUE as hexadecimal text, because many JSON parsers lose
   precision in 64-bit numbers.  */
static void
blm_add_hash (struct json_object *object, const char *key, uint64_t value)
{
  char text[BLM_HASH_DIGITS + 1];

  (void)g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
blm_encode_crash (void *arg, const struct blm_crash *crash)
{
  const struct blm_encoder *encoder = arg;
  struct json_object *object = json_object_new_object ();

  blm_add_hash (object, "crash", crash->crash);
  blm_add_hash (object, "place", crash->place);
  blm_add_hash (object, "request", crash->request);
  json_object_object_add (
      object, "time_ms",
      json_object_new_uint64 (encoder->unix_ms - crash->age_ms));
  json_object_array_add (encoder->list, object);
}

/* Encode the crashes of TRAIT in TABLE at the time of day UNIX_MS.  The caller
   frees the result.  */
char *
blm_record_encode (const struct blm_table *table, uint64_t trait,
                   uint64_t unix_ms)
{
  struct blm_encoder encoder = { json_object_new_array (), unix_ms };
  struct json_object *object = json_object_new_object ();
  char *text;

  blm_foreach (table, trait, blm_encode_crash, &encoder);
  json_object_object_add (object, "crashes", encoder.list);
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static uint64_t
blm_read_hash (struct jsn_reader *reader, const char *key)
{
  char *text = jsn_string (reader, key, true);
  char *end = NULL;
  uint64_t value = text == NULL ? 0 : g_ascii_strtoull (text, &end, 16);

  if (text != NULL && (end == text || *end != '\0'))
    jsn_fail (reader, key, "not a hexadecimal number");
  g_free (text);
  return value;
}

/* Read one crash of a trait from OBJECT, and its time of day.  */
static bool
blm_read_crash (struct jsn_reader *outer, struct json_object *object,
                struct blm_crash *crash, uint64_t *time_ms)
{
  struct jsn_reader reader;

  jsn_open (&reader, object, "crashes");
  crash->crash = blm_read_hash (&reader, "crash");
  crash->place = blm_read_hash (&reader, "place");
  crash->request = blm_read_hash (&reader, "request");
  *time_ms = jsn_number (
      &reader, "time_ms",
      (struct jsn_range){ .min = 0, .max = INT64_MAX, .required = true });
  return jsn_close_inner (&reader, outer);
}

/* Set the ages of COUNT CRASHES, which were at TIMES_MS, at UNIX_MS.  The time
   between them was measured by one clock and is kept.  */
static void
blm_set_ages (struct blm_crash *crashes, const uint64_t *times_ms,
              size_t count, uint64_t unix_ms)
{
  uint64_t last_ms = 0;
  uint64_t last_age_ms;

  for (size_t i = 0; i < count; i++)
    last_ms = MAX (last_ms, times_ms[i]);
  last_age_ms
      = last_ms < unix_ms ? MIN (unix_ms - last_ms, BLM_RECORD_AGE_MAX_MS) : 0;
  for (size_t i = 0; i < count; i++)
    crashes[i].age_ms
        = (uint32_t)MIN (last_age_ms + last_ms - times_ms[i], UINT32_MAX);
}

/* Add the crashes of TRAIT in the record TEXT, which is read at the time of
   day UNIX_MS, to TABLE.  Return false, set ERROR and add nothing if TEXT is
   malformed.  */
bool
blm_record_apply (struct blm_table *table, uint64_t trait, const char *text,
                  size_t bytes, uint64_t unix_ms, GError **error)
{
  struct json_object *object = jsn_parse (text, bytes, error);
  struct blm_crash crashes[BLM_CRASHES_MAX] = { 0 };
  uint64_t times_ms[BLM_CRASHES_MAX] = { 0 };
  struct jsn_reader reader;
  struct json_object *list;
  size_t count = 0;
  bool valid;

  if (object == NULL)
    return false;
  jsn_open (&reader, object, "");
  list = jsn_get (&reader, "crashes", json_type_array, true);
  if (list != NULL)
    count = MIN (json_object_array_length (list), BLM_CRASHES_MAX);
  for (size_t i = 0; i < count; i++)
    if (!blm_read_crash (&reader, json_object_array_get_idx (list, i),
                         &crashes[i], &times_ms[i]))
      break;
  valid = jsn_close (&reader, error);
  if (valid)
    blm_set_ages (crashes, times_ms, count, unix_ms);
  for (size_t i = 0; valid && i < count; i++)
    {
      crashes[i].trait = trait;
      blm_add (table, &crashes[i]);
    }
  json_object_put (object);
  return valid;
}
