#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <openssl/rand.h>

#include "gw.h"
#include "gw_impl.h"
#include "lg.h"
#include "pf.h"

#define GW_SIGNAL_COUNT 3

/* Longest delay until a failed read of the configuration or of the entries is
   repeated.  The machine counts as connected to the store 3 s after an outage
   at the earliest.  */
#define GW_READ_RETRY_MAX_MS 1600

static struct gw gw_instance;
static uv_signal_t gw_signals[GW_SIGNAL_COUNT];

static void
gw_reload (struct gw *gw)
{
  GError *error = NULL;
  struct gws_settings *settings = gws_load (gw->settings_file, &error);

  if (settings == NULL)
    {
      lg_write (LG_SETTINGS_INVALID, "%s", error->message);
      g_error_free (error);
      return;
    }
  /* The other settings are bound to sockets and store records and need a
     restart.  */
  gw->settings->grace_ms = settings->grace_ms;
  gw->settings->drain_ms = settings->drain_ms;
  gw->settings->retry_ratio = settings->retry_ratio;
  gw->settings->retry_extra = settings->retry_extra;
  gw->settings->retry_window_ms = settings->retry_window_ms;
  gw->settings->log_level = settings->log_level;
  lg_set_threshold ((enum lg_severity)settings->log_level);
  lg_write (LG_RELOAD, "log_level=%u grace_ms=%u", settings->log_level,
            settings->grace_ms);
  gws_free (settings);
}

static void
gw_on_signal (uv_signal_t *handle, int number)
{
  if (number == SIGHUP)
    gw_reload (handle->data);
  else
    gw_drain (handle->data);
}

static void
gw_watch_signals (struct gw *gw)
{
  static const int numbers[GW_SIGNAL_COUNT] = { SIGTERM, SIGINT, SIGHUP };

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < GW_SIGNAL_COUNT; i++)
    {
      uv_signal_init (gw->loop, &gw_signals[i]);
      gw_signals[i].data = gw;
      uv_signal_start (&gw_signals[i], gw_on_signal, numbers[i]);
    }
}

static bool
gw_init_random (struct gw *gw)
{
  unsigned long seed;

  /* The incarnation is stored as a JSON integer, which is limited to 63
     bits.  */
  if (RAND_bytes ((unsigned char *)&gw->incarnation, sizeof gw->incarnation)
          != 1
      || RAND_bytes ((unsigned char *)&seed, sizeof seed) != 1)
    return false;
  gw->incarnation >>= 1;
  gw->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (gw->random, seed);
  return true;
}

static void
gw_start_modules (struct gw *gw)
{
  gw->fleet = flt_new (gw->tm);
  gw->budgets = rbg_new (gw->tm);
  gw->latencies = hst_new ("request_seconds");
  gw->decision_times = hst_new ("decision_seconds");
  gw->demand
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gw_demand_free);
  gw->requests = g_hash_table_new (g_direct_hash, g_direct_equal);
  gw->losses
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gw_loss_free);
  g_queue_init (&gw->waiting);
  g_queue_init (&gw->held);
  gw->started_us = tm_now_us (gw->tm);
  gw_blame_start (gw);
  gw_relay_start (gw);
  gw_lead_start (gw);
  gw_peers_start (gw);
  gw_config_start (gw);
  gw_fleet_start (gw);
  gw_demand_start (gw);
}

static bool
gw_start_network (struct gw *gw, GError **error)
{
  static const struct h1_server_events events
      = { .request = gw_on_request,
          .rejected = gw_on_rejected,
          .unfinished = gw_on_unfinished };

  gw->budget = mbg_new (gw->tm, gw->settings->memory_mb * GW_BYTES_PER_MB);
  gw->pool = h1_pool_new (gw->loop, gw->tm);
  h1_pool_set_budget (gw->pool, gw->budget);
  gw->callers = h1_server_new (gw->loop, gw->tm, gw->settings->caller_address,
                               &events, gw, error);
  if (gw->callers == NULL)
    return false;
  h1_server_set_budget (gw->callers, gw->budget);
  return gw_status_start (gw, error);
}

/* Return the delay until a read that has failed is repeated, in
   microseconds.  */
uint64_t
gw_read_retry_us (struct gw *gw, struct kv_backoff *backoff)
{
  /* MIN evaluates its arguments twice.  */
  uint64_t delay_us = kv_backoff_next_us (backoff, gw->random);

  return MIN (delay_us, GW_READ_RETRY_MAX_MS * GW_US_PER_MS);
}

/* Start GW, whose settings, loop, clock, protocol and store are set.  Return
   false and set ERROR if a listening address cannot be bound.  */
bool
gw_start (struct gw *gw, GError **error)
{
  if (!gw_start_network (gw, error))
    return false;
  gw_start_modules (gw);
  return true;
}

/* Set up GW's protocol and its client of the store.  */
static bool
gw_set_platform (struct gw *gw)
{
  gw->protocol = pf_protocol ();
  if (!gw_init_random (gw))
    return false;
  gw->store
      = pf_store_kv (pf_store_new (gw->client, gw->tm, gw->counters,
                                   gw->settings->store_address, gw->random));
  return true;
}

/* Run a gateway with the settings in SETTINGS_FILE until a signal stops it.
   MEMORY_MB replaces the memory of the machine in the settings, unless it is
   0. Return the exit status.  */
int
gw_run (const char *settings_file, uint32_t memory_mb)
{
  struct gw *gw = &gw_instance;
  GError *error = NULL;

  gw->settings_file = settings_file;
  gw->settings = gws_load (settings_file, &error);
  if (gw->settings == NULL)
    {
      fprintf (stderr, "cowslipcoved: %s\n", error->message);
      return EXIT_FAILURE;
    }
  if (memory_mb != 0)
    gw->settings->memory_mb = memory_mb;
  lg_set_threshold ((enum lg_severity)gw->settings->log_level);
  gw->loop = uv_default_loop ();
  tm_uv_start (&gw->clock, gw->loop);
  gw->tm = gw->clock.service;
  lg_set_rate_limit (gw->settings->log_lines_per_s);
  gw->counters = ctr_new ();
  gw->client = http_client_new (gw->loop, gw->tm);
  if (!gw_set_platform (gw))
    {
      fprintf (stderr, "cowslipcoved: cannot get random bytes\n");
      return EXIT_FAILURE;
    }
  if (!gw_start (gw, &error))
    {
      lg_write (LG_LISTEN_FAILED, "%s", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  gw_watch_signals (gw);
  lg_write (LG_START,
            "instance=%s zone=%s callers=%s peers=%s memory_mb=%u "
            "budget_bytes=%" G_GUINT64_FORMAT,
            gw->settings->instance, gw->settings->zone,
            gw->settings->caller_address, gw->settings->peer_address,
            gw->settings->memory_mb, mbg_limit_bytes (gw->budget, MBG_CLIENT));
  uv_run (gw->loop, UV_RUN_DEFAULT);
  lg_write (LG_STOP, "instance=%s", gw->settings->instance);
  return EXIT_SUCCESS;
}
