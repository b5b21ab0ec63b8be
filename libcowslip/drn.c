#include <glib.h>

#include "drn.h"

/* Streams of the sheets take 1 to 4 s when engines are busy.  One that could
   not end before the process does is better refused at once.  */
#define DRN_STREAM_MS 5000
/* Other requests take up to a tenth of a second; a few times that.  */
#define DRN_OTHER_MS 1000

/* Return whether a request of which FACTS hold can be answered before the
   process ends.  */
bool
drn_accepts (const struct drn_facts *facts)
{
  uint32_t needs_ms = facts->stream ? DRN_STREAM_MS : DRN_OTHER_MS;

  return facts->grace_ms >= MIN (needs_ms, facts->left_ms);
}
