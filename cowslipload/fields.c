#include <string.h>

#include "experiment.h"
#include "fields.h"

GQuark
ld_error_quark (void)
{
  return g_quark_from_static_string ("cowslipload");
}

static const struct ld_field *
ld_field_find (const struct ld_field *fields, const char *key)
{
  for (; fields->key != NULL; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

static bool
ld_read_strings (struct json_object *value, GPtrArray *destination)
{
  if (!json_object_is_type (value, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (value); i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);

      if (!json_object_is_type (item, json_type_string))
        return false;
      g_ptr_array_add (destination, g_strdup (json_object_get_string (item)));
    }
  return true;
}

static bool
ld_read_number (struct json_object *value, enum ld_type type,
                void *destination)
{
  bool is_integer = json_object_is_type (value, json_type_int);
  int64_t integer = json_object_get_int64 (value);

  if (type == LD_NUMBER)
    {
      *(double *)destination = json_object_get_double (value);
      return (is_integer || json_object_is_type (value, json_type_double))
             && *(double *)destination >= 0;
    }
  if (!is_integer || integer < 0)
    return false;
  if (type == LD_UINT64)
    *(uint64_t *)destination = (uint64_t)integer;
  else
    *(uint32_t *)destination = (uint32_t)integer;
  return type == LD_UINT64 || integer <= UINT32_MAX;
}

static bool
ld_read_field (struct json_object *value, enum ld_type type, void *destination)
{
  switch (type)
    {
    case LD_STRING:
      if (!json_object_is_type (value, json_type_string))
        return false;
      g_free (*(char **)destination);
      *(char **)destination = g_strdup (json_object_get_string (value));
      return true;
    case LD_STRINGS:
      return ld_read_strings (value, *(GPtrArray **)destination);
    case LD_BOOL:
      *(bool *)destination = json_object_get_boolean (value) != 0;
      return json_object_is_type (value, json_type_boolean);
    case LD_NUMBER:
    case LD_UINT32:
    case LD_UINT64:
      return ld_read_number (value, type, destination);
    case LD_OTHER:
      return true;
    }
  return false;
}

/* Read the members of OBJECT into the struct DESTINATION according to FIELDS.
   PATH is the location of OBJECT in its file, for error messages.  Return
   false and set ERROR for an unknown key or a value of the wrong type.  */
bool
ld_fields_read (struct json_object *object, const char *path,
                const struct ld_field *fields, void *destination,
                GError **error)
{
  if (!json_object_is_type (object, json_type_object))
    {
      g_set_error (error, LD_ERROR, 0, "%s: not an object", path);
      return false;
    }
  json_object_object_foreach (object, key, value)
  {
    const struct ld_field *field = ld_field_find (fields, key);

    if (field == NULL)
      {
        g_set_error (error, LD_ERROR, 0, "%s.%s: unknown key", path, key);
        return false;
      }
    if (!ld_read_field (value, field->type,
                        (char *)destination + field->offset))
      {
        g_set_error (error, LD_ERROR, 0, "%s.%s: invalid value", path, key);
        return false;
      }
  }
  return true;
}
