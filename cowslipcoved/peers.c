#include <string.h>

#include "lg.h"
#include "peers_impl.h"

/* Instances of a zone that watch the key-value service.  */
#define CD_WATCHERS 2

/* Tell the configuration which members watch the key-value service.  */
static void
cd_members_watchers (struct cd_peers *peers)
{
  const GPtrArray *members = mem_members (peers->table);
  const char *addresses[CD_WATCHERS];
  size_t count = 0;

  for (guint i = 0; i < members->len && count < CD_WATCHERS; i++)
    {
      const struct mem_member *member = g_ptr_array_index (members, i);

      if (strcmp (member->zone, peers->daemon->settings->zone) == 0
          && (member->reachable || member == mem_self (peers->table))
          && !member->draining)
        addresses[count++] = member->rpc_address;
    }
  cfg_set_watchers (peers->cfg, addresses, count);
}

static void
cd_members_changed (void *arg)
{
  struct cd_peers *peers = arg;

  cd_loads_prune (peers);
  cfg_set_watching (peers->cfg, mem_among_lowest (peers->table, CD_WATCHERS));
  cd_members_watchers (peers);
  cd_publish (peers->daemon, CD_MEMBERS, peers->table);
}

static void
cd_member_reach (void *arg, const struct mem_member *member)
{
  (void)arg;
  lg_write (member->reachable ? LG_PEER_UP : LG_PEER_DOWN,
            "instance=%s zone=%s address=%s", member->instance, member->zone,
            member->rpc_address);
}

static void
cd_member_greet (void *arg, const struct mem_member *member)
{
  cd_heartbeat_send_initial (arg, member);
}

static void
cd_records_read (void *arg, const char *zone, const GPtrArray *records)
{
  const struct cd_peers *peers = arg;

  mem_recorded (peers->table, zone, records);
}

static void
cd_kv_reached (void *arg, bool reachable)
{
  struct cd_peers *peers = arg;

  peers->kv_reachable = reachable;
}

static bool
cd_wants_all (void *arg)
{
  const struct cd_peers *peers = arg;

  return mem_lowest (peers->table) == mem_self (peers->table);
}

static void
cd_leaving_changed (void *arg, const char *endpoint, bool leaving)
{
  const struct cd_peers *peers = arg;
  struct cd_leaving what = { endpoint, leaving };

  if (leaving)
    lg_write (LG_ENDPOINT_LEAVING, "endpoint=%s", endpoint);
  cd_publish (peers->daemon, CD_LEAVING, &what);
}

static void
cd_peers_drain (void *arg, const void *what)
{
  const struct cd_peers *peers = arg;

  (void)what;
  mem_set_self (peers->table, peers->generation, true);
  mem_beat_now (peers->beat);
}

static void
cd_peers_start (struct cd_peers *peers, const struct mem_member *self)
{
  static const struct mem_register_callbacks records
      = { cd_records_read, cd_kv_reached, cd_wants_all };
  struct cd_daemon *daemon = peers->daemon;
  const struct set_settings *settings = daemon->settings;
  const char *const *addresses
      = (const char *const *)(void *)settings->peers->pdata;

  peers->cfg = cd_document_start (peers);
  peers->reg = mem_register_new (daemon->tm, &daemon->kv, daemon->random,
                                 settings->environment, self, &records, peers);
  peers->beat
      = mem_beat_new (daemon->tm, peers->table, daemon->random, addresses,
                      settings->peers->len, cd_heartbeat_send, peers);
  cfg_start (peers->cfg, addresses, settings->peers->len);
  cfg_set_watching (peers->cfg, true);
  cd_reports_start (peers);
}

/* Register this instance and start heartbeats, configuration and reports of
   DAEMON, whose RPC node and key-value store must be there.  */
struct cd_peers *
cd_peers_new (struct cd_daemon *daemon)
{
  static const struct mem_callbacks members
      = { cd_members_changed, cd_member_reach, cd_member_greet };
  struct cd_peers *peers = g_new0 (struct cd_peers, 1);
  const struct set_settings *settings = daemon->settings;
  struct mem_member self = { .instance = settings->instance,
                             .zone = settings->zone,
                             .rpc_address = (char *)rpc_address (daemon->rpc),
                             .http_address = settings->http_address,
                             .number = settings->member_number,
                             .incarnation = daemon->incarnation };

  peers->daemon = daemon;
  peers->loads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cd_loads_init (peers);
  peers->fetches = g_hash_table_new (g_str_hash, g_str_equal);
  peers->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  peers->suspicions = g_array_new (FALSE, FALSE, sizeof (struct cd_suspicion));
  peers->table = mem_table_new (daemon->tm, &self, &members, peers);
  peers->leaving = mem_leaving_new (daemon->tm, cd_leaving_changed, peers);
  cd_heartbeat_register (peers);
  cd_beat_register (peers);
  cd_document_register (peers);
  cd_suspects_register (peers);
  cd_subscribe (daemon, CD_DRAIN, cd_peers_drain, peers);
  cd_peers_start (peers, &self);
  return peers;
}

/* End the registration and free PEERS.  The RPC node and the key-value client
   must be freed before the loop turns again, so that no answer comes to what
   is gone.  */
void
cd_peers_free (struct cd_peers *peers)
{
  if (peers == NULL)
    return;
  cd_reports_free (peers);
  mem_beat_free (peers->beat);
  mem_register_free (peers->reg);
  cfg_free (peers->cfg);
  mem_leaving_free (peers->leaving);
  mem_table_free (peers->table);
  env_unref (peers->document);
  g_hash_table_destroy (peers->loads);
  cd_loads_free (peers);
  g_hash_table_destroy (peers->calls);
  g_array_free (peers->suspicions, TRUE);
  g_free (peers);
}

/* Return a zeroed context of BYTES for a call to a peer.  It is freed with
   PEERS if the call is not answered before.  */
void *
cd_peers_call_new (struct cd_peers *peers, size_t bytes)
{
  void *call = g_malloc0 (bytes);

  g_hash_table_add (peers->calls, call);
  return call;
}

/* Free CALL, which was answered.  */
void
cd_peers_call_free (struct cd_peers *peers, void *call)
{
  g_hash_table_remove (peers->calls, call);
}

/* Serve PROCEDURE with PEERS.  */
void
cd_peers_register (struct cd_peers *peers,
                   const struct rpc_procedure *procedure)
{
  rpc_register (peers->daemon->rpc, procedure, peers);
}

/* Return the document in force, NULL if there is none.  */
struct env_document *
cd_document (const struct cd_daemon *daemon)
{
  return daemon->peers->document;
}

/* Return the generation in force, 0 if there is none.  */
uint64_t
cd_generation (const struct cd_daemon *daemon)
{
  return daemon->peers->generation;
}

/* Return what is known of the instances.  */
const struct mem_table *
cd_members (const struct cd_daemon *daemon)
{
  return daemon->peers->table;
}

/* Return whether the key-value service answered the last call of this
   module.  */
bool
cd_kv_reachable (const struct cd_daemon *daemon)
{
  return daemon->peers->kv_reachable;
}

/* Return the highest fencing number that a heartbeat of the own zone showed,
   0 if there was none.  */
uint64_t
cd_peers_fence (const struct cd_daemon *daemon)
{
  return daemon->peers->fence;
}

/* ENDPOINT refused a connection, or accepts them again.  */
void
cd_peers_set_leaving (struct cd_daemon *daemon, const char *endpoint,
                      bool leaving)
{
  mem_leaving_refused (daemon->peers->leaving, endpoint, leaving);
}
