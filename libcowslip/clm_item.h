#ifndef COWSLIP_CLM_ITEM_H
#define COWSLIP_CLM_ITEM_H

#include "clm.h"
#include "kv.h"

/* One claim, completion or release on its way to the key-value service, and
   the rules by which it is settled.  */
struct clm_item
{
  cs_claim *claim;
  char *key;   /* in the key-value service */
  char *value; /* to be written */
  clm_done done;
  void *arg;
  uint64_t give_up_us;
  uint64_t not_before_us;
  uint32_t failures;
  bool is_foreign;  /* sent by another instance */
  bool in_doubt;    /* a write may have taken effect unseen */
  bool known;       /* FOUND and REVISION are what was read last */
  cs_claim *found;  /* NULL: there is none */
  int64_t revision; /* of FOUND; 0: there is none */
};

struct clm_item *clm_item_new (const char *prefix, const cs_claim *claim,
                               clm_done done, void *arg);
void clm_item_free (struct clm_item *item);
bool clm_item_needs_read (const struct clm_item *item);
void clm_item_found (struct clm_item *item, const struct kv_result *result);
void clm_item_forget (struct clm_item *item);
bool clm_item_settle (const struct clm_item *item, cs_claim_reply *reply);
void clm_item_answer (struct clm_item *item, const cs_claim_reply *reply);
void clm_item_answer_outcome (struct clm_item *item, cs_claim_outcome outcome);

#endif
