#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "rt_impl.h"
#include "rt_prefix.h"

/* The weight of a load report halves in this time.  */
#define RT_REPORT_HALF_LIFE_US 2000000.0
/* The endpoint that a prefix maps to is selected while its load exceeds the
   alternative's by at most this many requests, as it may have the prefix
   cached.  */
#define RT_PREFIX_SLACK 4.0
/* Limits the cost of a selection when many endpoints are not eligible.  */
#define RT_SCAN_MAX  32
#define RT_US_PER_MS 1000

static void
rt_endpoint_free (gpointer data)
{
  struct rt_endpoint *endpoint = data;

  g_ptr_array_free (endpoint->replicas, TRUE);
  g_free (endpoint->address);
  g_free (endpoint);
}

static void
rt_model_free (gpointer data)
{
  struct rt_model *model = data;

  for (int i = 0; i < RT_RANK_COUNT; i++)
    g_ptr_array_free (model->ranks[i], TRUE);
  g_ptr_array_free (model->sorted, TRUE);
  g_free (model->name);
  g_free (model);
}

/* Return an empty table that uses the clock TM and the random numbers of
   RANDOM.  */
struct rt_table *
rt_new (struct tm_service *tm, gsl_rng *random)
{
  struct rt_table *table = g_new0 (struct rt_table, 1);

  table->tm = tm;
  table->random = random;
  table->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            rt_endpoint_free);
  table->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, rt_model_free);
  return table;
}

/* Free TABLE and everything in it.  */
void
rt_free (struct rt_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->endpoints);
  g_hash_table_destroy (table->models);
  g_free (table);
}

/* Return the endpoint at ADDRESS, created if it does not exist.  */
struct rt_endpoint *
rt_endpoint (struct rt_table *table, const char *address)
{
  struct rt_endpoint *endpoint = rt_find_endpoint (table, address);

  if (endpoint != NULL)
    return endpoint;
  endpoint = g_new0 (struct rt_endpoint, 1);
  endpoint->address = g_strdup (address);
  endpoint->hash = XXH64 (address, strlen (address), 0);
  endpoint->replicas = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (table->endpoints, endpoint->address, endpoint);
  return endpoint;
}

/* Return the endpoint at ADDRESS, or NULL.  */
struct rt_endpoint *
rt_find_endpoint (const struct rt_table *table, const char *address)
{
  return g_hash_table_lookup (table->endpoints, address);
}

/* Return all endpoints by address.  */
GHashTable *
rt_endpoints (const struct rt_table *table)
{
  return table->endpoints;
}

const char *
rt_model_name (const struct rt_model *model)
{
  return model->name;
}

static enum rt_rank
rt_rank_of (const struct rt_endpoint *endpoint)
{
  if (endpoint->leaving
      || (endpoint->batch > 0 && endpoint->in_flight >= endpoint->batch))
    return RT_UNAVAILABLE;
  if (endpoint->ejected)
    return RT_EJECTED;
  if (endpoint->batch > 0
      && endpoint->stragglers >= MAX (1, endpoint->batch / 2))
    return RT_DEGRADED;
  return RT_NORMAL;
}

/* Remove REPLICA from the list of its rank.  */
void
rt_list_remove (struct rt_replica *replica)
{
  GPtrArray *list = replica->model->ranks[replica->rank];
  struct rt_replica *last = g_ptr_array_index (list, list->len - 1);

  last->index = replica->index;
  list->pdata[last->index] = last;
  g_ptr_array_set_size (list, (gint)list->len - 1);
}

/* Add REPLICA to the list of its endpoint's current rank.  */
void
rt_list_add (struct rt_replica *replica)
{
  GPtrArray *list;

  replica->rank = rt_rank_of (replica->endpoint);
  list = replica->model->ranks[replica->rank];
  replica->index = list->len;
  g_ptr_array_add (list, replica);
}

/* Move the ready replicas on ENDPOINT to the lists of its current rank.  */
static void
rt_rerank (struct rt_endpoint *endpoint)
{
  enum rt_rank rank = rt_rank_of (endpoint);

  for (guint i = 0; i < endpoint->replicas->len; i++)
    {
      struct rt_replica *replica = g_ptr_array_index (endpoint->replicas, i);

      if (!replica->ready || replica->rank == rank)
        continue;
      rt_list_remove (replica);
      rt_list_add (replica);
    }
}

/* Limit the requests in flight from this instance to ENDPOINT to BATCH; 0: no
   limit.  */
void
rt_set_batch (struct rt_table *table, struct rt_endpoint *endpoint,
              uint32_t batch)
{
  (void)table;
  endpoint->batch = batch;
  rt_rerank (endpoint);
}

/* Select no replica on ENDPOINT while it is LEAVING.  */
void
rt_set_leaving (struct rt_table *table, struct rt_endpoint *endpoint,
                bool leaving)
{
  (void)table;
  endpoint->leaving = leaving;
  rt_rerank (endpoint);
}

/* Select an EJECTED endpoint only if no other replica is available.  */
void
rt_set_ejected (struct rt_table *table, struct rt_endpoint *endpoint,
                bool ejected)
{
  (void)table;
  endpoint->ejected = ejected;
  rt_rerank (endpoint);
}

/* Record that ENDPOINT had RUNNING and WAITING requests AGE_MS ago.  Older
   reports than the last one are ignored.  */
void
rt_report_load (struct rt_table *table, struct rt_endpoint *endpoint,
                uint32_t running, uint32_t waiting, uint32_t age_ms)
{
  uint64_t now_us = tm_now_us (table->tm);
  uint64_t age_us = (uint64_t)age_ms * RT_US_PER_MS;
  uint64_t measured_us = age_us > now_us ? 0 : now_us - age_us;

  if (measured_us < endpoint->reported_us)
    return;
  endpoint->reported_load = running + waiting;
  endpoint->reported_us = measured_us;
}

/* Return the load estimate of ENDPOINT in requests: those in flight from this
   instance plus the last report, which decays with its age.  */
double
rt_score (const struct rt_table *table, const struct rt_endpoint *endpoint)
{
  uint64_t now_us = tm_now_us (table->tm);
  double age_us = (double)(now_us - endpoint->reported_us);

  if (endpoint->reported_load == 0 || now_us < endpoint->reported_us)
    return endpoint->in_flight + (double)endpoint->reported_load;
  return endpoint->in_flight
         + endpoint->reported_load * exp2 (-age_us / RT_REPORT_HALF_LIFE_US);
}

static bool
rt_is_eligible (const struct rt_criteria *criteria,
                const struct rt_replica *replica, bool untried)
{
  for (uint32_t i = 0; untried && i < criteria->tried_count; i++)
    if (criteria->tried[i] == replica->endpoint)
      return false;
  return criteria->allowed == NULL
         || criteria->allowed (criteria->arg, replica->endpoint);
}

/* Return the first eligible replica of LIST other than OTHER, starting at a
   random index, or NULL.  */
static struct rt_replica *
rt_scan (const struct rt_table *table, const GPtrArray *list,
         const struct rt_criteria *criteria, bool untried,
         const struct rt_replica *other)
{
  guint start;

  if (list->len == 0)
    return NULL;
  start = (guint)gsl_rng_uniform_int (table->random, list->len);
  for (guint i = 0; i < list->len && i < RT_SCAN_MAX; i++)
    {
      struct rt_replica *replica
          = g_ptr_array_index (list, (start + i) % list->len);

      if (replica != other && rt_is_eligible (criteria, replica, untried))
        return replica;
    }
  return NULL;
}

static struct rt_replica *
rt_pick_rank (const struct rt_table *table, const struct rt_model *model,
              const struct rt_criteria *criteria, enum rt_rank rank,
              bool untried)
{
  const GPtrArray *list = model->ranks[rank];
  struct rt_replica *best = rt_scan (table, list, criteria, untried, NULL);
  struct rt_replica *other;

  if (best == NULL)
    return NULL;
  other = rt_scan (table, list, criteria, untried, best);
  if (other != NULL
      && rt_score (table, other->endpoint) < rt_score (table, best->endpoint))
    best = other;
  if (criteria->prefix == 0)
    return best;
  other = rt_prefix_pick (model->sorted, criteria->prefix);
  if (other != NULL && other != best && other->rank == rank
      && rt_is_eligible (criteria, other, untried)
      && rt_score (table, other->endpoint)
             <= rt_score (table, best->endpoint) + RT_PREFIX_SLACK)
    return other;
  return best;
}

/* Return the replica of MODEL for a request with CRITERIA, or NULL if none has
   capacity.  A replica that was tried is selected only if no other is
   available.  */
struct rt_replica *
rt_pick (struct rt_table *table, const char *model,
         const struct rt_criteria *criteria)
{
  const struct rt_model *of = g_hash_table_lookup (table->models, model);
  bool again = criteria->tried_count > 0 && !criteria->only_untried;

  if (of == NULL)
    return NULL;
  for (int pass = 0; pass < (again ? 2 : 1); pass++)
    for (int rank = RT_NORMAL; rank < RT_UNAVAILABLE; rank++)
      {
        struct rt_replica *replica = rt_pick_rank (
            table, of, criteria, (enum rt_rank)rank, pass == 0);

        if (replica != NULL)
          return replica;
      }
  return NULL;
}

/* Count a request that starts on REPLICA, which stays valid until
   rt_end_request.  */
void
rt_begin_request (struct rt_table *table, struct rt_replica *replica)
{
  (void)table;
  replica->in_flight++;
  replica->endpoint->in_flight++;
  rt_rerank (replica->endpoint);
}

/* Remove a request that has ended on REPLICA.  */
void
rt_end_request (struct rt_table *table, struct rt_replica *replica)
{
  (void)table;
  replica->in_flight--;
  replica->endpoint->in_flight--;
  rt_rerank (replica->endpoint);
}

/* Count a request on REPLICA that becomes a straggler (STRAGGLES), or remove
   one that has ended.  */
void
rt_count_straggler (struct rt_table *table, struct rt_replica *replica,
                    bool straggles)
{
  (void)table;
  if (straggles)
    replica->endpoint->stragglers++;
  else
    replica->endpoint->stragglers--;
  rt_rerank (replica->endpoint);
}
