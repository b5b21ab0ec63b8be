#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "crowd_platform.h"
#include "unit.h"

#define BACKLOG      512
#define HEAD_BYTES   131072
#define STACK_BYTES  (512U << 10)
#define WATCH_MAX_MS 10000
#define US_PER_MS    1000
#define BLOCK_BYTES  16384

/* A connection, or a listener, and what serves it.  */
struct serving
{
  int fd;
  void (*serve) (int fd);
};

/* A request whose head was read.  */
struct message
{
  char head[HEAD_BYTES];
  size_t bytes;      /* in HEAD, with what follows the head */
  size_t head_bytes; /* of the head alone */
  size_t body_bytes; /* announced */
};

static const char *store_config;
static char *store_entry;

static void
start_thread (void *(*run) (void *), struct serving *serving)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, &attributes, run, serving),
                         0);
  pthread_attr_destroy (&attributes);
}

static void *
serve_connection (void *arg)
{
  struct serving *serving = arg;

  serving->serve (serving->fd);
  close (serving->fd);
  g_free (serving);
  return NULL;
}

static void *
accept_connections (void *arg)
{
  const struct serving *listener = arg;

  for (;;)
    {
      struct serving *serving = g_new0 (struct serving, 1);

      serving->serve = listener->serve;
      serving->fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (serving->fd < 0)
        {
          g_free (serving);
          return NULL;
        }
      start_thread (serve_connection, serving);
    }
}

/* Listen on a free port and let SERVE handle each connection.  Return the
   port.  */
static uint16_t
listen_on_any (void (*serve) (int fd))
{
  struct serving *listener = g_new0 (struct serving, 1);
  struct sockaddr_in local = { .sin_family = AF_INET };
  socklen_t bytes = sizeof local;

  local.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener->serve = serve;
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (listener->fd, (const struct sockaddr *)&local, sizeof local), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener->fd, BACKLOG), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (listener->fd, (struct sockaddr *)&local, &bytes), 0);
  start_thread (accept_connections, listener);
  return ntohs (local.sin_port);
}

/* Read the head of the next request on FD.  Return false at the end of the
   connection.  */
static bool
read_head (int fd, struct message *message)
{
  const char *length;

  message->bytes = 0;
  for (;;)
    {
      const char *end;
      ssize_t bytes = recv (fd, message->head + message->bytes,
                            HEAD_BYTES - 1 - message->bytes, 0);

      if (bytes <= 0)
        return false;
      message->bytes += (size_t)bytes;
      message->head[message->bytes] = '\0';
      end = strstr (message->head, "\r\n\r\n");
      if (end == NULL)
        continue;
      message->head_bytes = (size_t)(end + 4 - message->head);
      length = strcasestr (message->head, "\r\nContent-Length:");
      message->body_bytes
          = length == NULL
                ? 0
                : strtoul (length + strlen ("\r\nContent-Length:"), NULL, 10);
      return true;
    }
}

/* Read and discard the body of MESSAGE.  */
static bool
read_body (int fd, const struct message *message)
{
  char scratch[BLOCK_BYTES];
  size_t have = message->bytes - message->head_bytes;

  while (have < message->body_bytes)
    {
      ssize_t bytes = recv (
          fd, scratch, MIN (sizeof scratch, message->body_bytes - have), 0);

      if (bytes <= 0)
        return false;
      have += (size_t)bytes;
    }
  return true;
}

static bool
write_text (int fd, const char *text)
{
  return send (fd, text, strlen (text), MSG_NOSIGNAL)
         == (ssize_t)strlen (text);
}

/* Wait until the peer of FD closes the connection, without reading.  */
static void
await_close (int fd)
{
  struct pollfd polled = { .fd = fd, .events = POLLRDHUP };

  while (poll (&polled, 1, -1) == 0)
    ;
}

/* Send events until the peer of FD closes the connection.  */
static void
send_without_end (int fd)
{
  char *data = g_strnfill (BLOCK_BYTES, 'y');
  char *chunk = g_strdup_printf ("%x\r\n%s\r\n", BLOCK_BYTES, data);

  while (write_text (fd, chunk))
    ;
  g_free (chunk);
  g_free (data);
}

/* Return the value of the request id in MESSAGE, to be freed with g_free.  */
static char *
request_id (const struct message *message)
{
  static const char name[] = "\r\nX-Cowslipcove-Request-Id: ";
  const char *value = strcasestr (message->head, name);

  if (value == NULL)
    return g_strdup ("-");
  value += strlen (name);
  return g_strndup (value, strcspn (value, "\r"));
}

static void
serve_endpoint (int fd)
{
  struct message *message = g_new (struct message, 1);
  bool open = true;

  while (open && read_head (fd, message))
    {
      bool flood = strstr (message->head, "/flood") != NULL;
      char *id = request_id (message);
      char *text = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nX-Cowslipcove-Response-Seal: s\r\n"
          "X-Cowslipcove-Request-Id: %s\r\n%s\r\n\r\n%s",
          id, flood ? "Transfer-Encoding: chunked" : "Content-Length: 2",
          flood ? "" : "ok");

      open = strstr (message->head, "/blind") == NULL
             && read_body (fd, message);
      if (!open || strstr (message->head, "/hold") != NULL)
        {
          await_close (fd);
          open = false;
        }
      open = open && write_text (fd, text);
      if (open && flood)
        send_without_end (fd);
      open = open && !flood;
      g_free (text);
      g_free (id);
    }
  g_free (message);
}

static char *
item_text (const char *key, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  char *text = g_strdup_printf ("\"Key\":\"%s\",\"Value\":\"%s\","
                                "\"Revision\":5,\"Created\":5,\"Lease\":0",
                                key, encoded);

  g_free (encoded);
  return text;
}

/* Return the body of the answer to a call of the store, to be freed with
   g_free, or NULL if it is refused.  */
static char *
store_answer (const struct message *message)
{
  char *item = NULL;
  char *text = NULL;

  if (g_str_has_prefix (message->head, "GET /api/kv-key?Key=op%2Fconfig"))
    {
      item = item_text ("op/config", store_config);
      text = g_strdup_printf ("{%s,\"CurrentRev\":9}", item);
    }
  else if (g_str_has_prefix (message->head,
                             "GET /api/kv-range?PathPrefix=servers"))
    {
      item = item_text ("servers/e1", store_entry);
      text = g_strdup_printf (
          "{\"items\":[{%s}],\"HasMore\":false,\"CurrentRev\":9}", item);
    }
  else if (g_str_has_prefix (message->head, "GET /api/kv-range"))
    text = g_strdup ("{\"items\":[],\"HasMore\":false,\"CurrentRev\":9}");
  else if (g_str_has_prefix (message->head, "GET /api/kv-watch"))
    {
      g_usleep (WATCH_MAX_MS * US_PER_MS);
      text = g_strdup ("{\"events\":[],\"CurrentRev\":9}");
    }
  g_free (item);
  return text;
}

static void
serve_store (int fd)
{
  struct message *message = g_new (struct message, 1);
  bool open = true;

  while (open && read_head (fd, message) && read_body (fd, message))
    {
      char *body = store_answer (message);
      char *text = g_strdup_printf (
          "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
          "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n%s",
          body == NULL ? "503 Unavailable" : "200 OK",
          body == NULL ? 0 : strlen (body), body == NULL ? "" : body);

      open = write_text (fd, text);
      g_free (text);
      g_free (body);
    }
  g_free (message);
}

/* Start an endpoint and return its port.  */
uint16_t
crowd_platform_endpoint (void)
{
  return listen_on_any (serve_endpoint);
}

/* Start a store that holds CONFIG and return its port.  */
uint16_t
crowd_platform_store (const char *config)
{
  store_config = config;
  return listen_on_any (serve_store);
}

/* Start an endpoint of SERVICE and let the store list it.  */
void
crowd_platform_announce (const char *service)
{
  store_entry = g_strdup_printf (
      "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z1\","
      "\"Version\":\"v\",\"Slots\":500,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":1,\"born\":1000}",
      service, crowd_platform_endpoint ());
}
