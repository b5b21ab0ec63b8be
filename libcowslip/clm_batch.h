#ifndef COWSLIP_CLM_BATCH_H
#define COWSLIP_CLM_BATCH_H

#include "clm.h"
#include "kv.h"
#include "tm.h"

/* Batches writes of claims, completions and releases into transactions of the
   key-value service.  */
struct clm_batch;

struct clm_batch_config
{
  const struct kv_store *kv;
  struct tm_service *tm;
  gsl_rng *random;
  const char *prefix; /* of the keys in the key-value service */
};

struct clm_batch_stats
{
  uint64_t transactions; /* writes sent */
  uint64_t written;      /* claims, completions and releases in them */
  uint64_t conflicts;    /* transactions with a failed comparison */
  uint64_t unknown;      /* transactions whose reply was lost */
  uint64_t unavailable;  /* calls that failed without effect */
  uint64_t leases;       /* granted */
  uint32_t largest;      /* claims in one transaction */
  uint32_t waiting;      /* items without a reply yet */
};

struct clm_batch *clm_batch_new (const struct clm_batch_config *config);
void clm_batch_free (struct clm_batch *batch);
void clm_batch_submit (struct clm_batch *batch, const cs_claim *claim,
                       uint64_t timeout_us, clm_done done, void *arg);
void clm_batch_submit_remote (struct clm_batch *batch, const cs_claim *claim,
                              clm_done done, void *arg);
struct clm_batch_stats clm_batch_stats (const struct clm_batch *batch);

#endif
