#ifndef COWSLIPLOAD_FIELDS_H
#define COWSLIPLOAD_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <json-c/json.h>

enum ld_type
{
  LD_STRING,
  LD_STRINGS, /* GPtrArray */
  LD_BOOL,
  LD_NUMBER, /* non-negative double */
  LD_UINT32,
  LD_UINT64,
  LD_OTHER /* read by the caller */
};

/* Table-driven reading of JSON objects into structs.  */

/* A member of a JSON object and its offset in a struct.  */
struct ld_field
{
  const char *key;
  enum ld_type type;
  size_t offset;
};

bool ld_fields_read (struct json_object *object, const char *path,
                     const struct ld_field *fields, void *destination,
                     GError **error);

#endif
