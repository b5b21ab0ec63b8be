#include <string.h>

#include <json-c/json.h>

#include "baseline.h"

#define BL_IDLE_CHECK_US    (100 * BL_US_PER_MS)
#define BL_POLL_US          (50 * BL_US_PER_MS)
#define BL_LOAD_RETRY_US    (200 * BL_US_PER_MS)
#define BL_ORDER_TIMEOUT_MS 5000
/* Minimum time between two evictions, for one unload and the load that follows
   it.  Without it, a router with many waiting models empties all engines at
   once.  */
#define BL_UNLOAD_INTERVAL_US (300 * BL_US_PER_MS)
#define BL_PATH_STATE         "/admin/state"

static void bl_try_load (void *arg);
static void bl_poll (void *arg);

/* Remove the replica of MODEL on ENGINE.  */
void
bl_remove_replica (struct bl_model *model, struct bl_engine *engine)
{
  g_ptr_array_remove (model->replicas, engine);
}

/* Send a request for MODEL to ENGINE.  All routers use the same fencing
   number, so that no order is rejected as stale.  */
static void
bl_send_order (struct bl_model *model, const struct bl_engine *engine,
               const char *path, http_response_cb done)
{
  const struct env_model *spec = model->spec;
  struct bl_context *context = model->router->context;
  char *body = g_strdup_printf (
      "{\"model\": \"%s\", \"version\": \"%s\", \"bytes\": %" G_GUINT64_FORMAT
      ", \"adapter_bytes\": %" G_GUINT64_FORMAT ", \"fence\": \"1\"}",
      spec->name, spec->version, spec->bytes, spec->adapter_bytes);
  bool is_query = strcmp (path, BL_PATH_STATE) == 0;
  const struct http_request request
      = { .method = is_query ? "GET" : "POST",
          .address = engine->address,
          .path = path,
          .body = is_query ? NULL : body,
          .body_bytes = is_query ? 0 : strlen (body),
          .timeout_ms = BL_ORDER_TIMEOUT_MS };

  (void)http_fetch (context->client, &request, done, model);
  g_free (body);
}

static void
bl_unload_done (void *arg, const struct http_response *response)
{
  (void)arg;
  (void)response;
}

static void
bl_unload (struct bl_model *model)
{
  for (guint i = 0; i < model->replicas->len; i++)
    bl_send_order (model, model->replicas->pdata[i], "/admin/unload",
                   bl_unload_done);
  g_ptr_array_set_size (model->replicas, 0);
}

static bool
bl_is_idle (const struct bl_model *model)
{
  return model->replicas->len > 0 && model->running == 0
         && model->waiting.length == 0;
}

/* Unload the least recently used idle model in the pool of MODEL.  The
   interval between two evictions is at least BL_UNLOAD_INTERVAL_US.  */
static void
bl_evict_model (struct bl_model *model)
{
  struct bl_router *router = model->router;
  uint64_t now_us = tm_now_us (router->context->tm);
  struct bl_model *least_recent = NULL;
  GHashTableIter iter;
  gpointer value;

  if (now_us < router->next_unload_us)
    return;
  router->next_unload_us = now_us + BL_UNLOAD_INTERVAL_US;
  g_hash_table_iter_init (&iter, router->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bl_model *other = value;

      if (bl_is_idle (other) && other->spec->pool == model->spec->pool
          && (least_recent == NULL
              || other->last_used_us < least_recent->last_used_us))
        least_recent = other;
    }
  if (least_recent != NULL)
    bl_unload (least_recent);
}

static void
bl_schedule_load (struct bl_model *model)
{
  model->target = NULL;
  tm_after (model->router->context->tm, &model->retry, BL_LOAD_RETRY_US,
            bl_try_load, model);
}

/* Return whether RESPONSE, an engine's response to GET /admin/state, reports
   the model NAME in STATE.  */
static bool
bl_model_has_state (const struct http_response *response, const char *name,
                    const char *state)
{
  char *text = g_strndup (response->body, response->body_bytes);
  struct json_object *body = json_tokener_parse (text);
  struct json_object *models = json_object_object_get (body, "models");
  bool found = false;

  for (size_t i = 0; models != NULL && i < json_object_array_length (models);
       i++)
    {
      struct json_object *model = json_object_array_get_idx (models, i);

      if (g_strcmp0 (
              json_object_get_string (json_object_object_get (model, "name")),
              name)
              == 0
          && g_strcmp0 (json_object_get_string (
                            json_object_object_get (model, "state")),
                        state)
                 == 0)
        found = true;
    }
  json_object_put (body);
  g_free (text);
  return found;
}

static void
bl_poll_done (void *arg, const struct http_response *response)
{
  struct bl_model *model = arg;
  bool ok = response->outcome == HTTP_COMPLETE && response->status == 200;

  if (ok && bl_model_has_state (response, model->spec->name, "loaded"))
    {
      g_ptr_array_add (model->replicas, model->target);
      model->loading = false;
      model->target = NULL;
      bl_dispatch (model);
    }
  else if (ok && bl_model_has_state (response, model->spec->name, "loading"))
    tm_after (model->router->context->tm, &model->retry, BL_POLL_US, bl_poll,
              model);
  else
    bl_schedule_load (model);
}

static void
bl_poll (void *arg)
{
  struct bl_model *model = arg;

  bl_send_order (model, model->target, BL_PATH_STATE, bl_poll_done);
}

static void
bl_load_order_done (void *arg, const struct http_response *response)
{
  struct bl_model *model = arg;

  if (response->outcome == HTTP_COMPLETE && response->status == 202)
    {
      bl_poll (model);
      return;
    }
  g_hash_table_add (model->refused_by, model->target);
  bl_try_load (model);
}

static void
bl_try_load (void *arg)
{
  struct bl_model *model = arg;
  struct bl_router *router = model->router;
  GPtrArray *candidates = g_ptr_array_new ();

  for (guint i = 0; i < router->engines->len; i++)
    {
      struct bl_engine *engine = router->engines->pdata[i];

      if (engine->pool == model->spec->pool
          && !g_hash_table_contains (model->refused_by, engine))
        g_ptr_array_add (candidates, engine);
    }
  model->target = bl_least_connections (router, candidates);
  g_ptr_array_free (candidates, TRUE);
  if (model->target != NULL)
    {
      bl_send_order (model, model->target, "/admin/load", bl_load_order_done);
      return;
    }
  bl_evict_model (model);
  g_hash_table_remove_all (model->refused_by);
  bl_schedule_load (model);
}

/* Start to load MODEL on an engine, unless a load is in progress.  */
void
bl_load (struct bl_model *model)
{
  if (model->loading)
    return;
  model->loading = true;
  g_hash_table_remove_all (model->refused_by);
  bl_try_load (model);
}

/* Unload the models that the router ARG has not used for the keep-alive
   time.  */
void
bl_unload_idle (void *arg)
{
  struct bl_router *router = arg;
  struct bl_context *context = router->context;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bl_model *model = value;

      if (bl_is_idle (model)
          && tm_now_us (context->tm)
                 >= model->last_used_us + context->keep_alive_us)
        bl_unload (model);
    }
  tm_after (context->tm, &router->idle_timer, BL_IDLE_CHECK_US, bl_unload_idle,
            router);
}
