#include <stdlib.h>

#include "clm_sim_impl.h"

/* The key-value service as one instance sees it.  */

static struct sim *
sim_store_fault (struct sim_instance *instance)
{
  static const enum fake_kv_fault faults[]
      = { FAKE_KV_ANSWER_LOST, FAKE_KV_ANSWER_LOST, FAKE_KV_REQUEST_LOST,
          FAKE_KV_LATE, FAKE_KV_SLOW };
  struct sim *sim = instance->sim;

  if (tm_now_us (sim->tm) < instance->kv_cut_until_us)
    fake_kv_fault_next (sim->kv, FAKE_KV_UNAVAILABLE, 1);
  else if (sim_is_faulty (sim) && sim_percent (sim, 8))
    fake_kv_fault_next (sim->kv,
                        faults[sim_uniform (sim, G_N_ELEMENTS (faults))], 1);
  return sim;
}

static void
sim_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  kv_txn (&sim->kv_store, txn, done, arg);
}

static void
sim_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  sim->kv_store.methods->lease_grant (sim->kv_store.context, ttl_s, done, arg);
}

static void
sim_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  sim->kv_store.methods->lease_renew (sim->kv_store.context, lease, done, arg);
}

/* Messages to the claim keeper: lost, late, or answered by an instance that
   dies in between.  */

static void
sim_message_end (struct sim_message *message, enum clm_sent sent,
                 const cs_claim_reply *reply)
{
  clm_sent_done done = message->done;

  message->done = NULL;
  if (done != NULL)
    done (message->arg, sent, reply);
}

static void
sim_message_limit (struct sim *sim, void *arg)
{
  (void)sim;
  sim_message_end (arg, CLM_LOST, NULL);
}

static void
sim_keeper_wrote (void *arg, const cs_claim_reply *reply)
{
  struct sim_message *message = arg;
  struct sim *sim = message->keeper->sim;

  if (!sim_is_faulty (sim) || !sim_percent (sim, 10))
    sim_message_end (message, CLM_ANSWERED, reply);
}

static void
sim_message_arrives (struct sim *sim, void *arg)
{
  struct sim_message *message = arg;

  (void)sim;
  if (message->keeper_incarnation != 0
      && message->keeper->incarnation == message->keeper_incarnation)
    clm_batch_serve (message->keeper->batch, message->claim, sim_keeper_wrote,
                     message);
  clm_free (message->claim);
}

static const char *
sim_keeper (void *context)
{
  struct sim_instance *self = context;
  struct sim *sim = self->sim;
  size_t index = (size_t)(self - sim->instances);
  size_t first = index / SIM_ZONE * SIM_ZONE;

  for (size_t i = first; i < index; i++)
    if (self->seen[i] != 0)
      return sim->instances[i].name;
  return NULL;
}

static void
sim_send (void *context, const char *keeper, const cs_claim *claim,
          uint64_t limit_us, clm_sent_done done, void *arg)
{
  struct sim_instance *self = context;
  struct sim *sim = self->sim;
  struct sim_message *message = sim_new (sim, sizeof *message);
  uint64_t delay_us = 1 * SIM_MS + sim_uniform (sim, 5 * SIM_MS);

  message->keeper = &sim->instances[atoi (keeper)];
  message->done = done;
  message->arg = arg;
  if (message->keeper->incarnation == 0 && sim_percent (sim, 50))
    {
      sim_message_end (message, CLM_NOT_SENT, NULL);
      return;
    }
  message->keeper_incarnation = message->keeper->incarnation;
  sim_later (sim, limit_us, sim_message_limit, message);
  if (sim_is_faulty (sim) && sim_percent (sim, 15))
    delay_us = sim_uniform (sim, 4 * SIM_S);
  if (sim_is_faulty (sim) && sim_percent (sim, 5))
    return;
  message->claim = clm_copy (claim);
  sim_later (sim, delay_us, sim_message_arrives, message);
}

const struct kv_methods sim_store
    = { .txn = sim_txn, .lease_grant = sim_grant, .lease_renew = sim_renew };
const struct clm_submit_methods sim_keeper_methods = { sim_keeper, sim_send };
