#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* Entries that expired during an outage of the store, or that an older copy
   lacks, are written again within about 2 s after its end.  */
#define GW_FLEET_REANNOUNCE_MS 2000
/* An outage of the store counts as recent for this long after a failed
   call.  */
#define GW_FLEET_OUTAGE_MS 6000
/* Longest time from the update of an entry to the arrival of the last request
   that was sent without knowledge of it: a pause of the watch, two batches of
   the relay and the request's own way.  */
#define GW_FLEET_PROPAGATION_MS 1500

static void gw_fleet_read (void *arg);

/* Return how long endpoints without an entry are still used where no other can
   serve.  */
static struct flt_grace
gw_fleet_grace (const struct gw *gw)
{
  uint32_t drain_ms = gw->settings->drain_ms;
  uint32_t removed_ms = drain_ms > GW_FLEET_PROPAGATION_MS
                            ? drain_ms - GW_FLEET_PROPAGATION_MS
                            : 0;

  return (struct flt_grace){ removed_ms, GW_FLEET_REANNOUNCE_MS };
}

/* Handle the removal of entries.  They count as expired, and their endpoints
   stay in use, only after an outage of the store and if most of them are
   missing: an endpoint that leaves just after an outage must get no more
   requests.  */
static void
gw_fleet_retain_expired (struct gw *gw)
{
  if (ldr_store_failed (gw->ldr, GW_FLEET_OUTAGE_MS)
      && flt_extend_grace (gw->fleet, GW_FLEET_REANNOUNCE_MS))
    lg_write (LG_ENTRIES_EXPIRED, "endpoints=%u kept_ms=%u",
              flt_all (gw->fleet)->len, GW_FLEET_REANNOUNCE_MS);
}

static const char *
gw_fleet_id (const struct gw *gw, const char *key)
{
  return key + strlen (gw->protocol->keys.endpoint_prefix);
}

static void
gw_fleet_log_announced (const struct flt_entry *entry)
{
  lg_write (LG_ENDPOINT_ANNOUNCED,
            "endpoint=%s service=%s address=%s zone=%s slots=%u models=%u "
            "in_memory=%u on_disk=%u leaving=%d revision=%" G_GINT64_FORMAT,
            entry->id, entry->service, entry->address, entry->zone,
            entry->slots, entry->weights.models->len,
            entry->weights.in_memory->len, entry->weights.on_disk->len,
            entry->leaving, entry->revision);
}

static void
gw_fleet_update_entry (struct gw *gw, const char *key, const char *value,
                       size_t bytes, int64_t revision)
{
  const char *id = gw_fleet_id (gw, key);
  const struct flt_grace grace = gw_fleet_grace (gw);
  GError *error = NULL;
  struct flt_entry *entry
      = gw->protocol->read_entry (id, value, bytes, &error);
  const struct flt_endpoint *endpoint = flt_find (gw->fleet, id);
  bool known = endpoint != NULL;
  bool was_leaving = known && endpoint->entry.leaving;

  if (entry == NULL)
    {
      lg_write (LG_ENTRY_INVALID, "key=%s revision=%" G_GINT64_FORMAT " %s",
                key, revision, error->message);
      g_error_free (error);
      /* It no longer names an endpoint, as when a list is read.  */
      flt_remove_entry (gw->fleet, id, revision, &grace);
      return;
    }
  entry->revision = revision;
  endpoint = flt_put_entry (gw->fleet, entry);
  if (endpoint == NULL)
    lg_write (LG_ENTRY_WITHHELD, "endpoint=%s revision=%" G_GINT64_FORMAT, id,
              revision);
  else if (!known)
    gw_fleet_log_announced (&endpoint->entry);
  else if (endpoint->entry.leaving && !was_leaving)
    lg_write (LG_ENDPOINT_LEAVING,
              "endpoint=%s left_ms=%u revision=%" G_GINT64_FORMAT, id,
              endpoint->entry.leaves_in_ms, revision);
}

static void
gw_fleet_on_change (void *arg, const struct kv_change *change)
{
  struct gw *gw = arg;
  const struct flt_grace grace = gw_fleet_grace (gw);

  if (change->value != NULL)
    gw_fleet_update_entry (gw, change->key, change->value, change->value_bytes,
                           change->revision);
  else
    {
      lg_write (LG_ENDPOINT_WITHDRAWN,
                "endpoint=%s revision=%" G_GINT64_FORMAT,
                gw_fleet_id (gw, change->key), change->revision);
      flt_remove_entry (gw->fleet, gw_fleet_id (gw, change->key),
                        change->revision, &grace);
      gw_fleet_retain_expired (gw);
    }
  gw_dispatch_queued (gw);
}

static void
gw_fleet_watch_ended (void *arg)
{
  struct gw *gw = arg;

  gw->fleet_watch = NULL;
  gw_fleet_read (gw);
}

static void
gw_fleet_read_done (void *arg, const struct kv_result *result)
{
  struct gw *gw = arg;
  const struct flt_grace grace = gw_fleet_grace (gw);

  if (result->outcome != KV_OK)
    {
      tm_after (gw->tm, &gw->fleet_retry,
                gw_read_retry_us (gw, &gw->fleet_backoff), gw_fleet_read, gw);
      return;
    }
  kv_backoff_reset (&gw->fleet_backoff);
  flt_list_begin (gw->fleet, result->revision);
  for (size_t i = 0; i < result->pair_count; i++)
    gw_fleet_update_entry (gw, result->pairs[i].key, result->pairs[i].value,
                           result->pairs[i].value_bytes,
                           result->pairs[i].revision);
  flt_list_end (gw->fleet, &grace);
  gw_fleet_retain_expired (gw);
  gw->fleet_loaded = true;
  gw_release_held (gw);
  gw->fleet_watch = gw->kv.methods->watch (
      gw->kv.context, gw->protocol->keys.endpoint_prefix, result->revision + 1,
      gw_fleet_on_change, gw_fleet_watch_ended, gw);
  gw_dispatch_queued (gw);
}

static void
gw_fleet_read (void *arg)
{
  struct gw *gw = arg;

  kv_get_prefix (&gw->kv, gw->protocol->keys.endpoint_prefix,
                 gw_fleet_read_done, gw);
}

/* Read the entries of the endpoints and start to watch them.  */
void
gw_fleet_start (struct gw *gw)
{
  gw_fleet_read (gw);
}
