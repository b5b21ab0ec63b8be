#include <string.h>

#include "engine.h"

/* An order that the fault pause_orders_ms delays.  */
struct eng_delayed_order
{
  struct engine *engine;
  struct http_exchange *exchange;
  struct json_object *order;
  char *path;
  struct tm_timer timer;
};

static const char *const eng_state_names[]
    = { "loading", "loaded", "unloading" };
static const char *const eng_tier_names[] = { "memory", "disk", "remote" };

static struct json_object *
eng_model_json (const struct eng_model *model)
{
  struct json_object *json = json_object_new_object ();
  uint64_t now_us = stand_now_us ();

  stand_add_string (json, "name", model->name);
  stand_add_string (json, "version", model->version);
  stand_add_int (json, "bytes", (int64_t)model->bytes);
  stand_add_int (json, "adapter_bytes", (int64_t)model->adapter_bytes);
  stand_add_string (json, "state", eng_state_names[model->state]);
  stand_add_string (json, "tier", eng_tier_names[model->tier]);
  if (model->state == ENG_LOADING)
    stand_add_int (
        json, "ready_in_ms",
        model->ready_us <= now_us
            ? 1
            : (int64_t)((model->ready_us - now_us) / STAND_US_PER_MS));
  return json;
}

static struct json_object *
eng_models_json (const struct engine *engine)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_object_array_add (list, eng_model_json (value));
  return list;
}

static struct json_object *
eng_cached_json (const struct engine *engine)
{
  struct json_object *list = json_object_new_array ();

  for (const GList *l = engine->cached.head; l != NULL; l = l->next)
    {
      const struct eng_checkpoint *cached = l->data;
      struct json_object *json = json_object_new_object ();

      stand_add_string (json, "name", cached->name);
      stand_add_string (json, "version", cached->version);
      stand_add_string (json, "tier", eng_tier_names[cached->tier]);
      json_object_array_add (list, json);
    }
  return list;
}

static struct json_object *
eng_adapters_json (const struct engine *engine)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct eng_adapter *adapter = value;
      struct json_object *json = json_object_new_object ();

      stand_add_string (json, "name", adapter->name);
      stand_add_string (json, "model", adapter->model);
      stand_add_string (json, "version", adapter->version);
      stand_add_string (json, "state", adapter->loaded ? "loaded" : "loading");
      json_object_array_add (list, json);
    }
  return list;
}

static void
eng_add_fence (const struct engine *engine, struct json_object *json)
{
  char text[32];

  (void)g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, engine->fence);
  stand_add_string (json, "fence", text);
}

/* Return the response to GET /admin/state.  */
struct json_object *
eng_state_json (const struct engine *engine)
{
  struct json_object *json = json_object_new_object ();

  stand_add_string (json, "incarnation", engine->incarnation);
  stand_add_int (json, "memory_bytes", (int64_t)engine->options->memory_bytes);
  stand_add_int (json, "used_bytes", (int64_t)eng_used_bytes (engine));
  eng_add_fence (engine, json);
  json_object_object_add (json, "leaving",
                          json_object_new_boolean (
                              stand_fault_value (&engine->faults, "leaving")));
  json_object_object_add (json, "models", eng_models_json (engine));
  json_object_object_add (json, "cached", eng_cached_json (engine));
  json_object_object_add (json, "adapters", eng_adapters_json (engine));
  return json;
}

static uint32_t
eng_running_requests (const struct engine *engine, const char *name)
{
  const struct eng_model *model = eng_model (engine, name);

  return model == NULL ? 0 : model->running;
}

static void
eng_record_order (struct engine *engine, const char *path,
                  struct json_object *order, uint16_t status)
{
  struct json_object *entry = json_object_new_object ();
  const char *model = stand_get_string (order, "model");

  stand_add_string (entry, "order", path);
  stand_add_string (entry, "model", model);
  stand_add_string (entry, "adapter", stand_get_string (order, "adapter"));
  stand_add_string (entry, "fence", stand_get_string (order, "fence"));
  stand_add_int (entry, "status", status);
  stand_add_int (entry, "running", eng_running_requests (engine, model));
  eng_record (engine, engine->records.orders, "orders", entry);
}

static void
eng_order_respond_stale (struct engine *engine, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();

  stand_add_string (body, "error", "stale fence");
  eng_add_fence (engine, body);
  stand_reply (exchange, 409, body);
}

/* Record the fencing number of ORDER.  Return false if it is stale and the
   engine checks fencing numbers.  */
static bool
eng_order_check_fence (struct engine *engine, struct json_object *order)
{
  uint64_t fence
      = g_ascii_strtoull (stand_get_string (order, "fence"), NULL, 10);

  if (fence < engine->fence)
    {
      engine->records.stale_orders++;
      return !engine->options->check_fencing;
    }
  engine->fence = fence;
  return true;
}

static void
eng_order_execute (struct engine *engine, struct http_exchange *exchange,
                   const char *path, struct json_object *order)
{
  uint16_t status = 202;

  if (!eng_order_check_fence (engine, order))
    {
      eng_record_order (engine, path, order, 409);
      eng_order_respond_stale (engine, exchange);
      return;
    }
  if (strcmp (path, "/admin/adapters/load") == 0)
    {
      eng_record_order (engine, path, order, 200);
      eng_adapter_load (engine, exchange, order);
      return;
    }
  if (strcmp (path, "/admin/seal") == 0)
    status = 200;
  else if (strcmp (path, "/admin/load") == 0)
    status = eng_model_load (engine, order);
  else if (strcmp (path, "/admin/unload") == 0)
    status = eng_model_unload (engine, stand_get_string (order, "model"));
  else
    status = eng_adapter_unload (engine, stand_get_string (order, "adapter"));
  eng_record_order (engine, path, order, status);
  if (status < 300)
    stand_reply (exchange, status, eng_state_json (engine));
  else
    stand_reply_error (
        exchange, status,
        status == 507   ? "out of memory"
        : status == 409 ? "another version is loaded or the model is unloading"
                        : "invalid order");
}

static void
eng_order_run_delayed (void *arg)
{
  struct eng_delayed_order *delayed = arg;

  eng_order_execute (delayed->engine, delayed->exchange, delayed->path,
                     delayed->order);
  json_object_put (delayed->order);
  g_free (delayed->path);
  g_free (delayed);
}

static void
eng_order_receive (struct engine *engine, struct http_exchange *exchange)
{
  struct json_object *order = stand_parse_body (exchange);
  int64_t pause_ms = stand_fault_value (&engine->faults, "pause_orders_ms");
  struct eng_delayed_order *delayed;

  if (order == NULL || stand_get_string (order, "fence")[0] == '\0')
    {
      json_object_put (order);
      stand_reply_error (exchange, 400, "fencing number missing");
      return;
    }
  if (pause_ms <= 0)
    {
      eng_order_execute (engine, exchange, http_path (exchange), order);
      json_object_put (order);
      return;
    }
  delayed = g_new0 (struct eng_delayed_order, 1);
  delayed->engine = engine;
  delayed->exchange = exchange;
  delayed->order = order;
  delayed->path = g_strdup (http_path (exchange));
  tm_after (engine->host->tm, &delayed->timer,
            (uint64_t)pause_ms * STAND_US_PER_MS, eng_order_run_delayed,
            delayed);
}

/* Execute EXCHANGE if it is an order.  Return whether it is one.  */
bool
eng_order_handle (struct engine *engine, struct http_exchange *exchange)
{
  static const char *const paths[]
      = { "/admin/seal", "/admin/load", "/admin/unload",
          "/admin/adapters/load", "/admin/adapters/unload" };

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    if (stand_request_is (exchange, "POST", paths[i]))
      {
        eng_order_receive (engine, exchange);
        return true;
      }
  return false;
}
