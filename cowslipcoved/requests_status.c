#include "psn.h"
#include "requests_impl.h"
#include "rt.h"

static void
cd_status_waiting (void *arg, const char *model, uint32_t waiting)
{
  json_object_object_add (arg, model, json_object_new_int64 (waiting));
}

static void
cd_status_suspect (void *arg, uint64_t fingerprint, uint32_t crashes,
                   uint32_t age_ms)
{
  struct json_object *entry = json_object_new_object ();
  char text[24];

  g_snprintf (text, sizeof text, "%016llx", (unsigned long long)fingerprint);
  json_object_object_add (entry, "fingerprint", json_object_new_string (text));
  json_object_object_add (entry, "crashes", json_object_new_int64 (crashes));
  json_object_object_add (entry, "age_ms", json_object_new_int64 (age_ms));
  json_object_array_add (arg, entry);
}

static struct json_object *
cd_status_endpoint (const struct rt_endpoint *endpoint)
{
  struct json_object *entry = json_object_new_object ();

  json_object_object_add (entry, "in_flight",
                          json_object_new_int64 (endpoint->in_flight));
  json_object_object_add (entry, "stragglers",
                          json_object_new_int64 (endpoint->stragglers));
  json_object_object_add (entry, "reported",
                          json_object_new_int64 (endpoint->reported_load));
  json_object_object_add (entry, "leaving",
                          json_object_new_boolean (endpoint->leaving));
  json_object_object_add (entry, "ejected",
                          json_object_new_boolean (endpoint->ejected));
  return entry;
}

/* Add to OUT the requests queued per model, the requests in flight per
   endpoint, the ejected endpoints and the suspected fingerprints.  */
void
cd_requests_status (const struct cd_daemon *daemon, struct json_object *out)
{
  const struct cd_requests *requests = daemon->requests;
  struct json_object *waiting = json_object_new_object ();
  struct json_object *endpoints = json_object_new_object ();
  struct json_object *ejected = json_object_new_array ();
  struct json_object *suspects = json_object_new_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  adm_foreach_waiting (dsp_queues (requests->dsp), cd_status_waiting, waiting);
  g_hash_table_iter_init (&iter, rt_endpoints (dsp_routes (requests->dsp)));
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct rt_endpoint *endpoint = value;

      json_object_object_add (endpoints, key, cd_status_endpoint (endpoint));
      if (endpoint->ejected)
        json_object_array_add (ejected, json_object_new_string (key));
    }
  psn_foreach (dsp_suspicions (requests->dsp), cd_status_suspect, suspects);
  json_object_object_add (out, "active",
                          json_object_new_int64 (dsp_active (requests->dsp)));
  json_object_object_add (out, "waiting", waiting);
  json_object_object_add (out, "endpoints", endpoints);
  json_object_object_add (out, "ejected", ejected);
  json_object_object_add (out, "suspects", suspects);
}
