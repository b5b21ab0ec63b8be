#include <string.h>

#include "gateway.h"

/* An operation of a transaction; one member is set.  */
struct kvg_op
{
  struct json_object *put;
  struct json_object *range;
  struct json_object *del;
};

static struct kvg_op
kvg_op (struct json_object *request)
{
  struct kvg_op op
      = { kvg_get_field (request, "requestPut", "request_put"),
          kvg_get_field (request, "requestRange", "request_range"),
          kvg_get_field (request, "requestDeleteRange",
                         "request_delete_range") };

  return op;
}

static size_t
kvg_list_length (struct json_object *list)
{
  return json_object_is_type (list, json_type_array)
             ? json_object_array_length (list)
             : 0;
}

static bool
kvg_list_writes (struct json_object *list)
{
  for (size_t i = 0; i < kvg_list_length (list); i++)
    {
      struct kvg_op op = kvg_op (json_object_array_get_idx (list, i));

      if (op.put != NULL || op.del != NULL)
        return true;
    }
  return false;
}

/* Return whether the transaction REQUEST contains a put or a deletion and so
   counts against the write limit.  */
bool
kvg_txn_writes (struct json_object *request)
{
  return kvg_list_writes (json_object_object_get (request, "success"))
         || kvg_list_writes (json_object_object_get (request, "failure"));
}

static const char *
kvg_put_validate (struct kvg *gateway, struct json_object *put)
{
  int64_t lease = stand_get_int (put, "lease", 0);
  size_t bytes = strlen (stand_get_string (put, "value")) / 4 * 3;

  if (bytes > KVG_VALUE_MAX_BYTES + 2)
    return "etcdserver: request is too large";
  if (lease != 0 && kvg_lease (gateway, lease) == NULL)
    return "etcdserver: requested lease not found";
  return NULL;
}

static const char *
kvg_list_validate (struct kvg *gateway, struct json_object *list)
{
  for (size_t i = 0; i < kvg_list_length (list); i++)
    {
      struct kvg_op op = kvg_op (json_object_array_get_idx (list, i));
      struct json_object *any = op.put != NULL     ? op.put
                                : op.range != NULL ? op.range
                                                   : op.del;
      struct kvs_range range = { 0 };
      const char *reason = NULL;

      if (any == NULL)
        return "etcdserver: key not found";
      if (!kvg_parse_range (any, &range))
        reason = "etcdserver: key is not provided";
      kvg_range_clear (&range);
      if (reason == NULL && op.put != NULL)
        reason = kvg_put_validate (gateway, op.put);
      if (reason != NULL)
        return reason;
    }
  return NULL;
}

/* Return the error message if the transaction REQUEST is invalid, or NULL.  */
const char *
kvg_txn_validate (struct kvg *gateway, struct json_object *request)
{
  const char *reason = kvg_list_validate (
      gateway, json_object_object_get (request, "success"));

  if (reason != NULL)
    return reason;
  return kvg_list_validate (gateway,
                            json_object_object_get (request, "failure"));
}

static bool
kvg_compare_holds (struct kvg *gateway, struct json_object *compare)
{
  const char *target = stand_get_string (compare, "target");
  const char *result = stand_get_string (compare, "result");
  struct kvs_range range;
  const struct kvs_entry *entry;
  int64_t actual = 0;
  int64_t expected = 0;

  (void)kvg_parse_range (compare, &range);
  entry = kvs_get (gateway->store, range.key);
  kvg_range_clear (&range);
  if (strcmp (target, "MOD") == 0)
    {
      actual = entry == NULL ? 0 : entry->mod_revision;
      expected = json_object_get_int64 (
          kvg_get_field (compare, "mod_revision", "modRevision"));
    }
  else if (strcmp (target, "CREATE") == 0)
    {
      actual = entry == NULL ? 0 : entry->create_revision;
      expected = json_object_get_int64 (
          kvg_get_field (compare, "create_revision", "createRevision"));
    }
  else
    {
      actual = entry == NULL ? 0 : entry->version;
      expected = stand_get_int (compare, "version", 0);
    }
  if (strcmp (result, "GREATER") == 0)
    return actual > expected;
  if (strcmp (result, "LESS") == 0)
    return actual < expected;
  if (strcmp (result, "NOT_EQUAL") == 0)
    return actual != expected;
  return actual == expected;
}

static bool
kvg_compares_hold (struct kvg *gateway, struct json_object *list)
{
  for (size_t i = 0; i < kvg_list_length (list); i++)
    if (!kvg_compare_holds (gateway, json_object_array_get_idx (list, i)))
      return false;
  return true;
}

static void
kvg_run_put (struct kvg *gateway, struct json_object *put)
{
  struct kvs_range range;
  gsize bytes;
  guchar *value = g_base64_decode (stand_get_string (put, "value"), &bytes);
  GBytes *content = g_bytes_new_take (value, bytes);

  (void)kvg_parse_range (put, &range);
  kvs_put (gateway->store, range.key, content,
           stand_get_int (put, "lease", 0));
  g_bytes_unref (content);
  kvg_range_clear (&range);
}

static uint32_t
kvg_run_delete (struct kvg *gateway, struct json_object *del)
{
  struct kvs_range range;
  uint32_t count;

  (void)kvg_parse_range (del, &range);
  count = kvs_delete (gateway->store, &range);
  kvg_range_clear (&range);
  return count;
}

static struct json_object *
kvg_run_op (struct kvg *gateway, struct json_object *request)
{
  struct json_object *response = json_object_new_object ();
  struct json_object *inner = json_object_new_object ();
  struct kvg_op op = kvg_op (request);

  if (op.range != NULL)
    {
      json_object_put (inner);
      json_object_object_add (response, "response_range",
                              kvg_run_range (gateway, op.range));
      return response;
    }
  if (op.put != NULL)
    kvg_run_put (gateway, op.put);
  else
    kvg_add_int64 (inner, "deleted", kvg_run_delete (gateway, op.del));
  json_object_object_add (inner, "header", kvg_header (gateway));
  json_object_object_add (
      response, op.put != NULL ? "response_put" : "response_delete_range",
      inner);
  return response;
}

/* Execute the transaction REQUEST, which must be valid, as one revision and
   return its response.  */
struct json_object *
kvg_run_txn (struct kvg *gateway, struct json_object *request)
{
  struct json_object *reply = json_object_new_object ();
  struct json_object *responses = json_object_new_array ();
  bool succeeded = kvg_compares_hold (
      gateway, json_object_object_get (request, "compare"));
  struct json_object *list
      = json_object_object_get (request, succeeded ? "success" : "failure");

  for (size_t i = 0; i < kvg_list_length (list); i++)
    json_object_array_add (
        responses, kvg_run_op (gateway, json_object_array_get_idx (list, i)));
  kvs_commit (gateway->store);
  json_object_object_add (reply, "header", kvg_header (gateway));
  if (succeeded)
    json_object_object_add (reply, "succeeded", json_object_new_boolean (1));
  json_object_object_add (reply, "responses", responses);
  return reply;
}
