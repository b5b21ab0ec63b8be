#include "kv_backoff.h"

/* The first retry is quick, because most failures are the restart of one
   connection.  Later ones are spread evenly over 10 s, so that the clients of
   a recovering service do not reconnect all at once.  */
#define KV_BACKOFF_FIRST_US 100000
#define KV_BACKOFF_MAX_US   10000000

/* Return the delay before the next attempt after a failure, in
   microseconds.  */
uint64_t
kv_backoff_next_us (struct kv_backoff *backoff, gsl_rng *random)
{
  double limit_us
      = backoff->failures == 0 ? KV_BACKOFF_FIRST_US : KV_BACKOFF_MAX_US;

  backoff->failures++;
  return (uint64_t)(gsl_rng_uniform (random) * limit_us);
}

/* Reset the delay after a success.  */
void
kv_backoff_reset (struct kv_backoff *backoff)
{
  backoff->failures = 0;
}
