#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "http_client.h"
#include "jsn.h"
#include "tm_uv.h"

#define CALL_TIMEOUT_MS 10000

static uv_loop_t call_loop;

static void
call_done (void *arg, const struct http_response *response)
{
  struct ctl_response *result = arg;

  if (response->outcome != HTTP_COMPLETE)
    {
      result->body = g_strdup (http_outcome_text (response->outcome));
      return;
    }
  result->status = response->status;
  result->body = g_strndup (response->body, response->body_bytes);
  result->object = jsn_parse (response->body, response->body_bytes, NULL);
}

/* Return the HTTP client of this process, which is created on the first call,
   so that calls to the same instance share a connection.  */
static struct http_client *
call_client (void)
{
  static struct http_client *client;
  static struct tm_uv clock;

  if (client != NULL)
    return client;
  uv_loop_init (&call_loop);
  tm_uv_start (&clock, &call_loop);
  client = http_client_new (&call_loop, clock.service);
  return client;
}

/* Send one request to the instance of OPTIONS and wait at most 10 s for the
   response.  The caller clears the response.  */
struct ctl_response
ctl_call (const struct ctl_options *options, const char *method,
          const char *path, const char *body, size_t body_bytes)
{
  char *bearer = g_strdup_printf ("Bearer %s", options->token);
  struct http_header headers[]
      = { { "authorization", bearer }, { NULL, NULL } };
  struct http_request request = { .method = method,
                                  .address = options->address,
                                  .path = path,
                                  .headers = headers,
                                  .body = body,
                                  .body_bytes = body_bytes,
                                  .timeout_ms = CALL_TIMEOUT_MS };
  struct ctl_response response = { 0 };

  http_fetch (call_client (), &request, call_done, &response);
  while (response.body == NULL)
    uv_run (&call_loop, UV_RUN_ONCE);
  g_free (bearer);
  return response;
}

/* Free the members of RESPONSE.  */
void
ctl_response_clear (struct ctl_response *response)
{
  g_free (response->body);
  json_object_put (response->object);
  memset (response, 0, sizeof *response);
}

/* Return the exit status for RESPONSE.  */
enum ctl_status
ctl_response_status (const struct ctl_response *response)
{
  switch (response->status)
    {
    case 200:
    case 202:
      return CTL_OK;
    case 0:
    case 503:
      return CTL_UNAVAILABLE;
    case 409:
      return CTL_CONFLICT;
    case 413:
    case 422:
      return CTL_REFUSED;
    case 504:
      return CTL_OUTCOME_UNKNOWN;
    default:
      return CTL_FAILED;
    }
}

/* Print the error in RESPONSE, and the current generation on a conflict.
   Return the exit status.  */
enum ctl_status
ctl_print_error (const struct ctl_response *response)
{
  const char *reason = ctl_get_string (response->object, "error");
  struct json_object *current = NULL;

  fprintf (stderr, "cowslipctl: %s\n",
           reason[0] == '\0' ? response->body : reason);
  if (json_object_object_get_ex (response->object, "current", &current))
    fprintf (stderr, "cowslipctl: generation %lld, digest %s, by %s: %s\n",
             (long long)ctl_get_int (current, "generation"),
             ctl_get_string (current, "digest"),
             ctl_get_string (current, "author"),
             ctl_get_string (current, "comment"));
  return ctl_response_status (response);
}

/* Print RESPONSE with PRINT, or as JSON if OPTIONS ask for it, or its error.
   Clear it and return the exit status.  */
enum ctl_status
ctl_print (const struct ctl_options *options, struct ctl_response *response,
           void (*print) (struct json_object *object))
{
  enum ctl_status status = ctl_response_status (response);

  if (status != CTL_OK)
    status = ctl_print_error (response);
  else if (options->json)
    ctl_print_json (response->object);
  else
    print (response->object);
  ctl_response_clear (response);
  return status;
}

void
ctl_print_json (struct json_object *object)
{
  puts (json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
}

/* Return the string at KEY of OBJECT, or an empty string.  */
const char *
ctl_get_string (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return "";
  return json_object_get_string (value);
}

/* Return the integer at KEY of OBJECT, or 0.  */
int64_t
ctl_get_int (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_int64 (value);
}

/* Return the boolean at KEY of OBJECT, or false.  */
bool
ctl_get_bool (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  return json_object_is_type (object, json_type_object)
         && json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}
