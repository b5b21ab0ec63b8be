#include <string.h>

#include <xxhash.h>

#include "env_document.h"
#include "jsn.h"

#define ENV_TIME_MAX_MS           86400000
#define ENV_REPLICAS_MAX          10000
#define ENV_BATCH_MAX             4096
#define ENV_BATCH_DEFAULT         32
#define ENV_WAITING_MAX           100000
#define ENV_WAITING_DEFAULT       2000
#define ENV_RETRY_DEFAULT_PERCENT 5
#define ENV_ADAPTER_LOADS_DEFAULT 32
#define ENV_WEIGHT_LOADS_DEFAULT  4
#define ENV_KEEP_ALIVE_MIN_MS     2000
#define ENV_KEEP_ALIVE_MAX_MS     600000

static const struct jsn_range env_required_bytes
    = { 1, (uint64_t)INT64_MAX, .required = true, .fallback = 1 };
static const struct jsn_range env_optional_bytes
    = { 0, (uint64_t)INT64_MAX, .required = false, .fallback = 0 };

/* State of parsing one document.  */
struct env_parser
{
  struct env_document *document;
  const char *environment; /* whose endpoints to keep; NULL: all */
  GHashTable *addresses;   /* set of all endpoint addresses */
  GError **error;
};

/* Reads one element of a section of the document.  */
typedef void (*env_read_member) (struct env_parser *parser,
                                 struct jsn_reader *reader, const char *name);

static uint32_t
env_time_ms (struct jsn_reader *reader, const char *key, uint64_t min,
             uint64_t fallback)
{
  struct jsn_range range = { min, ENV_TIME_MAX_MS, false, fallback };

  return (uint32_t)jsn_number (reader, key, range);
}

static uint32_t
env_count (struct jsn_reader *reader, const char *key, uint64_t max,
           uint64_t fallback)
{
  struct jsn_range range = { 1, max, false, fallback };

  return (uint32_t)jsn_number (reader, key, range);
}

static void
env_read_class (struct env_parser *parser, struct jsn_reader *reader,
                const char *name)
{
  struct env_class *class = g_new0 (struct env_class, 1);
  struct jsn_range deadline
      = { 1, ENV_TIME_MAX_MS, .required = true, .fallback = 1 };

  class->name = g_strdup (name);
  class->deadline_ms = (uint32_t)jsn_number (reader, "deadline_ms", deadline);
  class->first_token_ms = env_time_ms (reader, "first_token_ms", 0, 0);
  class->between_tokens_ms = env_time_ms (reader, "between_tokens_ms", 0, 0);
  class->expected_ms
      = env_time_ms (reader, "expected_ms", 1, class->deadline_ms);
  class->priority = jsn_integer (reader, "priority", 0);
  g_ptr_array_add (parser->document->classes, class);
  g_hash_table_insert (parser->document->class_index, class->name, class);
}

static void
env_add_zone (struct env_document *document, const char *zone)
{
  if (!g_ptr_array_find_with_equal_func (document->zones, zone, g_str_equal,
                                         NULL))
    g_ptr_array_add (document->zones, g_strdup (zone));
}

static void
env_endpoint_free (gpointer data)
{
  struct env_endpoint *endpoint = data;

  g_free (endpoint->address);
  g_free (endpoint->zone);
  g_free (endpoint->environment);
  g_free (endpoint);
}

static void
env_check_endpoint (struct env_parser *parser, struct jsn_reader *reader,
                    const struct env_endpoint *endpoint)
{
  if (!jsn_is_address (endpoint->address))
    jsn_fail (reader, "address", "not an IPv4 address and port");
  else if (!g_hash_table_add (parser->addresses, g_strdup (endpoint->address)))
    jsn_fail (reader, "address", "%s stands twice", endpoint->address);
  if (!jsn_is_name (endpoint->zone))
    jsn_fail (reader, "zone", "not a valid name");
}

static void
env_read_endpoint (struct env_parser *parser, struct jsn_reader *outer,
                   struct json_object *item, GPtrArray *endpoints)
{
  struct env_endpoint *endpoint = g_new0 (struct env_endpoint, 1);
  struct jsn_reader reader;
  char *path
      = g_strdup_printf ("%s.endpoints[%u]", outer->path, endpoints->len);

  jsn_open (&reader, item, path);
  endpoint->address = jsn_string (&reader, "address", true);
  endpoint->zone = jsn_string (&reader, "zone", true);
  endpoint->environment = jsn_string (&reader, "environment", false);
  if (reader.error == NULL)
    env_check_endpoint (parser, &reader, endpoint);
  (void)jsn_close_inner (&reader, outer);
  g_free (path);
  if (outer->error == NULL
      && (parser->environment == NULL || endpoint->environment == NULL
          || strcmp (parser->environment, endpoint->environment) == 0))
    {
      env_add_zone (parser->document, endpoint->zone);
      g_ptr_array_add (endpoints, endpoint);
    }
  else
    env_endpoint_free (endpoint);
}

static GPtrArray *
env_read_endpoints (struct env_parser *parser, struct jsn_reader *reader)
{
  GPtrArray *endpoints = g_ptr_array_new_with_free_func (env_endpoint_free);
  struct json_object *list
      = jsn_get (reader, "endpoints", json_type_array, true);
  size_t count = list == NULL ? 0 : json_object_array_length (list);

  for (size_t i = 0; i < count; i++)
    env_read_endpoint (parser, reader, json_object_array_get_idx (list, i),
                       endpoints);
  return endpoints;
}

static void
env_read_pool (struct env_parser *parser, struct jsn_reader *reader,
               const char *name)
{
  struct env_pool *pool = g_new0 (struct env_pool, 1);

  pool->name = g_strdup (name);
  pool->memory_bytes = jsn_number (reader, "memory_bytes", env_required_bytes);
  pool->batch = env_count (reader, "batch", ENV_BATCH_MAX, ENV_BATCH_DEFAULT);
  pool->checks_fencing = jsn_flag (reader, "checks_fencing", false);
  pool->can_resume = jsn_flag (reader, "can_resume", false);
  pool->endpoints = env_read_endpoints (parser, reader);
  g_ptr_array_add (parser->document->pools, pool);
  g_hash_table_insert (parser->document->pool_index, pool->name, pool);
}

static void
env_budget_free (gpointer data)
{
  struct env_budget *budget = data;

  g_free (budget->zone);
  g_free (budget);
}

static GPtrArray *
env_read_budgets (struct jsn_reader *reader)
{
  GPtrArray *budgets = g_ptr_array_new_with_free_func (env_budget_free);
  struct json_object *object
      = jsn_get (reader, "replicas", json_type_object, true);

  if (object == NULL)
    return budgets;
  json_object_object_foreach (object, zone, value)
  {
    struct env_budget *budget = g_new0 (struct env_budget, 1);
    int64_t replicas = json_object_get_int64 (value);

    budget->zone = g_strdup (zone);
    budget->replicas = (uint32_t)replicas;
    g_ptr_array_add (budgets, budget);
    if (!jsn_is_name (zone) || !json_object_is_type (value, json_type_int)
        || replicas < 0 || replicas > ENV_REPLICAS_MAX)
      jsn_fail (reader, "replicas", "%s must be from 0 to %d", zone,
                ENV_REPLICAS_MAX);
  }
  return budgets;
}

static const struct env_class *
env_read_class_name (struct env_parser *parser, struct jsn_reader *reader)
{
  char *name = jsn_string (reader, "class", true);
  const struct env_class *class = name == NULL
                                      ? NULL
                                      : env_class (parser->document, name);

  if (name != NULL && class == NULL)
    jsn_fail (reader, "class", "no class %s", name);
  g_free (name);
  return class;
}

static const struct env_pool *
env_read_pool_name (struct env_parser *parser, struct jsn_reader *reader)
{
  char *name = jsn_string (reader, "pool", true);
  const struct env_pool *pool
      = name == NULL ? NULL : env_pool (parser->document, name);

  if (name != NULL && pool == NULL)
    jsn_fail (reader, "pool", "no pool %s", name);
  g_free (name);
  return pool;
}

static void
env_read_model (struct env_parser *parser, struct jsn_reader *reader,
                const char *name)
{
  struct env_model *model = g_new0 (struct env_model, 1);

  model->name = g_strdup (name);
  model->version = jsn_string (reader, "version", true);
  model->pool = env_read_pool_name (parser, reader);
  model->default_class = env_read_class_name (parser, reader);
  model->bytes = jsn_number (reader, "bytes", env_required_bytes);
  model->adapter_bytes
      = jsn_number (reader, "adapter_bytes", env_optional_bytes);
  model->keep_alive_min_ms
      = env_time_ms (reader, "keep_alive_min_ms", 0, ENV_KEEP_ALIVE_MIN_MS);
  model->keep_alive_max_ms
      = env_time_ms (reader, "keep_alive_max_ms", 0, ENV_KEEP_ALIVE_MAX_MS);
  model->budgets = env_read_budgets (reader);
  if (model->keep_alive_max_ms < model->keep_alive_min_ms)
    jsn_fail (reader, "keep_alive_max_ms", "less than keep_alive_min_ms");
  if (model->pool != NULL
      && (model->adapter_bytes > model->pool->memory_bytes
          || model->bytes > model->pool->memory_bytes - model->adapter_bytes))
    jsn_fail (reader, "bytes", "more than the memory of pool %s",
              model->pool->name);
  g_ptr_array_add (parser->document->models, model);
  g_hash_table_insert (parser->document->model_index, model->name, model);
}

static void
env_read_adapter (struct env_parser *parser, struct jsn_reader *reader,
                  const char *name)
{
  struct env_adapter *adapter = g_new0 (struct env_adapter, 1);
  char *model = jsn_string (reader, "model", true);

  adapter->name = g_strdup (name);
  adapter->version = jsn_string (reader, "version", true);
  adapter->bytes = jsn_number (reader, "bytes", env_required_bytes);
  if (model != NULL)
    adapter->model = env_model (parser->document, model);
  if (adapter->model == NULL)
    jsn_fail (reader, "model", "no model %s", model == NULL ? "" : model);
  else if (adapter->bytes > adapter->model->adapter_bytes)
    jsn_fail (reader, "bytes", "more than adapter_bytes of model %s", model);
  if (env_model (parser->document, name) != NULL)
    jsn_fail (reader, "model", "%s is also the name of a model", name);
  g_free (model);
  g_ptr_array_add (parser->document->adapters, adapter);
  g_hash_table_insert (parser->document->adapter_index, adapter->name,
                       adapter);
}

static void
env_read_service (struct env_parser *parser, struct jsn_reader *reader,
                  const char *name)
{
  struct env_service *service = g_new0 (struct env_service, 1);

  service->name = g_strdup (name);
  service->default_class = env_read_class_name (parser, reader);
  service->repeatable = jsn_flag (reader, "repeatable", false);
  service->deduplicates = jsn_flag (reader, "deduplicates", false);
  service->endpoints = env_read_endpoints (parser, reader);
  g_ptr_array_add (parser->document->services, service);
  g_hash_table_insert (parser->document->service_index, service->name,
                       service);
}

/* Read each element of SECTION with READ, up to the first invalid one.  Return
   false if one is invalid.  */
static bool
env_read_section (struct env_parser *parser, struct jsn_reader *outer,
                  const char *section, env_read_member read)
{
  struct json_object *object
      = jsn_get (outer, section, json_type_object, false);

  if (object == NULL)
    return outer->error == NULL;
  json_object_object_foreach (object, name, value)
  {
    char *path = g_strdup_printf ("%s.%s", section, name);
    struct jsn_reader reader;
    bool ok;

    jsn_open (&reader, value, path);
    if (!jsn_is_name (name))
      jsn_fail (&reader, "name", "not a valid name");
    if (reader.object != NULL)
      read (parser, &reader, name);
    ok = jsn_close_inner (&reader, outer);
    g_free (path);
    if (!ok)
      return false;
  }
  return true;
}

static void
env_read_limits (struct env_parser *parser, struct jsn_reader *outer)
{
  struct env_limits *limits = &parser->document->limits;
  struct json_object *object
      = jsn_get (outer, "limits", json_type_object, false);
  struct json_object *none = json_object_new_object ();
  struct jsn_reader reader;
  struct jsn_range percent = { 0, 100, false, ENV_RETRY_DEFAULT_PERCENT };

  jsn_open (&reader, object == NULL ? none : object, "limits");
  limits->waiting_max = env_count (&reader, "waiting_max", ENV_WAITING_MAX,
                                   ENV_WAITING_DEFAULT);
  limits->retry_percent
      = (uint32_t)jsn_number (&reader, "retry_percent", percent);
  limits->adapter_loads_max = env_count (
      &reader, "adapter_loads_max", ENV_BATCH_MAX, ENV_ADAPTER_LOADS_DEFAULT);
  limits->weight_loads_max = env_count (
      &reader, "weight_loads_max", ENV_BATCH_MAX, ENV_WEIGHT_LOADS_DEFAULT);
  (void)jsn_close_inner (&reader, outer);
  json_object_put (none);
}

static bool
env_read_document (struct env_parser *parser, struct json_object *object)
{
  struct jsn_reader reader;

  jsn_open (&reader, object, "");
  parser->document->name = jsn_string (&reader, "name", true);
  if (env_read_section (parser, &reader, "classes", env_read_class)
      && env_read_section (parser, &reader, "pools", env_read_pool)
      && env_read_section (parser, &reader, "models", env_read_model)
      && env_read_section (parser, &reader, "adapters", env_read_adapter)
      && env_read_section (parser, &reader, "services", env_read_service))
    env_read_limits (parser, &reader);
  return jsn_close (&reader, parser->error);
}

/* Parse and check the BYTES at TEXT.  Keep only the endpoints that belong to
   ENVIRONMENT, or all if it is NULL.  Return NULL and set ERROR, with the line
   or the key path, if the document is invalid.  */
struct env_document *
env_parse_for (const char *text, size_t bytes, const char *environment,
               GError **error)
{
  struct env_parser parser = { .environment = environment, .error = error };
  struct json_object *object;
  bool ok;

  if (bytes > ENV_DOCUMENT_MAX_BYTES)
    {
      g_set_error (error, ENV_ERROR, ENV_ERROR_TOO_LARGE,
                   "%zu bytes, at most %u are allowed", bytes,
                   ENV_DOCUMENT_MAX_BYTES);
      return NULL;
    }
  object = jsn_parse (text, bytes, error);
  if (object == NULL)
    return NULL;
  parser.document = env_document_new ();
  parser.document->text = g_strndup (text, bytes);
  parser.document->text_bytes = bytes;
  g_snprintf (parser.document->digest, sizeof parser.document->digest,
              "%016llx", (unsigned long long)XXH3_64bits (text, bytes));
  parser.addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ok = env_read_document (&parser, object);
  g_hash_table_destroy (parser.addresses);
  json_object_put (object);
  if (ok)
    return parser.document;
  env_unref (parser.document);
  return NULL;
}

/* Like env_parse_for, but keep the endpoints of all environments.  */
struct env_document *
env_parse (const char *text, size_t bytes, GError **error)
{
  return env_parse_for (text, bytes, NULL, error);
}
