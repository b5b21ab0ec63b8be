#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rpc.h"
#include "rpc_message.h"
#include "rpc_record.h"
#include "rpc_replay.h"
#include "tm_uv.h"
#include "unit.h"

#define PROC_ADD    1
#define PROC_HOLD   2
#define PROC_NOTIFY 3
#define BULK_BYTES  65536
#define KEY         "0123456789abcdef0123456789abcdef"
#define OTHER_KEY   "0123456789abcdef0123456789abcdeX"

struct rig
{
  uv_loop_t loop;
  uv_timer_t watchdog;
  struct tm_uv clock;
  struct ctr_set *counters;
  struct rpc_node *server;
  struct rpc_node *client;
  struct rpc_request *pending;
  uint32_t handled;
  uint32_t completed;
  enum rpc_outcome outcome;
  u_int64_t result;
  char address[64];
};

static void
handle_add (void *arg, const struct rpc_origin *origin, void *args,
            struct rpc_request *request)
{
  struct rig *rig = arg;
  u_int64_t result = *(u_int64_t *)args + 1;

  rig->handled++;
  CU_ASSERT_STRING_EQUAL (origin->instance, "a");
  rpc_send_reply (request, &result);
}

static void
handle_hold (void *arg, const struct rpc_origin *origin, void *args,
             struct rpc_request *request)
{
  struct rig *rig = arg;

  (void)origin;
  (void)args;
  rig->pending = request;
}

static void
handle_notify (void *arg, const struct rpc_origin *origin, void *args,
               struct rpc_request *request)
{
  struct rig *rig = arg;

  CU_ASSERT_PTR_NULL (request);
  CU_ASSERT_STRING_EQUAL (origin->instance, "a");
  rig->handled++;
  rig->result = *(u_int64_t *)args;
}

static void
on_watchdog (uv_timer_t *timer)
{
  (void)timer;
  g_error ("no event within 20 s");
}

static struct rpc_node *
node_new (struct rig *rig, const char *instance, uint64_t incarnation,
          const char *address, const char *key)
{
  struct rpc_config config = { instance, incarnation, address, key, 32, NULL };
  struct rpc_node *node = rpc_node_new (&rig->loop, rig->clock.service,
                                        rig->counters, &config, NULL);
  static const struct rpc_procedure add
      = { PROC_ADD, (xdrproc_t)xdr_u_int64_t, sizeof (u_int64_t),
          (xdrproc_t)xdr_u_int64_t, handle_add };
  static const struct rpc_procedure hold
      = { PROC_HOLD, (xdrproc_t)xdr_u_int64_t, sizeof (u_int64_t),
          (xdrproc_t)xdr_u_int64_t, handle_hold };
  static const struct rpc_procedure notify
      = { PROC_NOTIFY, (xdrproc_t)xdr_u_int64_t, sizeof (u_int64_t), NULL,
          handle_notify };

  CU_ASSERT_PTR_NOT_NULL_FATAL (node);
  rpc_register (node, &add, rig);
  rpc_register (node, &hold, rig);
  rpc_register (node, &notify, rig);
  return node;
}

static void
rig_start (struct rig *rig)
{
  memset (rig, 0, sizeof *rig);
  uv_loop_init (&rig->loop);
  uv_timer_init (&rig->loop, &rig->watchdog);
  uv_timer_start (&rig->watchdog, on_watchdog, 20000, 0);
  tm_uv_start (&rig->clock, &rig->loop);
  rig->counters = ctr_new ();
  rig->server = node_new (rig, "b", 20, "127.0.0.1:0", KEY);
  rig->client = node_new (rig, "a", 10, "127.0.0.1:0", KEY);
  g_strlcpy (rig->address, rpc_address (rig->server), sizeof rig->address);
}

static void
rig_stop (struct rig *rig)
{
  rpc_node_free (rig->client);
  rpc_node_free (rig->server);
  if (rig->pending != NULL)
    rpc_send_reply (rig->pending, &rig->result);
  tm_uv_stop (&rig->clock);
  uv_close ((uv_handle_t *)&rig->watchdog, NULL);
  while (uv_run (&rig->loop, UV_RUN_NOWAIT) != 0)
    ;
  uv_loop_close (&rig->loop);
  ctr_free (rig->counters);
}

static void
on_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct rig *rig = arg;

  rig->completed++;
  rig->outcome = outcome;
  rig->result = outcome == RPC_OK ? *(u_int64_t *)result : 0;
}

/* Call PROCEDURE with 41 and return the outcome.  */
static enum rpc_outcome
call (struct rig *rig, uint32_t procedure, uint32_t timeout_ms)
{
  u_int64_t value = 41;
  struct rpc_call outgoing = { rig->address,
                               procedure,
                               (xdrproc_t)xdr_u_int64_t,
                               &value,
                               (xdrproc_t)xdr_u_int64_t,
                               sizeof value,
                               timeout_ms };
  uint32_t expected = rig->completed + 1;

  rpc_send (rig->client, &outgoing, on_done, rig);
  while (rig->completed < expected)
    uv_run (&rig->loop, UV_RUN_ONCE);
  return rig->outcome;
}

/* Guards against wrong results and against calls that never complete.  */
static void
test_calls (void)
{
  struct rig rig;

  rig_start (&rig);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  CU_ASSERT_EQUAL (rig.result, 42);
  CU_ASSERT_EQUAL (call (&rig, 7, 5000), RPC_REFUSED);
  CU_ASSERT_EQUAL (call (&rig, PROC_HOLD, 50), RPC_TIMEOUT);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  CU_ASSERT_TRUE (rpc_bytes_sent (rig.client) > 0);
  rig_stop (&rig);
}

/* Guards against a caller that does not reconnect to a restarted peer, and
   against a definite outcome for a call whose execution is unknown.  */
static void
test_restart (void)
{
  struct rig rig;

  rig_start (&rig);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  rpc_node_free (rig.server);
  rig.server = node_new (&rig, "b", 21, rig.address, KEY);
  while (call (&rig, PROC_ADD, 5000) == RPC_CONNECTION_LOST)
    ;
  CU_ASSERT_EQUAL (rig.outcome, RPC_OK);
  /* The peer exits while it handles a call.  */
  {
    u_int64_t value = 1;
    struct rpc_call outgoing = { rig.address,
                                 PROC_HOLD,
                                 (xdrproc_t)xdr_u_int64_t,
                                 &value,
                                 (xdrproc_t)xdr_u_int64_t,
                                 sizeof value,
                                 5000 };

    rpc_send (rig.client, &outgoing, on_done, &rig);
    while (rig.pending == NULL)
      uv_run (&rig.loop, UV_RUN_ONCE);
    rpc_node_free (rig.server);
    rig.server = NULL;
    while (rig.outcome != RPC_CONNECTION_LOST)
      uv_run (&rig.loop, UV_RUN_ONCE);
  }
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_CONNECT_FAILED);
  rig_stop (&rig);
}

/* Guards against callers that do not have the peer key.  */
static void
test_wrong_key (void)
{
  struct rig rig;

  rig_start (&rig);
  rpc_node_free (rig.client);
  rig.client = node_new (&rig, "a", 10, "127.0.0.1:0", OTHER_KEY);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_REFUSED);
  CU_ASSERT_EQUAL (rig.handled, 0);
  CU_ASSERT_EQUAL (ctr_get (rig.counters, "rpc_bad_total{reason=\"key\"}"), 1);
  rig_stop (&rig);
}

/* Guards against a node that keeps a key which its peers have replaced.  */
static void
test_changed_key (void)
{
  struct rig rig;

  rig_start (&rig);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  rpc_set_key (rig.server, OTHER_KEY, 32);
  CU_ASSERT_NOT_EQUAL (call (&rig, PROC_ADD, 1000), RPC_OK);
  CU_ASSERT_EQUAL (rig.handled, 1);
  rpc_set_key (rig.client, OTHER_KEY, 32);
  while (call (&rig, PROC_ADD, 5000) == RPC_CONNECTION_LOST)
    ;
  CU_ASSERT_EQUAL (rig.outcome, RPC_OK);
  rig_stop (&rig);
}

static int
raw_connect (const struct rig *rig)
{
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer.sin_port
      = htons ((uint16_t)strtoul (strchr (rig->address, ':') + 1, NULL, 10));
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&peer, sizeof peer), 0);
  return fd;
}

static void
run_until_counted (struct rig *rig, const char *name, uint64_t expected)
{
  while (ctr_get (rig->counters, name) < expected)
    uv_run (&rig->loop, UV_RUN_ONCE);
}

/* Read from FD until the peer closes the connection, and close FD.  Return
   whether the peer closed it.  */
static bool
raw_wait_closed (int fd)
{
  char buffer[256];
  ssize_t received;

  while ((received = recv (fd, buffer, sizeof buffer, 0)) > 0)
    ;
  close (fd);
  return received <= 0;
}

/* Guards against unauthenticated input that crashes the instance, exhausts its
   memory or is processed.  Random records from a fixed seed follow the fixed
   cases.  */
static void
test_malformed (void)
{
  static const struct
  {
    const char *bytes;
    size_t count;
    const char *counter;
  } cases[] = {
    { "GET / HTTP/1.1\r\n\r\n", 18, "rpc_bad_total{reason=\"record\"}" },
    { "\x80\x00\x04\x01", 4, "rpc_bad_total{reason=\"record\"}" },
    { "\x7f\xff\xff\xff", 4, "rpc_bad_total{reason=\"record\"}" },
    { "\x00\x00\x00\x00", 4, "rpc_bad_total{reason=\"record\"}" },
    { "\x80\x00\x00\x00", 4, "rpc_bad_total{reason=\"garbage\"}" },
    { "\x80\x00\x00\x04"
      "abcd",
      8, "rpc_bad_total{reason=\"garbage\"}" },
  };
  GRand *random = g_rand_new_with_seed (5);
  struct rig rig;

  rig_start (&rig);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t before = ctr_get (rig.counters, cases[i].counter);
      int fd = raw_connect (&rig);

      (void)!write (fd, cases[i].bytes, cases[i].count);
      run_until_counted (&rig, cases[i].counter, before + 1);
      CU_ASSERT_TRUE (raw_wait_closed (fd));
    }
  for (uint64_t i = 0; i < 300; i++)
    {
      uint8_t record[304]
          = { 0x80, 0, 1, 44, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2 };
      int fd = raw_connect (&rig);
      uint64_t before
          = ctr_get (rig.counters, "rpc_bad_total{reason=\"garbage\"}");

      for (size_t at = 16; at < sizeof record; at++)
        record[at] = (uint8_t)(g_rand_int (random)
                               & (g_rand_boolean (random) ? 0xff : 1));
      (void)!write (fd, record, sizeof record);
      run_until_counted (&rig, "rpc_bad_total{reason=\"garbage\"}",
                         before + 1);
      CU_ASSERT_TRUE (raw_wait_closed (fd));
    }
  CU_ASSERT_EQUAL (rig.handled, 0);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  g_rand_free (random);
  rig_stop (&rig);
}

static void
run_replay (uint32_t procedure)
{
  static const struct
  {
    uint64_t incarnation;
    uint64_t sequence;
    const char *to_address;
    uint64_t to_incarnation;
    bool flip;
    const char *reason; /* NULL: accepted */
  } cases[] = {
    { 10, 5, NULL, 20, false, NULL },
    { 10, 5, NULL, 20, false, "replay" },
    { 10, 4, NULL, 20, false, NULL },
    { 10, 9, NULL, 19, false, "incarnation" },
    { 10, 9, "127.0.0.1:1", 20, false, "address" },
    { 10, 9, NULL, 20, true, "key" },
    { 11, 1, NULL, 20, false, NULL },
    { 10, 10, NULL, 20, false, "retired" },
    { 11, 90, NULL, 20, false, NULL },
    { 11, 20, NULL, 20, false, "replay" },
  };
  struct rpc_auth *auth = rpc_auth_new (KEY, 32);
  u_int64_t value = 1;
  GByteArray *body = rpc_message_encode ((xdrproc_t)xdr_u_int64_t, &value);
  struct rig rig;

  rig_start (&rig);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rpc_credential credential
          = { "a", cases[i].incarnation, cases[i].sequence, "",
              cases[i].to_incarnation };
      char *counter
          = g_strdup_printf ("rpc_bad_total{reason=\"%s\"}", cases[i].reason);
      uint64_t before = ctr_get (rig.counters, counter);
      uint32_t handled = rig.handled;
      uint8_t mac[RPC_AUTH_MAC_BYTES];
      int fd = raw_connect (&rig);
      GByteArray *record;

      g_strlcpy (credential.to_address,
                 cases[i].to_address != NULL ? cases[i].to_address
                                             : rig.address,
                 sizeof credential.to_address);
      record = rpc_message_call (auth, &credential, 1, procedure, body, mac);
      record->data[record->len - 1] ^= cases[i].flip;
      (void)!write (fd, record->data, record->len);
      g_byte_array_free (record, TRUE);
      if (cases[i].reason != NULL)
        {
          run_until_counted (&rig, counter, before + 1);
          CU_ASSERT_EQUAL (rig.handled, handled);
          CU_ASSERT_TRUE (raw_wait_closed (fd));
        }
      else
        {
          while (rig.handled == handled)
            uv_run (&rig.loop, UV_RUN_ONCE);
          close (fd);
        }
      g_free (counter);
    }
  g_byte_array_free (body, TRUE);
  rpc_auth_free (auth);
  rig_stop (&rig);
}

/* Guards against authenticated records that are replayed to the same or
   another address, sent to a later incarnation or from an earlier one, and
   against modified records.  */
static void
test_replay (void)
{
  run_replay (PROC_ADD);
  run_replay (PROC_NOTIFY);
}

static void
notify (struct rig *rig, u_int64_t value)
{
  struct rpc_call outgoing = { .address = rig->address,
                               .procedure = PROC_NOTIFY,
                               .encode_args = (xdrproc_t)xdr_u_int64_t,
                               .args = &value,
                               .timeout_ms = 5000 };

  rpc_send_one_way (rig->client, &outgoing);
}

static void
run_until_handled (struct rig *rig, uint32_t expected)
{
  while (rig->handled < expected)
    uv_run (&rig->loop, UV_RUN_ONCE);
}

/* Guards against one-way calls that are replied to, handled out of order, or
   never sent again after a connection is lost, and against a new connection
   with the identifier of the previous one.  */
static void
test_one_way (void)
{
  uint64_t sent_bytes;
  uint64_t connection;
  struct rig rig;

  rig_start (&rig);
  CU_ASSERT_EQUAL (rpc_connection_id (rig.client, rig.address), 0);
  CU_ASSERT_EQUAL (call (&rig, PROC_ADD, 5000), RPC_OK);
  connection = rpc_connection_id (rig.client, rig.address);
  sent_bytes = rpc_bytes_sent (rig.server);
  for (u_int64_t i = 1; i <= 5; i++)
    {
      notify (&rig, i);
      run_until_handled (&rig, 1 + (uint32_t)i);
      CU_ASSERT_EQUAL (rig.result, i);
    }
  CU_ASSERT_EQUAL (rpc_bytes_sent (rig.server), sent_bytes);
  CU_ASSERT_EQUAL (rpc_connection_id (rig.client, rig.address), connection);
  rpc_node_free (rig.server);
  rig.server = node_new (&rig, "b", 21, rig.address, KEY);
  while (rpc_connection_id (rig.client, rig.address) != 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  notify (&rig, 8);
  run_until_handled (&rig, 7);
  CU_ASSERT_EQUAL (rig.result, 8);
  CU_ASSERT_TRUE (rpc_connection_id (rig.client, rig.address) > connection);
  rpc_node_free (rig.server);
  rig.server = NULL;
  while (rpc_connection_id (rig.client, rig.address) != 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  notify (&rig, 9);
  run_until_counted (&rig, "rpc_calls_total{outcome=\"connect_failed\"}", 1);
  rig_stop (&rig);
}

/* Guards against malformed arguments in an authenticated one-way call.  */
static void
test_one_way_malformed (void)
{
  static const uint8_t buffer[24] = { 0 };
  struct rpc_auth *auth = rpc_auth_new (KEY, 32);
  struct rig rig;

  rig_start (&rig);
  for (guint bytes = 0; bytes <= sizeof buffer; bytes += 4)
    {
      struct rpc_credential credential = { "a", 10, 1 + bytes, "", 20 };
      GByteArray *body = g_byte_array_new ();
      uint64_t before
          = ctr_get (rig.counters, "rpc_bad_total{reason=\"arguments\"}");
      uint8_t mac[RPC_AUTH_MAC_BYTES];
      GByteArray *record;
      int fd;

      if (bytes == sizeof (u_int64_t))
        {
          g_byte_array_free (body, TRUE);
          continue;
        }
      g_byte_array_append (body, buffer, bytes);
      g_strlcpy (credential.to_address, rig.address,
                 sizeof credential.to_address);
      record = rpc_message_call (auth, &credential, 1, PROC_NOTIFY, body, mac);
      fd = raw_connect (&rig);
      (void)!write (fd, record->data, record->len);
      run_until_counted (&rig, "rpc_bad_total{reason=\"arguments\"}",
                         before + 1);
      CU_ASSERT_TRUE (raw_wait_closed (fd));
      g_byte_array_free (record, TRUE);
      g_byte_array_free (body, TRUE);
    }
  CU_ASSERT_EQUAL (rig.handled, 0);
  rpc_auth_free (auth);
  rig_stop (&rig);
}

static bool_t
xdr_bulk (XDR *xdr, void *value)
{
  return xdr_opaque (xdr, value, BULK_BYTES);
}

/* Accept the connection of the client on LISTENER and reply to its null
   call.  */
static int
raw_accept (struct rig *rig, int listener)
{
  struct rpc_auth *auth = rpc_auth_new (KEY, 32);
  u_int64_t incarnation = 20;
  GByteArray *body
      = rpc_message_encode ((xdrproc_t)xdr_u_int64_t, &incarnation);
  uint8_t record[512];
  struct rpc_incoming hello;
  GByteArray *reply;
  ssize_t received;
  int fd;

  while ((fd = accept (listener, NULL, NULL)) < 0)
    uv_run (&rig->loop, UV_RUN_NOWAIT);
  while ((received = recv (fd, record, sizeof record, MSG_DONTWAIT)) <= 0)
    uv_run (&rig->loop, UV_RUN_NOWAIT);
  CU_ASSERT_EQUAL (rpc_message_parse_call (
                       auth, record + RPC_RECORD_HEADER_BYTES,
                       (size_t)received - RPC_RECORD_HEADER_BYTES, &hello),
                   RPC_MESSAGE_VALID);
  reply = rpc_message_reply (auth, hello.mac, hello.xid, SUCCESS, body);
  (void)!write (fd, reply->data, reply->len);
  g_byte_array_free (reply, TRUE);
  g_byte_array_free (body, TRUE);
  rpc_auth_free (auth);
  return fd;
}

/* Guards against one-way calls that are queued forever on a connection whose
   peer neither reads nor closes it.  */
static void
test_one_way_stalled (void)
{
  static char bulk[BULK_BYTES];
  struct sockaddr_in local = { .sin_family = AF_INET };
  socklen_t bytes = sizeof local;
  int listener
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct rpc_call outgoing = { .procedure = PROC_NOTIFY,
                               .encode_args = (xdrproc_t)xdr_bulk,
                               .args = bulk,
                               .timeout_ms = 5000 };
  struct rig rig;
  int fd;

  rig_start (&rig);
  local.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (listener, (struct sockaddr *)&local, bytes), 0);
  CU_ASSERT_EQUAL (listen (listener, 4), 0);
  (void)getsockname (listener, (struct sockaddr *)&local, &bytes);
  g_snprintf (rig.address, sizeof rig.address, "127.0.0.1:%u",
              ntohs (local.sin_port));
  outgoing.address = rig.address;
  rpc_send_one_way (rig.client, &outgoing);
  fd = raw_accept (&rig, listener);
  while (rpc_connection_id (rig.client, rig.address) == 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  for (int i = 0; i < 120; i++)
    rpc_send_one_way (rig.client, &outgoing);
  while (rpc_connection_id (rig.client, rig.address) != 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  close (fd);
  rpc_send_one_way (rig.client, &outgoing);
  fd = raw_accept (&rig, listener);
  close (fd);
  close (listener);
  rig_stop (&rig);
}

/* Guards against a record over the size limit from an authenticated peer.  */
static void
test_oversize (void)
{
  static const uint8_t head[] = { 0x80, 0x20, 0, 1 };
  struct rpc_auth *auth = rpc_auth_new (KEY, 32);
  struct rpc_credential credential = { "a", 10, 1, "", 20 };
  uint8_t mac[RPC_AUTH_MAC_BYTES];
  GByteArray *record;
  struct rig rig;
  int fd;

  rig_start (&rig);
  g_strlcpy (credential.to_address, rig.address, sizeof credential.to_address);
  record = rpc_message_call (auth, &credential, 1, NULLPROC, NULL, mac);
  g_byte_array_append (record, head, sizeof head);
  fd = raw_connect (&rig);
  (void)!write (fd, record->data, record->len);
  run_until_counted (&rig, "rpc_bad_total{reason=\"record\"}", 1);
  CU_ASSERT_TRUE (raw_wait_closed (fd));
  g_byte_array_free (record, TRUE);
  rpc_auth_free (auth);
  rig_stop (&rig);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "calls", test_calls },
          { "restart", test_restart },
          { "wrong_key", test_wrong_key },
          { "changed key", test_changed_key },
          { "malformed", test_malformed },
          { "replay", test_replay },
          { "one_way", test_one_way },
          { "one_way_malformed", test_one_way_malformed },
          { "one_way_stalled", test_one_way_stalled },
          { "oversize", test_oversize },
          { NULL, NULL } };

  return unit_main ("rpc", tests);
}
