#include <string.h>

#include <json-c/json.h>

#include "peers_impl.h"

#define CD_REPORT_INTERVAL_US 1000000
#define CD_REPORT_TIMEOUT_MS  1000
#define CD_LIST_READERS       2

/* An engine report or an instance list being fetched.  */
struct cd_fetch
{
  struct cd_peers *peers; /* NULL: freed */
  char *address;
  void (*read) (struct cd_fetch *fetch, const struct http_response *response);
};

static void cd_reports_poll (void *arg);

static void
cd_fetch_done (void *arg, const struct http_response *response)
{
  struct cd_fetch *fetch = arg;

  if (fetch->peers != NULL)
    {
      g_hash_table_remove (fetch->peers->fetches, fetch->address);
      fetch->read (fetch, response);
    }
  g_free (fetch->address);
  g_free (fetch);
}

/* Fetch PATH from ADDRESS unless a fetch from there is in progress.  */
static void
cd_fetch_start (struct cd_peers *peers, const char *address, const char *path,
                void (*read) (struct cd_fetch *fetch,
                              const struct http_response *response))
{
  struct http_request request = { .method = "GET",
                                  .address = address,
                                  .path = path,
                                  .timeout_ms = CD_REPORT_TIMEOUT_MS };
  struct cd_fetch *fetch;

  if (g_hash_table_contains (peers->fetches, address))
    return;
  fetch = g_new0 (struct cd_fetch, 1);
  fetch->peers = peers;
  fetch->address = g_strdup (address);
  fetch->read = read;
  g_hash_table_insert (peers->fetches, fetch->address, fetch);
  (void)http_fetch (peers->daemon->client, &request, cd_fetch_done, fetch);
}

static struct json_object *
cd_response_json (const struct http_response *response)
{
  struct json_tokener *tokener;
  struct json_object *object;

  if (response->outcome != HTTP_COMPLETE || response->status != 200)
    return NULL;
  tokener = json_tokener_new ();
  object = json_tokener_parse_ex (tokener, response->body,
                                  (int)response->body_bytes);
  json_tokener_free (tokener);
  return object;
}

static uint32_t
cd_report_uint32 (struct json_object *report, const char *name)
{
  struct json_object *item;

  if (!json_object_object_get_ex (report, name, &item))
    return 0;
  return (uint32_t)CLAMP (json_object_get_int64 (item), 0, UINT32_MAX);
}

static void
cd_report_parse (struct cd_fetch *fetch, const struct http_response *response)
{
  struct cd_peers *peers = fetch->peers;
  struct json_object *report = cd_response_json (response);
  struct cd_load_sample sample;
  struct json_object *leaving;
  struct cd_load load;

  if (response->outcome == HTTP_CONNECT_FAILED)
    mem_leaving_connect_refused (peers->leaving, fetch->address, true);
  if (!json_object_object_get_ex (report, "leaving", &leaving))
    {
      json_object_put (report);
      return;
    }
  load = (struct cd_load){ .endpoint = fetch->address,
                           .running = cd_report_uint32 (report, "running"),
                           .waiting = cd_report_uint32 (report, "waiting"),
                           .age_ms = cd_report_uint32 (report, "age_ms") };
  sample.running = load.running;
  sample.waiting = load.waiting;
  sample.measured_us = tm_now_us (peers->daemon->tm)
                       - MIN (tm_now_us (peers->daemon->tm),
                              (uint64_t)load.age_ms * CD_US_PER_MS);
  g_hash_table_replace (peers->loads, g_strdup (fetch->address),
                        g_memdup2 (&sample, sizeof sample));
  cd_publish (peers->daemon, CD_LOAD, &load);
  mem_leaving_engine_report (peers->leaving, fetch->address,
                             json_object_get_boolean (leaving));
  json_object_put (report);
}

static void
cd_list_parse (struct cd_fetch *fetch, const struct http_response *response)
{
  struct cd_peers *peers = fetch->peers;
  struct json_object *body = cd_response_json (response);
  struct json_object *list;

  if (!json_object_object_get_ex (body, "instances", &list)
      || !json_object_is_type (list, json_type_array))
    {
      json_object_put (body);
      return;
    }
  mem_leaving_list_begin (peers->leaving);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      struct json_object *address;
      struct json_object *state;

      if (json_object_object_get_ex (item, "address", &address)
          && json_object_is_type (address, json_type_string)
          && json_object_object_get_ex (item, "state", &state)
          && json_object_is_type (state, json_type_string))
        mem_leaving_list_item (
            peers->leaving, json_object_get_string (address),
            strcmp (json_object_get_string (state), "leaving") == 0);
    }
  mem_leaving_list_end (peers->leaving);
  peers->has_list = true;
  json_object_put (body);
}

static void
cd_reports_fetch_pool (struct cd_peers *peers, const struct env_pool *pool)
{
  const struct mem_member *self = mem_self (peers->table);

  for (guint i = 0; i < pool->endpoints->len; i++)
    {
      const struct env_endpoint *endpoint
          = g_ptr_array_index (pool->endpoints, i);

      if (strcmp (endpoint->zone, self->zone) != 0)
        continue;
      if (mem_report_reader (peers->table, endpoint->address) == self)
        cd_fetch_start (peers, endpoint->address, "/admin/report",
                        cd_report_parse);
      else
        g_hash_table_remove (peers->loads, endpoint->address);
    }
}

static void
cd_reports_fetch_list (struct cd_peers *peers)
{
  const char *address = peers->daemon->settings->instance_list_address;

  if (address == NULL)
    return;
  if (mem_is_among_lowest (peers->table, CD_LIST_READERS))
    cd_fetch_start (peers, address, "/instances", cd_list_parse);
  else if (peers->has_list)
    {
      mem_leaving_list_clear (peers->leaving);
      peers->has_list = false;
    }
}

static void
cd_reports_poll (void *arg)
{
  struct cd_peers *peers = arg;
  const GPtrArray *pools
      = peers->document != NULL ? env_pools (peers->document) : NULL;

  tm_after (peers->daemon->tm, &peers->poll_timer, CD_REPORT_INTERVAL_US,
            cd_reports_poll, peers);
  for (guint i = 0; pools != NULL && i < pools->len; i++)
    cd_reports_fetch_pool (peers, g_ptr_array_index (pools, i));
  cd_reports_fetch_list (peers);
}

/* Start polling engine reports and the instance list every second.  */
void
cd_reports_start (struct cd_peers *peers)
{
  tm_after (peers->daemon->tm, &peers->poll_timer,
            (uint64_t)(gsl_rng_uniform (peers->daemon->random)
                       * CD_REPORT_INTERVAL_US),
            cd_reports_poll, peers);
}

/* Stop polling.  Fetches in progress end without effect.  */
void
cd_reports_free (struct cd_peers *peers)
{
  GHashTableIter iter;
  void *fetch;

  tm_cancel (peers->daemon->tm, &peers->poll_timer);
  g_hash_table_iter_init (&iter, peers->fetches);
  while (g_hash_table_iter_next (&iter, NULL, &fetch))
    ((struct cd_fetch *)fetch)->peers = NULL;
  g_hash_table_destroy (peers->fetches);
}
