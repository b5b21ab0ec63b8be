#ifndef COWSLIPCOVED_SERVICES_CALL_H
#define COWSLIPCOVED_SERVICES_CALL_H

#include "clm_pick.h"
#include "daemon.h"
#include "rty.h"

/* One call to a plain service: carries out what clm_call decides.  */
struct cd_call;

struct cd_call_config
{
  struct cd_daemon *daemon;
  struct http_exchange *exchange;
  const struct env_service *service;
  const struct env_class *klass;
  const struct clm_endpoint_set *choice; /* until cd_call_set_endpoints */
  struct rty_budgets *budgets;
  const char *target; /* path and query at the service */
  const char *key;    /* NULL: none given */
  bool is_repeatable;
  void (*finished) (void *arg, struct cd_call *call); /* frees it */
  void *arg;
};

struct cd_call *cd_call_new (const struct cd_call_config *config);
void cd_call_start (struct cd_call *call);
void cd_call_free (void *arg);
void cd_call_set_endpoints (struct cd_call *call,
                            const struct clm_endpoint_set *choice);
const char *cd_call_service (const struct cd_call *call);
bool cd_call_holds_claim (const struct cd_call *call);

#endif
