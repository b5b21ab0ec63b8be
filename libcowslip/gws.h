#ifndef COWSLIP_GWS_H
#define COWSLIP_GWS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Settings of one instance as a gateway.  */
struct gws_settings
{
  char *instance;
  char *zone;
  char *caller_address; /* "IP:PORT", as all addresses */
  char *ready_address;  /* asked by the balancer */
  char *peer_address;   /* calls of other instances */
  char *metrics_address;
  char *store_address;
  uint32_t grace_ms;        /* from SIGTERM to SIGKILL */
  uint32_t orders_apart_ms; /* between orders of two leaders to one engine */
  uint32_t drain_ms;        /* a leaving endpoint serves on this long */
  double retry_ratio;       /* repeated sends per request */
  uint32_t retry_extra;     /* repeated sends beyond that, of all instances */
  uint32_t retry_window_ms;
  uint32_t sockets_max;
  uint32_t cpu_percent; /* of a core that the process may use */
  uint32_t log_level;   /* syslog severity */
  uint32_t log_lines_per_s;
};

struct gws_settings *gws_load (const char *file, GError **error);
struct gws_settings *gws_parse (const char *text, size_t bytes,
                                GError **error);
bool gws_is_gateway (const char *file);
void gws_free (struct gws_settings *settings);

#endif
