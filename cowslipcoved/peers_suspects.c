#include <string.h>

#include "peers_impl.h"

#define CD_SUSPICIONS_MAX 1024

/* One message to all members of the zone.  */
struct cd_suspects_broadcast
{
  struct cd_peers *peers;
  struct tm_timer done_timer;
  uint32_t pending;
  cd_peers_done done;
  void *arg;
};

static void
cd_suspects_broadcast_done (void *arg)
{
  struct cd_suspects_broadcast *broadcast = arg;

  broadcast->done (broadcast->arg);
  cd_peers_call_free (broadcast->peers, broadcast);
}

static void
cd_suspects_send_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_suspects_broadcast *broadcast = arg;

  (void)outcome;
  (void)result;
  if (--broadcast->pending == 0)
    cd_suspects_broadcast_done (broadcast);
}

static struct cd_suspicion *
cd_suspicion_find (struct cd_peers *peers, uint64_t fingerprint)
{
  for (guint i = 0; i < peers->suspicions->len; i++)
    {
      struct cd_suspicion *suspicion
          = &g_array_index (peers->suspicions, struct cd_suspicion, i);

      if (suspicion->fingerprint == fingerprint)
        return suspicion;
    }
  return NULL;
}

static void
cd_suspicion_record (struct cd_peers *peers, const cs_suspect *suspect,
                     bool own)
{
  struct cd_suspicion suspicion
      = { suspect->fingerprint, suspect->crashes, suspect->age_ms,
          tm_now_us (peers->daemon->tm), own };
  struct cd_suspicion *found = cd_suspicion_find (peers, suspect->fingerprint);

  if (found != NULL)
    {
      *found = suspicion;
      return;
    }
  if (peers->suspicions->len >= CD_SUSPICIONS_MAX)
    g_array_remove_index (peers->suspicions, 0);
  g_array_append_val (peers->suspicions, suspicion);
}

/* Return the point in time of the last crash or the clearing that SUSPICION
   stands for.  */
static int64_t
cd_suspicion_time_us (const struct cd_suspicion *suspicion)
{
  return (int64_t)suspicion->recorded_us
         - (int64_t)suspicion->age_ms * CD_US_PER_MS;
}

/* Keep SUSPECTS, which another instance has sent, for members that start: the
   other instance may be gone by then.  */
void
cd_suspects_keep (struct cd_peers *peers, const cs_suspects *suspects)
{
  int64_t now_us = (int64_t)tm_now_us (peers->daemon->tm);

  for (u_int i = 0; i < suspects->suspects.suspects_len; i++)
    {
      const cs_suspect *suspect = &suspects->suspects.suspects_val[i];
      const struct cd_suspicion *known
          = cd_suspicion_find (peers, suspect->fingerprint);
      int64_t time_us = now_us - (int64_t)suspect->age_ms * CD_US_PER_MS;

      if (known == NULL
          || (known->crashes != suspect->crashes
              && time_us >= cd_suspicion_time_us (known)))
        cd_suspicion_record (peers, suspect, false);
    }
}

/* Return the suspicions that were recorded in the last WITHIN_US, only those
   of this instance if OWN is set; the caller frees the list.  */
cs_suspect *
cd_suspects_recent (struct cd_peers *peers, uint64_t within_us, bool own,
                    u_int *count)
{
  uint64_t now_us = tm_now_us (peers->daemon->tm);
  cs_suspect *list = g_new0 (cs_suspect, peers->suspicions->len + 1);

  *count = 0;
  for (guint i = 0; i < peers->suspicions->len; i++)
    {
      const struct cd_suspicion *suspicion
          = &g_array_index (peers->suspicions, struct cd_suspicion, i);
      uint64_t elapsed_us = now_us - suspicion->recorded_us;

      if (elapsed_us > within_us || (own && !suspicion->own))
        continue;
      list[*count].fingerprint = suspicion->fingerprint;
      list[*count].crashes = suspicion->crashes;
      list[(*count)++].age_ms
          = suspicion->age_ms + (u_int)(elapsed_us / CD_US_PER_MS);
    }
  return list;
}

static void
cd_suspects_send (struct cd_suspects_broadcast *broadcast,
                  cs_suspects *suspects)
{
  struct cd_peers *peers = broadcast->peers;
  const struct mem_member *self = mem_self (peers->table);
  const GPtrArray *members = mem_members (peers->table);

  for (guint i = 0; i < members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (members, i);
      struct rpc_call remote_call
          = { .address = member->rpc_address,
              .procedure = COWSLIP_SUSPECT,
              .encode_args = (xdrproc_t)xdr_cs_suspects,
              .args = suspects,
              .decode_result = (xdrproc_t)rpc_xdr_void,
              .timeout_ms = CD_RPC_TIMEOUT_MS };

      if (member == self || !member->reachable
          || strcmp (member->zone, self->zone) != 0)
        continue;
      broadcast->pending++;
      rpc_send (peers->daemon->rpc, &remote_call, cd_suspects_send_done,
                broadcast);
    }
}

/* Send SUSPECTS to every reachable member of the zone and call DONE with ARG
   once each call has succeeded or failed, never from within this function.  A
   member whose call failed receives them with the next heartbeats.  */
void
cd_peers_send_suspects (struct cd_daemon *daemon, const cs_suspects *suspects,
                        cd_peers_done done, void *arg)
{
  struct cd_peers *peers = daemon->peers;
  struct cd_suspects_broadcast *broadcast
      = cd_peers_call_new (peers, sizeof *broadcast);
  cs_suspects copy = *suspects;

  broadcast->peers = peers;
  broadcast->done = done;
  broadcast->arg = arg;
  for (u_int i = 0; i < suspects->suspects.suspects_len; i++)
    cd_suspicion_record (peers, &suspects->suspects.suspects_val[i], true);
  cd_suspects_save (peers->suspects_store, suspects);
  cd_suspects_send (broadcast, &copy);
  if (broadcast->pending == 0)
    tm_after (daemon->tm, &broadcast->done_timer, 0,
              cd_suspects_broadcast_done, broadcast);
}

static void
cd_suspects_received (void *arg, const struct rpc_origin *origin, void *args,
                      struct rpc_request *request)
{
  struct cd_peers *peers = arg;

  (void)origin;
  cd_suspects_keep (peers, args);
  cd_publish (peers->daemon, CD_SUSPECTS, args);
  rpc_send_reply (request, NULL);
}

/* Register the RPC procedure that receives suspicions.  */
void
cd_suspects_register (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_SUSPECT, (xdrproc_t)xdr_cs_suspects, sizeof (cs_suspects),
          (xdrproc_t)rpc_xdr_void, cd_suspects_received };

  cd_peers_register (peers, &procedure);
}
