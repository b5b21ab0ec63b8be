#ifndef COWSLIP_WTQ_H
#define COWSLIP_WTQ_H

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a request that no endpoint can take now waits or is
   refused.  */

struct wtq_input
{
  bool cold;             /* waits for a model or adapter to be loaded */
  bool model_configured; /* the configuration names the model */
  bool stream;           /* the response is an event stream */
  uint32_t target_ms;    /* latency objective */
  uint32_t gap_ms;       /* maximum gap between events; 0: unlimited */
  uint32_t total_ms;     /* between arrival and the caller's deadline */
  uint32_t waited_ms;
  uint32_t paused_ms; /* until an endpoint takes requests again; 0: unknown */
};

enum wtq_action
{
  WTQ_WAIT,
  WTQ_REFUSE
};

enum wtq_action wtq_decide (const struct wtq_input *input);
uint32_t wtq_start_wait_ms (uint64_t remaining_ms, uint64_t age_ms,
                            uint32_t held);

#endif
