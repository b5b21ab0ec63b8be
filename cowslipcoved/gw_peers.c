#include <openssl/rand.h>

#include "gw_impl.h"
#include "lg.h"

/* One-way messages that cannot be sent within this time are dropped.  */
#define GW_PEER_TIMEOUT_MS 500

/* Return the number of instances, this one included.  */
uint32_t
gw_instance_count (const struct gw *gw)
{
  return MAX (ldr_members (gw->ldr)->len, 1);
}

/* Set this instance's share of the retry budgets.  The extra budget, which all
   instances share, is not used until their number is known.  */
static void
gw_set_budgets (struct gw *gw)
{
  uint32_t strength = ldr_peak_members (gw->ldr);
  struct rbg_limits limits
      = { .ratio = gw->settings->retry_ratio,
          .extra = strength == 0 ? 0 : gw->settings->retry_extra,
          .window_ms = gw->settings->retry_window_ms,
          .instances = strength };

  rbg_set_limits (gw->budgets, &limits);
}

static void
gw_peers_changed (void *arg)
{
  gw_set_budgets (arg);
  gw_relay_members_changed (arg);
}

static void
gw_peers_gained (void *arg, uint64_t fence)
{
  gw_lead_gained (arg, fence);
}

static void
gw_peers_lost (void *arg)
{
  (void)arg;
  lg_write (LG_LEADER_LOST, "reason=record_or_lease_gone");
}

static void
gw_report_received (void *arg, const struct rpc_origin *origin, void *args,
                    struct rpc_request *request)
{
  (void)request;
  gw_lead_update_demand (arg, origin->instance, args);
}

static void
gw_residency_received (void *arg, const struct rpc_origin *origin, void *args,
                       struct rpc_request *request)
{
  struct gw *gw = arg;

  (void)request;
  /* A notice of a former leader may be older than those of the current one. */
  if (g_strcmp0 (origin->instance, ldr_leader (gw->ldr)) == 0)
    gw_residency_changed (gw, args);
}

static void
gw_relay_received (void *arg, const struct rpc_origin *origin, void *args,
                   struct rpc_request *request)
{
  (void)request;
  gw_relay_handle (arg, origin, args);
}

static void
gw_peers_key_known (void *arg, const unsigned char *key, size_t bytes)
{
  static const struct rpc_procedure report
      = { COWSLIP_RESIDENCY_REPORT, (xdrproc_t)xdr_cs_residency_report,
          sizeof (cs_residency_report), NULL, gw_report_received };
  static const struct rpc_procedure news
      = { COWSLIP_RESIDENCY_NEWS, (xdrproc_t)xdr_cs_residency_news,
          sizeof (cs_residency_news), NULL, gw_residency_received };
  static const struct rpc_procedure relay
      = { COWSLIP_RELAY, (xdrproc_t)xdr_cs_relay, sizeof (cs_relay), NULL,
          gw_relay_received };
  struct gw *gw = arg;
  struct rpc_config config = { .instance = gw->settings->instance,
                               .incarnation = gw->incarnation,
                               .address = gw->settings->peer_address,
                               .key = key,
                               .key_bytes = bytes,
                               .budget = gw->budget };
  GError *error = NULL;

  if (gw->rpc != NULL)
    {
      lg_write (LG_PEER_KEY_CHANGED, "era=%" G_GINT64_FORMAT,
                kv_era (&gw->kv));
      rpc_set_key (gw->rpc, key, bytes);
      return;
    }
  gw->rpc = rpc_node_new (gw->loop, gw->tm, gw->counters, &config, &error);
  if (gw->rpc == NULL)
    {
      lg_write (LG_LISTEN_FAILED, "%s", error->message);
      g_error_free (error);
      uv_stop (gw->loop);
      return;
    }
  rpc_register (gw->rpc, &report, gw);
  rpc_register (gw->rpc, &news, gw);
  rpc_register (gw->rpc, &relay, gw);
  gw_blame_register (gw);
  gw_signs_register (gw);
}

/* Register this instance and join the leader election.  */
void
gw_peers_start (struct gw *gw)
{
  static const struct ldr_callbacks callbacks
      = { gw_peers_gained,  gw_peers_lost,      gw_peers_key_known,
          gw_peers_changed, gw_blame_keys_read, gw_blame_key_changed };
  struct ldr_config config
      = { .kv = gw->kv,
          .tm = gw->tm,
          .instance = gw->settings->instance,
          .zone = gw->settings->zone,
          .address = gw->settings->peer_address,
          .cpu_percent = gw->settings->cpu_percent,
          .incarnation = gw->incarnation,
          .reelection_delay_ms = gw->settings->orders_apart_ms };

  if (RAND_bytes (config.key, sizeof config.key) != 1)
    {
      lg_write (LG_LISTEN_FAILED, "cannot get random bytes");
      uv_stop (gw->loop);
      return;
    }
  gw->ldr = ldr_new (&config, &callbacks, gw);
  gw_set_budgets (gw);
}

/* Send a one-way message to the instance at ADDRESS.  */
void
gw_peers_send (struct gw *gw, const char *address, uint32_t procedure,
               xdrproc_t encode, void *args)
{
  struct rpc_call call = { .address = address,
                           .procedure = procedure,
                           .encode_args = encode,
                           .args = args,
                           .timeout_ms = GW_PEER_TIMEOUT_MS };

  rpc_send_one_way (gw->rpc, &call);
}

/* Send a one-way message to the other instances of the group and to the
   leader.  */
void
gw_peers_tell_group (struct gw *gw, uint32_t procedure, xdrproc_t encode,
                     void *args)
{
  const GPtrArray *members = ldr_members (gw->ldr);
  const char *leader = ldr_leader (gw->ldr);

  for (guint i = 0; gw->rpc != NULL && i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (!g_str_equal (member->instance, gw->settings->instance)
          && (gw_in_group (gw, member)
              || g_strcmp0 (member->instance, leader) == 0))
        gw_peers_send (gw, member->address, procedure, encode, args);
    }
}

/* Send REPORT to the leader, which may be this instance.  */
void
gw_peers_report (struct gw *gw, const cs_residency_report *report)
{
  const char *leader = ldr_leader (gw->ldr);
  const struct ldr_member *member
      = leader == NULL ? NULL : ldr_find_member (gw->ldr, leader);

  if (leader != NULL && g_str_equal (leader, gw->settings->instance))
    gw_lead_update_demand (gw, leader, report);
  else if (member != NULL && gw->rpc != NULL)
    gw_peers_send (gw, member->address, COWSLIP_RESIDENCY_REPORT,
                   (xdrproc_t)xdr_cs_residency_report, (void *)report);
}

/* Apply a notice and send it to the other instances that have requests for the
   model.  With 85 instances, sending it to each would cost the leader more
   than all its other work.  */
void
gw_peers_notify_residency (struct gw *gw, const cs_residency_news *news)
{
  const GPtrArray *members = ldr_members (gw->ldr);

  gw_residency_changed (gw, news);
  for (guint i = 0; gw->rpc != NULL && i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (!g_str_equal (member->instance, gw->settings->instance)
          && res_has_demand (gw->res, member->instance, news->model))
        gw_peers_send (gw, member->address, COWSLIP_RESIDENCY_NEWS,
                       (xdrproc_t)xdr_cs_residency_news, (void *)news);
    }
}
