#include <string.h>

#include "gw_impl.h"
#include "lg.h"
#include "prb.h"

/* Requests whose connection to an endpoint was lost when their answer began,
   or before.  If the process of the endpoint has died, one of them may have
   crashed it.  It has died if its host refuses a connection while others of
   its availability zone can be reached.  */

/* Connecting within a region takes 1 ms, and a dead process refuses at
   once.  */
#define GW_CRASH_PROBE_MS 200

/* Requests that were lost at one endpoint, and the probe of it.  */
struct gw_loss
{
  struct gw *gw;
  char *endpoint;
  char *address;
  char *zone;
  uint64_t started_ms;
  GPtrArray *requests; /* struct gw_request, waiting for the result */
};

/* Free the struct gw_loss at DATA.  */
void
gw_loss_free (gpointer data)
{
  struct gw_loss *loss = data;

  g_ptr_array_unref (loss->requests);
  g_free (loss->endpoint);
  g_free (loss->address);
  g_free (loss->zone);
  g_free (loss);
}

/* Return the parts of the prompt of REQUEST without the last one, which is its
   own; "-" if there are none.  */
static char *
gw_shared_parts (const struct gw_request *request)
{
  const struct gw *gw = request->gw;
  const char *parts = h1_head_get (h1_exchange_head (request->exchange),
                                   gw->protocol->fields.prefix);
  const char *last = parts == NULL ? NULL : strrchr (parts, ',');

  return last == NULL ? g_strdup ("-")
                      : g_strndup (parts, (gsize)(last - parts));
}

static void
gw_log_lost (const struct gw_loss *loss, struct gw_request *request,
             const char *cause)
{
  char *parts = gw_shared_parts (request);

  lg_write (LG_REQUEST_LOST,
            "id=%s endpoint=%s started_ms=%" G_GUINT64_FORMAT
            " cause=%s lost=%u whole=%016" G_GINT64_MODIFIER "x parts=%s",
            request->id, loss->endpoint, loss->started_ms, cause,
            loss->requests->len,
            g_array_index (gw_request_traits (request), uint64_t, 0), parts);
  g_free (parts);
}

/* The cause of LOSS is known: CRASHED tells whether the process has died.
   Record what may have crashed it before any of the requests is sent
   again.  */
static void
gw_loss_end (struct gw_loss *loss, bool crashed, const char *cause)
{
  struct gw *gw = loss->gw;

  ctr_add (gw->counters,
           crashed ? "endpoint_crashes_total" : "endpoint_losses_total", 1);
  for (guint i = 0; i < loss->requests->len; i++)
    gw_log_lost (loss, g_ptr_array_index (loss->requests, i), cause);
  if (crashed)
    gw_blame_lost (gw, gw_crash_id (loss->endpoint, loss->started_ms),
                   loss->address, loss->requests);
  while (loss->requests->len > 0)
    {
      struct gw_request *request
          = g_ptr_array_remove_index (loss->requests, 0);

      request->loss = NULL;
      gw_attempt_failed (request);
    }
  g_hash_table_remove (gw->losses, loss->endpoint);
}

static void
gw_loss_path_checked (void *arg, bool reachable)
{
  gw_loss_end (arg, reachable, reachable ? "crash" : "network");
}

static void
gw_loss_probed (void *arg, enum prb_result result)
{
  struct gw_loss *loss = arg;

  if (result != PRB_REFUSED)
    gw_loss_end (loss, false, prb_result_text (result));
  else if (!gw_path_check (loss->gw, loss->zone, loss->endpoint,
                           gw_loss_path_checked, loss))
    gw_loss_end (loss, true, "crash");
}

static struct gw_loss *
gw_loss_new (struct gw *gw, const struct flt_endpoint *endpoint)
{
  struct gw_loss *loss = g_new0 (struct gw_loss, 1);

  loss->gw = gw;
  loss->endpoint = g_strdup (endpoint->entry.id);
  loss->address = g_strdup (endpoint->entry.address);
  loss->zone = g_strdup (endpoint->entry.zone);
  loss->started_ms = endpoint->entry.started_ms;
  loss->requests = g_ptr_array_new ();
  if (prb_start (gw->loop, gw->tm, endpoint->entry.address, GW_CRASH_PROBE_MS,
                 gw_loss_probed, loss)
      == NULL)
    {
      gw_loss_free (loss);
      return NULL;
    }
  g_hash_table_insert (gw->losses, loss->endpoint, loss);
  return loss;
}

/* The connection of REQUEST to its endpoint was lost when the answer began, or
   before.  Wait until it is known whether the endpoint has died; the
   attempt has failed then.  Return false if there is nothing to wait for: an
   endpoint that was about to leave is expected to die.  */
bool
gw_await_probe (struct gw_request *request)
{
  struct gw *gw = request->gw;
  const struct flt_endpoint *endpoint = request->endpoint;
  struct gw_loss *loss = g_hash_table_lookup (gw->losses, endpoint->entry.id);

  if (endpoint->entry.leaving || !endpoint->listed)
    return false;
  if (loss == NULL)
    loss = gw_loss_new (gw, endpoint);
  if (loss == NULL)
    return false;
  request->state = GW_LOST;
  request->loss = loss;
  g_ptr_array_add (loss->requests, request);
  return true;
}

/* REQUEST, which may wait for a probe, ends.  */
void
gw_forget_probe (struct gw_request *request)
{
  if (request->loss != NULL)
    g_ptr_array_remove (request->loss->requests, request);
  request->loss = NULL;
}
