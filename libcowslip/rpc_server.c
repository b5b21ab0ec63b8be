#include <string.h>

#include "adr.h"
#include "rpc_impl.h"

#define RPC_BACKLOG         512
#define RPC_CONNECTIONS_MAX 1024
#define RPC_AUTH_TIMEOUT_US 10000000

struct rpc_request
{
  struct rpc_conn *conn; /* NULL: the caller has disconnected */
  const struct rpc_auth *auth;
  struct rpc_procedure procedure;
  uint32_t xid;
  uint8_t mac[RPC_AUTH_MAC_BYTES];
  void *args;
  bool serving;
  bool replied;
};

static void
rpc_request_free (struct rpc_request *request)
{
  xdr_free (request->procedure.decode_args, request->args);
  g_free (request->args);
  g_free (request);
}

/* Reply to REQUEST with RESULT, which is encoded immediately.  The arguments
   are freed when the procedure has returned.  */
void
rpc_send_reply (struct rpc_request *request, void *result)
{
  GByteArray *body;

  if (request->conn != NULL)
    {
      body = rpc_message_encode (request->procedure.encode_result, result);
      g_hash_table_remove (request->conn->requests, request);
      (void)rpc_conn_write (
          request->conn,
          rpc_message_reply (request->auth, request->mac, request->xid,
                             body != NULL ? SUCCESS : SYSTEM_ERR, body));
      if (body != NULL)
        g_byte_array_free (body, TRUE);
    }
  request->conn = NULL;
  request->replied = true;
  if (!request->serving)
    rpc_request_free (request);
}

static bool
rpc_reply_status (struct rpc_conn *conn, const struct rpc_incoming *call,
                  enum accept_stat status)
{
  return rpc_conn_write (conn, rpc_message_reply (conn->node->auth, call->mac,
                                                  call->xid, status, NULL));
}

static bool
rpc_serve_null (struct rpc_conn *conn, const struct rpc_incoming *call)
{
  u_int64_t incarnation = conn->node->incarnation;
  GByteArray *body
      = rpc_message_encode ((xdrproc_t)xdr_u_int64_t, &incarnation);

  (void)rpc_conn_write (conn, rpc_message_reply (conn->node->auth, call->mac,
                                                 call->xid, SUCCESS, body));
  g_byte_array_free (body, TRUE);
  return true;
}

static bool
rpc_serve_call (struct rpc_conn *conn, const struct rpc_incoming *call)
{
  struct rpc_entry *entry;
  struct rpc_origin origin = { .incarnation = call->credential.incarnation };
  struct rpc_request *request;

  if (!call->program_supported)
    return rpc_reply_status (conn, call, PROG_UNAVAIL);
  if (call->procedure >= RPC_PROCEDURE_MAX)
    return rpc_reply_status (conn, call, PROC_UNAVAIL);
  entry = &conn->node->entries[call->procedure];
  if (!entry->registered)
    return rpc_reply_status (conn, call, PROC_UNAVAIL);
  request = g_new0 (struct rpc_request, 1);
  request->procedure = entry->procedure;
  request->args = g_malloc0 (MAX (entry->procedure.args_bytes, 1));
  if (!rpc_message_decode (entry->procedure.decode_args, request->args,
                           call->body, call->body_bytes))
    {
      rpc_request_free (request);
      rpc_conn_report_error (conn, "arguments");
      return false;
    }
  g_strlcpy (origin.instance, call->credential.instance,
             sizeof origin.instance);
  if (entry->procedure.encode_result == NULL)
    {
      entry->procedure.serve (entry->arg, &origin, request->args, NULL);
      rpc_request_free (request);
      return true;
    }
  request->conn = conn;
  request->auth = conn->node->auth;
  request->xid = call->xid;
  memcpy (request->mac, call->mac, sizeof request->mac);
  g_hash_table_add (conn->requests, request);
  request->serving = true;
  entry->procedure.serve (entry->arg, &origin, request->args, request);
  request->serving = false;
  if (request->replied)
    rpc_request_free (request);
  return true;
}

/* Return the reason to deny CALL, or NULL to accept it.  */
static const char *
rpc_deny_reason (struct rpc_node *node, const struct rpc_incoming *call)
{
  const struct rpc_credential *credential = &call->credential;

  if (strcmp (credential->to_address, node->address) != 0)
    return "address";
  /* The null procedure has no effect, so it is accepted from any sender at
     any time, but it must not update the replay table.  */
  if (call->procedure == NULLPROC)
    return NULL;
  if (credential->to_incarnation != node->incarnation)
    return "incarnation";
  switch (rpc_replay_check (node->replay, credential->instance,
                            credential->incarnation, credential->sequence))
    {
    case RPC_REPLAY_NEW:
      return NULL;
    case RPC_REPLAY_REPEATED:
      return "replay";
    case RPC_REPLAY_RETIRED:
      return "retired";
    }
  return NULL;
}

static bool
rpc_server_record (struct rpc_conn *conn, uint8_t *record, size_t bytes)
{
  struct rpc_incoming call;
  enum rpc_message_verdict verdict
      = rpc_message_parse_call (conn->node->auth, record, bytes, &call);
  const char *reason;

  if (verdict == RPC_MESSAGE_MALFORMED)
    {
      rpc_conn_report_error (conn, "garbage");
      return false;
    }
  reason = verdict == RPC_MESSAGE_BAD_MAC
               ? "key"
               : rpc_deny_reason (conn->node, &call);
  if (reason != NULL)
    {
      rpc_conn_report_error (conn, reason);
      (void)rpc_conn_write (conn, rpc_message_denied (call.xid));
      return false;
    }
  tm_cancel (conn->node->tm, &conn->timeout);
  conn->input.max_bytes = RPC_RECORD_MAX_BYTES;
  return call.procedure == NULLPROC ? rpc_serve_null (conn, &call)
                                    : rpc_serve_call (conn, &call);
}

static void
rpc_accepted_closed (struct rpc_conn *conn)
{
  GHashTableIter iter;
  void *request;

  g_hash_table_remove (conn->node->accepted, conn);
  g_hash_table_iter_init (&iter, conn->requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    ((struct rpc_request *)request)->conn = NULL;
  g_hash_table_destroy (conn->requests);
  conn->requests = NULL;
}

static void
rpc_auth_timed_out (void *arg)
{
  rpc_conn_report_error (arg, "silent");
  rpc_conn_close (arg);
}

/* Until a connection has sent an authenticated call it is limited in record
   size and time, so that unauthenticated peers cannot exhaust memory.  */
static void
rpc_server_accept (uv_stream_t *listener, int status)
{
  struct rpc_node *node = listener->data;
  struct rpc_conn *conn;

  if (status != 0)
    return;
  conn = rpc_conn_new (node, RPC_RECORD_UNAUTHENTICATED_MAX_BYTES);
  conn->requests = g_hash_table_new (NULL, NULL);
  conn->on_record = rpc_server_record;
  conn->on_closed = rpc_accepted_closed;
  g_hash_table_add (node->accepted, conn);
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0
      || g_hash_table_size (node->accepted) > RPC_CONNECTIONS_MAX)
    {
      rpc_conn_close (conn);
      return;
    }
  tm_after (node->tm, &conn->timeout, RPC_AUTH_TIMEOUT_US, rpc_auth_timed_out,
            conn);
  rpc_conn_read (conn);
}

/* Listen on ADDRESS ("IP:PORT"; port 0: any free port).  Return false and set
   ERROR if it is invalid or in use.  */
bool
rpc_server_listen (struct rpc_node *node, const char *address, GError **error)
{
  struct sockaddr_in local;
  char host[INET_ADDRSTRLEN];
  int bytes = sizeof local;
  int status = UV_EINVAL;

  node->listener = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (node->loop, node->listener);
  node->listener->data = node;
  if (adr_parse (address, &local))
    status = uv_tcp_bind (node->listener, (struct sockaddr *)&local, 0);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)node->listener, RPC_BACKLOG,
                        rpc_server_accept);
  if (status == 0)
    {
      uv_tcp_getsockname (node->listener, (struct sockaddr *)&local, &bytes);
      uv_ip4_name (&local, host, sizeof host);
      g_snprintf (node->address, sizeof node->address, "%s:%u", host,
                  ntohs (local.sin_port));
    }
  else
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: %s", address,
                 uv_strerror (status));
  return status == 0;
}

static void
rpc_listener_closed (uv_handle_t *handle)
{
  g_free (handle);
}

/* Close the listener and the accepted connections.  */
void
rpc_server_close (struct rpc_node *node)
{
  GList *conns = g_hash_table_get_keys (node->accepted);

  uv_close ((uv_handle_t *)node->listener, rpc_listener_closed);
  for (GList *item = conns; item != NULL; item = item->next)
    rpc_conn_close (item->data);
  g_list_free (conns);
}
