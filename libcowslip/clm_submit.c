#include "clm_submit.h"

#define CLM_US_PER_S          (UINT64_C (1000) * 1000)
#define CLM_KEEPER_TIMEOUT_US CLM_US_PER_S
/* A keeper that did not reply is skipped until the other instances have had
   time to detect its failure.  */
#define CLM_KEEPER_BACKOFF_US (3 * CLM_US_PER_S)
#define CLM_OPEN_TIMEOUT_US   (3 * CLM_US_PER_S)
#define CLM_LIFETIME_US       (24 * 3600 * CLM_US_PER_S)

struct clm_submitter
{
  struct clm_submit_config config;
  GHashTable *pending; /* set of struct clm_pending */
  char *failed_keeper; /* address of a keeper that did not reply */
  uint64_t keeper_backoff_until_us;
  uint32_t unfinished;
};

/* A submission in progress.  SENDING: waiting for the keeper's reply.  */
struct clm_pending
{
  struct clm_submitter *submitter; /* NULL: already freed */
  cs_claim *claim;
  char *keeper;
  clm_done done;
  void *arg;
  bool sending;
  bool in_doubt;
};

/* Create a submitter with the settings in CONFIG.  */
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

/* Free SUBMITTER.  Its batcher must be freed first.  Pending submissions are
   not answered.  */
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
  g_free (submitter->failed_keeper);
  g_free (submitter);
}

/* Return the time in microseconds for which a submission of KIND is
   retried.  */
uint64_t
clm_timeout_us (cs_claim_kind kind)
{
  return kind == CS_CLAIM_OPEN ? CLM_OPEN_TIMEOUT_US : CLM_LIFETIME_US;
}

static void
clm_submission_done (struct clm_pending *pending, const cs_claim_reply *reply)
{
  struct clm_submitter *submitter = pending->submitter;

  if (pending->claim->kind != CS_CLAIM_OPEN)
    submitter->unfinished--;
  g_hash_table_remove (submitter->pending, pending);
  pending->done (pending->arg, reply);
  clm_pending_free (pending);
}

/* An outcome of CS_CLAIM_UNAVAILABLE covers only our own batcher; the keeper
   may have written the claim.  */
static void
clm_local_write_done (void *arg, const cs_claim_reply *reply)
{
  struct clm_pending *pending = arg;
  cs_claim_reply doubtful = *reply;

  if (reply->outcome == CS_CLAIM_UNAVAILABLE && pending->in_doubt)
    doubtful.outcome = CS_CLAIM_UNKNOWN;
  clm_submission_done (pending, &doubtful);
}

/* Write the claim through our own batcher.  The claim id is unchanged, so the
   batcher recognises a write by the keeper.  */
static void
clm_write_locally (struct clm_pending *pending)
{
  clm_batch_submit (pending->submitter->config.batch, pending->claim,
                    clm_timeout_us (pending->claim->kind),
                    clm_local_write_done, pending);
}

static void
clm_mark_keeper_failed (struct clm_submitter *submitter, const char *keeper)
{
  g_free (submitter->failed_keeper);
  submitter->failed_keeper = g_strdup (keeper);
  submitter->keeper_backoff_until_us
      = tm_now_us (submitter->config.tm) + CLM_KEEPER_BACKOFF_US;
}

static void
clm_keeper_done (void *arg, enum clm_send_outcome sent,
                 const cs_claim_reply *reply)
{
  struct clm_pending *pending = arg;

  pending->sending = false;
  if (pending->submitter == NULL)
    {
      clm_pending_free (pending);
      return;
    }
  if (sent == CLM_REPLIED && reply->outcome != CS_CLAIM_UNAVAILABLE
      && reply->outcome != CS_CLAIM_UNKNOWN)
    {
      clm_submission_done (pending, reply);
      return;
    }
  pending->in_doubt
      = sent == CLM_REPLY_LOST
        || (sent == CLM_REPLIED && reply->outcome == CS_CLAIM_UNKNOWN);
  if (sent != CLM_REPLIED)
    clm_mark_keeper_failed (pending->submitter, pending->keeper);
  clm_write_locally (pending);
}

static const char *
clm_choose_keeper (const struct clm_submitter *submitter)
{
  const struct clm_submit_config *config = &submitter->config;
  const char *keeper = config->methods->keeper (config->context);

  if (keeper != NULL && g_strcmp0 (keeper, submitter->failed_keeper) == 0
      && tm_now_us (config->tm) < submitter->keeper_backoff_until_us)
    return NULL;
  return keeper;
}

/* Submit CLAIM and call DONE once with ARG, never from within this function
   unless the keeper's address is invalid.  A completion or release is retried
   until it has been written or the claim has expired.  */
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
      clm_write_locally (pending);
      return;
    }
  pending->sending = true;
  config->methods->send (config->context, pending->keeper, pending->claim,
                         CLM_KEEPER_TIMEOUT_US, clm_keeper_done, pending);
}

/* Return the number of completions and releases that are not written yet.  */
uint32_t
clm_submitter_unfinished (const struct clm_submitter *submitter)
{
  return submitter->unfinished;
}
