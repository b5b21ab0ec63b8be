#ifndef COWSLIP_CLM_SUBMIT_H
#define COWSLIP_CLM_SUBMIT_H

#include "clm.h"
#include "clm_batch.h"
#include "tm.h"

/* Sends claims to the zone's claim keeper and writes them itself when the
   keeper does not answer.  */
struct clm_submitter;

/* How sending a claim to the keeper ended.  */
enum clm_sent
{
  CLM_ANSWERED,
  CLM_NOT_SENT, /* the keeper cannot have seen it */
  CLM_LOST      /* the keeper may have written it */
};

typedef void (*clm_sent_done) (void *arg, enum clm_sent sent,
                               const cs_claim_reply *reply);

struct clm_submit_methods
{
  /* The address of the claim keeper; NULL if this instance is the keeper or
     none is known.  */
  const char *(*keeper) (void *context);
  /* Must call DONE once, LIMIT_US microseconds later at the latest.  */
  void (*send) (void *context, const char *keeper, const cs_claim *claim,
                uint64_t limit_us, clm_sent_done done, void *arg);
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
uint64_t clm_limit_us (cs_claim_kind kind);

#endif
