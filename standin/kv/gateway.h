#ifndef STANDIN_KV_GATEWAY_H
#define STANDIN_KV_GATEWAY_H

#include "standin.h"
#include "store.h"

/* Stand-in for the platform's key-value service: the part of etcd's JSON
   gateway that cowslipcove uses, with rate limits and injected faults.  */

#define KVG_VALUE_MAX_BYTES (1U << 20)

/* Counts calls per second.  */
struct kvg_rate
{
  uint32_t limit; /* calls per second, 0: none */
  uint32_t peak;  /* highest count in a second */
  uint32_t count; /* in the current second */
  uint64_t second;
};

struct kvg_lease
{
  int64_t id;
  int64_t ttl_s;
  uint64_t due_us;
  struct tm_timer timer;
  struct kvg *gateway;
};

/* An open watch stream.  */
struct kvg_watch
{
  struct kvg *gateway;
  struct http_exchange *exchange;
  struct kvs_range range;
  struct tm_timer check;
};

/* The key-value service.  */
struct kvg
{
  struct stand_host host;
  struct stand_faults faults;
  struct kvs_store *store;
  GHashTable *leases; /* by id */
  GHashTable *watches;
  struct json_object *calls; /* count by kind */
  struct kvg_rate reads;
  struct kvg_rate writes;
  uint32_t watches_peak;
  GPtrArray *pending; /* exchanges left unanswered in an outage */
  int64_t next_lease; /* last lease id that was assigned */
};

void kvg_handle (void *arg, struct http_exchange *exchange);
struct json_object *kvg_header (const struct kvg *gateway);
struct json_object *kvg_entry_json (const struct kvs_entry *entry);
bool kvg_parse_range (struct json_object *request, struct kvs_range *range);
void kvg_range_clear (struct kvs_range *range);
void kvg_add_int64 (struct json_object *object, const char *key,
                    int64_t value);
struct json_object *kvg_get_field (struct json_object *object,
                                   const char *name, const char *snake_name);
struct json_object *kvg_run_range (struct kvg *gateway,
                                   struct json_object *request);
void kvg_error (struct http_exchange *exchange, uint16_t status, int32_t code,
                const char *message);

bool kvg_txn_writes (struct json_object *request);
const char *kvg_txn_validate (struct kvg *gateway,
                              struct json_object *request);
struct json_object *kvg_run_txn (struct kvg *gateway,
                                 struct json_object *request);

void kvg_lease_grant (struct kvg *gateway, struct http_exchange *exchange,
                      struct json_object *request);
void kvg_lease_keepalive (struct kvg *gateway, struct http_exchange *exchange,
                          struct json_object *request);
void kvg_lease_revoke (struct kvg *gateway, struct http_exchange *exchange,
                       struct json_object *request);
struct kvg_lease *kvg_lease (const struct kvg *gateway, int64_t id);
void kvg_lease_free (gpointer lease);

void kvg_watch_open (struct kvg *gateway, struct http_exchange *exchange,
                     struct json_object *request);
void kvg_watch_notify (void *arg, uint64_t first);
void kvg_watch_close_all (struct kvg *gateway);

#endif
