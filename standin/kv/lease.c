#include "gateway.h"

#define KVG_GRPC_NOT_FOUND 5

/* Return the lease ID, or NULL if it does not exist or has expired.  */
struct kvg_lease *
kvg_lease (const struct kvg *gateway, int64_t id)
{
  return g_hash_table_lookup (gateway->leases, &id);
}

/* Free LEASE, which must have been removed from the table.  */
void
kvg_lease_free (gpointer lease)
{
  struct kvg_lease *removed = lease;

  tm_cancel (removed->gateway->host.tm, &removed->timer);
  g_free (removed);
}

static void
kvg_lease_remove (struct kvg *gateway, int64_t id)
{
  g_hash_table_remove (gateway->leases, &id);
  (void)kvs_delete_lease (gateway->store, id);
  kvs_commit (gateway->store);
}

static void kvg_lease_extend (struct kvg_lease *lease);

/* Key-value services differ in whether leases expire during an outage, so the
   fault outage_keeps_leases selects it.  */
static void
kvg_lease_expired (void *arg)
{
  struct kvg_lease *lease = arg;

  if (stand_fault_value (&lease->gateway->faults, "outage") != 0
      && stand_fault_value (&lease->gateway->faults, "outage_keeps_leases")
             != 0)
    {
      kvg_lease_extend (lease);
      return;
    }
  kvg_lease_remove (lease->gateway, lease->id);
}

static void
kvg_lease_extend (struct kvg_lease *lease)
{
  tm_after (lease->gateway->host.tm, &lease->timer,
            (uint64_t)lease->ttl_s * STAND_US_PER_S, kvg_lease_expired, lease);
}

static struct json_object *
kvg_lease_json (struct kvg *gateway, int64_t id, int64_t ttl_s)
{
  struct json_object *reply = json_object_new_object ();

  json_object_object_add (reply, "header", kvg_header (gateway));
  kvg_add_int64 (reply, "ID", id);
  kvg_add_int64 (reply, "TTL", ttl_s);
  return reply;
}

/* Handle a lease grant REQUEST.  */
void
kvg_lease_grant (struct kvg *gateway, struct http_exchange *exchange,
                 struct json_object *request)
{
  struct kvg_lease *lease;
  int64_t id = stand_get_int (request, "ID", 0);

  if (stand_get_int (request, "TTL", 0) <= 0)
    {
      kvg_error (exchange, 400, 3, "etcdserver: too small lease TTL");
      return;
    }
  if (id == 0)
    id = ++gateway->next_lease;
  if (kvg_lease (gateway, id) != NULL)
    {
      kvg_error (exchange, 412, 9, "etcdserver: lease already exists");
      return;
    }
  lease = g_new0 (struct kvg_lease, 1);
  lease->gateway = gateway;
  lease->id = id;
  lease->ttl_s = stand_get_int (request, "TTL", 0);
  g_hash_table_insert (gateway->leases, &lease->id, lease);
  kvg_lease_extend (lease);
  if (!stand_fault_consume (&gateway->faults, "lose_answers"))
    stand_reply (exchange, 200, kvg_lease_json (gateway, id, lease->ttl_s));
  else
    stand_reply_abort (exchange);
}

/* Handle a lease keepalive REQUEST.  The response for an expired lease has no
   TTL.  */
void
kvg_lease_keepalive (struct kvg *gateway, struct http_exchange *exchange,
                     struct json_object *request)
{
  int64_t id = stand_get_int (request, "ID", 0);
  struct kvg_lease *lease = kvg_lease (gateway, id);
  struct json_object *reply = json_object_new_object ();

  if (lease != NULL)
    kvg_lease_extend (lease);
  json_object_object_add (
      reply, "result",
      kvg_lease_json (gateway, id, lease == NULL ? 0 : lease->ttl_s));
  stand_reply (exchange, 200, reply);
}

/* Handle a lease revoke REQUEST.  */
void
kvg_lease_revoke (struct kvg *gateway, struct http_exchange *exchange,
                  struct json_object *request)
{
  int64_t id = stand_get_int (request, "ID", 0);
  struct json_object *reply;

  if (kvg_lease (gateway, id) == NULL)
    {
      kvg_error (exchange, 404, KVG_GRPC_NOT_FOUND,
                 "etcdserver: requested lease not found");
      return;
    }
  kvg_lease_remove (gateway, id);
  reply = json_object_new_object ();
  json_object_object_add (reply, "header", kvg_header (gateway));
  stand_reply (exchange, 200, reply);
}
