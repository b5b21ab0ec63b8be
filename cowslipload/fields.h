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
  LD_NUMBER, /* double, not negative */
  LD_UINT32,
  LD_UINT64,
  LD_OTHER /* read by the caller */
};

/* One member of a JSON object and where it goes in a struct.  */
struct ld_field
{
  const char *key;
  enum ld_type type;
  size_t offset;
};

bool ld_fields_read (struct json_object *object, const char *path,
                     const struct ld_field *fields, void *into,
                     GError **error);

#endif
