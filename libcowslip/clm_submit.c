#include "clm_submit.h"

#define CLM_US_PER_S  (UINT64_C (1000) * 1000)
#define CLM_KEEPER_US CLM_US_PER_S
/* A keeper that did not answer is passed over until its peers had the time to
   notice that it is gone.  */
#define CLM_AVOID_US    (3 * CLM_US_PER_S)
#define CLM_OPEN_US     (3 * CLM_US_PER_S)
#define CLM_LIFETIME_US (24 * 3600 * CLM_US_PER_S)

struct clm_submitter
{
  struct clm_submit_config config;
  GHashTable *pending; /* struct clm_pending, of itself */
  char *avoided;       /* address of a keeper that did not answer */
  uint64_t avoid_until_us;
  uint32_t unfinished;
};

/* One submission.  SENDING tells whether the keeper's answer is awaited.  */
struct clm_pending
{
  struct clm_submitter *submitter; /* NULL: it was freed */
  cs_claim *claim;
  char *keeper;
  clm_done done;
  void *arg;
  bool sending;
  bool in_doubt;
};

/* Return a submitter as CONFIG says.  */
struct clm_submitter *
clm_submitter_new (const struct clm_submit_config *config)
{
  struct clm_submitter *submitter = g_new0 (struct clm_submitter, 1);

  submitter->config = *config;
  submitter->pending = g_hash_table_new (NULL, NULL);
  return submitter;
}

static void
clm_pending_free (struct clm_pending *pending)
{
  clm_free (pending->claim);
  g_free (pending->keeper);
  g_free (pending);
}

/* Free SUBMITTER, after its batcher; what was not answered is never
   answered.  */
void
clm_submitter_free (struct clm_submitter *submitter)
{
  GHashTableIter iter;
  gpointer key;

  if (submitter == NULL)
    return;
  g_hash_table_iter_init (&iter, submitter->pending);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct clm_pending *pending = key;

      pending->submitter = NULL;
      if (!pending->sending)
        clm_pending_free (pending);
    }
  g_hash_table_destroy (submitter->pending);
  g_free (submitter->avoided);
  g_free (submitter);
}

/* Return for how many microseconds a submission of KIND is worth another
   try.  */
uint64_t
clm_limit_us (cs_claim_kind kind)
{
  return kind == CS_CLAIM_OPEN ? CLM_OPEN_US : CLM_LIFETIME_US;
}

static void
clm_submitted (struct clm_pending *pending, const cs_claim_reply *reply)
{
  struct clm_submitter *submitter = pending->submitter;

  if (pending->claim->kind != CS_CLAIM_OPEN)
    submitter->unfinished--;
  g_hash_table_remove (submitter->pending, pending);
  pending->done (pending->arg, reply);
  clm_pending_free (pending);
}

/* The own batcher knows of no write, but the keeper may have made one.  */
static void
clm_self_written (void *arg, const cs_claim_reply *reply)
{
  struct clm_pending *pending = arg;
  cs_claim_reply doubtful = *reply;

  if (reply->outcome == CS_CLAIM_UNAVAILABLE && pending->in_doubt)
    doubtful.outcome = CS_CLAIM_UNKNOWN;
  clm_submitted (pending, &doubtful);
}

/* The claim id is the same as in the keeper's hands, so the batcher recognises
   what the keeper has written already.  */
static void
clm_self_write (struct clm_pending *pending)
{
  clm_batch_submit (pending->submitter->config.batch, pending->claim,
                    clm_limit_us (pending->claim->kind), clm_self_written,
                    pending);
}

static void
clm_avoid (struct clm_submitter *submitter, const char *keeper)
{
  g_free (submitter->avoided);
  submitter->avoided = g_strdup (keeper);
  submitter->avoid_until_us = tm_now_us (submitter->config.tm) + CLM_AVOID_US;
}

static void
clm_keeper_answered (void *arg, enum clm_sent sent,
                     const cs_claim_reply *reply)
{
  struct clm_pending *pending = arg;

  pending->sending = false;
  if (pending->submitter == NULL)
    {
      clm_pending_free (pending);
      return;
    }
  if (sent == CLM_ANSWERED && reply->outcome != CS_CLAIM_UNAVAILABLE
      && reply->outcome != CS_CLAIM_UNKNOWN)
    {
      clm_submitted (pending, reply);
      return;
    }
  pending->in_doubt
      = sent == CLM_LOST
        || (sent == CLM_ANSWERED && reply->outcome == CS_CLAIM_UNKNOWN);
  if (sent != CLM_ANSWERED)
    clm_avoid (pending->submitter, pending->keeper);
  clm_self_write (pending);
}

static const char *
clm_choose_keeper (const struct clm_submitter *submitter)
{
  const struct clm_submit_config *config = &submitter->config;
  const char *keeper = config->methods->keeper (config->context);

  if (keeper != NULL && g_strcmp0 (keeper, submitter->avoided) == 0
      && tm_now_us (config->tm) < submitter->avoid_until_us)
    return NULL;
  return keeper;
}

/* Submit CLAIM and call DONE once with ARG, never from within this function
   unless the keeper's address is unusable.  A completion or release is kept
   and tried again until it has been written or the claim has expired.  */
void
clm_submit (struct clm_submitter *submitter, const cs_claim *claim,
            clm_done done, void *arg)
{
  const struct clm_submit_config *config = &submitter->config;
  struct clm_pending *pending = g_new0 (struct clm_pending, 1);
  const char *keeper = clm_choose_keeper (submitter);

  pending->submitter = submitter;
  pending->claim = clm_copy (claim);
  pending->keeper = g_strdup (keeper);
  pending->done = done;
  pending->arg = arg;
  if (claim->kind != CS_CLAIM_OPEN)
    submitter->unfinished++;
  g_hash_table_add (submitter->pending, pending);
  if (keeper == NULL)
    {
      clm_self_write (pending);
      return;
    }
  pending->sending = true;
  config->methods->send (config->context, pending->keeper, pending->claim,
                         CLM_KEEPER_US, clm_keeper_answered, pending);
}

/* Return how many completions and releases have not been written yet.  */
uint32_t
clm_submitter_unfinished (const struct clm_submitter *submitter)
{
  return submitter->unfinished;
}
