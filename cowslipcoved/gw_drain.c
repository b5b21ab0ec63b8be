#include "gw_impl.h"
#include "lg.h"

#define GW_DRAIN_POLL_MS 50
/* The load balancer checks readiness once a second and removes an instance
   after two failed checks; new requests arrive until then.  */
#define GW_BALANCER_REMOVAL_MS 2500

/* End the remaining requests and stop the loop.  */
static void
gw_drain_end (struct gw *gw)
{
  GList *all = g_hash_table_get_keys (gw->requests);

  for (GList *item = all; item != NULL; item = item->next)
    gw_expire (item->data);
  g_list_free (all);
  uv_stop (gw->loop);
}

static void
gw_drain_poll (void *arg)
{
  struct gw *gw = arg;
  uint64_t since_ms = (tm_now_us (gw->tm) - gw->drain_start_us) / GW_US_PER_MS;
  uint32_t max_ms = gw->settings->grace_ms > GW_DRAIN_MARGIN_MS
                        ? gw->settings->grace_ms - GW_DRAIN_MARGIN_MS
                        : 0;

  if (since_ms >= GW_BALANCER_REMOVAL_MS)
    h1_server_close_idle (gw->callers);
  if (since_ms >= max_ms
      || (since_ms >= GW_BALANCER_REMOVAL_MS
          && h1_server_connections (gw->callers) == 0))
    {
      gw_drain_end (gw);
      return;
    }
  tm_after (gw->tm, &gw->drain_timer, GW_DRAIN_POLL_MS * GW_US_PER_MS,
            gw_drain_poll, gw);
}

/* Begin a graceful shutdown: readiness fails, leadership is resigned, requests
   in progress are finished, and the loop stops within the grace period.  */
void
gw_drain (struct gw *gw)
{
  if (gw->draining)
    return;
  gw->draining = true;
  gw->drain_start_us = tm_now_us (gw->tm);
  lg_write (LG_DRAIN, "requests=%u connections=%u",
            g_hash_table_size (gw->requests),
            h1_server_connections (gw->callers));
  h1_server_drain (gw->callers);
  ldr_resign (gw->ldr);
  gw_refuse_held (gw);
  gw_drain_poll (gw);
}
