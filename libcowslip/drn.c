#include <glib.h>

#include "drn.h"

/* Time allowed for a stream, which takes 1 to 4 s on busy engines.  One that
   cannot finish before the process exits is refused at once.  */
#define DRN_STREAM_MS 5000
/* Time allowed for any other request, which takes up to 0.1 s.  */
#define DRN_REQUEST_MS 1000

/* Return whether a request with INPUT can be answered before the process
   exits.  */
bool
drn_accepts (const struct drn_input *input)
{
  uint32_t duration_ms = input->stream ? DRN_STREAM_MS : DRN_REQUEST_MS;

  if (input->remaining_ms > duration_ms)
    return input->grace_ms >= duration_ms;
  return input->grace_ms >= input->remaining_ms + input->margin_ms;
}
