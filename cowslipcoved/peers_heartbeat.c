#include <string.h>

#include "control.h"
#include "peers_impl.h"
#include "psn.h"

/* Suspicions are repeated in heartbeats for 10 s.  The first heartbeat to a
   new member carries all that are still valid, which is for 10 minutes.  */
#define CD_SUSPICION_REPEAT_US 10000000
#define CD_SUSPICION_VALID_US  (PSN_EXPIRY_S * 1000000ULL)

struct cd_heartbeat_call
{
  struct cd_peers *peers;
  char instance[RPC_ORIGIN_BYTES]; /* empty: not known */
  char address[RPC_ORIGIN_BYTES];
};

static void
cd_heartbeat_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_heartbeat_call *call = arg;
  struct cd_peers *peers = call->peers;
  const cs_heartbeat_reply *reply = result;

  if (outcome == RPC_OK)
    {
      if (call->instance[0] != '\0')
        {
          mem_receive_reply (peers->table, call->instance, reply->incarnation,
                             reply->generation);
          mem_delta_full_acked (
              cd_loads_sent (peers, call->instance),
              rpc_connection_id (peers->daemon->rpc, call->address));
        }
      cfg_update_peer (peers->cfg, call->address, reply->generation);
    }
  cd_peers_call_free (peers, call);
}

static void
cd_beat_fill (struct cd_peers *peers, cs_beat *beat)
{
  uint64_t control
      = peers->daemon->control != NULL ? cd_control_fence (peers->daemon) : 0;

  beat->number = ++peers->beats;
  beat->generation = peers->generation;
  beat->draining = mem_self (peers->table)->draining;
  beat->fence = MAX (peers->fence, control);
}

/* Send a full heartbeat, which the peer answers.  */
static void
cd_heartbeat_call (struct cd_peers *peers, const char *address,
                   const char *instance, const cs_beat *beat)
{
  struct cd_heartbeat_call *call = cd_peers_call_new (peers, sizeof *call);
  const struct mem_member *self = mem_self (peers->table);
  cs_heartbeat heartbeat = { .sender = { .instance = self->instance,
                                         .zone = self->zone,
                                         .rpc_address = self->rpc_address,
                                         .http_address = self->http_address,
                                         .number = self->number,
                                         .incarnation = self->incarnation },
                             .beat = *beat };
  struct rpc_call remote_call
      = { .address = address,
          .procedure = COWSLIP_HEARTBEAT,
          .encode_args = (xdrproc_t)xdr_cs_heartbeat,
          .args = &heartbeat,
          .decode_result = (xdrproc_t)xdr_cs_heartbeat_reply,
          .result_bytes = sizeof (cs_heartbeat_reply),
          .timeout_ms = CD_RPC_TIMEOUT_MS };

  call->peers = peers;
  g_strlcpy (call->address, address, sizeof call->address);
  if (instance != NULL)
    g_strlcpy (call->instance, instance, sizeof call->instance);
  rpc_send (peers->daemon->rpc, &remote_call, cd_heartbeat_done, call);
}

/* Send the short heartbeat BEAT without a reply: the peer's own heartbeats
   show that it is alive.  */
static void
cd_beat_send (const struct cd_peers *peers, const char *address, cs_beat *beat)
{
  struct rpc_call remote_call = { .address = address,
                                  .procedure = COWSLIP_BEAT,
                                  .encode_args = (xdrproc_t)xdr_cs_beat,
                                  .args = beat,
                                  .timeout_ms = CD_RPC_TIMEOUT_MS };

  rpc_send_one_way (peers->daemon->rpc, &remote_call);
}

static void
cd_heartbeat_send_loads (struct cd_peers *peers, const char *address,
                         const char *instance, cs_beat *beat)
{
  uint64_t now_us = tm_now_us (peers->daemon->tm);
  struct mem_delta *sent_loads = cd_loads_sent (peers, instance);
  GArray *loads = cd_loads_current (peers);
  GArray *sent = loads;
  bool full = mem_delta_needs_full (
      sent_loads, rpc_connection_id (peers->daemon->rpc, address), now_us);

  if (full)
    mem_delta_sent_full (sent_loads, beat->number, loads, now_us);
  else
    sent = mem_delta_encode (sent_loads, beat->number, loads, &beat->previous);
  beat->loads.loads_val = (cs_load *)(void *)sent->data;
  beat->loads.loads_len = sent->len;
  if (full)
    cd_heartbeat_call (peers, address, instance, beat);
  else
    {
      cd_beat_send (peers, address, beat);
      g_array_free (sent, TRUE);
    }
  g_array_free (loads, TRUE);
}

/* Send a heartbeat to a member of this zone.  Only these carry the state of
   engines and suspicions.  */
static void
cd_heartbeat_send_local (struct cd_peers *peers, const char *address,
                         const char *instance, bool initial)
{
  cs_beat beat = { 0 };
  GPtrArray *leaving = mem_leaving_local (peers->leaving);

  cd_beat_fill (peers, &beat);
  beat.leaving.leaving_val = (cs_name *)(void *)leaving->pdata;
  beat.leaving.leaving_len = MIN (leaving->len, COWSLIP_LIST_MAX);
  beat.suspects.suspects_val = cd_suspects_recent (
      peers, initial ? CD_SUSPICION_VALID_US : CD_SUSPICION_REPEAT_US,
      !initial, &beat.suspects.suspects_len);
  cd_heartbeat_send_loads (peers, address, instance, &beat);
  g_free (beat.suspects.suspects_val);
  g_ptr_array_free (leaving, TRUE);
}

static bool
cd_is_local (const struct cd_peers *peers, const char *zone)
{
  return strcmp (zone, peers->daemon->settings->zone) == 0;
}

/* Send a heartbeat to INSTANCE at ADDRESS; NULL if the instance is not known
   yet.  */
void
cd_heartbeat_send (void *arg, const char *address, const char *instance)
{
  struct cd_peers *peers = arg;
  const struct mem_member *member
      = instance != NULL ? mem_find (peers->table, instance) : NULL;
  cs_beat beat = { 0 };

  if (member != NULL && cd_is_local (peers, member->zone))
    {
      cd_heartbeat_send_local (peers, address, instance, false);
      return;
    }
  cd_beat_fill (peers, &beat);
  cd_heartbeat_call (peers, address, instance, &beat);
}

/* Send a new MEMBER a heartbeat with all suspicions that are valid.  */
void
cd_heartbeat_send_initial (struct cd_peers *peers,
                           const struct mem_member *member)
{
  if (cd_is_local (peers, member->zone))
    cd_heartbeat_send_local (peers, member->rpc_address, member->instance,
                             true);
  else
    cd_heartbeat_send (peers, member->rpc_address, member->instance);
}

static void
cd_heartbeat_apply (struct cd_peers *peers, const struct rpc_origin *origin,
                    cs_beat *beat)
{
  cs_suspects suspects;

  peers->fence = MAX (peers->fence, beat->fence);
  cd_beat_apply_loads (peers, origin->instance, origin->incarnation, beat);
  mem_leaving_peer_report (
      peers->leaving, origin->instance,
      (const char *const *)(void *)beat->leaving.leaving_val,
      beat->leaving.leaving_len);
  suspects.suspects.suspects_len = beat->suspects.suspects_len;
  suspects.suspects.suspects_val = beat->suspects.suspects_val;
  if (suspects.suspects.suspects_len == 0)
    return;
  cd_suspects_keep (peers, &suspects);
  cd_publish (peers->daemon, CD_SUSPECTS, &suspects);
}

/* Accept a heartbeat only from the instance that it describes.  */
static bool
cd_heartbeat_is_valid (const struct rpc_origin *origin,
                       const cs_member *sender)
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
  struct mem_member sender_state = { .instance = sender->instance,
                                     .zone = sender->zone,
                                     .rpc_address = sender->rpc_address,
                                     .http_address = sender->http_address,
                                     .number = sender->number,
                                     .incarnation = sender->incarnation,
                                     .generation = heartbeat->beat.generation,
                                     .draining = heartbeat->beat.draining };
  cs_heartbeat_reply reply
      = { mem_self (peers->table)->incarnation, peers->generation };

  if (cd_heartbeat_is_valid (origin, sender)
      && mem_receive_heartbeat (peers->table, &sender_state))
    {
      cfg_update_peer (peers->cfg, sender->rpc_address,
                       heartbeat->beat.generation);
      if (cd_is_local (peers, sender->zone))
        cd_heartbeat_apply (peers, origin, &heartbeat->beat);
    }
  rpc_send_reply (request, &reply);
}

/* Register the RPC procedure for full heartbeats.  */
void
cd_heartbeat_register (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_HEARTBEAT, (xdrproc_t)xdr_cs_heartbeat,
          sizeof (cs_heartbeat), (xdrproc_t)xdr_cs_heartbeat_reply,
          cd_heartbeat_received };

  cd_peers_register (peers, &procedure);
}

static void
cd_beat_received (void *arg, const struct rpc_origin *origin, void *args,
                  struct rpc_request *request)
{
  struct cd_peers *peers = arg;
  cs_beat *beat = args;
  const struct mem_member *member;

  (void)request;
  if (!mem_receive_delta_heartbeat (peers->table, origin->instance,
                                    origin->incarnation, beat->generation,
                                    beat->draining))
    return;
  member = mem_find (peers->table, origin->instance);
  cfg_update_peer (peers->cfg, member->rpc_address, beat->generation);
  if (cd_is_local (peers, member->zone))
    cd_heartbeat_apply (peers, origin, beat);
}

/* Register the RPC procedure for short heartbeats.  */
void
cd_beat_register (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_BEAT, (xdrproc_t)xdr_cs_beat, sizeof (cs_beat), NULL,
          cd_beat_received };

  cd_peers_register (peers, &procedure);
}
