#include "dsp_impl.h"

#define DSP_SECOND_US 1000000
/* Cleared suspicions are collected for this time and sent in one message.  */
#define DSP_CLEARED_DELAY_US 200000

static void dsp_every_second (void *arg);

static void
dsp_endpoint_ejected (void *arg, const char *address, bool ejected)
{
  struct dsp *dsp = arg;
  struct rt_endpoint *endpoint = rt_endpoint (dsp->routes, address);

  rt_set_ejected (dsp->routes, endpoint, ejected);
  ctr_add (dsp->counters,
           ejected ? "ejections_total" : "ejections_ended_total", 1);
  dsp->actions.ejected (dsp->arg, address, ejected);
  if (!ejected)
    dsp_wake_endpoint (dsp, endpoint);
}

/* Probe the endpoint at ADDRESS with a model that is ready there.  An endpoint
   without a ready replica cannot be probed, and is reinstated at once: routing
   selects only ready replicas.  */
static void
dsp_probe (void *arg, const char *address)
{
  struct dsp *dsp = arg;
  const struct rt_endpoint *endpoint = rt_endpoint (dsp->routes, address);

  for (guint i = 0; i < endpoint->replicas->len; i++)
    {
      const struct rt_replica *r = g_ptr_array_index (endpoint->replicas, i);

      if (!r->ready)
        continue;
      dsp->actions.probe (dsp->arg, address, rt_model_name (r->model));
      return;
    }
  hlt_probe_done (dsp->health, address, true, 0);
}

static void
dsp_report_changed (void *arg)
{
  struct dsp *dsp = arg;
  GArray *pending = dsp->changed_suspects;

  if (pending->len == 0)
    return;
  dsp->changed_suspects
      = g_array_new (FALSE, FALSE, sizeof (struct dsp_suspect));
  dsp->actions.suspects (dsp->arg, (const struct dsp_suspect *)pending->data,
                         pending->len, 0);
  g_array_free (pending, TRUE);
}

static void
dsp_suspicion_changed (void *arg, uint64_t fingerprint, uint32_t crashes)
{
  struct dsp *dsp = arg;
  struct dsp_suspect suspect = { fingerprint, crashes };

  if (crashes > 0)
    ctr_add (dsp->counters, "suspicions_total", 1);
  g_array_append_val (dsp->changed_suspects, suspect);
  if (!tm_pending (&dsp->suspects_timer))
    tm_after (dsp->tm, &dsp->suspects_timer, DSP_CLEARED_DELAY_US,
              dsp_report_changed, dsp);
}

/* Return a dispatcher without endpoints or models that calls ACTIONS with ARG,
   updates COUNTERS and draws random numbers from RANDOM.  */
struct dsp *
dsp_new (struct tm_service *tm, gsl_rng *random, struct ctr_set *counters,
         const struct dsp_actions *actions, void *arg)
{
  static const struct hlt_actions health = { dsp_endpoint_ejected, dsp_probe };
  static const struct adm_actions admission
      = { dsp_admit, dsp_refuse_waiting };
  struct dsp *dsp = g_new0 (struct dsp, 1);

  dsp->tm = tm;
  dsp->counters = counters;
  dsp->actions = *actions;
  dsp->arg = arg;
  dsp->routes = rt_new (tm, random);
  dsp->health = hlt_new (tm, &health, dsp);
  dsp->queues = adm_new (tm, &admission, dsp);
  dsp->budgets = rty_new (tm);
  dsp->suspicions = psn_new (tm, dsp_suspicion_changed, dsp);
  dsp->first_token = hst_new ("first_token_ms");
  dsp->queue_time = hst_new ("queue_time_ms");
  dsp->models = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       dsp_model_free);
  dsp->reporting = g_hash_table_new (g_int64_hash, g_int64_equal);
  dsp->changed_suspects
      = g_array_new (FALSE, FALSE, sizeof (struct dsp_suspect));
  dsp->demands = g_array_new (FALSE, FALSE, sizeof (struct adm_demand));
  tm_after (tm, &dsp->second_timer, DSP_SECOND_US, dsp_every_second, dsp);
  return dsp;
}

/* Free DSP, which must have no active requests.  */
void
dsp_free (struct dsp *dsp)
{
  if (dsp == NULL)
    return;
  tm_cancel (dsp->tm, &dsp->second_timer);
  tm_cancel (dsp->tm, &dsp->suspects_timer);
  hst_flush (dsp->first_token, dsp->counters);
  hst_flush (dsp->queue_time, dsp->counters);
  hst_free (dsp->first_token);
  hst_free (dsp->queue_time);
  hlt_free (dsp->health);
  rt_free (dsp->routes);
  adm_free (dsp->queues);
  rty_free (dsp->budgets);
  psn_free (dsp->suspicions);
  g_hash_table_destroy (dsp->models);
  g_hash_table_destroy (dsp->reporting);
  g_array_free (dsp->changed_suspects, TRUE);
  g_array_free (dsp->demands, TRUE);
  g_free (dsp);
}

/* Increment the counter NAME with the label CLASS_NAME.  */
void
dsp_count (struct dsp *dsp, const char *name, const char *class_name)
{
  char full[256];

  g_snprintf (full, sizeof full, "%s{class=\"%s\"}", name, class_name);
  ctr_add (dsp->counters, full, 1);
}

static void
dsp_collect_demand (void *arg, const struct adm_demand *demand)
{
  g_array_append_vals (arg, demand, 1);
}

/* Report the current demand of all models, if any.  */
void
dsp_report_demand (struct dsp *dsp)
{
  g_array_set_size (dsp->demands, 0);
  adm_collect_demands (dsp->queues, dsp_collect_demand, dsp->demands);
  if (dsp->demands->len > 0)
    dsp->actions.demand (dsp->arg,
                         (const struct adm_demand *)dsp->demands->data,
                         dsp->demands->len);
}

static void
dsp_every_second (void *arg)
{
  struct dsp *dsp = arg;

  hst_flush (dsp->first_token, dsp->counters);
  hst_flush (dsp->queue_time, dsp->counters);
  ctr_set_gauge (dsp->counters, "requests_waiting", adm_waiting (dsp->queues));
  ctr_set_gauge (dsp->counters, "requests_active", dsp->active);
  dsp_report_demand (dsp);
  tm_after (dsp->tm, &dsp->second_timer, DSP_SECOND_US, dsp_every_second, dsp);
}

/* Limit the queues to WAITING_MAX requests, and retries to RETRY_PERCENT
   attempts per 100 requests.  */
void
dsp_set_limits (struct dsp *dsp, uint32_t waiting_max, uint32_t retry_percent)
{
  adm_set_limit (dsp->queues, waiting_max);
  rty_set_percent (dsp->budgets, retry_percent);
}

/* Configure the endpoint at ADDRESS as a member of POOL that runs up to BATCH
   requests concurrently.  */
void
dsp_add_endpoint (struct dsp *dsp, const char *address, const char *pool,
                  uint32_t batch)
{
  struct rt_endpoint *endpoint = rt_endpoint (dsp->routes, address);

  endpoint->configured = true;
  rt_set_batch (dsp->routes, endpoint, batch);
  hlt_add (dsp->health, pool, address);
}

/* Record the load, in requests, that the engine at ADDRESS reported AGE_MS
   ago.  */
void
dsp_report_load (struct dsp *dsp, const char *address, uint32_t running,
                 uint32_t waiting, uint32_t age_ms)
{
  rt_report_load (dsp->routes, rt_endpoint (dsp->routes, address), running,
                  waiting, age_ms);
}

/* Send no new requests to the endpoint at ADDRESS while it is LEAVING.  */
void
dsp_set_leaving (struct dsp *dsp, const char *address, bool leaving)
{
  struct rt_endpoint *endpoint = rt_endpoint (dsp->routes, address);

  rt_set_leaving (dsp->routes, endpoint, leaving);
  if (!leaving)
    dsp_wake_endpoint (dsp, endpoint);
}

/* Stop sending requests to the replica of MODEL at ADDRESS and, if MODEL is
   not an adapter, to its adapters there; return the number of requests in
   flight on them.  */
uint32_t
dsp_quiesce (struct dsp *dsp, const char *model, const char *address)
{
  return rt_quiesce (dsp->routes, model, address);
}

/* Handle the result of a probe of ADDRESS.  */
void
dsp_probe_done (struct dsp *dsp, const char *address, bool responded,
                uint64_t first_byte_us)
{
  hlt_probe_done (dsp->health, address, responded, first_byte_us);
}

/* Merge a peer's report of a suspected fingerprint, AGE_MS old.  */
void
dsp_merge_suspect (struct dsp *dsp, uint64_t fingerprint, uint32_t crashes,
                   uint32_t age_ms)
{
  psn_merge (dsp->suspicions, fingerprint, crashes, age_ms);
}

/* Return the number of requests that have not ended.  */
uint32_t
dsp_active (const struct dsp *dsp)
{
  return dsp->active;
}

struct rt_table *
dsp_routes (const struct dsp *dsp)
{
  return dsp->routes;
}

struct psn_table *
dsp_suspicions (const struct dsp *dsp)
{
  return dsp->suspicions;
}

struct adm_queues *
dsp_queues (const struct dsp *dsp)
{
  return dsp->queues;
}
