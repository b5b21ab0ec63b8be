#ifndef COWSLIP_RPC_REPLAY_H
#define COWSLIP_RPC_REPLAY_H

#include <stdint.h>

/* Replay protection: decides whether an authenticated call is new.  */
struct rpc_replay;

enum rpc_replay_verdict
{
  RPC_REPLAY_NEW,
  RPC_REPLAY_REPEATED, /* received before, or too old to tell */
  RPC_REPLAY_RETIRED   /* from an earlier incarnation of the sender */
};

struct rpc_replay *rpc_replay_new (void);
void rpc_replay_free (struct rpc_replay *replay);
enum rpc_replay_verdict rpc_replay_check (struct rpc_replay *replay,
                                          const char *instance,
                                          uint64_t incarnation,
                                          uint64_t sequence);

#endif
