#ifndef COWSLIP_DRN_H
#define COWSLIP_DRN_H

#include <stdbool.h>
#include <stdint.h>

/* Which requests an instance still takes while it shuts down.  Callers come
   until the balancer has noticed, and later if it has no better instance.  */

struct drn_facts
{
  bool stream;
  uint32_t left_ms;  /* the caller's time */
  uint32_t grace_ms; /* until the process is killed */
};

bool drn_accepts (const struct drn_facts *facts);

#endif
