#ifndef COWSLIP_WTQ_H
#define COWSLIP_WTQ_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a request that no endpoint can take now waits or is refused.  */

struct wtq_facts
{
  bool cold;          /* it needs a model or adapter that is to be loaded */
  bool known_model;   /* the configuration names the model */
  bool stream;        /* the answer is a stream of events */
  uint32_t target_ms; /* latency objective */
  uint32_t gap_ms;    /* longest pause between events; 0: no bound */
  uint32_t total_ms;  /* the time that the caller gave */
  uint32_t waited_ms;
};

enum wtq_step
{
  WTQ_HOLD,
  WTQ_REFUSE
};

enum wtq_step wtq_decide (const struct wtq_facts *facts);

#endif
