#include <string.h>

#include "clm_item.h"

/* Return a new item for CLAIM, whose key is stored after PREFIX.  DONE is
   called once with ARG and the answer.  */
struct clm_item *
clm_item_new (const char *prefix, const cs_claim *claim, clm_done done,
              void *arg)
{
  struct clm_item *item = g_new0 (struct clm_item, 1);

  item->claim = clm_copy (claim);
  item->key = g_strconcat (prefix, claim->key, NULL);
  item->value = clm_write (claim);
  item->done = done;
  item->arg = arg;
  return item;
}

/* Free ITEM without an answer.  */
void
clm_item_free (struct clm_item *item)
{
  clm_free (item->claim);
  clm_free (item->found);
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

/* Return whether the stored claim must be read before ITEM is written.  A new
   claim is not read, because it requires that there is none.  */
bool
clm_item_needs_read (const struct clm_item *item)
{
  if (item->known)
    return false;
  return item->claim->kind != CS_CLAIM_OPEN || item->in_doubt;
}

/* Forget what was read, so that it is read again.  */
void
clm_item_forget (struct clm_item *item)
{
  clm_free (item->found);
  item->found = NULL;
  item->revision = 0;
  item->known = false;
}

/* A value that cannot be read is taken as the open claim of an unknown owner:
   the call may have run, so it must not run again.  */
static cs_claim *
clm_item_parse (const char *value)
{
  cs_claim *claim = clm_parse (value);

  return claim != NULL ? claim
                       : clm_parse ("{\"claim_id\":\"0\",\"owner\":\"\","
                                    "\"incarnation\":\"0\",\"request_digest\":"
                                    "\"0\",\"state\":\"open\"}");
}

/* Take the stored claim of ITEM from RESULT, whose gets included its key.  */
void
clm_item_found (struct clm_item *item, const struct kv_result *result)
{
  clm_item_forget (item);
  item->known = true;
  for (size_t i = 0; i < result->pair_count; i++)
    if (strcmp (result->pairs[i].key, item->key) == 0)
      {
        item->found = clm_item_parse (result->pairs[i].value);
        item->revision = result->pairs[i].revision;
        return;
      }
}

static bool
clm_item_is_own (const struct clm_item *item)
{
  return item->found->claim_id == item->claim->claim_id
         && item->found->owner_incarnation == item->claim->owner_incarnation;
}

/* The outcome of a new claim that found its own claim id.  A released claim is
   not opened again, since its caller was told that the call does not run.  */
static cs_claim_outcome
clm_item_own_outcome (const struct clm_item *item)
{
  switch (item->found->kind)
    {
    case CS_CLAIM_OPEN:
      return CS_CLAIM_GRANTED;
    case CS_CLAIM_COMPLETE:
      return CS_CLAIM_DONE;
    default:
      return CS_CLAIM_UNAVAILABLE;
    }
}

/* The stored claim is that of another call.  A released one is written over,
   but not by a new claim that came from another instance: that may be a late
   copy of a claim that was released before this one.  */
static bool
clm_item_settle_other (const struct clm_item *item, cs_claim_reply *reply)
{
  if (item->found->kind != CS_CLAIM_RELEASE
      || item->claim->kind == CS_CLAIM_COMPLETE)
    return true;
  if (item->claim->kind == CS_CLAIM_RELEASE || !item->is_foreign)
    return false;
  reply->outcome = CS_CLAIM_UNAVAILABLE;
  return true;
}

/* Return whether what was read answers ITEM, and if so with what REPLY.
   Otherwise ITEM is to be written over the revision that was read.  A
   completion whose claim is gone is written all the same, as it requires that
   there is no other; a repeated call then gets the answer instead of a second
   run.  A release is written even if there is no claim, because a write whose
   answer was lost may still be under way and requires that there is none.  */
bool
clm_item_settle (const struct clm_item *item, cs_claim_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  if (item->found == NULL)
    return false;
  clm_reply_from (reply, item->found);
  if (!clm_item_is_own (item))
    return clm_item_settle_other (item, reply);
  if (item->claim->kind == CS_CLAIM_OPEN)
    {
      reply->outcome = clm_item_own_outcome (item);
      return true;
    }
  if (item->found->kind == CS_CLAIM_OPEN)
    return false;
  if (item->claim->kind == item->found->kind)
    reply->outcome = CS_CLAIM_GRANTED;
  return true;
}

/* Give REPLY to the submitter of ITEM and free ITEM.  */
void
clm_item_answer (struct clm_item *item, const cs_claim_reply *reply)
{
  item->done (item->arg, reply);
  clm_item_free (item);
}

/* Answer ITEM with nothing but OUTCOME.  */
void
clm_item_answer_outcome (struct clm_item *item, cs_claim_outcome outcome)
{
  char none[] = "";
  cs_claim_reply reply
      = { .outcome = outcome, .owner = none, .content_type = none };

  clm_item_answer (item, &reply);
}
