#ifndef COWSLIP_CLM_SUBMIT_H
#define COWSLIP_CLM_SUBMIT_H

#include "clm.h"
#include "clm_batch.h"
#include "tm.h"

/* Sends claims to the zone's claim keeper, the instance that batches the
   writes for its zone, and falls back to writing them directly.  */
struct clm_submitter;

/* Result of sending a claim to the keeper.  */
enum clm_send_outcome
{
  CLM_REPLIED,
  CLM_NOT_SENT,  /* the keeper has not received it */
  CLM_REPLY_LOST /* the keeper may have written it */
};

typedef void (*clm_send_done) (void *arg, enum clm_send_outcome sent,
                               const cs_claim_reply *reply);

struct clm_submit_methods
{
  /* Return the address of the claim keeper, or NULL if this instance is the
     keeper or none is known.  */
  const char *(*keeper) (void *context);
  /* Send CLAIM to KEEPER.  Must call DONE once, at most TIMEOUT_US
     microseconds later.  */
  void (*send) (void *context, const char *keeper, const cs_claim *claim,
                uint64_t timeout_us, clm_send_done done, void *arg);
};

struct clm_submit_config
{
  const struct clm_submit_methods *methods;
  void *context;
  struct clm_batch *batch; /* of this instance */
  struct tm_service *tm;
};

struct clm_submitter *
clm_submitter_new (const struct clm_submit_config *config);
void clm_submitter_free (struct clm_submitter *submitter);
void clm_submit (struct clm_submitter *submitter, const cs_claim *claim,
                 clm_done done, void *arg);
uint32_t clm_submitter_unfinished (const struct clm_submitter *submitter);
uint64_t clm_timeout_us (cs_claim_kind kind);

#endif
