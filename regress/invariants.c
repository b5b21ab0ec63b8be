#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "invariants.h"

/* How long an endpoint may receive new work after its first leaving sign.  */
#define INV_LEAVING_MAX_MS 3000
#define INV_US_PER_MS      1000U
/* Number of engines of one zone that may crash on the same request.  */
#define INV_CRASHES_MAX 2U

/* The addition (+1) or removal (-1) of a replica.  */
struct inv_change
{
  uint64_t time_us;
  int32_t delta;
};

/* The replica budget and replica changes of one model in one zone.  */
struct inv_slots
{
  char *model;
  char *zone;
  uint32_t budget;
  GArray *changes;
};

struct inv_finding_entry
{
  bool violation;
  char *text;
};

struct inv
{
  GHashTable *slots;   /* by "ZONE MODEL" */
  GHashTable *runs;    /* count of runs by idempotency key */
  GHashTable *keys;    /* struct inv_key by idempotency key */
  GHashTable *crashes; /* count by "ZONE SEED" of the request */
  GHashTable *started; /* seeds of requests that an engine started */
  GHashTable *not_run; /* seeds of requests refused with "not_run" */
  GPtrArray *findings;
  bool services_read;
};

static void
inv_slots_free (gpointer memory)
{
  struct inv_slots *slots = memory;

  g_free (slots->model);
  g_free (slots->zone);
  g_array_free (slots->changes, TRUE);
  g_free (slots);
}

static void
inv_finding_entry_free (gpointer memory)
{
  struct inv_finding_entry *entry = memory;

  g_free (entry->text);
  g_free (entry);
}

/* Return a checker without records.  */
struct inv *
inv_new (void)
{
  struct inv *inv = g_new0 (struct inv, 1);

  inv->slots = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      inv_slots_free);
  inv->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  inv->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  inv->crashes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  inv->started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  inv->not_run = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  inv->findings = g_ptr_array_new_with_free_func (inv_finding_entry_free);
  return inv;
}

/* Free INV.  */
void
inv_free (struct inv *inv)
{
  g_hash_table_destroy (inv->slots);
  g_hash_table_destroy (inv->runs);
  g_hash_table_destroy (inv->keys);
  g_hash_table_destroy (inv->crashes);
  g_hash_table_destroy (inv->started);
  g_hash_table_destroy (inv->not_run);
  g_ptr_array_free (inv->findings, TRUE);
  g_free (inv);
}

static void inv_add_finding (struct inv *inv, bool violation,
                             const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
inv_add_finding (struct inv *inv, bool violation, const char *format, ...)
{
  struct inv_finding_entry *entry = g_new0 (struct inv_finding_entry, 1);
  va_list ap;

  va_start (ap, format);
  entry->text = g_strdup_vprintf (format, ap);
  va_end (ap);
  entry->violation = violation;
  g_ptr_array_add (inv->findings, entry);
}

static int64_t
inv_int (struct json_object *object, const char *key)
{
  return json_object_get_int64 (json_object_object_get (object, key));
}

static const char *
inv_string (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return value == NULL ? "" : json_object_get_string (value);
}

static size_t
inv_array_length (struct json_object *list)
{
  return json_object_is_type (list, json_type_array)
             ? json_object_array_length (list)
             : 0;
}

static struct inv_slots *
inv_slots (struct inv *inv, const char *model, const char *zone)
{
  char *name = g_strdup_printf ("%s %s", zone, model);
  struct inv_slots *slots = g_hash_table_lookup (inv->slots, name);

  if (slots != NULL)
    {
      g_free (name);
      return slots;
    }
  slots = g_new0 (struct inv_slots, 1);
  slots->model = g_strdup (model);
  slots->zone = g_strdup (zone);
  slots->changes = g_array_new (FALSE, FALSE, sizeof (struct inv_change));
  g_hash_table_insert (inv->slots, name, slots);
  return slots;
}

/* Allow REPLICAS of MODEL in ZONE.  If called more than once, the highest
   value applies, because the document may have changed during the run.  */
void
inv_budget (struct inv *inv, const char *model, const char *zone,
            uint32_t replicas)
{
  struct inv_slots *slots = inv_slots (inv, model, zone);

  slots->budget = MAX (slots->budget, replicas);
}

static void
inv_engine_change (struct inv *inv, const char *zone, GHashTable *held,
                   struct json_object *entry)
{
  const char *model = inv_string (entry, "model");
  const char *state = inv_string (entry, "state");
  struct inv_change change = { (uint64_t)inv_int (entry, "time_us"), 0 };

  if (strcmp (state, "loading") == 0 || strcmp (state, "loaded") == 0)
    change.delta = g_hash_table_add (held, (gpointer)model) ? 1 : 0;
  else
    change.delta = g_hash_table_remove (held, model) ? -1 : 0;
  if (change.delta != 0)
    g_array_append_val (inv_slots (inv, model, zone)->changes, change);
}

/* Remove the replicas that an engine held when its process ended.  */
static void
inv_engine_end (struct inv *inv, const char *zone, GHashTable *held,
                int64_t ended_us)
{
  struct inv_change change = { (uint64_t)ended_us, -1 };
  GHashTableIter iter;
  gpointer model;

  g_hash_table_iter_init (&iter, held);
  while (ended_us > 0 && g_hash_table_iter_next (&iter, &model, NULL))
    g_array_append_val (inv_slots (inv, model, zone)->changes, change);
}

static void
inv_engine_changes (struct inv *inv, const char *address, const char *zone,
                    struct json_object *records)
{
  struct json_object *changes = json_object_object_get (records, "changes");
  GHashTable *held = g_hash_table_new (g_str_hash, g_str_equal);
  int64_t memory_bytes = inv_int (records, "memory_bytes");

  for (size_t i = 0; i < inv_array_length (changes); i++)
    {
      struct json_object *entry = json_object_array_get_idx (changes, i);
      int64_t used_bytes = inv_int (entry, "used_bytes");

      inv_engine_change (inv, zone, held, entry);
      if (used_bytes > memory_bytes)
        inv_add_finding (inv, true,
                         "engine %s: %" PRId64 " of %" PRId64
                         " bytes used at %" PRId64 " us",
                         address, used_bytes, memory_bytes,
                         inv_int (entry, "time_us"));
    }
  inv_engine_end (inv, zone, held, inv_int (records, "ended_us"));
  g_hash_table_destroy (held);
}

/* Check that no order was executed after one with a higher fencing number.  An
   engine that does not check fencing numbers executes stale orders too, so
   that an order of a former controller is detected here.  */
static void
inv_engine_orders (struct inv *inv, const char *address,
                   struct json_object *records)
{
  struct json_object *orders = json_object_object_get (records, "orders");
  uint64_t highest = 0;

  for (size_t i = 0; i < inv_array_length (orders); i++)
    {
      struct json_object *order = json_object_array_get_idx (orders, i);
      uint64_t fence
          = g_ascii_strtoull (inv_string (order, "fence"), NULL, 10);

      if (fence < highest && inv_int (order, "status") < 300)
        inv_add_finding (inv, true,
                         "engine %s: order %s %s with fence %" PRIu64
                         " executed after fence %" PRIu64,
                         address, inv_string (order, "order"),
                         inv_string (order, "model"), fence, highest);
      highest = MAX (highest, fence);
    }
}

/* Increment the count of KEY and return it.  */
static uint64_t
inv_increment (GHashTable *counts, const char *key)
{
  uint64_t *count = g_hash_table_lookup (counts, key);

  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_hash_table_insert (counts, g_strdup (key), count);
    }
  return ++*count;
}

static void
inv_engine_crashes (struct inv *inv, const char *address, const char *zone,
                    struct json_object *records)
{
  struct json_object *crashes = json_object_object_get (records, "crashes");

  for (size_t i = 0; i < inv_array_length (crashes); i++)
    {
      const char *seed
          = inv_string (json_object_array_get_idx (crashes, i), "seed");
      char *name = g_strdup_printf ("%s %s", zone, seed);
      uint64_t count = inv_increment (inv->crashes, name);

      if (count > INV_CRASHES_MAX)
        inv_add_finding (inv, true,
                         "engine %s: crash %" PRIu64 " in %s for one request",
                         address, count, zone);
      g_free (name);
    }
}

/* Check that no work was accepted too long after a leaving sign.  Events of
   different processes have no recorded order, so the times of accepted
   requests are compared with the times of the logged signs.  */
static void
inv_engine_leaving (struct inv *inv, const char *address,
                    struct json_object *records)
{
  struct json_object *signs = json_object_object_get (records, "signs");
  struct json_object *accepted = json_object_object_get (records, "accepted");
  uint64_t late_count = 0;
  int64_t latest_ms = 0;

  for (size_t i = 0; i < inv_array_length (signs); i++)
    {
      struct json_object *sign = json_object_array_get_idx (signs, i);
      int64_t from_us = inv_int (sign, "leaving_us");
      int64_t until_us = inv_int (sign, "back_us");

      for (size_t k = 0; k < inv_array_length (accepted); k++)
        {
          int64_t after_ms
              = (inv_int (json_object_array_get_idx (accepted, k), "time_us")
                 - from_us)
                / INV_US_PER_MS;
          bool returned
              = until_us > 0 && from_us + after_ms * INV_US_PER_MS >= until_us;

          if (after_ms <= INV_LEAVING_MAX_MS || returned)
            continue;
          late_count++;
          latest_ms = MAX (latest_ms, after_ms);
        }
    }
  if (late_count > 0)
    inv_add_finding (inv, true,
                     "engine %s: accepted %" PRIu64
                     " requests too long after a "
                     "leaving sign, the last %" PRId64 " ms after it",
                     address, late_count, latest_ms);
}

static void
inv_engine_started (struct inv *inv, struct json_object *records)
{
  struct json_object *started = json_object_object_get (records, "started");

  for (size_t i = 0; i < inv_array_length (started); i++)
    g_hash_table_add (inv->started,
                      g_strdup (inv_string (
                          json_object_array_get_idx (started, i), "seed")));
}

/* Add the RECORDS of the engine at ADDRESS in ZONE: the response to GET
   /records, or the records of one incarnation from its log file with the time
   of its end.  */
void
inv_engine (struct inv *inv, const char *address, const char *zone,
            struct json_object *records)
{
  struct json_object *overcommits
      = json_object_object_get (records, "overcommits");

  inv_engine_changes (inv, address, zone, records);
  inv_engine_orders (inv, address, records);
  inv_engine_crashes (inv, address, zone, records);
  inv_engine_leaving (inv, address, records);
  inv_engine_started (inv, records);
  if (inv_array_length (overcommits) > 0)
    inv_add_finding (inv, true, "engine %s: memory overcommitted %zu times",
                     address, inv_array_length (overcommits));
  if (inv_int (records, "dropped") > 0)
    inv_add_finding (inv, true, "engine %s: records are incomplete", address);
  if (inv_int (records, "last_after_leaving_ms") > INV_LEAVING_MAX_MS)
    inv_add_finding (inv, true,
                     "engine %s: accepted new work %" PRId64
                     " ms after it began to leave",
                     address, inv_int (records, "last_after_leaving_ms"));
  if (inv_int (records, "refused_memory") > 0)
    inv_add_finding (
        inv, false, "engine %s: refused %" PRId64 " orders for lack of memory",
        address, inv_int (records, "refused_memory"));
  if (inv_int (records, "unloads_while_busy") > 0)
    inv_add_finding (inv, false,
                     "engine %s: %" PRId64 " unloads of models in use",
                     address, inv_int (records, "unloads_while_busy"));
}

/* Add the RECORDS of the service at ADDRESS.  */
void
inv_service (struct inv *inv, const char *address, struct json_object *records)
{
  struct json_object *runs = json_object_object_get (records, "runs");

  inv->services_read = true;
  for (size_t i = 0; i < inv_array_length (runs); i++)
    {
      const char *key
          = inv_string (json_object_array_get_idx (runs, i), "key");

      if (key[0] != '\0')
        inv_increment (inv->runs, key);
    }
  if (inv_int (records, "dropped") > 0)
    inv_add_finding (inv, true, "service %s: records are incomplete", address);
}

/* Add the RECORDS of the key-value service at ADDRESS.  */
void
inv_kv (struct inv *inv, const char *address, struct json_object *records)
{
  int64_t refused
      = inv_int (json_object_object_get (records, "calls"), "refused_by_rate");

  if (refused > 0)
    inv_add_finding (inv, false,
                     "key-value service %s: %" PRId64
                     " calls over the rate limit",
                     address, refused);
}

/* Add what callers recorded about KEY, replacing an earlier record.  */
void
inv_key (struct inv *inv, const struct inv_key *key)
{
  struct inv_key *held = g_new (struct inv_key, 1);

  *held = *key;
  held->text = NULL;
  g_hash_table_replace (inv->keys, g_strdup (key->text), held);
}

/* Record that the only attempt of the request with SEED was refused with
   "not_run".  */
void
inv_not_run (struct inv *inv, const char *seed)
{
  g_hash_table_add (inv->not_run, g_strdup (seed));
}

static gint
inv_change_compare (gconstpointer a, gconstpointer b)
{
  const struct inv_change *x = a;
  const struct inv_change *y = b;

  if (x->time_us != y->time_us)
    return x->time_us < y->time_us ? -1 : 1;
  return x->delta - y->delta;
}

static void
inv_check_slots (struct inv *inv, struct inv_slots *slots)
{
  int64_t count = 0;
  int64_t highest = 0;
  uint64_t when_us = 0;

  g_array_sort (slots->changes, inv_change_compare);
  for (guint i = 0; i < slots->changes->len; i++)
    {
      const struct inv_change *change
          = &g_array_index (slots->changes, struct inv_change, i);

      count += change->delta;
      if (count > highest)
        {
          highest = count;
          when_us = change->time_us;
        }
    }
  if (highest > slots->budget)
    inv_add_finding (
        inv, true,
        "model %s in %s: %" PRId64 " replicas of %u allowed at %" PRIu64 " us",
        slots->model, slots->zone, highest, slots->budget, when_us);
}

static void
inv_check_keys (struct inv *inv)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, inv->runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (*(const uint64_t *)value > 1)
      inv_add_finding (inv, true, "key %s ran %" PRIu64 " times",
                       (const char *)key, *(const uint64_t *)value);
  g_hash_table_iter_init (&iter, inv->keys);
  while (inv->services_read && g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct inv_key *reported = value;
      const uint64_t *runs = g_hash_table_lookup (inv->runs, key);

      if (runs == NULL && reported->run > 0)
        inv_add_finding (inv, true, "key %s got a response but never ran",
                         (const char *)key);
      if (runs != NULL && reported->not_run == reported->sends)
        inv_add_finding (inv, true, "key %s was refused as not run, but ran",
                         (const char *)key);
    }
}

static void
inv_check_not_run (struct inv *inv)
{
  GHashTableIter iter;
  gpointer seed;

  g_hash_table_iter_init (&iter, inv->not_run);
  while (g_hash_table_iter_next (&iter, &seed, NULL))
    if (g_hash_table_contains (inv->started, seed))
      inv_add_finding (
          inv, true,
          "request %s was refused as not run, but an engine started it",
          (const char *)seed);
}

/* Run the remaining checks, pass all findings to FINDING with ARG and return
   the number of violations.  */
uint32_t
inv_report (struct inv *inv, inv_finding_cb finding, void *arg)
{
  GHashTableIter iter;
  gpointer slots;
  uint32_t violations = 0;

  g_hash_table_iter_init (&iter, inv->slots);
  while (g_hash_table_iter_next (&iter, NULL, &slots))
    inv_check_slots (inv, slots);
  inv_check_keys (inv);
  inv_check_not_run (inv);
  for (guint i = 0; i < inv->findings->len; i++)
    {
      const struct inv_finding_entry *entry = inv->findings->pdata[i];

      finding (arg, entry->violation, entry->text);
      violations += entry->violation;
    }
  return violations;
}
