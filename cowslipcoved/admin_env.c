#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>

#include "admin_env.h"
#include "chg.h"
#include "jsn.h"

#define ADMIN_US_PER_MS 1000

/* An operator's request that waits for the key-value service.  EXCHANGE is
   NULL after the operator has disconnected; a change is completed
   nevertheless.  */
struct admin_call
{
  struct cd_daemon *daemon;
  struct http_exchange *exchange;
  char *environment;
  char *author;
  char *comment;
  uint64_t base;
};

static void
admin_disconnected (void *arg)
{
  struct admin_call *call = arg;

  call->exchange = NULL;
}

static char *
admin_parameter (const struct http_exchange *exchange, const char *name)
{
  char **pairs = g_strsplit (http_query (exchange), "&", 0);
  size_t bytes = strlen (name);
  char *value = NULL;

  for (size_t i = 0; pairs[i] != NULL && value == NULL; i++)
    if (strncmp (pairs[i], name, bytes) == 0 && pairs[i][bytes] == '=')
      value = g_uri_unescape_string (pairs[i] + bytes + 1, NULL);
  g_strfreev (pairs);
  return value;
}

static struct admin_call *
admin_call_new (struct cd_daemon *daemon, struct http_exchange *exchange,
                const char *environment)
{
  struct admin_call *call = g_new0 (struct admin_call, 1);
  char *base = admin_parameter (exchange, "base");

  call->daemon = daemon;
  call->exchange = exchange;
  call->environment = g_strdup (environment);
  call->author = admin_parameter (exchange, "author");
  call->comment = admin_parameter (exchange, "comment");
  call->base = base == NULL ? 0 : strtoull (base, NULL, 10);
  g_free (base);
  http_on_disconnect (exchange, admin_disconnected, call);
  return call;
}

static void
admin_call_free (struct admin_call *call)
{
  g_free (call->environment);
  g_free (call->author);
  g_free (call->comment);
  g_free (call);
}

/* Respond to CALL, unless the operator has disconnected, and free it.  */
static void
admin_call_finish (struct admin_call *call, uint16_t status,
                   struct json_object *object)
{
  if (call->exchange != NULL)
    cd_admin_respond (call->exchange, status, object);
  else
    json_object_put (object);
  admin_call_free (call);
}

static struct json_object *admin_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

static struct json_object *
admin_error (const char *format, ...)
{
  struct json_object *object = json_object_new_object ();
  va_list ap;
  char *text;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  json_object_object_add (object, "error", json_object_new_string (text));
  g_free (text);
  return object;
}

static void
admin_add_string (struct json_object *object, const char *key,
                  const char *text)
{
  if (text != NULL)
    json_object_object_add (object, key, json_object_new_string (text));
}

static struct json_object *
admin_record_json (const struct chg_record *record, bool with_text)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "generation",
                          json_object_new_uint64 (record->generation));
  admin_add_string (object, "digest", record->digest);
  admin_add_string (object, "author", record->author);
  admin_add_string (object, "comment", record->comment);
  json_object_object_add (object, "time_ms",
                          json_object_new_int64 (record->time_ms));
  if (with_text)
    admin_add_string (object, "document", record->text);
  return object;
}

static void
admin_change_done (void *arg, enum chg_outcome outcome,
                   const struct chg_record *record)
{
  struct admin_call *call = arg;
  struct json_object *object;

  switch (outcome)
    {
    case CHG_ACCEPTED:
      admin_call_finish (call, 200, admin_record_json (record, false));
      return;
    case CHG_CONFLICT:
      object = admin_error (
          "conflict: generation %" PRIu64 " by %s came first",
          record->generation, record->author == NULL ? "?" : record->author);
      json_object_object_add (object, "current",
                              admin_record_json (record, false));
      admin_call_finish (call, 409, object);
      return;
    case CHG_TOO_LARGE:
      admin_call_finish (call, 413, admin_error ("document too large"));
      return;
    case CHG_UNAVAILABLE:
      admin_call_finish (
          call, 503,
          admin_error ("key-value service unavailable; nothing was changed"));
      return;
    case CHG_UNKNOWN:
      admin_call_finish (
          call, 504,
          admin_error ("the change may have taken effect; read the "
                       "environment before another try"));
      return;
    }
}

/* Store TEXT as the next generation of the call's environment.  */
static void
admin_change (struct admin_call *call, const char *text, size_t bytes)
{
  struct cd_daemon *daemon = call->daemon;
  GError *error = NULL;
  struct env_document *document = env_parse (text, bytes, &error);
  struct chg_change change
      = { .environment = call->environment,
          .base = call->base,
          .author = call->author,
          .comment = call->comment,
          .time_ms = g_get_real_time () / ADMIN_US_PER_MS };
  uint64_t id;
  char change_id[32];

  if (document == NULL)
    {
      admin_call_finish (call, 422, admin_error ("%s", error->message));
      g_error_free (error);
      return;
    }
  if (change.author == NULL)
    change.author = "operator";
  if (change.comment == NULL)
    change.comment = "";
  RAND_bytes ((unsigned char *)&id, sizeof id);
  g_snprintf (change_id, sizeof change_id, "%016" PRIx64, id);
  change.change_id = change_id;
  change.digest = env_digest (document);
  change.text = env_text (document, &bytes);
  chg_apply (&daemon->kv, daemon->tm, &change, admin_change_done, call);
  env_unref (document);
}

static void
admin_promote_read_done (void *arg, const struct chg_record *record)
{
  struct admin_call *call = arg;

  if (record == NULL)
    admin_call_finish (call, 503,
                       admin_error ("key-value service unavailable"));
  else if (record->generation == 0)
    admin_call_finish (call, 404, admin_error ("the source has no document"));
  else
    admin_change (call, record->text, strlen (record->text));
}

static void
admin_read_done (void *arg, const struct chg_record *record)
{
  struct admin_call *call = arg;

  if (record == NULL)
    admin_call_finish (call, 503,
                       admin_error ("key-value service unavailable"));
  else if (record->generation == 0)
    admin_call_finish (call, 404, admin_error ("no such environment"));
  else
    admin_call_finish (call, 200, admin_record_json (record, true));
}

static void
admin_history_done (void *arg, const struct kv_result *result)
{
  struct admin_call *call = arg;
  struct json_object *list;

  if (result->outcome != KV_OK)
    {
      admin_call_finish (call, 503,
                         admin_error ("key-value service unavailable"));
      return;
    }
  list = json_object_new_array ();
  for (size_t i = 0; i < result->pair_count; i++)
    {
      struct chg_record *record = chg_record_parse (
          result->pairs[i].value, result->pairs[i].value_bytes);

      if (record != NULL)
        json_object_array_add (list, admin_record_json (record, false));
      chg_record_free (record);
    }
  admin_call_finish (call, 200, list);
}

static void
admin_history (struct admin_call *call)
{
  char *prefix = chg_history_prefix (call->environment);

  kv_get_prefix (&call->daemon->kv, prefix, admin_history_done, call);
  g_free (prefix);
}

static void
admin_promote (struct admin_call *call)
{
  char *from = admin_parameter (call->exchange, "from");

  if (!jsn_is_name (from))
    admin_call_finish (call, 400, admin_error ("from: not a valid name"));
  else
    chg_read (&call->daemon->kv, from, admin_promote_read_done, call);
  g_free (from);
}

static void
admin_dispatch (struct admin_call *call, const char *action)
{
  const char *method = http_method (call->exchange);

  if (strcmp (method, "GET") == 0 && action == NULL)
    chg_read (&call->daemon->kv, call->environment, admin_read_done, call);
  else if (strcmp (method, "GET") == 0 && g_strcmp0 (action, "history") == 0)
    admin_history (call);
  else if (strcmp (method, "PUT") == 0 && action == NULL)
    admin_change (call, http_body (call->exchange),
                  http_body_bytes (call->exchange));
  else if (strcmp (method, "POST") == 0 && g_strcmp0 (action, "promote") == 0)
    admin_promote (call);
  else
    admin_call_finish (call, 404, admin_error ("no such call"));
}

/* Handle an operator's request for PATH, which is "NAME" or "NAME/ACTION".  */
void
cd_admin_environment (struct cd_daemon *daemon, struct http_exchange *exchange,
                      const char *path)
{
  char **parts = g_strsplit (path, "/", 2);

  if (!jsn_is_name (parts[0]))
    cd_admin_respond (exchange, 400,
                      admin_error ("environment: not a valid name"));
  else
    admin_dispatch (admin_call_new (daemon, exchange, parts[0]), parts[1]);
  g_strfreev (parts);
}
