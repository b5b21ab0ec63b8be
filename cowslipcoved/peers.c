#include <string.h>

#include "lg.h"
#include "peers_impl.h"

/* Number of instances per zone that watch the key-value service.  */
#define CD_WATCHER_COUNT 2

/* Set the addresses of the members that watch the key-value service.  */
static void
cd_members_set_watchers (struct cd_peers *peers)
{
  const GPtrArray *members = mem_members (peers->table);
  const char *addresses[CD_WATCHER_COUNT];
  size_t count = 0;

  for (guint i = 0; i < members->len && count < CD_WATCHER_COUNT; i++)
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
  cfg_set_watching (peers->cfg,
                    mem_is_among_lowest (peers->table, CD_WATCHER_COUNT));
  cd_members_set_watchers (peers);
  cd_publish (peers->daemon, CD_MEMBERS, peers->table);
}

static void
cd_member_reachability_changed (void *arg, const struct mem_member *member)
{
  (void)arg;
  lg_write (member->reachable ? LG_PEER_UP : LG_PEER_DOWN,
            "instance=%s zone=%s address=%s", member->instance, member->zone,
            member->rpc_address);
}

static void
cd_member_joined (void *arg, const struct mem_member *member)
{
  cd_heartbeat_send_initial (arg, member);
}

static void
cd_records_received (void *arg, const char *zone, const GPtrArray *records)
{
  const struct cd_peers *peers = arg;

  mem_apply_records (peers->table, zone, records);
}

static void
cd_kv_set_reachable (void *arg, bool reachable)
{
  struct cd_peers *peers = arg;

  peers->kv_reachable = reachable;
}

static bool
cd_wants_all_zones (void *arg)
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
cd_peers_on_drain (void *arg, const void *what)
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
      = { cd_records_received, cd_kv_set_reachable, cd_wants_all_zones };
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
  peers->suspects_store = cd_suspects_store_new (peers);
  cd_reports_start (peers);
}

/* Register this instance and start heartbeats, configuration and engine
   reports.  The RPC node and the key-value store of DAEMON must have been set
   up.  */
struct cd_peers *
cd_peers_new (struct cd_daemon *daemon)
{
  static const struct mem_callbacks members
      = { cd_members_changed, cd_member_reachability_changed,
          cd_member_joined };
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
  cd_subscribe (daemon, CD_DRAIN, cd_peers_on_drain, peers);
  cd_peers_start (peers, &self);
  return peers;
}

/* Stop the registration and free PEERS.  The RPC node and the key-value client
   must be freed before the event loop runs again, so that no reply refers to
   freed memory.  */
void
cd_peers_free (struct cd_peers *peers)
{
  if (peers == NULL)
    return;
  cd_reports_free (peers);
  cd_suspects_store_free (peers->suspects_store);
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
   PEERS if the call has not ended by then.  */
void *
cd_peers_call_new (struct cd_peers *peers, size_t bytes)
{
  void *call = g_malloc0 (bytes);

  g_hash_table_add (peers->calls, call);
  return call;
}

/* Free the context CALL of a call that has ended.  */
void
cd_peers_call_free (struct cd_peers *peers, void *call)
{
  g_hash_table_remove (peers->calls, call);
}

/* Register PROCEDURE, with PEERS as its argument.  */
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

/* Return the membership table.  */
const struct mem_table *
cd_members (const struct cd_daemon *daemon)
{
  return daemon->peers->table;
}

/* Return whether the key-value service answered the last call of the
   membership module.  */
bool
cd_kv_reachable (const struct cd_daemon *daemon)
{
  return daemon->peers->kv_reachable;
}

/* Return the highest fencing number received in heartbeats of this zone, 0 if
   there was none.  */
uint64_t
cd_peers_fence (const struct cd_daemon *daemon)
{
  return daemon->peers->fence;
}

/* Record whether ENDPOINT is leaving, as it refused a connection or accepts
   them again.  */
void
cd_peers_set_leaving (struct cd_daemon *daemon, const char *endpoint,
                      bool leaving)
{
  mem_leaving_connect_refused (daemon->peers->leaving, endpoint, leaving);
}
