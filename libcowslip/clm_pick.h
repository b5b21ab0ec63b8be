#ifndef COWSLIP_CLM_PICK_H
#define COWSLIP_CLM_PICK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

/* One endpoint of plain services, as this instance knows it.  */
struct clm_endpoint
{
  char *address; /* "IP:PORT" */
  uint32_t in_flight;
  uint32_t failures;       /* connections refused in a row */
  uint64_t avoid_until_us; /* after a refused connection */
  bool leaving;
};

/* The endpoints of one service, those of the own zone apart.  */
struct clm_choice
{
  GPtrArray *own;   /* struct clm_endpoint */
  GPtrArray *other; /* struct clm_endpoint */
};

struct clm_endpoint *clm_endpoint_new (const char *address);
void clm_endpoint_free (void *endpoint);
void clm_endpoint_connected (struct clm_endpoint *endpoint);
void clm_endpoint_refused (struct clm_endpoint *endpoint, uint64_t now_us);

struct clm_choice *clm_choice_new (void);
void clm_choice_free (void *choice);
struct clm_endpoint *clm_pick (const struct clm_choice *choice,
                               const GPtrArray *tried, uint64_t now_us,
                               gsl_rng *random);

#endif
