#ifndef COWSLIPCOVED_PEERS_IMPL_H
#define COWSLIPCOVED_PEERS_IMPL_H

/* Internals of the exchange with peers, shared by peers*.c.  */

#include "cfg.h"
#include "mem_beat.h"
#include "mem_delta.h"
#include "mem_leaving.h"
#include "mem_loads.h"
#include "mem_register.h"
#include "peers.h"

#define CD_US_PER_MS      1000
#define CD_RPC_TIMEOUT_MS 1000

/* An engine's load and the time at which it was measured.  */
struct cd_load_sample
{
  uint32_t running;
  uint32_t waiting;
  uint64_t measured_us;
};

/* A suspicion.  One of this instance is repeated in heartbeats because a
   message may have been lost; all are sent to a new member.  */
struct cd_suspicion
{
  uint64_t fingerprint;
  uint32_t crashes;
  uint32_t age_ms;
  uint64_t recorded_us;
  bool own;
};

struct cd_peers
{
  struct cd_daemon *daemon;
  struct mem_table *table;
  struct mem_register *reg;
  struct mem_beat *beat;
  struct mem_leaving *leaving;
  struct cfg_state *cfg;
  struct env_document *document; /* NULL: none in force */
  GHashTable *loads;             /* endpoint -> struct cd_load_sample */
  GHashTable *sent_loads;        /* instance -> struct mem_delta */
  GHashTable *received;          /* instance -> struct mem_loads */
  GHashTable *endpoints;         /* mem_load_hash -> address in DOCUMENT */
  GHashTable *fetches;           /* address -> struct cd_fetch in progress */
  GArray *suspicions;            /* struct cd_suspicion */
  struct cd_suspects_store *suspects_store;
  GHashTable *calls; /* set of contexts of calls in progress */
  struct tm_timer poll_timer;
  uint64_t generation; /* of DOCUMENT */
  uint64_t fence;      /* highest in heartbeats of the zone */
  uint32_t beats;      /* heartbeats sent */
  bool kv_reachable;
  bool has_list; /* an instance list read here is in effect */
};

void cd_heartbeat_register (struct cd_peers *peers);
void cd_heartbeat_send (void *arg, const char *address, const char *instance);
void cd_heartbeat_send_initial (struct cd_peers *peers,
                                const struct mem_member *member);
void cd_beat_register (struct cd_peers *peers);
void cd_beat_apply_loads (struct cd_peers *peers, const char *instance,
                          uint64_t incarnation, const cs_beat *beat);
GArray *cd_loads_current (const struct cd_peers *peers);
void cd_loads_map_endpoints (struct cd_peers *peers);
void cd_loads_prune (struct cd_peers *peers);
void cd_loads_init (struct cd_peers *peers);
void cd_loads_free (struct cd_peers *peers);
struct mem_delta *cd_loads_sent (struct cd_peers *peers, const char *instance);
void cd_document_register (struct cd_peers *peers);
struct cfg_state *cd_document_start (struct cd_peers *peers);
void cd_suspects_register (struct cd_peers *peers);
void cd_suspects_keep (struct cd_peers *peers, const cs_suspects *suspects);
cs_suspect *cd_suspects_recent (struct cd_peers *peers, uint64_t within_us,
                                bool own, u_int *count);
struct cd_suspects_store *cd_suspects_store_new (struct cd_peers *peers);
void cd_suspects_store_free (struct cd_suspects_store *store);
void cd_suspects_save (struct cd_suspects_store *store,
                       const cs_suspects *suspects);
void cd_reports_start (struct cd_peers *peers);
void cd_reports_free (struct cd_peers *peers);
void *cd_peers_call_new (struct cd_peers *peers, size_t bytes);
void cd_peers_call_free (struct cd_peers *peers, void *call);
void cd_peers_register (struct cd_peers *peers,
                        const struct rpc_procedure *procedure);

#endif
