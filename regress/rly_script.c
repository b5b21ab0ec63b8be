#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_kv.h"
#include "rly.h"

/* Runs the relay of store changes between instances on commands, one per line:
     start I RANK        instance I, 1 to 4
     stop I              it sends and receives nothing and its timers stop
     cut I | heal I      the connection of I to the store
     deaf I | hear I     batches to I are lost
     hold I | release I  batches of I are delivered only by release
     rank I RANK
     put KEY VALUE | remove KEY
     forget              the store ends all watches
     interval MS         between reads of instances that start later
     lose N              the next N calls to the store get no response
     advance MS
     roles               print the roles
     show I              print what the owner at I knows
     writes I            print how many changes were reported to it
     calls               print the calls of all instances to the store
   Owners watch the prefixes a/ and b/, of which b/ is relayed with revisions.
   A value is condensed to the part before a colon; one that begins with ! is
   not relayed.  */

#define INSTANCES       4
#define OWNERS          2
#define US_PER_MS       1000ULL
#define BATCH_MAX_BYTES 65536

static const struct rly_prefix prefixes[]
    = { { "a/", false }, { "b/", true }, { NULL, false } };

struct instance;

/* An owner reads its prefix, then watches it.  */
struct owner
{
  struct instance *instance;
  const char *prefix;
  GTree *values;   /* key -> condensed value */
  uint32_t writes; /* reported since the start */
};

/* A watch of the store, which reports nothing while the instance is cut.  */
struct watch
{
  struct instance *instance;
  void *base;
  kv_changed changed;
  void *arg;
  kv_watch_ended ended;
  GArray *missed; /* char *: keys of changes to be delivered after the cut */
};

struct instance
{
  uint32_t number;
  bool running;
  bool cut;
  bool deaf;
  bool holding;
  GPtrArray *held; /* GByteArray: encoded batches */
  struct rly *rly;
  struct kv_store kv;
  struct owner owners[OWNERS];
  GPtrArray *watches;
};

static struct tm_service *tm;
static struct fake_kv *store;
static struct kv_store base;
static struct instance instances[INSTANCES];
static uint32_t reads;
static uint32_t read_interval_ms;
static uint32_t watches_opened;

static void owner_read (struct owner *owner);

static char *
condensed (const char *value, size_t bytes)
{
  const char *colon = memchr (value, ':', bytes);

  return g_strndup (value, colon == NULL ? bytes : (size_t)(colon - value));
}

static void
owner_changed (void *arg, const struct kv_change *change)
{
  struct owner *owner = arg;

  owner->writes++;
  if (change->value == NULL)
    g_tree_remove (owner->values, change->key);
  else
    g_tree_insert (owner->values, g_strdup (change->key),
                   condensed (change->value, change->value_bytes));
}

static void
owner_ended (void *arg)
{
  owner_read (arg);
}

static void
owner_read_done (void *arg, const struct kv_result *result)
{
  struct owner *owner = arg;
  struct kv_store kv = rly_store (owner->instance->rly);

  g_tree_remove_all (owner->values);
  for (size_t i = 0; i < result->pair_count; i++)
    g_tree_insert (
        owner->values, g_strdup (result->pairs[i].key),
        condensed (result->pairs[i].value, result->pairs[i].value_bytes));
  (void)kv.methods->watch (kv.context, owner->prefix, result->revision + 1,
                           owner_changed, owner_ended, owner);
}

static void
owner_read (struct owner *owner)
{
  struct kv_store kv = rly_store (owner->instance->rly);

  reads++;
  kv_get_prefix (&kv, owner->prefix, owner_read_done, owner);
}

static void
script_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  (void)context;
  kv_txn (&base, txn, done, arg);
}

static void
watch_changed (void *arg, const struct kv_change *change)
{
  struct watch *watch = arg;

  if (!watch->instance->cut)
    watch->changed (watch->arg, change);
}

static void
watch_ended (void *arg)
{
  struct watch *watch = arg;
  kv_watch_ended ended = watch->ended;
  void *owner = watch->arg;

  g_ptr_array_remove (watch->instance->watches, watch);
  ended (owner);
}

static void *
script_watch (void *context, const char *prefix, int64_t from,
              kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct watch *watch = g_new0 (struct watch, 1);

  watch->instance = context;
  watch->changed = changed;
  watch->ended = ended;
  watch->arg = arg;
  watches_opened++;
  g_ptr_array_add (watch->instance->watches, watch);
  watch->base = base.methods->watch (base.context, prefix, from, watch_changed,
                                     watch_ended, watch);
  return watch;
}

static void
script_unwatch (void *context, void *data)
{
  struct watch *watch = data;
  struct instance *instance = context;

  base.methods->unwatch (base.context, watch->base);
  g_ptr_array_remove (instance->watches, watch);
}

static uint64_t
script_answered_us (void *context, const void *data)
{
  const struct instance *instance = context;

  (void)data;
  return instance->cut ? 1 : tm_now_us (tm);
}

static const struct kv_methods methods
    = { .txn = script_txn,
        .watch = script_watch,
        .unwatch = script_unwatch,
        .watch_answered_us = script_answered_us };

static void
deliver (const struct instance *from, const cs_relay *batch)
{
  for (size_t i = 0; i < INSTANCES; i++)
    if (&instances[i] != from && instances[i].running && !instances[i].deaf)
      rly_receive (instances[i].rly, batch);
}

static void
on_send (void *arg, cs_relay *batch)
{
  struct instance *from = arg;
  char *bytes = g_malloc (BATCH_MAX_BYTES);
  XDR xdr;

  if (!from->holding)
    {
      deliver (from, batch);
      g_free (bytes);
      return;
    }
  xdrmem_create (&xdr, bytes, BATCH_MAX_BYTES, XDR_ENCODE);
  if (!xdr_cs_relay (&xdr, batch))
    abort ();
  g_ptr_array_add (from->held, bytes);
}

static void
release (struct instance *from)
{
  from->holding = false;
  for (guint i = 0; i < from->held->len; i++)
    {
      cs_relay batch = { 0 };
      XDR xdr;

      xdrmem_create (&xdr, g_ptr_array_index (from->held, i), BATCH_MAX_BYTES,
                     XDR_DECODE);
      if (!xdr_cs_relay (&xdr, &batch))
        abort ();
      deliver (from, &batch);
      xdr_free ((xdrproc_t)xdr_cs_relay, &batch);
    }
  g_ptr_array_set_size (from->held, 0);
}

static bool
on_condense (void *arg, const char *key, const char *value, size_t bytes,
             GString *out)
{
  char *text = condensed (value, bytes);

  (void)arg;
  (void)key;
  g_string_append (out, text);
  g_free (text);
  return value[0] != '!';
}

static void
on_role (void *arg, enum rly_role role)
{
  static const char *const names[] = { "watches", "is the source", "follows" };
  const struct instance *instance = arg;

  printf ("%llu ms: %u %s\n", (unsigned long long)(tm_now_us (tm) / US_PER_MS),
          instance->number, names[role]);
}

static void
on_diverged (void *arg, const char *prefix)
{
  const struct instance *instance = arg;

  printf ("%llu ms: %u diverged at %s\n",
          (unsigned long long)(tm_now_us (tm) / US_PER_MS), instance->number,
          prefix);
}

static int
compare_keys (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static void
start (struct instance *instance, uint32_t rank)
{
  static const struct rly_callbacks callbacks
      = { on_send, on_condense, on_role, on_diverged };
  struct rly_config config = { .kv = { &methods, instance },
                               .tm = tm,
                               .prefixes = prefixes,
                               .read_interval_ms = read_interval_ms };

  instance->running = true;
  instance->cut = false;
  instance->deaf = false;
  instance->watches = g_ptr_array_new_with_free_func (g_free);
  instance->held = g_ptr_array_new_with_free_func (g_free);
  instance->rly = rly_new (&config, &callbacks, instance);
  rly_set_rank (instance->rly, rank);
  for (size_t i = 0; i < OWNERS; i++)
    {
      struct owner *owner = &instance->owners[i];

      owner->instance = instance;
      owner->prefix = prefixes[i].prefix;
      owner->writes = 0;
      owner->values = g_tree_new_full (compare_keys, NULL, g_free, g_free);
      owner_read (owner);
    }
}

static gboolean
print_value (gpointer key, gpointer value, gpointer data)
{
  (void)data;
  printf (" %s=%s", (const char *)key, (const char *)value);
  return FALSE;
}

static void
show (const struct instance *instance)
{
  printf ("%u:", instance->number);
  for (size_t i = 0; i < OWNERS; i++)
    g_tree_foreach (instance->owners[i].values, print_value, NULL);
  printf ("\n");
}

static void
forget (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    while (instances[i].running && instances[i].watches->len > 0)
      {
        struct watch *watch = g_ptr_array_index (instances[i].watches, 0);

        base.methods->unwatch (base.context, watch->base);
        watch_ended (watch);
      }
}

static void
run_instance (const char *command, struct instance *instance, uint32_t rank)
{
  if (strcmp (command, "start") == 0)
    start (instance, rank);
  else if (strcmp (command, "stop") == 0)
    {
      instance->running = false;
      rly_free (instance->rly);
    }
  else if (strcmp (command, "rank") == 0)
    rly_set_rank (instance->rly, rank);
  else if (strcmp (command, "cut") == 0 || strcmp (command, "heal") == 0)
    instance->cut = command[0] == 'c';
  else if (strcmp (command, "show") == 0)
    show (instance);
  else if (strcmp (command, "writes") == 0)
    printf ("%u: a/ %u b/ %u\n", instance->number, instance->owners[0].writes,
            instance->owners[1].writes);
  else if (strcmp (command, "hold") == 0)
    instance->holding = true;
  else if (strcmp (command, "release") == 0)
    release (instance);
  else
    instance->deaf = command[0] == 'd';
}

static void
print_roles (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    if (instances[i].running)
      printf ("%u role %d\n", instances[i].number,
              rly_role (instances[i].rly));
}

static void
on_written (void *arg, const struct kv_result *result)
{
  (void)arg;
  (void)result;
}

static void
remove_key (const char *key)
{
  struct kv_op op = { .kind = KV_DELETE, .key = key };
  struct kv_txn txn = { .then_ops = &op, .then_count = 1 };

  kv_txn (&base, &txn, on_written, NULL);
}

static void
run_line (const char *line)
{
  char command[16] = "";
  char word[32] = "";
  char value[64] = "";

  if (sscanf (line, "%15s %31s %63s", command, word, value) < 1
      || command[0] == '#')
    return;
  printf ("> %s", line);
  if (strcmp (command, "advance") == 0)
    tm_advance (tm, tm_now_us (tm) + strtoull (word, NULL, 10) * US_PER_MS);
  else if (strcmp (command, "put") == 0)
    fake_kv_put (store, word, value);
  else if (strcmp (command, "remove") == 0)
    remove_key (word);
  else if (strcmp (command, "forget") == 0)
    forget ();
  else if (strcmp (command, "interval") == 0)
    read_interval_ms = (uint32_t)atoi (word);
  else if (strcmp (command, "lose") == 0)
    fake_kv_inject_faults (store, FAKE_KV_REQUEST_LOST, (uint32_t)atoi (word));
  else if (strcmp (command, "roles") == 0)
    print_roles ();
  else if (strcmp (command, "calls") == 0)
    printf ("%u reads, %u watches opened\n", reads, watches_opened);
  else
    run_instance (command, &instances[(atoi (word) - 1) % INSTANCES],
                  (uint32_t)atoi (value));
}

int
main (void)
{
  char line[128];

  tm = tm_new (1);
  store = fake_kv_new (tm, 2000);
  base = fake_kv_store (store);
  for (uint32_t i = 0; i < INSTANCES; i++)
    instances[i].number = i + 1;
  while (fgets (line, sizeof line, stdin) != NULL)
    run_line (line);
  return EXIT_SUCCESS;
}
