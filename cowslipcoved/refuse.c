#include <json-c/json.h>

#include "daemon.h"
#include "lg.h"
#include "refuse.h"

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

/* Count and log a refusal for REASON.  */
void
cd_refusal_record (struct cd_daemon *daemon, enum rsn_refusal reason,
                   bool not_run, const char *message)
{
  ctr_count_refusal (daemon->counters, reason);
  lg_write (LG_REQUEST_REFUSED, "%s%s: %s", rsn_refusal_text (reason),
            not_run ? ", not run" : "", message);
}

/* Refuse the request of EXCHANGE for REASON and end the exchange.  NOT_RUN
   tells the caller that no endpoint has started the request.  */
void
cd_refuse (struct cd_daemon *daemon, struct http_exchange *exchange,
           enum rsn_refusal reason, bool not_run, const char *message)
{
  uint32_t after_s = cd_retry_after_s (reason);
  char *text = cd_refusal_text (reason, not_run, message);
  char seconds[16];

  cd_refusal_record (daemon, reason, not_run, message);
  if (after_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%u", after_s);
      http_add_header (exchange, "retry-after", seconds);
    }
  http_respond (exchange, rsn_refusal_status (reason), "application/json",
                text, strlen (text));
  g_free (text);
}
