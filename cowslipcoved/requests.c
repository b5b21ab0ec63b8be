#include <string.h>

#include "peers.h"
#include "refuse.h"
#include "requests_impl.h"

/* The platform's load balancer takes some seconds to detect a failing
   readiness check; until then a draining instance accepts new requests.  */
#define CD_DRAIN_GRACE_US 5000000ULL
/* Memory of a parsed body up to which it may use all that callers have.  */
#define CD_BODY_SMALL_BYTES (256U << 10)

const struct dsp_actions cd_requests_actions
    = { .launch = cd_request_launch,
        .cancel = cd_request_cancel,
        .send = cd_request_send,
        .response = cd_request_respond,
        .refuse = cd_request_refuse,
        .done = cd_request_done,
        .suspects = cd_requests_send_suspects,
        .probe = cd_requests_send_probe,
        .ejected = cd_requests_ejected,
        .unreachable = cd_requests_unreachable,
        .demand = cd_requests_report_demand };

/* Return the request handling of DAEMON.  */
struct cd_requests *
cd_requests_new (struct cd_daemon *daemon)
{
  struct cd_requests *requests = g_new0 (struct cd_requests, 1);

  requests->daemon = daemon;
  requests->dsp = dsp_new (daemon->tm, daemon->random, daemon->counters,
                           &cd_requests_actions, requests);
  cd_requests_subscribe (requests);
  return requests;
}

/* Free REQUESTS, none of which may be active.  */
void
cd_requests_free (struct cd_requests *requests)
{
  if (requests == NULL)
    return;
  dsp_free (requests->dsp);
  g_free (requests);
}

static void
cd_models_add (struct json_object *list, const char *name, const char *parent)
{
  struct json_object *entry = json_object_new_object ();

  json_object_object_add (entry, "id", json_object_new_string (name));
  json_object_object_add (entry, "object", json_object_new_string ("model"));
  json_object_object_add (entry, "owned_by",
                          json_object_new_string ("cowslipcove"));
  if (parent != NULL)
    json_object_object_add (entry, "parent", json_object_new_string (parent));
  json_object_array_add (list, entry);
}

static void
cd_requests_list_models (struct http_exchange *exchange,
                         const struct env_document *document)
{
  const GPtrArray *models = env_models (document);
  const GPtrArray *adapters = env_adapters (document);
  struct json_object *body = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  const char *text;

  for (guint i = 0; i < models->len; i++)
    cd_models_add (
        list, ((struct env_model *)g_ptr_array_index (models, i))->name, NULL);
  for (guint i = 0; i < adapters->len; i++)
    {
      const struct env_adapter *a = g_ptr_array_index (adapters, i);

      cd_models_add (list, a->name, a->model->name);
    }
  json_object_object_add (body, "object", json_object_new_string ("list"));
  json_object_object_add (body, "data", list);
  text = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  http_respond (exchange, 200, "application/json", text, strlen (text));
  json_object_put (body);
}

/* Return the class named by the caller, or the model's default class; NULL if
   the name is unknown.  */
static const struct env_class *
cd_requests_find_class (const struct http_exchange *exchange,
                        const struct env_document *document,
                        const struct env_model *model)
{
  const char *name = http_header_value (exchange, "x-request-class");

  return name == NULL ? model->default_class : env_class (document, name);
}

/* Submit a request with BODY, for which TAKEN_BYTES of the budget were
   taken.  */
static void
cd_requests_submit (struct cd_requests *requests,
                    struct http_exchange *exchange,
                    struct env_document *document, struct cd_body *body,
                    size_t taken_bytes)
{
  const struct env_adapter *adapter = env_adapter (document, body->model);
  const struct env_model *model
      = adapter != NULL ? adapter->model : env_model (document, body->model);
  const struct env_class *class = model == NULL ? NULL
                                                : cd_requests_find_class (
                                                    exchange, document, model);
  struct cd_request *request;
  struct dsp_spec spec;

  if (class == NULL)
    {
      cd_body_clear (body);
      mbg_give (requests->daemon->budget, taken_bytes);
      if (model == NULL)
        cd_refuse (requests->daemon, exchange, RSN_UNKNOWN_MODEL, true,
                   "the environment has no such model or adapter");
      else
        cd_refuse (requests->daemon, exchange, RSN_UNKNOWN_CLASS, true,
                   "the environment has no such class");
      return;
    }
  spec = (struct dsp_spec){ .model
                            = adapter != NULL ? adapter->name : model->name,
                            .pool = model->pool->name,
                            .class_name = class->name,
                            .priority = class->priority,
                            .deadline_ms = class->deadline_ms,
                            .first_token_ms = class->first_token_ms,
                            .expected_ms = class->expected_ms,
                            .stream = body->stream,
                            .can_resume = model->pool->can_resume,
                            .fingerprint = body->fingerprint,
                            .prefix = body->prefix };
  request = cd_request_new (requests, exchange, body, taken_bytes,
                            env_ref (document));
  request->priority = class->priority;
  request->deadline_ms = class->deadline_ms;
  cd_request_start (request, &spec);
}

static void
cd_requests_handle_post (struct cd_requests *requests,
                         struct http_exchange *exchange,
                         struct env_document *document, bool chat)
{
  struct cd_daemon *daemon = requests->daemon;
  size_t memory_bytes = cd_body_memory_bytes (http_body (exchange),
                                              http_body_bytes (exchange));
  struct cd_body body;
  const char *problem;

  if (requests->drain_us != 0
      && tm_now_us (daemon->tm) - requests->drain_us > CD_DRAIN_GRACE_US)
    {
      cd_refuse (daemon, exchange, RSN_DRAINING, true,
                 "this instance is shutting down");
      return;
    }
  if (memory_bytes > mbg_limit_bytes (daemon->budget, MBG_LARGE))
    {
      cd_refuse (daemon, exchange, RSN_TOO_LARGE, true,
                 "the body has too many values");
      return;
    }
  if (!mbg_take (daemon->budget, memory_bytes,
                 memory_bytes > CD_BODY_SMALL_BYTES ? MBG_LARGE : MBG_CLIENT))
    {
      cd_refuse_memory (daemon, exchange, memory_bytes);
      return;
    }
  problem = cd_body_parse (&body, chat, http_body (exchange),
                           http_body_bytes (exchange));
  if (problem == NULL)
    {
      cd_requests_submit (requests, exchange, document, &body, memory_bytes);
      return;
    }
  mbg_give (daemon->budget, memory_bytes);
  cd_refuse (daemon, exchange, RSN_BAD_REQUEST, true, problem);
}

/* Handle EXCHANGE, whose path begins with /v1/.  */
void
cd_requests_handle (struct cd_daemon *daemon, struct http_exchange *exchange)
{
  struct env_document *document = cd_document (daemon);
  const char *path = http_path (exchange);
  bool post = g_str_equal (http_method (exchange), "POST");

  if (document == NULL)
    cd_refuse (daemon, exchange, RSN_NO_CONFIGURATION, true,
               "no environment document is known yet");
  else if (post && g_str_equal (path, "/v1/completions"))
    cd_requests_handle_post (daemon->requests, exchange, document, false);
  else if (post && g_str_equal (path, "/v1/chat/completions"))
    cd_requests_handle_post (daemon->requests, exchange, document, true);
  else if (!post && g_str_equal (path, "/v1/models"))
    cd_requests_list_models (exchange, document);
  else
    cd_refuse (daemon, exchange, RSN_NOT_FOUND, true, "no such path");
}

/* Return the number of requests that are queued or in progress.  */
uint32_t
cd_requests_active (const struct cd_daemon *daemon)
{
  return daemon->requests == NULL ? 0 : dsp_active (daemon->requests->dsp);
}

/* Stop routing requests for MODEL to ENDPOINT and return the number of those
   in flight there.  */
uint32_t
cd_requests_quiesce (struct cd_daemon *daemon, const char *model,
                     const char *endpoint)
{
  return dsp_quiesce (daemon->requests->dsp, model, endpoint);
}
