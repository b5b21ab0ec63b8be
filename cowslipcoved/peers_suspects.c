#include <string.h>

#include "peers_impl.h"

#define CD_SUSPICIONS_MAX 1024

/* One message to all members of the zone.  */
struct cd_suspects_round
{
  struct cd_peers *peers;
  struct tm_timer nobody;
  uint32_t waits;
  cd_peers_done done;
  void *arg;
};

static void
cd_suspects_over (void *arg)
{
  struct cd_suspects_round *round = arg;

  round->done (round->arg);
  cd_peers_call_free (round->peers, round);
}

static void
cd_suspects_answered (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_suspects_round *round = arg;

  (void)outcome;
  (void)result;
  if (--round->waits == 0)
    cd_suspects_over (round);
}

static void
cd_suspicion_keep (struct cd_peers *peers, const cs_suspect *suspect)
{
  struct cd_suspicion said
      = { suspect->fingerprint, suspect->crashes, suspect->age_ms,
          tm_now_us (peers->daemon->tm) };

  for (guint i = 0; i < peers->suspicions->len; i++)
    if (g_array_index (peers->suspicions, struct cd_suspicion, i).fingerprint
        == said.fingerprint)
      {
        g_array_remove_index (peers->suspicions, i);
        break;
      }
  if (peers->suspicions->len >= CD_SUSPICIONS_MAX)
    g_array_remove_index (peers->suspicions, 0);
  g_array_append_val (peers->suspicions, said);
}

/* Return what this instance has said within WITHIN_US, oldest first; the
   caller frees the list.  */
cs_suspect *
cd_suspects_recent (struct cd_peers *peers, uint64_t within_us, u_int *count)
{
  uint64_t now_us = tm_now_us (peers->daemon->tm);
  cs_suspect *list = g_new0 (cs_suspect, peers->suspicions->len + 1);

  *count = 0;
  for (guint i = 0; i < peers->suspicions->len; i++)
    {
      const struct cd_suspicion *said
          = &g_array_index (peers->suspicions, struct cd_suspicion, i);
      uint64_t since_us = now_us - said->said_us;

      if (since_us > within_us)
        continue;
      list[*count].fingerprint = said->fingerprint;
      list[*count].crashes = said->crashes;
      list[(*count)++].age_ms
          = said->age_ms + (u_int)(since_us / CD_US_PER_MS);
    }
  return list;
}

static void
cd_suspects_send (struct cd_suspects_round *round, cs_suspects *suspects)
{
  struct cd_peers *peers = round->peers;
  const struct mem_member *self = mem_self (peers->table);
  const GPtrArray *members = mem_members (peers->table);

  for (guint i = 0; i < members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (members, i);
      struct rpc_call made = { .address = member->rpc_address,
                               .procedure = COWSLIP_SUSPECT,
                               .encode_args = (xdrproc_t)xdr_cs_suspects,
                               .args = suspects,
                               .decode_result = (xdrproc_t)rpc_xdr_void,
                               .timeout_ms = CD_RPC_TIMEOUT_MS };

      if (member == self || !member->reachable
          || strcmp (member->zone, self->zone) != 0)
        continue;
      round->waits++;
      rpc_send (peers->daemon->rpc, &made, cd_suspects_answered, round);
    }
}

/* Send SUSPECTS to every reachable member of the zone and call DONE with ARG
   once each has answered or failed, never from within this function.  A member
   that failed hears them with the next heartbeats.  */
void
cd_peers_send_suspects (struct cd_daemon *daemon, const cs_suspects *suspects,
                        cd_peers_done done, void *arg)
{
  struct cd_peers *peers = daemon->peers;
  struct cd_suspects_round *round = cd_peers_call_new (peers, sizeof *round);
  cs_suspects copy = *suspects;

  round->peers = peers;
  round->done = done;
  round->arg = arg;
  for (u_int i = 0; i < suspects->suspects.suspects_len; i++)
    cd_suspicion_keep (peers, &suspects->suspects.suspects_val[i]);
  cd_suspects_send (round, &copy);
  if (round->waits == 0)
    tm_after (daemon->tm, &round->nobody, 0, cd_suspects_over, round);
}

static void
cd_suspects_received (void *arg, const struct rpc_origin *origin, void *args,
                      struct rpc_request *request)
{
  const struct cd_peers *peers = arg;

  (void)origin;
  cd_publish (peers->daemon, CD_SUSPECTS, args);
  rpc_send_reply (request, NULL);
}

/* Serve the suspicions of others.  */
void
cd_suspects_register (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_SUSPECT, (xdrproc_t)xdr_cs_suspects, sizeof (cs_suspects),
          (xdrproc_t)rpc_xdr_void, cd_suspects_received };

  cd_peers_register (peers, &procedure);
}
