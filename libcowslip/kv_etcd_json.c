#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "kv_etcd_json.h"

/* Return the URL path of the gateway call PATH.  */
const char *
kv_etcd_path_text (enum kv_etcd_path path)
{
  switch (path)
    {
    case KV_ETCD_RANGE:
      return "/v3/kv/range";
    case KV_ETCD_TXN:
      return "/v3/kv/txn";
    case KV_ETCD_GRANT:
      return "/v3/lease/grant";
    case KV_ETCD_KEEPALIVE:
      return "/v3/lease/keepalive";
    case KV_ETCD_REVOKE:
      return "/v3/lease/revoke";
    case KV_ETCD_WATCH:
      return "/v3/watch";
    }
  return "";
}

/* Return the call for TXN: a single read without comparisons needs no
   transaction.  */
enum kv_etcd_path
kv_etcd_txn_path (const struct kv_txn *txn)
{
  if (txn->compare_count == 0 && txn->then_count == 1
      && (txn->then_ops->kind == KV_GET
          || txn->then_ops->kind == KV_GET_PREFIX))
    return KV_ETCD_RANGE;
  return KV_ETCD_TXN;
}

static void
kv_etcd_add_bytes (struct json_object *object, const char *name,
                   const char *data, size_t bytes)
{
  char *text = g_base64_encode ((const guchar *)data, bytes);

  json_object_object_add (object, name, json_object_new_string (text));
  g_free (text);
}

static void
kv_etcd_add_number (struct json_object *object, const char *name,
                    int64_t value)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  json_object_object_add (object, name, json_object_new_string (text));
}

/* The range of a prefix ends before the prefix with its last byte
   incremented.  Keys are printable, so that byte is below 255.  */
static void
kv_etcd_add_range (struct json_object *object, const char *prefix)
{
  char *end = g_strdup (prefix);
  size_t bytes = strlen (prefix);

  kv_etcd_add_bytes (object, "key", prefix, bytes);
  if (bytes > 0)
    end[bytes - 1]++;
  kv_etcd_add_bytes (object, "range_end", end, bytes);
  g_free (end);
}

static struct json_object *
kv_etcd_encode_read (const struct kv_op *op)
{
  struct json_object *range = json_object_new_object ();

  if (op->kind == KV_GET_PREFIX)
    kv_etcd_add_range (range, op->key);
  else
    kv_etcd_add_bytes (range, "key", op->key, strlen (op->key));
  return range;
}

static struct json_object *
kv_etcd_encode_write (const struct kv_op *op)
{
  struct json_object *write = json_object_new_object ();

  kv_etcd_add_bytes (write, "key", op->key, strlen (op->key));
  if (op->kind == KV_DELETE)
    return write;
  kv_etcd_add_bytes (write, "value", op->value, op->value_bytes);
  if (op->lease != 0)
    kv_etcd_add_number (write, "lease", op->lease);
  return write;
}

static struct json_object *
kv_etcd_encode_ops (const struct kv_op *ops, size_t count)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_new_object ();

      if (ops[i].kind == KV_PUT)
        json_object_object_add (item, "request_put",
                                kv_etcd_encode_write (&ops[i]));
      else if (ops[i].kind == KV_DELETE)
        json_object_object_add (item, "request_delete_range",
                                kv_etcd_encode_write (&ops[i]));
      else
        json_object_object_add (item, "request_range",
                                kv_etcd_encode_read (&ops[i]));
      json_object_array_add (list, item);
    }
  return list;
}

/* Return the request body for TXN, a range request if kv_etcd_txn_path
   selects it.  */
struct json_object *
kv_etcd_encode_txn (const struct kv_txn *txn)
{
  struct json_object *body;
  struct json_object *compares;

  if (kv_etcd_txn_path (txn) == KV_ETCD_RANGE)
    return kv_etcd_encode_read (txn->then_ops);
  body = json_object_new_object ();
  compares = json_object_new_array ();
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      const struct kv_compare *compare = &txn->compares[i];
      struct json_object *item = json_object_new_object ();

      kv_etcd_add_bytes (item, "key", compare->key, strlen (compare->key));
      json_object_object_add (item, "target", json_object_new_string ("MOD"));
      json_object_object_add (item, "result",
                              json_object_new_string ("EQUAL"));
      kv_etcd_add_number (item, "mod_revision", compare->revision);
      json_object_array_add (compares, item);
    }
  json_object_object_add (body, "compare", compares);
  json_object_object_add (body, "success",
                          kv_etcd_encode_ops (txn->then_ops, txn->then_count));
  json_object_object_add (body, "failure",
                          kv_etcd_encode_ops (txn->else_ops, txn->else_count));
  return body;
}

/* Return a request body with the number NAME as its only field.  */
struct json_object *
kv_etcd_encode_number (const char *name, int64_t value)
{
  struct json_object *body = json_object_new_object ();

  kv_etcd_add_number (body, name, value);
  return body;
}

/* Return the request body to watch keys that start with PREFIX from
   FROM_REVISION on, or from the current revision if that is 0.  */
struct json_object *
kv_etcd_encode_watch (const char *prefix, int64_t from_revision)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *create = json_object_new_object ();

  kv_etcd_add_range (create, prefix);
  if (from_revision > 0)
    kv_etcd_add_number (create, "start_revision", from_revision);
  json_object_object_add (body, "create_request", create);
  return body;
}

/* Parse BYTES of TEXT.  Return NULL if they are not a JSON object.  */
struct json_object *
kv_etcd_parse (const char *text, size_t bytes)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, text, (int)bytes);

  json_tokener_free (tokener);
  if (object != NULL && json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}

/* Read the number NAME of OBJECT, encoded as a string or a number, into
   VALUE; 0 if it is missing.  Return false if it is invalid.  */
bool
kv_etcd_number (struct json_object *object, const char *name, int64_t *value)
{
  struct json_object *item;
  const char *text;
  char *end;

  *value = 0;
  if (!json_object_object_get_ex (object, name, &item))
    return true;
  if (json_object_is_type (item, json_type_int))
    {
      *value = json_object_get_int64 (item);
      return true;
    }
  if (!json_object_is_type (item, json_type_string))
    return false;
  text = json_object_get_string (item);
  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == '\0';
}

static bool
kv_etcd_decode_bytes (struct json_object *object, const char *name,
                      char **data, size_t *bytes)
{
  struct json_object *item;
  guchar *raw;
  gsize length = 0;

  if (!json_object_object_get_ex (object, name, &item))
    {
      *data = g_strdup ("");
      *bytes = 0;
      return true;
    }
  if (!json_object_is_type (item, json_type_string))
    return false;
  raw = g_base64_decode (json_object_get_string (item), &length);
  *data = g_malloc (length + 1);
  if (length > 0)
    memcpy (*data, raw, length);
  (*data)[length] = '\0';
  *bytes = length;
  g_free (raw);
  return true;
}

static void
kv_etcd_pair_clear (void *data)
{
  struct kv_pair *pair = data;

  g_free (pair->key);
  g_free (pair->value);
}

/* Return an empty array of struct kv_pair that owns its strings.  */
GArray *
kv_etcd_pairs_new (void)
{
  GArray *pairs = g_array_new (FALSE, TRUE, sizeof (struct kv_pair));

  g_array_set_clear_func (pairs, kv_etcd_pair_clear);
  return pairs;
}

static bool
kv_etcd_decode_pair (struct json_object *object, struct kv_pair *pair)
{
  size_t key_bytes;

  if (kv_etcd_decode_bytes (object, "key", &pair->key, &key_bytes)
      && kv_etcd_decode_bytes (object, "value", &pair->value,
                               &pair->value_bytes)
      && kv_etcd_number (object, "mod_revision", &pair->revision)
      && kv_etcd_number (object, "lease", &pair->lease) && key_bytes > 0)
    return true;
  kv_etcd_pair_clear (pair);
  return false;
}

static bool
kv_etcd_decode_range (struct json_object *range, GArray *pairs)
{
  struct json_object *list;

  if (!json_object_object_get_ex (range, "kvs", &list))
    return true;
  if (!json_object_is_type (list, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct kv_pair pair = { 0 };

      if (!kv_etcd_decode_pair (json_object_array_get_idx (list, i), &pair))
        return false;
      g_array_append_val (pairs, pair);
    }
  return true;
}

static bool
kv_etcd_decode_responses (struct json_object *response, GArray *pairs)
{
  struct json_object *list;
  struct json_object *range;

  if (!json_object_object_get_ex (response, "responses", &list))
    return true;
  if (!json_object_is_type (list, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (json_object_object_get_ex (json_object_array_get_idx (list, i),
                                   "response_range", &range)
        && !kv_etcd_decode_range (range, pairs))
      return false;
  return true;
}

/* Decode RESPONSE to the call PATH into RESULT and append the pairs found to
   PAIRS.  Return false if it is invalid.  */
bool
kv_etcd_decode_txn (struct json_object *response, enum kv_etcd_path path,
                    GArray *pairs, struct kv_result *result)
{
  struct json_object *header;
  struct json_object *succeeded;

  if (!json_object_object_get_ex (response, "header", &header)
      || !kv_etcd_number (header, "revision", &result->revision))
    return false;
  result->outcome = KV_OK;
  if (path == KV_ETCD_RANGE)
    return kv_etcd_decode_range (response, pairs);
  if (!json_object_object_get_ex (response, "succeeded", &succeeded)
      || !json_object_get_boolean (succeeded))
    result->outcome = KV_CONFLICT;
  return kv_etcd_decode_responses (response, pairs);
}

/* Decode the lease and its remaining time in seconds from RESPONSE to a grant
   or keepalive, which may be wrapped in "result".  Return false if it is
   invalid.  */
bool
kv_etcd_decode_lease (struct json_object *response, int64_t *lease,
                      int64_t *ttl_s)
{
  struct json_object *inner;

  if (json_object_object_get_ex (response, "result", &inner))
    response = inner;
  return kv_etcd_number (response, "ID", lease)
         && kv_etcd_number (response, "TTL", ttl_s) && *lease != 0;
}

/* Decode EVENT of a watch into PAIR, whose strings the caller frees.  */
bool
kv_etcd_decode_event (struct json_object *event, struct kv_pair *pair,
                      bool *deleted)
{
  struct json_object *type;
  struct json_object *item;

  *deleted = json_object_object_get_ex (event, "type", &type)
             && json_object_is_type (type, json_type_string)
             && strcmp (json_object_get_string (type), "DELETE") == 0;
  return json_object_object_get_ex (event, "kv", &item)
         && kv_etcd_decode_pair (item, pair);
}
