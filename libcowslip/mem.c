#include <string.h>

#include <xxhash.h>

#include "mem.h"
#include "mem_record.h"

#define MEM_CHECK_US 500000

struct mem_table
{
  struct tm_service *tm;
  struct tm_timer check;
  const struct mem_callbacks *callbacks;
  void *arg;
  struct mem_member *self;
  GPtrArray *members;   /* with SELF, by zone, number and name */
  GHashTable *retired;  /* set of incarnations that have ended */
  GHashTable *attempts; /* zone -> contacts tried in vain */
};

static void mem_check (void *arg);

static gint
mem_compare (gconstpointer a, gconstpointer b)
{
  const struct mem_member *x = *(struct mem_member *const *)a;
  const struct mem_member *y = *(struct mem_member *const *)b;
  int zones = strcmp (x->zone, y->zone);

  if (zones != 0)
    return zones;
  if (x->number != y->number)
    return x->number < y->number ? -1 : 1;
  return strcmp (x->instance, y->instance);
}

/* Return a table that knows only SELF, which is copied.  CALLBACKS must stay
   valid and are called with ARG.  */
struct mem_table *
mem_table_new (struct tm_service *tm, const struct mem_member *self,
               const struct mem_callbacks *callbacks, void *arg)
{
  struct mem_table *table = g_new0 (struct mem_table, 1);

  table->tm = tm;
  table->callbacks = callbacks;
  table->arg = arg;
  table->self = mem_member_copy (self);
  table->self->reachable = true;
  table->members = g_ptr_array_new_with_free_func (mem_member_free);
  g_ptr_array_add (table->members, table->self);
  table->retired
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  table->attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  tm_after (tm, &table->check, MEM_CHECK_US, mem_check, table);
  return table;
}

/* Free TABLE.  */
void
mem_table_free (struct mem_table *table)
{
  if (table == NULL)
    return;
  tm_cancel (table->tm, &table->check);
  g_ptr_array_free (table->members, TRUE);
  g_hash_table_destroy (table->retired);
  g_hash_table_destroy (table->attempts);
  g_free (table);
}

/* Return this instance.  */
const struct mem_member *
mem_self (const struct mem_table *table)
{
  return table->self;
}

/* Return all members (struct mem_member), by zone, number and name.  */
const GPtrArray *
mem_members (const struct mem_table *table)
{
  return table->members;
}

/* Return the member INSTANCE, NULL if it is not known.  */
const struct mem_member *
mem_find (const struct mem_table *table, const char *instance)
{
  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);

      if (strcmp (member->instance, instance) == 0)
        return member;
    }
  return NULL;
}

static bool
mem_is_local (const struct mem_table *table, const struct mem_member *member)
{
  return strcmp (member->zone, table->self->zone) == 0;
}

static void
mem_changed (struct mem_table *table)
{
  g_ptr_array_sort (table->members, mem_compare);
  table->callbacks->changed (table->arg);
}

/* Note what this instance's own heartbeats say.  */
void
mem_set_self (struct mem_table *table, uint64_t generation, bool draining)
{
  if (table->self->generation == generation
      && table->self->draining == draining)
    return;
  table->self->generation = generation;
  table->self->draining = draining;
  mem_changed (table);
}

static void
mem_reach (struct mem_table *table, struct mem_member *member, bool reachable)
{
  if (member->reachable == reachable)
    return;
  member->reachable = reachable;
  table->callbacks->reach (table->arg, member);
  mem_changed (table);
}

static void
mem_check (void *arg)
{
  struct mem_table *table = arg;
  uint64_t now_us = tm_now_us (table->tm);

  for (guint i = 0; i < table->members->len; i++)
    {
      struct mem_member *member = g_ptr_array_index (table->members, i);
      uint64_t limit_us = mem_is_local (table, member) ? MEM_SUSPECT_US
                                                       : MEM_ZONE_SUSPECT_US;

      if (member != table->self && now_us - member->heard_us >= limit_us)
        mem_reach (table, member, false);
    }
  tm_after (table->tm, &table->check, MEM_CHECK_US, mem_check, table);
}

static void
mem_retire (struct mem_table *table, uint64_t incarnation)
{
  g_hash_table_add (table->retired,
                    g_memdup2 (&incarnation, sizeof incarnation));
}

/* Take over what SOURCE says about its own identity.  Return NULL if it is
   this instance or an incarnation that has ended.  */
static struct mem_member *
mem_meet (struct mem_table *table, const struct mem_member *source,
          bool *is_new)
{
  struct mem_member *member
      = (struct mem_member *)mem_find (table, source->instance);

  *is_new = false;
  if (member == table->self
      || g_hash_table_contains (table->retired, &source->incarnation))
    return NULL;
  if (member != NULL && member->incarnation == source->incarnation)
    return member;
  *is_new = true;
  if (member != NULL)
    {
      mem_retire (table, member->incarnation);
      g_ptr_array_remove (table->members, member);
    }
  member = mem_member_copy (source);
  member->generation = 0;
  member->heard_us = 0;
  member->recorded = false;
  member->reachable = false;
  member->draining = false;
  g_ptr_array_add (table->members, member);
  mem_changed (table);
  return member;
}

/* Take in a heartbeat of HEARD, of which instance, zone, addresses, number,
   incarnation, generation and draining count.  Return false if it is to be
   ignored, because it comes from an incarnation that has ended.  */
bool
mem_heard (struct mem_table *table, const struct mem_member *heard)
{
  bool is_new;
  struct mem_member *member = mem_meet (table, heard, &is_new);
  bool differs;

  if (member == NULL)
    return false;
  differs = member->generation != heard->generation
            || member->draining != heard->draining;
  member->generation = heard->generation;
  member->draining = heard->draining;
  is_new = is_new || member->heard_us == 0;
  member->heard_us = tm_now_us (table->tm);
  mem_reach (table, member, true);
  if (differs)
    mem_changed (table);
  if (is_new)
    table->callbacks->greet (table->arg, member);
  return true;
}

/* Take in a heartbeat of INCARNATION of INSTANCE that does not say who its
   sender is.  Return false if it is to be ignored, because this incarnation is
   not known.  */
bool
mem_heard_again (struct mem_table *table, const char *instance,
                 uint64_t incarnation, uint64_t generation, bool draining)
{
  const struct mem_member *member = mem_find (table, instance);
  struct mem_member heard;

  if (member == NULL || member->incarnation != incarnation)
    return false;
  heard = *member;
  heard.generation = generation;
  heard.draining = draining;
  return mem_heard (table, &heard);
}

/* Take in the answer of INSTANCE to a heartbeat.  An answer from another
   incarnation than the known one says nothing about either.  */
void
mem_answered (struct mem_table *table, const char *instance,
              uint64_t incarnation, uint64_t generation)
{
  struct mem_member *member = (struct mem_member *)mem_find (table, instance);

  if (member == NULL || member == table->self
      || member->incarnation != incarnation)
    return;
  member->heard_us = tm_now_us (table->tm);
  mem_reach (table, member, true);
  if (member->generation == generation)
    return;
  member->generation = generation;
  mem_changed (table);
}

static bool
mem_has_record (const GPtrArray *records, const struct mem_member *member)
{
  for (guint i = 0; i < records->len; i++)
    {
      const struct mem_member *record = g_ptr_array_index (records, i);

      if (strcmp (record->instance, member->instance) == 0)
        return record->incarnation == member->incarnation;
    }
  return false;
}

/* Take in the answer of the key-value service: RECORDS (struct mem_member) are
   all live records of ZONE, or of all zones if it is NULL.  A member without a
   record is removed unless its heartbeats arrive, because it may have lost the
   key-value service and still send requests to engines.  */
void
mem_recorded (struct mem_table *table, const char *zone,
              const GPtrArray *records)
{
  bool changed = false;
  bool is_new;

  for (guint i = 0; i < records->len; i++)
    (void)mem_meet (table, g_ptr_array_index (records, i), &is_new);
  for (guint i = table->members->len; i > 0; i--)
    {
      struct mem_member *member = g_ptr_array_index (table->members, i - 1);
      bool recorded = mem_has_record (records, member);

      if (zone != NULL && strcmp (member->zone, zone) != 0)
        continue;
      changed = changed || recorded != member->recorded;
      member->recorded = recorded;
      if (recorded || member->reachable)
        continue;
      mem_retire (table, member->incarnation);
      g_ptr_array_remove_index (table->members, i - 1);
      changed = true;
    }
  if (changed)
    mem_changed (table);
}

static bool
mem_is_live (const struct mem_member *member)
{
  return member->reachable && !member->draining;
}

/* Return the live member of the own zone with the lowest number that is not
   draining.  If all drain it is this instance.  */
const struct mem_member *
mem_lowest (const struct mem_table *table)
{
  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);

      if (mem_is_local (table, member) && mem_is_live (member))
        return member;
    }
  return table->self;
}

/* Return whether this instance is one of the COUNT lowest that are live.  */
bool
mem_among_lowest (const struct mem_table *table, uint32_t count)
{
  uint32_t lower = 0;

  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);

      if (member == table->self)
        return lower < count;
      lower += mem_is_local (table, member) && mem_is_live (member);
    }
  return false;
}

/* Return how many contacts of ZONE were tried in vain, and count one more.  */
static guint
mem_next_attempt (struct mem_table *table, const char *zone)
{
  guint *tried = g_hash_table_lookup (table->attempts, zone);

  if (tried != NULL)
    return (*tried)++;
  tried = g_new0 (guint, 1);
  *tried = 1;
  g_hash_table_insert (table->attempts, g_strdup (zone), tried);
  return 0;
}

/* Return the member of ZONE to send heartbeats to, NULL if none is known: the
   lowest that is reachable, or else each in turn, because the lowest may be
   gone while its record stays.  */
const struct mem_member *
mem_contact (struct mem_table *table, const char *zone)
{
  GPtrArray *candidates = g_ptr_array_new ();
  const struct mem_member *contact = NULL;

  for (guint i = 0; i < table->members->len; i++)
    {
      struct mem_member *member = g_ptr_array_index (table->members, i);

      if (strcmp (member->zone, zone) != 0)
        continue;
      g_ptr_array_add (candidates, member);
      if (contact == NULL && mem_is_live (member))
        contact = member;
    }
  if (contact == NULL && candidates->len > 0)
    contact = g_ptr_array_index (candidates, mem_next_attempt (table, zone)
                                                 % candidates->len);
  g_ptr_array_free (candidates, TRUE);
  return contact;
}

/* Return the member of the own zone that reads the report of ENDPOINT: the
   one that hashes highest with it, so that a change of members moves only the
   engines of the member that came or went.  */
const struct mem_member *
mem_reader_of (const struct mem_table *table, const char *endpoint)
{
  const struct mem_member *best = table->self;
  uint64_t best_score = 0;

  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);
      uint64_t score;

      if (!mem_is_local (table, member) || !mem_is_live (member))
        continue;
      score = XXH3_64bits_withSeed (
          endpoint, strlen (endpoint),
          XXH3_64bits (member->instance, strlen (member->instance)));
      if (score < best_score)
        continue;
      best = member;
      best_score = score;
    }
  return best;
}

/* Return the names of all other zones with members; the caller frees the
   array, but not the names.  */
GPtrArray *
mem_other_zones (const struct mem_table *table)
{
  GPtrArray *zones = g_ptr_array_new ();

  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);
      const char *last
          = zones->len > 0 ? g_ptr_array_index (zones, zones->len - 1) : "";

      if (!mem_is_local (table, member) && strcmp (member->zone, last) != 0)
        g_ptr_array_add (zones, member->zone);
    }
  return zones;
}

/* Return whether a member serves RPC on RPC_ADDRESS.  */
bool
mem_address_known (const struct mem_table *table, const char *rpc_address)
{
  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);

      if (strcmp (member->rpc_address, rpc_address) == 0)
        return true;
    }
  return false;
}
