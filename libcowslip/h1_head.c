#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "h1_head.h"

/* An idle connection is closed this long before its peer would close it,
   because a request sent while the peer closes may or may not be executed.  */
#define H1_KEEP_ALIVE_MARGIN_MS 500
/* Idle timeout if the peer announces none.  */
#define H1_KEEP_ALIVE_DEFAULT_MS 3000

static void
h1_field_clear (gpointer data)
{
  struct h1_field *field = data;

  g_free (field->name);
  g_free (field->value);
}

/* Initialize HEAD without freeing its old contents.  */
void
h1_head_init (struct h1_head *head)
{
  *head = (struct h1_head){ 0 };
  head->fields = g_array_new (FALSE, FALSE, sizeof (struct h1_field));
  g_array_set_clear_func (head->fields, h1_field_clear);
}

/* Free the contents of HEAD.  It must be initialized before it is used
   again.  */
void
h1_head_clear (struct h1_head *head)
{
  g_free (head->method);
  g_free (head->target);
  if (head->fields != NULL)
    g_array_free (head->fields, TRUE);
  *head = (struct h1_head){ 0 };
}

/* Append a field; NAME and VALUE are copied.  */
void
h1_head_add (struct h1_head *head, const char *name, const char *value)
{
  struct h1_field field = { g_strdup (name), g_strdup (value) };

  g_array_append_val (head->fields, field);
}

/* Return the value of the first field named NAME, ignoring case, or NULL.  */
const char *
h1_head_get (const struct h1_head *head, const char *name)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (head->fields, struct h1_field, i);

      if (g_ascii_strcasecmp (field->name, name) == 0)
        return field->value;
    }
  return NULL;
}

static guint
h1_name_hash (gconstpointer name)
{
  guint hash = 5381;

  for (const char *c = name; *c != '\0'; c++)
    hash = hash * 33 + (guint)g_ascii_tolower (*c);
  return hash;
}

static gboolean
h1_name_equal (gconstpointer a, gconstpointer b)
{
  return g_ascii_strcasecmp (a, b) == 0;
}

/* Fill NAMES with the names in the Connection field of HEAD, which are those
   of its hop-by-hop fields.  */
void
h1_names_init (struct h1_names *names, const struct h1_head *head)
{
  const char *value = h1_head_get (head, "Connection");
  char *next;

  *names = (struct h1_names){ 0 };
  if (value == NULL)
    return;
  names->text = g_strdup (value);
  names->set = g_hash_table_new (h1_name_hash, h1_name_equal);
  for (char *name = strtok_r (names->text, ", \t", &next); name != NULL;
       name = strtok_r (NULL, ", \t", &next))
    g_hash_table_add (names->set, name);
}

/* Free the contents of NAMES.  */
void
h1_names_clear (struct h1_names *names)
{
  if (names->set != NULL)
    g_hash_table_destroy (names->set);
  g_free (names->text);
}

/* Return whether NAMES contains NAME, ignoring case.  */
bool
h1_names_has (const struct h1_names *names, const char *name)
{
  return names->set != NULL && g_hash_table_contains (names->set, name);
}

/* Return whether NAME is a hop-by-hop field or part of the message framing,
   which a proxy does not forward.  */
static bool
h1_field_is_hop_by_hop (const char *name)
{
  static const char *const names[] = { "connection",
                                       "keep-alive",
                                       "proxy-connection",
                                       "proxy-authenticate",
                                       "proxy-authorization",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "content-length",
                                       "expect" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

/* Append the fields of HEAD to TEXT, except hop-by-hop and framing fields.  */
void
h1_head_print (const struct h1_head *head, GString *text)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (head->fields, struct h1_field, i);

      if (!h1_field_is_hop_by_hop (field->name))
        g_string_append_printf (text, "%s: %s\r\n", field->name, field->value);
    }
}

/* Return the reason phrase of STATUS.  */
const char *
h1_status_text (uint16_t status)
{
  const char *text = http_status_str ((enum http_status)status);

  return text[0] == '<' ? "Unknown" : text;
}

/* Return how long to keep a connection idle according to the Keep-Alive field
   of HEAD, in milliseconds.  */
uint32_t
h1_head_keep_alive_ms (const struct h1_head *head)
{
  const char *value = h1_head_get (head, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  uint64_t keep_alive_ms = H1_KEEP_ALIVE_DEFAULT_MS;

  if (timeout != NULL)
    keep_alive_ms
        = MIN (strtoull (timeout + strlen ("timeout="), NULL, 10), 3600)
          * 1000;
  return keep_alive_ms > H1_KEEP_ALIVE_MARGIN_MS
             ? (uint32_t)keep_alive_ms - H1_KEEP_ALIVE_MARGIN_MS
             : 0;
}

/* Return what ends the body of the response HEAD, for log lines.  */
const char *
h1_head_framing (const struct h1_head *head)
{
  if (head->chunked)
    return "chunked";
  return head->has_length ? "length" : "close";
}
