#include "admin_members.h"
#include "admin_env.h"
#include "jsn.h"

/* One operator's call that waits for the member records.  EXCHANGE is NULL
   after the operator has disconnected.  */
struct admin_recorded
{
  struct http_exchange *exchange;
};

static void
admin_recorded_gone (void *arg)
{
  struct admin_recorded *call = arg;

  call->exchange = NULL;
}

static void
admin_recorded_read (void *arg, const struct kv_result *result)
{
  struct admin_recorded *call = arg;
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

/* Answer with the member records of the own environment in the key-value
   service, of all zones; 503 if it does not answer.  An instance knows only
   its own zone well, so the records are the list of whom a change has to
   reach.  */
void
cd_admin_member_records (struct cd_daemon *daemon,
                         struct http_exchange *exchange)
{
  struct admin_recorded *call = g_new (struct admin_recorded, 1);
  char *prefix
      = g_strdup_printf ("cowslip/%s/members/", daemon->settings->environment);

  call->exchange = exchange;
  http_on_disconnect (exchange, admin_recorded_gone, call);
  kv_get_prefix (&daemon->kv, prefix, admin_recorded_read, call);
  g_free (prefix);
}
