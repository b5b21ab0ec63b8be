#include "rpc_peer.h"

/* Without input since the call was sent the connection may be dead, although
   no packet has signalled it.  It is closed, and the next call opens a new
   one.  */
static void
rpc_pending_timed_out (void *arg)
{
  struct rpc_pending *call = arg;
  struct rpc_conn *conn = call->peer->conn;
  bool sent = call->sent_us != 0;
  bool silent = sent && conn != NULL && conn->last_input_us < call->sent_us;

  if (sent)
    g_hash_table_remove (call->peer->sent, &call->xid);
  else
    g_queue_remove (&call->peer->queued, call);
  rpc_pending_end (call, sent ? RPC_TIMEOUT : RPC_CONNECT_FAILED, NULL);
  if (silent)
    rpc_conn_close (conn);
}

static struct rpc_peer *
rpc_peer_find (struct rpc_node *node, const char *address)
{
  struct rpc_peer *peer = g_hash_table_lookup (node->peers, address);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct rpc_peer, 1);
  peer->node = node;
  peer->address = g_strdup (address);
  peer->sent = g_hash_table_new (g_int_hash, g_int_equal);
  g_queue_init (&peer->queued);
  g_hash_table_insert (node->peers, peer->address, peer);
  return peer;
}

static void
rpc_peer_queue (struct rpc_node *node, const struct rpc_call *call,
                rpc_done done, void *arg)
{
  struct rpc_pending *pending = g_new0 (struct rpc_pending, 1);

  pending->peer = rpc_peer_find (node, call->address);
  pending->xid = node->next_xid++;
  pending->procedure = call->procedure;
  pending->body = rpc_message_encode (call->encode_args, call->args);
  pending->decode_result = call->decode_result;
  pending->result_bytes = call->result_bytes;
  pending->done = done;
  pending->arg = arg;
  g_queue_push_tail (&pending->peer->queued, pending);
  tm_after (node->tm, &pending->timeout,
            (uint64_t)call->timeout_ms * RPC_US_PER_MS, rpc_pending_timed_out,
            pending);
  tm_after (node->tm, &pending->peer->start, 0, rpc_peer_start, pending->peer);
}

/* Make CALL and report its result once to DONE with ARG, never from within
   this function.  CALL and its arguments are not used after the function
   returns.  Arguments that cannot be encoded end the call with
   RPC_CONNECT_FAILED.  */
void
rpc_send (struct rpc_node *node, const struct rpc_call *call, rpc_done done,
          void *arg)
{
  g_assert (done != NULL);
  rpc_peer_queue (node, call, done, arg);
}

/* Make CALL of a one-way procedure: there is no reply (batching, RFC 5531
   section 8.2), so the caller does not learn whether it arrived.  CALL's
   result fields are not used; its timeout limits the wait for a connection.
   Calls to one address arrive in the order in which they were made as long as
   the connection lasts.  */
void
rpc_send_one_way (struct rpc_node *node, const struct rpc_call *call)
{
  rpc_peer_queue (node, call, NULL, NULL);
}

/* Return the id of the current connection to ADDRESS, or 0 if there is none.
   Ids are unique within NODE, so that a change shows the caller that earlier
   one-way calls may have been lost.  */
uint64_t
rpc_connection_id (const struct rpc_node *node, const char *address)
{
  const struct rpc_peer *peer = g_hash_table_lookup (node->peers, address);

  return peer != NULL && peer->incarnation != 0 ? peer->connection_id : 0;
}
