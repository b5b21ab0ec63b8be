#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "crowd.h"
#include "unit.h"

#define US_PER_MS G_GINT64_CONSTANT (1000)
/* A crowd that sends nothing for this long has sent all that the process
   takes.  */
#define QUIET_MS  1500
#define SAMPLE_MS 20
#define POLL_MS   10
/* Guards against a test that never ends; no duration is checked.  */
#define RUN_MAX_MS      60000
#define REQUEST_MAX_MS  90000
#define REQUEST_WAIT_MS 3000
#define CONNECT_MS      3000
/* Bytes that one client sends before it is another one's turn.  */
#define TURN_BYTES (256U << 10)

struct crowd_client
{
  int fd; /* -1: closed by the process */
  size_t sent;
  uint32_t returns;
};

struct crowd
{
  const struct crowd_plan *plan;
  struct crowd_process *process;
  struct crowd_client *clients;
  struct pollfd *polled;
  size_t total_bytes; /* that each client sends */
  int64_t moved_us;   /* when a client last sent something or connected */
  int64_t sampled_us;
};

static void
client_open (struct crowd *crowd, struct crowd_client *client)
{
  client->sent = 0;
  client->fd = crowd_connect (crowd->process->port, CONNECT_MS);
  if (client->fd < 0)
    return;
  (void)fcntl (client->fd, F_SETFL, O_NONBLOCK);
  crowd->moved_us = g_get_monotonic_time ();
}

/* The process has closed the connection of CLIENT.  */
static void
client_closed (struct crowd *crowd, struct crowd_client *client)
{
  close (client->fd);
  client->fd = -1;
  if (client->returns < crowd->plan->returns)
    {
      client->returns++;
      client_open (crowd, client);
    }
}

/* Return what CLIENT sends next, and set BYTES to its length.  */
static const char *
client_next (const struct crowd *crowd, const struct crowd_client *client,
             size_t *bytes)
{
  const struct crowd_plan *plan = crowd->plan;
  size_t head_bytes = strlen (plan->head);
  size_t offset;

  if (client->sent < head_bytes)
    {
      *bytes = head_bytes - client->sent;
      return plan->head + client->sent;
    }
  offset = (client->sent - head_bytes) % plan->unit_bytes;
  *bytes = plan->unit_bytes - offset;
  return plan->unit + offset;
}

/* Let CLIENT send.  Return false if its connection has ended.  */
static bool
client_send (struct crowd *crowd, struct crowd_client *client)
{
  size_t end = client->sent + TURN_BYTES;

  while (client->sent < MIN (end, crowd->total_bytes))
    {
      size_t bytes;
      const char *data = client_next (crowd, client, &bytes);
      ssize_t sent = send (client->fd, data, bytes, MSG_NOSIGNAL);

      if (sent < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
      client->sent += (size_t)sent;
      crowd->moved_us = g_get_monotonic_time ();
    }
  return true;
}

/* Discard what CLIENT has received.  Return false if its connection has
   ended.  */
static bool
client_receive (struct crowd_client *client)
{
  static char scratch[65536];
  ssize_t bytes;

  do
    bytes = recv (client->fd, scratch, sizeof scratch, 0);
  while (bytes > 0);
  return bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static void
client_serve (struct crowd *crowd, struct crowd_client *client, short events)
{
  bool open = (events & (POLLERR | POLLHUP)) == 0;

  if (open && (events & POLLIN) != 0)
    open = client_receive (client);
  if (open && (events & POLLOUT) != 0)
    open = client_send (crowd, client);
  if (!open)
    client_closed (crowd, client);
}

/* Let all clients act once.  */
static void
crowd_step (struct crowd *crowd)
{
  const struct crowd_plan *plan = crowd->plan;

  for (uint32_t i = 0; i < plan->clients; i++)
    {
      const struct crowd_client *client = &crowd->clients[i];

      crowd->polled[i].fd = client->fd;
      crowd->polled[i].events
          = (short)((plan->reads ? POLLIN : 0)
                    | (client->sent < crowd->total_bytes ? POLLOUT : 0));
      crowd->polled[i].revents = 0;
    }
  if (poll (crowd->polled, plan->clients, POLL_MS) > 0)
    for (uint32_t i = 0; i < plan->clients; i++)
      if (crowd->polled[i].revents != 0)
        client_serve (crowd, &crowd->clients[i], crowd->polled[i].revents);
  if (g_get_monotonic_time () - crowd->sampled_us < SAMPLE_MS * US_PER_MS)
    return;
  crowd_sample (crowd->process);
  crowd->sampled_us = g_get_monotonic_time ();
}

static void
crowd_open (struct crowd *crowd, struct crowd_process *process,
            const struct crowd_plan *plan)
{
  *crowd
      = (struct crowd){ .plan = plan,
                        .process = process,
                        .clients = g_new0 (struct crowd_client, plan->clients),
                        .polled = g_new0 (struct pollfd, plan->clients),
                        .total_bytes = strlen (plan->head)
                                       + plan->units * plan->unit_bytes };

  for (uint32_t i = 0; i < plan->clients; i++)
    {
      client_open (crowd, &crowd->clients[i]);
      crowd_step (crowd);
    }
}

static void
crowd_close (struct crowd *crowd)
{
  for (uint32_t i = 0; i < crowd->plan->clients; i++)
    if (crowd->clients[i].fd >= 0)
      close (crowd->clients[i].fd);
  g_free (crowd->clients);
  g_free (crowd->polled);
}

/* Return whether each client of CROWD has sent all it has or was closed.  */
static bool
crowd_is_done (const struct crowd *crowd)
{
  for (uint32_t i = 0; i < crowd->plan->clients; i++)
    {
      const struct crowd_client *client = &crowd->clients[i];

      if (client->fd >= 0 && client->returns == 0
          && client->sent < crowd->total_bytes)
        return false;
    }
  return true;
}

/* Wait until the clients of CROWD have sent all that the process takes, or it
   has ended.  */
static void
crowd_settle (struct crowd *crowd)
{
  int64_t start_us = g_get_monotonic_time ();

  while (!(crowd_is_done (crowd) && crowd->plan->returns > 0)
         && g_get_monotonic_time () - crowd->moved_us < QUIET_MS * US_PER_MS
         && g_get_monotonic_time () - start_us < RUN_MAX_MS * US_PER_MS
         && crowd_is_running (crowd->process))
    crowd_step (crowd);
}

/* Send REQUEST until it gets status 200.  The clients of CROWD, if it is not
   NULL, go on meanwhile.  Return whether it got it.  */
static bool
ask (struct crowd_process *process, const struct crowd_request *request,
     struct crowd *crowd)
{
  int64_t start_us = g_get_monotonic_time ();

  while (crowd_is_running (process)
         && g_get_monotonic_time () - start_us < REQUEST_MAX_MS * US_PER_MS)
    {
      if (crowd_ask (request->port, request->text, REQUEST_WAIT_MS) == 200)
        return true;
      if (crowd != NULL)
        crowd_step (crowd);
      g_usleep (POLL_MS * US_PER_MS);
    }
  return false;
}

/* Ask all REQUESTS.  Return how many got no status 200.  */
static uint32_t
ask_all (struct crowd_process *process, const struct crowd_request *requests,
         struct crowd *crowd)
{
  uint32_t failed = 0;

  for (; requests->text != NULL; requests++)
    if (!ask (process, requests, crowd))
      {
        printf ("\nno status 200: %.40s\n", requests->text);
        failed++;
      }
  return failed;
}

/* Run PLAN against PROCESS, which must live on within BOUNDS and answer
   their requests, both beside the crowd and after it.  */
void
crowd_run (struct crowd_process *process, const struct crowd_plan *plan,
           const struct crowd_bounds *bounds)
{
  uint64_t limit = bounds->memory_bytes + CROWD_SANITIZER_BYTES;
  struct crowd crowd;
  uint32_t beside;
  uint32_t after;

  crowd_open (&crowd, process, plan);
  crowd_settle (&crowd);
  beside = ask_all (process, bounds->requests, &crowd);
  crowd_close (&crowd);
  after = ask_all (process, bounds->requests, NULL);
  if (crowd_is_running (process))
    crowd_sample (process);
  printf ("\n%s: %u clients, peak %" G_GUINT64_FORMAT
          " KB of %" G_GUINT64_FORMAT
          " KB, %u of %u descriptors, not answered beside %u, after %u\n",
          plan->name, plan->clients, process->peak_bytes >> 10, limit >> 10,
          process->peak_descriptors, bounds->descriptors, beside, after);
  CU_ASSERT_TRUE (crowd_is_running (process));
  CU_ASSERT_TRUE (process->peak_bytes <= limit);
  CU_ASSERT_TRUE (process->peak_descriptors <= bounds->descriptors);
  CU_ASSERT_EQUAL (beside, 0);
  CU_ASSERT_EQUAL (after, 0);
}

/* Return chunks of CHUNK_BYTES with TOTAL_BYTES of data in all, to be freed
   with g_free, and set TEXT_BYTES to the length of the text.  */
char *
crowd_chunks (size_t chunk_bytes, size_t total_bytes, size_t *text_bytes)
{
  GString *text = g_string_new (NULL);
  char *data = g_strnfill (chunk_bytes, 'x');

  for (size_t bytes = 0; bytes < total_bytes; bytes += chunk_bytes)
    g_string_append_printf (text, "%zx\r\n%s\r\n", chunk_bytes, data);
  g_free (data);
  *text_bytes = text->len;
  return g_string_free (text, FALSE);
}

/* Return at least TOTAL_BYTES of repetitions of TEXT, to be freed with g_free,
   and set TEXT_BYTES to their length.  */
char *
crowd_repeat (const char *text, size_t total_bytes, size_t *text_bytes)
{
  GString *all = g_string_new (NULL);

  while (all->len < total_bytes)
    g_string_append (all, text);
  *text_bytes = all->len;
  return g_string_free (all, FALSE);
}
