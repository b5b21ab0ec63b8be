#ifndef COWSLIPCOVED_PEERS_H
#define COWSLIPCOVED_PEERS_H

/* Exchanges membership, configuration, engine loads and suspected requests
   with the other instances.  */

#include "cowslip.h"
#include "daemon.h"
#include "mem.h"

typedef void (*cd_peers_done) (void *arg);

struct cd_peers *cd_peers_new (struct cd_daemon *daemon);
void cd_peers_free (struct cd_peers *peers);
struct env_document *cd_document (const struct cd_daemon *daemon);
uint64_t cd_generation (const struct cd_daemon *daemon);
const struct mem_table *cd_members (const struct cd_daemon *daemon);
bool cd_kv_reachable (const struct cd_daemon *daemon);
/* The highest fencing number received in heartbeats of this zone.  */
uint64_t cd_peers_fence (const struct cd_daemon *daemon);

/* Record whether ENDPOINT refuses connections.  Changes are published in this
   instance and sent with the next heartbeats.  */
void cd_peers_set_leaving (struct cd_daemon *daemon, const char *endpoint,
                           bool leaving);

/* Send SUSPECTS to every reachable member of the zone and call DONE when each
   call has ended.  */
void cd_peers_send_suspects (struct cd_daemon *daemon,
                             const cs_suspects *suspects, cd_peers_done done,
                             void *arg);

#endif
