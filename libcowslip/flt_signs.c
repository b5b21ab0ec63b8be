#include "flt_impl.h"

/* What endpoints have said of themselves in responses.  It holds for one start
   of an endpoint, whatever its entry in the store says, and also if the entry
   is removed and written again.  */

/* Signs of endpoints without an entry are forgotten after this time.  An
   endpoint that leaves ends within seconds.  */
#define FLT_SIGNS_TTL_MS (10U * 60 * 1000)

/* Longest pause.  An endpoint that asks for more must not be lost to this
   instance because of one wrong response; it can ask again.  */
#define FLT_PAUSE_MAX_S 600.0
#define FLT_US_PER_S    1e6

struct flt_signs
{
  char *id;
  uint64_t started_ms;
  uint64_t updated_us;
  bool leaving;
  uint64_t paused_until_us;
};

static guint
flt_signs_hash (gconstpointer key)
{
  const struct flt_signs *signs = key;

  return g_str_hash (signs->id) ^ g_int64_hash (&signs->started_ms);
}

static gboolean
flt_signs_equal (gconstpointer a, gconstpointer b)
{
  const struct flt_signs *x = a;
  const struct flt_signs *y = b;

  return x->started_ms == y->started_ms && g_str_equal (x->id, y->id);
}

static void
flt_signs_free (gpointer data)
{
  struct flt_signs *signs = data;

  g_free (signs->id);
  g_free (signs);
}

/* Initialize the signs of FLEET.  */
void
flt_signs_init (struct flt_fleet *fleet)
{
  fleet->signs = g_hash_table_new_full (flt_signs_hash, flt_signs_equal,
                                        flt_signs_free, NULL);
}

/* Free the signs of FLEET.  */
void
flt_signs_clear (struct flt_fleet *fleet)
{
  g_hash_table_destroy (fleet->signs);
}

static struct flt_signs *
flt_find_signs (const struct flt_fleet *fleet, const char *id,
                uint64_t started_ms)
{
  struct flt_signs key = { .id = (char *)id, .started_ms = started_ms };

  return g_hash_table_lookup (fleet->signs, &key);
}

static gboolean
flt_signs_expired (gpointer key, gpointer value, gpointer data)
{
  const struct flt_fleet *fleet = data;
  const struct flt_signs *signs = value;
  const struct flt_endpoint *endpoint = flt_find (fleet, signs->id);

  (void)key;
  return (endpoint == NULL || endpoint->entry.started_ms != signs->started_ms)
         && tm_now_us (fleet->tm) - signs->updated_us
                >= FLT_SIGNS_TTL_MS * FLT_US_PER_MS;
}

/* Return the signs of the endpoint ID that started at STARTED_MS, created if
   there are none.  */
static struct flt_signs *
flt_update_signs (struct flt_fleet *fleet, const char *id, uint64_t started_ms)
{
  struct flt_signs *signs = flt_find_signs (fleet, id, started_ms);

  if (signs == NULL)
    {
      (void)g_hash_table_foreach_remove (fleet->signs, flt_signs_expired,
                                         fleet);
      signs = g_new0 (struct flt_signs, 1);
      signs->id = g_strdup (id);
      signs->started_ms = started_ms;
      g_hash_table_add (fleet->signs, signs);
    }
  signs->updated_us = tm_now_us (fleet->tm);
  return signs;
}

/* Record that the endpoint ID that started at STARTED_MS has said that it
   leaves.  Return whether that was not known.  */
bool
flt_mark_leaving (struct flt_fleet *fleet, const char *id, uint64_t started_ms)
{
  struct flt_signs *signs = flt_update_signs (fleet, id, started_ms);
  struct flt_endpoint *endpoint = flt_find (fleet, id);
  bool known = signs->leaving;

  signs->leaving = true;
  if (endpoint != NULL && endpoint->entry.started_ms == started_ms)
    {
      known |= endpoint->entry.leaving;
      endpoint->entry.leaving = true;
    }
  return !known;
}

/* Amend ENTRY, which was read from the store, by the signs of its endpoint.
 */
void
flt_apply_signs (const struct flt_fleet *fleet, struct flt_entry *entry)
{
  const struct flt_signs *signs
      = flt_find_signs (fleet, entry->id, entry->started_ms);

  if (signs != NULL && signs->leaving)
    entry->leaving = true;
}

/* Record that the endpoint ID that started at STARTED_MS wants no requests of
   this instance for PAUSE_S.  Return the pause that applies, in
   milliseconds.  */
uint32_t
flt_pause (struct flt_fleet *fleet, const char *id, uint64_t started_ms,
           double pause_s)
{
  struct flt_signs *signs = flt_update_signs (fleet, id, started_ms);
  struct flt_endpoint *endpoint = flt_find (fleet, id);
  double bounded_s = MIN (pause_s, FLT_PAUSE_MAX_S);
  uint64_t until_us
      = tm_now_us (fleet->tm) + (uint64_t)(bounded_s * FLT_US_PER_S);

  signs->paused_until_us = MAX (signs->paused_until_us, until_us);
  fleet->pauses_end_us = MAX (fleet->pauses_end_us, until_us);
  if (endpoint != NULL)
    flt_restore_pause (fleet, endpoint);
  return (uint32_t)(bounded_s * FLT_US_PER_S / FLT_US_PER_MS);
}

/* Set the pause of ENDPOINT, whose entry was read, to what it has asked for
   since it started.  */
void
flt_restore_pause (const struct flt_fleet *fleet,
                   struct flt_endpoint *endpoint)
{
  const struct flt_signs *signs
      = flt_find_signs (fleet, endpoint->entry.id, endpoint->entry.started_ms);

  endpoint->paused_until_us = signs == NULL ? 0 : signs->paused_until_us;
}

/* Return for how long ENDPOINT still wants no requests, in milliseconds.  */
uint32_t
flt_pause_ms (const struct flt_fleet *fleet,
              const struct flt_endpoint *endpoint)
{
  uint64_t now_us;

  /* Most endpoints never pause.  Reading the clock for each endpoint that is
     considered would slow the choice.  */
  if (endpoint->paused_until_us == 0)
    return 0;
  now_us = tm_now_us (fleet->tm);
  if (now_us >= endpoint->paused_until_us)
    return 0;
  return (uint32_t)((endpoint->paused_until_us - now_us + FLT_US_PER_MS - 1)
                    / FLT_US_PER_MS);
}

/* Return whether an endpoint of FLEET may want no requests now.  */
bool
flt_has_pauses (const struct flt_fleet *fleet)
{
  return fleet->pauses_end_us != 0
         && tm_now_us (fleet->tm) < fleet->pauses_end_us;
}

/* Return whether new requests may be sent to ENDPOINT.  */
bool
flt_usable (const struct flt_fleet *fleet, const struct flt_endpoint *endpoint)
{
  return flt_in_service (fleet, endpoint)
         && flt_pause_ms (fleet, endpoint) == 0;
}
