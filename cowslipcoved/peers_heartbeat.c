#include <string.h>

#include "control.h"
#include "peers_impl.h"

/* Reports older than this say nothing any more: after five half-lives their
   weight is below a thirtieth.  */
#define CD_LOAD_AGE_MAX_US 10000000
/* Suspicions are repeated for this long; a member that was just met hears all
   that are valid.  */
#define CD_SUSPICION_REPEAT_US 10000000
#define CD_SUSPICION_VALID_US  600000000

struct cd_heartbeat_call
{
  struct cd_peers *peers;
  char instance[RPC_ORIGIN_BYTES]; /* empty: not known */
  char address[RPC_ORIGIN_BYTES];
};

static void
cd_heartbeat_answered (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_heartbeat_call *call = arg;
  struct cd_peers *peers = call->peers;
  const cs_heartbeat_reply *reply = result;

  if (outcome == RPC_OK)
    {
      if (call->instance[0] != '\0')
        mem_answered (peers->table, call->instance, reply->incarnation,
                      reply->generation);
      cfg_seen (peers->cfg, call->address, reply->generation);
    }
  cd_peers_call_free (peers, call);
}

static cs_load *
cd_heartbeat_loads (const struct cd_peers *peers, u_int *count)
{
  uint64_t now_us = tm_now_us (peers->daemon->tm);
  cs_load *loads = g_new0 (cs_load, g_hash_table_size (peers->loads) + 1);
  GHashTableIter iter;
  void *endpoint;
  void *value;

  *count = 0;
  g_hash_table_iter_init (&iter, peers->loads);
  while (g_hash_table_iter_next (&iter, &endpoint, &value)
         && *count < COWSLIP_LIST_MAX)
    {
      const struct cd_load_seen *seen = value;
      uint64_t age_us = now_us - seen->true_us;

      if (age_us > CD_LOAD_AGE_MAX_US)
        continue;
      loads[*count].endpoint = endpoint;
      loads[*count].running = seen->running;
      loads[*count].waiting = seen->waiting;
      loads[(*count)++].age_ms = (u_int)(age_us / CD_US_PER_MS);
    }
  return loads;
}

static void
cd_heartbeat_call (struct cd_peers *peers, const char *address,
                   const char *instance, cs_heartbeat *heartbeat)
{
  struct cd_heartbeat_call *call = cd_peers_call_new (peers, sizeof *call);
  const struct mem_member *self = mem_self (peers->table);
  struct rpc_call made = { .address = address,
                           .procedure = COWSLIP_HEARTBEAT,
                           .encode_args = (xdrproc_t)xdr_cs_heartbeat,
                           .args = heartbeat,
                           .decode_result = (xdrproc_t)xdr_cs_heartbeat_reply,
                           .result_bytes = sizeof (cs_heartbeat_reply),
                           .timeout_ms = CD_RPC_TIMEOUT_MS };

  call->peers = peers;
  g_strlcpy (call->address, address, sizeof call->address);
  if (instance != NULL)
    g_strlcpy (call->instance, instance, sizeof call->instance);
  heartbeat->sender = (cs_member){ .instance = self->instance,
                                   .zone = self->zone,
                                   .rpc_address = self->rpc_address,
                                   .http_address = self->http_address,
                                   .number = self->number,
                                   .incarnation = self->incarnation };
  heartbeat->generation = peers->generation;
  heartbeat->draining = self->draining;
  heartbeat->fence = MAX (peers->fence, peers->daemon->control != NULL
                                            ? cd_control_fence (peers->daemon)
                                            : 0);
  rpc_send (peers->daemon->rpc, &made, cd_heartbeat_answered, call);
}

/* What concerns the engines of this zone goes only to its members.  */
static void
cd_heartbeat_local (struct cd_peers *peers, const char *address,
                    const char *instance, uint64_t suspicions_us)
{
  cs_heartbeat heartbeat = { 0 };
  GPtrArray *leaving = mem_leaving_own (peers->leaving);

  heartbeat.loads.loads_val
      = cd_heartbeat_loads (peers, &heartbeat.loads.loads_len);
  heartbeat.leaving.leaving_val = (cs_name *)(void *)leaving->pdata;
  heartbeat.leaving.leaving_len = MIN (leaving->len, COWSLIP_LIST_MAX);
  heartbeat.suspects.suspects_val = cd_suspects_said (
      peers, suspicions_us, &heartbeat.suspects.suspects_len);
  cd_heartbeat_call (peers, address, instance, &heartbeat);
  g_free (heartbeat.loads.loads_val);
  g_free (heartbeat.suspects.suspects_val);
  g_ptr_array_free (leaving, TRUE);
}

static bool
cd_is_local (const struct cd_peers *peers, const char *zone)
{
  return strcmp (zone, peers->daemon->settings->zone) == 0;
}

/* Send a heartbeat to ADDRESS, where INSTANCE serves; NULL: not known yet.  */
void
cd_heartbeat_send (void *arg, const char *address, const char *instance)
{
  struct cd_peers *peers = arg;
  const struct mem_member *member
      = instance != NULL ? mem_find (peers->table, instance) : NULL;
  cs_heartbeat heartbeat = { 0 };

  if (member != NULL && cd_is_local (peers, member->zone))
    cd_heartbeat_local (peers, address, instance, CD_SUSPICION_REPEAT_US);
  else
    cd_heartbeat_call (peers, address, instance, &heartbeat);
}

/* Send MEMBER, which was just met, everything that is valid.  */
void
cd_heartbeat_greet (struct cd_peers *peers, const struct mem_member *member)
{
  if (cd_is_local (peers, member->zone))
    cd_heartbeat_local (peers, member->rpc_address, member->instance,
                        CD_SUSPICION_VALID_US);
  else
    cd_heartbeat_send (peers, member->rpc_address, member->instance);
}

static void
cd_heartbeat_news (struct cd_peers *peers, cs_heartbeat *heartbeat)
{
  cs_suspects suspects;

  peers->fence = MAX (peers->fence, heartbeat->fence);
  for (u_int i = 0; i < heartbeat->loads.loads_len; i++)
    cd_publish (peers->daemon, CD_LOAD, &heartbeat->loads.loads_val[i]);
  mem_leaving_peer (
      peers->leaving, heartbeat->sender.instance,
      (const char *const *)(void *)heartbeat->leaving.leaving_val,
      heartbeat->leaving.leaving_len);
  suspects.suspects.suspects_len = heartbeat->suspects.suspects_len;
  suspects.suspects.suspects_val = heartbeat->suspects.suspects_val;
  if (suspects.suspects.suspects_len > 0)
    cd_publish (peers->daemon, CD_SUSPECTS, &suspects);
}

/* Only the sender itself may speak for an instance.  */
static bool
cd_heartbeat_valid (const struct rpc_origin *origin, const cs_member *sender)
{
  return strcmp (origin->instance, sender->instance) == 0
         && origin->incarnation == sender->incarnation
         && sender->zone[0] != '\0' && sender->rpc_address[0] != '\0'
         && sender->number >= 1 && sender->number <= UINT16_MAX;
}

static void
cd_heartbeat_received (void *arg, const struct rpc_origin *origin, void *args,
                       struct rpc_request *request)
{
  struct cd_peers *peers = arg;
  cs_heartbeat *heartbeat = args;
  const cs_member *sender = &heartbeat->sender;
  struct mem_member heard = { .instance = sender->instance,
                              .zone = sender->zone,
                              .rpc_address = sender->rpc_address,
                              .http_address = sender->http_address,
                              .number = sender->number,
                              .incarnation = sender->incarnation,
                              .generation = heartbeat->generation,
                              .draining = heartbeat->draining };
  cs_heartbeat_reply reply
      = { mem_self (peers->table)->incarnation, peers->generation };

  if (cd_heartbeat_valid (origin, sender) && mem_heard (peers->table, &heard))
    {
      cfg_seen (peers->cfg, sender->rpc_address, heartbeat->generation);
      if (cd_is_local (peers, sender->zone))
        cd_heartbeat_news (peers, heartbeat);
    }
  rpc_answer (request, &reply);
}

/* Serve the heartbeats of others.  */
void
cd_heartbeats_serve (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_HEARTBEAT, (xdrproc_t)xdr_cs_heartbeat,
          sizeof (cs_heartbeat), (xdrproc_t)xdr_cs_heartbeat_reply,
          cd_heartbeat_received };

  cd_peers_serve (peers, &procedure);
}
