#include "standin.h"

/* Initialize FAULTS from the JSON object DEFAULTS, which holds every fault
   that the program supports.  */
void
stand_faults_init (struct stand_faults *faults, const char *defaults)
{
  faults->values = json_tokener_parse (defaults);
  g_assert (faults->values != NULL);
}

/* Return the integer or boolean value of the fault NAME.  */
int64_t
stand_fault_value (const struct stand_faults *faults, const char *name)
{
  return stand_get_int (faults->values, name, 0);
}

/* Return the string value of the fault NAME.  */
const char *
stand_fault_text (const struct stand_faults *faults, const char *name)
{
  return stand_get_string (faults->values, name);
}

/* Return whether the fault NAME applies to the current call and decrement its
   value, the number of calls that it still applies to (-1: all).  */
bool
stand_fault_consume (struct stand_faults *faults, const char *name)
{
  int64_t remaining = stand_fault_value (faults, name);

  if (remaining > 0)
    stand_add_int (faults->values, name, remaining - 1);
  return remaining != 0;
}

/* Return why CHANGES cannot be applied to FAULTS, or NULL.  */
static const char *
stand_faults_validate (const struct stand_faults *faults,
                       struct json_object *changes)
{
  struct json_object *current;

  if (changes == NULL)
    return "not a JSON object";
  json_object_object_foreach (changes, key, value)
  {
    if (!json_object_object_get_ex (faults->values, key, &current))
      return "unknown fault";
    if (json_object_get_type (current) != json_object_get_type (value))
      return "wrong type of fault value";
  }
  return NULL;
}

/* Handle POST /fault, which sets the faults in its JSON body, and GET /fault,
   which returns all of them.  Return whether EXCHANGE was one of these.  */
bool
stand_faults_serve (struct stand_faults *faults,
                    struct http_exchange *exchange)
{
  struct json_object *changes;
  const char *reason;

  if (stand_request_is (exchange, "GET", "/fault"))
    {
      stand_reply (exchange, 200, json_object_get (faults->values));
      return true;
    }
  if (!stand_request_is (exchange, "POST", "/fault"))
    return false;
  changes = stand_parse_body (exchange);
  reason = stand_faults_validate (faults, changes);
  if (reason != NULL)
    {
      json_object_put (changes);
      stand_reply_error (exchange, 400, reason);
      return true;
    }
  json_object_object_foreach (changes, key, value)
  {
    json_object_object_add (faults->values, key, json_object_get (value));
  }
  json_object_put (changes);
  stand_reply (exchange, 200, json_object_get (faults->values));
  return true;
}
