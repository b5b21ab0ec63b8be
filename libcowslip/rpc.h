#ifndef COWSLIP_RPC_H
#define COWSLIP_RPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <rpc/rpc.h>
#include <uv.h>

#include "ctr.h"
#include "mbg.h"
#include "tm.h"

#define RPC_ORIGIN_BYTES 129

/* ONC RPC over TCP between instances, authenticated with an HMAC.  */
struct rpc_node;

/* A received call that awaits its reply.  */
struct rpc_request;

enum rpc_outcome
{
  RPC_OK,
  RPC_CONNECT_FAILED,  /* nothing was sent */
  RPC_CONNECTION_LOST, /* connection lost after the call was sent */
  RPC_TIMEOUT,
  RPC_REFUSED /* the peer rejected the key or does not provide the procedure */
};

/* The authenticated sender of a call.  */
struct rpc_origin
{
  char instance[RPC_ORIGIN_BYTES];
  uint64_t incarnation;
};

/* How a procedure is decoded and served.  SERVE must call rpc_send_reply
   once, immediately or later.  If ENCODE_RESULT is NULL the procedure is
   one-way and REQUEST is NULL.  */
struct rpc_procedure
{
  uint32_t number;
  xdrproc_t decode_args;
  size_t args_bytes;
  xdrproc_t encode_result;
  void (*serve) (void *arg, const struct rpc_origin *origin, void *args,
                 struct rpc_request *request);
};

/* A call to a peer.  */
struct rpc_call
{
  const char *address; /* "IP:PORT" */
  uint32_t procedure;
  xdrproc_t encode_args;
  void *args;
  xdrproc_t decode_result;
  size_t result_bytes;
  uint32_t timeout_ms;
};

/* RESULT is NULL unless OUTCOME is RPC_OK; it is freed after the callback.  */
typedef void (*rpc_done) (void *arg, enum rpc_outcome outcome, void *result);

struct rpc_config
{
  const char *instance;
  uint64_t incarnation;
  const char *address;
  const void *key;
  size_t key_bytes;
  /* Counts the messages that are sent or received; must outlive the node;
     NULL: they are not counted.  */
  struct mbg_budget *budget;
};

struct rpc_node *rpc_node_new (uv_loop_t *loop, struct tm_service *tm,
                               struct ctr_set *counters,
                               const struct rpc_config *config,
                               GError **error);
void rpc_set_key (struct rpc_node *node, const void *key, size_t key_bytes);
void rpc_node_free (struct rpc_node *node);
void rpc_register (struct rpc_node *node,
                   const struct rpc_procedure *procedure, void *arg);
void rpc_send_reply (struct rpc_request *request, void *result);
void rpc_send (struct rpc_node *node, const struct rpc_call *call,
               rpc_done done, void *arg);
void rpc_send_one_way (struct rpc_node *node, const struct rpc_call *call);
uint64_t rpc_connection_id (const struct rpc_node *node, const char *address);
const char *rpc_address (const struct rpc_node *node);
uint64_t rpc_bytes_sent (const struct rpc_node *node);
uint64_t rpc_bytes_received (const struct rpc_node *node);
bool_t rpc_xdr_void (XDR *xdr, void *value);

#endif
