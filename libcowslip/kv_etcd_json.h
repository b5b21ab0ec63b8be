#ifndef COWSLIP_KV_ETCD_JSON_H
#define COWSLIP_KV_ETCD_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "kv.h"

/* Encoding of messages for the etcd v3 JSON gateway: keys and values in
   base64, 64-bit integers as strings, fields with default values omitted.  */

enum kv_etcd_path
{
  KV_ETCD_RANGE,
  KV_ETCD_TXN,
  KV_ETCD_GRANT,
  KV_ETCD_KEEPALIVE,
  KV_ETCD_REVOKE,
  KV_ETCD_WATCH
};

const char *kv_etcd_path_text (enum kv_etcd_path path);
enum kv_etcd_path kv_etcd_txn_path (const struct kv_txn *txn);
struct json_object *kv_etcd_encode_txn (const struct kv_txn *txn);
struct json_object *kv_etcd_encode_number (const char *name, int64_t value);
struct json_object *kv_etcd_encode_watch (const char *prefix,
                                          int64_t from_revision);

struct json_object *kv_etcd_parse (const char *text, size_t bytes);
bool kv_etcd_number (struct json_object *object, const char *name,
                     int64_t *value);
GArray *kv_etcd_pairs_new (void);
bool kv_etcd_decode_txn (struct json_object *response, enum kv_etcd_path path,
                         GArray *pairs, struct kv_result *result);
bool kv_etcd_decode_lease (struct json_object *response, int64_t *lease,
                           int64_t *ttl_s);
bool kv_etcd_decode_event (struct json_object *event, struct kv_pair *pair,
                           bool *deleted);

#endif
