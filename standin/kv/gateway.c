#include <string.h>

#include "gateway.h"

#define KVG_GRPC_UNAVAILABLE        14
#define KVG_GRPC_RESOURCE_EXHAUSTED 8

enum kvg_outage
{
  KVG_OUTAGE_NONE,
  KVG_OUTAGE_UNAVAILABLE, /* responds with 503 */
  KVG_OUTAGE_UNRESPONSIVE /* does not respond */
};

typedef void (*kvg_call) (struct kvg *gateway, struct http_exchange *exchange,
                          struct json_object *request);

struct kvg_route
{
  const char *path;
  const char *kind;
  kvg_call call;
  bool write;
};

/* A call whose execution or response is delayed by a fault.  */
struct kvg_delayed
{
  struct kvg *gateway;
  struct http_exchange *exchange;
  struct json_object *body;
  kvg_call call; /* NULL: BODY is the response */
  struct tm_timer timer;
};

/* Respond to EXCHANGE with the HTTP status STATUS and an error body in the
   format of etcd's gateway, with the gRPC status CODE.  */
void
kvg_error (struct http_exchange *exchange, uint16_t status, int32_t code,
           const char *message)
{
  struct json_object *body = json_object_new_object ();

  stand_add_string (body, "error", message);
  stand_add_string (body, "message", message);
  stand_add_int (body, "code", code);
  stand_reply (exchange, status, body);
}

static void
kvg_delay_expired (void *arg)
{
  struct kvg_delayed *delayed = arg;

  if (delayed->call != NULL)
    {
      delayed->call (delayed->gateway, delayed->exchange, delayed->body);
      json_object_put (delayed->body);
    }
  else
    stand_reply (delayed->exchange, 200, delayed->body);
  g_free (delayed);
}

static void
kvg_delay (struct kvg *gateway, struct http_exchange *exchange,
           struct json_object *body, kvg_call call, int64_t delay_ms)
{
  struct kvg_delayed *delayed = g_new0 (struct kvg_delayed, 1);

  delayed->gateway = gateway;
  delayed->exchange = exchange;
  delayed->body = body;
  delayed->call = call;
  tm_after (gateway->host.tm, &delayed->timer,
            (uint64_t)delay_ms * STAND_US_PER_MS, kvg_delay_expired, delayed);
}

static void
kvg_respond (struct kvg *gateway, struct http_exchange *exchange,
             struct json_object *body)
{
  int64_t slow_ms = stand_fault_value (&gateway->faults, "slow_ms");

  if (slow_ms > 0)
    kvg_delay (gateway, exchange, body, NULL, slow_ms);
  else
    stand_reply (exchange, 200, body);
}

static void
kvg_call_range (struct kvg *gateway, struct http_exchange *exchange,
                struct json_object *request)
{
  struct kvs_range range;
  bool valid = kvg_parse_range (request, &range);

  kvg_range_clear (&range);
  if (valid)
    kvg_respond (gateway, exchange, kvg_run_range (gateway, request));
  else
    kvg_error (exchange, 400, 3, "etcdserver: key is not provided");
}

static void
kvg_call_txn (struct kvg *gateway, struct http_exchange *exchange,
              struct json_object *request)
{
  const char *reason = kvg_txn_validate (gateway, request);
  struct json_object *reply;

  if (reason != NULL)
    {
      kvg_error (exchange, 400, 3, reason);
      return;
    }
  reply = kvg_run_txn (gateway, request);
  if (!kvg_txn_writes (request)
      || !stand_fault_consume (&gateway->faults, "lose_answers"))
    {
      kvg_respond (gateway, exchange, reply);
      return;
    }
  json_object_put (reply);
  stand_reply_abort (exchange);
}

/* A lease keepalive counts as a read because etcd does not write it to its
   Raft log.  */
static const struct kvg_route kvg_routes[]
    = { { "/v3/kv/range", "range", kvg_call_range, false },
        { "/v3/kv/txn", "txn", kvg_call_txn, true },
        { "/v3/lease/grant", "lease_grant", kvg_lease_grant, true },
        { "/v3/lease/keepalive", "lease_keepalive", kvg_lease_keepalive,
          false },
        { "/v3/lease/revoke", "lease_revoke", kvg_lease_revoke, true },
        { "/v3/kv/lease/revoke", "lease_revoke", kvg_lease_revoke, true },
        { "/v3/watch", "watch", kvg_watch_open, false } };

static void
kvg_count (struct kvg *gateway, const char *kind)
{
  stand_add_int (gateway->calls, kind,
                 stand_get_int (gateway->calls, kind, 0) + 1);
}

static bool
kvg_rate_admit (struct kvg_rate *rate)
{
  uint64_t second = stand_now_us () / STAND_US_PER_S;

  if (rate->second != second)
    rate->count = 0;
  rate->second = second;
  rate->count++;
  if (rate->count > rate->peak)
    rate->peak = rate->count;
  return rate->limit == 0 || rate->count <= rate->limit;
}

static bool
kvg_outage (struct kvg *gateway, struct http_exchange *exchange)
{
  switch (stand_fault_value (&gateway->faults, "outage"))
    {
    case KVG_OUTAGE_NONE:
      return false;
    case KVG_OUTAGE_UNRESPONSIVE:
      g_ptr_array_add (gateway->pending, exchange);
      return true;
    default:
      kvg_error (exchange, 503, KVG_GRPC_UNAVAILABLE, "etcdserver: no leader");
      return true;
    }
}

/* Apply a change of the outage fault: close all watches when an outage starts,
   and abort the unanswered requests when it ends.  The exchanges are still
   valid because the server does not read from a connection, and so does not
   notice that it was closed, while a request is pending.  */
static void
kvg_outage_changed (struct kvg *gateway)
{
  if (stand_fault_value (&gateway->faults, "outage") != KVG_OUTAGE_NONE)
    {
      kvg_watch_close_all (gateway);
      return;
    }
  for (guint i = 0; i < gateway->pending->len; i++)
    stand_reply_abort (gateway->pending->pdata[i]);
  g_ptr_array_set_size (gateway->pending, 0);
}

static void
kvg_dispatch (struct kvg *gateway, const struct kvg_route *route,
              struct http_exchange *exchange)
{
  struct json_object *request = stand_parse_body (exchange);
  int64_t late_ms = stand_fault_value (&gateway->faults, "late_effect_ms");
  bool write;

  kvg_count (gateway, route->kind);
  if (request == NULL)
    {
      kvg_error (exchange, 400, 3, "not a JSON object");
      return;
    }
  write
      = route->call == kvg_call_txn ? kvg_txn_writes (request) : route->write;
  if (!kvg_rate_admit (write ? &gateway->writes : &gateway->reads))
    {
      kvg_count (gateway, "refused_by_rate");
      kvg_error (exchange, 429, KVG_GRPC_RESOURCE_EXHAUSTED,
                 "etcdserver: too many requests");
    }
  else if (write && late_ms > 0)
    {
      kvg_delay (gateway, exchange, request, route->call, late_ms);
      return;
    }
  else
    route->call (gateway, exchange, request);
  json_object_put (request);
}

static void
kvg_records_serve (struct kvg *gateway, struct http_exchange *exchange)
{
  struct json_object *records = json_object_new_object ();

  json_object_object_add (records, "calls", json_object_get (gateway->calls));
  stand_add_int (records, "reads_per_second_peak", gateway->reads.peak);
  stand_add_int (records, "writes_per_second_peak", gateway->writes.peak);
  stand_add_int (records, "watches", g_hash_table_size (gateway->watches));
  stand_add_int (records, "watches_peak", gateway->watches_peak);
  stand_add_int (records, "leases", g_hash_table_size (gateway->leases));
  stand_add_int (records, "revision", kvs_revision (gateway->store));
  stand_reply (exchange, 200, records);
}

/* Handle a request to the key-value service.  */
void
kvg_handle (void *arg, struct http_exchange *exchange)
{
  struct kvg *gateway = arg;

  if (stand_faults_serve (&gateway->faults, exchange))
    {
      kvg_outage_changed (gateway);
      return;
    }
  if (stand_request_is (exchange, "GET", "/records"))
    {
      kvg_records_serve (gateway, exchange);
      return;
    }
  if (kvg_outage (gateway, exchange))
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (kvg_routes); i++)
    if (stand_request_is (exchange, "POST", kvg_routes[i].path))
      {
        kvg_dispatch (gateway, &kvg_routes[i], exchange);
        return;
      }
  kvg_error (exchange, 404, 5, "Not Found");
}
