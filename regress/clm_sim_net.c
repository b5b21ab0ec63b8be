#include <stdlib.h>

#include "clm_sim_impl.h"

/* One instance's connection to the key-value service.  */

static struct clms *
clms_inject_store_fault (struct clms_instance *instance)
{
  static const enum fake_kv_fault faults[]
      = { FAKE_KV_REPLY_LOST, FAKE_KV_REPLY_LOST, FAKE_KV_REQUEST_LOST,
          FAKE_KV_EFFECT_DELAYED, FAKE_KV_SLOW };
  struct clms *sim = instance->sim;

  if (tm_now_us (sim->tm) < instance->kv_partition_end_us)
    fake_kv_inject_faults (sim->kv, FAKE_KV_UNAVAILABLE, 1);
  else if (clms_faults_enabled (sim) && clms_chance (sim, 8))
    fake_kv_inject_faults (
        sim->kv, faults[clms_uniform (sim, G_N_ELEMENTS (faults))], 1);
  return sim;
}

static void
clms_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct clms *sim = clms_inject_store_fault (context);

  kv_txn (&sim->kv_store, txn, done, arg);
}

static void
clms_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct clms *sim = clms_inject_store_fault (context);

  sim->kv_store.methods->lease_grant (sim->kv_store.context, ttl_s, done, arg);
}

static void
clms_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct clms *sim = clms_inject_store_fault (context);

  sim->kv_store.methods->lease_renew (sim->kv_store.context, lease, done, arg);
}

/* Messages to the claim keeper.  They are lost, delayed, or reach an instance
   that crashes before it replies.  */

static void
clms_message_end (struct clms_message *message, enum clm_send_outcome sent,
                  const cs_claim_reply *reply)
{
  clm_send_done done = message->done;

  message->done = NULL;
  if (done != NULL)
    done (message->arg, sent, reply);
}

static void
clms_message_timeout (struct clms *sim, void *arg)
{
  (void)sim;
  clms_message_end (arg, CLM_REPLY_LOST, NULL);
}

static void
clms_keeper_reply (void *arg, const cs_claim_reply *reply)
{
  struct clms_message *message = arg;
  struct clms *sim = message->keeper->sim;

  if (!clms_faults_enabled (sim) || !clms_chance (sim, 10))
    clms_message_end (message, CLM_REPLIED, reply);
}

static void
clms_message_deliver (struct clms *sim, void *arg)
{
  struct clms_message *message = arg;

  (void)sim;
  if (message->keeper_incarnation != 0
      && message->keeper->incarnation == message->keeper_incarnation)
    clm_batch_submit_remote (message->keeper->batch, message->claim,
                             clms_keeper_reply, message);
  clm_free (message->claim);
}

static const char *
clms_keeper (void *context)
{
  struct clms_instance *self = context;
  struct clms *sim = self->sim;
  size_t index = (size_t)(self - sim->instances);
  size_t first = index / CLMS_ZONE_INSTANCES * CLMS_ZONE_INSTANCES;

  for (size_t i = first; i < index; i++)
    if (self->known_incarnations[i] != 0)
      return sim->instances[i].name;
  return NULL;
}

static void
clms_send (void *context, const char *keeper, const cs_claim *claim,
           uint64_t timeout_us, clm_send_done done, void *arg)
{
  struct clms_instance *self = context;
  struct clms *sim = self->sim;
  struct clms_message *message = clms_alloc (sim, sizeof *message);
  uint64_t delay_us = 1 * CLMS_MS + clms_uniform (sim, 5 * CLMS_MS);

  message->keeper = &sim->instances[atoi (keeper)];
  message->done = done;
  message->arg = arg;
  if (message->keeper->incarnation == 0 && clms_chance (sim, 50))
    {
      clms_message_end (message, CLM_NOT_SENT, NULL);
      return;
    }
  message->keeper_incarnation = message->keeper->incarnation;
  clms_schedule (sim, timeout_us, clms_message_timeout, message);
  if (clms_faults_enabled (sim) && clms_chance (sim, 15))
    delay_us = clms_uniform (sim, 4 * CLMS_S);
  if (clms_faults_enabled (sim) && clms_chance (sim, 5))
    return;
  message->claim = clm_copy (claim);
  clms_schedule (sim, delay_us, clms_message_deliver, message);
}

const struct kv_methods clms_store = { .txn = clms_txn,
                                       .lease_grant = clms_grant,
                                       .lease_renew = clms_renew };
const struct clm_submit_methods clms_keeper_methods
    = { clms_keeper, clms_send };
