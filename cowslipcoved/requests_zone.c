#include <string.h>

#include "control.h"
#include "lg.h"
#include "peers.h"
#include "requests_impl.h"

#define CD_PROBE_TIMEOUT_MS 10000
#define CD_US_PER_MS        1000

/* Context of a message to all peers.  */
struct cd_suspects_message
{
  struct cd_daemon *daemon;
  uint64_t ticket;
};

/* Context of a probe in progress.  */
struct cd_probe
{
  struct cd_daemon *daemon;
  char *address;
  uint64_t started_us;
};

static void
cd_suspects_message_done (void *arg)
{
  struct cd_suspects_message *context = arg;

  if (context->ticket != 0 && context->daemon->requests != NULL)
    dsp_report_acked (context->daemon->requests->dsp, context->ticket);
  g_free (context);
}

/* Send the suspected fingerprints to all peers.  */
void
cd_requests_send_suspects (void *arg, const struct dsp_suspect *suspects,
                           uint32_t count, uint64_t ticket)
{
  const struct cd_requests *requests = arg;
  uint32_t used = MIN (count, COWSLIP_LIST_MAX);
  cs_suspect *list = g_new0 (cs_suspect, used + 1);
  cs_suspects message = { { used, list } };
  struct cd_suspects_message *context = g_new0 (struct cd_suspects_message, 1);

  for (uint32_t i = 0; i < used; i++)
    {
      list[i].fingerprint = suspects[i].fingerprint;
      list[i].crashes = suspects[i].crashes;
      if (suspects[i].crashes > 0)
        lg_write (LG_REQUEST_SUSPECTED, "fingerprint %016llx, %u crashes",
                  (unsigned long long)suspects[i].fingerprint,
                  suspects[i].crashes);
    }
  context->daemon = requests->daemon;
  context->ticket = ticket;
  cd_peers_send_suspects (requests->daemon, &message, cd_suspects_message_done,
                          context);
  g_free (list);
}

static void
cd_probe_done (void *arg, const struct http_response *response)
{
  struct cd_probe *probe = arg;
  struct cd_daemon *daemon = probe->daemon;

  if (daemon->requests != NULL)
    dsp_probe_done (daemon->requests->dsp, probe->address,
                    response->outcome == HTTP_COMPLETE
                        && response->status == 200,
                    tm_now_us (daemon->tm) - probe->started_us);
  g_free (probe->address);
  g_free (probe);
}

/* Request one token of MODEL from the ejected endpoint at ADDRESS.  The prompt
   has a unique prefix, because a cached prefix would make a slow engine appear
   fast.  */
void
cd_requests_send_probe (void *arg, const char *address, const char *model)
{
  const struct cd_requests *requests = arg;
  struct json_object *body = json_object_new_object ();
  struct cd_probe *probe = g_new0 (struct cd_probe, 1);
  char prompt[48];
  struct http_header headers[]
      = { { "content-type", "application/json" }, { NULL, NULL } };
  struct http_request request = { .method = "POST",
                                  .address = address,
                                  .path = "/v1/completions",
                                  .headers = headers,
                                  .timeout_ms = CD_PROBE_TIMEOUT_MS };

  json_object_object_add (body, "model", json_object_new_string (model));
  (void)g_snprintf (prompt, sizeof prompt, "%016" G_GINT64_MODIFIER "x probe",
                    tm_now_us (requests->daemon->tm)
                        ^ requests->daemon->incarnation);
  json_object_object_add (body, "prompt", json_object_new_string (prompt));
  json_object_object_add (body, "max_tokens", json_object_new_int (1));
  request.body = json_object_to_json_string (body);
  request.body_bytes = strlen (request.body);
  probe->daemon = requests->daemon;
  probe->address = g_strdup (address);
  probe->started_us = tm_now_us (requests->daemon->tm);
  ctr_add (requests->daemon->counters, "probes_total", 1);
  (void)http_fetch (requests->daemon->client, &request, cd_probe_done, probe);
  json_object_put (body);
}

/* The endpoint at ADDRESS was ejected or readmitted.  */
void
cd_requests_ejected (void *arg, const char *address, bool ejected)
{
  const struct cd_requests *requests = arg;

  cd_control_set_slow (requests->daemon, address, ejected);
  lg_write (ejected ? LG_ENDPOINT_EJECTED : LG_ENDPOINT_READMITTED, "%s",
            address);
}

/* ADDRESS refused a connection, which is the first sign that it is
   leaving.  */
void
cd_requests_unreachable (void *arg, const char *address)
{
  const struct cd_requests *requests = arg;

  dsp_set_leaving (requests->dsp, address, true);
  cd_peers_set_leaving (requests->daemon, address, true);
}

/* Report demand to the zone's controller.  */
void
cd_requests_report_demand (void *arg, const struct adm_demand *demands,
                           uint32_t count)
{
  const struct cd_requests *requests = arg;
  uint64_t now_us = tm_now_us (requests->daemon->tm);
  uint32_t used = MIN (count, COWSLIP_LIST_MAX);
  cs_demand *list = g_new0 (cs_demand, used);

  for (uint32_t i = 0; i < used; i++)
    {
      const struct adm_demand *d = &demands[i];

      list[i].model = (char *)d->model;
      list[i].waiting = d->waiting;
      list[i].priority = d->priority;
      list[i].arrivals = d->arrivals;
      if (d->waiting > 0 && d->earliest_us > now_us)
        list[i].earliest_ms = (u_int)MIN (
            (d->earliest_us - now_us) / CD_US_PER_MS, UINT32_MAX);
    }
  cd_control_report_demand (requests->daemon, list, used);
  g_free (list);
}

static void
cd_requests_on_view (void *arg, const void *what)
{
  const struct cd_requests *requests = arg;

  dsp_apply_view (requests->dsp, what);
}

static void
cd_requests_add_pool (const struct cd_requests *requests,
                      const struct env_pool *pool)
{
  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct env_endpoint *e = g_ptr_array_index (pool->endpoints, i);

      if (g_str_equal (e->zone, requests->daemon->settings->zone))
        dsp_add_endpoint (requests->dsp, e->address, pool->name, pool->batch);
    }
}

static void
cd_requests_on_document (void *arg, const void *what)
{
  const struct cd_requests *requests = arg;
  const struct env_document *document = what;
  const struct env_limits *limits = env_limits (document);
  const GPtrArray *pools = env_pools (document);
  const GPtrArray *models = env_models (document);
  const GPtrArray *adapters = env_adapters (document);
  const struct vw_view *view = NULL;

  dsp_set_limits (requests->dsp, limits->waiting_max, limits->retry_percent);
  dsp_configure_begin (requests->dsp);
  for (guint i = 0; i < pools->len; i++)
    cd_requests_add_pool (requests, g_ptr_array_index (pools, i));
  for (guint i = 0; i < models->len; i++)
    {
      const struct env_model *model = g_ptr_array_index (models, i);

      dsp_add_model (requests->dsp, model->name,
                     env_budget (model, requests->daemon->settings->zone));
    }
  for (guint i = 0; i < adapters->len; i++)
    {
      const struct env_adapter *adapter = g_ptr_array_index (adapters, i);

      dsp_add_adapter (
          requests->dsp, adapter->name, adapter->model->name,
          env_budget (adapter->model, requests->daemon->settings->zone));
    }
  dsp_configure_end (requests->dsp);
  /* A view received before the document may name models that were unknown
     then, so it is applied again.  */
  if (requests->daemon->control != NULL)
    view = cd_control_view (requests->daemon);
  if (view != NULL)
    dsp_apply_view (requests->dsp, view);
}

static void
cd_requests_on_load (void *arg, const void *what)
{
  const struct cd_requests *requests = arg;
  const struct cd_load *load = what;

  dsp_report_load (requests->dsp, load->endpoint, load->running, load->waiting,
                   load->age_ms);
}

static void
cd_requests_on_leaving (void *arg, const void *what)
{
  const struct cd_requests *requests = arg;
  const struct cd_leaving *leaving = what;

  dsp_set_leaving (requests->dsp, leaving->endpoint, leaving->leaving);
}

static void
cd_requests_on_suspects (void *arg, const void *what)
{
  const struct cd_requests *requests = arg;
  const cs_suspects *received = what;

  for (u_int i = 0; i < received->suspects.suspects_len; i++)
    {
      const cs_suspect *s = &received->suspects.suspects_val[i];

      dsp_merge_suspect (requests->dsp, s->fingerprint, s->crashes, s->age_ms);
    }
}

static void
cd_requests_on_drain (void *arg, const void *what)
{
  struct cd_requests *requests = arg;

  (void)what;
  requests->drain_us = tm_now_us (requests->daemon->tm);
}

/* Subscribe to the daemon's events and apply the current document.  */
void
cd_requests_subscribe (struct cd_requests *requests)
{
  struct cd_daemon *daemon = requests->daemon;

  cd_subscribe (daemon, CD_VIEW, cd_requests_on_view, requests);
  cd_subscribe (daemon, CD_DOCUMENT, cd_requests_on_document, requests);
  cd_subscribe (daemon, CD_LOAD, cd_requests_on_load, requests);
  cd_subscribe (daemon, CD_LEAVING, cd_requests_on_leaving, requests);
  cd_subscribe (daemon, CD_SUSPECTS, cd_requests_on_suspects, requests);
  cd_subscribe (daemon, CD_DRAIN, cd_requests_on_drain, requests);
  if (daemon->peers != NULL && cd_document (daemon) != NULL)
    cd_requests_on_document (requests, cd_document (daemon));
}
