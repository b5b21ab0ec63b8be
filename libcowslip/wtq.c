#include <glib.h>

#include "flt.h"
#include "wtq.h"

/* Maximum wait for an endpoint.  Failed endpoints are retried after 250 ms; a
   request that has waited longer is better served by another instance.  */
#define WTQ_ENDPOINT_WAIT_MS 300
/* Share of the request's time limit that it may wait for a load.  The rest is
   needed for the response.  */
#define WTQ_COLD_SHARE 0.5

/* Time in which an instance reads the configuration and the entries of the
   endpoints, also if hundreds do so at once.  */
#define WTQ_START_MS 5000
/* Share of a request's time limit that it may wait for that.  */
#define WTQ_START_SHARE 0.5
/* Requests that may wait at once.  */
#define WTQ_START_HELD_MAX 1000

/* Callers abort a stream after the longest of these without an event: a fixed
   time, a multiple of the latency objective and one of the maximum gap.  */
#define WTQ_EVENT_TIMEOUT_MS      2000
#define WTQ_EVENT_TIMEOUT_TARGETS 4
#define WTQ_EVENT_TIMEOUT_GAPS    8
/* Part of that time that is reserved for the first event.  */
#define WTQ_FIRST_EVENT_MS 300

/* Return how long a stream may wait for a load.  */
static uint32_t
wtq_stream_wait_ms (const struct wtq_input *input)
{
  uint32_t timeout_ms = WTQ_EVENT_TIMEOUT_MS;

  timeout_ms = MAX (timeout_ms, WTQ_EVENT_TIMEOUT_TARGETS * input->target_ms);
  timeout_ms = MAX (timeout_ms, WTQ_EVENT_TIMEOUT_GAPS * input->gap_ms);
  return timeout_ms - WTQ_FIRST_EVENT_MS;
}

/* Return whether a request with INPUT waits or is refused.  */
enum wtq_action
wtq_decide (const struct wtq_input *input)
{
  uint32_t limit_ms = MIN (WTQ_ENDPOINT_WAIT_MS, input->total_ms / 2);

  if (input->cold && !input->model_configured)
    return WTQ_REFUSE;
  if (input->cold)
    limit_ms = (uint32_t)(input->total_ms * WTQ_COLD_SHARE);
  if (input->cold && input->stream)
    limit_ms = MIN (limit_ms, wtq_stream_wait_ms (input));
  if (input->waited_ms >= limit_ms)
    return WTQ_REFUSE;
  /* What an engine with a long pause holds is loaded elsewhere.  */
  if (input->cold && input->paused_ms > FLT_PAUSE_SHORT_MS)
    return WTQ_WAIT;
  return input->paused_ms < limit_ms - input->waited_ms ? WTQ_WAIT
                                                        : WTQ_REFUSE;
}

/* Return how long a request with REMAINING_MS until its deadline may wait, in
   milliseconds, at an instance that started AGE_MS ago, has not read the
   configuration yet and keeps HELD other requests.  0: refuse it.  */
uint32_t
wtq_start_wait_ms (uint64_t remaining_ms, uint64_t age_ms, uint32_t held)
{
  uint64_t limit_ms = (uint64_t)((double)remaining_ms * WTQ_START_SHARE);

  if (age_ms >= WTQ_START_MS || held >= WTQ_START_HELD_MAX)
    return 0;
  return (uint32_t)MIN (limit_ms, WTQ_START_MS - age_ms);
}
