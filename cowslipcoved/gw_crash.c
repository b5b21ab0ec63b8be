#include <string.h>

#include "gw_impl.h"
#include "lg.h"
#include "prb.h"

/* Requests whose connection to an endpoint was lost before they were answered.
   If the process of the endpoint has died, one of them may have crashed
   it.  */

/* Connecting within a region takes 1 ms, and a dead process refuses at
   once.  */
#define GW_CRASH_PROBE_MS 300

struct gw_lost_request
{
  char *id;
  char *parts; /* of its prompt, without the last */
};

/* Requests that were lost at one endpoint, and the probe of it.  */
struct gw_loss
{
  struct gw *gw;
  char *endpoint;
  uint64_t started_ms;
  struct prb *probe;
  GPtrArray *requests; /* struct gw_lost_request */
};

static void
gw_lost_request_free (gpointer data)
{
  struct gw_lost_request *lost = data;

  g_free (lost->id);
  g_free (lost->parts);
  g_free (lost);
}

/* Free the struct gw_loss at DATA.  */
void
gw_loss_free (gpointer data)
{
  struct gw_loss *loss = data;

  g_ptr_array_unref (loss->requests);
  g_free (loss->endpoint);
  g_free (loss);
}

static void
gw_loss_probed (void *arg, enum prb_result result)
{
  struct gw_loss *loss = arg;
  struct gw *gw = loss->gw;

  ctr_add (gw->counters,
           result == PRB_REFUSED ? "endpoint_crashes_total"
                                 : "endpoint_losses_total",
           1);
  for (guint i = 0; i < loss->requests->len; i++)
    {
      const struct gw_lost_request *lost
          = g_ptr_array_index (loss->requests, i);

      lg_write (LG_REQUEST_LOST,
                "id=%s endpoint=%s started_ms=%" G_GUINT64_FORMAT
                " probe=%s lost=%u parts=%s",
                lost->id, loss->endpoint, loss->started_ms,
                prb_result_text (result), loss->requests->len, lost->parts);
    }
  g_hash_table_remove (gw->losses, loss->endpoint);
}

static struct gw_loss *
gw_loss_new (struct gw *gw, const struct flt_endpoint *endpoint)
{
  struct gw_loss *loss = g_new0 (struct gw_loss, 1);

  loss->gw = gw;
  loss->endpoint = g_strdup (endpoint->entry.id);
  loss->started_ms = endpoint->entry.started_ms;
  loss->requests = g_ptr_array_new_with_free_func (gw_lost_request_free);
  loss->probe = prb_start (gw->loop, gw->tm, endpoint->entry.address,
                           GW_CRASH_PROBE_MS, gw_loss_probed, loss);
  if (loss->probe == NULL)
    {
      gw_loss_free (loss);
      return NULL;
    }
  g_hash_table_insert (gw->losses, loss->endpoint, loss);
  return loss;
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

/* The connection of REQUEST to its endpoint was lost before the first bytes of
   the answer.  Find out whether the endpoint has died.  An endpoint that was
   about to leave is expected to.  */
void
gw_request_lost (struct gw_request *request)
{
  struct gw *gw = request->gw;
  const struct flt_endpoint *endpoint = request->endpoint;
  struct gw_loss *loss = g_hash_table_lookup (gw->losses, endpoint->entry.id);
  struct gw_lost_request *lost;

  if (endpoint->entry.leaving || !endpoint->listed)
    return;
  if (loss == NULL)
    loss = gw_loss_new (gw, endpoint);
  if (loss == NULL)
    return;
  lost = g_new0 (struct gw_lost_request, 1);
  lost->id = g_strdup (request->id);
  lost->parts = gw_shared_parts (request);
  g_ptr_array_add (loss->requests, lost);
}
