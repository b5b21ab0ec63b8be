#ifndef COWSLIP_CLM_H
#define COWSLIP_CLM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "cowslip.h"

/* The status of a completed claim is an HTTP status, or 0 if the call was
   sent and its outcome is not known, or an HTTP status plus 1,000 if the
   answer was larger than COWSLIP_BODY_MAX, so that its body was not kept.  */
#define CLM_STATUS_UNKNOWN  0U
#define CLM_STATUS_NOT_KEPT 1000U

/* The bytes of the digest of an idempotency key, in hexadecimal digits, and of
   the service's name that are part of a claim's key.  */
#define CLM_HASH_CHARS 32
#define CLM_NAME_CHARS 64

typedef void (*clm_done) (void *arg, const cs_claim_reply *reply);

cs_claim *clm_copy (const cs_claim *claim);
void clm_free (cs_claim *claim);
char *clm_write (const cs_claim *claim);
cs_claim *clm_parse (const char *value);
void clm_reply_from (cs_claim_reply *reply, const cs_claim *found);

uint64_t clm_new_id (gsl_rng *random, uint64_t incarnation);
char *clm_key (const char *service, const char *idempotency_key);
uint64_t clm_digest (const char *method, const char *path, const char *query,
                     const void *body, size_t bytes);

#endif
