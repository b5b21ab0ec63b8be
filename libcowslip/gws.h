#ifndef COWSLIP_GWS_H
#define COWSLIP_GWS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Reads the settings file of an instance that runs as a gateway.  */
struct gws_settings
{
  char *instance;
  char *zone;
  char *caller_address; /* "IP:PORT", like all addresses below */
  char *ready_address;  /* readiness probes of the load balancer */
  char *peer_address;   /* RPC from other instances */
  char *metrics_address;
  char *store_address;
  uint32_t grace_ms;        /* between SIGTERM and SIGKILL */
  uint32_t orders_apart_ms; /* minimum time between orders of two leaders to
                               one engine */
  uint32_t drain_ms;        /* how long a draining endpoint keeps serving */
  uint32_t config_apply_ms; /* by when a configuration must be in force */
  double retry_ratio;       /* retries per request */
  uint32_t retry_extra;     /* further retries, shared by all instances */
  uint32_t retry_window_ms;
  uint32_t sockets_max;
  uint32_t memory_mb;   /* of the machine */
  uint32_t cpu_percent; /* CPU limit of the process; 100 is one core */
  uint32_t log_level;   /* syslog severity */
  uint32_t log_lines_per_s;
};

struct gws_settings *gws_load (const char *file, GError **error);
struct gws_settings *gws_parse (const char *text, size_t bytes,
                                GError **error);
bool gws_is_gateway (const char *file);
void gws_free (struct gws_settings *settings);

#endif
