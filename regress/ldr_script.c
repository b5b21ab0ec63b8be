#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_kv.h"
#include "ldr.h"

/* Runs the election on commands, one per line:
     start I | kill I | resign I   instance I, 1 to 4
     cut I | heal I                the connection of I to the store; while it
                                   is cut, I learns of no restoration
     deaf I | hear I               the watches of I deliver no events
     relay I                       another instance relays changes to I, also
                                   those of a restoration
     expire I                      the store expires the leases of I early
     remove                        delete only the leader's record
     copy                          of what the store holds
     restore                       the store from that copy
     forget KEY                    delete cowslip/KEY
     value KEY                     print whether cowslip/KEY exists
     advance MS
     may                           print which instances may order engines
     confirmed                     print the confirmed leader
     members                       as known to the first running instance  */

#define INSTANCES           4
#define US_PER_MS           1000ULL
#define REELECTION_DELAY_MS 3000

struct instance
{
  char name[8];
  struct ldr *ldr; /* NULL: not running */
  struct kv_store kv;
  uint64_t incarnation;
  GArray *leases; /* int64_t: all that were granted */
  GQueue grants;  /* struct grant, in the order of their replies */
  bool partitioned;
  bool watches_silent;
  bool relayed;
  void *watch;
  bool watch_lost;    /* ended while the instance was cut off */
  int64_t era;        /* as of the last time that it was connected */
  uint8_t key;        /* first byte of the key in use; 0: none */
  kv_changed changed; /* callbacks of the election */
  kv_watch_ended ended;
  void *arg;
};

struct grant
{
  kv_lease_done done;
  void *arg;
};

static struct tm_service *tm;
static struct fake_kv *store;
static struct kv_store base_kv;
static struct instance instances[INSTANCES];

/* Calls of a partitioned instance fail at once; a late reply would make no
   difference.  */
static void
script_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct instance *instance = context;
  struct kv_result unavailable = { .outcome = KV_UNAVAILABLE };

  if (instance->partitioned)
    done (arg, &unavailable);
  else
    base_kv.methods->txn (base_kv.context, txn, done, arg);
}

/* Pass a grant on and remember the lease.  */
static void
script_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct instance *instance = arg;
  struct grant *grant = g_queue_pop_head (&instance->grants);

  if (outcome == KV_OK)
    g_array_append_val (instance->leases, lease);
  grant->done (grant->arg, outcome, lease);
  g_free (grant);
}

static void
script_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct instance *instance = context;

  struct grant *grant;

  if (instance->partitioned)
    {
      done (arg, KV_UNAVAILABLE, 0);
      return;
    }
  grant = g_new0 (struct grant, 1);
  grant->done = done;
  grant->arg = arg;
  g_queue_push_tail (&instance->grants, grant);
  base_kv.methods->lease_grant (base_kv.context, ttl_s, script_granted,
                                instance);
}

static void
script_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct instance *instance = context;

  if (instance->partitioned)
    done (arg, KV_UNKNOWN, lease);
  else
    base_kv.methods->lease_renew (base_kv.context, lease, done, arg);
}

static void
script_revoke (void *context, int64_t lease)
{
  (void)context;
  base_kv.methods->lease_revoke (base_kv.context, lease);
}

static void
script_changed (void *arg, const struct kv_change *change)
{
  struct instance *instance = arg;

  if (!instance->watches_silent)
    instance->changed (instance->arg, change);
}

static void script_relay (void *arg, const struct kv_result *result);

static void
script_ended (void *arg)
{
  struct instance *instance = arg;

  instance->watch = NULL;
  if (instance->relayed)
    {
      kv_get_prefix (&base_kv, ldr_key_prefix (), script_relay, instance);
      return;
    }
  instance->watch_lost = instance->partitioned;
  if (!instance->partitioned)
    instance->ended (instance->arg);
}

static void *
script_watch (void *context, const char *prefix, int64_t from,
              kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct instance *instance = context;

  instance->changed = changed;
  instance->ended = ended;
  instance->arg = arg;
  instance->watch = base_kv.methods->watch (
      base_kv.context, prefix, from, script_changed, script_ended, instance);
  return instance;
}

/* Report the keys in RESULT as changes, and go on with those that follow.  */
static void
script_relay (void *arg, const struct kv_result *result)
{
  struct instance *instance = arg;

  for (size_t i = 0; i < result->pair_count; i++)
    {
      const struct kv_pair *pair = &result->pairs[i];
      struct kv_change change
          = { pair->key, pair->value, pair->value_bytes, pair->revision };

      script_changed (instance, &change);
    }
  (void)script_watch (instance, ldr_key_prefix (), result->revision + 1,
                      instance->changed, instance->ended, instance->arg);
}

static void
script_unwatch (void *context, void *watch)
{
  const struct instance *instance = watch;

  (void)context;
  if (instance->watch != NULL)
    base_kv.methods->unwatch (base_kv.context, instance->watch);
}

static int64_t
script_era (void *context)
{
  struct instance *instance = context;

  if (!instance->partitioned)
    instance->era = kv_era (&base_kv);
  return instance->era;
}

static const struct kv_methods methods = { .txn = script_txn,
                                           .lease_grant = script_grant,
                                           .lease_renew = script_renew,
                                           .lease_revoke = script_revoke,
                                           .watch = script_watch,
                                           .unwatch = script_unwatch,
                                           .era = script_era };

static void
print_event (const struct instance *instance, const char *what)
{
  printf ("%llu ms: %s %s\n", (unsigned long long)(tm_now_us (tm) / US_PER_MS),
          instance->name, what);
}

static void
on_record_removed (void *arg, const struct kv_result *result)
{
  (void)arg;
  (void)result;
}

static void
remove_record (const char *name)
{
  char *key = g_strdup_printf ("cowslip/%s", name);
  struct kv_op op = { .kind = KV_DELETE, .key = key };
  struct kv_txn txn = { .then_ops = &op, .then_count = 1 };

  base_kv.methods->txn (base_kv.context, &txn, on_record_removed, NULL);
  g_free (key);
}

static void
print_value (const char *name)
{
  char *key = g_strdup_printf ("cowslip/%s", name);

  printf ("%s\n", fake_kv_value (store, key) == NULL ? "absent" : "present");
  g_free (key);
}

/* Engines refuse nothing: fences that do not rise are reported here.  */
static void
on_gained (void *arg, uint64_t fence)
{
  static uint64_t highest;

  print_event (arg, fence > highest ? "leads" : "leads with an old fence");
  highest = MAX (highest, fence);
}

static void
on_lost (void *arg)
{
  print_event (arg, "no longer leads");
}

/* Each instance proposes a key of bytes with its own number.  */
static void
on_key (void *arg, const unsigned char *key, size_t bytes)
{
  struct instance *instance = arg;

  g_assert (bytes == LDR_KEY_BYTES);
  if (instance->key != 0)
    printf ("%s uses the key of i%u\n", instance->name, key[0]);
  instance->key = key[0];
}

static void
on_members (void *arg)
{
  (void)arg;
}

static void
start (struct instance *instance)
{
  static const struct ldr_callbacks callbacks
      = { on_gained, on_lost, on_key, on_members, NULL, NULL };
  struct ldr_config config = { .kv = { &methods, instance },
                               .tm = tm,
                               .instance = instance->name,
                               .zone = "z",
                               .address = "10.0.0.1:1",
                               .incarnation = ++instance->incarnation,
                               .reelection_delay_ms = REELECTION_DELAY_MS };

  instance->partitioned = false;
  instance->watch_lost = false;
  instance->relayed = false;
  instance->key = 0;
  memset (config.key, (int)(instance - instances) + 1, sizeof config.key);
  instance->ldr = ldr_new (&config, &callbacks, instance);
}

static void
print_permissions (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    {
      uint64_t fence;

      if (instances[i].ldr != NULL && ldr_may_order (instances[i].ldr, &fence))
        printf ("%s may order\n", instances[i].name);
    }
}

static void
print_confirmed (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    if (instances[i].ldr != NULL && ldr_is_confirmed (instances[i].ldr))
      printf ("%s is confirmed\n", instances[i].name);
}

static void
print_members (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    {
      const GPtrArray *members;

      if (instances[i].ldr == NULL)
        continue;
      members = ldr_members (instances[i].ldr);
      for (guint j = 0; j < members->len; j++)
        printf (
            "%s ",
            ((struct ldr_member *)g_ptr_array_index (members, j))->instance);
      printf ("strength %u\n", ldr_peak_members (instances[i].ldr));
      return;
    }
}

static void
run_instance (const char *command, struct instance *instance)
{
  if (strcmp (command, "start") == 0)
    start (instance);
  else if (strcmp (command, "kill") == 0)
    {
      ldr_free (instance->ldr);
      instance->ldr = NULL;
    }
  else if (strcmp (command, "resign") == 0)
    ldr_resign (instance->ldr);
  else if (strcmp (command, "deaf") == 0 || strcmp (command, "hear") == 0)
    instance->watches_silent = command[0] == 'd';
  else if (strcmp (command, "relay") == 0)
    instance->relayed = true;
  else if (strcmp (command, "expire") == 0)
    {
      for (guint i = 0; i < instance->leases->len; i++)
        fake_kv_expire (store, g_array_index (instance->leases, int64_t, i));
      g_array_set_size (instance->leases, 0);
    }
  else
    {
      instance->partitioned = strcmp (command, "cut") == 0;
      if (!instance->partitioned && instance->watch_lost)
        script_ended (instance);
    }
}

static void
run_line (const char *line)
{
  char command[16] = "";
  char word[16] = "";

  if (sscanf (line, "%15s %15s", command, word) < 1 || command[0] == '#')
    return;
  printf ("> %s", line);
  if (strcmp (command, "advance") == 0)
    tm_advance (tm, tm_now_us (tm) + strtoull (word, NULL, 10) * US_PER_MS);
  else if (strcmp (command, "remove") == 0)
    remove_record ("leader");
  else if (strcmp (command, "forget") == 0)
    remove_record (word);
  else if (strcmp (command, "value") == 0)
    print_value (word);
  else if (strcmp (command, "copy") == 0)
    fake_kv_copy (store);
  else if (strcmp (command, "restore") == 0)
    fake_kv_restore (store);
  else if (strcmp (command, "may") == 0)
    print_permissions ();
  else if (strcmp (command, "confirmed") == 0)
    print_confirmed ();
  else if (strcmp (command, "members") == 0)
    print_members ();
  else
    run_instance (command, &instances[(atoi (word) - 1) % INSTANCES]);
}

int
main (void)
{
  char line[128];

  tm = tm_new (1);
  store = fake_kv_new (tm, 2000);
  base_kv = fake_kv_store (store);
  for (size_t i = 0; i < INSTANCES; i++)
    {
      (void)snprintf (instances[i].name, sizeof instances[i].name, "i%zu",
                      i + 1);
      instances[i].leases = g_array_new (FALSE, FALSE, sizeof (int64_t));
      g_queue_init (&instances[i].grants);
    }
  while (fgets (line, sizeof line, stdin) != NULL)
    run_line (line);
  return EXIT_SUCCESS;
}
