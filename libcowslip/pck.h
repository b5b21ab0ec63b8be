#ifndef COWSLIP_PCK_H
#define COWSLIP_PCK_H

#include "flt.h"

/* The choice of the endpoint for one request.  */
struct pck_wish
{
  const char *service;
  const char *model;      /* NULL: a plain service */
  const char *adapter;    /* NULL: none */
  const char *zone;       /* of this instance */
  uint32_t slots;         /* per endpoint, where it does not say */
  uint32_t instances;     /* that send to the same endpoints */
  uint64_t prefix;        /* hash of the shared prompt parts; 0: none */
  const GPtrArray *tried; /* ids (char *) that are taken only if none else */
  bool only_untried;
};

struct flt_endpoint *pck_choose (struct flt_fleet *fleet,
                                 struct tm_service *tm,
                                 const struct pck_wish *wish);

#endif
