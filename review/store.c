/* Stand-in of the platform's metadata store: items, leases, transactions and
   watches in memory.  Entries under servers/ that are silent for three report
   intervals are removed.

   rig store PORT CONFIGURATION-FILE  */

#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define ITEMS_MAX   4096
#define LEASES_MAX  65536
#define EVENTS_MAX  65536
#define PAGE_MAX    50
#define BEAT_S      1.2
#define SILENT_S    (3 * BEAT_S)
#define SWEEP_S     0.05
#define FIRST_LEASE 100

struct item
{
  char key[256];
  char *value; /* base64; NULL: free */
  long revision;
  long created;
  long lease;
  double written;
};

/* A change.  VALUE is NULL if the item was removed.  */
struct event
{
  char key[256];
  char *value;
  long revision;
  long created;
  long lease;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct item items[ITEMS_MAX];
static struct event events[EVENTS_MAX];
static size_t event_count;
static double lease_ends[LEASES_MAX]; /* 0: none */
static double lease_ttls[LEASES_MAX];
static long lease_count = FIRST_LEASE;
static long revision = 1;

static struct item *
find (const char *key)
{
  for (size_t i = 0; i < ITEMS_MAX; i++)
    if (items[i].value != NULL && strcmp (items[i].key, key) == 0)
      return &items[i];
  return NULL;
}

static void
log_event (const struct item *item, bool removed)
{
  struct event *event = &events[event_count++];

  if (event_count == EVENTS_MAX)
    abort ();
  snprintf (event->key, sizeof event->key, "%s", item->key);
  event->value = removed ? NULL : strdup (item->value);
  event->revision = revision;
  event->created = item->created;
  event->lease = item->lease;
  pthread_cond_broadcast (&changed);
}

/* Write KEY at the current revision.  */
static void
put (const char *key, const char *value, long lease)
{
  struct item *item = find (key);

  for (size_t i = 0; item == NULL; i++)
    if (items[i].value == NULL)
      {
        item = &items[i];
        item->created = revision;
      }
  snprintf (item->key, sizeof item->key, "%s", key);
  free (item->value);
  item->value = strdup (value);
  item->revision = revision;
  item->lease = lease;
  item->written = rig_now ();
  log_event (item, false);
}

/* Remove ITEM at the current revision.  */
static void
drop (struct item *item)
{
  log_event (item, true);
  free (item->value);
  item->value = NULL;
}

static bool
lease_lives (long lease)
{
  return lease >= FIRST_LEASE && lease < LEASES_MAX && lease_ends[lease] != 0;
}

static void
end_lease (long lease)
{
  lease_ends[lease] = 0;
  revision++;
  for (size_t i = 0; i < ITEMS_MAX; i++)
    if (items[i].value != NULL && items[i].lease == lease)
      drop (&items[i]);
}

static void
expire (void)
{
  double now = rig_now ();

  for (long i = FIRST_LEASE; i < lease_count; i++)
    if (lease_ends[i] != 0 && lease_ends[i] <= now)
      end_lease (i);
  for (size_t i = 0; i < ITEMS_MAX; i++)
    if (items[i].value != NULL && strncmp (items[i].key, "servers/", 8) == 0
        && now - items[i].written > SILENT_S)
      {
        revision++;
        drop (&items[i]);
      }
}

static void *
sweep (void *unused)
{
  (void)unused;
  for (;;)
    {
      rig_sleep (SWEEP_S);
      pthread_mutex_lock (&lock);
      expire ();
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static struct json_object *
item_json (const char *key, const char *value, long rev, long created,
           long lease)
{
  struct json_object *json = json_object_new_object ();

  json_object_object_add (json, "Key", json_object_new_string (key));
  json_object_object_add (json, "Revision", json_object_new_int64 (rev));
  if (value == NULL)
    json_object_object_add (json, "Removed", json_object_new_boolean (1));
  else
    {
      json_object_object_add (json, "Value", json_object_new_string (value));
      json_object_object_add (json, "Created",
                              json_object_new_int64 (created));
      json_object_object_add (json, "Lease", json_object_new_int64 (lease));
    }
  return json;
}

static struct json_object *
stored_json (const struct item *item)
{
  return item_json (item->key, item->value, item->revision, item->created,
                    item->lease);
}

/* Move the members of FROM, which is freed, to TO.  */
static void
copy_members (struct json_object *from, struct json_object *to)
{
  json_object_object_foreach (from, name, value)
  {
    json_object_object_add (to, name, json_object_get (value));
  }
  json_object_put (from);
}

/* Return the value of NAME in the query of TARGET, decoded, or "".  */
static char *
query (const char *target, const char *name, char *value, size_t bytes)
{
  const char *at = strchr (target, '?');
  size_t name_bytes = strlen (name);
  size_t length = 0;

  value[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, name_bytes) == 0 && at[name_bytes] == '=')
        break;
      at = strchr (at, '&');
    }
  if (at == NULL)
    return value;
  for (at += name_bytes + 1; *at != '\0' && *at != '&' && length + 1 < bytes;
       at++)
    {
      unsigned int byte = (unsigned char)*at;

      if (*at == '%' && sscanf (at + 1, "%2x", &byte) == 1)
        at += 2;
      value[length++] = (char)byte;
    }
  value[length] = '\0';
  return value;
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp ((*(struct item *const *)a)->key,
                 (*(struct item *const *)b)->key);
}

static int
get_range (const char *target, struct json_object *out)
{
  struct json_object *list = json_object_new_array ();
  struct item *found[ITEMS_MAX];
  char prefix[256];
  char after[256];
  size_t count = 0;

  query (target, "PathPrefix", prefix, sizeof prefix);
  query (target, "after", after, sizeof after);
  for (size_t i = 0; i < ITEMS_MAX; i++)
    if (items[i].value != NULL
        && strncmp (items[i].key, prefix, strlen (prefix)) == 0
        && strcmp (items[i].key, after) > 0)
      found[count++] = &items[i];
  qsort (found, count, sizeof found[0], compare_items);
  for (size_t i = 0; i < count && i < PAGE_MAX; i++)
    json_object_array_add (list, stored_json (found[i]));
  json_object_object_add (out, "items", list);
  json_object_object_add (out, "HasMore",
                          json_object_new_boolean (count > PAGE_MAX));
  return 200;
}

static int
get_watch (const char *target, struct json_object *out)
{
  struct json_object *list = json_object_new_array ();
  char prefix[256];
  char number[32];
  struct timespec end;
  long after;
  long wait_ms;

  query (target, "PathPrefix", prefix, sizeof prefix);
  after = strtol (query (target, "after", number, sizeof number), NULL, 10);
  wait_ms = strtol (query (target, "WaitMs", number, sizeof number), NULL, 10);
  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_nsec += wait_ms % 1000 * 1000000;
  end.tv_sec += wait_ms / 1000 + end.tv_nsec / 1000000000;
  end.tv_nsec %= 1000000000;
  for (;;)
    {
      for (size_t i = 0; i < event_count; i++)
        if (events[i].revision > after
            && strncmp (events[i].key, prefix, strlen (prefix)) == 0)
          json_object_array_add (
              list, item_json (events[i].key, events[i].value,
                               events[i].revision, events[i].created,
                               events[i].lease));
      if (json_object_array_length (list) > 0
          || pthread_cond_timedwait (&changed, &lock, &end) != 0)
        break;
    }
  json_object_object_add (out, "events", list);
  return 200;
}

static struct json_object *
member (struct json_object *json, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (json, name, &value);
  return value;
}

static size_t
length (struct json_object *list)
{
  return list == NULL ? 0 : json_object_array_length (list);
}

static int
post_txn (struct json_object *in, struct json_object *out)
{
  struct json_object *rows = member (in, "Precondition");
  struct json_object *puts = member (in, "Puts");
  struct json_object *keys = member (in, "Remove");
  struct json_object *list;
  bool holds = true;

  for (size_t i = 0; i < length (puts); i++)
    {
      struct json_object *row = json_object_array_get_idx (puts, i);
      long lease = json_object_get_int64 (member (row, "Lease"));

      if (lease != 0 && !lease_lives (lease))
        return 404;
    }
  for (size_t i = 0; i < length (rows); i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      struct item *item
          = find (json_object_get_string (member (row, "Key")));

      holds &= (item == NULL ? 0 : item->revision)
               == json_object_get_int64 (member (row, "Revision"));
    }
  if (!holds)
    {
      list = json_object_new_array ();
      for (size_t i = 0; i < length (rows); i++)
        {
          struct json_object *row = json_object_array_get_idx (rows, i);
          struct item *item
              = find (json_object_get_string (member (row, "Key")));

          if (item != NULL)
            json_object_array_add (list, stored_json (item));
        }
      json_object_object_add (out, "items", list);
      return 412;
    }
  /* All changes of a transaction have one revision.  */
  revision++;
  for (size_t i = 0; i < length (puts); i++)
    {
      struct json_object *row = json_object_array_get_idx (puts, i);

      put (json_object_get_string (member (row, "Key")),
           json_object_get_string (member (row, "Value")),
           json_object_get_int64 (member (row, "Lease")));
    }
  for (size_t i = 0; i < length (keys); i++)
    {
      struct item *item = find (
          json_object_get_string (json_object_array_get_idx (keys, i)));

      if (item != NULL)
        drop (item);
    }
  json_object_object_add (out, "Revision", json_object_new_int64 (revision));
  return 200;
}

static int
post_lease (struct json_object *in, struct json_object *out)
{
  long ttl_ms = json_object_get_int64 (member (in, "TtlMs"));

  if (lease_count == LEASES_MAX)
    abort ();
  lease_ttls[lease_count] = (double)ttl_ms / 1000;
  lease_ends[lease_count] = rig_now () + lease_ttls[lease_count];
  json_object_object_add (out, "Lease", json_object_new_int64 (lease_count));
  json_object_object_add (out, "TtlMs", json_object_new_int64 (ttl_ms));
  lease_count++;
  return 200;
}

static int
handle (const struct rig_message *message, struct json_object *out)
{
  const char *target = message->target;
  const char *last = strrchr (target, '/');
  long number = last == NULL ? 0 : strtol (last + 1, NULL, 10);
  struct json_object *in = json_tokener_parse (message->body);
  char key[256];
  int status = 400;

  expire ();
  if (strncmp (target, "/api/kv-key?", 12) == 0)
    {
      const struct item *item = find (query (target, "Key", key, sizeof key));

      status = item == NULL ? 404 : 200;
      if (item != NULL)
        copy_members (stored_json (item), out);
    }
  else if (strncmp (target, "/api/kv-range?", 14) == 0)
    status = get_range (target, out);
  else if (strncmp (target, "/api/kv-watch?", 14) == 0)
    status = get_watch (target, out);
  else if (strcmp (target, "/api/kv-txn") == 0 && in != NULL)
    status = post_txn (in, out);
  else if (strcmp (target, "/api/kv-lease") == 0 && in != NULL)
    status = post_lease (in, out);
  else if (strncmp (target, "/api/kv-keep/", 13) == 0)
    {
      status = lease_lives (number) ? 200 : 404;
      if (status == 200)
        lease_ends[number] = rig_now () + lease_ttls[number];
    }
  else if (strncmp (target, "/api/kv-lease-end/", 18) == 0)
    {
      status = lease_lives (number) ? 200 : 404;
      if (status == 200)
        end_lease (number);
    }
  json_object_put (in);
  json_object_object_add (out, "CurrentRev", json_object_new_int64 (revision));
  return status;
}

static void *
serve (void *arg)
{
  struct rig_conn *conn = arg;
  struct rig_message *message = calloc (1, sizeof *message);

  while (rig_read_request (conn, message))
    {
      struct json_object *out = json_object_new_object ();
      const char *text;
      int status;
      bool sent;

      pthread_mutex_lock (&lock);
      status = handle (message, out);
      pthread_mutex_unlock (&lock);
      text = json_object_to_json_string_ext (out, JSON_C_TO_STRING_PLAIN);
      sent = rig_print (conn->fd,
                        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                        "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n%s",
                        status, strlen (text), text);
      json_object_put (out);
      free (message->body);
      if (!sent)
        break;
    }
  close (conn->fd);
  free (message);
  free (conn);
  return NULL;
}

int
rig_store_main (int argc, char **argv)
{
  static char text[1 << 20];
  pthread_t thread;
  FILE *file;
  size_t bytes;
  char *value;

  if (argc != 3 || (file = fopen (argv[2], "r")) == NULL)
    return 2;
  bytes = fread (text, 1, sizeof text - 1, file);
  fclose (file);
  value = rig_base64 (text, bytes);
  put ("op/config", value, 0);
  free (value);
  if (pthread_create (&thread, NULL, sweep, NULL) != 0)
    return 2;
  rig_serve (rig_listen ((uint16_t)atoi (argv[1])), serve);
  return 0;
}
