#include "kv_monitor.h"
#include "lg.h"

/* Count a call with RESPONSE and OUTCOME, and log a change between available
   and unavailable.  CALL names the call in the log.  */
void
kv_monitor (struct kv_monitor *note, const char *call,
            const struct http_response *response, enum kv_outcome outcome)
{
  static const char *const names[]
      = { [KV_OK] = "kv_calls_total{outcome=\"ok\"}",
          [KV_CONFLICT] = "kv_calls_total{outcome=\"conflict\"}",
          [KV_UNKNOWN] = "kv_calls_total{outcome=\"unknown\"}",
          [KV_UNAVAILABLE] = "kv_calls_total{outcome=\"unavailable\"}" };
  bool failed = outcome == KV_UNKNOWN || outcome == KV_UNAVAILABLE;

  ctr_add (note->counters, names[outcome], 1);
  if (failed && !note->failing)
    lg_write (LG_KV_UNAVAILABLE, "call=%s http=\"%s\" status=%u", call,
              http_outcome_text (response->outcome), response->status);
  if (!failed && note->failing)
    lg_write (LG_KV_AVAILABLE, "call=%s", call);
  note->failing = failed;
}
