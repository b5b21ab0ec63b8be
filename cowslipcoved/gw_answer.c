#include <stdio.h>

#include "gw_impl.h"
#include "lg.h"

/* Share of the time that is left after which a caller should come back: later
   half of it would be lost, sooner nothing has changed.  */
#define GW_RETRY_SHARE 0.25
#define GW_RETRY_MIN_S 0.2
#define GW_MS_PER_S    1000.0

static void
gw_answer_own (struct gw_request *request, enum rsn_refusal reason,
               uint16_t status)
{
  struct gw *gw = request->gw;
  struct h1_exchange *exchange = request->exchange;
  double after_s = MAX (GW_RETRY_MIN_S,
                        gw_left_ms (request) * GW_RETRY_SHARE / GW_MS_PER_S);
  char after[32];
  struct h1_field field = { "Retry-After", after };

  (void)snprintf (after, sizeof after, "%.2f", after_s);
  ctr_refusal (gw->counters, reason);
  if (request->answer_begun)
    {
      gw_request_ended (request, 0, rsn_refusal_text (reason));
      h1_answer_abort (exchange);
      return;
    }
  gw_request_ended (request, status, rsn_refusal_text (reason));
  h1_answer (exchange, status, &field, status == 503 ? 1 : 0, "");
}

/* Tell the caller that REQUEST has not run and will not, because of REASON. */
void
gw_refuse (struct gw_request *request, enum rsn_refusal reason)
{
  gw_drop_call (request);
  gw_answer_own (request, reason, 503);
}

/* Tell the caller that REQUEST failed because of REASON; it may have run.  */
void
gw_fail (struct gw_request *request, enum rsn_refusal reason)
{
  gw_drop_call (request);
  gw_answer_own (request, reason, reason == RSN_DEADLINE ? 504 : 502);
}

/* The time for REQUEST is over.  */
void
gw_give_up (struct gw_request *request)
{
  bool may_have_run
      = request->runs > 0
        || (request->call != NULL && h1_call_sent (request->call)
            && !(request->answer_dropped && request->end == FWD_NOT_RUN));

  if (may_have_run)
    gw_fail (request, RSN_DEADLINE);
  else
    gw_refuse (request,
               request->model == NULL ? RSN_NO_ENDPOINT : RSN_COLD_TOO_LATE);
}
