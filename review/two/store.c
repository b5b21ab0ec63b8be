#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "rig.h"
#include "store.h"

#define STORE_ITEMS_MAX  512
#define STORE_LEASES_MAX 256
#define STORE_WATCH_MS   20

/* VALUE is base64 text; NULL: removed.  */
struct store_item
{
  char *key;
  char *value;
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct store_lease
{
  int64_t id; /* 0: free */
  uint64_t ttl_ms;
  uint64_t expires_ms;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static struct store_item store_items[STORE_ITEMS_MAX];
static size_t store_count;
static struct store_lease store_leases[STORE_LEASES_MAX];
static int64_t store_revision = 100;
static int64_t store_last_lease = 1000;

static const char store_digits[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
store_encode (const char *text)
{
  size_t bytes = strlen (text);
  char *out = calloc (1, bytes / 3 * 4 + 8);
  size_t used = 0;

  for (size_t i = 0; i < bytes; i += 3)
    {
      uint32_t three = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < bytes)
        three |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < bytes)
        three |= (unsigned char)text[i + 2];
      out[used++] = store_digits[three >> 18];
      out[used++] = store_digits[three >> 12 & 63];
      out[used++] = i + 1 < bytes ? store_digits[three >> 6 & 63] : '=';
      out[used++] = i + 2 < bytes ? store_digits[three & 63] : '=';
    }
  return out;
}

static char *
store_decode (const char *text)
{
  char *out = calloc (1, strlen (text) + 1);
  size_t used = 0;
  uint32_t bits = 0;
  int count = 0;

  for (; *text != '\0' && *text != '='; text++)
    {
      const char *digit = strchr (store_digits, *text);

      if (digit == NULL)
        continue;
      bits = bits << 6 | (uint32_t)(digit - store_digits);
      count += 6;
      if (count >= 8)
        {
          count -= 8;
          out[used++] = (char)(bits >> count & 255);
        }
    }
  return out;
}

static struct store_item *
store_find (const char *key)
{
  for (size_t i = 0; i < store_count; i++)
    if (strcmp (store_items[i].key, key) == 0)
      return &store_items[i];
  return NULL;
}

/* Set KEY to VALUE, NULL to remove it, at the current revision.  */
static void
store_set (const char *key, const char *value, int64_t lease)
{
  struct store_item *item = store_find (key);

  if (item == NULL)
    {
      if (value == NULL || store_count == STORE_ITEMS_MAX)
        return;
      item = &store_items[store_count++];
      item->key = strdup (key);
    }
  if (item->value == NULL)
    item->created = store_revision;
  free (item->value);
  item->value = value == NULL ? NULL : strdup (value);
  item->revision = store_revision;
  item->lease = value == NULL ? 0 : lease;
}

static void
store_end_lease (int64_t id)
{
  store_revision++;
  for (size_t i = 0; i < store_count; i++)
    if (store_items[i].value != NULL && store_items[i].lease == id)
      store_set (store_items[i].key, NULL, 0);
  for (size_t i = 0; i < STORE_LEASES_MAX; i++)
    if (store_leases[i].id == id)
      store_leases[i].id = 0;
}

static void
store_expire (void)
{
  uint64_t now_ms = rig_now_ms ();

  for (size_t i = 0; i < STORE_LEASES_MAX; i++)
    if (store_leases[i].id != 0 && store_leases[i].expires_ms < now_ms)
      store_end_lease (store_leases[i].id);
}

static struct store_lease *
store_find_lease (int64_t id)
{
  for (size_t i = 0; id != 0 && i < STORE_LEASES_MAX; i++)
    if (store_leases[i].id == id)
      return &store_leases[i];
  return NULL;
}

static struct json_object *
store_json (const struct store_item *item)
{
  struct json_object *json = json_object_new_object ();

  json_object_object_add (json, "Key", json_object_new_string (item->key));
  json_object_object_add (json, "Revision",
                          json_object_new_int64 (item->revision));
  if (item->value == NULL)
    {
      json_object_object_add (json, "Removed", json_object_new_boolean (1));
      return json;
    }
  json_object_object_add (json, "Value", json_object_new_string (item->value));
  json_object_object_add (json, "Created",
                          json_object_new_int64 (item->created));
  json_object_object_add (json, "Lease", json_object_new_int64 (item->lease));
  return json;
}

static void
store_add_revision (struct json_object *json)
{
  json_object_object_add (json, "CurrentRev",
                          json_object_new_int64 (store_revision));
}

static int
store_read_key (const char *key, struct json_object **out)
{
  const struct store_item *item = store_find (key);

  if (item == NULL || item->value == NULL)
    return 404;
  json_object_put (*out);
  *out = store_json (item);
  store_add_revision (*out);
  return 200;
}

static int
store_read_range (const char *prefix, struct json_object *out)
{
  struct json_object *items = json_object_new_array ();

  for (size_t i = 0; i < store_count; i++)
    if (store_items[i].value != NULL
        && strncmp (store_items[i].key, prefix, strlen (prefix)) == 0)
      json_object_array_add (items, store_json (&store_items[i]));
  json_object_object_add (out, "items", items);
  json_object_object_add (out, "HasMore", json_object_new_boolean (0));
  store_add_revision (out);
  return 200;
}

/* Wait for changes after AFTER.  Only the last change of a key is kept, which
   is what a reader that comes late needs.  */
static int
store_watch (const char *prefix, int64_t after, uint64_t wait_ms,
             struct json_object *out)
{
  uint64_t end_ms = rig_now_ms () + wait_ms;

  for (;;)
    {
      struct json_object *events = json_object_new_array ();

      store_expire ();
      for (int64_t r = after + 1; r <= store_revision; r++)
        for (size_t i = 0; i < store_count; i++)
          if (store_items[i].revision == r
              && strncmp (store_items[i].key, prefix, strlen (prefix)) == 0)
            json_object_array_add (events, store_json (&store_items[i]));
      if (json_object_array_length (events) > 0 || rig_now_ms () >= end_ms)
        {
          json_object_object_add (out, "events", events);
          store_add_revision (out);
          return 200;
        }
      json_object_put (events);
      pthread_mutex_unlock (&store_lock);
      rig_sleep_ms (STORE_WATCH_MS);
      pthread_mutex_lock (&store_lock);
    }
}

static struct json_object *
store_list (struct json_object *body, const char *name)
{
  struct json_object *list = NULL;

  (void)json_object_object_get_ex (body, name, &list);
  return list;
}

static const char *
store_text (struct json_object *row, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (row, name, &value)
             ? json_object_get_string (value)
             : "";
}

static int64_t
store_number (struct json_object *row, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (row, name, &value)
             ? json_object_get_int64 (value)
             : 0;
}

static size_t
store_length (struct json_object *list)
{
  return list == NULL ? 0 : json_object_array_length (list);
}

static int
store_refuse (struct json_object *rows, struct json_object *out)
{
  struct json_object *items = json_object_new_array ();

  for (size_t i = 0; i < store_length (rows); i++)
    {
      const struct store_item *item = store_find (
          store_text (json_object_array_get_idx (rows, i), "Key"));

      if (item != NULL && item->value != NULL)
        json_object_array_add (items, store_json (item));
    }
  json_object_object_add (out, "items", items);
  return 412;
}

static int
store_transact (struct json_object *body, struct json_object *out)
{
  struct json_object *rows = store_list (body, "Precondition");
  struct json_object *puts = store_list (body, "Puts");
  struct json_object *keys = store_list (body, "Remove");

  for (size_t i = 0; i < store_length (rows); i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      const struct store_item *item = store_find (store_text (row, "Key"));
      int64_t revision
          = item == NULL || item->value == NULL ? 0 : item->revision;

      if (revision != store_number (row, "Revision"))
        return store_refuse (rows, out);
    }
  for (size_t i = 0; i < store_length (puts); i++)
    {
      int64_t lease
          = store_number (json_object_array_get_idx (puts, i), "Lease");

      if (lease != 0 && store_find_lease (lease) == NULL)
        return 404;
    }
  store_revision++;
  for (size_t i = 0; i < store_length (puts); i++)
    {
      struct json_object *put = json_object_array_get_idx (puts, i);

      store_set (store_text (put, "Key"), store_text (put, "Value"),
                 store_number (put, "Lease"));
    }
  for (size_t i = 0; i < store_length (keys); i++)
    store_set (json_object_get_string (json_object_array_get_idx (keys, i)),
               NULL, 0);
  json_object_object_add (out, "Revision",
                          json_object_new_int64 (store_revision));
  return 200;
}

static int
store_grant (struct json_object *body, struct json_object *out)
{
  for (size_t i = 0; i < STORE_LEASES_MAX; i++)
    if (store_leases[i].id == 0)
      {
        uint64_t ttl_ms = (uint64_t)store_number (body, "TtlMs");

        store_leases[i] = (struct store_lease){ ++store_last_lease, ttl_ms,
                                                rig_now_ms () + ttl_ms };
        json_object_object_add (out, "Lease",
                                json_object_new_int64 (store_last_lease));
        json_object_object_add (out, "TtlMs",
                                json_object_new_int64 ((int64_t)ttl_ms));
        return 200;
      }
  return 503;
}

static int
store_renew (int64_t id)
{
  struct store_lease *lease = store_find_lease (id);

  if (lease == NULL)
    return 404;
  lease->expires_ms = rig_now_ms () + lease->ttl_ms;
  return 200;
}

/* Store the parameter NAME of TARGET in VALUE, with escapes decoded.  */
static void
store_parameter (const char *target, const char *name, char *value,
                 size_t bytes)
{
  char find[32];
  const char *at;
  size_t used = 0;

  (void)snprintf (find, sizeof find, "%s=", name);
  at = strstr (target, find);
  for (at = at == NULL ? "" : at + strlen (find);
       *at != '\0' && *at != '&' && *at != ' ' && used + 1 < bytes; at++)
    {
      unsigned int code;

      if (*at == '%' && sscanf (at + 1, "%2x", &code) == 1)
        {
          value[used++] = (char)code;
          at += 2;
        }
      else
        value[used++] = *at;
    }
  value[used] = '\0';
}

static int
store_call (const char *target, struct json_object *body,
            struct json_object **out)
{
  char key[256];
  char prefix[256];
  char after[32];
  char wait[32];

  store_parameter (target, "Key", key, sizeof key);
  store_parameter (target, "PathPrefix", prefix, sizeof prefix);
  store_parameter (target, "after", after, sizeof after);
  store_parameter (target, "WaitMs", wait, sizeof wait);
  store_expire ();
  if (strncmp (target, "/api/kv-key", 11) == 0)
    return store_read_key (key, out);
  if (strncmp (target, "/api/kv-range", 13) == 0)
    return store_read_range (prefix, *out);
  if (strncmp (target, "/api/kv-watch", 13) == 0)
    return store_watch (prefix, atoll (after), (uint64_t)atoll (wait), *out);
  if (strncmp (target, "/api/kv-txn", 11) == 0)
    return store_transact (body, *out);
  if (strncmp (target, "/api/kv-keep/", 13) == 0)
    return store_renew (atoll (target + 13));
  if (strncmp (target, "/api/kv-lease-end/", 18) == 0)
    {
      store_end_lease (atoll (target + 18));
      return 200;
    }
  if (strncmp (target, "/api/kv-lease", 13) == 0)
    return store_grant (body, *out);
  return 404;
}

static void
store_serve (void *arg, int fd)
{
  struct rig_message message;

  (void)arg;
  while (rig_read_head (fd, &message) && rig_read_body (fd, &message))
    {
      const char *space = strchr (message.head, ' ');
      struct json_object *body
          = message.body_bytes == 0 ? NULL : json_tokener_parse (message.body);
      struct json_object *out = json_object_new_object ();
      const char *text;
      char head[256];
      int status;
      bool ok;

      pthread_mutex_lock (&store_lock);
      status = store_call (space == NULL ? "" : space + 1, body, &out);
      pthread_mutex_unlock (&store_lock);
      text = json_object_to_json_string_ext (out, JSON_C_TO_STRING_PLAIN);
      (void)snprintf (head, sizeof head,
                      "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                      "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
                      status, strlen (text));
      ok = rig_write (fd, head, strlen (head))
           && rig_write (fd, text, strlen (text));
      json_object_put (out);
      json_object_put (body);
      rig_message_clear (&message);
      if (!ok)
        break;
    }
  rig_message_clear (&message);
  rig_close (fd);
}

/* Start the store at IP.  Return its address.  */
char *
store_start (const char *ip)
{
  return rig_listen (ip, store_serve, NULL);
}

/* Write VALUE, as the operator and the engines do.  */
void
store_put (const char *key, const char *value)
{
  char *text = store_encode (value);

  pthread_mutex_lock (&store_lock);
  store_revision++;
  store_set (key, text, 0);
  pthread_mutex_unlock (&store_lock);
  free (text);
}

void
store_remove (const char *key)
{
  pthread_mutex_lock (&store_lock);
  store_revision++;
  store_set (key, NULL, 0);
  pthread_mutex_unlock (&store_lock);
}

/* Return the value of KEY, to be freed, or NULL.  */
char *
store_value (const char *key)
{
  const struct store_item *item;
  char *text = NULL;

  pthread_mutex_lock (&store_lock);
  item = store_find (key);
  if (item != NULL && item->value != NULL)
    text = store_decode (item->value);
  pthread_mutex_unlock (&store_lock);
  return text;
}
