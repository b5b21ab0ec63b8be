#include <string.h>

#include "gateway.h"

/* Set KEY of OBJECT to VALUE in the format of etcd's gateway: a decimal
   string, omitted if 0.  */
void
kvg_add_int64 (struct json_object *object, const char *key, int64_t value)
{
  char text[32];

  if (value == 0)
    return;
  (void)g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  stand_add_string (object, key, text);
}

static void
kvg_add_base64 (struct json_object *object, const char *key, const void *data,
                size_t bytes)
{
  char *text;

  if (bytes == 0)
    return;
  text = g_base64_encode (data, bytes);
  stand_add_string (object, key, text);
  g_free (text);
}

/* Return the header of a response.  */
struct json_object *
kvg_header (const struct kvg *gateway)
{
  struct json_object *header = json_object_new_object ();

  stand_add_string (header, "cluster_id", "1");
  stand_add_string (header, "member_id", "1");
  kvg_add_int64 (header, "revision", kvs_pending_revision (gateway->store));
  stand_add_string (header, "raft_term", "1");
  return header;
}

/* Return ENTRY in the format of etcd's gateway.  */
struct json_object *
kvg_entry_json (const struct kvs_entry *entry)
{
  struct json_object *kv = json_object_new_object ();
  size_t bytes = 0;
  const void *value
      = entry->value == NULL ? NULL : g_bytes_get_data (entry->value, &bytes);

  kvg_add_base64 (kv, "key", entry->key, strlen (entry->key));
  kvg_add_int64 (kv, "create_revision", entry->create_revision);
  kvg_add_int64 (kv, "mod_revision", entry->mod_revision);
  kvg_add_int64 (kv, "version", entry->version);
  kvg_add_base64 (kv, "value", value, bytes);
  kvg_add_int64 (kv, "lease", entry->lease);
  return kv;
}

/* Return the field NAME or SNAKE_NAME of OBJECT, or NULL: etcd's gateway
   accepts both camel case and snake case.  */
struct json_object *
kvg_get_field (struct json_object *object, const char *name,
               const char *snake_name)
{
  struct json_object *value = json_object_object_get (object, name);

  return value != NULL ? value : json_object_object_get (object, snake_name);
}

/* Set RANGE, to be freed with kvg_range_clear, to the fields key and range_end
   of REQUEST.  Return false if the key is missing or contains a zero byte,
   which the stand-in does not support.  */
bool
kvg_parse_range (struct json_object *request, struct kvs_range *range)
{
  struct json_object *end = kvg_get_field (request, "range_end", "rangeEnd");
  gsize key_bytes;

  range->key = (char *)g_base64_decode (stand_get_string (request, "key"),
                                        &key_bytes);
  range->end = (char *)g_base64_decode (
      end == NULL ? "" : json_object_get_string (end), &range->end_bytes);
  if (range->key == NULL)
    range->key = g_strdup ("");
  if (range->end == NULL)
    range->end = g_strdup ("");
  /* The range from "\0" to "\0" selects all keys.  */
  if (key_bytes == 1 && range->key[0] == '\0')
    return true;
  return key_bytes > 0 && strlen (range->key) == key_bytes;
}

/* Free the strings of RANGE.  */
void
kvg_range_clear (struct kvs_range *range)
{
  g_free (range->key);
  g_free (range->end);
}

static void
kvg_range_visit (void *arg, const struct kvs_entry *entry)
{
  json_object_array_add (arg, kvg_entry_json (entry));
}

/* Execute the range REQUEST, which must be valid, and return its response.  */
struct json_object *
kvg_run_range (struct kvg *gateway, struct json_object *request)
{
  struct json_object *reply = json_object_new_object ();
  struct json_object *kvs = json_object_new_array ();
  struct kvs_range range;
  uint32_t count;

  (void)kvg_parse_range (request, &range);
  count = kvs_foreach (gateway->store, &range, kvg_range_visit, kvs);
  kvg_range_clear (&range);
  json_object_object_add (reply, "header", kvg_header (gateway));
  if (count > 0)
    json_object_object_add (reply, "kvs", kvs);
  else
    json_object_put (kvs);
  kvg_add_int64 (reply, "count", count);
  return reply;
}
