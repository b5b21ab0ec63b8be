#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define RIG_TEMPLATE    "deploy/settings.json"
#define RIG_PROGRAM     "target/cowslipcoved"
#define RIG_LIMIT_S     110
#define RIG_HEAD_BYTES  65536
#define RIG_BACKLOG     512
#define RIG_READY_MS    10000
#define RIG_MACHINES    32
#define RIG_STACK_BYTES (256U << 10)

static pthread_mutex_t rig_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *rig_record;
static uint64_t rig_start_ms;
static char rig_folder[256];
static struct rig_machine *rig_machines[RIG_MACHINES];
static size_t rig_machine_count;
static pid_t rig_own_pid;

/* Return the monotonic time in milliseconds.  */
uint64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Return the Unix time in milliseconds.  */
uint64_t
rig_unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
rig_sleep_ms (uint32_t ms)
{
  struct timespec delay
      = { .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&delay, &delay) != 0 && errno == EINTR)
    ;
}

void
rig_sleep_until (uint64_t at_ms)
{
  uint64_t now_ms = rig_now_ms ();

  if (at_ms > now_ms)
    rig_sleep_ms ((uint32_t)(at_ms - now_ms));
}

/* Append a line to the record, with the time since the start.  */
void
rig_note (const char *format, ...)
{
  va_list ap;

  pthread_mutex_lock (&rig_lock);
  fprintf (rig_record, "%7.3f s  ",
           (double)(rig_now_ms () - rig_start_ms) / 1000);
  va_start (ap, format);
  vfprintf (rig_record, format, ap);
  va_end (ap);
  fputc ('\n', rig_record);
  fflush (rig_record);
  pthread_mutex_unlock (&rig_lock);
}

static void
rig_kill_all (void)
{
  for (size_t i = 0; i < rig_machine_count; i++)
    rig_machine_kill (rig_machines[i]);
}

/* End all processes, remove the temporary folder and exit.  */
void
rig_end (int status)
{
  rig_kill_all ();
  for (size_t i = 0; i < rig_machine_count; i++)
    {
      char log[600];

      (void)snprintf (log, sizeof log, "%s.log", rig_machines[i]->file);
      (void)unlink (log);
      (void)unlink (rig_machines[i]->file);
    }
  (void)rmdir (rig_folder);
  fclose (rig_record);
  fflush (stdout);
  _exit (status);
}

/* Exit because the case could not run.  */
void
rig_skip (const char *reason)
{
  fprintf (stderr, "not run: %s\n", reason);
  rig_note ("not run: %s", reason);
  rig_end (2);
}

static void
rig_out_of_time (int number)
{
  (void)number;
  if (getpid () != rig_own_pid)
    _exit (2);
  for (size_t i = 0; i < rig_machine_count; i++)
    if (rig_machines[i]->pid > 0)
      (void)kill (rig_machines[i]->pid, SIGKILL);
  _exit (2);
}

/* Return whether the disruption is part of this run.  */
bool
rig_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

/* Prepare a run that writes record.txt in FOLDER.  */
void
rig_begin (const char *folder)
{
  char path[512];

  (void)snprintf (path, sizeof path, "%s/record.txt", folder);
  rig_record = fopen (path, "w");
  if (rig_record == NULL)
    {
      perror (path);
      _exit (2);
    }
  rig_start_ms = rig_now_ms ();
  rig_own_pid = getpid ();
  (void)snprintf (rig_folder, sizeof rig_folder, "%s/review-2-XXXXXX",
                  getenv ("TMPDIR") == NULL ? "/tmp" : getenv ("TMPDIR"));
  if (mkdtemp (rig_folder) == NULL)
    {
      perror (rig_folder);
      _exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, rig_out_of_time);
  signal (SIGTERM, rig_out_of_time);
  signal (SIGINT, rig_out_of_time);
  alarm (RIG_LIMIT_S);
  if (access (RIG_PROGRAM, X_OK) != 0)
    rig_skip (RIG_PROGRAM " was not built");
  rig_note ("trouble=%d", rig_has_trouble ());
}

/* Run RUN with ARG in a thread of its own.  */
void
rig_thread (void *(*run) (void *arg), void *arg)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, RIG_STACK_BYTES);
  if (pthread_create (&thread, &attributes, run, arg) != 0)
    rig_skip ("cannot create a thread");
  pthread_attr_destroy (&attributes);
}

/* Return the loopback address of HOST, 1 to 254, in a network of this run.  */
const char *
rig_ip (uint32_t host)
{
  static char texts[256][32];
  uint32_t run = (uint32_t)rig_own_pid;

  (void)snprintf (texts[host], sizeof texts[host], "127.%u.%u.%u",
                  64 + run / 250 % 128, 1 + run % 250, host);
  return texts[host];
}

static bool
rig_parse (const char *address, struct sockaddr_in *peer)
{
  char ip[64];
  const char *colon = strrchr (address, ':');

  memset (peer, 0, sizeof *peer);
  peer->sin_family = AF_INET;
  if (colon == NULL || (size_t)(colon - address) >= sizeof ip)
    return false;
  memcpy (ip, address, (size_t)(colon - address));
  ip[colon - address] = '\0';
  peer->sin_port = htons ((uint16_t)atoi (colon + 1));
  return inet_pton (AF_INET, ip, &peer->sin_addr) == 1;
}

struct rig_listener
{
  int fd;
  rig_serve serve;
  void *arg;
};

struct rig_accepted
{
  const struct rig_listener *listener;
  int fd;
};

static void *
rig_serve_connection (void *arg)
{
  struct rig_accepted *accepted = arg;

  accepted->listener->serve (accepted->listener->arg, accepted->fd);
  free (accepted);
  return NULL;
}

static void *
rig_accept (void *arg)
{
  struct rig_listener *listener = arg;

  for (;;)
    {
      struct rig_accepted *accepted = calloc (1, sizeof *accepted);
      int one = 1;

      accepted->listener = listener;
      accepted->fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (accepted->fd < 0)
        {
          free (accepted);
          return NULL;
        }
      (void)setsockopt (accepted->fd, IPPROTO_TCP, TCP_NODELAY, &one,
                        sizeof one);
      rig_thread (rig_serve_connection, accepted);
    }
}

/* Listen on a free port of IP and call SERVE with ARG for each connection, in
   a thread.  SERVE closes it.  Return the address.  */
char *
rig_listen (const char *ip, rig_serve serve, void *arg)
{
  struct rig_listener *listener = calloc (1, sizeof *listener);
  struct sockaddr_in local = { .sin_family = AF_INET };
  socklen_t bytes = sizeof local;
  char *address = malloc (64);

  listener->serve = serve;
  listener->arg = arg;
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  (void)inet_pton (AF_INET, ip, &local.sin_addr);
  if (bind (listener->fd, (const struct sockaddr *)&local, sizeof local) != 0
      || listen (listener->fd, RIG_BACKLOG) != 0
      || getsockname (listener->fd, (struct sockaddr *)&local, &bytes) != 0)
    rig_skip ("cannot listen");
  (void)snprintf (address, 64, "%s:%u", ip, ntohs (local.sin_port));
  rig_thread (rig_accept, listener);
  return address;
}

/* Connect to ADDRESS.  Return -1 on failure.  */
int
rig_connect (const char *address)
{
  struct sockaddr_in peer;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd < 0 || !rig_parse (address, &peer)
      || connect (fd, (const struct sockaddr *)&peer, sizeof peer) != 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void
rig_close (int fd)
{
  if (fd >= 0)
    close (fd);
}

/* Send all BYTES of DATA.  */
bool
rig_write (int fd, const void *data, size_t bytes)
{
  const char *next = data;

  while (bytes > 0)
    {
      ssize_t sent = send (fd, next, bytes, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      next += sent;
      bytes -= (size_t)sent;
    }
  return true;
}

void
rig_message_clear (struct rig_message *message)
{
  free (message->head);
  free (message->body);
  memset (message, 0, sizeof *message);
}

/* Read a head byte by byte, so that nothing of the body is taken.  */
bool
rig_read_head (int fd, struct rig_message *message)
{
  memset (message, 0, sizeof *message);
  message->head = calloc (1, RIG_HEAD_BYTES);
  while (message->head_bytes < RIG_HEAD_BYTES - 1)
    {
      ssize_t got = recv (fd, message->head + message->head_bytes, 1, 0);

      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return false;
      message->head_bytes++;
      if (message->head_bytes >= 4
          && memcmp (message->head + message->head_bytes - 4, "\r\n\r\n", 4)
                 == 0)
        return true;
    }
  return false;
}

static bool
rig_read_exactly (int fd, char *data, size_t bytes)
{
  while (bytes > 0)
    {
      ssize_t got = recv (fd, data, bytes, 0);

      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return false;
      data += got;
      bytes -= (size_t)got;
    }
  return true;
}

/* Read the body of MESSAGE, which has a length or none.  */
bool
rig_read_body (int fd, struct rig_message *message)
{
  char value[32];

  if (!rig_field (message, "Content-Length", value, sizeof value))
    return true;
  message->body_bytes = strtoul (value, NULL, 10);
  message->body = malloc (message->body_bytes + 1);
  message->body[message->body_bytes] = '\0';
  return rig_read_exactly (fd, message->body, message->body_bytes);
}

static bool
rig_read_chunks (int fd)
{
  for (;;)
    {
      char line[64] = "";
      size_t length = 0;
      size_t bytes;
      char *data;
      bool ok;

      while (length < sizeof line - 1
             && rig_read_exactly (fd, line + length, 1)
             && line[length++] != '\n')
        ;
      if (length == 0 || line[length - 1] != '\n')
        return false;
      bytes = strtoul (line, NULL, 16);
      data = malloc (bytes + 2);
      ok = rig_read_exactly (fd, data, bytes + 2);
      free (data);
      if (!ok)
        return false;
      if (bytes == 0)
        return true;
    }
}

/* Read a response.  Return false if it is not complete.  */
bool
rig_read_response (int fd, struct rig_message *message)
{
  char value[32];

  if (!rig_read_head (fd, message))
    return false;
  if (rig_field (message, "Transfer-Encoding", value, sizeof value))
    return rig_read_chunks (fd);
  return rig_read_body (fd, message);
}

/* Copy the value of the field NAME to VALUE.  Return false if there is
   none.  */
bool
rig_field (const struct rig_message *message, const char *name, char *value,
           size_t bytes)
{
  size_t length = strlen (name);

  for (const char *line = strstr (message->head, "\r\n");
       line != NULL && line[2] != '\r'; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *begin = line + 3 + length;
        size_t count;

        begin += strspn (begin, " ");
        count = strcspn (begin, "\r");
        if (count >= bytes)
          count = bytes - 1;
        memcpy (value, begin, count);
        value[count] = '\0';
        return true;
      }
  return false;
}

int
rig_status (const struct rig_message *message)
{
  return message->head == NULL || strlen (message->head) < 12
             ? 0
             : atoi (message->head + 9);
}

/* Append the template with its placeholders filled in to FILE.  */
static void
rig_render (FILE *file, const char *const *names, const char *const *values)
{
  FILE *template = fopen (RIG_TEMPLATE, "r");
  char text[8192];
  const char *next = text;
  size_t bytes;

  if (template == NULL)
    rig_skip (RIG_TEMPLATE " is missing");
  bytes = fread (text, 1, sizeof text - 1, template);
  text[bytes] = '\0';
  fclose (template);
  while (*next != '\0')
    {
      const char *open = strstr (next, "{{");
      const char *end = open == NULL ? NULL : strstr (open, "}}");
      size_t length;
      size_t i = 0;

      if (end == NULL)
        {
          fputs (next, file);
          return;
        }
      fwrite (next, 1, (size_t)(open - next), file);
      length = (size_t)(end - open) - 2;
      while (names[i] != NULL
             && (strlen (names[i]) != length
                 || strncmp (names[i], open + 2, length) != 0))
        i++;
      if (names[i] == NULL)
        rig_skip ("the template has an unknown placeholder");
      fputs (values[i], file);
      next = end + 2;
    }
}

/* Set MACHINE, which is not running.  HOST is the last part of its address.
   The ports are the same on all machines.  */
void
rig_machine_set (struct rig_machine *machine, const char *name,
                 const char *zone, uint32_t host)
{
  memset (machine, 0, sizeof *machine);
  (void)snprintf (machine->name, sizeof machine->name, "%s", name);
  (void)snprintf (machine->zone, sizeof machine->zone, "%s", zone);
  (void)snprintf (machine->ip, sizeof machine->ip, "%s", rig_ip (host));
  (void)snprintf (machine->front, sizeof machine->front, "%s:8149",
                  machine->ip);
  (void)snprintf (machine->ready, sizeof machine->ready, "%s:8141",
                  machine->ip);
  (void)snprintf (machine->file, sizeof machine->file, "%s/%s.json",
                  rig_folder, name);
  rig_machines[rig_machine_count++] = machine;
}

static void
rig_write_settings (const struct rig_machine *machine, const char *store)
{
  static const char *const names[] = { "Node",
                                       "Zone",
                                       "Ip",
                                       "PortRange.0",
                                       "Listen.Front",
                                       "Listen.Ready",
                                       "Platform.Address",
                                       "Bounds.GraceS",
                                       "Bounds.LeaseMs",
                                       "Bounds.DrainMs",
                                       "Bounds.ConfigApplyMs",
                                       "Bounds.RetryBudgetRatio",
                                       "Bounds.BudgetExtra",
                                       "Bounds.BudgetWindowS",
                                       "Limits.CpuShare",
                                       "Limits.MaxFds",
                                       NULL };
  const char *const values[]
      = { machine->name,  machine->zone,  machine->ip, "7380",
          machine->front, machine->ready, store,       "8",
          "3000",         "2000",         "2000",      "0.2",
          "56",           "10",           "0.25",      "4200" };
  FILE *file = fopen (machine->file, "w");

  if (file == NULL)
    rig_skip ("cannot write the settings");
  rig_render (file, names, values);
  fclose (file);
}

/* Start the process of MACHINE as the deploy file does.  */
void
rig_machine_start (struct rig_machine *machine, const char *store)
{
  char log[600];
  int fd;
  pid_t pid;

  rig_write_settings (machine, store);
  (void)snprintf (log, sizeof log, "%s.log", machine->file);
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid = fd < 0 ? -1 : fork ();
  if (pid < 0)
    rig_skip ("cannot start a process");
  if (pid == 0)
    {
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0
          || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0)
        _exit (127);
      signal (SIGALRM, SIG_DFL);
      signal (SIGTERM, SIG_DFL);
      signal (SIGINT, SIG_DFL);
      alarm (0);
      execl (RIG_PROGRAM, RIG_PROGRAM, machine->file, (char *)NULL);
      _exit (127);
    }
  close (fd);
  machine->pid = pid;
}

/* Kill the process of MACHINE, as a loss of power does.  */
void
rig_machine_kill (struct rig_machine *machine)
{
  if (machine->pid <= 0)
    return;
  (void)kill (machine->pid, SIGKILL);
  (void)waitpid (machine->pid, NULL, 0);
  machine->pid = 0;
}

/* Ask MACHINE whether it is ready, as the load balancer does.  */
bool
rig_machine_is_ready (const struct rig_machine *machine)
{
  static const char request[] = "GET /api/ready HTTP/1.1\r\nHost: x\r\n"
                                "Connection: close\r\n\r\n";
  struct rig_message message = { 0 };
  int fd = rig_connect (machine->ready);
  bool ready = fd >= 0 && rig_write (fd, request, sizeof request - 1)
               && rig_read_response (fd, &message)
               && rig_status (&message) == 200;

  rig_message_clear (&message);
  rig_close (fd);
  return ready;
}

/* Wait until MACHINE is ready.  */
void
rig_machine_await (const struct rig_machine *machine)
{
  uint64_t end_ms = rig_now_ms () + RIG_READY_MS;

  while (!rig_machine_is_ready (machine))
    {
      if (rig_now_ms () > end_ms)
        rig_skip ("a machine does not become ready");
      rig_sleep_ms (50);
    }
}

/* Return the resident memory of MACHINE's process in bytes.  */
uint64_t
rig_machine_memory (const struct rig_machine *machine)
{
  char path[64];
  unsigned long pages = 0;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/statm", (int)machine->pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %lu", &pages) != 1)
    pages = 0;
  fclose (file);
  return (uint64_t)pages * (uint64_t)sysconf (_SC_PAGESIZE);
}
