#include "gws.h"
#include "jsn.h"
#include "lg.h"
#include "mbg.h"

#define GWS_MS_PER_S          1000.0
#define GWS_TIME_MAX_S        3600.0
#define GWS_TIME_MAX_MS       3600000
#define GWS_LOG_LINES_DEFAULT 200
#define GWS_CORES_MAX         1024.0
#define GWS_PERCENT           100.0

static uint32_t
gws_count (struct jsn_reader *reader, const char *key, uint64_t max)
{
  return (uint32_t)jsn_number (reader, key,
                               (struct jsn_range){ 0, max, .required = true });
}

static uint32_t
gws_seconds_ms (struct jsn_reader *reader, const char *key)
{
  return (uint32_t)(jsn_fraction (reader, key, 0, GWS_TIME_MAX_S)
                    * GWS_MS_PER_S);
}

static void
gws_read (struct jsn_reader *reader, struct gws_settings *settings)
{
  (void)jsn_flag (reader, "gateway", false);
  settings->instance = jsn_name (reader, "instance");
  settings->zone = jsn_name (reader, "zone");
  settings->caller_address = jsn_address (reader, "caller_address", true);
  settings->ready_address = jsn_address (reader, "ready_address", true);
  settings->peer_address = jsn_address (reader, "peer_address", true);
  settings->metrics_address = jsn_address (reader, "metrics_address", true);
  settings->store_address = jsn_address (reader, "store_address", true);
  settings->grace_ms = gws_seconds_ms (reader, "grace_s");
  settings->orders_apart_ms
      = gws_count (reader, "orders_apart_ms", GWS_TIME_MAX_MS);
  settings->drain_ms = gws_count (reader, "drain_ms", GWS_TIME_MAX_MS);
  settings->config_apply_ms
      = gws_count (reader, "config_apply_ms", GWS_TIME_MAX_MS);
  settings->retry_ratio = jsn_fraction (reader, "retry_ratio", 0, 1);
  settings->retry_extra = gws_count (reader, "retry_extra", UINT16_MAX);
  settings->retry_window_ms = gws_seconds_ms (reader, "retry_window_s");
  settings->sockets_max = gws_count (reader, "sockets_max", UINT32_MAX);
  settings->memory_mb = mbg_read_memory_mb (reader);
  settings->cpu_percent
      = (uint32_t)(jsn_fraction (reader, "cpu_share", 0, GWS_CORES_MAX)
                   * GWS_PERCENT);
  settings->log_level = (uint32_t)jsn_number (
      reader, "log_level",
      (struct jsn_range){ LG_ERR, LG_DEBUG, false, LG_INFO });
  settings->log_lines_per_s = (uint32_t)jsn_number (
      reader, "log_lines_per_s",
      (struct jsn_range){ 1, UINT16_MAX, false, GWS_LOG_LINES_DEFAULT });
}

/* Parse and validate the BYTES at TEXT.  On failure return NULL and set ERROR,
   which names the line or key.  */
struct gws_settings *
gws_parse (const char *text, size_t bytes, GError **error)
{
  struct json_object *object = jsn_parse (text, bytes, error);
  struct gws_settings *settings;
  struct jsn_reader reader;

  if (object == NULL)
    return NULL;
  settings = g_new0 (struct gws_settings, 1);
  jsn_open (&reader, object, "");
  gws_read (&reader, settings);
  if (!jsn_close (&reader, error))
    {
      gws_free (settings);
      settings = NULL;
    }
  json_object_put (object);
  return settings;
}

/* Read and validate the settings in FILE.  On failure return NULL and set
   ERROR.  */
struct gws_settings *
gws_load (const char *file, GError **error)
{
  struct gws_settings *settings;
  char *text;
  size_t bytes;

  if (!g_file_get_contents (file, &text, &bytes, error))
    return NULL;
  settings = gws_parse (text, bytes, error);
  g_free (text);
  if (settings == NULL)
    g_prefix_error (error, "%s: ", file);
  return settings;
}

/* Return whether FILE contains the settings of a gateway; false if it cannot
   be read.  */
bool
gws_is_gateway (const char *file)
{
  struct json_object *object = NULL;
  struct json_object *flag;
  GError *error = NULL;
  char *text;
  size_t bytes;
  bool gateway;

  if (!g_file_get_contents (file, &text, &bytes, NULL))
    return false;
  object = jsn_parse (text, bytes, &error);
  gateway = json_object_object_get_ex (object, "gateway", &flag)
            && json_object_get_boolean (flag);
  json_object_put (object);
  g_clear_error (&error);
  g_free (text);
  return gateway;
}

/* Free SETTINGS, which may be NULL.  */
void
gws_free (struct gws_settings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->instance);
  g_free (settings->zone);
  g_free (settings->caller_address);
  g_free (settings->ready_address);
  g_free (settings->peer_address);
  g_free (settings->metrics_address);
  g_free (settings->store_address);
  g_free (settings);
}
