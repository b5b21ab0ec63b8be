#include <math.h>

#include "hlt.h"

#define HLT_AVERAGE_WEIGHT 0.2 /* of the newest sample in the average */
#define HLT_SAMPLES_MIN    5
#define HLT_SLOW_FACTOR    3.0
/* Hysteresis: lower than the ejection factor, so that an endpoint near the
   threshold does not flap.  A probe is one token on an idle endpoint.  */
#define HLT_RETURN_FACTOR    2.0
#define HLT_EJECT_INITIAL_US 5000000ULL
#define HLT_EJECT_MAX_US     60000000ULL
#define HLT_EJECT_DIVISOR    3 /* at most a third of a pool is ejected */
/* Samples are clipped to this multiple of the median, so that a single long
   request does not eject its endpoint, but several slow ones in a row do.  */
#define HLT_CLIP_FACTOR 4.0
/* Bucket bounds grow by a quarter, from 100 us to about 9 minutes.  */
#define HLT_BUCKETS        70
#define HLT_BUCKET_BASE_US 100.0
#define HLT_BUCKET_GROWTH  1.25
/* All histogram counts are halved when they add up to this, so that old
   samples lose weight.  */
#define HLT_HISTOGRAM_MAX 1000

struct hlt_pool
{
  char *name;
  GSequence *averages; /* struct hlt_endpoint with samples */
  uint32_t endpoints;
  uint32_t ejected;
  uint32_t histogram[HLT_BUCKETS];
  uint32_t histogram_total;
};

struct hlt_endpoint
{
  char *address;
  struct hlt_health *health;
  struct hlt_pool *pool;
  GSequenceIter *iter;
  double average_us;
  uint32_t samples;
  bool ejected;
  bool probing;
  uint64_t eject_us;
  uint64_t returned_us;
  struct tm_timer timer;
};

struct hlt_health
{
  struct tm_service *tm;
  struct hlt_actions actions;
  void *arg;
  GHashTable *pools;
  GHashTable *endpoints;
};

static void hlt_ejection_expired (void *arg);

static void
hlt_pool_free (gpointer data)
{
  struct hlt_pool *pool = data;

  g_sequence_free (pool->averages);
  g_free (pool->name);
  g_free (pool);
}

static void
hlt_endpoint_free (gpointer data)
{
  struct hlt_endpoint *endpoint = data;

  tm_cancel (endpoint->health->tm, &endpoint->timer);
  if (endpoint->iter != NULL)
    g_sequence_remove (endpoint->iter);
  endpoint->pool->endpoints--;
  if (endpoint->ejected)
    endpoint->pool->ejected--;
  g_free (endpoint->address);
  g_free (endpoint);
}

/* Return an empty health table that calls ACTIONS with ARG.  */
struct hlt_health *
hlt_new (struct tm_service *tm, const struct hlt_actions *actions, void *arg)
{
  struct hlt_health *health = g_new0 (struct hlt_health, 1);

  health->tm = tm;
  health->actions = *actions;
  health->arg = arg;
  health->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, hlt_pool_free);
  health->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                             hlt_endpoint_free);
  return health;
}

/* Free HEALTH.  */
void
hlt_free (struct hlt_health *health)
{
  if (health == NULL)
    return;
  g_hash_table_destroy (health->endpoints);
  g_hash_table_destroy (health->pools);
  g_free (health);
}

static struct hlt_pool *
hlt_pool (struct hlt_health *health, const char *name)
{
  struct hlt_pool *pool = g_hash_table_lookup (health->pools, name);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct hlt_pool, 1);
  pool->name = g_strdup (name);
  pool->averages = g_sequence_new (NULL);
  g_hash_table_insert (health->pools, pool->name, pool);
  return pool;
}

/* Add the endpoint at ADDRESS to POOL, and remove it from any other.  */
void
hlt_add (struct hlt_health *health, const char *pool, const char *address)
{
  struct hlt_endpoint *endpoint
      = g_hash_table_lookup (health->endpoints, address);

  if (endpoint != NULL && g_str_equal (endpoint->pool->name, pool))
    return;
  hlt_remove (health, address);
  endpoint = g_new0 (struct hlt_endpoint, 1);
  endpoint->address = g_strdup (address);
  endpoint->health = health;
  endpoint->pool = hlt_pool (health, pool);
  endpoint->pool->endpoints++;
  g_hash_table_insert (health->endpoints, endpoint->address, endpoint);
}

/* Remove the endpoint at ADDRESS and its samples.  */
void
hlt_remove (struct hlt_health *health, const char *address)
{
  g_hash_table_remove (health->endpoints, address);
}

static gint
hlt_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct hlt_endpoint *x = a;
  const struct hlt_endpoint *y = b;

  (void)unused;
  if (x->average_us != y->average_us)
    return x->average_us < y->average_us ? -1 : 1;
  return x < y ? -1 : x > y;
}

static double
hlt_pool_median (const struct hlt_pool *pool)
{
  gint count = g_sequence_get_length (pool->averages);
  const struct hlt_endpoint *middle;

  if (count == 0)
    return 0;
  middle = g_sequence_get (
      g_sequence_get_iter_at_pos (pool->averages, (count - 1) / 2));
  return middle->average_us;
}

static void
hlt_add_to_histogram (struct hlt_pool *pool, double sample_us)
{
  double bucket
      = sample_us <= HLT_BUCKET_BASE_US
            ? 0
            : log (sample_us / HLT_BUCKET_BASE_US) / log (HLT_BUCKET_GROWTH);

  pool->histogram[(int)MIN (bucket, HLT_BUCKETS - 1)]++;
  if (++pool->histogram_total < HLT_HISTOGRAM_MAX)
    return;
  pool->histogram_total = 0;
  for (int i = 0; i < HLT_BUCKETS; i++)
    {
      pool->histogram[i] /= 2;
      pool->histogram_total += pool->histogram[i];
    }
}

static void
hlt_update_average (struct hlt_endpoint *endpoint, double sample_us)
{
  double median_us = hlt_pool_median (endpoint->pool);

  if (median_us > 0)
    sample_us = MIN (sample_us, median_us * HLT_CLIP_FACTOR);
  if (endpoint->iter != NULL)
    g_sequence_remove (endpoint->iter);
  endpoint->average_us = endpoint->samples == 0
                             ? sample_us
                             : endpoint->average_us * (1 - HLT_AVERAGE_WEIGHT)
                                   + sample_us * HLT_AVERAGE_WEIGHT;
  endpoint->samples++;
  endpoint->iter = g_sequence_insert_sorted (endpoint->pool->averages,
                                             endpoint, hlt_compare, NULL);
}

static void
hlt_start_timer (struct hlt_endpoint *endpoint)
{
  tm_after (endpoint->health->tm, &endpoint->timer, endpoint->eject_us,
            hlt_ejection_expired, endpoint);
}

static void
hlt_eject (struct hlt_endpoint *endpoint)
{
  struct hlt_health *health = endpoint->health;
  uint64_t now_us = tm_now_us (health->tm);

  if (endpoint->eject_us == 0
      || now_us - endpoint->returned_us > HLT_EJECT_MAX_US)
    endpoint->eject_us = HLT_EJECT_INITIAL_US;
  else
    endpoint->eject_us = MIN (endpoint->eject_us * 2, HLT_EJECT_MAX_US);
  endpoint->ejected = true;
  endpoint->pool->ejected++;
  hlt_start_timer (endpoint);
  health->actions.ejected (health->arg, endpoint->address, true);
}

/* Add a sample of the time to first byte of the endpoint at ADDRESS, and eject
   the endpoint if its average is too high.  */
void
hlt_add_sample (struct hlt_health *health, const char *address,
                uint64_t first_byte_us)
{
  struct hlt_endpoint *endpoint
      = g_hash_table_lookup (health->endpoints, address);
  struct hlt_pool *pool;

  /* Requests sent before the ejection give no new information; the probes
     decide.  */
  if (endpoint == NULL || endpoint->ejected)
    return;
  pool = endpoint->pool;
  hlt_add_to_histogram (pool, (double)first_byte_us);
  hlt_update_average (endpoint, (double)first_byte_us);
  if (endpoint->samples < HLT_SAMPLES_MIN
      || endpoint->average_us <= HLT_SLOW_FACTOR * hlt_pool_median (pool)
      || (pool->ejected + 1) * HLT_EJECT_DIVISOR > pool->endpoints)
    return;
  hlt_eject (endpoint);
}

static void
hlt_ejection_expired (void *arg)
{
  struct hlt_endpoint *endpoint = arg;

  endpoint->probing = true;
  endpoint->health->actions.probe (endpoint->health->arg, endpoint->address);
}

/* Process the probe of the endpoint at ADDRESS, which RESPONDED with the first
   byte after FIRST_BYTE_US, or failed.  An endpoint that is still slow
   remains ejected for twice the last period.  */
void
hlt_probe_done (struct hlt_health *health, const char *address, bool responded,
                uint64_t first_byte_us)
{
  struct hlt_endpoint *endpoint
      = g_hash_table_lookup (health->endpoints, address);

  if (endpoint == NULL || !endpoint->probing)
    return;
  endpoint->probing = false;
  if (!responded
      || (double)first_byte_us
             > HLT_RETURN_FACTOR * hlt_pool_median (endpoint->pool))
    {
      endpoint->eject_us = MIN (endpoint->eject_us * 2, HLT_EJECT_MAX_US);
      hlt_start_timer (endpoint);
      return;
    }
  endpoint->ejected = false;
  endpoint->pool->ejected--;
  endpoint->samples = 0;
  endpoint->returned_us = tm_now_us (health->tm);
  hlt_update_average (endpoint, (double)first_byte_us);
  health->actions.ejected (health->arg, endpoint->address, false);
}

/* Return the median over POOL of the endpoints' average times to first byte,
   in microseconds; 0 if unknown.  */
uint64_t
hlt_median_us (const struct hlt_health *health, const char *pool)
{
  const struct hlt_pool *found = g_hash_table_lookup (health->pools, pool);

  return found == NULL ? 0 : (uint64_t)hlt_pool_median (found);
}

/* Return the 95th percentile of the time to first byte in POOL, in
   microseconds; 0 if unknown.  */
uint64_t
hlt_p95_us (const struct hlt_health *health, const char *pool)
{
  const struct hlt_pool *found = g_hash_table_lookup (health->pools, pool);
  uint32_t above = 0;

  if (found == NULL || found->histogram_total == 0)
    return 0;
  for (int i = HLT_BUCKETS - 1; i >= 0; i--)
    {
      above += found->histogram[i];
      if (above * 20 > found->histogram_total)
        return (uint64_t)(HLT_BUCKET_BASE_US * pow (HLT_BUCKET_GROWTH, i + 1));
    }
  return 0;
}

/* Return the number of ejected endpoints of POOL.  */
uint32_t
hlt_ejected_count (const struct hlt_health *health, const char *pool)
{
  const struct hlt_pool *found = g_hash_table_lookup (health->pools, pool);

  return found == NULL ? 0 : found->ejected;
}
