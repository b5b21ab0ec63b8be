#ifndef COWSLIP_JSN_H
#define COWSLIP_JSN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#define JSN_ERROR (jsn_error_quark ())

enum jsn_error
{
  JSN_ERROR_SYNTAX,
  JSN_ERROR_VALUE
};

/* Strict reader of one JSON object.  Only the first error is recorded; later
   reads return their default.  jsn_close reports the error, or unknown
   keys.  */
struct jsn_reader
{
  struct json_object *object;
  char *path;
  GHashTable *known_keys;
  GError *error;
};

/* Values that jsn_number accepts, and its result for a missing key.  */
struct jsn_range
{
  uint64_t min;
  uint64_t max;
  bool required;
  uint64_t fallback;
};

GQuark jsn_error_quark (void);
struct json_object *jsn_parse (const char *text, size_t bytes, GError **error);
size_t jsn_strict_parsed_bytes (const char *text, size_t bytes);
void jsn_open (struct jsn_reader *reader, struct json_object *object,
               const char *path);
bool jsn_close (struct jsn_reader *reader, GError **error);
bool jsn_close_inner (struct jsn_reader *reader, struct jsn_reader *outer);
struct json_object *jsn_get (struct jsn_reader *reader, const char *key,
                             enum json_type type, bool required);
uint64_t jsn_number (struct jsn_reader *reader, const char *key,
                     struct jsn_range range);
double jsn_fraction (struct jsn_reader *reader, const char *key, double min,
                     double max);
int32_t jsn_integer (struct jsn_reader *reader, const char *key,
                     int32_t fallback);
bool jsn_flag (struct jsn_reader *reader, const char *key, bool fallback);
char *jsn_string (struct jsn_reader *reader, const char *key, bool required);
char *jsn_name (struct jsn_reader *reader, const char *key);
char *jsn_address (struct jsn_reader *reader, const char *key, bool required);
void jsn_fail (struct jsn_reader *reader, const char *key, const char *format,
               ...) __attribute__ ((format (printf, 3, 4)));
bool jsn_is_name (const char *text);
bool jsn_is_address (const char *text);

#endif
