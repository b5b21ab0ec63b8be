#ifndef REGRESS_FAKE_KV_H
#define REGRESS_FAKE_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kv.h"
#include "tm.h"

/* An in-memory key-value store with leases, watches and injected faults.  It
   is driven by a timer service and replies only when that service advances. */
struct fake_kv;

/* Fault that is injected into a call.  */
enum fake_kv_fault
{
  FAKE_KV_NONE,
  FAKE_KV_UNAVAILABLE,    /* no effect, KV_UNAVAILABLE */
  FAKE_KV_REPLY_LOST,     /* effect, then KV_UNKNOWN after 2 s */
  FAKE_KV_REQUEST_LOST,   /* no effect, KV_UNKNOWN after 2 s */
  FAKE_KV_EFFECT_DELAYED, /* KV_UNKNOWN after 2 s, effect after 3 s */
  FAKE_KV_SLOW            /* effect and reply after 1.5 s */
};

struct fake_kv *fake_kv_new (struct tm_service *tm, uint64_t delay_us);
void fake_kv_free (struct fake_kv *kv);
struct kv_store fake_kv_store (struct fake_kv *kv);
void fake_kv_set_fault (struct fake_kv *kv, enum fake_kv_fault fault);
void fake_kv_inject_faults (struct fake_kv *kv, enum fake_kv_fault fault,
                            uint32_t count);
void fake_kv_cancel_calls (struct fake_kv *kv, const void *arg);
void fake_kv_expire (struct fake_kv *kv, int64_t lease);
void fake_kv_copy (struct fake_kv *kv);
void fake_kv_restore (struct fake_kv *kv);
void fake_kv_put (struct fake_kv *kv, const char *key, const char *value);
const char *fake_kv_value (const struct fake_kv *kv, const char *key);
int64_t fake_kv_revision (const struct fake_kv *kv, const char *key);
size_t fake_kv_count (const struct fake_kv *kv, const char *prefix);
uint64_t fake_kv_call_count (const struct fake_kv *kv);

#endif
