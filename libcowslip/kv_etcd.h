#ifndef COWSLIP_KV_ETCD_H
#define COWSLIP_KV_ETCD_H

#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "ctr.h"
#include "http_client.h"
#include "kv.h"
#include "tm.h"

#define KV_ETCD_TIMEOUT_MS 2000

/* Client of a key-value service through the etcd v3 JSON gateway.  */
struct kv_etcd;

struct kv_etcd *kv_etcd_new (struct http_client *client, struct tm_service *tm,
                             struct ctr_set *counters, const char *address,
                             gsl_rng *random);
void kv_etcd_free (struct kv_etcd *kv);
struct kv_store kv_etcd_store (struct kv_etcd *kv);

#endif
