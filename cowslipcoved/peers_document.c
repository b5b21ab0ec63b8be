#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "lg.h"
#include "peers_impl.h"

#define CD_FETCH_TIMEOUT_MS 3000

static_assert (CFG_CACHE_MAX_ENTRIES <= COWSLIP_ENTRIES_MAX
                   && CFG_CACHE_ENTRY_MAX_BYTES <= COWSLIP_ENTRY_MAX,
               "cached entries must fit into one reply");

struct cd_document_call
{
  struct cd_peers *peers;
  char address[RPC_ORIGIN_BYTES];
};

static bool
cd_document_install (void *arg, const struct cfg_document *offered)
{
  struct cd_peers *peers = arg;
  GError *error = NULL;
  struct env_document *document
      = env_parse_for (offered->text, offered->bytes,
                       peers->daemon->settings->environment, &error);

  if (document == NULL || strcmp (env_digest (document), offered->digest) != 0)
    {
      lg_write (LG_CONFIG_REFUSED, "generation=%" PRIu64 " %s",
                offered->generation,
                error != NULL ? error->message : "digest mismatch");
      g_clear_error (&error);
      env_unref (document);
      return false;
    }
  env_unref (peers->document);
  peers->document = document;
  peers->generation = offered->generation;
  cd_loads_map_endpoints (peers);
  lg_write (LG_CONFIG_INSTALLED, "generation=%" PRIu64 " digest=%s",
            offered->generation, offered->digest);
  mem_set_self (peers->table, offered->generation,
                mem_self (peers->table)->draining);
  cd_publish (peers->daemon, CD_DOCUMENT, document);
  return true;
}

static void
cd_document_apply_entries (const struct cd_document_call *call,
                           const cs_document *reply)
{
  struct cfg_entry entries[COWSLIP_ENTRIES_MAX];

  for (u_int i = 0; i < reply->entries.entries_len; i++)
    {
      entries[i].value = reply->entries.entries_val[i].value.value_val;
      entries[i].bytes = reply->entries.entries_val[i].value.value_len;
    }
  cfg_fetch_done_patches (call->peers->cfg, call->address, entries,
                          reply->entries.entries_len);
}

static void
cd_document_fetch_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct cd_document_call *call = arg;
  const cs_document *reply = result;
  struct cfg_document document = { 0 };

  if (outcome == RPC_OK && reply->entries.entries_len > 0)
    cd_document_apply_entries (call, reply);
  else if (outcome == RPC_OK && reply->text.text_len > 0)
    {
      document.generation = reply->generation;
      document.digest = reply->digest;
      document.text = reply->text.text_val;
      document.bytes = reply->text.text_len;
      cfg_fetch_done (call->peers->cfg, call->address, &document);
    }
  else
    cfg_fetch_done (call->peers->cfg, call->address, NULL);
  cd_peers_call_free (call->peers, call);
}

static void
cd_document_fetch (void *arg, const char *address)
{
  struct cd_peers *peers = arg;
  struct cd_document_call *call = cd_peers_call_new (peers, sizeof *call);
  const char *digest;
  cs_document_request request
      = { .environment = peers->daemon->settings->environment,
          .generation = cfg_fetch_base (peers->cfg, &digest) };
  struct rpc_call remote_call
      = { .address = address,
          .procedure = COWSLIP_GET_DOCUMENT,
          .encode_args = (xdrproc_t)xdr_cs_document_request,
          .args = &request,
          .decode_result = (xdrproc_t)xdr_cs_document,
          .result_bytes = sizeof (cs_document),
          .timeout_ms = CD_FETCH_TIMEOUT_MS };

  request.digest = (char *)digest;
  call->peers = peers;
  g_strlcpy (call->address, address, sizeof call->address);
  rpc_send (peers->daemon->rpc, &remote_call, cd_document_fetch_done, call);
}

static void
cd_document_ignored (void *arg, const struct cfg_document *document,
                     bool refused)
{
  const struct cd_peers *peers = arg;

  /* cd_document_install has logged the reason.  */
  if (refused && document->generation > peers->generation)
    return;
  lg_write (refused ? LG_CONFIG_REFUSED : LG_CONFIG_STALE,
            "generation=%" PRIu64 " digest=%s in_force=%" PRIu64,
            document->generation, document->digest, peers->generation);
}

/* Start the distribution of the configuration and return its state.  */
struct cfg_state *
cd_document_start (struct cd_peers *peers)
{
  static const struct cfg_callbacks callbacks
      = { cd_document_install, cd_document_fetch, cd_document_ignored };
  struct cd_daemon *daemon = peers->daemon;

  return cfg_new (daemon->tm, &daemon->kv, daemon->random,
                  daemon->settings->environment, &callbacks, peers);
}

/* Reply with the patches that lead from the generation in QUERY to the current
   one.  Return false if they are not available.  */
static bool
cd_document_reply_entries (const struct cd_peers *peers,
                           const cs_document_request *query,
                           struct rpc_request *request, cs_document *reply)
{
  GArray *patches
      = cfg_patches_since (peers->cfg, query->generation, query->digest);
  cs_entry entries[COWSLIP_ENTRIES_MAX];

  if (patches == NULL)
    return false;
  for (guint i = 0; i < patches->len; i++)
    {
      const struct cfg_entry *entry
          = &g_array_index (patches, struct cfg_entry, i);

      entries[i].value.value_val = (char *)entry->value;
      entries[i].value.value_len = (u_int)entry->bytes;
    }
  reply->entries.entries_val = entries;
  reply->entries.entries_len = patches->len;
  rpc_send_reply (request, reply);
  g_array_free (patches, TRUE);
  return true;
}

static void
cd_document_requested (void *arg, const struct rpc_origin *origin, void *args,
                       struct rpc_request *request)
{
  const struct cd_peers *peers = arg;
  const cs_document_request *query = args;
  cs_document reply = { .digest = (char *)"" };
  size_t bytes = 0;

  (void)origin;
  if (peers->document != NULL
      && strcmp (query->environment, peers->daemon->settings->environment)
             == 0)
    {
      reply.generation = peers->generation;
      reply.digest = (char *)env_digest (peers->document);
      if (query->generation == reply.generation
          && strcmp (query->digest, reply.digest) == 0)
        {
          rpc_send_reply (request, &reply);
          return;
        }
      if (cd_document_reply_entries (peers, query, request, &reply))
        return;
      reply.text.text_val = (char *)env_text (peers->document, &bytes);
      reply.text.text_len = (u_int)bytes;
    }
  rpc_send_reply (request, &reply);
}

/* Register the RPC procedure that returns the document in force.  */
void
cd_document_register (struct cd_peers *peers)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_GET_DOCUMENT, (xdrproc_t)xdr_cs_document_request,
          sizeof (cs_document_request), (xdrproc_t)xdr_cs_document,
          cd_document_requested };

  cd_peers_register (peers, &procedure);
}
