#include "psn.h"

#define PSN_EXPIRY_US (PSN_EXPIRY_S * 1000000ULL)
#define PSN_US_PER_MS 1000
#define PSN_TABLE_MAX 4096 /* capacity of one message to the peers */
/* A crash that a peer reports as at most this much newer than the clearing of
   its suspicion may be an older one whose message was delayed.  */
#define PSN_REPORT_DELAY_US 1000000ULL
/* Connections lost within this time may belong to the same crash.  */
#define PSN_SAME_CRASH_US 5000000ULL

struct psn_endpoint
{
  char *address;
  struct psn_run *runs;
};

/* A cleared suspicion is kept with a crash count of 0: peers repeat their
   reports, and an old one must not restore it.  */
struct psn_suspicion
{
  uint64_t fingerprint;
  uint32_t crashes;
  uint64_t last_us;   /* time of the last crash or of the clearing */
  char *last_address; /* of the last crash; NULL: from a peer */
};

struct psn_table
{
  struct tm_service *tm;
  psn_changed changed;
  void *arg;
  GHashTable *endpoints;
  GHashTable *suspicions;
};

static void
psn_endpoint_free (gpointer data)
{
  struct psn_endpoint *endpoint = data;

  g_free (endpoint->address);
  g_free (endpoint);
}

static void
psn_suspicion_free (gpointer data)
{
  struct psn_suspicion *suspicion = data;

  g_free (suspicion->last_address);
  g_free (suspicion);
}

/* Return an empty table that calls CHANGED with ARG when this instance
   suspects or clears a fingerprint.  */
struct psn_table *
psn_new (struct tm_service *tm, psn_changed changed, void *arg)
{
  struct psn_table *table = g_new0 (struct psn_table, 1);

  table->tm = tm;
  table->changed = changed;
  table->arg = arg;
  table->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            psn_endpoint_free);
  table->suspicions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             psn_suspicion_free);
  return table;
}

/* Free TABLE.  */
void
psn_free (struct psn_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->endpoints);
  g_hash_table_destroy (table->suspicions);
  g_free (table);
}

static bool
psn_is_expired (const struct psn_table *table,
                const struct psn_suspicion *suspicion)
{
  return tm_now_us (table->tm) - suspicion->last_us >= PSN_EXPIRY_US;
}

static struct psn_suspicion *
psn_find (struct psn_table *table, uint64_t fingerprint)
{
  struct psn_suspicion *found;

  if (g_hash_table_size (table->suspicions) == 0)
    return NULL;
  found = g_hash_table_lookup (table->suspicions, &fingerprint);
  if (found == NULL || !psn_is_expired (table, found))
    return found;
  g_hash_table_remove (table->suspicions, &fingerprint);
  return NULL;
}

static gboolean
psn_entry_is_expired (gpointer key, gpointer value, gpointer table)
{
  (void)key;
  return psn_is_expired (table, value);
}

/* Return the suspicion of FINGERPRINT, created if it does not exist; NULL if
   the table is full.  */
static struct psn_suspicion *
psn_find_or_create (struct psn_table *table, uint64_t fingerprint)
{
  struct psn_suspicion *suspicion = psn_find (table, fingerprint);

  if (suspicion != NULL)
    return suspicion;
  g_hash_table_foreach_remove (table->suspicions, psn_entry_is_expired, table);
  if (g_hash_table_size (table->suspicions) >= PSN_TABLE_MAX)
    return NULL;
  suspicion = g_new0 (struct psn_suspicion, 1);
  suspicion->fingerprint = fingerprint;
  g_hash_table_insert (table->suspicions, &suspicion->fingerprint, suspicion);
  return suspicion;
}

/* Return the number of crashes counted for FINGERPRINT.  */
uint32_t
psn_crashes (struct psn_table *table, uint64_t fingerprint)
{
  const struct psn_suspicion *suspicion = psn_find (table, fingerprint);

  return suspicion == NULL ? 0 : suspicion->crashes;
}

/* Return whether a request with FINGERPRINT may run, and how.  */
enum psn_verdict
psn_check (struct psn_table *table, uint64_t fingerprint)
{
  uint32_t crashes = psn_crashes (table, fingerprint);

  if (crashes == 0)
    return PSN_CLEAR;
  return crashes >= PSN_CRASHES_MAX ? PSN_POISON : PSN_SUSPECT;
}

/* Register RUN, an attempt with FINGERPRINT that starts on the endpoint at
   ADDRESS.  */
void
psn_begin (struct psn_table *table, struct psn_run *run, uint64_t fingerprint,
           const char *address)
{
  struct psn_endpoint *endpoint
      = g_hash_table_lookup (table->endpoints, address);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct psn_endpoint, 1);
      endpoint->address = g_strdup (address);
      g_hash_table_insert (table->endpoints, endpoint->address, endpoint);
    }
  run->fingerprint = fingerprint;
  run->endpoint = endpoint;
  run->started_us = tm_now_us (table->tm);
  run->next = endpoint->runs;
  run->link = &endpoint->runs;
  if (run->next != NULL)
    run->next->link = &run->next;
  endpoint->runs = run;
}

static void
psn_clear (struct psn_suspicion *suspicion, uint64_t when_us)
{
  g_free (suspicion->last_address);
  suspicion->last_address = NULL;
  suspicion->crashes = 0;
  suspicion->last_us = when_us;
}

/* Unregister RUN, which has ended.  If its answer was COMPLETE, clear the
   suspicion of its fingerprint.  */
void
psn_end (struct psn_table *table, struct psn_run *run, bool complete)
{
  if (run->endpoint == NULL)
    return;
  *run->link = run->next;
  if (run->next != NULL)
    run->next->link = run->link;
  run->endpoint = NULL;
  if (!complete || psn_crashes (table, run->fingerprint) == 0)
    return;
  psn_clear (psn_find (table, run->fingerprint), tm_now_us (table->tm));
  table->changed (table->arg, run->fingerprint, 0);
}

/* Return whether the lost connection of RUN belongs to the last crash counted
   for SUSPICION: RUN had started before it, on the same endpoint.  A peer's
   report does not name the endpoint, so only the time decides in that
   case.  */
static bool
psn_same_crash (const struct psn_suspicion *suspicion,
                const struct psn_run *run, uint64_t now_us)
{
  if (suspicion->crashes == 0 || run->started_us > suspicion->last_us
      || now_us - suspicion->last_us >= PSN_SAME_CRASH_US)
    return false;
  return suspicion->last_address == NULL
         || g_str_equal (suspicion->last_address, run->endpoint->address);
}

static void
psn_count_crash (struct psn_table *table, const struct psn_run *run)
{
  struct psn_suspicion *suspicion
      = psn_find_or_create (table, run->fingerprint);
  uint64_t now_us = tm_now_us (table->tm);

  if (suspicion == NULL || psn_same_crash (suspicion, run, now_us))
    return;
  suspicion->crashes++;
  suspicion->last_us = now_us;
  g_free (suspicion->last_address);
  suspicion->last_address = g_strdup (run->endpoint->address);
  table->changed (table->arg, run->fingerprint, suspicion->crashes);
}

/* Process the loss of RUN's connection before its answer was complete: every
   request in flight on that endpoint becomes a suspect.  Other connections
   lost in the same crash are not counted again.  */
void
psn_connection_lost (struct psn_table *table, const struct psn_run *run)
{
  if (run->endpoint == NULL)
    return;
  for (const struct psn_run *r = run->endpoint->runs; r != NULL; r = r->next)
    psn_count_crash (table, r);
}

/* Return the number of suspects that run on the endpoint at ADDRESS.  */
uint32_t
psn_suspects_at (struct psn_table *table, const char *address)
{
  const struct psn_endpoint *endpoint
      = g_hash_table_lookup (table->endpoints, address);
  uint32_t count = 0;

  if (endpoint == NULL || g_hash_table_size (table->suspicions) == 0)
    return 0;
  for (const struct psn_run *r = endpoint->runs; r != NULL; r = r->next)
    if (psn_check (table, r->fingerprint) != PSN_CLEAR)
      count++;
  return count;
}

/* Merge a peer's report of CRASHES for FINGERPRINT, the last one AGE_MS ago; 0
   crashes mean that the suspicion was cleared then.  Several instances see the
   same crash, so the result is the maximum of the counts, not the sum.  Of a
   crash and a clearing, the later one takes precedence.  */
void
psn_merge (struct psn_table *table, uint64_t fingerprint, uint32_t crashes,
           uint32_t age_ms)
{
  uint64_t now_us = tm_now_us (table->tm);
  uint64_t age_us = (uint64_t)age_ms * PSN_US_PER_MS;
  uint64_t when_us = age_us > now_us ? 0 : now_us - age_us;
  struct psn_suspicion *suspicion;

  if (age_us >= PSN_EXPIRY_US)
    return;
  suspicion = psn_find_or_create (table, fingerprint);
  if (suspicion == NULL)
    return;
  if (crashes == 0)
    {
      if (when_us >= suspicion->last_us)
        psn_clear (suspicion, when_us);
      return;
    }
  if (crashes <= suspicion->crashes
      || (suspicion->crashes == 0 && suspicion->last_us > 0
          && when_us <= suspicion->last_us + PSN_REPORT_DELAY_US))
    return;
  g_free (suspicion->last_address);
  suspicion->last_address = NULL;
  suspicion->crashes = crashes;
  suspicion->last_us = MAX (suspicion->last_us, when_us);
}

/* Call EACH with ARG for every suspect fingerprint.  */
void
psn_foreach (const struct psn_table *table,
             void (*each) (void *arg, uint64_t fingerprint, uint32_t crashes,
                           uint32_t age_ms),
             void *arg)
{
  uint64_t now_us = tm_now_us (table->tm);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->suspicions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct psn_suspicion *s = value;

      if (s->crashes > 0 && !psn_is_expired (table, s))
        each (arg, s->fingerprint, s->crashes,
              (uint32_t)((now_us - s->last_us) / PSN_US_PER_MS));
    }
}
