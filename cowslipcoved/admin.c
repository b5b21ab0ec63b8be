#include <string.h>

#include <json-c/json.h>
#include <openssl/crypto.h>

#include "admin.h"
#include "admin_env.h"
#include "admin_members.h"
#include "control.h"
#include "drain.h"
#include "peers.h"
#include "requests.h"
#include "services.h"

#define ADMIN_PREFIX       "/admin/v1/"
#define ADMIN_ENVIRONMENTS "/admin/v1/environments/"
#define ADMIN_JSON         "application/json"
#define ADMIN_TEXT         "text/plain; charset=utf-8"
#define ADMIN_BEARER       "Bearer "

struct cd_admin
{
  struct cd_daemon *daemon;
};

/* Return the operators' interface of DAEMON.  */
struct cd_admin *
cd_admin_new (struct cd_daemon *daemon)
{
  struct cd_admin *admin = g_new0 (struct cd_admin, 1);

  admin->daemon = daemon;
  return admin;
}

void
cd_admin_free (struct cd_admin *admin)
{
  g_free (admin);
}

/* Send OBJECT as a JSON response and drop the reference to it.  */
void
cd_admin_respond (struct http_exchange *exchange, uint16_t status,
                  struct json_object *object)
{
  const char *text = json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

  http_respond (exchange, status, ADMIN_JSON, text, strlen (text));
  json_object_put (object);
}

static void
admin_respond_text (struct http_exchange *exchange, uint16_t status,
                    const char *text)
{
  http_respond (exchange, status, ADMIN_TEXT, text, strlen (text));
}

/* Return whether GIVEN, which may be NULL, is the field with the operators'
   token.  */
static bool
admin_is_token (const struct cd_daemon *daemon, const char *given)
{
  const char *token = daemon->settings->operator_token;

  if (given == NULL || !g_str_has_prefix (given, ADMIN_BEARER))
    return false;
  given += strlen (ADMIN_BEARER);
  /* Compare in constant time, so that timing reveals nothing about the
     token.  */
  return strlen (given) == strlen (token)
         && CRYPTO_memcmp (given, token, strlen (token)) == 0;
}

/* Return whether HEAD is that of an operator's request to the daemon ARG, or
   of one without a body for liveness, readiness or metrics.  */
bool
cd_admin_is_control (void *arg, const struct h1_head *head)
{
  static const char *const targets[] = { "/livez", "/readyz", "/metrics" };

  if (admin_is_token (arg, h1_head_get (head, "Authorization")))
    return true;
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    if (g_str_equal (head->target, targets[i]) && !head->chunked
        && head->length_bytes == 0)
      return true;
  return false;
}

static void
admin_ready (const struct cd_daemon *daemon, struct http_exchange *exchange)
{
  if (daemon->draining)
    admin_respond_text (exchange, 503, "draining\n");
  else if (cd_document (daemon) == NULL)
    admin_respond_text (exchange, 503, "no configuration\n");
  else
    admin_respond_text (exchange, 200, "ready\n");
}

static void
admin_metrics (const struct cd_daemon *daemon, struct http_exchange *exchange)
{
  GString *out = g_string_new (NULL);

  ctr_set_gauge (daemon->counters, "rpc_sent_bytes",
                 (int64_t)rpc_bytes_sent (daemon->rpc));
  ctr_set_gauge (daemon->counters, "rpc_received_bytes",
                 (int64_t)rpc_bytes_received (daemon->rpc));
  ctr_set_gauge (daemon->counters, "http_client_sent_bytes",
                 (int64_t)http_client_sent_bytes (daemon->client));
  ctr_set_gauge (daemon->counters, "http_client_received_bytes",
                 (int64_t)http_client_received_bytes (daemon->client));
  ctr_set_gauge (daemon->counters, "configuration_generation",
                 (int64_t)cd_generation (daemon));
  http_server_report (daemon->server, daemon->counters);
  ctr_print (daemon->counters, out);
  http_respond (exchange, 200, "text/plain; version=0.0.4", out->str,
                out->len);
  g_string_free (out, TRUE);
}

static struct json_object *
admin_member_json (const struct mem_member *member)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "instance",
                          json_object_new_string (member->instance));
  json_object_object_add (object, "zone",
                          json_object_new_string (member->zone));
  json_object_object_add (object, "number",
                          json_object_new_int64 (member->number));
  json_object_object_add (object, "generation",
                          json_object_new_uint64 (member->generation));
  json_object_object_add (object, "recorded",
                          json_object_new_boolean (member->recorded));
  json_object_object_add (object, "reachable",
                          json_object_new_boolean (member->reachable));
  json_object_object_add (object, "draining",
                          json_object_new_boolean (member->draining));
  return object;
}

static struct json_object *
admin_members_json (const struct cd_daemon *daemon)
{
  const GPtrArray *members = mem_members (cd_members (daemon));
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < members->len; i++)
    json_object_array_add (list,
                           admin_member_json (g_ptr_array_index (members, i)));
  return list;
}

/* Add one section of the status under KEY.  */
static void
admin_add_section (const struct cd_daemon *daemon, struct json_object *status,
                   const char *key,
                   void (*append) (const struct cd_daemon *daemon,
                                   struct json_object *out))
{
  struct json_object *section = json_object_new_object ();

  append (daemon, section);
  json_object_object_add (status, key, section);
}

static void
admin_status (const struct cd_daemon *daemon, struct http_exchange *exchange)
{
  struct json_object *status = json_object_new_object ();
  const struct env_document *document = cd_document (daemon);
  const char *holder = cd_control_holder (daemon);

  json_object_object_add (status, "instance",
                          json_object_new_string (daemon->settings->instance));
  json_object_object_add (status, "zone",
                          json_object_new_string (daemon->settings->zone));
  json_object_object_add (
      status, "environment",
      json_object_new_string (daemon->settings->environment));
  json_object_object_add (status, "generation",
                          json_object_new_uint64 (cd_generation (daemon)));
  json_object_object_add (
      status, "digest",
      json_object_new_string (document == NULL ? "" : env_digest (document)));
  json_object_object_add (status, "draining",
                          json_object_new_boolean (daemon->draining));
  json_object_object_add (status, "kv_reachable",
                          json_object_new_boolean (cd_kv_reachable (daemon)));
  json_object_object_add (
      status, "controller",
      json_object_new_string (holder == NULL ? "" : holder));
  json_object_object_add (status, "members", admin_members_json (daemon));
  admin_add_section (daemon, status, "control", cd_control_status);
  admin_add_section (daemon, status, "requests", cd_requests_status);
  admin_add_section (daemon, status, "services", cd_services_status);
  cd_admin_respond (exchange, 200, status);
}

static void
admin_handle_operator (struct cd_daemon *daemon,
                       struct http_exchange *exchange)
{
  const char *path = http_path (exchange);
  bool get = strcmp (http_method (exchange), "GET") == 0;
  bool post = strcmp (http_method (exchange), "POST") == 0;

  if (!admin_is_token (daemon, http_header_value (exchange, "authorization")))
    {
      ctr_add (daemon->counters, "operator_denied_total", 1);
      admin_respond_text (exchange, 401, "operator token missing or wrong\n");
    }
  else if (g_str_has_prefix (path, ADMIN_ENVIRONMENTS))
    cd_admin_environment (daemon, exchange,
                          path + strlen (ADMIN_ENVIRONMENTS));
  else if (get && strcmp (path, ADMIN_PREFIX "status") == 0)
    admin_status (daemon, exchange);
  else if (get && strcmp (path, ADMIN_PREFIX "members") == 0)
    cd_admin_member_records (daemon, exchange);
  else if (post && strcmp (path, ADMIN_PREFIX "drain") == 0)
    {
      cd_drain (daemon);
      admin_respond_text (exchange, 202, "draining\n");
    }
  else
    admin_respond_text (exchange, 404, "no such call\n");
}

/* Handle a request for liveness, readiness, metrics or the operators'
   interface.  */
void
cd_admin_handle (struct cd_daemon *daemon, struct http_exchange *exchange)
{
  const char *path = http_path (exchange);

  if (strcmp (path, "/livez") == 0)
    admin_respond_text (exchange, 200, "alive\n");
  else if (strcmp (path, "/readyz") == 0)
    admin_ready (daemon, exchange);
  else if (strcmp (path, "/metrics") == 0)
    admin_metrics (daemon, exchange);
  else if (g_str_has_prefix (path, ADMIN_PREFIX))
    admin_handle_operator (daemon, exchange);
  else
    cd_refuse (daemon, exchange, RSN_NOT_FOUND, true, "no such path");
}
