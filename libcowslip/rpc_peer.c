#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "adr.h"
#include "rpc_peer.h"

#define RPC_CONNECT_TIMEOUT_US 3000000
/* After a failed connection attempt, calls to the peer fail immediately for
   this time, so that frequent calls do not cause a connection attempt
   each.  */
#define RPC_RECONNECT_DELAY_US 100000
/* One-way calls have no reply whose absence would reveal a dead connection,
   so the kernel closes a connection with data unacknowledged for this
   time.  */
#define RPC_USER_TIMEOUT_MS 3000

static void
rpc_pending_free (struct rpc_pending *call)
{
  tm_cancel (call->peer->node->tm, &call->timeout);
  if (call->body != NULL)
    g_byte_array_free (call->body, TRUE);
  g_free (call);
}

/* Report OUTCOME and free CALL, which must be in no queue or table of its
   peer.  */
void
rpc_pending_end (struct rpc_pending *call, enum rpc_outcome outcome,
                 void *result)
{
  static const char *const names[]
      = { [RPC_OK] = "rpc_calls_total{outcome=\"ok\"}",
          [RPC_CONNECT_FAILED] = "rpc_calls_total{outcome=\"connect_failed\"}",
          [RPC_CONNECTION_LOST] = "rpc_calls_total{outcome=\"broken\"}",
          [RPC_TIMEOUT] = "rpc_calls_total{outcome=\"timeout\"}",
          [RPC_REFUSED] = "rpc_calls_total{outcome=\"refused\"}" };

  ctr_add (call->peer->node->counters, names[outcome], 1);
  if (call->done != NULL)
    call->done (call->arg, outcome, result);
  rpc_pending_free (call);
}

static void
rpc_fail_queued (struct rpc_peer *peer)
{
  GQueue failed = peer->queued;
  struct rpc_pending *call;

  g_queue_init (&peer->queued);
  while ((call = g_queue_pop_head (&failed)) != NULL)
    rpc_pending_end (call, RPC_CONNECT_FAILED, NULL);
}

static void
rpc_peer_closed (struct rpc_conn *conn)
{
  struct rpc_peer *peer = conn->peer;
  GHashTable *broken = peer->sent;
  GHashTableIter iter;
  void *call;

  if (peer->incarnation == 0)
    peer->retry_us = tm_now_us (peer->node->tm) + RPC_RECONNECT_DELAY_US;
  peer->conn = NULL;
  peer->incarnation = 0;
  peer->sent = g_hash_table_new (g_int_hash, g_int_equal);
  g_hash_table_iter_init (&iter, broken);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    rpc_pending_end (call, RPC_CONNECTION_LOST, NULL);
  g_hash_table_destroy (broken);
  rpc_fail_queued (peer);
}

static GByteArray *
rpc_peer_call (struct rpc_peer *peer, uint32_t xid, uint32_t procedure,
               const GByteArray *body, uint8_t *mac)
{
  struct rpc_node *node = peer->node;
  struct rpc_credential credential = { .incarnation = node->incarnation,
                                       .sequence = node->next_sequence++,
                                       .to_incarnation = peer->incarnation };

  g_strlcpy (credential.instance, node->instance, sizeof credential.instance);
  g_strlcpy (credential.to_address, peer->address,
             sizeof credential.to_address);
  return rpc_message_call (node->auth, &credential, xid, procedure, body, mac);
}

static void
rpc_pending_send (struct rpc_pending *call)
{
  struct rpc_peer *peer = call->peer;

  if (call->body == NULL
      || !rpc_conn_write (peer->conn,
                          rpc_peer_call (peer, call->xid, call->procedure,
                                         call->body, call->mac)))
    {
      rpc_pending_end (call, RPC_CONNECT_FAILED, NULL);
      return;
    }
  if (call->done == NULL)
    {
      ctr_add (peer->node->counters, "rpc_one_way_total", 1);
      rpc_pending_free (call);
      return;
    }
  call->sent_us = tm_now_us (peer->node->tm);
  g_hash_table_insert (peer->sent, &call->xid, call);
}

static void
rpc_send_queued (struct rpc_peer *peer)
{
  struct rpc_pending *call;

  while (peer->conn != NULL
         && (call = g_queue_pop_head (&peer->queued)) != NULL)
    rpc_pending_send (call);
}

/* The reply to the null procedure carries the incarnation to which later
   calls are addressed.  */
static bool
rpc_peer_handshake_reply (struct rpc_conn *conn, uint8_t *record, size_t bytes)
{
  struct rpc_peer *peer = conn->peer;
  struct rpc_reply reply;
  u_int64_t incarnation = 0;

  if (rpc_message_parse_reply (peer->node->auth, peer->handshake_mac, record,
                               bytes, &reply)
          != RPC_MESSAGE_VALID
      || !reply.accepted || reply.status != SUCCESS
      || !rpc_message_decode ((xdrproc_t)xdr_u_int64_t, &incarnation,
                              reply.body, reply.body_bytes)
      || incarnation == 0)
    {
      struct rpc_pending *first = g_queue_pop_head (&peer->queued);

      if (first != NULL)
        rpc_pending_end (first, RPC_REFUSED, NULL);
      return false;
    }
  peer->incarnation = incarnation;
  peer->connection_id = peer->node->next_connection_id++;
  tm_cancel (peer->node->tm, &conn->timeout);
  rpc_send_queued (peer);
  return true;
}

static void
rpc_pending_reply (struct rpc_pending *call, const struct rpc_reply *reply)
{
  xdrproc_t decode = call->decode_result;
  void *result;
  bool ok;

  if (!reply->accepted || reply->status != SUCCESS)
    {
      rpc_pending_end (call, RPC_REFUSED, NULL);
      return;
    }
  result = g_malloc0 (MAX (call->result_bytes, 1));
  ok = rpc_message_decode (decode, result, reply->body, reply->body_bytes);
  rpc_pending_end (call, ok ? RPC_OK : RPC_REFUSED, ok ? result : NULL);
  xdr_free (decode, result);
  g_free (result);
}

static bool
rpc_peer_record (struct rpc_conn *conn, uint8_t *record, size_t bytes)
{
  struct rpc_peer *peer = conn->peer;
  struct rpc_pending *call;
  struct rpc_reply reply;
  uint32_t xid;

  if (!rpc_message_xid (record, bytes, &xid))
    {
      rpc_conn_report_error (conn, "garbage");
      return false;
    }
  if (peer->incarnation == 0)
    return rpc_peer_handshake_reply (conn, record, bytes);
  call = g_hash_table_lookup (peer->sent, &xid);
  /* The call has timed out before.  */
  if (call == NULL)
    return true;
  if (rpc_message_parse_reply (peer->node->auth, call->mac, record, bytes,
                               &reply)
      != RPC_MESSAGE_VALID)
    {
      rpc_conn_report_error (conn, "answer");
      return false;
    }
  g_hash_table_remove (peer->sent, &xid);
  rpc_pending_reply (call, &reply);
  return reply.accepted;
}

static void
rpc_peer_connect_timed_out (void *arg)
{
  rpc_conn_close (arg);
}

static void
rpc_peer_connected (uv_connect_t *request, int status)
{
  struct rpc_conn *conn = request->handle->data;
  struct rpc_peer *peer = conn->peer;
  const int user_timeout_ms = RPC_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  if (conn->closing)
    return;
  if (status != 0)
    {
      rpc_conn_close (conn);
      return;
    }
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                      sizeof user_timeout_ms);
  rpc_conn_read (conn);
  (void)rpc_conn_write (
      conn, rpc_peer_call (peer, 0, NULLPROC, NULL, peer->handshake_mac));
}

static void
rpc_peer_connect (struct rpc_peer *peer)
{
  struct rpc_node *node = peer->node;
  struct sockaddr_in address;

  if (!adr_parse_peer (peer->address, &address)
      || tm_now_us (node->tm) < peer->retry_us)
    {
      rpc_fail_queued (peer);
      return;
    }
  peer->conn = rpc_conn_new (node, RPC_RECORD_MAX_BYTES);
  peer->conn->peer = peer;
  peer->conn->on_record = rpc_peer_record;
  peer->conn->on_closed = rpc_peer_closed;
  tm_after (node->tm, &peer->conn->timeout, RPC_CONNECT_TIMEOUT_US,
            rpc_peer_connect_timed_out, peer->conn);
  if (uv_tcp_connect (&peer->conn->connect, &peer->conn->tcp,
                      (struct sockaddr *)&address, rpc_peer_connected)
      != 0)
    rpc_conn_close (peer->conn);
}

/* Send the queued calls of a struct rpc_peer, or connect first.  Calls are
   started from the timer service, so that no callback is called from within
   rpc_send.  */
void
rpc_peer_start (void *arg)
{
  struct rpc_peer *peer = arg;

  if (peer->conn == NULL && !g_queue_is_empty (&peer->queued))
    rpc_peer_connect (peer);
  else if (peer->incarnation != 0)
    rpc_send_queued (peer);
}

/* Free PEER.  Its calls are not reported.  */
void
rpc_peer_free (void *arg)
{
  struct rpc_peer *peer = arg;
  struct rpc_pending *call;
  GHashTableIter iter;
  void *sent;

  tm_cancel (peer->node->tm, &peer->start);
  while ((call = g_queue_pop_head (&peer->queued)) != NULL)
    rpc_pending_free (call);
  g_hash_table_iter_init (&iter, peer->sent);
  while (g_hash_table_iter_next (&iter, NULL, &sent))
    rpc_pending_free (sent);
  g_hash_table_remove_all (peer->sent);
  if (peer->conn != NULL)
    rpc_conn_close (peer->conn);
  g_hash_table_destroy (peer->sent);
  g_free (peer->address);
  g_free (peer);
}
