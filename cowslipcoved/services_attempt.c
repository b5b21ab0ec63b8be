#include <string.h>

#include "lg.h"
#include "services_impl.h"

#define CD_US_PER_MS         UINT64_C (1000)
#define CD_TIMEOUT_MARGIN_US (250 * CD_US_PER_MS)

const char *const cd_forwarded_headers[CD_FORWARDED_HEADERS]
    = { "content-type", "accept", "idempotency-key", "x-request-id" };

static void
cd_attempt_release (struct cd_call *call)
{
  call->attempt = NULL;
  call->endpoint->in_flight--;
}

static void
cd_attempt_head (void *arg, uint16_t status, const char *content_type)
{
  struct cd_call *call = arg;

  clm_endpoint_connected (call->endpoint);
  clm_call_head (call->machine, status, content_type);
}

static void
cd_attempt_body (void *arg, const char *data, size_t bytes)
{
  clm_call_body (((struct cd_call *)arg)->machine, data, bytes);
}

static enum clm_attempt_result
cd_attempt_end (enum http_outcome outcome, bool sent)
{
  if (outcome == HTTP_COMPLETE)
    return CLM_ATTEMPT_COMPLETE;
  if (!sent)
    return CLM_ATTEMPT_NOT_SENT;
  return outcome == HTTP_TIMEOUT ? CLM_ATTEMPT_TIMEOUT
                                 : CLM_ATTEMPT_INTERRUPTED;
}

static void
cd_attempt_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct cd_call *call = arg;
  const struct cd_daemon *daemon = call->config.daemon;

  cd_attempt_release (call);
  if (outcome != HTTP_COMPLETE)
    lg_write (LG_ATTEMPT_FAILED, "service %s, endpoint %s: %s", call->service,
              call->endpoint->address, http_outcome_text (outcome));
  if (!sent)
    clm_endpoint_connect_failed (call->endpoint, tm_now_us (daemon->tm));
  clm_call_attempt_ended (call->machine, cd_attempt_end (outcome, sent));
}

static void
cd_attempt_headers (const struct cd_call *call,
                    struct http_header headers[CD_FORWARDED_HEADERS + 1])
{
  size_t count = 0;

  for (size_t i = 0; i < CD_FORWARDED_HEADERS; i++)
    if (call->values[i] != NULL)
      headers[count++]
          = (struct http_header){ cd_forwarded_headers[i], call->values[i] };
  headers[count] = (struct http_header){ NULL, NULL };
}

/* Return the timeout of an attempt.  The call itself enforces its deadline;
   this timeout lets an attempt whose connection is never established end as
   "not sent" before the call stops waiting for it.  */
static uint32_t
cd_attempt_timeout_ms (const struct cd_call *call)
{
  uint64_t now_us = tm_now_us (call->config.daemon->tm);
  uint64_t end_us = call->deadline_us;

  if (!call->config.is_repeatable)
    end_us += CLM_LINGER_US - CD_TIMEOUT_MARGIN_US;
  return end_us > now_us ? (uint32_t)((end_us - now_us) / CD_US_PER_MS) + 1
                         : 1;
}

/* Return whether the call CONTEXT has an endpoint that it has not tried.  The
   endpoint picked here is used by the next attempt.  */
bool
cd_act_has_endpoint (void *context)
{
  struct cd_call *call = context;
  struct cd_daemon *daemon = call->config.daemon;

  if (call->next_endpoint == NULL && call->config.endpoint_set != NULL)
    call->next_endpoint = clm_pick (call->config.endpoint_set, call->tried,
                                    tm_now_us (daemon->tm), daemon->random);
  return call->next_endpoint != NULL;
}

/* Start an attempt of the call CONTEXT; return false if no endpoint is
   left.  */
bool
cd_act_attempt (void *context)
{
  static const struct http_handlers handlers
      = { cd_attempt_head, cd_attempt_body, cd_attempt_done };
  struct cd_call *call = context;
  struct cd_daemon *daemon = call->config.daemon;
  struct http_header headers[CD_FORWARDED_HEADERS + 1];
  struct http_request request
      = { .method = call->method,
          .path = call->target,
          .headers = headers,
          .shared_body = call->body,
          .timeout_ms = cd_attempt_timeout_ms (call),
          .new_connection = !call->config.is_repeatable };

  if (!cd_act_has_endpoint (call))
    return false;
  call->endpoint = call->next_endpoint;
  call->next_endpoint = NULL;
  g_ptr_array_add (call->tried, call->endpoint);
  call->endpoint->in_flight++;
  request.address = call->endpoint->address;
  cd_attempt_headers (call, headers);
  call->attempt = http_start (daemon->client, &request, &handlers, call);
  return true;
}

/* Cancel the attempt of the call CONTEXT, if there is one.  */
void
cd_act_cancel_attempt (void *context)
{
  struct cd_call *call = context;

  if (call->attempt == NULL)
    return;
  http_cancel (call->attempt);
  cd_attempt_release (call);
}

/* Consume one retry for REASON from the budget of the class of the call
   CONTEXT.  Return false if it is exhausted.  */
bool
cd_act_may_retry (void *context, enum rty_reason reason)
{
  struct cd_call *call = context;

  if (!rty_consume (call->config.budgets, call->class_name, reason))
    return false;
  ctr_count_retry (call->config.daemon->counters, reason);
  return true;
}
