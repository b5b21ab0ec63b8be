#ifndef COWSLIP_HLT_H
#define COWSLIP_HLT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* Health of endpoints from observed times to the first byte.  */
struct hlt_health;

struct hlt_actions
{
  void (*ejected) (void *arg, const char *address, bool ejected);
  /* Send one small request to ADDRESS and call hlt_probed.  */
  void (*probe) (void *arg, const char *address);
};

struct hlt_health *hlt_new (struct tm_service *tm,
                            const struct hlt_actions *actions, void *arg);
void hlt_free (struct hlt_health *health);
void hlt_add (struct hlt_health *health, const char *pool,
              const char *address);
void hlt_remove (struct hlt_health *health, const char *address);
void hlt_sample (struct hlt_health *health, const char *address,
                 uint64_t first_byte_us);
void hlt_probed (struct hlt_health *health, const char *address, bool answered,
                 uint64_t first_byte_us);
uint64_t hlt_median_us (const struct hlt_health *health, const char *pool);
uint64_t hlt_p95_us (const struct hlt_health *health, const char *pool);
uint32_t hlt_ejected (const struct hlt_health *health, const char *pool);

#endif
