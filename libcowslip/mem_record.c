#include <inttypes.h>

#include <json-c/json.h>

#include "mem_record.h"

#define MEM_NUMBER_MAX 65535

/* Return the record of MEMBER as JSON text, to be freed by the caller.  */
char *
mem_record_format (const struct mem_member *member)
{
  struct json_object *object = json_object_new_object ();
  char incarnation[20];
  char *text;

  g_snprintf (incarnation, sizeof incarnation, "%016" PRIx64,
              member->incarnation);
  json_object_object_add (object, "instance",
                          json_object_new_string (member->instance));
  json_object_object_add (object, "zone",
                          json_object_new_string (member->zone));
  json_object_object_add (object, "rpc_address",
                          json_object_new_string (member->rpc_address));
  json_object_object_add (object, "http_address",
                          json_object_new_string (member->http_address));
  json_object_object_add (object, "number",
                          json_object_new_int64 (member->number));
  json_object_object_add (object, "incarnation",
                          json_object_new_string (incarnation));
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static char *
mem_record_string (struct json_object *object, const char *name)
{
  struct json_object *item;

  if (!json_object_object_get_ex (object, name, &item)
      || !json_object_is_type (item, json_type_string)
      || json_object_get_string_len (item) == 0)
    return NULL;
  return g_strdup (json_object_get_string (item));
}

static bool
mem_record_read (struct json_object *object, struct mem_member *member)
{
  char *incarnation = mem_record_string (object, "incarnation");
  struct json_object *number;
  bool ok;

  member->instance = mem_record_string (object, "instance");
  member->zone = mem_record_string (object, "zone");
  member->rpc_address = mem_record_string (object, "rpc_address");
  member->http_address = mem_record_string (object, "http_address");
  ok = incarnation != NULL
       && g_ascii_string_to_unsigned (incarnation, 16, 1, UINT64_MAX,
                                      &member->incarnation, NULL)
       && json_object_object_get_ex (object, "number", &number)
       && json_object_get_int64 (number) >= 1
       && json_object_get_int64 (number) <= MEM_NUMBER_MAX;
  g_free (incarnation);
  if (!ok)
    return false;
  member->number = (uint32_t)json_object_get_int64 (number);
  return member->instance != NULL && member->zone != NULL
         && member->rpc_address != NULL && member->http_address != NULL;
}

/* Return the member in the BYTES of TEXT, or NULL if they are not a valid
   record.  */
struct mem_member *
mem_record_parse (const char *text, size_t bytes)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, text, (int)bytes);
  struct mem_member *member = g_new0 (struct mem_member, 1);

  json_tokener_free (tokener);
  if (object == NULL || !mem_record_read (object, member))
    {
      mem_member_free (member);
      member = NULL;
    }
  json_object_put (object);
  return member;
}

struct mem_member *
mem_member_copy (const struct mem_member *member)
{
  struct mem_member *copy = g_memdup2 (member, sizeof *member);

  copy->instance = g_strdup (member->instance);
  copy->zone = g_strdup (member->zone);
  copy->rpc_address = g_strdup (member->rpc_address);
  copy->http_address = g_strdup (member->http_address);
  return copy;
}

/* Free ARG, a struct mem_member.  */
void
mem_member_free (void *arg)
{
  struct mem_member *member = arg;

  g_free (member->instance);
  g_free (member->zone);
  g_free (member->rpc_address);
  g_free (member->http_address);
  g_free (member);
}
