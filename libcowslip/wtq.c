#include <glib.h>

#include "wtq.h"

/* Endpoints that failed are tried again after 250 ms; a request that could not
   be placed by then is better off at another instance.  */
#define WTQ_ENDPOINT_MS 300
/* Share of the caller's time for which a request waits for a load.  What is
   left must do for the answer itself.  */
#define WTQ_COLD_SHARE 0.5

/* Callers of streams leave after the longest of these without an event
   (PROTOCOL): a fixed time, and multiples of the objective and the pause.  */
#define WTQ_PATIENCE_MS      2000
#define WTQ_PATIENCE_TARGETS 4
#define WTQ_PATIENCE_GAPS    8
/* Of that, what the first event of the answer needs.  */
#define WTQ_FIRST_EVENT_MS 300

static uint32_t
wtq_patience_ms (const struct wtq_facts *facts)
{
  uint32_t patience_ms = WTQ_PATIENCE_MS;

  patience_ms = MAX (patience_ms, WTQ_PATIENCE_TARGETS * facts->target_ms);
  patience_ms = MAX (patience_ms, WTQ_PATIENCE_GAPS * facts->gap_ms);
  return patience_ms - WTQ_FIRST_EVENT_MS;
}

/* Return whether a request of which FACTS hold waits on.  */
enum wtq_step
wtq_decide (const struct wtq_facts *facts)
{
  uint32_t limit_ms = MIN (WTQ_ENDPOINT_MS, facts->total_ms / 2);

  if (facts->cold && !facts->known_model)
    return WTQ_REFUSE;
  if (facts->cold)
    limit_ms = (uint32_t)(facts->total_ms * WTQ_COLD_SHARE);
  if (facts->cold && facts->stream)
    limit_ms = MIN (limit_ms, wtq_patience_ms (facts));
  return facts->waited_ms < limit_ms ? WTQ_HOLD : WTQ_REFUSE;
}
