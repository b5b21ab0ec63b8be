#include "gw_impl.h"
#include "lg.h"

/* The leader watches the store promptly.  As long as it reaches the store, it
   sends beacons with its configuration version to the other instances.  An
   instance that receives beacons uses relaxed watches, which saves most of its
   calls to the store.  */

#define GW_BEACON_INTERVAL_MS 500
/* After this long without a beacon an instance watches the store promptly
   itself.  Including the wait of a prompt watch, a change that the failed
   leader did not announce is noticed within 2 s, by when it must be in
   force.  */
#define GW_BEACON_TIMEOUT_MS 1300
/* The same for the watch of the endpoint entries.  A new leader sends its
   first beacon within 3 s after the last one has failed.  */
#define GW_FLEET_BEACON_TIMEOUT_MS 4000
/* The watch delivers a new configuration at about the time of the beacon.  One
   that is still missing after this long is read.  */
#define GW_CONFIG_STALE_MS 150

static void
gw_set_pace (struct gw *gw, enum kv_pace pace)
{
  if (gw->pace == pace)
    return;
  gw->pace = pace;
  lg_write (pace == KV_PACE_PROMPT ? LG_BEACON_LOST : LG_BEACON_RECEIVED,
            "leader=%s age_ms=%" G_GUINT64_FORMAT,
            ldr_leader (gw->ldr) == NULL ? "-" : ldr_leader (gw->ldr),
            gw->last_beacon_us == 0
                ? 0
                : (tm_now_us (gw->tm) - gw->last_beacon_us) / GW_US_PER_MS);
  ldr_set_pace (gw->ldr,
                pace == KV_PACE_PROMPT ? KV_PACE_PROMPT : KV_PACE_DELAYED);
  kv_set_pace (&gw->kv, gw->config_watch, pace);
}

/* Endpoints update their entries continuously, so their watch is the most
   expensive one.  It is prompt at the leader, whose decisions depend on it,
   and at an instance that has received no beacon for
   GW_FLEET_BEACON_TIMEOUT_MS, because its connection may be dead.  */
static void
gw_set_fleet_pace (struct gw *gw, enum kv_pace pace)
{
  if (gw->fleet_pace == pace)
    return;
  gw->fleet_pace = pace;
  kv_set_pace (&gw->kv, gw->fleet_watch, pace);
}

static void
gw_beacon_timer_expired (void *arg)
{
  struct gw *gw = arg;
  cs_beacon beacon
      = { .config_version = gw->config == NULL ? 0 : gw->config->version };
  uint64_t since_beacon_us = tm_now_us (gw->tm) - gw->last_beacon_us;
  bool leads = ldr_is_confirmed (gw->ldr);

  tm_after (gw->tm, &gw->beacon_timer, GW_BEACON_INTERVAL_MS * GW_US_PER_MS,
            gw_beacon_timer_expired, gw);
  if (leads)
    gw_peers_beacon (gw, &beacon);
  if (gw->last_beacon_us == 0)
    since_beacon_us = UINT64_MAX;
  gw_set_pace (gw,
               leads || since_beacon_us > GW_BEACON_TIMEOUT_MS * GW_US_PER_MS
                   ? KV_PACE_PROMPT
                   : KV_PACE_RELAXED);
  gw_set_fleet_pace (
      gw, leads || since_beacon_us > GW_FLEET_BEACON_TIMEOUT_MS * GW_US_PER_MS
              ? KV_PACE_PROMPT
              : KV_PACE_FREQUENT);
}

/* Process the leader's BEACON.  */
void
gw_beacon_handle (struct gw *gw, const cs_beacon *beacon)
{
  uint64_t now_us = tm_now_us (gw->tm);
  uint64_t own_version = gw->config == NULL ? 0 : gw->config->version;

  gw->last_beacon_us = now_us;
  if (beacon->config_version <= own_version)
    gw->config_stale_us = 0;
  else if (gw->config_stale_us == 0)
    gw->config_stale_us = now_us;
  else if (now_us - gw->config_stale_us > GW_CONFIG_STALE_MS * GW_US_PER_MS)
    gw_config_refresh (gw);
}

/* Start the timer that sends beacons, at the leader, and checks for those of
   the leader.  */
void
gw_beacon_start (struct gw *gw)
{
  gw->pace = KV_PACE_PROMPT;
  tm_after (gw->tm, &gw->beacon_timer, GW_BEACON_INTERVAL_MS * GW_US_PER_MS,
            gw_beacon_timer_expired, gw);
}
