#include <string.h>

#include "flt_impl.h"
#include "kv.h"

/* Backoff after a failure, doubled with each further failure.  The first one
   is short because most failures are the reset of a single connection.  */
#define FLT_BACKOFF_MIN_MS 250
#define FLT_BACKOFF_MAX_MS 4000
/* An unload that takes longer has failed.  The engine first completes the
   requests in progress, which takes a few seconds.  */
#define FLT_UNLOAD_TIMEOUT_MS 10000
/* A notice of the leader overrides reports and entries for this long: reports
   are about 100 ms old, and entries arrive within 1 s.  */
#define FLT_NOTICE_TTL_MS 1000
/* A notice that no entry has confirmed after this long was wrong: an engine
   writes its entry each 1.2 s, and it is relayed only if it has changed.  */
#define FLT_UNCONFIRMED_TTL_MS 3000

/* After the store has come back from an older copy, engines write their
   entries again within this time.  */
#define FLT_COPY_MS 5000

/* A notice of the leader about a model or adapter of one engine.  */
struct flt_notice
{
  char *model;
  char *adapter; /* NULL: the model */
  enum flt_notice_kind kind;
  uint64_t received_us;
};

static void
flt_notice_clear (gpointer data)
{
  struct flt_notice *received = data;

  g_free (received->model);
  g_free (received->adapter);
}

static void
flt_endpoint_free (gpointer data)
{
  struct flt_endpoint *endpoint = data;

  flt_weights_clear (&endpoint->reported);
  flt_weights_clear (&endpoint->announced);
  g_array_free (endpoint->absent, TRUE);
  g_array_free (endpoint->received, TRUE);

  flt_entry_clear (&endpoint->entry);
  g_free (endpoint->unloading);
  g_free (endpoint);
}

/* Return an empty fleet.  */
struct flt_fleet *
flt_new (struct tm_service *tm)
{
  struct flt_fleet *fleet = g_new0 (struct flt_fleet, 1);

  fleet->tm = tm;
  fleet->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        flt_endpoint_free);
  fleet->all = g_ptr_array_new ();
  fleet->loads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->removals = flt_removals_new ();
  flt_signs_init (fleet);
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
  g_hash_table_destroy (fleet->loads);
  g_hash_table_destroy (fleet->removals);
  flt_signs_clear (fleet);
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

static void flt_merge_notice (struct flt_endpoint *endpoint,
                              const struct flt_notice *received);

/* Drop the notices about ENDPOINT that are older than TTL_MS.  Return whether
   there were any.  */
static bool
flt_drop_notices (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                  uint32_t ttl_ms)
{
  uint64_t now_us = tm_now_us (fleet->tm);
  guint before = endpoint->received->len;

  for (guint i = before; i-- > 0;)
    if (now_us
            - g_array_index (endpoint->received, struct flt_notice, i)
                  .received_us
        >= ttl_ms * FLT_US_PER_MS)
      g_array_remove_index (endpoint->received, i);
  return endpoint->received->len < before;
}

/* Set the models that ENDPOINT holds to those announced, with the notices
   applied.  */
static void
flt_merge_notices (struct flt_endpoint *endpoint)
{
  flt_weights_drop_models (&endpoint->entry.weights);
  flt_weights_copy_models (&endpoint->entry.weights, &endpoint->announced);
  for (guint i = 0; i < endpoint->received->len; i++)
    flt_merge_notice (
        endpoint, &g_array_index (endpoint->received, struct flt_notice, i));
}

/* Replace the announced models of ENDPOINT by those of WEIGHTS, which recent
   notices override.  */
static void
flt_announce (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
              const struct flt_weights *weights)
{
  flt_weights_drop_models (&endpoint->announced);
  flt_weights_copy_models (&endpoint->announced, weights);
  (void)flt_drop_notices (fleet, endpoint, FLT_NOTICE_TTL_MS);
  flt_merge_notices (endpoint);
}

static struct flt_endpoint *
flt_new_endpoint (struct flt_fleet *fleet, struct flt_entry *entry)
{
  struct flt_endpoint *endpoint = g_new0 (struct flt_endpoint, 1);

  endpoint->entry = *entry;
  endpoint->pace_percent = 100;
  endpoint->listed = true;
  endpoint->received = g_array_new (FALSE, FALSE, sizeof (struct flt_notice));
  g_array_set_clear_func (endpoint->received, flt_notice_clear);
  endpoint->absent = flt_absent_new ();
  flt_weights_init (&endpoint->reported);
  flt_weights_init (&endpoint->announced);
  flt_weights_copy_models (&endpoint->announced, &endpoint->entry.weights);
  flt_restore_pause (fleet, endpoint);
  g_free (entry);
  g_hash_table_insert (fleet->by_id, endpoint->entry.id, endpoint);
  g_ptr_array_add (fleet->all, endpoint);
  return endpoint;
}

/* Reset the state of ENDPOINT, whose process was restarted.  */
static void
flt_reset_endpoint (struct flt_endpoint *endpoint)
{
  endpoint->backoff_until_us = 0;
  endpoint->failures = 0;
  endpoint->load_reported_us = 0;
  endpoint->has_report = false;
  endpoint->reported.orders = 0;
  g_array_set_size (endpoint->received, 0);
  g_array_set_size (endpoint->absent, 0);
  g_free (endpoint->unloading);
  endpoint->unloading = NULL;
}

/* Note that the store is in ERA.  An instance that only receives changes may
   learn of a restoration in other ways than by a revision, and its endpoints
   that have not changed keep one of an earlier era.  */
void
flt_set_era (struct flt_fleet *fleet, int64_t era)
{
  if (era <= fleet->era)
    return;
  fleet->era = era;
  fleet->era_began_us = tm_now_us (fleet->tm);
}

/* Return whether the store has lost changes within the last WITHIN_MS.  */
static bool
flt_in_new_era (const struct flt_fleet *fleet, uint32_t within_ms)
{
  return fleet->era != 0
         && tm_now_us (fleet->tm) - fleet->era_began_us
                < within_ms * FLT_US_PER_MS;
}

/* Return whether ENTRY, which the store lists after it has lost changes, is of
   an earlier process than ENDPOINT.  */
static bool
flt_is_earlier_start (const struct flt_fleet *fleet,
                      const struct flt_endpoint *endpoint,
                      const struct flt_entry *entry)
{
  return entry->started_ms < endpoint->entry.started_ms
         && flt_in_new_era (fleet, FLT_COPY_MS)
         && flt_may_be_older (fleet, entry, endpoint->entry.revision);
}

/* Add or update the endpoint of ENTRY, which is consumed.  Return the
   endpoint, or NULL if it may have been removed since ENTRY was written.  A
   process that leaves does not come back: an entry that shows it in service
   again is older.  */
struct flt_endpoint *
flt_put_entry (struct flt_fleet *fleet, struct flt_entry *entry)
{
  struct flt_endpoint *endpoint = flt_find (fleet, entry->id);
  struct flt_entry *current;
  bool restarted;
  char *address;
  char *service;

  flt_set_era (fleet, kv_revision_era (entry->revision));
  if (flt_removal_withhold (fleet, entry))
    return NULL;
  flt_removal_forget (fleet, entry->id);
  flt_apply_signs (fleet, entry);
  if (endpoint == NULL)
    return flt_new_endpoint (fleet, entry);
  current = &endpoint->entry;
  endpoint->expired = false;
  endpoint->expires_us = 0;
  endpoint->listed = true;
  if (flt_is_earlier_start (fleet, endpoint, entry))
    {
      flt_entry_free (entry);
      return endpoint;
    }
  restarted = current->started_ms != entry->started_ms
              || !g_str_equal (current->address, entry->address);
  if (restarted)
    flt_reset_endpoint (endpoint);
  flt_announce (fleet, endpoint, &entry->weights);
  if (restarted || entry->leaving || current->started_ms == 0)
    {
      current->leaving = entry->leaving;
      current->leaves_in_ms = entry->leaves_in_ms;
    }
  current->slots = entry->slots;
  current->revision = entry->revision;
  current->started_ms = entry->started_ms;
  address = current->address;
  service = current->service;
  current->address = entry->address;
  current->service = entry->service;
  entry->address = address;
  entry->service = service;
  flt_entry_free (entry);
  flt_restore_pause (fleet, endpoint);
  return endpoint;
}

/* The store at REVISION has no entry of ENDPOINT: use it for GRACE where no
   other can serve.  */
static void
flt_withdraw (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
              int64_t revision, const struct flt_grace *grace)
{
  bool lost
      = kv_revision_era (revision) > kv_revision_era (endpoint->entry.revision)
        && flt_in_new_era (fleet, grace->lost_ms);
  uint32_t grace_ms = lost ? grace->lost_ms : grace->removed_ms;

  if (!lost)
    flt_removal_add (fleet, endpoint, revision);
  endpoint->listed = false;
  endpoint->expires_us = tm_now_us (fleet->tm) + grace_ms * FLT_US_PER_MS;
}

/* Handle the removal of the entry of ID at REVISION.  */
void
flt_remove_entry (struct flt_fleet *fleet, const char *id, int64_t revision,
                  const struct flt_grace *grace)
{
  struct flt_endpoint *endpoint = flt_find (fleet, id);

  flt_set_era (fleet, kv_revision_era (revision));
  flt_removal_repeat (fleet, id, revision);
  if (endpoint != NULL && endpoint->expires_us == 0)
    flt_withdraw (fleet, endpoint, revision, grace);
}

/* If more than half of the endpoints have lost their entries, extend the grace
   period of all of these to at least GRACE_MS from now and return true.  An
   outage of the store lets many entries expire together, whereas an endpoint
   that leaves removes only its own.  */
bool
flt_extend_grace (struct flt_fleet *fleet, uint32_t grace_ms)
{
  uint64_t expires_us = tm_now_us (fleet->tm) + grace_ms * FLT_US_PER_MS;
  guint unlisted = 0;

  for (guint i = 0; i < fleet->all->len; i++)
    {
      const struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->expires_us != 0)
        unlisted++;
    }
  if (unlisted * 2 <= fleet->all->len)
    return false;
  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->expires_us == 0 || endpoint->expired)
        continue;
      endpoint->expires_us = MAX (endpoint->expires_us, expires_us);
      flt_removal_forget (fleet, endpoint->entry.id);
    }
  return true;
}

/* Begin a full list of the entries in the store at REVISION, each passed to
   flt_put_entry.  */
void
flt_list_begin (struct flt_fleet *fleet, int64_t revision)
{
  flt_set_era (fleet, kv_revision_era (revision));
  fleet->list_revision = revision;
  flt_removals_list_begin (fleet);
  for (guint i = 0; i < fleet->all->len; i++)
    ((struct flt_endpoint *)g_ptr_array_index (fleet->all, i))->listed = false;
}

/* End the list.  Endpoints that were not in it are still used for GRACE where
   no other can serve.  */
void
flt_list_end (struct flt_fleet *fleet, const struct flt_grace *grace)
{
  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (!endpoint->listed && endpoint->expires_us == 0)
        flt_withdraw (fleet, endpoint, fleet->list_revision, grace);
    }
  flt_removals_list_end (fleet);
}

/* Expire unlisted endpoints whose grace period has passed, and remove expired
   ones without requests in flight.  Drop notices that were not confirmed, and
   use entries that were withheld for long enough.  */
void
flt_sweep (struct flt_fleet *fleet)
{
  uint64_t now_us = tm_now_us (fleet->tm);
  struct flt_entry *withheld;

  for (guint i = fleet->all->len; i-- > 0;)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      if (endpoint->expires_us != 0 && now_us >= endpoint->expires_us)
        endpoint->expired = true;
      if (endpoint->expired && endpoint->in_flight == 0)
        flt_remove (fleet, endpoint);
      else if (flt_drop_notices (fleet, endpoint, FLT_UNCONFIRMED_TTL_MS))
        flt_merge_notices (endpoint);
    }
  while ((withheld = flt_removals_sweep (fleet)) != NULL)
    (void)flt_put_entry (fleet, withheld);
}

/* Store the report WEIGHTS of ENDPOINT and take ownership of it.  A report
   from before the last accepted order is dropped.  */
void
flt_set_report (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                struct flt_weights *weights)
{
  if (endpoint->has_report && weights->orders < endpoint->reported.orders)
    {
      flt_weights_clear (weights);
      return;
    }
  flt_announce (fleet, endpoint, weights);
  flt_weights_clear (&endpoint->reported);
  endpoint->reported = *weights;
  endpoint->has_report = true;
}

/* Mark all reports as out of date.  */
void
flt_invalidate_reports (struct flt_fleet *fleet)
{
  for (guint i = 0; i < fleet->all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (fleet->all, i);

      endpoint->has_report = false;
    }
}

static void
flt_merge_adapter (struct flt_model *model, enum flt_notice_kind kind,
                   const char *adapter)
{
  if (kind == FLT_LOADED)
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
flt_merge_model (struct flt_endpoint *endpoint,
                 const struct flt_notice *received)
{
  enum flt_notice_kind kind = received->kind;
  const char *model = received->model;

  if (kind == FLT_UNLOADING || g_strcmp0 (endpoint->unloading, model) == 0)
    {
      g_free (endpoint->unloading);
      endpoint->unloading = NULL;
    }
  if (kind == FLT_LOADED)
    (void)flt_weights_add (&endpoint->entry.weights, model, 0);
  else if (kind == FLT_UNLOADED)
    (void)flt_weights_drop (&endpoint->entry.weights, model);
  else
    {
      endpoint->unloading = g_strdup (model);
      endpoint->unloading_us = received->received_us;
    }
}

static void
flt_merge_notice (struct flt_endpoint *endpoint,
                  const struct flt_notice *received)
{
  struct flt_model *held
      = flt_weights_find (&endpoint->entry.weights, received->model);

  if (received->adapter == NULL)
    flt_merge_model (endpoint, received);
  else if (held != NULL)
    flt_merge_adapter (held, received->kind, received->adapter);
}

/* Apply a notice of the leader about MODEL or, unless it is NULL, its ADAPTER
   at ENDPOINT.  */
void
flt_apply_notice (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                  enum flt_notice_kind kind, const char *model,
                  const char *adapter)
{
  struct flt_notice received = { .model = g_strdup (model),
                                 .adapter = g_strdup (adapter),
                                 .kind = kind,
                                 .received_us = tm_now_us (fleet->tm) };

  flt_merge_notice (endpoint, &received);
  if (kind == FLT_LOADED)
    flt_drop_absent (endpoint, model, adapter);
  for (guint i = 0; i < endpoint->received->len; i++)
    {
      const struct flt_notice *old
          = &g_array_index (endpoint->received, struct flt_notice, i);

      if (g_str_equal (old->model, received.model)
          && g_strcmp0 (old->adapter, received.adapter) == 0)
        {
          g_array_remove_index (endpoint->received, i);
          break;
        }
    }
  g_array_append_val (endpoint->received, received);
}

/* Return whether ENDPOINT can serve requests for MODEL and, unless it is NULL,
   its ADAPTER.  */
bool
flt_holds (const struct flt_fleet *fleet, const struct flt_endpoint *endpoint,
           const char *model, const char *adapter)
{
  const struct flt_model *held
      = flt_weights_find (&endpoint->entry.weights, model);

  if (held == NULL)
    return false;
  if (endpoint->unloading != NULL && g_str_equal (endpoint->unloading, model)
      && tm_now_us (fleet->tm) - endpoint->unloading_us
             < FLT_UNLOAD_TIMEOUT_MS * FLT_US_PER_MS)
    return false;
  if (flt_is_absent (fleet, endpoint, model, adapter))
    return false;
  return adapter == NULL || flt_model_has (held, adapter);
}

/* Record that ENDPOINT could not be connected (UNREACHABLE) or that a response
   was cut off or timed out.  A failure of the latter kind causes a backoff
   only if it follows another failure, because single connections are reset
   without a fault of the endpoint.  */
void
flt_record_failure (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                    bool unreachable)
{
  uint32_t shift = MIN (endpoint->failures, 4);
  uint64_t backoff_ms = MIN (FLT_BACKOFF_MIN_MS << shift, FLT_BACKOFF_MAX_MS);

  endpoint->failures++;
  if (unreachable || endpoint->failures > 1)
    endpoint->backoff_until_us
        = tm_now_us (fleet->tm) + backoff_ms * FLT_US_PER_MS;
}

/* Record that ENDPOINT completed a response.  */
void
flt_record_success (struct flt_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->backoff_until_us = 0;
}

/* Return whether ENDPOINT stays and has not just failed.  It may still want no
   requests.  */
bool
flt_in_service (const struct flt_fleet *fleet,
                const struct flt_endpoint *endpoint)
{
  return !endpoint->expired && !endpoint->entry.leaving
         && tm_now_us (fleet->tm) >= endpoint->backoff_until_us;
}
