#include "gw_impl.h"
#include "lg.h"

/* Fraction of the sockets that is available to callers; endpoints, peers and
   the store use the rest.  */
#define GW_CALLER_SOCKET_SHARE 0.5
/* Descriptors that are reserved for files.  */
#define GW_FILE_DESCRIPTORS 200

static void gw_config_read (void *arg);

static void
gw_config_install (struct gw *gw, struct rte_config *config)
{
  uint32_t sockets = gw->settings->sockets_max > GW_FILE_DESCRIPTORS
                         ? gw->settings->sockets_max - GW_FILE_DESCRIPTORS
                         : 1;
  struct h1_limits limits
      = { .head_max_bytes = config->head_max_bytes,
          .body_max_bytes = config->body_max_bytes,
          .head_timeout_ms = config->head_timeout_ms,
          .idle_timeout_ms = config->idle_timeout_ms,
          .connections_max = (uint32_t)(sockets * GW_CALLER_SOCKET_SHARE) };

  lg_write (LG_CONFIG_INSTALLED,
            "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
            " routes=%u services=%u",
            config->version, gw->config == NULL ? 0 : gw->config->version,
            config->routes->len, config->services->len);
  rte_config_unref (gw->config);
  gw->config = config;
  h1_server_set_limits (gw->callers, &limits);
  res_configure (gw->res, config);
  gw_release_held (gw);
  gw_dispatch_queued (gw);
}

/* Install the configuration in VALUE unless it is invalid or not newer than
   the current one.  */
static void
gw_config_apply (struct gw *gw, const char *value, size_t bytes,
                 int64_t revision)
{
  GError *error = NULL;
  struct rte_config *config = gw->protocol->read_config (value, bytes, &error);

  if (config == NULL)
    {
      lg_write (LG_CONFIG_REFUSED, "key=%s revision=%" G_GINT64_FORMAT " %s",
                gw->protocol->keys.config, revision, error->message);
      g_error_free (error);
    }
  else if (gw->config != NULL && config->version <= gw->config->version)
    {
      lg_write (LG_CONFIG_STALE, "version=%" G_GUINT64_FORMAT,
                config->version);
      rte_config_unref (config);
    }
  else
    gw_config_install (gw, config);
}

static void
gw_config_changed (void *arg, const struct kv_change *change)
{
  struct gw *gw = arg;

  if (change->value != NULL
      && g_str_equal (change->key, gw->protocol->keys.config))
    gw_config_apply (gw, change->value, change->value_bytes, change->revision);
}

static void
gw_config_watch_ended (void *arg)
{
  struct gw *gw = arg;

  gw->config_watch = NULL;
  gw_config_read (gw);
}

static void
gw_config_read_done (void *arg, const struct kv_result *result)
{
  struct gw *gw = arg;

  if (result->outcome != KV_OK)
    {
      tm_after (gw->tm, &gw->config_retry,
                gw_read_retry_us (gw, &gw->config_backoff), gw_config_read,
                gw);
      return;
    }
  kv_backoff_reset (&gw->config_backoff);
  if (result->pair_count > 0)
    gw_config_apply (gw, result->pairs[0].value, result->pairs[0].value_bytes,
                     result->pairs[0].revision);
  gw->config_watch = gw->kv.methods->watch (
      gw->kv.context, gw->protocol->keys.config, result->revision + 1,
      gw_config_changed, gw_config_watch_ended, gw);
}

static void
gw_config_read (void *arg)
{
  struct gw *gw = arg;

  kv_get (&gw->kv, gw->protocol->keys.config, gw_config_read_done, gw);
}

/* Read the operator's configuration and start to watch it.  */
void
gw_config_start (struct gw *gw)
{
  gw_config_read (gw);
}
