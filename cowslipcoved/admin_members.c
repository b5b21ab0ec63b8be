#include "admin_members.h"
#include "admin_env.h"
#include "jsn.h"

/* An operator's request that waits for the member records.  EXCHANGE is NULL
   after the operator has disconnected.  */
struct admin_records_call
{
  struct http_exchange *exchange;
};

static void
admin_records_disconnected (void *arg)
{
  struct admin_records_call *call = arg;

  call->exchange = NULL;
}

static void
admin_records_read_done (void *arg, const struct kv_result *result)
{
  struct admin_records_call *call = arg;
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; result->outcome == KV_OK && i < result->pair_count; i++)
    {
      const struct kv_pair *pair = &result->pairs[i];
      struct json_object *record
          = jsn_parse (pair->value, pair->value_bytes, NULL);

      if (record != NULL)
        json_object_array_add (list, record);
    }
  if (call->exchange != NULL)
    cd_admin_respond (call->exchange, result->outcome == KV_OK ? 200 : 503,
                      list);
  else
    json_object_put (list);
  g_free (call);
}

/* Respond with the member records of this environment in the key-value
   service, of all zones, or with 503 if the service is unavailable.  The
   membership table is complete only for the instance's own zone; the records
   show every instance that a change must reach.  */
void
cd_admin_member_records (struct cd_daemon *daemon,
                         struct http_exchange *exchange)
{
  struct admin_records_call *call = g_new (struct admin_records_call, 1);
  char *prefix
      = g_strdup_printf ("cowslip/%s/members/", daemon->settings->environment);

  call->exchange = exchange;
  http_on_disconnect (exchange, admin_records_disconnected, call);
  kv_get_prefix (&daemon->kv, prefix, admin_records_read_done, call);
  g_free (prefix);
}
