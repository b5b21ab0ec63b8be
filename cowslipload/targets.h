#ifndef COWSLIPLOAD_TARGETS_H
#define COWSLIPLOAD_TARGETS_H

#include <stdbool.h>

#include <glib.h>

#include "http_client.h"
#include "tm.h"

/* Target selection with optional readiness polling, like a load balancer.  */
struct ld_targets;

struct ld_targets *ld_targets_new (struct http_client *client,
                                   struct tm_service *tm,
                                   const GPtrArray *addresses,
                                   bool follow_ready);
void ld_targets_free (struct ld_targets *targets);
guint ld_targets_select (const struct ld_targets *targets, guint preferred);

#endif
