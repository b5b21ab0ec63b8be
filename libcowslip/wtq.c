#include <glib.h>

#include "wtq.h"

/* Endpoints that failed are tried again after 250 ms; a request that could not
   be placed by then is better off at another instance.  */
#define WTQ_ENDPOINT_MS 300
/* Share of the caller's time for which a request waits for a load.  What is
   left must do for the answer itself.  */
#define WTQ_COLD_SHARE 0.5

/* Return whether a request of which FACTS hold waits on.  */
enum wtq_step
wtq_decide (const struct wtq_facts *facts)
{
  uint32_t limit_ms = MIN (WTQ_ENDPOINT_MS, facts->total_ms / 2);

  if (facts->cold && !facts->known_model)
    return WTQ_REFUSE;
  if (facts->cold)
    limit_ms = (uint32_t)(facts->total_ms * WTQ_COLD_SHARE);
  return facts->waited_ms < limit_ms ? WTQ_HOLD : WTQ_REFUSE;
}
