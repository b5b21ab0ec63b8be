#include <stdint.h>

#include "mem_leaving.h"

#define MEM_LEAVING_CHECK_INTERVAL_US 1000000
/* A refused connection, and the report of a peer whose heartbeats have
   stopped, expire after this time.  Both are renewed at least every second
   while they hold.  */
#define MEM_LEAVING_EXPIRY_US 10000000
/* An engine that answered within this time is not leaving just because it is
   missing from the instance list.  */
#define MEM_LEAVING_FRESH_US 5000000

enum mem_listed
{
  MEM_LISTED_UNKNOWN,
  MEM_LISTED_LIVE,
  MEM_LISTED_LEAVING,
  MEM_LISTED_MISSING
};

struct mem_endpoint
{
  char *address;
  enum mem_listed listed;
  uint64_t poll; /* the last that listed it */
  bool engine_leaving;
  uint64_t last_report_us; /* 0: no report */
  uint64_t refused_us;     /* 0: not refused */
  GHashTable *peers;       /* instance -> time of its last report */
  bool notified;           /* as last passed to CHANGED */
};

struct mem_leaving
{
  struct tm_service *tm;
  struct tm_timer check;
  GHashTable *endpoints;    /* address -> struct mem_endpoint */
  GHashTable *peer_reports; /* instance -> endpoints it reported last */
  uint64_t poll;
  uint32_t listed; /* in the current poll */
  mem_leaving_changed changed;
  void *arg;
};

static void mem_leaving_check (void *arg);

static void
mem_endpoint_free (void *data)
{
  struct mem_endpoint *endpoint = data;

  g_hash_table_destroy (endpoint->peers);
  g_free (endpoint->address);
  g_free (endpoint);
}

static void
mem_peer_report_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

/* Return a detector without endpoints.  CHANGED is called with ARG whenever an
   endpoint starts or stops leaving.  */
struct mem_leaving *
mem_leaving_new (struct tm_service *tm, mem_leaving_changed changed, void *arg)
{
  struct mem_leaving *leaving = g_new0 (struct mem_leaving, 1);

  leaving->tm = tm;
  leaving->changed = changed;
  leaving->arg = arg;
  leaving->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              mem_endpoint_free);
  leaving->peer_reports = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                 g_free, mem_peer_report_free);
  tm_after (tm, &leaving->check, MEM_LEAVING_CHECK_INTERVAL_US,
            mem_leaving_check, leaving);
  return leaving;
}

void
mem_leaving_free (struct mem_leaving *leaving)
{
  if (leaving == NULL)
    return;
  tm_cancel (leaving->tm, &leaving->check);
  g_hash_table_destroy (leaving->peer_reports);
  g_hash_table_destroy (leaving->endpoints);
  g_free (leaving);
}

static struct mem_endpoint *
mem_endpoint (struct mem_leaving *leaving, const char *address)
{
  struct mem_endpoint *endpoint
      = g_hash_table_lookup (leaving->endpoints, address);

  if (endpoint != NULL)
    return endpoint;
  endpoint = g_new0 (struct mem_endpoint, 1);
  endpoint->address = g_strdup (address);
  endpoint->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (leaving->endpoints, endpoint->address, endpoint);
  return endpoint;
}

static bool
mem_within (const struct mem_leaving *leaving, uint64_t since_us,
            uint64_t duration_us)
{
  return since_us != 0 && tm_now_us (leaving->tm) - since_us < duration_us;
}

/* Return whether ENDPOINT is leaving as observed by this instance itself.
   Heartbeats carry only this: reports that peers passed on to each other would
   never expire.  */
static bool
mem_is_leaving_locally (const struct mem_leaving *leaving,
                        const struct mem_endpoint *endpoint)
{
  bool answers
      = mem_within (leaving, endpoint->last_report_us, MEM_LEAVING_FRESH_US);

  if (endpoint->listed == MEM_LISTED_LEAVING || endpoint->engine_leaving)
    return true;
  if (endpoint->listed == MEM_LISTED_MISSING && !answers)
    return true;
  return mem_within (leaving, endpoint->refused_us, MEM_LEAVING_EXPIRY_US);
}

static gboolean
mem_peer_report_expired (gpointer key, gpointer value, gpointer arg)
{
  (void)key;
  return !mem_within (arg, *(uint64_t *)value, MEM_LEAVING_EXPIRY_US);
}

static void
mem_evaluate (struct mem_leaving *leaving, struct mem_endpoint *endpoint)
{
  bool is_leaving_now;

  (void)g_hash_table_foreach_remove (endpoint->peers, mem_peer_report_expired,
                                     leaving);
  is_leaving_now = mem_is_leaving_locally (leaving, endpoint)
                   || g_hash_table_size (endpoint->peers) > 0;
  if (is_leaving_now == endpoint->notified)
    return;
  endpoint->notified = is_leaving_now;
  leaving->changed (leaving->arg, endpoint->address, is_leaving_now);
}

static void
mem_evaluate_all (struct mem_leaving *leaving)
{
  GList *all = g_hash_table_get_values (leaving->endpoints);

  for (GList *at = all; at != NULL; at = at->next)
    mem_evaluate (leaving, at->data);
  g_list_free (all);
}

static void
mem_leaving_check (void *arg)
{
  struct mem_leaving *leaving = arg;

  mem_evaluate_all (leaving);
  tm_after (leaving->tm, &leaving->check, MEM_LEAVING_CHECK_INTERVAL_US,
            mem_leaving_check, leaving);
}

/* Begin to process one reply of the instance list.  */
void
mem_leaving_list_begin (struct mem_leaving *leaving)
{
  leaving->poll++;
  leaving->listed = 0;
}

/* The instance list contains ADDRESS.  */
void
mem_leaving_list_item (struct mem_leaving *leaving, const char *address,
                       bool is_leaving)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->listed = is_leaving ? MEM_LISTED_LEAVING : MEM_LISTED_LIVE;
  endpoint->poll = leaving->poll;
  leaving->listed++;
  mem_evaluate (leaving, endpoint);
}

/* End the reply.  An endpoint that an earlier reply listed and this one does
   not is missing.  An empty list is taken as a fault of the list and
   ignored.  */
void
mem_leaving_list_end (struct mem_leaving *leaving)
{
  GHashTableIter iter;
  void *value;

  if (leaving->listed == 0)
    return;
  g_hash_table_iter_init (&iter, leaving->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mem_endpoint *endpoint = value;

      if (endpoint->listed != MEM_LISTED_UNKNOWN
          && endpoint->poll != leaving->poll)
        endpoint->listed = MEM_LISTED_MISSING;
    }
  mem_evaluate_all (leaving);
}

/* Discard the state of the list because this instance no longer polls it.
   Heartbeats of the instances that do carry what they find.  */
void
mem_leaving_list_clear (struct mem_leaving *leaving)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, leaving->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct mem_endpoint *)value)->listed = MEM_LISTED_UNKNOWN;
  mem_evaluate_all (leaving);
}

/* The engine at ADDRESS sent a report, which says whether it is leaving.  This
   also shows that it accepts connections.  */
void
mem_leaving_engine_report (struct mem_leaving *leaving, const char *address,
                           bool is_leaving)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->last_report_us = tm_now_us (leaving->tm);
  endpoint->engine_leaving = is_leaving;
  endpoint->refused_us = 0;
  mem_evaluate (leaving, endpoint);
}

/* ADDRESS refused a connection, or accepts connections again.  */
void
mem_leaving_connect_refused (struct mem_leaving *leaving, const char *address,
                             bool refused)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->refused_us = refused ? tm_now_us (leaving->tm) : 0;
  if (refused)
    endpoint->last_report_us = 0;
  mem_evaluate (leaving, endpoint);
}

static void
mem_remove_unnamed (struct mem_leaving *leaving, const char *instance,
                    const GPtrArray *previous, const GPtrArray *current)
{
  for (guint i = 0; previous != NULL && i < previous->len; i++)
    {
      struct mem_endpoint *endpoint = g_ptr_array_index (previous, i);

      if (g_ptr_array_find ((GPtrArray *)current, endpoint, NULL))
        continue;
      g_hash_table_remove (endpoint->peers, instance);
      mem_evaluate (leaving, endpoint);
    }
}

/* The heartbeat of INSTANCE names all COUNT ENDPOINTS that it observes as
   leaving.  Only these and the ones in its previous heartbeat are evaluated,
   because heartbeats are frequent and endpoints many.  */
void
mem_leaving_peer_report (struct mem_leaving *leaving, const char *instance,
                         const char *const *endpoints, size_t count)
{
  uint64_t now_us = tm_now_us (leaving->tm);
  GPtrArray *named = g_ptr_array_new ();

  for (size_t i = 0; i < count; i++)
    {
      struct mem_endpoint *endpoint = mem_endpoint (leaving, endpoints[i]);

      g_hash_table_replace (endpoint->peers, g_strdup (instance),
                            g_memdup2 (&now_us, sizeof now_us));
      g_ptr_array_add (named, endpoint);
      mem_evaluate (leaving, endpoint);
    }
  mem_remove_unnamed (leaving, instance,
                      g_hash_table_lookup (leaving->peer_reports, instance),
                      named);
  g_hash_table_replace (leaving->peer_reports, g_strdup (instance), named);
}

/* Return the addresses of the endpoints that this instance itself observes as
   leaving.  The caller frees the array, but not the addresses.  */
GPtrArray *
mem_leaving_local (const struct mem_leaving *leaving)
{
  GPtrArray *own = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, leaving->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (mem_is_leaving_locally (leaving, value))
      g_ptr_array_add (own, ((struct mem_endpoint *)value)->address);
  return own;
}
