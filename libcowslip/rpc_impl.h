#ifndef COWSLIP_RPC_IMPL_H
#define COWSLIP_RPC_IMPL_H

#include "rpc.h"
#include "rpc_message.h"
#include "rpc_record.h"
#include "rpc_replay.h"

/* Shared by the source files of the RPC module.  */

#define RPC_PROCEDURE_MAX 32
#define RPC_US_PER_MS     1000

/* A TCP connection, outgoing or accepted.  */
struct rpc_conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct rpc_node *node;
  struct rpc_record input;
  size_t input_taken; /* bytes of the budget for INPUT */
  struct tm_timer timeout;
  bool closing;
  /* Return false to close the connection.  */
  bool (*on_record) (struct rpc_conn *conn, uint8_t *record, size_t bytes);
  void (*on_closed) (struct rpc_conn *conn);
  struct rpc_peer *peer; /* of an outgoing connection */
  GHashTable *requests; /* set of unanswered struct rpc_request, if accepted */
  uint64_t last_input_us; /* when data was last received */
};

struct rpc_entry
{
  struct rpc_procedure procedure;
  void *arg;
  bool registered;
};

struct rpc_node
{
  uv_loop_t *loop;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct mbg_budget *budget; /* NULL: messages are not counted */
  char *instance;
  char address[RPC_AUTH_ADDRESS_BYTES];
  uint64_t incarnation;
  struct rpc_auth *auth;
  struct rpc_replay *replay;
  uv_tcp_t *listener;
  struct rpc_entry entries[RPC_PROCEDURE_MAX];
  GHashTable *peers;    /* address -> struct rpc_peer */
  GHashTable *accepted; /* set of struct rpc_conn */
  uint32_t next_xid;
  uint64_t next_sequence;
  uint64_t next_connection_id;
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t next_log_us;
  uint32_t unlogged;       /* protocol violations since the last log line */
  char read_buffer[65536]; /* for reads; consumed within the callback */
};

struct rpc_conn *rpc_conn_new (struct rpc_node *node, uint32_t max_bytes);
void rpc_conn_read (struct rpc_conn *conn);
bool rpc_conn_write (struct rpc_conn *conn, GByteArray *record);
void rpc_conn_close (struct rpc_conn *conn);
void rpc_conn_report_error (struct rpc_conn *conn, const char *reason);

void rpc_peer_free (void *arg);
bool rpc_server_listen (struct rpc_node *node, const char *address,
                        GError **error);
void rpc_server_close (struct rpc_node *node);

#endif
