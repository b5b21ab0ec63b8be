#include "gw_impl.h"
#include "prb.h"

/* Whether this instance reaches an availability zone at all.  A network that
   is cut may refuse connections, and then looks like a process that has
   died.  */

/* Hosts of the zone that are tried: the endpoints that were heard last, which
   are the least likely to have died as well, and instances, because all
   engines of a small zone may be down at once.  */
#define GW_PATH_ENDPOINTS_MAX 2
#define GW_PATH_INSTANCES_MAX 2
/* Connecting within a region takes 1 ms.  */
#define GW_PATH_TIMEOUT_MS 200

/* One check.  */
struct gw_path
{
  gw_path_done done;
  void *arg;
  GPtrArray *probes; /* struct gw_path_probe */
  uint32_t pending;
};

struct gw_path_probe
{
  struct gw_path *path;
  struct prb *probe; /* NULL: ended */
};

static void
gw_path_free (struct gw_path *path)
{
  for (guint i = 0; i < path->probes->len; i++)
    {
      struct gw_path_probe *probe = g_ptr_array_index (path->probes, i);

      if (probe->probe != NULL)
        prb_cancel (probe->probe);
    }
  g_ptr_array_free (path->probes, TRUE);
  g_free (path);
}

static void
gw_path_probed (void *arg, enum prb_result result)
{
  struct gw_path_probe *probe = arg;
  struct gw_path *path = probe->path;
  gw_path_done done = path->done;
  void *done_arg = path->arg;

  probe->probe = NULL;
  path->pending--;
  if (result != PRB_LISTENING && path->pending > 0)
    return;
  gw_path_free (path);
  done (done_arg, result == PRB_LISTENING);
}

static void
gw_path_try (struct gw *gw, struct gw_path *path, const char *address)
{
  struct gw_path_probe *probe = g_new0 (struct gw_path_probe, 1);

  probe->path = path;
  probe->probe = prb_start (gw->loop, gw->tm, address, GW_PATH_TIMEOUT_MS,
                            gw_path_probed, probe);
  if (probe->probe != NULL)
    path->pending++;
  g_ptr_array_add (path->probes, probe);
}

/* Return the endpoint of ZONE that was heard last, apart from the one with the
   id EXCEPT, before the time BEFORE_US; NULL if there is none.  */
static const struct flt_endpoint *
gw_path_endpoint (struct gw *gw, const char *zone, const char *except,
                  uint64_t before_us)
{
  const GPtrArray *endpoints = flt_all (gw->fleet);
  const struct flt_endpoint *latest = NULL;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct flt_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->listed && g_str_equal (endpoint->entry.zone, zone)
          && !g_str_equal (endpoint->entry.id, except)
          && endpoint->last_receive_us < before_us
          && (latest == NULL
              || endpoint->last_receive_us > latest->last_receive_us))
        latest = endpoint;
    }
  return latest;
}

static void
gw_path_try_endpoints (struct gw *gw, struct gw_path *path, const char *zone,
                       const char *except)
{
  uint64_t before_us = UINT64_MAX;

  for (uint32_t i = 0; i < GW_PATH_ENDPOINTS_MAX; i++)
    {
      const struct flt_endpoint *endpoint
          = gw_path_endpoint (gw, zone, except, before_us);

      if (endpoint == NULL)
        return;
      before_us = endpoint->last_receive_us;
      gw_path_try (gw, path, endpoint->entry.address);
    }
}

/* Try instances of ZONE, beginning at a random one.  */
static void
gw_path_try_instances (struct gw *gw, struct gw_path *path, const char *zone)
{
  const GPtrArray *members = ldr_members (gw->ldr);
  guint begin = members->len == 0
                    ? 0
                    : (guint)gsl_rng_uniform_int (gw->random, members->len);
  uint32_t count = 0;

  for (guint i = 0; i < members->len && count < GW_PATH_INSTANCES_MAX; i++)
    {
      const struct ldr_member *member
          = g_ptr_array_index (members, (begin + i) % members->len);

      if (!g_str_equal (member->zone, zone)
          || g_str_equal (member->instance, gw->settings->instance))
        continue;
      gw_path_try (gw, path, member->address);
      count++;
    }
}

/* Find out whether this instance reaches ZONE, without the endpoint EXCEPT,
   and call DONE with ARG within 200 ms, never from within this function.
   Return false, without a callback, if no other host of ZONE is known.  */
bool
gw_path_check (struct gw *gw, const char *zone, const char *except,
               gw_path_done done, void *arg)
{
  struct gw_path *path = g_new0 (struct gw_path, 1);

  path->done = done;
  path->arg = arg;
  path->probes = g_ptr_array_new_with_free_func (g_free);
  gw_path_try_endpoints (gw, path, zone, except);
  gw_path_try_instances (gw, path, zone);
  if (path->pending > 0)
    return true;
  gw_path_free (path);
  return false;
}
