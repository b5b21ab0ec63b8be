#include <string.h>

#include <xxhash.h>

#include "blm.h"
#include "gw_impl.h"
#include "lg.h"

/* Refuses requests that would crash endpoints: learns from crashes and answers
   which traits are dangerous.  */

/* Parts of a prompt that are compared; a longer list is cut.  */
#define GW_PARTS_MAX 32
/* Keeps the traits of parts apart from those of whole requests.  */
#define GW_PART_SEED UINT64_C (0x70617274)

/* Append the traits of the shared parts in LIST, ID:TOKENS,...  The last part
   belongs to a single request or session.  */
static void
gw_append_part_traits (const char *list, GArray *traits)
{
  const char *part = list;
  const char *end;

  while (traits->len <= GW_PARTS_MAX && (end = strchr (part, ',')) != NULL)
    {
      uint64_t trait
          = XXH3_64bits_withSeed (part, strcspn (part, ":,"), GW_PART_SEED);

      g_array_append_val (traits, trait);
      part = end + 1;
    }
}

/* Return the trait of REQUEST as a whole: what its caller sends again when it
   repeats it.  */
static uint64_t
gw_whole_trait (const struct gw_request *request)
{
  const struct prt_fields *fields = &request->gw->protocol->fields;
  const struct h1_head *head = h1_exchange_head (request->exchange);
  const char *const texts[]
      = { head->method, h1_head_get (head, "Host"), head->target,
          h1_head_get (head, fields->model),
          h1_head_get (head, fields->prefix) };
  size_t bytes;
  const char *body = h1_exchange_body (request->exchange, &bytes);
  uint64_t trait = XXH3_64bits (body, bytes);

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (texts[i] != NULL)
      trait = XXH3_64bits_withSeed (texts[i], strlen (texts[i]), trait + i);
  return trait;
}

/* Return the traits of REQUEST (uint64_t): of the whole request, then of the
   shared parts of its prompt.  */
const GArray *
gw_request_traits (struct gw_request *request)
{
  const char *parts = h1_head_get (h1_exchange_head (request->exchange),
                                   request->gw->protocol->fields.prefix);
  uint64_t whole;

  if (request->traits != NULL)
    return request->traits;
  request->traits = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  whole = gw_whole_trait (request);
  g_array_append_val (request->traits, whole);
  if (parts != NULL)
    gw_append_part_traits (parts, request->traits);
  return request->traits;
}

/* Return whether REQUEST may be sent to an endpoint.  If not, it has been
   refused, or has failed if it may have run, and is freed.  */
bool
gw_blame_admits (struct gw_request *request)
{
  struct gw *gw = request->gw;
  enum blm_verdict verdict;
  const GArray *traits;
  uint64_t trait;

  if (blm_is_empty (gw->blame.table) || request->sound
      || (request->on_trial && request->runs == 0))
    return true;
  traits = gw_request_traits (request);
  verdict = blm_check (gw->blame.table, (const uint64_t *)traits->data,
                       traits->len, ldr_is_leader (gw->ldr), &trait);
  if (verdict == BLM_CLEAR)
    return true;
  lg_write (LG_REQUEST_BLOCKED,
            "id=%s trait=%016" G_GINT64_MODIFIER "x trial=%d runs=%u",
            request->id, trait, verdict == BLM_TRIAL, request->runs);
  request->on_trial = verdict == BLM_TRIAL;
  if (request->on_trial)
    return true;
  if (request->runs > 0)
    gw_fail (request, RSN_POISON);
  else
    gw_refuse (request, RSN_POISON);
  return false;
}

/* REQUEST is being answered, so its traits are not dangerous.  */
void
gw_blame_answered (struct gw_request *request)
{
  struct gw *gw = request->gw;
  const GArray *traits;
  GArray *cleared;

  if (blm_is_empty (gw->blame.table))
    return;
  cleared = g_array_new (FALSE, FALSE, sizeof (cs_sound));
  traits = gw_request_traits (request);
  for (guint i = 0; i < traits->len; i++)
    {
      cs_sound sound = { .trait = g_array_index (traits, uint64_t, i) };

      if (blm_clear (gw->blame.table, sound.trait, 0))
        g_array_append_val (cleared, sound);
    }
  if (cleared->len > 0)
    gw_blame_tell_group (gw, NULL, cleared);
  g_array_unref (cleared);
}

/* Return what identifies the end of the process at ENDPOINT that was started
   at STARTED_MS.  */
uint64_t
gw_crash_id (const char *endpoint, uint64_t started_ms)
{
  return XXH3_64bits_withSeed (endpoint, strlen (endpoint), started_ms);
}

/* Return whether the response HEAD comes from the process of the endpoint ID.
   Another process that has its address now answers 421.  */
static bool
gw_is_from_endpoint (const struct gw *gw, const struct h1_head *head,
                     const char *id)
{
  const char *sender = h1_head_get (head, gw->protocol->fields.endpoint_id);

  return sender == NULL ? head->status != 421 : g_str_equal (sender, id);
}

/* The endpoint of REQUEST has begun to respond, with HEAD.  If its process was
   taken for crashed, it was not: the network had refused connections.  */
void
gw_blame_alive (const struct gw_request *request, const struct h1_head *head)
{
  struct gw *gw = request->gw;
  const struct flt_entry *entry = &request->endpoint->entry;
  uint64_t crash;

  if (blm_is_empty (gw->blame.table) || entry->started_ms == 0
      || !request->endpoint->listed
      || !gw_is_from_endpoint (gw, head, entry->id))
    return;
  crash = gw_crash_id (entry->id, entry->started_ms);
  if (!blm_is_disproved (gw->blame.table, crash, request->state_us))
    return;
  lg_write (LG_CRASH_RETRACTED,
            "id=%s endpoint=%s started_ms=%" G_GUINT64_FORMAT, request->id,
            entry->id, entry->started_ms);
  blm_retract (gw->blame.table, crash);
  gw_blame_tell_alive (gw, crash);
}

/* The process that is identified by CRASH and listened at ADDRESS has died,
   and REQUESTS (struct gw_request) were lost there.  */
void
gw_blame_lost (struct gw *gw, uint64_t crash, const char *address,
               const GPtrArray *requests)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (cs_crash));
  cs_crash event
      = { .crash = crash, .place = XXH3_64bits (address, strlen (address)) };

  for (guint i = 0; i < requests->len; i++)
    {
      const GArray *traits
          = gw_request_traits (g_ptr_array_index (requests, i));

      event.request = g_array_index (traits, uint64_t, 0);
      for (guint j = 0; j < traits->len; j++)
        {
          event.trait = g_array_index (traits, uint64_t, j);
          g_array_append_val (crashes, event);
        }
    }
  gw_blame_tell_group (gw, crashes, NULL);
  for (guint i = 0; i < crashes->len; i++)
    gw_blame_add (gw, &g_array_index (crashes, cs_crash, i));
  g_array_unref (crashes);
}

/* Record CRASH, which this instance has seen or heard of.  */
void
gw_blame_add (struct gw *gw, const cs_crash *crash)
{
  const struct blm_crash event = { .trait = crash->trait,
                                   .crash = crash->crash,
                                   .place = crash->place,
                                   .request = crash->request,
                                   .age_ms = crash->age_ms };

  blm_add (gw->blame.table, &event);
}

static void
gw_blame_blocked (void *arg, uint64_t trait, uint32_t crashes)
{
  struct gw *gw = arg;

  ctr_add (gw->counters, "traits_blocked_total", 1);
  lg_write (LG_TRAIT_BLOCKED, "trait=%016" G_GINT64_MODIFIER "x crashes=%u",
            trait, crashes);
  gw_blame_save_start (gw);
  gw_dispatch_queued (gw);
}

static void
gw_blame_unblocked (void *arg, uint64_t trait, enum blm_reason reason)
{
  struct gw *gw = arg;

  ctr_add (gw->counters, "traits_unblocked_total", 1);
  lg_write (LG_TRAIT_UNBLOCKED, "trait=%016" G_GINT64_MODIFIER "x reason=%s",
            trait, blm_reason_text (reason));
  gw_blame_save_start (gw);
}

/* Create the table of what is known about crashes.  */
void
gw_blame_start (struct gw *gw)
{
  static const struct blm_callbacks callbacks
      = { gw_blame_blocked, gw_blame_unblocked };

  gw->blame.table = blm_new (gw->tm, &callbacks, gw);
  gw->blame.saved
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}
