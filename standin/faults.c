#include "standin.h"

/* Set FAULTS to the JSON object DEFAULTS, which names every fault of the
   program.  */
void
stand_faults_init (struct stand_faults *faults, const char *defaults)
{
  faults->values = json_tokener_parse (defaults);
  g_assert (faults->values != NULL);
}

/* Return the number or truth value of the fault NAME.  */
int64_t
stand_fault_value (const struct stand_faults *faults, const char *name)
{
  return stand_get_int (faults->values, name, 0);
}

/* Return the text of the fault NAME.  */
const char *
stand_fault_text (const struct stand_faults *faults, const char *name)
{
  return stand_get_string (faults->values, name);
}

/* Count down the fault NAME, whose value says for how many calls it holds (-1:
   for all), and return whether it holds for this one.  */
bool
stand_fault_consume (struct stand_faults *faults, const char *name)
{
  int64_t left = stand_fault_value (faults, name);

  if (left > 0)
    stand_add_int (faults->values, name, left - 1);
  return left != 0;
}

static const char *
stand_faults_refusal (const struct stand_faults *faults,
                      struct json_object *wanted)
{
  struct json_object *current;

  if (wanted == NULL)
    return "not a JSON object";
  json_object_object_foreach (wanted, key, value)
  {
    if (!json_object_object_get_ex (faults->values, key, &current))
      return "unknown fault";
    if (json_object_get_type (current) != json_object_get_type (value))
      return "wrong type of fault value";
  }
  return NULL;
}

/* Answer POST /fault, which changes the faults that its JSON body names, and
   GET /fault.  Return whether EXCHANGE was one of these.  */
bool
stand_faults_serve (struct stand_faults *faults,
                    struct http_exchange *exchange)
{
  struct json_object *wanted;
  const char *refusal;

  if (stand_request_is (exchange, "GET", "/fault"))
    {
      stand_reply (exchange, 200, json_object_get (faults->values));
      return true;
    }
  if (!stand_request_is (exchange, "POST", "/fault"))
    return false;
  wanted = stand_parse_body (exchange);
  refusal = stand_faults_refusal (faults, wanted);
  if (refusal != NULL)
    {
      json_object_put (wanted);
      stand_reply_error (exchange, 400, refusal);
      return true;
    }
  json_object_object_foreach (wanted, key, value)
  {
    json_object_object_add (faults->values, key, json_object_get (value));
  }
  json_object_put (wanted);
  stand_reply (exchange, 200, json_object_get (faults->values));
  return true;
}
