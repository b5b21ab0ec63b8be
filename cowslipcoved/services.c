#include <string.h>

#include "claims.h"
#include "peers.h"
#include "refuse.h"
#include "services.h"
#include "services_impl.h"

#define CD_SERVICE_PREFIX "/svc/"
#define CD_KEY_MAX_BYTES  255

struct cd_services
{
  struct cd_daemon *daemon;
  GHashTable *endpoints;     /* address -> struct clm_endpoint */
  GHashTable *endpoint_sets; /* service name -> struct clm_endpoint_set */
  GHashTable *calls;         /* set of struct cd_call */
  struct rty_budgets *budgets;
};

static void cd_services_on_document (void *arg, const void *what);

static struct clm_endpoint *
cd_endpoint_get (struct cd_services *services, const char *address)
{
  struct clm_endpoint *endpoint
      = g_hash_table_lookup (services->endpoints, address);

  if (endpoint != NULL)
    return endpoint;
  endpoint = clm_endpoint_new (address);
  g_hash_table_insert (services->endpoints, endpoint->address, endpoint);
  return endpoint;
}

static void
cd_services_on_leaving (void *arg, const void *what)
{
  const struct cd_leaving *leaving = what;

  cd_endpoint_get (arg, leaving->endpoint)->leaving = leaving->leaving;
}

/* Return the service calls of DAEMON.  */
struct cd_services *
cd_services_new (struct cd_daemon *daemon)
{
  struct cd_services *services = g_new0 (struct cd_services, 1);

  services->daemon = daemon;
  services->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               clm_endpoint_free);
  services->endpoint_sets = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, clm_endpoint_set_free);
  services->calls = g_hash_table_new_full (NULL, NULL, cd_call_free, NULL);
  services->budgets = rty_new (daemon->tm);
  cd_subscribe (daemon, CD_DOCUMENT, cd_services_on_document, services);
  cd_subscribe (daemon, CD_LEAVING, cd_services_on_leaving, services);
  return services;
}

/* Free SERVICES and cancel its calls in progress.  */
void
cd_services_free (struct cd_services *services)
{
  if (services == NULL)
    return;
  g_hash_table_destroy (services->calls);
  g_hash_table_destroy (services->endpoint_sets);
  g_hash_table_destroy (services->endpoints);
  rty_free (services->budgets);
  g_free (services);
}

static struct clm_endpoint_set *
cd_endpoint_set_new (struct cd_services *services,
                     const struct env_service *service)
{
  const char *zone = services->daemon->settings->zone;
  struct clm_endpoint_set *endpoint_set = clm_endpoint_set_new ();

  for (guint i = 0; i < service->endpoints->len; i++)
    {
      const struct env_endpoint *e = g_ptr_array_index (service->endpoints, i);

      g_ptr_array_add (strcmp (e->zone, zone) == 0 ? endpoint_set->local_zone
                                                   : endpoint_set->other_zones,
                       cd_endpoint_get (services, e->address));
    }
  return endpoint_set;
}

/* Apply a new document.  Endpoints keep their state, because calls may be in
   flight there.  */
static void
cd_services_on_document (void *arg, const void *what)
{
  struct cd_services *services = arg;
  const GPtrArray *list = env_services (what);
  GHashTableIter iter;
  gpointer call;

  rty_set_percent (services->budgets, env_limits (what)->retry_percent);
  g_hash_table_remove_all (services->endpoint_sets);
  for (guint i = 0; i < list->len; i++)
    {
      const struct env_service *service = g_ptr_array_index (list, i);

      g_hash_table_insert (services->endpoint_sets, g_strdup (service->name),
                           cd_endpoint_set_new (services, service));
    }
  g_hash_table_iter_init (&iter, services->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    cd_call_set_endpoints (call, g_hash_table_lookup (services->endpoint_sets,
                                                      cd_call_service (call)));
}

static void
cd_services_call_finished (void *arg, struct cd_call *call)
{
  struct cd_services *services = arg;

  g_hash_table_remove (services->calls, call);
}

static bool
cd_is_repeatable (const struct env_service *service, const char *method)
{
  return service->repeatable || strcmp (method, "GET") == 0
         || strcmp (method, "HEAD") == 0;
}

/* Initialize CONFIG from its exchange and return true, or return false and set
   REASON and MESSAGE.  */
static bool
cd_call_config_init (struct cd_services *services,
                     struct cd_call_config *config, const char *name,
                     enum rsn_refusal *reason, const char **message)
{
  const struct env_document *document = cd_document (services->daemon);
  const char *class_name
      = http_header_value (config->exchange, "x-request-class");

  *reason = RSN_NO_CONFIGURATION;
  *message = "no configuration is in force yet";
  if (document == NULL)
    return false;
  *reason = RSN_NOT_FOUND;
  *message = "there is no such service";
  config->service = env_service (document, name);
  if (config->service == NULL)
    return false;
  *reason = RSN_UNKNOWN_CLASS;
  *message = "there is no such request class";
  config->klass = class_name == NULL ? config->service->default_class
                                     : env_class (document, class_name);
  if (config->klass == NULL)
    return false;
  config->endpoint_set = g_hash_table_lookup (services->endpoint_sets, name);
  config->is_repeatable
      = cd_is_repeatable (config->service, http_method (config->exchange));
  config->key = http_header_value (config->exchange, "idempotency-key");
  *reason = RSN_BAD_REQUEST;
  *message = "the Idempotency-Key is longer than 255 bytes";
  if (config->key != NULL && strlen (config->key) > CD_KEY_MAX_BYTES)
    return false;
  *reason = RSN_KEY_MISSING;
  *message = "the call may not be repeated and needs an Idempotency-Key";
  return config->is_repeatable
         || (config->key != NULL && config->key[0] != '\0');
}

static char *
cd_call_target (struct http_exchange *exchange, const char *rest)
{
  const char *query = http_query (exchange);

  return g_strconcat (*rest == '\0' ? "/" : rest, *query == '\0' ? "" : "?",
                      query, NULL);
}

/* Handle EXCHANGE, whose path is /svc/NAME/REST, by a call to the service
   NAME.  */
void
cd_services_handle (struct cd_daemon *daemon, struct http_exchange *exchange)
{
  struct cd_services *services = daemon->services;
  const char *path = http_path (exchange) + strlen (CD_SERVICE_PREFIX);
  const char *rest = path + strcspn (path, "/");
  char *name = g_strndup (path, (gsize)(rest - path));
  char *target = cd_call_target (exchange, rest);
  struct cd_call_config config = { .daemon = daemon,
                                   .exchange = exchange,
                                   .target = target,
                                   .budgets = services->budgets,
                                   .finished = cd_services_call_finished,
                                   .arg = services };
  enum rsn_refusal reason;
  const char *message;

  if (!cd_call_config_init (services, &config, name, &reason, &message))
    cd_refuse (daemon, exchange, reason, true, message);
  else if (!mbg_take (daemon->budget, CD_CALL_BYTES, MBG_CLIENT))
    cd_refuse_memory (daemon, exchange, CD_CALL_BYTES);
  else
    {
      struct cd_call *call = cd_call_new (&config);

      rty_count_request (services->budgets, config.klass->name);
      g_hash_table_add (services->calls, call);
      cd_call_start (call);
    }
  g_free (target);
  g_free (name);
}

/* Return the number of unfinished calls, including those whose caller has
   already received the response.  */
uint32_t
cd_services_active (const struct cd_daemon *daemon)
{
  return g_hash_table_size (daemon->services->calls);
}

/* Add the calls in flight, the open claims of this instance and the statistics
   of its claims to OUT.  */
void
cd_services_status (const struct cd_daemon *daemon, struct json_object *out)
{
  struct json_object *claims = json_object_new_object ();
  GHashTableIter iter;
  gpointer call;
  int open = 0;

  g_hash_table_iter_init (&iter, daemon->services->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    open += cd_call_holds_claim (call) ? 1 : 0;
  json_object_object_add (out, "calls_in_flight",
                          json_object_new_int64 (cd_services_active (daemon)));
  json_object_object_add (claims, "open", json_object_new_int (open));
  cd_claims_status (daemon, claims);
  json_object_object_add (out, "claims", claims);
}
