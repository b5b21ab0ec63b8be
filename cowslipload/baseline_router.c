#include <string.h>

#include <json-c/json.h>

#include "baseline.h"

#define BL_ATTEMPTS_MAX  3
#define BL_IDLE_CHECK_US (100 * BL_US_PER_MS)

static void bl_on_head (void *arg, uint16_t status, const char *content_type);
static void bl_on_body (void *arg, const char *data, size_t bytes);
static void bl_on_done (void *arg, enum http_outcome outcome, bool sent);

static struct bl_model *
bl_model_new (struct bl_router *router, const struct env_model *spec)
{
  struct bl_model *model = g_new0 (struct bl_model, 1);

  model->router = router;
  model->spec = spec;
  model->replicas = g_ptr_array_new ();
  model->refused_by = g_hash_table_new (NULL, NULL);
  g_queue_init (&model->waiting);
  return model;
}

/* Return a router for the engines and models in the document of CONTEXT.  */
struct bl_router *
bl_router_new (struct bl_context *context, uint64_t seed)
{
  struct bl_router *router = g_new0 (struct bl_router, 1);
  const GPtrArray *pools = env_pools (context->document);
  const GPtrArray *models = env_models (context->document);

  router->context = context;
  router->engines = g_ptr_array_new_with_free_func (g_free);
  router->models = g_hash_table_new (g_str_hash, g_str_equal);
  router->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (router->random, seed);
  for (guint i = 0; i < pools->len; i++)
    {
      const struct env_pool *pool = pools->pdata[i];

      for (guint j = 0; j < pool->endpoints->len; j++)
        {
          const struct env_endpoint *endpoint = pool->endpoints->pdata[j];
          struct bl_engine *engine = g_new0 (struct bl_engine, 1);

          engine->address = endpoint->address;
          engine->pool = pool;
          g_ptr_array_add (router->engines, engine);
        }
    }
  for (guint i = 0; i < models->len; i++)
    {
      const struct env_model *spec = models->pdata[i];

      g_hash_table_insert (router->models, spec->name,
                           bl_model_new (router, spec));
    }
  tm_after (context->tm, &router->idle_timer, BL_IDLE_CHECK_US, bl_unload_idle,
            router);
  return router;
}

/* Return the one of ENGINES with the fewest connections of this router, ties
   broken at random, or NULL if there are none.  */
struct bl_engine *
bl_least_connections (struct bl_router *router, const GPtrArray *engines)
{
  struct bl_engine *best = NULL;
  unsigned long ties = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      struct bl_engine *engine = engines->pdata[i];

      if (best != NULL && engine->connections > best->connections)
        continue;
      if (best == NULL || engine->connections < best->connections)
        ties = 0;
      if (gsl_rng_uniform_int (router->random, ++ties) == 0)
        best = engine;
    }
  return best;
}

static void
bl_request_free (struct bl_request *request)
{
  g_string_free (request->body, TRUE);
  g_free (request);
}

/* Update the counters after the call of REQUEST to its engine has ended.  */
static void
bl_end_call (struct bl_request *request)
{
  struct bl_model *model = request->model;

  request->call = NULL;
  request->engine->connections--;
  model->running--;
  model->last_used_us = tm_now_us (model->router->context->tm);
}

static void
bl_on_disconnect (void *arg)
{
  struct bl_request *request = arg;

  if (request->call != NULL)
    {
      http_cancel (request->call);
      bl_end_call (request);
    }
  else
    g_queue_remove (&request->model->waiting, request);
  bl_request_free (request);
}

static void
bl_refuse (struct http_exchange *exchange, uint16_t status, const char *reason)
{
  char *body = g_strdup_printf (
      "{\"error\": {\"type\": \"refused\", \"reason\": \"%s\"}}", reason);

  http_respond (exchange, status, "application/json", body, strlen (body));
  g_free (body);
}

static struct bl_model *
bl_find_model (const struct bl_router *router,
               const struct http_exchange *exchange)
{
  char *text = g_strndup (http_body (exchange), http_body_bytes (exchange));
  struct json_object *body = json_tokener_parse (text);
  const char *name
      = json_object_get_string (json_object_object_get (body, "model"));
  struct bl_model *model
      = name == NULL ? NULL : g_hash_table_lookup (router->models, name);

  json_object_put (body);
  g_free (text);
  return model;
}

/* Handle the request EXCHANGE of a caller at the router ARG.  */
void
bl_handle (void *arg, struct http_exchange *exchange)
{
  struct bl_router *router = arg;
  struct bl_request *request;
  struct bl_model *model;

  if (strcmp (http_path (exchange), "/readyz") == 0)
    {
      http_respond (exchange, 200, "text/plain", "ready\n",
                    strlen ("ready\n"));
      return;
    }
  model = http_body_bytes (exchange) == 0 ? NULL
                                          : bl_find_model (router, exchange);
  if (model == NULL)
    {
      bl_refuse (exchange, 404, "unknown_model");
      return;
    }
  request = g_new0 (struct bl_request, 1);
  request->model = model;
  request->exchange = exchange;
  request->body = g_string_new (NULL);
  model->last_used_us = tm_now_us (router->context->tm);
  http_on_disconnect (exchange, bl_on_disconnect, request);
  g_queue_push_tail (&model->waiting, request);
  bl_dispatch (model);
}

static void
bl_send (struct bl_request *request, struct bl_engine *engine)
{
  static const struct http_handlers handlers
      = { bl_on_head, bl_on_body, bl_on_done };
  const struct http_header headers[]
      = { { "content-type", "application/json" }, { NULL, NULL } };
  struct http_request call
      = { .method = "POST",
          .address = engine->address,
          .path = http_path (request->exchange),
          .headers = headers,
          .body = http_body (request->exchange),
          .body_bytes = http_body_bytes (request->exchange) };

  request->engine = engine;
  request->attempts++;
  engine->connections++;
  request->model->running++;
  request->call = http_start (request->model->router->context->client, &call,
                              &handlers, request);
}

/* Send the waiting requests of MODEL in the order of arrival, or load the
   model if this router knows no replica.  */
void
bl_dispatch (struct bl_model *model)
{
  while (model->waiting.length > 0)
    {
      struct bl_engine *engine
          = bl_least_connections (model->router, model->replicas);

      if (engine == NULL)
        {
          bl_load (model);
          return;
        }
      bl_send (g_queue_pop_head (&model->waiting), engine);
    }
}

static void
bl_on_head (void *arg, uint16_t status, const char *content_type)
{
  struct bl_request *request = arg;

  request->status = status;
  request->streaming = status == 200;
  if (request->streaming)
    http_stream_start (request->exchange, status, content_type);
}

static void
bl_on_body (void *arg, const char *data, size_t bytes)
{
  struct bl_request *request = arg;

  if (request->streaming)
    http_stream_write (request->exchange, data, bytes);
  else
    g_string_append_len (request->body, data, (gssize)bytes);
}

/* Retry REQUEST on another replica: its engine failed or no longer serves the
   model.  */
static void
bl_retry_request (struct bl_request *request)
{
  struct bl_model *model = request->model;

  bl_remove_replica (model, request->engine);
  if (request->attempts >= BL_ATTEMPTS_MAX)
    {
      bl_refuse (request->exchange, 503, "no_endpoint");
      bl_request_free (request);
      return;
    }
  g_string_truncate (request->body, 0);
  g_queue_push_head (&model->waiting, request);
  bl_dispatch (model);
}

static void
bl_on_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct bl_request *request = arg;

  (void)sent;
  bl_end_call (request);
  if (!request->streaming
      && (outcome != HTTP_COMPLETE || request->status == 503))
    {
      bl_retry_request (request);
      return;
    }
  http_on_disconnect (request->exchange, NULL, NULL);
  if (request->streaming)
    http_stream_end (request->exchange, outcome == HTTP_COMPLETE);
  else
    http_respond (request->exchange, request->status, "application/json",
                  request->body->str, request->body->len);
  bl_request_free (request);
}
