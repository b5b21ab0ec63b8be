#include "gw_impl.h"
#include "lg.h"

/* Limits of the servers for readiness checks and metrics.  */
static const struct h1_limits gw_status_limits = { .head_max_bytes = 4096,
                                                   .body_max_bytes = 4096,
                                                   .head_timeout_ms = 5000,
                                                   .idle_timeout_ms = 15000,
                                                   .connections_max = 64 };

/* Part of the memory that these servers have for themselves, so that callers
   cannot use it up; their budget uses half of it.  */
#define GW_STATUS_MEMORY_DIVISOR 8

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
  h1_server_report (gw->callers, gw->counters);
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

/* Return a server for EVENTS on ADDRESS that takes its memory from RESERVE, or
   NULL.  */
static struct h1_server *
gw_status_listen (struct gw *gw, const char *address,
                  const struct h1_server_events *events,
                  struct mbg_budget *reserve, GError **error)
{
  struct h1_server *server
      = h1_server_new (gw->loop, gw->tm, address, events, gw, error);

  if (server == NULL)
    return NULL;
  h1_server_set_budget (server, reserve);
  h1_server_set_limits (server, &gw_status_limits);
  return server;
}

/* Start the servers for readiness checks and metrics.  Return false and set
   ERROR if an address cannot be bound.  */
bool
gw_status_start (struct gw *gw, GError **error)
{
  static const struct h1_server_events ready = { .request = gw_on_ready };
  static const struct h1_server_events metrics = { .request = gw_on_metrics };
  struct mbg_budget *reserve = mbg_new (
      gw->tm, mbg_memory_bytes (gw->budget) / GW_STATUS_MEMORY_DIVISOR);

  gw->ready = gw_status_listen (gw, gw->settings->ready_address, &ready,
                                reserve, error);
  if (gw->ready != NULL)
    gw->metrics = gw_status_listen (gw, gw->settings->metrics_address,
                                    &metrics, reserve, error);
  mbg_unref (reserve);
  return gw->metrics != NULL;
}
