#ifndef COWSLIP_HLT_H
#define COWSLIP_HLT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* Endpoint health: ejects endpoints whose time to first byte is far above the
   median of their pool, and reinstates them after a successful probe.  */
struct hlt_health;

struct hlt_actions
{
  void (*ejected) (void *arg, const char *address, bool ejected);
  /* Send one small request to ADDRESS and call hlt_probe_done.  */
  void (*probe) (void *arg, const char *address);
};

struct hlt_health *hlt_new (struct tm_service *tm,
                            const struct hlt_actions *actions, void *arg);
void hlt_free (struct hlt_health *health);
void hlt_add (struct hlt_health *health, const char *pool,
              const char *address);
void hlt_remove (struct hlt_health *health, const char *address);
void hlt_add_sample (struct hlt_health *health, const char *address,
                     uint64_t first_byte_us);
void hlt_probe_done (struct hlt_health *health, const char *address,
                     bool responded, uint64_t first_byte_us);
uint64_t hlt_median_us (const struct hlt_health *health, const char *pool);
uint64_t hlt_p95_us (const struct hlt_health *health, const char *pool);
uint32_t hlt_ejected_count (const struct hlt_health *health, const char *pool);

#endif
