#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "adr.h"
#include "jsn.h"

#define JSN_DEPTH_MAX      32
#define JSN_NAME_MAX_CHARS 127
/* Upper bounds on the memory that json-c takes for an object, an array and any
   other value.  "{}" takes some 800 bytes, because its table begins with 16
   entries.  */
#define JSN_OBJECT_BYTES 1000
#define JSN_ARRAY_BYTES  400
#define JSN_VALUE_BYTES  100
/* Limit on a parsed text.  A configuration of 1 MiB takes a quarter of it.  */
#define JSN_PARSED_MAX_BYTES (64U << 20)

G_DEFINE_QUARK (jsn - error - quark, jsn_error)

static unsigned
jsn_line (const char *text, size_t offset)
{
  unsigned line = 1;

  for (size_t i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

static bool
jsn_is_space (const char *text, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    if (strchr (" \t\r\n", text[i]) == NULL || text[i] == '\0')
      return false;
  return true;
}

/* Return an upper bound on the memory that the value which C begins, or that
   follows it, takes when it is parsed.  */
static size_t
jsn_value_bytes (char c)
{
  if (c == '{')
    return JSN_OBJECT_BYTES;
  if (c == '[')
    return JSN_ARRAY_BYTES;
  return c == ',' ? JSN_VALUE_BYTES : 0;
}

/* Return an upper bound on the memory that TEXT takes when it is parsed, apart
   from its strings.  Characters within strings and comments count as well.  */
static size_t
jsn_parsed_bytes (const char *text, size_t bytes)
{
  size_t parsed_bytes = 0;

  for (size_t i = 0; i < bytes; i++)
    parsed_bytes += jsn_value_bytes (text[i]);
  return parsed_bytes;
}

/* The same for a text that has no comments, without the characters in its
   strings.  */
size_t
jsn_strict_parsed_bytes (const char *text, size_t bytes)
{
  size_t parsed_bytes = 0;
  bool in_string = false;

  for (size_t i = 0; i < bytes; i++)
    if (text[i] == '"')
      in_string = !in_string;
    else if (!in_string)
      parsed_bytes += jsn_value_bytes (text[i]);
    else if (text[i] == '\\')
      i++;
  return parsed_bytes;
}

/* Parse BYTES of TEXT, which may contain comments.  Return a new reference,
   or NULL and set ERROR, which names the line.  The value null is an error;
   nesting is limited to 32 levels, and the memory that the result takes to 64
   MiB.  */
struct json_object *
jsn_parse (const char *text, size_t bytes, GError **error)
{
  struct json_tokener *tokener;
  struct json_object *object;
  enum json_tokener_error status;
  size_t end;

  if (jsn_parsed_bytes (text, bytes) > JSN_PARSED_MAX_BYTES)
    {
      g_set_error (error, JSN_ERROR, JSN_ERROR_VALUE, "too many values");
      return NULL;
    }
  tokener = json_tokener_new_ex (JSN_DEPTH_MAX);
  object = json_tokener_parse_ex (tokener, text, (int)bytes);
  status = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (status == json_tokener_continue && bytes > 0)
    {
      /* The parser needs a terminator to recognize the end of a number.  */
      object = json_tokener_parse_ex (tokener, "", 1);
      status = json_tokener_get_error (tokener);
      end = bytes;
    }
  json_tokener_free (tokener);
  if (status != json_tokener_success)
    {
      g_set_error (error, JSN_ERROR, JSN_ERROR_SYNTAX, "line %u: %s",
                   jsn_line (text, MIN (end, bytes)),
                   bytes == 0 ? "empty" : json_tokener_error_desc (status));
      json_object_put (object);
      return NULL;
    }
  if (end < bytes && !jsn_is_space (text + end, bytes - end))
    {
      g_set_error (error, JSN_ERROR, JSN_ERROR_SYNTAX,
                   "line %u: text after the end", jsn_line (text, end));
      json_object_put (object);
      return NULL;
    }
  /* json-c represents null as NULL.  */
  if (object == NULL)
    g_set_error (error, JSN_ERROR, JSN_ERROR_SYNTAX, "line %u: null",
                 jsn_line (text, end));
  return object;
}

/* Start reading OBJECT, a borrowed reference, which is at PATH in its
   document.  */
void
jsn_open (struct jsn_reader *reader, struct json_object *object,
          const char *path)
{
  reader->object = object;
  reader->path = g_strdup (path);
  reader->known_keys = g_hash_table_new (g_str_hash, g_str_equal);
  reader->error = NULL;
  if (!json_object_is_type (object, json_type_object))
    {
      g_set_error (&reader->error, JSN_ERROR, JSN_ERROR_VALUE,
                   "%s: must be an object", path[0] == '\0' ? "text" : path);
      reader->object = NULL;
    }
}

/* Finish reading.  Return false and set ERROR if a read failed or if the
   object has a key that was not read.  */
bool
jsn_close (struct jsn_reader *reader, GError **error)
{
  bool ok;

  if (reader->error == NULL && reader->object != NULL)
    {
      json_object_object_foreach (reader->object, key, value)
      {
        (void)value;
        if (!g_hash_table_contains (reader->known_keys, key))
          jsn_fail (reader, key, "unknown key");
      }
    }
  ok = reader->error == NULL;
  if (!ok)
    g_propagate_error (error, reader->error);
  g_hash_table_destroy (reader->known_keys);
  g_free (reader->path);
  return ok;
}

/* Finish reading an object nested in that of OUTER.  Its error becomes that
   of OUTER unless OUTER already has one.  Return whether reading
   succeeded.  */
bool
jsn_close_inner (struct jsn_reader *reader, struct jsn_reader *outer)
{
  return jsn_close (reader, outer->error == NULL ? &outer->error : NULL);
}

/* Set an error about KEY unless an error is set already.  */
void
jsn_fail (struct jsn_reader *reader, const char *key, const char *format, ...)
{
  va_list ap;
  char *reason;

  if (reader->error != NULL)
    return;
  va_start (ap, format);
  reason = g_strdup_vprintf (format, ap);
  va_end (ap);
  g_set_error (&reader->error, JSN_ERROR, JSN_ERROR_VALUE, "%s%s%s: %s",
               reader->path, reader->path[0] == '\0' ? "" : ".", key, reason);
  g_free (reason);
}

/* Return the value of KEY, a borrowed reference, if it has TYPE; otherwise
   NULL.  */
struct json_object *
jsn_get (struct jsn_reader *reader, const char *key, enum json_type type,
         bool required)
{
  struct json_object *value = NULL;

  g_hash_table_add (reader->known_keys, (gpointer)key);
  if (reader->object == NULL
      || !json_object_object_get_ex (reader->object, key, &value))
    {
      if (required)
        jsn_fail (reader, key, "missing");
      return NULL;
    }
  if (json_object_is_type (value, type))
    return value;
  jsn_fail (reader, key, "must be %s, is %s", json_type_to_name (type),
            json_type_to_name (json_object_get_type (value)));
  return NULL;
}

/* Return the integer at KEY, which must be within RANGE.  */
uint64_t
jsn_number (struct jsn_reader *reader, const char *key, struct jsn_range range)
{
  struct json_object *value
      = jsn_get (reader, key, json_type_int, range.required);
  uint64_t number;

  if (value == NULL)
    return range.fallback;
  number = json_object_get_uint64 (value);
  if (json_object_get_int64 (value) >= 0 && number >= range.min
      && number <= range.max)
    return number;
  jsn_fail (reader, key, "must be from %llu to %llu",
            (unsigned long long)range.min, (unsigned long long)range.max);
  return range.fallback;
}

/* Return the signed integer at KEY, or FALLBACK if it is missing.  */
int32_t
jsn_integer (struct jsn_reader *reader, const char *key, int32_t fallback)
{
  struct json_object *value = jsn_get (reader, key, json_type_int, false);
  int64_t number;

  if (value == NULL)
    return fallback;
  number = json_object_get_int64 (value);
  if (number >= INT32_MIN && number <= INT32_MAX)
    return (int32_t)number;
  jsn_fail (reader, key, "must fit 32 bits");
  return fallback;
}

/* Return the required number at KEY, which must be from MIN to MAX.  */
double
jsn_fraction (struct jsn_reader *reader, const char *key, double min,
              double max)
{
  struct json_object *value = NULL;
  bool is_integer = json_object_object_get_ex (reader->object, key, &value)
                    && json_object_is_type (value, json_type_int);
  double number;

  value = jsn_get (reader, key, is_integer ? json_type_int : json_type_double,
                   true);
  number = value == NULL ? min : json_object_get_double (value);
  if (number >= min && number <= max)
    return number;
  jsn_fail (reader, key, "must lie between %g and %g", min, max);
  return min;
}

/* Return the boolean at KEY, or FALLBACK if it is missing.  */
bool
jsn_flag (struct jsn_reader *reader, const char *key, bool fallback)
{
  struct json_object *value = jsn_get (reader, key, json_type_boolean, false);

  return value == NULL ? fallback : json_object_get_boolean (value);
}

/* Return a copy of the string at KEY, or NULL.  */
char *
jsn_string (struct jsn_reader *reader, const char *key, bool required)
{
  struct json_object *value
      = jsn_get (reader, key, json_type_string, required);

  return value == NULL ? NULL : g_strdup (json_object_get_string (value));
}

/* Return whether TEXT is a valid name of an instance, zone, model or the
   like: 1 to 127 letters, digits and any of "._:-", because names become
   parts of keys and counters.  */
bool
jsn_is_name (const char *text)
{
  size_t chars = text == NULL ? 0 : strlen (text);

  if (chars == 0 || chars > JSN_NAME_MAX_CHARS)
    return false;
  for (size_t i = 0; i < chars; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("._:-", text[i]) == NULL)
      return false;
  return true;
}

/* Return whether TEXT is an IPv4 address and port, as in "10.0.0.1:80".  */
bool
jsn_is_address (const char *text)
{
  struct sockaddr_in unused;

  return adr_parse_peer (text, &unused);
}

/* Return a copy of the required name at KEY, or NULL.  */
char *
jsn_name (struct jsn_reader *reader, const char *key)
{
  char *name = jsn_string (reader, key, true);

  if (name != NULL && !jsn_is_name (name))
    jsn_fail (reader, key, "not a valid name");
  return name;
}

/* Return a copy of the address at KEY, or NULL.  */
char *
jsn_address (struct jsn_reader *reader, const char *key, bool required)
{
  char *address = jsn_string (reader, key, required);

  if (address != NULL && !jsn_is_address (address))
    jsn_fail (reader, key, "not an IPv4 address and port");
  return address;
}
