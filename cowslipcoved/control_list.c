#include <json-c/json.h>

#include "control_impl.h"
#include "peers.h"

#define CONTROL_LIST_INTERVAL_MS 2000

static void control_list_tick (void *arg);

/* Update placement from the instance list JSON.  An endpoint that was listed
   before and is missing now counts as unlisted.  */
static void
control_apply_list (struct cd_control *control, struct json_object *json)
{
  GHashTable *named
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct json_object *list;
  GHashTableIter iter;
  gpointer key;

  if (!json_object_object_get_ex (json, "instances", &list)
      || !json_object_is_type (list, json_type_array))
    {
      g_hash_table_destroy (named);
      return;
    }
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *address;

      if (json_object_object_get_ex (json_object_array_get_idx (list, i),
                                     "address", &address))
        g_hash_table_add (named, g_strdup (json_object_get_string (address)));
    }
  g_hash_table_iter_init (&iter, control->listed);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    plc_set_unlisted (control->plc, key, !g_hash_table_contains (named, key));
  g_hash_table_iter_init (&iter, named);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      plc_set_unlisted (control->plc, key, false);
      g_hash_table_add (control->listed, g_strdup (key));
    }
  g_hash_table_destroy (named);
}

static void
control_list_done (void *arg, const struct http_response *response)
{
  struct control_call *call = arg;
  struct json_object *json;

  if (call->control != NULL)
    {
      call->control->list_read_pending = false;
      json = response->outcome == HTTP_COMPLETE && response->status == 200
                 ? json_tokener_parse (response->body)
                 : NULL;
      if (json != NULL)
        control_apply_list (call->control, json);
      json_object_put (json);
    }
  control_call_free (call);
}

static void
control_list_tick (void *arg)
{
  struct cd_control *control = arg;
  const char *address = control->daemon->settings->instance_list_address;
  struct http_request request = { .method = "GET",
                                  .address = address,
                                  .path = "/instances",
                                  .timeout_ms = CONTROL_LIST_INTERVAL_MS };

  tm_after (control->daemon->tm, &control->list_timer,
            CONTROL_LIST_INTERVAL_MS * CONTROL_US_PER_MS, control_list_tick,
            control);
  if (control->list_read_pending || !own_is_holder (control->own))
    return;
  control->list_read_pending = true;
  (void)http_fetch (control->daemon->client, &request, control_list_done,
                    control_call_new (control));
}

/* While this instance controls the zone, poll the instance list to detect
   engines that have been removed.  */
void
control_list_start (struct cd_control *control)
{
  if (control->daemon->settings->instance_list_address != NULL)
    control_list_tick (control);
}
