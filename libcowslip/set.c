#include <string.h>
#include <sys/resource.h>

#include "jsn.h"
#include "lg.h"
#include "mbg.h"
#include "set.h"

#define SET_BODY_DEFAULT_BYTES (4U << 20)
#define SET_BODY_MAX_BYTES     (64U << 20)
/* Connections if the limit on descriptors is not known, and their share of
   it.  */
#define SET_CONNECTIONS_DEFAULT     500
#define SET_CONNECTIONS_DIVISOR     2
#define SET_CONNECTIONS_MAX         65535
#define SET_DRAIN_NOTICE_DEFAULT_MS 3000
#define SET_DRAIN_DEFAULT_MS        60000
#define SET_DRAIN_MAX_MS            3600000

static char *
set_resolve_path (const char *file, const char *name)
{
  char *directory;
  char *path;

  if (g_path_is_absolute (name))
    return g_strdup (name);
  directory = g_path_get_dirname (file);
  path = g_build_filename (directory, name, NULL);
  g_free (directory);
  return path;
}

/* Return the contents of the file that KEY names, and set BYTES to their
   length.  A relative name is resolved against the directory of the settings
   FILE.  The file must have at least MIN_BYTES.  */
static char *
set_read_secret (struct jsn_reader *reader, const char *key, const char *file,
                 size_t min_bytes, size_t *bytes)
{
  char *name = jsn_string (reader, key, true);
  char *path = name == NULL ? NULL : set_resolve_path (file, name);
  char *secret = NULL;
  GError *error = NULL;

  if (path != NULL && !g_file_get_contents (path, &secret, bytes, &error))
    {
      jsn_fail (reader, key, "%s", error->message);
      g_error_free (error);
    }
  else if (secret != NULL && *bytes < min_bytes)
    jsn_fail (reader, key, "%s holds fewer than %zu bytes", name, min_bytes);
  g_free (name);
  g_free (path);
  return secret;
}

static GPtrArray *
set_read_peers (struct jsn_reader *reader)
{
  struct json_object *list = jsn_get (reader, "peers", json_type_array, false);
  GPtrArray *peers = g_ptr_array_new_with_free_func (g_free);
  size_t count = list == NULL ? 0 : json_object_array_length (list);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      const char *address = json_object_get_string (item);

      if (!jsn_is_address (address))
        jsn_fail (reader, "peers", "item %zu is not an address", i);
      g_ptr_array_add (peers, g_strdup (address));
    }
  return peers;
}

/* Return half of the descriptors that this process may open; the others are
   for endpoints, peers and the key-value service.  */
static uint64_t
set_default_connections (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return SET_CONNECTIONS_DEFAULT;
  return CLAMP (limit.rlim_cur / SET_CONNECTIONS_DIVISOR, 1,
                SET_CONNECTIONS_MAX);
}

static void
set_read_limits (struct jsn_reader *reader, struct set_settings *settings)
{
  settings->member_number = (uint32_t)jsn_number (
      reader, "member_number",
      (struct jsn_range){ 1, UINT16_MAX, .required = true, .fallback = 1 });
  settings->body_max_bytes
      = (uint32_t)jsn_number (reader, "body_max_bytes",
                              (struct jsn_range){ 1, SET_BODY_MAX_BYTES, false,
                                                  SET_BODY_DEFAULT_BYTES });
  settings->connections_max = (uint32_t)jsn_number (
      reader, "connections_max",
      (struct jsn_range){ 1, SET_CONNECTIONS_MAX, false,
                          set_default_connections () });
  settings->memory_mb = mbg_read_memory_mb (reader);
  settings->drain_notice_ms = (uint32_t)jsn_number (
      reader, "drain_notice_ms",
      (struct jsn_range){ 0, SET_DRAIN_MAX_MS, false,
                          SET_DRAIN_NOTICE_DEFAULT_MS });
  settings->drain_max_ms = (uint32_t)jsn_number (
      reader, "drain_max_ms",
      (struct jsn_range){ 0, SET_DRAIN_MAX_MS, false, SET_DRAIN_DEFAULT_MS });
  settings->log_level = (uint32_t)jsn_number (
      reader, "log_level",
      (struct jsn_range){ LG_ERR, LG_DEBUG, false, LG_INFO });
}

static void
set_read (struct jsn_reader *reader, const char *file,
          struct set_settings *settings)
{
  size_t token_bytes = 0;

  settings->instance = jsn_name (reader, "instance");
  settings->zone = jsn_name (reader, "zone");
  settings->region = jsn_name (reader, "region");
  settings->environment = jsn_name (reader, "environment");
  settings->http_address = jsn_address (reader, "http_address", true);
  settings->rpc_address = jsn_address (reader, "rpc_address", true);
  settings->kv_address = jsn_address (reader, "kv_address", true);
  settings->instance_list_address
      = jsn_address (reader, "instance_list_address", false);
  settings->peers = set_read_peers (reader);
  settings->peer_key
      = set_read_secret (reader, "peer_key_file", file, SET_KEY_MIN_BYTES,
                         &settings->peer_key_bytes);
  settings->operator_token = set_read_secret (
      reader, "operator_token_file", file, SET_KEY_MIN_BYTES, &token_bytes);
  if (settings->operator_token != NULL)
    g_strstrip (settings->operator_token);
  set_read_limits (reader, settings);
}

/* Parse and check the BYTES at TEXT, the contents of FILE.  Return NULL and
   set ERROR, with the line or key, if they are invalid.  */
struct set_settings *
set_parse (const char *text, size_t bytes, const char *file, GError **error)
{
  struct json_object *object = jsn_parse (text, bytes, error);
  struct set_settings *settings;
  struct jsn_reader reader;

  if (object == NULL)
    return NULL;
  settings = g_new0 (struct set_settings, 1);
  jsn_open (&reader, object, "");
  set_read (&reader, file, settings);
  if (!jsn_close (&reader, error))
    {
      set_free (settings);
      settings = NULL;
    }
  json_object_put (object);
  return settings;
}

/* Read and check the settings in FILE.  Return NULL and set ERROR, with the
   file and the line or key, if they cannot be read or are invalid.  */
struct set_settings *
set_load (const char *file, GError **error)
{
  struct set_settings *settings;
  char *text;
  size_t bytes;

  if (!g_file_get_contents (file, &text, &bytes, error))
    return NULL;
  settings = set_parse (text, bytes, file, error);
  g_free (text);
  if (settings == NULL)
    g_prefix_error (error, "%s: ", file);
  return settings;
}

/* Free SETTINGS and clear the secrets from memory.  */
void
set_free (struct set_settings *settings)
{
  if (settings == NULL)
    return;
  if (settings->peer_key != NULL)
    explicit_bzero (settings->peer_key, settings->peer_key_bytes);
  if (settings->operator_token != NULL)
    explicit_bzero (settings->operator_token,
                    strlen (settings->operator_token));
  g_free (settings->instance);
  g_free (settings->zone);
  g_free (settings->region);
  g_free (settings->environment);
  g_free (settings->http_address);
  g_free (settings->rpc_address);
  g_free (settings->kv_address);
  g_free (settings->instance_list_address);
  if (settings->peers != NULL)
    g_ptr_array_free (settings->peers, TRUE);
  g_free (settings->peer_key);
  g_free (settings->operator_token);
  g_free (settings);
}
