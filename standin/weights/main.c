#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define WTS_TICK_INTERVAL_US       (5 * STAND_US_PER_MS)
#define WTS_ADAPTER_MIN_MS         5
#define WTS_ADAPTER_SPREAD_MS      10
#define WTS_ADAPTERS_FULL_RATE_MAX 32

/* A fetch that is queued or in progress.  */
struct wts_fetch
{
  struct http_exchange *exchange;
  double remaining; /* bytes of a checkpoint, milliseconds of an adapter */
};

/* Bandwidth for the fetches of one kind.  Up to FULL_RATE_MAX concurrent
   fetches have the full rate; more share the total.  */
struct wts_link
{
  GQueue fetches;
  double per_second; /* full rate of a fetch */
  uint32_t full_rate_max;
  uint32_t peak; /* concurrent fetches */
  uint64_t total;
};

/* Stand-in for the weight store, which limits the rate and the bandwidth of
   fetches.  */
struct wts
{
  struct stand_host host;
  struct stand_faults faults;
  struct wts_link weights;
  struct wts_link adapters;
  GQueue queue; /* checkpoint fetches delayed by the rate limit */
  double loads_per_second;
  uint64_t next_start_us;
  uint64_t last_tick_us;
  uint32_t waiting_peak;
  struct tm_timer tick;
};

static const struct argp_option options[]
    = { { "listen", 'l', "ADDRESS", 0, "listen on ADDRESS (IP:PORT)", 0 },
        { "loads", 'n', "RATE", 0,
          "start RATE checkpoint fetches per second (default 3, 0: no limit)",
          0 },
        { "at-once", 'c', "NUMBER", 0,
          "concurrent checkpoint fetches at the full rate (default 4)", 0 },
        { "bytes", 'b', "RATE", 0,
          "full rate of a fetch in bytes/s (default 2000000000)", 0 },
        { 0 } };

static const char *listen_address = "127.0.0.1:7003";
static struct wts store
    = { .weights = { .per_second = 2e9, .full_rate_max = 4 },
        .adapters
        = { .per_second = 1000, .full_rate_max = WTS_ADAPTERS_FULL_RATE_MAX },
        .loads_per_second = 3 };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      listen_address = arg;
      return 0;
    case 'n':
      store.loads_per_second = strtod (arg, NULL);
      return 0;
    case 'c':
      store.weights.full_rate_max = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'b':
      store.weights.per_second = strtod (arg, NULL);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
wts_link_add (struct wts_link *link, struct wts_fetch *fetch)
{
  g_queue_push_tail (&link->fetches, fetch);
  link->total++;
  if (link->fetches.length > link->peak)
    link->peak = link->fetches.length;
}

static void
wts_link_advance (struct wts_link *link, double seconds, double slow_factor)
{
  double share = link->fetches.length > link->full_rate_max
                     ? (double)link->full_rate_max / link->fetches.length
                     : 1;
  double amount = link->per_second * share * seconds / slow_factor;
  GList *next;

  for (GList *l = link->fetches.head; l != NULL; l = next)
    {
      struct wts_fetch *fetch = l->data;

      next = l->next;
      fetch->remaining -= amount;
      if (fetch->remaining > 0)
        continue;
      stand_reply (fetch->exchange, 200, json_object_new_object ());
      g_queue_delete_link (&link->fetches, l);
      g_free (fetch);
    }
}

static void
wts_start_queued (uint64_t now_us)
{
  while (store.queue.length > 0
         && (store.loads_per_second <= 0 || store.next_start_us <= now_us))
    {
      wts_link_add (&store.weights, g_queue_pop_head (&store.queue));
      if (store.loads_per_second > 0)
        store.next_start_us
            = now_us + (uint64_t)(STAND_US_PER_S / store.loads_per_second);
    }
}

static void
wts_tick (void *arg)
{
  uint64_t now_us = stand_now_us ();
  int64_t slow_factor = stand_fault_value (&store.faults, "slow_factor");
  double seconds = (double)(now_us - store.last_tick_us) / STAND_US_PER_S;

  store.last_tick_us = now_us;
  wts_start_queued (now_us);
  wts_link_advance (&store.weights, seconds, (double)MAX (slow_factor, 1));
  wts_link_advance (&store.adapters, seconds, (double)MAX (slow_factor, 1));
  if (store.weights.fetches.length + store.adapters.fetches.length
          + store.queue.length
      > 0)
    tm_after (store.host.tm, &store.tick, WTS_TICK_INTERVAL_US, wts_tick, arg);
}

static void
wts_fetch (struct http_exchange *exchange, bool adapter)
{
  struct wts_fetch *fetch = g_new0 (struct wts_fetch, 1);

  fetch->exchange = exchange;
  fetch->remaining
      = adapter ? WTS_ADAPTER_MIN_MS
                      + g_random_double_range (0, WTS_ADAPTER_SPREAD_MS - 1)
                : (double)stand_query_uint (exchange, "bytes");
  if (!tm_pending (&store.tick))
    store.last_tick_us = stand_now_us ();
  if (adapter)
    wts_link_add (&store.adapters, fetch);
  else
    g_queue_push_tail (&store.queue, fetch);
  if (store.queue.length > store.waiting_peak)
    store.waiting_peak = store.queue.length;
  if (!tm_pending (&store.tick))
    wts_tick (NULL);
}

static void
wts_records_serve (struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();

  stand_add_int (body, "fetches", (int64_t)store.weights.total);
  stand_add_int (body, "at_once_peak", store.weights.peak);
  stand_add_int (body, "waiting_peak", store.waiting_peak);
  stand_add_int (body, "adapters", (int64_t)store.adapters.total);
  stand_add_int (body, "adapters_at_once_peak", store.adapters.peak);
  stand_reply (exchange, 200, body);
}

static void
wts_handle (void *arg, struct http_exchange *exchange)
{
  const char *path = http_path (exchange);

  (void)arg;
  if (stand_faults_serve (&store.faults, exchange))
    return;
  if (stand_request_is (exchange, "GET", "/records"))
    wts_records_serve (exchange);
  else if (stand_fault_value (&store.faults, "outage") != 0)
    stand_reply_error (exchange, 503, "outage");
  else if (g_str_has_prefix (path, "/weights/"))
    wts_fetch (exchange, false);
  else if (g_str_has_prefix (path, "/adapters/"))
    wts_fetch (exchange, true);
  else
    stand_reply_error (exchange, 404, "not found");
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Stand-in for the weight store.",
          NULL,    NULL,         NULL };

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  stand_init (&store.host, "standin-weights");
  stand_faults_init (&store.faults, "{\"slow_factor\": 1, \"outage\": 0}");
  if (!stand_listen (&store.host, listen_address, wts_handle, NULL))
    return EXIT_FAILURE;
  stand_run (&store.host);
  return EXIT_SUCCESS;
}
