#ifndef COWSLIP_CLM_ITEM_H
#define COWSLIP_CLM_ITEM_H

#include "clm.h"
#include "kv.h"

/* A claim, completion or release that is queued for the key-value service, and
   the rules that determine its outcome.  */
struct clm_item
{
  cs_claim *claim;
  char *key;   /* in the key-value service */
  char *value; /* to be written */
  clm_done done;
  void *arg;
  uint64_t deadline_us;
  uint64_t not_before_us;
  uint32_t failures;
  bool is_remote;   /* sent by another instance */
  bool in_doubt;    /* an earlier write may have taken effect */
  bool is_read;     /* STORED and REVISION are valid */
  cs_claim *stored; /* claim in the store; NULL: none */
  int64_t revision; /* of STORED; 0: none */
};

struct clm_item *clm_item_new (const char *prefix, const cs_claim *claim,
                               clm_done done, void *arg);
void clm_item_free (struct clm_item *item);
bool clm_item_needs_read (const struct clm_item *item);
void clm_item_set_stored (struct clm_item *item,
                          const struct kv_result *result);
void clm_item_invalidate (struct clm_item *item);
bool clm_item_settle (const struct clm_item *item, cs_claim_reply *reply);
void clm_item_reply (struct clm_item *item, const cs_claim_reply *reply);
void clm_item_reply_outcome (struct clm_item *item, cs_claim_outcome outcome);

#endif
