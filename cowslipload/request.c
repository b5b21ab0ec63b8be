#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "answer.h"
#include "run.h"

#define LD_US_PER_MS 1000U
#define LD_PERCENT   100.0
/* Time after the deadline at which a request without a response counts as
   lost.  */
#define LD_LOST_GRACE_MS       5000U
#define LD_RESEND_DELAY_MIN_MS 50U
#define LD_RESEND_DELAY_MAX_MS 150U
#define LD_PREFIX_BYTES        256U
#define LD_HEADERS_MAX         4
#define LD_ID_BYTES            48

static void ld_on_head (void *arg, uint16_t status, const char *content_type);
static void ld_on_body (void *arg, const char *data, size_t bytes);
static void ld_on_done (void *arg, enum http_outcome outcome, bool sent);

static bool
ld_chance (struct ld_run *run, double percent)
{
  return percent > 0 && gsl_rng_uniform (run->random) * LD_PERCENT < percent;
}

static char *
ld_make_prompt (struct ld_run *run, const struct ld_mix *mix)
{
  GString *prompt = g_string_new (NULL);

  if (mix->prefixes > 0)
    {
      unsigned long prefix = gsl_rng_uniform_int (run->random, mix->prefixes);

      while (prompt->len < LD_PREFIX_BYTES)
        g_string_append_printf (prompt, "prefix %lu of %s. ", prefix,
                                mix->name);
    }
  g_string_append_printf (prompt, "request %" PRIu64 "-%" PRIu64 " ",
                          run->experiment->seed, run->serial);
  if (mix->marker != NULL && ld_chance (run, mix->marker_percent))
    g_string_append_printf (prompt, "%s ", mix->marker);
  while (prompt->len < mix->prompt_bytes)
    g_string_append_printf (prompt, "%06lx ",
                            gsl_rng_uniform_int (run->random, 0x1000000));
  return g_string_free (prompt, FALSE);
}

static void
ld_add_prompt (struct json_object *body, const struct ld_mix *mix,
               const char *prompt)
{
  struct json_object *messages;
  struct json_object *message;

  if (mix->kind == LD_COMPLETION)
    {
      json_object_object_add (body, "prompt", json_object_new_string (prompt));
      return;
    }
  messages = json_object_new_array ();
  message = json_object_new_object ();
  json_object_object_add (message, "role", json_object_new_string ("user"));
  json_object_object_add (message, "content", json_object_new_string (prompt));
  json_object_array_add (messages, message);
  json_object_object_add (body, "messages", messages);
}

static void
ld_make_model_call (struct ld_request *request)
{
  struct ld_run *run = request->run;
  const struct ld_mix *mix = request->mix;
  struct json_object *body = json_object_new_object ();
  char *prompt = ld_make_prompt (run, mix);
  char *engine_prompt;

  request->tokens = mix->tokens_min
                    + (uint32_t)gsl_rng_uniform_int (
                        run->random, mix->tokens_max - mix->tokens_min + 1);
  if (ld_chance (run, mix->long_percent))
    {
      request->tokens *= mix->long_factor;
      request->is_long = true;
    }
  json_object_object_add (body, "model",
                          json_object_new_string (request->name));
  ld_add_prompt (body, mix, prompt);
  json_object_object_add (body, "max_tokens",
                          json_object_new_int64 (request->tokens));
  json_object_object_add (body, "stream",
                          json_object_new_boolean (mix->stream));
  engine_prompt = answer_prompt (body);
  request->seed = answer_seed (request->name, engine_prompt);
  request->path = g_strdup (mix->kind == LD_CHAT ? "/v1/chat/completions"
                                                 : "/v1/completions");
  request->body = g_strdup (json_object_to_json_string_ext (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (body);
  g_free (engine_prompt);
  g_free (prompt);
}

static struct ld_key *
ld_key_new (struct ld_run *run)
{
  struct ld_key *key = g_new0 (struct ld_key, 1);

  (void)g_snprintf (key->text, sizeof key->text, "%" PRIu64 "-%" PRIu64,
                    run->experiment->seed, run->serial);
  key->sends = 1;
  g_hash_table_insert (run->keys, key->text, key);
  return key;
}

static void
ld_make_service_call (struct ld_request *request)
{
  struct ld_run *run = request->run;
  const struct ld_mix *mix = request->mix;

  request->path = g_strdup_printf ("/svc/%s%s", request->name, mix->path);
  if (strcmp (mix->method, "GET") != 0)
    request->body = g_strdup_printf ("{\"call\": %" PRIu64 "}", run->serial);
  if (mix->key)
    request->key = ld_key_new (run);
}

/* Return a new request of the kind MIX with the arrival time DUE_US.  */
struct ld_request *
ld_request_new (struct ld_run *run, const struct ld_mix *mix, uint64_t due_us)
{
  struct ld_request *request = g_new0 (struct ld_request, 1);

  run->serial++;
  request->run = run;
  request->mix = mix;
  request->due_us = due_us;
  request->name
      = mix->names->pdata[gsl_ran_discrete (run->random, mix->popularity)];
  request->target = ld_targets_select (
      run->targets,
      (guint)gsl_rng_uniform_int (run->random, run->experiment->targets->len));
  for (guint i = 0; i < run->tallies->len; i++)
    if (strcmp (((struct ld_tally *)run->tallies->pdata[i])->name, mix->tally)
        == 0)
      request->tally = run->tallies->pdata[i];
  if (mix->kind == LD_SERVICE)
    ld_make_service_call (request);
  else
    ld_make_model_call (request);
  ld_reply_init (&request->reply);
  return request;
}

/* Return a duplicate of FIRST with the same key and body, for another
   target.  */
struct ld_request *
ld_request_repeat (const struct ld_request *first)
{
  struct ld_request *request = g_new0 (struct ld_request, 1);

  request->run = first->run;
  request->mix = first->mix;
  request->tally = first->tally;
  request->name = first->name;
  request->path = g_strdup (first->path);
  request->body = g_strdup (first->body);
  request->key = first->key;
  request->due_us = first->due_us;
  request->target = ld_targets_select (first->run->targets, first->target + 1);
  if (request->key != NULL)
    request->key->sends++;
  ld_reply_init (&request->reply);
  return request;
}

static double
ld_elapsed_ms (const struct ld_request *request)
{
  return (double)(tm_now_us (request->run->tm) - request->due_us)
         / LD_US_PER_MS;
}

static void
ld_write_trace (const struct ld_request *request)
{
  if (request->run->outputs->trace == NULL)
    return;
  fprintf (request->run->outputs->trace,
           "%" PRIu64 ",%s,%s,%d,%s,%.3f,%.3f,%u\n", request->due_us,
           request->tally->name, request->name, request->is_long,
           request->outcome == NULL ? "lost" : request->outcome,
           request->first_token_ms, ld_elapsed_ms (request),
           request->mix->deadline_ms);
}

static void
ld_request_finish (struct ld_request *request)
{
  struct ld_run *run = request->run;

  ld_write_trace (request);
  ld_reply_clear (&request->reply);
  g_free (request->path);
  g_free (request->body);
  g_free (request);
  run->in_flight--;
  ld_run_stop_if_done (run);
}

static struct ld_second_counts *
ld_request_second (const struct ld_request *request)
{
  return ld_tally_second (request->tally,
                          request->due_us - request->run->start_us);
}

/* Send REQUEST, or count it as lost if its time has expired.  */
void
ld_request_send (struct ld_request *request)
{
  static const struct http_handlers handlers
      = { ld_on_head, ld_on_body, ld_on_done };
  struct ld_run *run = request->run;
  double remaining_ms
      = request->mix->deadline_ms + LD_LOST_GRACE_MS - ld_elapsed_ms (request);
  struct http_header headers[LD_HEADERS_MAX] = { 0 };
  size_t count = 0;
  struct http_request call
      = { .method
          = request->mix->kind == LD_SERVICE ? request->mix->method : "POST",
          .address = run->experiment->targets->pdata[request->target],
          .path = request->path,
          .headers = headers,
          .body = request->body,
          .body_bytes = request->body == NULL ? 0 : strlen (request->body) };

  if (remaining_ms < 1)
    {
      request->tally->lost++;
      ld_request_second (request)->lost++;
      ld_request_finish (request);
      return;
    }
  call.timeout_ms = (uint32_t)remaining_ms;
  headers[count++]
      = (struct http_header){ "content-type", "application/json" };
  if (request->mix->class_name != NULL)
    headers[count++]
        = (struct http_header){ "x-request-class", request->mix->class_name };
  if (request->key != NULL)
    headers[count++]
        = (struct http_header){ "idempotency-key", request->key->text };
  request->attempts++;
  request->tokens_received = 0;
  (void)http_start (run->client, &call, &handlers, request);
}

static void
ld_on_head (void *arg, uint16_t status, const char *content_type)
{
  struct ld_request *request = arg;

  ld_reply_set_head (&request->reply, status, content_type);
}

static void
ld_on_body (void *arg, const char *data, size_t bytes)
{
  struct ld_request *request = arg;
  uint32_t tokens = ld_reply_add_body (&request->reply, data, bytes);
  uint64_t now_us;

  if (tokens == 0)
    return;
  now_us = tm_now_us (request->run->tm);
  if (request->tokens_received == 0)
    request->first_token_ms = ld_elapsed_ms (request);
  else
    ld_tally_add_value (request->tally->between_ms,
                        (double)(now_us - request->last_token_us)
                            / LD_US_PER_MS / tokens);
  request->last_token_us = now_us;
  request->tokens_received += tokens;
}

static void
ld_resend_due (void *arg)
{
  ld_request_send (arg);
}

/* Retry REQUEST on another target if the experiment resends, otherwise count
   it as lost.  A lost connection does not show whether the request ran.  */
static void
ld_on_connection_lost (struct ld_request *request, bool sent)
{
  struct ld_run *run = request->run;
  const GPtrArray *targets = run->experiment->targets;
  uint64_t delay_ms
      = LD_RESEND_DELAY_MIN_MS
        + gsl_rng_uniform_int (run->random, LD_RESEND_DELAY_MAX_MS
                                                - LD_RESEND_DELAY_MIN_MS);

  request->tally->broken++;
  if (run->outputs->broken != NULL)
    fprintf (run->outputs->broken, "%" PRIu64 " %s %s\n", uv_hrtime () / 1000,
             (const char *)targets->pdata[request->target],
             sent ? "sent" : "unsent");
  if (!run->experiment->resend)
    {
      request->tally->lost++;
      ld_request_second (request)->lost++;
      ld_request_finish (request);
      return;
    }
  if (targets->len > 1)
    request->target = ld_targets_select (
        run->targets,
        request->target + 1
            + (guint)gsl_rng_uniform_int (run->random, targets->len - 1));
  request->tally->resent++;
  ld_reply_clear (&request->reply);
  ld_reply_init (&request->reply);
  tm_after (run->tm, &request->resend, delay_ms * LD_US_PER_MS, ld_resend_due,
            request);
}

static void
ld_on_refused (struct ld_request *request)
{
  ld_tally_add_refusal (request->tally, request->reply.reason);
  request->outcome = request->reply.reason;
  ld_request_second (request)->refused++;
  /* A refusal as not run covers only its own attempt; an earlier attempt whose
     connection was lost may have run.  */
  if (request->key != NULL && request->reply.not_run && request->attempts == 1)
    request->key->not_run++;
  if (request->mix->kind != LD_SERVICE && request->reply.not_run
      && request->attempts == 1 && request->run->outputs->not_run != NULL)
    fprintf (request->run->outputs->not_run, "%" PRIu64 "\n", request->seed);
  ld_request_finish (request);
}

static void
ld_on_complete (struct ld_request *request)
{
  struct ld_tally *tally = request->tally;
  const char *verdict = ld_verify (request);
  double total_ms = ld_elapsed_ms (request);

  if (verdict != NULL)
    {
      if (strcmp (verdict, "doubled") == 0)
        tally->doubled++;
      else
        tally->wrong++;
      request->outcome = verdict;
      ld_request_finish (request);
      return;
    }
  tally->complete++;
  request->outcome = "whole";
  ld_tally_add_value (tally->total_ms, total_ms);
  if (request->tokens_received > 0)
    ld_tally_add_value (tally->first_token_ms, request->first_token_ms);
  if (total_ms <= request->mix->deadline_ms)
    {
      tally->in_time++;
      ld_request_second (request)->in_time++;
    }
  ld_request_finish (request);
}

static void
ld_on_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct ld_request *request = arg;

  if (outcome == HTTP_COMPLETE)
    ld_reply_end (&request->reply);
  if (ld_reply_is_refusal (&request->reply))
    ld_on_refused (request);
  else if (outcome == HTTP_TIMEOUT)
    {
      request->tally->lost++;
      ld_request_second (request)->lost++;
      ld_request_finish (request);
    }
  else if (outcome != HTTP_COMPLETE || !request->reply.done)
    ld_on_connection_lost (request, sent);
  else
    ld_on_complete (request);
}
