#include <string.h>

#include "flt_impl.h"

#define FLT_US_PER_MS UINT64_C (1000)
/* An endpoint that failed is left alone for this long, doubled with each
   further failure up to the limit.  Most breaks are a reset of one connection,
   so the first time is short.  */
#define FLT_AVOID_FIRST_MS 250
#define FLT_AVOID_MAX_MS   4000
/* An unload that has not happened by then has failed.  It waits for the runs
   under way, which last a few seconds.  */
#define FLT_CLOSING_MS 10000
/* Reports are some 100 ms old and entries reach the watch within 400 ms, so
   what the leader told of an engine stands against both for this long.  */
#define FLT_TOLD_MS 1000

/* An engine that said it lacks a model or adapter is not asked for it for this
   long, unless the leader says that it was loaded.  The next announcement,
   about a second later, settles it.  */
#define FLT_ABSENT_MS 1000

/* What an engine said it lacks.  */
struct flt_absent
{
  char *model;
  char *adapter; /* NULL: the model */
  uint64_t until_us;
};

/* News of the leader about a model or adapter of one engine.  */
struct flt_told
{
  char *model;
  char *adapter; /* NULL: the model */
  enum flt_news news;
  uint64_t told_us;
};

struct flt_fleet
{
  struct tm_service *tm;
  GHashTable *by_id; /* struct flt_endpoint */
  GPtrArray *all;    /* the same, in the order of their first announcement */
};

static void
flt_told_clear (gpointer data)
{
  struct flt_told *told = data;

  g_free (told->model);
  g_free (told->adapter);
}

static void
flt_absent_clear (gpointer data)
{
  struct flt_absent *absent = data;

  g_free (absent->model);
  g_free (absent->adapter);
}

static void
flt_endpoint_free (gpointer data)
{
  struct flt_endpoint *endpoint = data;

  flt_weights_clear (&endpoint->reported);
  g_array_free (endpoint->absent, TRUE);
  g_array_free (endpoint->told, TRUE);

  flt_entry_clear (&endpoint->entry);
  g_free (endpoint->closing);
  g_free (endpoint);
}

/* Return a fleet without endpoints.  */
struct flt_fleet *
flt_new (struct tm_service *tm)
{
  struct flt_fleet *fleet = g_new0 (struct flt_fleet, 1);

  fleet->tm = tm;
  fleet->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        flt_endpoint_free);
  fleet->all = g_ptr_array_new ();
  return fleet;
}

/* Free FLEET and its endpoints.  */
void
flt_free (struct flt_fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_ptr_array_free (fleet->all, TRUE);
  g_hash_table_destroy (fleet->by_id);
  g_free (fleet);
}

/* Return the endpoint called ID, or NULL.  */
struct flt_endpoint *
flt_find (const struct flt_fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->by_id, id);
}

/* Return all endpoints (struct flt_endpoint); the list belongs to FLEET.  */
GPtrArray *
flt_all (struct flt_fleet *fleet)
{
  return fleet->all;
}

static void
flt_remove (struct flt_fleet *fleet, struct flt_endpoint *endpoint)
{
  g_ptr_array_remove (fleet->all, endpoint);
  g_hash_table_remove (fleet->by_id, endpoint->entry.id);
}

static void flt_apply_news (struct flt_fleet *fleet,
                            struct flt_endpoint *endpoint,
                            const struct flt_told *told);

/* Give ENDPOINT the models and copies of WEIGHTS, which gets the old ones, and
   apply the news that are younger than what WEIGHTS may show.  */
static void
flt_set_weights (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                 struct flt_weights *weights)
{
  uint64_t now_us = tm_now_us (fleet->tm);
  struct flt_weights old = endpoint->entry.weights;

  endpoint->entry.weights = *weights;
  *weights = old;
  for (guint i = endpoint->told->len; i-- > 0;)
    if (now_us - g_array_index (endpoint->told, struct flt_told, i).told_us
        >= FLT_TOLD_MS * FLT_US_PER_MS)
      g_array_remove_index (endpoint->told, i);
  for (guint i = 0; i < endpoint->told->len; i++)
    flt_apply_news (fleet, endpoint,
                    &g_array_index (endpoint->told, struct flt_told, i));
}

static struct flt_endpoint *
flt_new_endpoint (struct flt_fleet *fleet, struct flt_entry *entry)
{
  struct flt_endpoint *endpoint = g_new0 (struct flt_endpoint, 1);

  endpoint->entry = *entry;
  endpoint->pace_percent = 100;
  endpoint->listed = true;
  endpoint->told = g_array_new (FALSE, FALSE, sizeof (struct flt_told));
  g_array_set_clear_func (endpoint->told, flt_told_clear);
  endpoint->absent = g_array_new (FALSE, FALSE, sizeof (struct flt_absent));
  g_array_set_clear_func (endpoint->absent, flt_absent_clear);
  flt_weights_init (&endpoint->reported);
  g_free (entry);
  g_hash_table_insert (fleet->by_id, endpoint->entry.id, endpoint);
  g_ptr_array_add (fleet->all, endpoint);
  return endpoint;
}

/* The process behind ENDPOINT was started anew: what was known of the one
   before is void.  */
static void
flt_restarted (struct flt_endpoint *endpoint)
{
  endpoint->avoid_until_us = 0;
  endpoint->failures = 0;
  endpoint->load_us = 0;
  endpoint->reported_known = false;
  endpoint->reported.orders = 0;
  g_array_set_size (endpoint->told, 0);
  g_array_set_size (endpoint->absent, 0);
  g_free (endpoint->closing);
  endpoint->closing = NULL;
}

/* Take over ENTRY, which is freed.  */
struct flt_endpoint *
flt_announced (struct flt_fleet *fleet, struct flt_entry *entry)
{
  struct flt_endpoint *endpoint = flt_find (fleet, entry->id);
  struct flt_entry *known;
  char *address;
  char *service;

  if (endpoint == NULL)
    return flt_new_endpoint (fleet, entry);
  known = &endpoint->entry;
  endpoint->gone = false;
  endpoint->gone_us = 0;
  endpoint->listed = true;
  if (known->started_ms != entry->started_ms
      || !g_str_equal (known->address, entry->address))
    flt_restarted (endpoint);
  flt_set_weights (fleet, endpoint, &entry->weights);
  known->leaving = entry->leaving;
  known->leaves_in_ms = entry->leaves_in_ms;
  known->slots = entry->slots;
  known->started_ms = entry->started_ms;
  address = known->address;
  service = known->service;
  known->address = entry->address;
  known->service = entry->service;
  entry->address = address;
  entry->service = service;
  flt_entry_free (entry);
  return endpoint;
}

/* The entry of ID was removed.  The endpoint may be used for GRACE_MS more
   where no other can serve.  */
void
flt_withdrawn (struct flt_fleet *fleet, const char *id, uint32_t grace_ms)
{
  struct flt_endpoint *endpoint = flt_find (fleet, id);

  if (endpoint == NULL || endpoint->gone_us != 0)
    return;
  endpoint->listed = false;
  endpoint->gone_us = tm_now_us (fleet->tm) + grace_ms * FLT_US_PER_MS;
}

/* Entries that an outage of the store ended lapse together; an endpoint that
   leaves removes its own.  If more than half of the endpoints are without
   their entries, let them all be used for GRACE_MS more where no other can
   serve.  Return whether that is so.  */
bool
flt_keep_lapsed (struct flt_fleet *fleet, uint32_t grace_ms)
{
  uint64_t gone_us = tm_now_us (fleet->tm) + grace_ms * FLT_US_PER_MS;
  guint withdrawn = 0;

  for (guint i = 0; i < fleet->all->len; i++)
    {
      const struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->gone_us != 0)
        withdrawn++;
    }
  if (withdrawn * 2 <= fleet->all->len)
    return false;
  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->gone_us != 0 && !endpoint->gone)
        endpoint->gone_us = MAX (endpoint->gone_us, gone_us);
    }
  return true;
}

/* A whole list of announcements follows.  */
void
flt_list_begin (struct flt_fleet *fleet)
{
  for (guint i = 0; i < fleet->all->len; i++)
    ((struct flt_endpoint *)g_ptr_array_index (fleet->all, i))->listed = false;
}

/* The list has ended.  Endpoints that it did not name may be used for GRACE_MS
   more where no other can serve.  */
void
flt_list_end (struct flt_fleet *fleet, uint32_t grace_ms)
{
  uint64_t gone_us = tm_now_us (fleet->tm) + grace_ms * FLT_US_PER_MS;

  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (!endpoint->listed && endpoint->gone_us == 0)
        endpoint->gone_us = gone_us;
    }
}

/* Give up unlisted endpoints whose time has passed, and forget those that are
   gone and have no request under way.  */
void
flt_sweep (struct flt_fleet *fleet)
{
  uint64_t now_us = tm_now_us (fleet->tm);

  for (guint i = fleet->all->len; i-- > 0;)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->gone_us != 0 && now_us >= endpoint->gone_us)
        endpoint->gone = true;
      if (endpoint->gone && endpoint->in_flight == 0)
        flt_remove (fleet, endpoint);
    }
}

/* ENDPOINT said WEIGHTS, which is taken over, in a report.  A report from
   before the last order that it accepted is ignored.  */
void
flt_told_weights (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                  struct flt_weights *weights)
{
  struct flt_weights routed;

  if (endpoint->reported_known && weights->orders < endpoint->reported.orders)
    {
      flt_weights_clear (weights);
      return;
    }
  flt_weights_init (&routed);
  flt_weights_copy (&routed, weights);
  flt_set_weights (fleet, endpoint, &routed);
  flt_weights_clear (&routed);
  flt_weights_clear (&endpoint->reported);
  endpoint->reported = *weights;
  endpoint->reported_known = true;
}

/* What was read of reports so far may be out of date.  */
void
flt_forget_reports (struct flt_fleet *fleet)
{
  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      endpoint->reported_known = false;
    }
}

/* ENDPOINT told its load with an answer.  */
void
flt_told_load (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
               uint32_t running, uint32_t waiting, uint32_t pace_percent)
{
  endpoint->running = running;
  endpoint->waiting = waiting;
  endpoint->pace_percent = pace_percent == 0 ? 100 : pace_percent;
  endpoint->load_us = tm_now_us (fleet->tm);
}

static void
flt_news_adapter (struct flt_model *model, enum flt_news news,
                  const char *adapter)
{
  if (news == FLT_READY)
    {
      if (!flt_model_has (model, adapter))
        g_ptr_array_add (model->adapters, g_strdup (adapter));
      return;
    }
  for (guint i = model->adapters->len; i-- > 0;)
    if (g_str_equal (g_ptr_array_index (model->adapters, i), adapter))
      g_ptr_array_remove_index (model->adapters, i);
}

static void
flt_news_model (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                enum flt_news news, const char *model)
{
  g_free (endpoint->closing);
  endpoint->closing = NULL;
  if (news == FLT_READY)
    (void)flt_weights_add (&endpoint->entry.weights, model, 0);
  else if (news == FLT_GONE)
    (void)flt_weights_drop (&endpoint->entry.weights, model);
  else
    {
      endpoint->closing = g_strdup (model);
      endpoint->closing_us = tm_now_us (fleet->tm);
    }
}

static void
flt_apply_news (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                const struct flt_told *told)
{
  struct flt_model *held
      = flt_weights_find (&endpoint->entry.weights, told->model);

  if (told->adapter == NULL)
    flt_news_model (fleet, endpoint, told->news, told->model);
  else if (held != NULL)
    flt_news_adapter (held, told->news, told->adapter);
}

/* Return the place of a mark that ADAPTER of MODEL, or MODEL, is absent; the
   number of marks if there is none.  */
static guint
flt_find_absent (const struct flt_endpoint *endpoint, const char *model,
                 const char *adapter)
{
  guint i;

  for (i = 0; i < endpoint->absent->len; i++)
    {
      const struct flt_absent *absent
          = &g_array_index (endpoint->absent, struct flt_absent, i);

      if (g_str_equal (absent->model, model)
          && g_strcmp0 (absent->adapter, adapter) == 0)
        break;
    }
  return i;
}

static void
flt_drop_absent (struct flt_endpoint *endpoint, const char *model,
                 const char *adapter)
{
  guint i = flt_find_absent (endpoint, model, adapter);

  if (i < endpoint->absent->len)
    g_array_remove_index (endpoint->absent, i);
}

/* ENDPOINT refused a request because it lacks MODEL or, unless it is NULL, its
   ADAPTER.  */
void
flt_lacks (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
           const char *model, const char *adapter)
{
  struct flt_absent absent
      = { .model = g_strdup (model),
          .adapter = g_strdup (adapter),
          .until_us = tm_now_us (fleet->tm) + FLT_ABSENT_MS * FLT_US_PER_MS };

  flt_drop_absent (endpoint, model, adapter);
  g_array_append_val (endpoint->absent, absent);
}

static bool
flt_is_absent (const struct flt_fleet *fleet,
               const struct flt_endpoint *endpoint, const char *model,
               const char *adapter)
{
  guint i = flt_find_absent (endpoint, model, adapter);

  return i < endpoint->absent->len
         && tm_now_us (fleet->tm)
                < g_array_index (endpoint->absent, struct flt_absent, i)
                      .until_us;
}

/* The leader tells NEWS of MODEL, or of its ADAPTER, at ENDPOINT.  */
void
flt_told_news (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
               enum flt_news news, const char *model, const char *adapter)
{
  struct flt_told told = { .model = g_strdup (model),
                           .adapter = g_strdup (adapter),
                           .news = news,
                           .told_us = tm_now_us (fleet->tm) };

  flt_apply_news (fleet, endpoint, &told);
  if (news == FLT_READY)
    flt_drop_absent (endpoint, model, adapter);
  for (guint i = 0; i < endpoint->told->len; i++)
    {
      const struct flt_told *old
          = &g_array_index (endpoint->told, struct flt_told, i);

      if (g_str_equal (old->model, told.model)
          && g_strcmp0 (old->adapter, told.adapter) == 0)
        {
          g_array_remove_index (endpoint->told, i);
          break;
        }
    }
  g_array_append_val (endpoint->told, told);
}

/* Return whether ENDPOINT can run requests for MODEL and, unless it is NULL,
   its ADAPTER.  */
bool
flt_holds (const struct flt_fleet *fleet, const struct flt_endpoint *endpoint,
           const char *model, const char *adapter)
{
  const struct flt_model *held
      = flt_weights_find (&endpoint->entry.weights, model);

  if (held == NULL)
    return false;
  if (endpoint->closing != NULL && g_str_equal (endpoint->closing, model)
      && tm_now_us (fleet->tm) - endpoint->closing_us
             < FLT_CLOSING_MS * FLT_US_PER_MS)
    return false;
  if (flt_is_absent (fleet, endpoint, model, adapter))
    return false;
  return adapter == NULL || flt_model_has (held, adapter);
}

/* No connection to ENDPOINT could be opened (UNREACHABLE), or it broke an
   answer off.  One broken answer says little about the endpoint, because
   connections are reset on their own; two in a row do.  */
void
flt_failed (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
            bool unreachable)
{
  uint32_t shift = MIN (endpoint->failures, 4);
  uint64_t avoid_ms = MIN (FLT_AVOID_FIRST_MS << shift, FLT_AVOID_MAX_MS);

  endpoint->failures++;
  if (unreachable || endpoint->failures > 1)
    endpoint->avoid_until_us
        = tm_now_us (fleet->tm) + avoid_ms * FLT_US_PER_MS;
}

/* ENDPOINT gave a whole answer.  */
void
flt_answered (struct flt_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->avoid_until_us = 0;
}

/* Return whether new work may go to ENDPOINT.  */
bool
flt_usable (const struct flt_fleet *fleet, const struct flt_endpoint *endpoint)
{
  return !endpoint->gone && !endpoint->entry.leaving
         && tm_now_us (fleet->tm) >= endpoint->avoid_until_us;
}
