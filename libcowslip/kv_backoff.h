#ifndef COWSLIP_KV_BACKOFF_H
#define COWSLIP_KV_BACKOFF_H

#include <stdint.h>

#include <gsl/gsl_rng.h>

/* Randomized delays between attempts to reach the key-value service.  */
struct kv_backoff
{
  uint32_t failures; /* since the last success */
};

uint64_t kv_backoff_next_us (struct kv_backoff *backoff, gsl_rng *random);
void kv_backoff_reset (struct kv_backoff *backoff);

#endif
