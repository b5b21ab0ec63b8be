#ifndef COWSLIPCOVED_SERVICES_CALL_H
#define COWSLIPCOVED_SERVICES_CALL_H

/* Performs one call to a plain service, as directed by the state machine in
   clm_call.  */

#include "clm_pick.h"
#include "daemon.h"
#include "rty.h"

struct cd_call;

struct cd_call_config
{
  struct cd_daemon *daemon;
  struct http_exchange *exchange;
  const struct env_service *service;
  const struct env_class *klass;
  /* Replaced by cd_call_set_endpoints.  */
  const struct clm_endpoint_set *endpoint_set;
  struct rty_budgets *budgets;
  const char *target; /* path and query sent to the service */
  const char *key;    /* NULL: not given */
  bool is_repeatable;
  void (*finished) (void *arg, struct cd_call *call); /* frees it */
  void *arg;
};

struct cd_call *cd_call_new (const struct cd_call_config *config);
void cd_call_start (struct cd_call *call);
void cd_call_free (void *arg);
void cd_call_set_endpoints (struct cd_call *call,
                            const struct clm_endpoint_set *endpoint_set);
const char *cd_call_service (const struct cd_call *call);
bool cd_call_holds_claim (const struct cd_call *call);

#endif
