#include "claims.h"
#include "services_impl.h"

#define CD_US_PER_MS UINT64_C (1000)

static void
cd_act_claim_done (void *arg, const cs_claim_reply *reply)
{
  struct cd_call *call = arg;

  if (reply->outcome == CS_CLAIM_HELD
      && !cd_act_is_owner_alive (call, reply->owner, reply->owner_incarnation))
    cd_owner_read (call, reply);
  else
    clm_call_claimed (call->machine, reply);
}

static void
cd_act_claim (void *context, const cs_claim *claim)
{
  struct cd_call *call = context;

  cd_claims_submit (call->config.daemon, claim, cd_act_claim_done, call);
}

static void
cd_act_settle_done (void *arg, const cs_claim_reply *reply)
{
  struct cd_daemon *daemon = arg;

  if (reply->outcome != CS_CLAIM_GRANTED)
    ctr_add (daemon->counters, "claims_not_settled_total", 1);
}

static void
cd_act_settle (void *context, const cs_claim *claim)
{
  struct cd_call *call = context;

  cd_claims_submit (call->config.daemon, claim, cd_act_settle_done,
                    call->config.daemon);
}

static void
cd_act_finished (void *context)
{
  struct cd_call *call = context;

  call->config.finished (call->config.arg, call);
}

static void
cd_call_init_machine (struct cd_call *call, const cs_claim *claim)
{
  static const struct clm_call_actions actions = {
    .claim = cd_act_claim,
    .settle = cd_act_settle,
    .attempt = cd_act_attempt,
    .has_endpoint = cd_act_has_endpoint,
    .cancel_attempt = cd_act_cancel_attempt,
    .may_retry = cd_act_may_retry,
    .is_owner_alive = cd_act_is_owner_alive,
    .response = cd_act_respond,
    .refuse = cd_act_refuse,
    .stream_start = cd_act_stream_start,
    .stream_data = cd_act_stream_data,
    .stream_end = cd_act_stream_end,
    .finished = cd_act_finished,
  };
  struct clm_call_config config
      = { .actions = &actions,
          .context = call,
          .tm = call->config.daemon->tm,
          .is_repeatable = call->config.is_repeatable,
          .deduplicates = call->config.service->deduplicates,
          .deadline_us = call->deadline_us,
          .claim = claim };

  call->machine = clm_call_new (&config);
}

static void
cd_call_init_claim (struct cd_call *call, const char *key)
{
  const struct cd_daemon *daemon = call->config.daemon;
  char empty[] = "";
  size_t body_bytes = 0;
  const char *body
      = call->body == NULL ? "" : h1_body_data (call->body, &body_bytes);
  char *claim_key = clm_key (call->service, key);
  char *owner = cd_owner_name (daemon->settings);
  cs_claim claim
      = { .kind = CS_CLAIM_OPEN,
          .key = claim_key,
          .claim_id = clm_new_id (daemon->random, daemon->incarnation),
          .request_digest
          = clm_digest (call->method, call->target, "", body, body_bytes),
          .owner = owner,
          .owner_incarnation = daemon->incarnation,
          .content_type = empty };

  cd_call_init_machine (call, &claim);
  g_free (claim_key);
  g_free (owner);
}

/* Return a new call according to CONFIG, for which CD_CALL_BYTES of the budget
   were taken.  It copies what it needs from the exchange, which the caller may
   end at any time.  */
struct cd_call *
cd_call_new (const struct cd_call_config *config)
{
  struct cd_call *call = g_new0 (struct cd_call, 1);
  struct http_exchange *exchange = config->exchange;

  call->config = *config;
  call->exchange = exchange;
  call->service = g_strdup (config->service->name);
  call->class_name = g_strdup (config->klass->name);
  call->method = g_strdup (http_method (exchange));
  call->target = g_strdup (config->target);
  if (http_shared_body (exchange) != NULL)
    call->body = h1_body_ref (http_shared_body (exchange));
  for (size_t i = 0; i < CD_FORWARDED_HEADERS; i++)
    call->values[i]
        = g_strdup (http_header_value (exchange, cd_forwarded_headers[i]));
  call->tried = g_ptr_array_new ();
  call->deadline_us = tm_now_us (config->daemon->tm)
                      + config->klass->deadline_ms * CD_US_PER_MS;
  if (config->is_repeatable)
    cd_call_init_machine (call, NULL);
  else
    cd_call_init_claim (call, config->key);
  call->config.exchange = NULL;
  call->config.service = NULL;
  call->config.klass = NULL;
  call->config.target = NULL;
  call->config.key = NULL;
  return call;
}

/* Start CALL, which may have finished on return.  */
void
cd_call_start (struct cd_call *call)
{
  cd_caller_watch (call);
  clm_call_start (call->machine);
}

/* Free CALL without a response to its caller.  */
void
cd_call_free (void *arg)
{
  struct cd_call *call = arg;

  cd_act_cancel_attempt (call);
  tm_cancel (call->config.daemon->tm, &call->caller_timer);
  if (call->exchange != NULL)
    http_on_disconnect (call->exchange, NULL, NULL);
  clm_call_free (call->machine);
  for (size_t i = 0; i < CD_FORWARDED_HEADERS; i++)
    g_free (call->values[i]);
  g_ptr_array_free (call->tried, TRUE);
  g_free (call->service);
  g_free (call->class_name);
  g_free (call->held_claim.owner);
  g_free (call->method);
  g_free (call->target);
  h1_body_unref (call->body);
  mbg_give (call->config.daemon->budget, CD_CALL_BYTES);
  g_free (call);
}

/* Replace the endpoints of CALL by ENDPOINT_SET; NULL if the service is no
   longer in the document.  */
void
cd_call_set_endpoints (struct cd_call *call,
                       const struct clm_endpoint_set *endpoint_set)
{
  call->config.endpoint_set = endpoint_set;
}

/* Return the name of the service that CALL is for.  */
const char *
cd_call_service (const struct cd_call *call)
{
  return call->service;
}

/* Return whether CALL holds a claim that is not settled.  */
bool
cd_call_holds_claim (const struct cd_call *call)
{
  return clm_call_holds_claim (call->machine);
}
