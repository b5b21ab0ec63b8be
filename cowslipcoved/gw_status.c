#include "gw_impl.h"
#include "lg.h"

static bool
gw_is_ready (const struct gw *gw)
{
  return !gw->draining && gw_is_loaded (gw);
}

/* Answer a readiness check of the load balancer.  */
static void
gw_on_ready (void *arg, struct h1_exchange *exchange)
{
  struct gw *gw = arg;
  const char *target = h1_exchange_head (exchange)->target;
  bool known = g_str_equal (target, gw->protocol->ready_path);

  h1_respond (exchange,
              !known             ? 404
              : gw_is_ready (gw) ? 200
                                 : 503,
              NULL, 0, "");
}

static void
gw_on_metrics (void *arg, struct h1_exchange *exchange)
{
  struct gw *gw = arg;
  GString *text = g_string_new (NULL);

  ctr_set_gauge (gw->counters, "requests_under_way",
                 g_hash_table_size (gw->requests));
  ctr_set_gauge (gw->counters, "requests_waiting",
                 (int64_t)gw->waiting.length);
  ctr_set_gauge (gw->counters, "caller_connections",
                 h1_server_connections (gw->callers));
  ctr_set_gauge (gw->counters, "endpoint_connects_total",
                 (int64_t)h1_pool_connect_count (gw->pool));
  ctr_set_gauge (gw->counters, "responses_unmatched_total",
                 (int64_t)h1_pool_unmatched_count (gw->pool));
  ctr_set_gauge (gw->counters, "config_version",
                 gw->config == NULL ? 0 : (int64_t)gw->config->version);
  ctr_set_gauge (gw->counters, "endpoints", flt_all (gw->fleet)->len);
  ctr_set_gauge (gw->counters, "leader", ldr_is_leader (gw->ldr));
  ctr_set_gauge (gw->counters, "log_lines_dropped_total",
                 (int64_t)lg_dropped_lines ());
  hst_flush (gw->latencies, gw->counters);
  hst_flush (gw->decision_times, gw->counters);
  ctr_print (gw->counters, text);
  h1_respond (exchange, 200, NULL, 0, text->str);
  g_string_free (text, TRUE);
}

/* Start the servers for readiness checks and metrics.  Return false and set
   ERROR if an address cannot be bound.  */
bool
gw_status_start (struct gw *gw, GError **error)
{
  static const struct h1_server_events ready = { gw_on_ready, NULL };
  static const struct h1_server_events metrics = { gw_on_metrics, NULL };

  gw->ready = h1_server_new (gw->loop, gw->tm, gw->settings->ready_address,
                             &ready, gw, error);
  if (gw->ready == NULL)
    return false;
  gw->metrics = h1_server_new (gw->loop, gw->tm, gw->settings->metrics_address,
                               &metrics, gw, error);
  return gw->metrics != NULL;
}
