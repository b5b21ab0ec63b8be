#include <glib.h>

#include "drn.h"

/* Time allowed for a stream or a response of a model, which takes 1 to 4 s on
   busy engines.  One that cannot finish before the remaining requests are
   ended is refused at once.  */
#define DRN_GENERATION_MS 5000
/* Time allowed for any other request, which takes up to 0.1 s.  */
#define DRN_REQUEST_MS 1000

/* Return whether a request with INPUT can be answered before the process
   exits.  */
bool
drn_accepts (const struct drn_input *input)
{
  uint32_t longest_ms = input->generates ? DRN_GENERATION_MS : DRN_REQUEST_MS;

  return input->grace_ms
         >= MIN (input->remaining_ms, longest_ms) + input->margin_ms;
}
