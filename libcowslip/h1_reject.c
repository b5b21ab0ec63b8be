#include "h1_server_impl.h"

/* Requests that are rejected before they are complete, and connections that
   are closed for others.  */

/* A connection may be closed for another caller if nothing has happened on it
   for this long.  */
#define H1_EVICT_AFTER_US 500000

/* Return the status of a response to a request that is rejected.  */
uint16_t
h1_rejection_status (enum h1_rejection rejection)
{
  switch (rejection)
    {
    case H1_REJECT_HEAD_TOO_LARGE:
      return 431;
    case H1_REJECT_BODY_TOO_LARGE:
      return 413;
    case H1_REJECT_MEMORY:
    case H1_REJECT_CONNECTIONS:
      return 503;
    default:
      return 400;
    }
}

/* Respond to a request that may be incomplete, and close the connection
   gracefully.  */
void
h1_exchange_reject (struct h1_exchange *exchange, enum h1_rejection rejection)
{
  struct h1_server *server = exchange->server;

  exchange->close_after = true;
  exchange->busy = true;
  exchange->events = NULL;
  mbg_set_evictable (&exchange->holder, false);
  h1_body_unref (exchange->body);
  exchange->body = NULL;
  if (server->events.rejected != NULL)
    server->events.rejected (server->arg, exchange, rejection);
  else
    h1_respond (exchange, h1_rejection_status (rejection), NULL, 0, "");
}

/* Free the memory of the exchange ARG, which stalls: within a request its
   caller gets a refusal, and of a response it gets no more.  */
void
h1_exchange_evict (void *arg)
{
  struct h1_exchange *exchange = arg;

  if (exchange->parser.started && !exchange->busy && !exchange->closing)
    h1_exchange_reject (exchange, H1_REJECT_MEMORY);
  h1_exchange_close (exchange, H1_CLOSE_EVICTED);
}

/* Return the order in which EXCHANGE is closed for another caller, lower ones
   first, or UINT32_MAX if it is not.  */
static uint32_t
h1_exchange_rank (const struct h1_exchange *exchange)
{
  uint64_t now_us = tm_now_us (exchange->server->tm);

  /* A response that is ready is sent to its end.  */
  if (exchange->busy || h1_conn_pending_bytes (exchange->conn) > 0
      || now_us - exchange->holder.progress_us < H1_EVICT_AFTER_US)
    return UINT32_MAX;
  if (exchange->closing)
    return 0;
  return exchange->served ? 2 : 1;
}

/* Close a connection of SERVER on which nothing has happened for a while: one
   that was refused, one without a request so far, or the one that is idle for
   longest.  Return false if there is none.  */
bool
h1_server_make_room (struct h1_server *server)
{
  struct h1_exchange *victim = NULL;
  uint32_t victim_rank = UINT32_MAX;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct h1_exchange *exchange = key;
      uint32_t rank = h1_exchange_rank (exchange);

      if (rank < victim_rank
          || (rank == victim_rank && victim != NULL
              && exchange->holder.progress_us < victim->holder.progress_us))
        {
          victim = exchange;
          victim_rank = rank;
        }
    }
  if (victim == NULL)
    return false;
  server->counts.connections_evicted++;
  if (victim->parser.started && !victim->closing)
    h1_exchange_reject (victim, H1_REJECT_CONNECTIONS);
  h1_exchange_close (victim, H1_CLOSE_EVICTED);
  return true;
}
