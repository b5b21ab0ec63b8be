#ifndef COWSLIP_KV_ETCD_IMPL_H
#define COWSLIP_KV_ETCD_IMPL_H

#include "kv_backoff.h"
#include "kv_etcd.h"
#include "kv_etcd_json.h"
#include "kv_monitor.h"

/* Shared by the source files of the etcd client.  */

struct kv_etcd
{
  struct http_client *client;
  struct tm_service *tm;
  gsl_rng *random;
  char *address;
  GPtrArray *calls;   /* struct kv_etcd_call in progress */
  GPtrArray *watches; /* struct kv_etcd_watch */
  struct kv_monitor monitor;
};

void kv_etcd_request (struct kv_etcd *kv, enum kv_etcd_path path,
                      const char *body, struct http_request *request);
void *kv_etcd_watch_start (void *context, const char *prefix,
                           int64_t from_revision, kv_changed changed,
                           kv_watch_ended ended, void *arg);
void kv_etcd_watch_stop (void *context, void *arg);
void kv_etcd_watches_reopen (struct kv_etcd *kv);
void kv_etcd_watch_free (void *arg);

#endif
