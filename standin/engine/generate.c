#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "engine.h"

#define ENG_TOKENS_DEFAULT 16
#define ENG_TOKENS_MAX     1000000
#define ENG_RESUME_IDS_MAX 20000U

/* Respond to EXCHANGE with STATUS and an error whose field not_started says
   that the engine did not start the request.  */
void
eng_refuse (struct http_exchange *exchange, uint16_t status,
            const char *message)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  stand_add_string (error, "message", message);
  json_object_object_add (error, "not_started", json_object_new_boolean (1));
  json_object_object_add (body, "error", error);
  stand_reply (exchange, status, body);
}

/* Free REQUEST, which must be neither running nor queued.  */
void
eng_request_free (struct eng_request *request)
{
  g_free (request->name);
  g_free (request->name_json);
  g_free (request->prompt);
  g_string_free (request->text, TRUE);
  g_free (request);
}

/* Return whether a request with SEED may resume the request ID.  An id that
   this engine served must belong to the same prompt; an unknown id, which
   another engine may have served, is refused only with --resume-own.  */
bool
eng_resume_allowed (const struct engine *engine, const char *id, uint64_t seed)
{
  const uint64_t *resume_seed = g_hash_table_lookup (engine->resume_seed, id);

  if (resume_seed == NULL)
    return !engine->options->resume_own_only;
  return *resume_seed == seed;
}

/* Store the seed of REQUEST, which identifies its prompt, to validate a later
   resumption.  */
void
eng_resume_record (struct engine *engine, const struct eng_request *request)
{
  char *id;
  uint64_t *seed;

  if (g_hash_table_contains (engine->resume_seed, request->id))
    return;
  id = g_strdup (request->id);
  seed = g_new (uint64_t, 1);
  *seed = request->seed;
  g_hash_table_insert (engine->resume_seed, id, seed);
  g_queue_push_tail (&engine->resume_order, id);
  if (engine->resume_order.length > ENG_RESUME_IDS_MAX)
    g_hash_table_remove (engine->resume_seed,
                         g_queue_pop_head (&engine->resume_order));
}

static char *
eng_json_quote (const char *text)
{
  struct json_object *json = json_object_new_string (text);
  char *quoted = g_strdup (
      json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));

  json_object_put (json);
  return quoted;
}

static void
eng_request_id (struct eng_request *request)
{
  const char *id = http_header_value (request->exchange, "x-request-id");

  if (id != NULL)
    g_strlcpy (request->id, id, sizeof request->id);
  else
    (void)g_snprintf (request->id, sizeof request->id, "%s-%" G_GUINT64_FORMAT,
                      request->engine->incarnation, request->order);
}

static struct eng_request *
eng_request_new (struct engine *engine, struct http_exchange *exchange,
                 struct json_object *body, bool chat)
{
  struct eng_request *request = g_new0 (struct eng_request, 1);
  struct json_object *stream = json_object_object_get (body, "stream");
  int64_t requested = stand_get_int (body, "max_tokens", ENG_TOKENS_DEFAULT);

  request->engine = engine;
  request->exchange = exchange;
  request->order = ++engine->serial;
  request->arrived_us = stand_now_us ();
  request->chat = chat;
  request->stream = stream != NULL && json_object_get_boolean (stream);
  request->max_tokens = (uint32_t)CLAMP (requested, 1, ENG_TOKENS_MAX);
  request->priority = (int32_t)stand_get_int (body, "priority", 0);
  request->name = g_strdup (stand_get_string (body, "model"));
  request->name_json = eng_json_quote (request->name);
  request->prompt = answer_prompt (body);
  if (request->prompt != NULL)
    request->seed = answer_seed (request->name, request->prompt);
  request->first = (uint32_t)stand_get_int (body, "resume_from", 0);
  request->next = request->first;
  request->model = eng_model_find_serving (engine, request->name);
  request->text = g_string_new (NULL);
  eng_request_id (request);
  return request;
}

static const char *
eng_request_validate (const struct eng_request *request,
                      struct json_object *body, uint16_t *status)
{
  const struct engine *engine = request->engine;
  const char *resume_id = stand_get_string (body, "resume_id");

  *status = 400;
  if (request->prompt == NULL)
    return "no prompt";
  if (request->first > request->max_tokens)
    return "resume_from is larger than max_tokens";
  *status = 409;
  if (request->first > 0
      && !eng_resume_allowed (engine, resume_id, request->seed))
    return "resume_id does not belong to this prompt";
  *status = 503;
  if (request->model == NULL)
    return "model not loaded";
  if ((uint32_t)g_sequence_get_length (engine->waiting)
      >= engine->options->waiting_max)
    return "queue full";
  return NULL;
}

static void
eng_count_after_leaving (struct engine *engine)
{
  struct eng_records *records = &engine->records;

  if (records->leaving_us == 0)
    return;
  records->after_leaving++;
  records->last_after_leaving_ms
      = (stand_now_us () - records->leaving_us) / STAND_US_PER_MS;
}

/* Handle a completion request, or a chat request if CHAT.  */
void
eng_generate (struct engine *engine, struct http_exchange *exchange, bool chat)
{
  struct json_object *body;
  struct eng_request *request;
  const char *reason;
  uint16_t status;

  eng_count_after_leaving (engine);
  if (stand_fault_consume (&engine->faults, "refuse"))
    {
      eng_refuse (exchange, 503, "refused by an injected fault");
      return;
    }
  body = stand_parse_body (exchange);
  if (body == NULL)
    {
      eng_refuse (exchange, 400, "not a JSON object");
      return;
    }
  request = eng_request_new (engine, exchange, body, chat);
  reason = eng_request_validate (request, body, &status);
  json_object_put (body);
  if (reason != NULL)
    {
      eng_record_run (request, "refused");
      eng_refuse (exchange, status, reason);
      eng_request_free (request);
      return;
    }
  eng_resume_record (engine, request);
  eng_log_request (request, "accepted");
  eng_enqueue (request);
}
