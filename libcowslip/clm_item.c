#include <string.h>

#include "clm_item.h"

/* Create an item for CLAIM, whose key in the store is prefixed with PREFIX.
   DONE is called once with ARG and the reply.  */
struct clm_item *
clm_item_new (const char *prefix, const cs_claim *claim, clm_done done,
              void *arg)
{
  struct clm_item *item = g_new0 (struct clm_item, 1);

  item->claim = clm_copy (claim);
  item->key = g_strconcat (prefix, claim->key, NULL);
  item->value = clm_encode (claim);
  item->done = done;
  item->arg = arg;
  return item;
}

/* Free ITEM without answering it.  */
void
clm_item_free (struct clm_item *item)
{
  clm_free (item->claim);
  clm_free (item->stored);
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

/* Return whether the stored claim must be read before ITEM is written.  A new
   claim is written without a read, on condition that the key does not
   exist.  */
bool
clm_item_needs_read (const struct clm_item *item)
{
  if (item->is_read)
    return false;
  return item->claim->kind != CS_CLAIM_OPEN || item->in_doubt;
}

/* Discard the stored claim of ITEM, so that it is read again.  */
void
clm_item_invalidate (struct clm_item *item)
{
  clm_free (item->stored);
  item->stored = NULL;
  item->revision = 0;
  item->is_read = false;
}

/* Decode VALUE.  A malformed value counts as an open claim of an unknown
   owner: the call may have run and must not run again.  */
static cs_claim *
clm_item_parse (const char *value)
{
  cs_claim *claim = clm_decode (value);

  return claim != NULL
             ? claim
             : clm_decode ("{\"claim_id\":\"0\",\"owner\":\"\","
                           "\"incarnation\":\"0\",\"request_digest\":"
                           "\"0\",\"state\":\"open\"}");
}

/* Set the stored claim of ITEM from RESULT, which must cover its key.  */
void
clm_item_set_stored (struct clm_item *item, const struct kv_result *result)
{
  clm_item_invalidate (item);
  item->is_read = true;
  for (size_t i = 0; i < result->pair_count; i++)
    if (strcmp (result->pairs[i].key, item->key) == 0)
      {
        item->stored = clm_item_parse (result->pairs[i].value);
        item->revision = result->pairs[i].revision;
        return;
      }
}

static bool
clm_item_is_same_claim (const struct clm_item *item)
{
  return item->stored->claim_id == item->claim->claim_id
         && item->stored->owner_incarnation == item->claim->owner_incarnation;
}

/* Return the outcome of a new claim whose own id is already stored.  A
   released claim is not reopened, because its caller got the response that
   the call did not run.  */
static cs_claim_outcome
clm_item_same_claim_outcome (const struct clm_item *item)
{
  switch (item->stored->kind)
    {
    case CS_CLAIM_OPEN:
      return CS_CLAIM_GRANTED;
    case CS_CLAIM_COMPLETE:
      return CS_CLAIM_DONE;
    default:
      return CS_CLAIM_UNAVAILABLE;
    }
}

/* Handle a stored claim of another call.  A released claim is overwritten, but
   not by a completion, nor by a new claim from another instance, which may be
   a delayed duplicate of an older claim that was released already.  */
static bool
clm_item_settle_other (const struct clm_item *item, cs_claim_reply *reply)
{
  if (item->stored->kind != CS_CLAIM_RELEASE
      || item->claim->kind == CS_CLAIM_COMPLETE)
    return true;
  if (item->claim->kind == CS_CLAIM_RELEASE || !item->is_remote)
    return false;
  reply->outcome = CS_CLAIM_UNAVAILABLE;
  return true;
}

/* Return whether the stored claim determines the outcome of ITEM, and set
   REPLY to it.  Otherwise ITEM must be written on condition that the revision
   is unchanged.  A completion is written even if its claim no longer exists,
   on condition that there is no other, so that a repeated call gets the
   response instead of running again.  A release is written even if there is no
   claim: the write of the claim may still be in flight after a lost reply, and
   then fails because the key exists.  */
bool
clm_item_settle (const struct clm_item *item, cs_claim_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  if (item->stored == NULL)
    return false;
  clm_fill_reply (reply, item->stored);
  if (!clm_item_is_same_claim (item))
    return clm_item_settle_other (item, reply);
  if (item->claim->kind == CS_CLAIM_OPEN)
    {
      reply->outcome = clm_item_same_claim_outcome (item);
      return true;
    }
  if (item->stored->kind == CS_CLAIM_OPEN)
    return false;
  if (item->claim->kind == item->stored->kind)
    reply->outcome = CS_CLAIM_GRANTED;
  return true;
}

/* Pass REPLY to the submitter of ITEM and free ITEM.  */
void
clm_item_reply (struct clm_item *item, const cs_claim_reply *reply)
{
  item->done (item->arg, reply);
  clm_item_free (item);
}

/* Answer ITEM with OUTCOME and no other data.  */
void
clm_item_reply_outcome (struct clm_item *item, cs_claim_outcome outcome)
{
  char none[] = "";
  cs_claim_reply reply
      = { .outcome = outcome, .owner = none, .content_type = none };

  clm_item_reply (item, &reply);
}
