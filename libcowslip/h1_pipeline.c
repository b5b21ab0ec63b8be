#include "h1_server_impl.h"

/* Pipelined bytes: what a caller sends behind a request in progress.  */

/* Limit on them; more stay in the kernel's buffer.  */
#define H1_PIPELINED_MAX_BYTES (64U << 10)

/* Free the pipelined bytes of EXCHANGE.  */
void
h1_pipeline_clear (struct h1_exchange *exchange)
{
  mbg_give (exchange->server->budget, exchange->pipelined_taken);
  exchange->pipelined_taken = 0;
  g_byte_array_free (exchange->pipelined, TRUE);
  exchange->pipelined = g_byte_array_new ();
}

/* Drop the pipelined bytes of EXCHANGE and all that follow.  Their requests
   have not run, and the connection closes after the current response.  */
static void
h1_pipeline_discard (struct h1_exchange *exchange)
{
  h1_pipeline_clear (exchange);
  exchange->server->counts.pipelined_discarded++;
  exchange->discarding = true;
  exchange->close_after = true;
  h1_conn_set_reading (exchange->conn, true);
}

static bool
h1_pipeline_reserve (struct h1_exchange *exchange, size_t bytes)
{
  if (!mbg_take (exchange->server->budget, bytes, MBG_LARGE))
    return false;
  exchange->pipelined_taken += bytes;
  return true;
}

/* Keep BYTES of DATA, which EXCHANGE has received behind its request.  Beyond
   the limit the connection is not read, and the kernel's buffer is counted as
   full.  */
void
h1_pipeline_append (struct h1_exchange *exchange, const char *data,
                    size_t bytes)
{
  if (bytes == 0 || exchange->discarding)
    return;
  /* The array may have twice the size.  */
  if (!h1_pipeline_reserve (exchange, 2 * bytes))
    {
      h1_pipeline_discard (exchange);
      return;
    }
  g_byte_array_append (exchange->pipelined, (const guint8 *)data,
                       (guint)bytes);
  if (exchange->pipelined->len <= H1_PIPELINED_MAX_BYTES)
    return;
  if (h1_pipeline_reserve (exchange, exchange->server->receive_buffer_bytes))
    h1_conn_set_reading (exchange->conn, false);
  else
    h1_pipeline_discard (exchange);
}

/* Return the pipelined bytes of EXCHANGE, which are parsed now, and read the
   connection again.  */
GByteArray *
h1_pipeline_take (struct h1_exchange *exchange)
{
  GByteArray *pipelined = exchange->pipelined;

  exchange->pipelined = g_byte_array_new ();
  h1_pipeline_clear (exchange);
  h1_conn_set_reading (exchange->conn, true);
  return pipelined;
}
