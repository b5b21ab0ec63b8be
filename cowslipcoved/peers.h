#ifndef COWSLIPCOVED_PEERS_H
#define COWSLIPCOVED_PEERS_H

#include "cowslip.h"
#include "daemon.h"
#include "mem.h"

/* Membership, heartbeats and the configuration in force.  */

typedef void (*cd_peers_done) (void *arg);

struct cd_peers *cd_peers_new (struct cd_daemon *daemon);
void cd_peers_free (struct cd_peers *peers);
struct env_document *cd_document (const struct cd_daemon *daemon);
uint64_t cd_generation (const struct cd_daemon *daemon);
const struct mem_table *cd_members (const struct cd_daemon *daemon);
bool cd_kv_reachable (const struct cd_daemon *daemon);
/* The highest fencing number in the heartbeats of the own zone.  */
uint64_t cd_peers_fence (const struct cd_daemon *daemon);

/* Add to the next heartbeats, and tell the other parts of this instance.  */
void cd_peers_set_leaving (struct cd_daemon *daemon, const char *endpoint,
                           bool leaving);

/* Send SUSPECTS to every reachable member of the zone and call DONE when each
   has answered or failed.  */
void cd_peers_send_suspects (struct cd_daemon *daemon,
                             const cs_suspects *suspects, cd_peers_done done,
                             void *arg);

#endif
