#include <string.h>

#include <xxhash.h>

#include "mem.h"
#include "mem_record.h"

#define MEM_CHECK_INTERVAL_US 500000

struct mem_table
{
  struct tm_service *tm;
  struct tm_timer check;
  const struct mem_callbacks *callbacks;
  void *arg;
  struct mem_member *self;
  GPtrArray *members;   /* with SELF, by zone, number and name */
  GHashTable *retired;  /* set of past incarnations */
  GHashTable *attempts; /* zone -> contact attempts (guint) */
};

static void mem_check_timeouts (void *arg);

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

/* Return a table whose only member is SELF, which is copied.  CALLBACKS must
   stay valid and are called with ARG.  */
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
  tm_after (tm, &table->check, MEM_CHECK_INTERVAL_US, mem_check_timeouts,
            table);
  return table;
}

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

/* Return the member INSTANCE, or NULL if there is none.  */
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
mem_notify_changed (struct mem_table *table)
{
  g_ptr_array_sort (table->members, mem_compare);
  table->callbacks->changed (table->arg);
}

/* Set the state that this instance sends in its heartbeats.  */
void
mem_set_self (struct mem_table *table, uint64_t generation, bool draining)
{
  if (table->self->generation == generation
      && table->self->draining == draining)
    return;
  table->self->generation = generation;
  table->self->draining = draining;
  mem_notify_changed (table);
}

static void
mem_set_reachable (struct mem_table *table, struct mem_member *member,
                   bool reachable)
{
  if (member->reachable == reachable)
    return;
  member->reachable = reachable;
  table->callbacks->reachability_changed (table->arg, member);
  mem_notify_changed (table);
}

static void
mem_check_timeouts (void *arg)
{
  struct mem_table *table = arg;
  uint64_t now_us = tm_now_us (table->tm);

  for (guint i = 0; i < table->members->len; i++)
    {
      struct mem_member *member = g_ptr_array_index (table->members, i);
      uint64_t limit_us = mem_is_local (table, member) ? MEM_SUSPECT_US
                                                       : MEM_ZONE_SUSPECT_US;

      if (member != table->self && now_us - member->last_seen_us >= limit_us)
        mem_set_reachable (table, member, false);
    }
  tm_after (table->tm, &table->check, MEM_CHECK_INTERVAL_US,
            mem_check_timeouts, table);
}

static void
mem_retire (struct mem_table *table, uint64_t incarnation)
{
  g_hash_table_add (table->retired,
                    g_memdup2 (&incarnation, sizeof incarnation));
}

/* Return the member with the instance name and incarnation of SOURCE, and add
   it if it is new.  A new incarnation replaces the previous one.  Return NULL
   if SOURCE is this instance or a past incarnation.  */
static struct mem_member *
mem_find_or_add (struct mem_table *table, const struct mem_member *source,
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
  member->last_seen_us = 0;
  member->recorded = false;
  member->reachable = false;
  member->draining = false;
  g_ptr_array_add (table->members, member);
  mem_notify_changed (table);
  return member;
}

/* Process a heartbeat of SENDER, of which instance, zone, addresses, number,
   incarnation, generation and draining are used.  Return false if it is to be
   ignored because it comes from a past incarnation.  */
bool
mem_receive_heartbeat (struct mem_table *table,
                       const struct mem_member *sender)
{
  bool is_new;
  struct mem_member *member = mem_find_or_add (table, sender, &is_new);
  bool differs;

  if (member == NULL)
    return false;
  differs = member->generation != sender->generation
            || member->draining != sender->draining;
  member->generation = sender->generation;
  member->draining = sender->draining;
  is_new = is_new || member->last_seen_us == 0;
  member->last_seen_us = tm_now_us (table->tm);
  mem_set_reachable (table, member, true);
  if (differs)
    mem_notify_changed (table);
  if (is_new)
    table->callbacks->peer_discovered (table->arg, member);
  return true;
}

/* Process a delta heartbeat, which does not carry the sender's zone, addresses
   and number.  Return false if it is to be ignored because INCARNATION of
   INSTANCE is not known.  */
bool
mem_receive_delta_heartbeat (struct mem_table *table, const char *instance,
                             uint64_t incarnation, uint64_t generation,
                             bool draining)
{
  const struct mem_member *member = mem_find (table, instance);
  struct mem_member sender;

  if (member == NULL || member->incarnation != incarnation)
    return false;
  sender = *member;
  sender.generation = generation;
  sender.draining = draining;
  return mem_receive_heartbeat (table, &sender);
}

/* Process the reply of INSTANCE to a heartbeat.  A reply from an incarnation
   other than the known one is ignored.  */
void
mem_receive_reply (struct mem_table *table, const char *instance,
                   uint64_t incarnation, uint64_t generation)
{
  struct mem_member *member = (struct mem_member *)mem_find (table, instance);

  if (member == NULL || member == table->self
      || member->incarnation != incarnation)
    return;
  member->last_seen_us = tm_now_us (table->tm);
  mem_set_reachable (table, member, true);
  if (member->generation == generation)
    return;
  member->generation = generation;
  mem_notify_changed (table);
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

/* Process the member records read from the key-value service.  RECORDS (struct
   mem_member) are all records of ZONE, or of all zones if it is NULL.  A
   member without a record stays in the table while it is reachable: it may
   have lost the key-value service and still send requests to engines.  */
void
mem_apply_records (struct mem_table *table, const char *zone,
                   const GPtrArray *records)
{
  bool changed = false;
  bool is_new;

  for (guint i = 0; i < records->len; i++)
    (void)mem_find_or_add (table, g_ptr_array_index (records, i), &is_new);
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
    mem_notify_changed (table);
}

static bool
mem_is_live (const struct mem_member *member)
{
  return member->reachable && !member->draining;
}

/* Return the member of the local zone with the lowest number that is reachable
   and not draining, or this instance if there is none.  */
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

/* Return whether fewer than COUNT members of the local zone that are reachable
   and not draining have a lower number than this instance.  */
bool
mem_is_among_lowest (const struct mem_table *table, uint32_t count)
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

/* Return the number of earlier calls for ZONE, to choose contacts in turn.  */
static guint
mem_next_contact_index (struct mem_table *table, const char *zone)
{
  guint *tried = g_hash_table_lookup (table->attempts, zone);

  if (tried != NULL)
    return (*tried)++;
  tried = g_new0 (guint, 1);
  *tried = 1;
  g_hash_table_insert (table->attempts, g_strdup (zone), tried);
  return 0;
}

/* Return the member of ZONE to send heartbeats to, or NULL if none is known:
   the one with the lowest number that is reachable and not draining, or else
   each member in turn, because the lowest may have stopped before its record
   expired.  */
const struct mem_member *
mem_zone_contact (struct mem_table *table, const char *zone)
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
    contact = g_ptr_array_index (
        candidates, mem_next_contact_index (table, zone) % candidates->len);
  g_ptr_array_free (candidates, TRUE);
  return contact;
}

/* Return the member of the local zone that polls the reports of ENDPOINT.  It
   is chosen by rendezvous hashing, so that a member that joins or leaves moves
   only its own endpoints.  */
const struct mem_member *
mem_report_reader (const struct mem_table *table, const char *endpoint)
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

/* Return the names of all other zones that have members.  The caller frees the
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

/* Return whether a member has the address RPC_ADDRESS.  */
bool
mem_has_address (const struct mem_table *table, const char *rpc_address)
{
  for (guint i = 0; i < table->members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (table->members, i);

      if (strcmp (member->rpc_address, rpc_address) == 0)
        return true;
    }
  return false;
}
