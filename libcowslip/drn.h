#ifndef COWSLIP_DRN_H
#define COWSLIP_DRN_H

#include <stdbool.h>
#include <stdint.h>

/* Decides which requests an instance accepts while it shuts down.  Requests
   arrive until the load balancer sees the instance as not ready, and after
   that if no other instance is ready.  */

struct drn_input
{
  bool generates;        /* a stream, or a request to a model */
  uint32_t remaining_ms; /* until the caller's deadline */
  uint32_t grace_ms;     /* until SIGKILL */
  uint32_t margin_ms;    /* before it the remaining requests are ended */
};

bool drn_accepts (const struct drn_input *input);

#endif
