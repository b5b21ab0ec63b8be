#include <string.h>

#include <json-c/json.h>

#include "baseline.h"

#define BL_TICK_US  (100 * BL_US_PER_MS)
#define BL_POLL_US  (50 * BL_US_PER_MS)
#define BL_RETRY_US (200 * BL_US_PER_MS)
#define BL_ORDER_MS 5000
/* Time for an unload and the load that follows it; without a pause, a router
   with many waiting models empties all engines at once.  */
#define BL_UNLOAD_PAUSE_US (300 * BL_US_PER_MS)
#define BL_PATH_STATE      "/admin/state"

static void bl_load_again (void *arg);
static void bl_poll (void *arg);

/* ENGINE does not serve MODEL any more.  */
void
bl_remove_replica (struct bl_model *model, struct bl_engine *engine)
{
  g_ptr_array_remove (model->replicas, engine);
}

/* Every router uses the same fencing number, so that no order is stale.  */
static void
bl_order (struct bl_model *model, const struct bl_engine *engine,
          const char *path, http_response_cb done)
{
  const struct env_model *spec = model->spec;
  struct bl_context *host = model->router->host;
  char *body = g_strdup_printf (
      "{\"model\": \"%s\", \"version\": \"%s\", \"bytes\": %" G_GUINT64_FORMAT
      ", \"adapter_bytes\": %" G_GUINT64_FORMAT ", \"fence\": \"1\"}",
      spec->name, spec->version, spec->bytes, spec->adapter_bytes);
  bool read = strcmp (path, BL_PATH_STATE) == 0;
  const struct http_request request = { .method = read ? "GET" : "POST",
                                        .address = engine->address,
                                        .path = path,
                                        .body = read ? NULL : body,
                                        .body_bytes = read ? 0 : strlen (body),
                                        .timeout_ms = BL_ORDER_MS };

  (void)http_fetch (host->client, &request, done, model);
  g_free (body);
}

static void
bl_unloaded (void *arg, const struct http_response *answer)
{
  (void)arg;
  (void)answer;
}

static void
bl_unload (struct bl_model *model)
{
  for (guint i = 0; i < model->replicas->len; i++)
    bl_order (model, model->replicas->pdata[i], "/admin/unload", bl_unloaded);
  g_ptr_array_set_size (model->replicas, 0);
}

static bool
bl_is_idle (const struct bl_model *model)
{
  return model->replicas->len > 0 && model->running == 0
         && model->waiting.length == 0;
}

/* Unload the model of the pool of MODEL that this router has not used for
   longest, one at a time.  */
static void
bl_free_memory (struct bl_model *model)
{
  struct bl_router *router = model->router;
  uint64_t now_us = tm_now_us (router->host->tm);
  struct bl_model *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  if (now_us < router->next_unload_us)
    return;
  router->next_unload_us = now_us + BL_UNLOAD_PAUSE_US;
  g_hash_table_iter_init (&iter, router->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bl_model *other = value;

      if (bl_is_idle (other) && other->spec->pool == model->spec->pool
          && (oldest == NULL || other->last_used_us < oldest->last_used_us))
        oldest = other;
    }
  if (oldest != NULL)
    bl_unload (oldest);
}

static void
bl_load_later (struct bl_model *model)
{
  model->target = NULL;
  tm_after (model->router->host->tm, &model->retry, BL_RETRY_US, bl_load_again,
            model);
}

/* Return the state that an engine's answer gives for the model NAME, NULL if
   it does not have it.  */
static bool
bl_state_is (const struct http_response *answer, const char *name,
             const char *state)
{
  char *text = g_strndup (answer->body, answer->body_bytes);
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
bl_polled (void *arg, const struct http_response *answer)
{
  struct bl_model *model = arg;
  bool good = answer->outcome == HTTP_COMPLETE && answer->status == 200;

  if (good && bl_state_is (answer, model->spec->name, "loaded"))
    {
      g_ptr_array_add (model->replicas, model->target);
      model->loading = false;
      model->target = NULL;
      bl_dispatch (model);
    }
  else if (good && bl_state_is (answer, model->spec->name, "loading"))
    tm_after (model->router->host->tm, &model->retry, BL_POLL_US, bl_poll,
              model);
  else
    bl_load_later (model);
}

static void
bl_poll (void *arg)
{
  struct bl_model *model = arg;

  bl_order (model, model->target, BL_PATH_STATE, bl_polled);
}

static void
bl_ordered (void *arg, const struct http_response *answer)
{
  struct bl_model *model = arg;

  if (answer->outcome == HTTP_COMPLETE && answer->status == 202)
    {
      bl_poll (model);
      return;
    }
  g_hash_table_add (model->full, model->target);
  bl_load_again (model);
}

static void
bl_load_again (void *arg)
{
  struct bl_model *model = arg;
  struct bl_router *router = model->router;
  GPtrArray *open = g_ptr_array_new ();

  for (guint i = 0; i < router->engines->len; i++)
    {
      struct bl_engine *engine = router->engines->pdata[i];

      if (engine->pool == model->spec->pool
          && !g_hash_table_contains (model->full, engine))
        g_ptr_array_add (open, engine);
    }
  model->target = bl_least_connections (router, open);
  g_ptr_array_free (open, TRUE);
  if (model->target != NULL)
    {
      bl_order (model, model->target, "/admin/load", bl_ordered);
      return;
    }
  bl_free_memory (model);
  g_hash_table_remove_all (model->full);
  bl_load_later (model);
}

/* Load MODEL somewhere, unless that is under way.  */
void
bl_load (struct bl_model *model)
{
  if (model->loading)
    return;
  model->loading = true;
  g_hash_table_remove_all (model->full);
  bl_load_again (model);
}

/* Unload what the router ARG has not used for the keep-alive time.  */
void
bl_unload_idle (void *arg)
{
  struct bl_router *router = arg;
  struct bl_context *host = router->host;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bl_model *model = value;

      if (bl_is_idle (model)
          && tm_now_us (host->tm) >= model->last_used_us + host->keep_alive_us)
        bl_unload (model);
    }
  tm_after (host->tm, &router->tick, BL_TICK_US, bl_unload_idle, router);
}
