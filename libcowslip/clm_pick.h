#ifndef COWSLIP_CLM_PICK_H
#define COWSLIP_CLM_PICK_H

/* Load balancing of calls to plain services.  */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

/* An endpoint and its load and failures as seen by this instance.  */
struct clm_endpoint
{
  char *address; /* "IP:PORT" */
  uint32_t in_flight;
  uint32_t failures;         /* consecutive failed connections */
  uint64_t backoff_until_us; /* skip it until then if possible */
  bool leaving;
};

/* The endpoints of one service, separated by zone.  */
struct clm_endpoint_set
{
  GPtrArray *local_zone;  /* struct clm_endpoint */
  GPtrArray *other_zones; /* struct clm_endpoint */
};

struct clm_endpoint *clm_endpoint_new (const char *address);
void clm_endpoint_free (void *endpoint);
void clm_endpoint_connected (struct clm_endpoint *endpoint);
void clm_endpoint_connect_failed (struct clm_endpoint *endpoint,
                                  uint64_t now_us);

struct clm_endpoint_set *clm_endpoint_set_new (void);
void clm_endpoint_set_free (void *set);
struct clm_endpoint *clm_pick (const struct clm_endpoint_set *set,
                               const GPtrArray *tried, uint64_t now_us,
                               gsl_rng *random);

#endif
