#ifndef COWSLIPCOVED_CLAIMS_H
#define COWSLIPCOVED_CLAIMS_H

/* Submits claims, which keep a call that may not be repeated from running
   twice, to the zone's claim keeper: the instance that writes them in batches
   to the key-value service.  The keeper may be this instance.  */

#include <json-c/json.h>

#include "cowslip.h"
#include "daemon.h"

typedef void (*cd_claim_done) (void *arg, const cs_claim_reply *reply);

struct cd_claims *cd_claims_new (struct cd_daemon *daemon);
void cd_claims_free (struct cd_claims *claims);
void cd_claims_submit (struct cd_daemon *daemon, const cs_claim *claim,
                       cd_claim_done done, void *arg);
/* The number of claims whose completion has not been written yet.  */
uint32_t cd_claims_pending (const struct cd_daemon *daemon);
/* Add the statistics of claims to OUT.  */
void cd_claims_status (const struct cd_daemon *daemon,
                       struct json_object *out);

#endif
