#include "claims.h"
#include "clm_submit.h"
#include "peers.h"

#define CD_US_PER_MS 1000

struct cd_claims
{
  struct cd_daemon *daemon;
  char *prefix;
  struct clm_batch *batch;
  struct clm_submitter *submitter;
};

/* Context of a claim being sent to the claim keeper.  */
struct cd_claim_message
{
  clm_send_done done;
  void *arg;
};

static const char *
cd_claim_keeper (void *context)
{
  const struct cd_claims *claims = context;
  const struct mem_table *members = cd_members (claims->daemon);
  const struct mem_member *keeper;

  if (members == NULL)
    return NULL;
  keeper = mem_lowest (members);
  if (keeper == NULL || keeper == mem_self (members))
    return NULL;
  return keeper->rpc_address;
}

static enum clm_send_outcome
cd_claim_outcome (enum rpc_outcome outcome)
{
  switch (outcome)
    {
    case RPC_OK:
      return CLM_REPLIED;
    case RPC_CONNECT_FAILED:
    case RPC_REFUSED:
      return CLM_NOT_SENT;
    case RPC_CONNECTION_LOST:
    case RPC_TIMEOUT:
      return CLM_REPLY_LOST;
    }
  return CLM_REPLY_LOST;
}

static void
cd_claim_send_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_claim_message *message = arg;

  message->done (message->arg, cd_claim_outcome (outcome), result);
  g_free (message);
}

static void
cd_claim_send (void *context, const char *keeper, const cs_claim *claim,
               uint64_t timeout_us, clm_send_done done, void *arg)
{
  const struct cd_claims *claims = context;
  struct cd_claim_message *message = g_new0 (struct cd_claim_message, 1);
  struct rpc_call call
      = { .address = keeper,
          .procedure = COWSLIP_CLAIM,
          .encode_args = (xdrproc_t)xdr_cs_claim,
          .args = (void *)claim,
          .decode_result = (xdrproc_t)xdr_cs_claim_reply,
          .result_bytes = sizeof (cs_claim_reply),
          .timeout_ms = (uint32_t)(timeout_us / CD_US_PER_MS) };

  message->done = done;
  message->arg = arg;
  rpc_send (claims->daemon->rpc, &call, cd_claim_send_done, message);
}

static void
cd_claim_send_reply (void *arg, const cs_claim_reply *reply)
{
  rpc_send_reply (arg, (void *)reply);
}

static void
cd_claim_serve (void *arg, const struct rpc_origin *origin, void *args,
                struct rpc_request *request)
{
  struct cd_claims *claims = arg;

  (void)origin;
  clm_batch_submit_remote (claims->batch, args, cd_claim_send_reply, request);
}

/* Return the claims of DAEMON and register the RPC procedure for claims from
   other instances of the zone.  */
struct cd_claims *
cd_claims_new (struct cd_daemon *daemon)
{
  static const struct clm_submit_methods methods
      = { cd_claim_keeper, cd_claim_send };
  static const struct rpc_procedure procedure
      = { .number = COWSLIP_CLAIM,
          .decode_args = (xdrproc_t)xdr_cs_claim,
          .args_bytes = sizeof (cs_claim),
          .encode_result = (xdrproc_t)xdr_cs_claim_reply,
          .serve = cd_claim_serve };
  struct cd_claims *claims = g_new0 (struct cd_claims, 1);
  struct clm_batch_config batch
      = { .kv = &daemon->kv, .tm = daemon->tm, .random = daemon->random };
  struct clm_submit_config submit
      = { .methods = &methods, .context = claims, .tm = daemon->tm };

  claims->daemon = daemon;
  claims->prefix
      = g_strdup_printf ("cowslip/%s/claims/", daemon->settings->environment);
  batch.prefix = claims->prefix;
  claims->batch = submit.batch = clm_batch_new (&batch);
  claims->submitter = clm_submitter_new (&submit);
  rpc_register (daemon->rpc, &procedure, claims);
  return claims;
}

/* Free CLAIMS.  Pending submissions are not completed.  */
void
cd_claims_free (struct cd_claims *claims)
{
  if (claims == NULL)
    return;
  clm_batch_free (claims->batch);
  clm_submitter_free (claims->submitter);
  g_free (claims->prefix);
  g_free (claims);
}

/* Submit CLAIM of this instance and call DONE once with ARG.  A completion or
   release is retried until it has been written or the claim has expired.  */
void
cd_claims_submit (struct cd_daemon *daemon, const cs_claim *claim,
                  cd_claim_done done, void *arg)
{
  clm_submit (daemon->claims->submitter, claim, done, arg);
}

/* Return the number of pending writes: the larger of the completions and
   releases of this instance and the writes queued here as claim keeper.  */
uint32_t
cd_claims_pending (const struct cd_daemon *daemon)
{
  const struct cd_claims *claims = daemon->claims;

  return MAX (clm_submitter_unfinished (claims->submitter),
              clm_batch_stats (claims->batch).waiting);
}

static void
cd_add_number (struct json_object *out, const char *name, uint64_t value)
{
  json_object_object_add (out, name, json_object_new_int64 ((int64_t)value));
}

/* Add the number of unfinished completions and the statistics of the batcher
   to OUT.  */
void
cd_claims_status (const struct cd_daemon *daemon, struct json_object *out)
{
  struct clm_batch_stats stats = clm_batch_stats (daemon->claims->batch);
  const char *keeper = cd_claim_keeper (daemon->claims);

  json_object_object_add (
      out, "keeper",
      json_object_new_string (keeper == NULL ? "self" : keeper));
  cd_add_number (out, "unfinished",
                 clm_submitter_unfinished (daemon->claims->submitter));
  cd_add_number (out, "waiting", stats.waiting);
  cd_add_number (out, "transactions", stats.transactions);
  cd_add_number (out, "written", stats.written);
  cd_add_number (out, "largest_batch", stats.largest);
  cd_add_number (out, "conflicts", stats.conflicts);
  cd_add_number (out, "unknown", stats.unknown);
  cd_add_number (out, "unavailable", stats.unavailable);
  cd_add_number (out, "leases", stats.leases);
}
