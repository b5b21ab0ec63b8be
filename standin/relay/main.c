#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "adr.h"
#include "standin.h"

#define RLY_BACKLOG      64
#define RLY_BUFFER_BYTES 65536U
#define RLY_FORWARDS_MAX 16

/* A listening address and the target of its connections.  */
struct rly_forward
{
  struct rly *relay;
  uv_tcp_t listener;
  struct sockaddr_in target;
};

/* One of the two connections of a pair.  */
struct rly_side
{
  uv_tcp_t tcp;
  struct rly_pair *pair;
  struct rly_side *other;
  char buffer[RLY_BUFFER_BYTES];
};

/* A client's connection and the connection to its target.  */
struct rly_pair
{
  struct rly *relay;
  struct rly_side sides[2];
  uv_connect_t connect;
  uint8_t open; /* handles not closed yet */
};

/* TCP relay between the instances of a zone and other processes, which can
   simulate a network partition.  */
struct rly
{
  struct stand_host host;
  struct stand_faults faults;
  struct rly_forward forwards[RLY_FORWARDS_MAX];
  size_t count;
  GHashTable *pairs;
  uint64_t accepted;
  uint64_t refused;
};

/* A write in progress.  */
struct rly_write
{
  uv_write_t request;
  char bytes[];
};

static const struct argp_option options[] = {
  { "listen", 'l', "ADDRESS", 0,
    "accept faults on ADDRESS (IP:PORT); the fault cut closes all connections "
    "and refuses new ones",
    0 },
  { "forward", 'f', "FROM=TO", 0,
    "forward connections to the address FROM to the address TO; may be "
    "given several times",
    0 },
  { 0 }
};

static const char *listen_address = "127.0.0.1:7004";
static struct rly relay;

static bool
rly_add_forward (const char *text)
{
  struct rly_forward *forward = &relay.forwards[relay.count];
  char **parts = g_strsplit (text, "=", 2);
  struct sockaddr_in from;
  bool valid = relay.count < RLY_FORWARDS_MAX && g_strv_length (parts) == 2
               && adr_parse_peer (parts[0], &from)
               && adr_parse_peer (parts[1], &forward->target);

  g_strfreev (parts);
  if (!valid)
    return false;
  forward->relay = &relay;
  uv_tcp_init (&relay.host.loop, &forward->listener);
  forward->listener.data = forward;
  relay.count++;
  return uv_tcp_bind (&forward->listener, (struct sockaddr *)&from, 0) == 0;
}

static void
rly_handle_closed (uv_handle_t *handle)
{
  struct rly_side *side = handle->data;

  if (--side->pair->open == 0)
    g_free (side->pair);
}

static void
rly_pair_close (struct rly_pair *pair)
{
  if (!g_hash_table_remove (pair->relay->pairs, pair))
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (pair->sides); i++)
    uv_close ((uv_handle_t *)&pair->sides[i].tcp, rly_handle_closed);
}

static void
rly_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct rly_side *side = handle->data;

  (void)suggested;
  *buf = uv_buf_init (side->buffer, sizeof side->buffer);
}

static void
rly_write_done (uv_write_t *request, int status)
{
  (void)status;
  g_free (request);
}

/* Forward the bytes that were read.  The end of either direction closes the
   pair, because HTTP does not use half-open connections.  */
static void
rly_read (uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buf)
{
  struct rly_side *side = stream->data;
  struct rly_write *write;
  uv_buf_t out;

  if (bytes < 0)
    {
      rly_pair_close (side->pair);
      return;
    }
  write = g_malloc (sizeof *write + (size_t)bytes);
  memcpy (write->bytes, buf->base, (size_t)bytes);
  out = uv_buf_init (write->bytes, (unsigned)bytes);
  if (uv_write (&write->request, (uv_stream_t *)&side->other->tcp, &out, 1,
                rly_write_done)
      == 0)
    return;
  g_free (write);
  rly_pair_close (side->pair);
}

static void
rly_connected (uv_connect_t *connect, int status)
{
  struct rly_pair *pair = connect->data;

  if (status == UV_ECANCELED)
    return;
  if (status != 0)
    {
      rly_pair_close (pair);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (pair->sides); i++)
    uv_read_start ((uv_stream_t *)&pair->sides[i].tcp, rly_alloc, rly_read);
}

static struct rly_pair *
rly_pair_new (struct rly *owner)
{
  struct rly_pair *pair = g_new0 (struct rly_pair, 1);

  pair->relay = owner;
  pair->open = G_N_ELEMENTS (pair->sides);
  pair->connect.data = pair;
  for (size_t i = 0; i < G_N_ELEMENTS (pair->sides); i++)
    {
      struct rly_side *side = &pair->sides[i];

      uv_tcp_init (&owner->host.loop, &side->tcp);
      side->tcp.data = side;
      side->pair = pair;
      side->other = &pair->sides[1 - i];
    }
  g_hash_table_add (owner->pairs, pair);
  return pair;
}

static void
rly_accept (uv_stream_t *listener, int status)
{
  struct rly_forward *forward = listener->data;
  struct rly *owner = forward->relay;
  struct rly_pair *pair;

  if (status < 0)
    return;
  pair = rly_pair_new (owner);
  if (uv_accept (listener, (uv_stream_t *)&pair->sides[0].tcp) != 0
      || stand_fault_value (&owner->faults, "cut") != 0)
    {
      owner->refused++;
      rly_pair_close (pair);
      return;
    }
  owner->accepted++;
  if (uv_tcp_connect (&pair->connect, &pair->sides[1].tcp,
                      (const struct sockaddr *)&forward->target, rly_connected)
      != 0)
    rly_pair_close (pair);
}

static void
rly_close_all (struct rly *owner)
{
  GList *pairs = g_hash_table_get_keys (owner->pairs);

  for (GList *l = pairs; l != NULL; l = l->next)
    rly_pair_close (l->data);
  g_list_free (pairs);
}

static void
rly_handle (void *arg, struct http_exchange *exchange)
{
  struct rly *owner = arg;
  struct json_object *body;

  if (stand_faults_serve (&owner->faults, exchange))
    {
      if (stand_fault_value (&owner->faults, "cut") != 0)
        rly_close_all (owner);
      return;
    }
  if (!stand_request_is (exchange, "GET", "/records"))
    {
      stand_reply_error (exchange, 404, "not found");
      return;
    }
  body = json_object_new_object ();
  stand_add_int (body, "accepted", (int64_t)owner->accepted);
  stand_add_int (body, "refused", (int64_t)owner->refused);
  stand_add_int (body, "open", g_hash_table_size (owner->pairs));
  stand_reply (exchange, 200, body);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'l':
      listen_address = arg;
      return 0;
    case 'f':
      if (!rly_add_forward (arg))
        argp_error (state, "cannot forward %s", arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option,
          NULL,    "TCP relay that can disconnect the processes behind it.",
          NULL,    NULL,
          NULL };

  stand_init (&relay.host, "standin-relay");
  stand_faults_init (&relay.faults, "{\"cut\": 0}");
  relay.pairs = g_hash_table_new (NULL, NULL);
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  for (size_t i = 0; i < relay.count; i++)
    if (uv_listen ((uv_stream_t *)&relay.forwards[i].listener, RLY_BACKLOG,
                   rly_accept)
        != 0)
      return EXIT_FAILURE;
  if (!stand_listen (&relay.host, listen_address, rly_handle, &relay))
    return EXIT_FAILURE;
  stand_run (&relay.host);
  return EXIT_SUCCESS;
}
