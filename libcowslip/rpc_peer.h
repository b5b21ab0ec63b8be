#ifndef COWSLIP_RPC_PEER_H
#define COWSLIP_RPC_PEER_H

#include "rpc_impl.h"

/* A node to which this process makes calls.  */
struct rpc_peer
{
  struct rpc_node *node;
  char *address;
  struct rpc_conn *conn; /* NULL: none */
  uint8_t handshake_mac[RPC_AUTH_MAC_BYTES];
  uint64_t incarnation;   /* 0: not known yet; calls are queued */
  uint64_t connection_id; /* unique in the node */
  uint64_t retry_us;      /* no connection attempt before */
  struct tm_timer start;
  GQueue queued;    /* struct rpc_pending, not sent */
  GHashTable *sent; /* xid -> struct rpc_pending */
};

struct rpc_pending
{
  struct rpc_peer *peer;
  uint32_t xid;
  uint32_t procedure;
  GByteArray *body; /* NULL: cannot be encoded */
  uint8_t mac[RPC_AUTH_MAC_BYTES];
  xdrproc_t decode_result;
  size_t result_bytes;
  struct tm_timer timeout;
  uint64_t sent_us; /* 0: not sent */
  rpc_done done;    /* NULL: one-way */
  void *arg;
};

void rpc_pending_end (struct rpc_pending *call, enum rpc_outcome outcome,
                      void *result);
void rpc_peer_start (void *arg);

#endif
