#include <string.h>

#include <json-c/json.h>

#include "daemon.h"
#include "lg.h"
#include "refuse.h"

#define CD_MS_PER_S 1000
/* Limits on the bytes that a caller leaves unread, the second one while memory
   is short.  */
#define CD_PENDING_MAX_BYTES   (8U << 20)
#define CD_PENDING_SHORT_BYTES (64U << 10)

/* Return the delay after which a retry may succeed, in seconds, or 0 if none
   can.  */
static uint32_t
cd_retry_after_s (enum rsn_refusal reason)
{
  switch (reason)
    {
    case RSN_QUEUE_FULL:
    case RSN_QUEUE_DEADLINE:
    case RSN_RETRY_BUDGET:
    case RSN_DRAINING:
    case RSN_IN_PROGRESS:
    case RSN_CONNECTIONS:
      return 1;
    case RSN_NO_CONFIGURATION:
    case RSN_CLAIM_UNAVAILABLE:
      return 2;
    /* A load takes seconds, and so does a change of the controller.  */
    case RSN_COLD_TOO_LATE:
    case RSN_CONTROL_UNAVAILABLE:
      return 5;
    case RSN_NO_ENDPOINT:
      return 30;
    default:
      return 0;
    }
}

/* Return the error object of a refusal as JSON text, to be freed with
   g_free.  */
char *
cd_refusal_text (enum rsn_refusal reason, bool not_run, const char *message)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *error = json_object_new_object ();
  char *text;

  json_object_object_add (error, "message", json_object_new_string (message));
  json_object_object_add (error, "type", json_object_new_string ("refused"));
  json_object_object_add (error, "reason",
                          json_object_new_string (rsn_refusal_text (reason)));
  json_object_object_add (error, "not_run", json_object_new_boolean (not_run));
  json_object_object_add (body, "error", error);
  text = g_strdup (json_object_to_json_string_ext (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (body);
  return text;
}

/* Count and log the refusal of the request ID for REASON.  */
void
cd_refusal_record (struct cd_daemon *daemon, const char *id,
                   enum rsn_refusal reason, bool not_run, const char *message)
{
  ctr_count_refusal (daemon->counters, reason);
  lg_write (LG_REQUEST_REFUSED, "id=%s %s%s: %s", id,
            rsn_refusal_text (reason), not_run ? ", not run" : "", message);
}

static void
cd_refuse_until (struct cd_daemon *daemon, struct http_exchange *exchange,
                 enum rsn_refusal reason, bool not_run, const char *message,
                 uint32_t after_s)
{
  const char *id = http_header_value (exchange, "x-request-id");
  char *text = cd_refusal_text (reason, not_run, message);
  char seconds[16];

  cd_refusal_record (daemon, id == NULL ? "-" : id, reason, not_run, message);
  if (after_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%u", after_s);
      http_add_header (exchange, "retry-after", seconds);
    }
  http_respond (exchange, rsn_refusal_status (reason), "application/json",
                text, strlen (text));
  g_free (text);
}

/* Refuse the request of EXCHANGE for REASON and end the exchange.  NOT_RUN
   tells the caller that no endpoint has started the request.  */
void
cd_refuse (struct cd_daemon *daemon, struct http_exchange *exchange,
           enum rsn_refusal reason, bool not_run, const char *message)
{
  cd_refuse_until (daemon, exchange, reason, not_run, message,
                   cd_retry_after_s (reason));
}

/* Refuse the request of EXCHANGE, which needs BYTES, because there is no
   memory for it.  It has not run.  */
void
cd_refuse_memory (struct cd_daemon *daemon, struct http_exchange *exchange,
                  size_t bytes)
{
  uint32_t after_ms = mbg_retry_after_ms (daemon->budget, bytes);
  char *message = g_strdup_printf (
      "callers use all memory that they may, %" G_GUINT64_FORMAT " bytes",
      mbg_used_bytes (daemon->budget));

  cd_refuse_until (daemon, exchange, RSN_MEMORY, true, message,
                   (after_ms + CD_MS_PER_S - 1) / CD_MS_PER_S);
  g_free (message);
}

/* Return how many bytes of a response its caller may leave unread.  */
size_t
cd_pending_max_bytes (const struct cd_daemon *daemon)
{
  return mbg_is_short (daemon->budget) ? CD_PENDING_SHORT_BYTES
                                       : CD_PENDING_MAX_BYTES;
}

/* Refuse the request of EXCHANGE, which is not complete, because of
   REJECTION.  */
void
cd_refuse_rejected (void *arg, struct http_exchange *exchange,
                    enum h1_rejection rejection)
{
  struct cd_daemon *daemon = arg;

  switch (rejection)
    {
    case H1_REJECT_HEAD_TOO_LARGE:
      cd_refuse (daemon, exchange, RSN_HEAD_TOO_LARGE, true,
                 "the head of the request is too large");
      return;
    case H1_REJECT_BODY_TOO_LARGE:
      cd_refuse (daemon, exchange, RSN_TOO_LARGE, true,
                 "the body of the request is too large");
      return;
    case H1_REJECT_MEMORY:
      cd_refuse_memory (daemon, exchange, 0);
      return;
    case H1_REJECT_CONNECTIONS:
      cd_refuse (daemon, exchange, RSN_CONNECTIONS, true,
                 "the request stalled and others need its connection");
      return;
    default:
      cd_refuse (daemon, exchange, RSN_BAD_REQUEST, true,
                 "the request is not valid HTTP");
    }
}
