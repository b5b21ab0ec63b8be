#include "gw_impl.h"
#include "lg.h"

/* The leader follows the store promptly and tells the others that it lives and
   which configuration it knows, as long as it reaches the store.  They let the
   store keep their watches waiting for long, which saves most of the calls, as
   long as they hear the leader. */

#define GW_BEACON_MS 500
/* Without a beacon for this long an instance follows the store promptly
   itself.  With the prompt watch's wait, a change that is missed with the
   leader is heard within the 2 s in which it must be in force.  */
#define GW_BEACON_LOST_MS 1300
/* The same for the watch of the endpoints.  A new leader is heard within 3 s
   of the end of the last one.  */
#define GW_FLEET_LOST_MS 4000
/* The watch brings a new configuration at about the time of the beacon; one
   that is still missing after this is read.  */
#define GW_BEHIND_MS 150

static void
gw_set_pace (struct gw *gw, enum kv_pace pace)
{
  if (gw->pace == pace)
    return;
  gw->pace = pace;
  lg_write (pace == KV_PROMPT ? LG_BEACON_LOST : LG_BEACON_HEARD,
            "leader=%s age_ms=%" G_GUINT64_FORMAT,
            ldr_leader (gw->ldr) == NULL ? "-" : ldr_leader (gw->ldr),
            gw->beacon_us == 0
                ? 0
                : (tm_now_us (gw->tm) - gw->beacon_us) / GW_US_PER_MS);
  ldr_set_pace (gw->ldr, pace == KV_PROMPT ? KV_PROMPT : KV_RARE);
  kv_set_pace (&gw->kv, gw->config_watch, pace);
}

/* The endpoints change their entries all the time, so their watch costs most.
   Only the leader, which decides by it, follows it promptly, and an instance
   that has not heard a leader for so long that its connection may be dead.  */
static void
gw_set_fleet_pace (struct gw *gw, enum kv_pace pace)
{
  if (gw->fleet_pace == pace)
    return;
  gw->fleet_pace = pace;
  kv_set_pace (&gw->kv, gw->fleet_watch, pace);
}

static void
gw_beacon_due (void *arg)
{
  struct gw *gw = arg;
  cs_beacon beacon
      = { .config_version = gw->config == NULL ? 0 : gw->config->version };
  uint64_t silent_us = tm_now_us (gw->tm) - gw->beacon_us;
  bool leads = ldr_is_confirmed (gw->ldr);

  tm_after (gw->tm, &gw->beacon_timer, GW_BEACON_MS * GW_US_PER_MS,
            gw_beacon_due, gw);
  if (leads)
    gw_peers_beacon (gw, &beacon);
  if (gw->beacon_us == 0)
    silent_us = UINT64_MAX;
  gw_set_pace (gw, leads || silent_us > GW_BEACON_LOST_MS * GW_US_PER_MS
                       ? KV_PROMPT
                       : KV_RELAXED);
  gw_set_fleet_pace (gw, leads || silent_us > GW_FLEET_LOST_MS * GW_US_PER_MS
                             ? KV_PROMPT
                             : KV_BUSY);
}

/* The leader sent BEACON.  */
void
gw_beacon_heard (struct gw *gw, const cs_beacon *beacon)
{
  uint64_t now_us = tm_now_us (gw->tm);
  uint64_t known = gw->config == NULL ? 0 : gw->config->version;

  gw->beacon_us = now_us;
  if (beacon->config_version <= known)
    gw->behind_us = 0;
  else if (gw->behind_us == 0)
    gw->behind_us = now_us;
  else if (now_us - gw->behind_us > GW_BEHIND_MS * GW_US_PER_MS)
    gw_config_refresh (gw);
}

/* Send and expect beacons.  */
void
gw_beacon_start (struct gw *gw)
{
  gw->pace = KV_PROMPT;
  tm_after (gw->tm, &gw->beacon_timer, GW_BEACON_MS * GW_US_PER_MS,
            gw_beacon_due, gw);
}
