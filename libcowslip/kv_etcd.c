#include <string.h>

#include "kv_etcd_impl.h"

struct kv_etcd_call
{
  struct kv_etcd *kv; /* NULL: the client was freed */
  enum kv_etcd_path path;
  char *body;
  kv_done done;
  kv_lease_done lease_done;
  void *arg;
};

static const struct http_header kv_etcd_headers[]
    = { { "content-type", "application/json" }, { NULL, NULL } };

/* Return a client of the service at ADDRESS ("IP:PORT").  RANDOM provides its
   retry delays.  CLIENT, TM, COUNTERS and RANDOM must outlive it.  */
struct kv_etcd *
kv_etcd_new (struct http_client *client, struct tm_service *tm,
             struct ctr_set *counters, const char *address, gsl_rng *random)
{
  struct kv_etcd *kv = g_new0 (struct kv_etcd, 1);

  kv->client = client;
  kv->tm = tm;
  kv->monitor.counters = counters;
  kv->random = random;
  kv->address = g_strdup (address);
  kv->calls = g_ptr_array_new ();
  kv->watches = g_ptr_array_new_with_free_func (kv_etcd_watch_free);
  return kv;
}

/* Free KV.  Calls in progress are not reported; the HTTP client must exist
   until they have ended, which takes at most their timeout.  */
void
kv_etcd_free (struct kv_etcd *kv)
{
  if (kv == NULL)
    return;
  for (guint i = 0; i < kv->calls->len; i++)
    ((struct kv_etcd_call *)g_ptr_array_index (kv->calls, i))->kv = NULL;
  g_ptr_array_free (kv->calls, TRUE);
  g_ptr_array_free (kv->watches, TRUE);
  g_free (kv->address);
  g_free (kv);
}

/* Fill REQUEST for the call PATH with BODY, without a timeout.  */
void
kv_etcd_request (struct kv_etcd *kv, enum kv_etcd_path path, const char *body,
                 struct http_request *request)
{
  *request = (struct http_request){ .method = "POST",
                                    .address = kv->address,
                                    .path = kv_etcd_path_text (path),
                                    .headers = kv_etcd_headers,
                                    .body = body,
                                    .body_bytes = strlen (body) };
}

/* A 503 whose body mentions a timeout means that the service forwarded the
   write and does not know its outcome.  */
static bool
kv_etcd_timed_out (const struct http_response *response)
{
  return g_strstr_len (response->body, (gssize)response->body_bytes,
                       "timed out")
         != NULL;
}

static enum kv_outcome
kv_etcd_outcome (const struct http_response *response)
{
  if (!response->sent)
    return KV_UNAVAILABLE;
  if (response->outcome != HTTP_COMPLETE)
    return KV_UNKNOWN;
  if (response->status == 200)
    return KV_OK;
  if (response->status == 429 || response->status == 503)
    return kv_etcd_timed_out (response) ? KV_UNKNOWN : KV_UNAVAILABLE;
  return response->status >= 400 && response->status < 500 ? KV_UNAVAILABLE
                                                           : KV_UNKNOWN;
}

static void
kv_etcd_record_call (struct kv_etcd *kv, enum kv_etcd_path path,
                     const struct http_response *response,
                     enum kv_outcome outcome)
{
  kv_monitor (&kv->monitor, kv_etcd_path_text (path), response, outcome);
  /* A connection can be lost without a packet that signals it, and a watch on
     it would never report again.  A call that times out is a sign of such a
     loss.  */
  if (response->outcome == HTTP_TIMEOUT)
    kv_etcd_watches_reopen (kv);
}

static enum kv_outcome
kv_etcd_parse_txn (const struct kv_etcd_call *call,
                   struct json_object *response, GArray *pairs,
                   struct kv_result *result)
{
  if (response == NULL
      || !kv_etcd_decode_txn (response, call->path, pairs, result))
    return KV_UNKNOWN;
  result->pairs = (const struct kv_pair *)(const void *)pairs->data;
  result->pair_count = pairs->len;
  return result->outcome;
}

static enum kv_outcome
kv_etcd_parse_lease (const struct kv_etcd_call *call,
                     struct json_object *response, int64_t *lease)
{
  int64_t ttl_s;

  if (response == NULL || !kv_etcd_decode_lease (response, lease, &ttl_s))
    return KV_UNKNOWN;
  return call->path == KV_ETCD_KEEPALIVE && ttl_s <= 0 ? KV_CONFLICT : KV_OK;
}

static void
kv_etcd_call_done (void *arg, const struct http_response *response)
{
  struct kv_etcd_call *call = arg;
  struct kv_result result = { .outcome = kv_etcd_outcome (response) };
  GArray *pairs = kv_etcd_pairs_new ();
  struct json_object *body = NULL;
  int64_t lease = 0;

  if (result.outcome == KV_OK)
    {
      body = kv_etcd_parse (response->body, response->body_bytes);
      result.outcome = call->lease_done != NULL
                           ? kv_etcd_parse_lease (call, body, &lease)
                           : kv_etcd_parse_txn (call, body, pairs, &result);
      json_object_put (body);
    }
  if (call->kv != NULL)
    {
      kv_etcd_record_call (call->kv, call->path, response, result.outcome);
      g_ptr_array_remove_fast (call->kv->calls, call);
      if (call->lease_done != NULL)
        call->lease_done (call->arg, result.outcome, lease);
      else if (call->done != NULL)
        call->done (call->arg, &result);
    }
  g_array_free (pairs, TRUE);
  g_free (call->body);
  g_free (call);
}

static struct kv_etcd_call *
kv_etcd_call (struct kv_etcd *kv, enum kv_etcd_path path,
              struct json_object *body, void *arg)
{
  struct kv_etcd_call *call = g_new0 (struct kv_etcd_call, 1);
  struct http_request request;

  call->kv = kv;
  call->path = path;
  call->arg = arg;
  call->body = g_strdup (
      json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN));
  json_object_put (body);
  kv_etcd_request (kv, path, call->body, &request);
  request.timeout_ms = KV_ETCD_TIMEOUT_MS;
  g_ptr_array_add (kv->calls, call);
  (void)http_fetch (kv->client, &request, kv_etcd_call_done, call);
  return call;
}

static void
kv_etcd_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  kv_etcd_call (context, kv_etcd_txn_path (txn), kv_etcd_encode_txn (txn), arg)
      ->done
      = done;
}

static void
kv_etcd_lease_grant (void *context, uint32_t ttl_s, kv_lease_done done,
                     void *arg)
{
  kv_etcd_call (context, KV_ETCD_GRANT, kv_etcd_encode_number ("TTL", ttl_s),
                arg)
      ->lease_done
      = done;
}

static void
kv_etcd_lease_renew (void *context, int64_t lease, kv_lease_done done,
                     void *arg)
{
  kv_etcd_call (context, KV_ETCD_KEEPALIVE,
                kv_etcd_encode_number ("ID", lease), arg)
      ->lease_done
      = done;
}

static void
kv_etcd_lease_revoke (void *context, int64_t lease)
{
  (void)kv_etcd_call (context, KV_ETCD_REVOKE,
                      kv_etcd_encode_number ("ID", lease), NULL);
}

/* Return the store interface of KV, valid as long as KV.  */
struct kv_store
kv_etcd_store (struct kv_etcd *kv)
{
  static const struct kv_methods methods = {
    .txn = kv_etcd_txn,
    .lease_grant = kv_etcd_lease_grant,
    .lease_renew = kv_etcd_lease_renew,
    .lease_revoke = kv_etcd_lease_revoke,
    .watch = kv_etcd_watch_start,
    .unwatch = kv_etcd_watch_stop,
  };

  return (struct kv_store){ &methods, kv };
}
