#include <stdint.h>

#include "mem_leaving.h"

#define MEM_LEAVING_CHECK_US 1000000
/* A refused connection, and the word of a peer that is not heard any more,
   count for this long; what renews them is at most 1 s apart.  */
#define MEM_LEAVING_HOLD_US 10000000
/* An engine that answered this recently is not gone, whatever the list says.
 */
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
  uint64_t poll; /* in which it was listed last */
  bool reported;
  uint64_t report_us;  /* 0: no report */
  uint64_t refused_us; /* 0: not refused */
  GHashTable *peers;   /* instance -> when it said so */
  bool announced;
};

struct mem_leaving
{
  struct tm_service *tm;
  struct tm_timer check;
  GHashTable *endpoints; /* address -> struct mem_endpoint */
  GHashTable *words;     /* instance -> endpoints it named last */
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
mem_words_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

/* Return a state in which no endpoint is leaving.  CHANGED is called with ARG
   for each change.  */
struct mem_leaving *
mem_leaving_new (struct tm_service *tm, mem_leaving_changed changed, void *arg)
{
  struct mem_leaving *leaving = g_new0 (struct mem_leaving, 1);

  leaving->tm = tm;
  leaving->changed = changed;
  leaving->arg = arg;
  leaving->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              mem_endpoint_free);
  leaving->words = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          mem_words_free);
  tm_after (tm, &leaving->check, MEM_LEAVING_CHECK_US, mem_leaving_check,
            leaving);
  return leaving;
}

/* Free LEAVING.  */
void
mem_leaving_free (struct mem_leaving *leaving)
{
  if (leaving == NULL)
    return;
  tm_cancel (leaving->tm, &leaving->check);
  g_hash_table_destroy (leaving->words);
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
            uint64_t span_us)
{
  return since_us != 0 && tm_now_us (leaving->tm) - since_us < span_us;
}

/* What this instance has seen itself.  Only this goes into its heartbeats:
   what peers repeated to each other would never end.  */
static bool
mem_own_sign (const struct mem_leaving *leaving,
              const struct mem_endpoint *endpoint)
{
  bool answers
      = mem_within (leaving, endpoint->report_us, MEM_LEAVING_FRESH_US);

  if (endpoint->listed == MEM_LISTED_LEAVING || endpoint->reported)
    return true;
  if (endpoint->listed == MEM_LISTED_MISSING && !answers)
    return true;
  return mem_within (leaving, endpoint->refused_us, MEM_LEAVING_HOLD_US);
}

static gboolean
mem_word_is_old (gpointer key, gpointer value, gpointer arg)
{
  (void)key;
  return !mem_within (arg, *(uint64_t *)value, MEM_LEAVING_HOLD_US);
}

static void
mem_weigh (struct mem_leaving *leaving, struct mem_endpoint *endpoint)
{
  bool leaves;

  (void)g_hash_table_foreach_remove (endpoint->peers, mem_word_is_old,
                                     leaving);
  leaves = mem_own_sign (leaving, endpoint)
           || g_hash_table_size (endpoint->peers) > 0;
  if (leaves == endpoint->announced)
    return;
  endpoint->announced = leaves;
  leaving->changed (leaving->arg, endpoint->address, leaves);
}

static void
mem_weigh_all (struct mem_leaving *leaving)
{
  GList *all = g_hash_table_get_values (leaving->endpoints);

  for (GList *at = all; at != NULL; at = at->next)
    mem_weigh (leaving, at->data);
  g_list_free (all);
}

static void
mem_leaving_check (void *arg)
{
  struct mem_leaving *leaving = arg;

  mem_weigh_all (leaving);
  tm_after (leaving->tm, &leaving->check, MEM_LEAVING_CHECK_US,
            mem_leaving_check, leaving);
}

/* Start taking in one answer of the instance list.  */
void
mem_leaving_list_begin (struct mem_leaving *leaving)
{
  leaving->poll++;
  leaving->listed = 0;
}

/* The list names ENDPOINT as leaving or live.  */
void
mem_leaving_list_item (struct mem_leaving *leaving, const char *address,
                       bool is_leaving)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->listed = is_leaving ? MEM_LISTED_LEAVING : MEM_LISTED_LIVE;
  endpoint->poll = leaving->poll;
  leaving->listed++;
  mem_weigh (leaving, endpoint);
}

/* End one answer.  An endpoint that was listed before and is not any more is
   gone.  An empty list is taken for a fault of the list.  */
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
  mem_weigh_all (leaving);
}

/* This instance no longer reads the list; the ones that do speak by their
   heartbeats.  */
void
mem_leaving_list_forget (struct mem_leaving *leaving)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, leaving->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct mem_endpoint *)value)->listed = MEM_LISTED_UNKNOWN;
  mem_weigh_all (leaving);
}

/* The engine at ADDRESS answered, and said whether it is leaving.  It accepts
   connections again.  */
void
mem_leaving_report (struct mem_leaving *leaving, const char *address,
                    bool is_leaving)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->report_us = tm_now_us (leaving->tm);
  endpoint->reported = is_leaving;
  endpoint->refused_us = 0;
  mem_weigh (leaving, endpoint);
}

/* ADDRESS refused a connection, or accepts them again.  */
void
mem_leaving_refused (struct mem_leaving *leaving, const char *address,
                     bool refused)
{
  struct mem_endpoint *endpoint = mem_endpoint (leaving, address);

  endpoint->refused_us = refused ? tm_now_us (leaving->tm) : 0;
  if (refused)
    endpoint->report_us = 0;
  mem_weigh (leaving, endpoint);
}

static void
mem_unname (struct mem_leaving *leaving, const char *instance,
            const GPtrArray *before, const GPtrArray *now)
{
  for (guint i = 0; before != NULL && i < before->len; i++)
    {
      struct mem_endpoint *endpoint = g_ptr_array_index (before, i);

      if (g_ptr_array_find ((GPtrArray *)now, endpoint, NULL))
        continue;
      g_hash_table_remove (endpoint->peers, instance);
      mem_weigh (leaving, endpoint);
    }
}

/* The heartbeat of INSTANCE names all COUNT ENDPOINTS that it has seen
   leaving.  Only these and the ones it named before are looked at, because
   heartbeats are frequent and endpoints many.  */
void
mem_leaving_peer (struct mem_leaving *leaving, const char *instance,
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
      mem_weigh (leaving, endpoint);
    }
  mem_unname (leaving, instance,
              g_hash_table_lookup (leaving->words, instance), named);
  g_hash_table_replace (leaving->words, g_strdup (instance), named);
}

/* Return the addresses that this instance has seen leaving itself; the caller
   frees the array, but not the addresses.  */
GPtrArray *
mem_leaving_own (const struct mem_leaving *leaving)
{
  GPtrArray *own = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, leaving->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (mem_own_sign (leaving, value))
      g_ptr_array_add (own, ((struct mem_endpoint *)value)->address);
  return own;
}
