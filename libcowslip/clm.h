#ifndef COWSLIP_CLM_H
#define COWSLIP_CLM_H

/* Claims, which reserve an idempotency key for one call to a plain service so
   that the call does not run twice: their keys and stored form.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "cowslip.h"

/* Status of a completed claim: an HTTP status, CLM_STATUS_UNKNOWN if the call
   was sent and its outcome is unknown, or an HTTP status plus
   CLM_STATUS_BODY_OMITTED if the response was larger than COWSLIP_BODY_MAX and
   its body was not stored.  */
#define CLM_STATUS_UNKNOWN      0U
#define CLM_STATUS_BODY_OMITTED 1000U

/* Length of the parts of a claim's key: hexadecimal digits of the digest of
   the idempotency key, and characters of the service's name.  */
#define CLM_HASH_CHARS 32
#define CLM_NAME_CHARS 64

typedef void (*clm_done) (void *arg, const cs_claim_reply *reply);

cs_claim *clm_copy (const cs_claim *claim);
void clm_free (cs_claim *claim);
char *clm_encode (const cs_claim *claim);
cs_claim *clm_decode (const char *value);
void clm_fill_reply (cs_claim_reply *reply, const cs_claim *stored);

uint64_t clm_new_id (gsl_rng *random, uint64_t incarnation);
char *clm_key (const char *service, const char *idempotency_key);
uint64_t clm_digest (const char *method, const char *path, const char *query,
                     const void *body, size_t bytes);

#endif
