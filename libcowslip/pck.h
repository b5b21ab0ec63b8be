#ifndef COWSLIP_PCK_H
#define COWSLIP_PCK_H

#include <gsl/gsl_rng.h>

#include "flt.h"

/* Chooses the endpoint for a request from load, zone and prompt prefix.  */

/* What a request needs, and where it was sent before.  */
struct pck_criteria
{
  const char *service;
  const char *model;      /* NULL: a service without models */
  const char *adapter;    /* NULL: none */
  const char *zone;       /* of this instance */
  uint32_t slots;         /* per endpoint whose entry gives none */
  uint32_t instances;     /* number of instances that share the endpoints */
  uint64_t prefix;        /* hash of the shared prompt prefix; 0: none */
  const GPtrArray *tried; /* ids (char *) of endpoints to use only as a last
                             resort; may be NULL */
  bool only_untried;
  gsl_rng *random; /* NULL: the choice does not vary */
};

uint32_t pck_pause_ms (struct flt_fleet *fleet,
                       const struct pck_criteria *criteria);
struct flt_endpoint *pck_choose (struct flt_fleet *fleet,
                                 struct tm_service *tm,
                                 const struct pck_criteria *criteria);

#endif
