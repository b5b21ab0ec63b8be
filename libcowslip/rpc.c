#include "rpc_impl.h"

/* Return a node that serves calls on CONFIG's address and makes calls.
   CONFIG is copied.  Return NULL and set ERROR (G_FILE_ERROR) if the address
   is invalid or in use.  */
struct rpc_node *
rpc_node_new (uv_loop_t *loop, struct tm_service *tm, struct ctr_set *counters,
              const struct rpc_config *config, GError **error)
{
  struct rpc_node *node = g_new0 (struct rpc_node, 1);

  node->loop = loop;
  node->tm = tm;
  node->counters = counters;
  node->budget = config->budget;
  node->instance = g_strdup (config->instance);
  node->incarnation = config->incarnation;
  node->auth = rpc_auth_new (config->key, config->key_bytes);
  node->replay = rpc_replay_new ();
  node->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, rpc_peer_free);
  node->accepted = g_hash_table_new (NULL, NULL);
  node->next_xid = 1;
  node->next_sequence = 1;
  node->next_connection_id = 1;
  if (rpc_server_listen (node, config->address, error))
    return node;
  rpc_node_free (node);
  return NULL;
}

/* Authenticate all records with KEY from now on.  Records under way under the
   former key are refused, and calls to a peer that still has it, too.  */
void
rpc_set_key (struct rpc_node *node, const void *key, size_t key_bytes)
{
  rpc_auth_set_key (node->auth, key, key_bytes);
}

/* Free NODE.  Calls in progress are not reported; received calls must have
   been replied to.  The loop must run once more to close the handles.  */
void
rpc_node_free (struct rpc_node *node)
{
  if (node == NULL)
    return;
  g_hash_table_destroy (node->peers);
  rpc_server_close (node);
  g_hash_table_destroy (node->accepted);
  rpc_replay_free (node->replay);
  rpc_auth_free (node->auth);
  g_free (node->instance);
  g_free (node);
}

/* Serve calls of PROCEDURE with ARG from now on.  */
void
rpc_register (struct rpc_node *node, const struct rpc_procedure *procedure,
              void *arg)
{
  struct rpc_entry entry = { *procedure, arg, true };

  g_assert (procedure->number > 0 && procedure->number < RPC_PROCEDURE_MAX);
  node->entries[procedure->number] = entry;
}

/* Return the address on which NODE listens, "IP:PORT".  */
const char *
rpc_address (const struct rpc_node *node)
{
  return node->address;
}

/* Return the bytes of all records sent, without TCP and IP headers.  */
uint64_t
rpc_bytes_sent (const struct rpc_node *node)
{
  return node->bytes_sent;
}

/* Return the bytes of all records received, without TCP and IP headers.  */
uint64_t
rpc_bytes_received (const struct rpc_node *node)
{
  return node->bytes_received;
}
