#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "crowd_process.h"
#include "unit.h"

#define START_TRIES_MAX 1000
#define START_POLL_US   10000
#define STOP_TRIES_MAX  500
#define MS_PER_S        1000
#define US_PER_MS       1000
#define RESPONSE_BYTES  4096
#define INODE_BYTES     24
/* A process must not keep the memory that it has freed, which the sanitizer
   does by default, up to 256 MB.  */
#define SANITIZER_OPTIONS                                                     \
  "quarantine_size_mb=1:allocator_release_to_os_interval_ms=0"
/* States of a socket in /proc/net/tcp.  */
#define STATE_ESTABLISHED 0x01
#define STATE_CLOSE_WAIT  0x08

static char *directory;

/* Remove the files of the test.  */
static void
remove_directory (void)
{
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (directory, name, NULL);

      (void)g_remove (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  (void)g_rmdir (directory);
}

/* Return the directory of the test's files, which is removed at exit.  */
const char *
crowd_directory (void)
{
  if (directory == NULL)
    {
      directory = g_dir_make_tmp ("crowd-XXXXXX", NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (directory);
      (void)atexit (remove_directory);
    }
  return directory;
}

/* Write TEXT to the file NAME of the test's directory.  Return its path, to be
   freed with g_free.  */
char *
crowd_write_file (const char *name, const char *text)
{
  char *path = g_build_filename (crowd_directory (), name, NULL);

  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Return a port that no process listens on.  */
uint16_t
crowd_unused_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (probe, (const struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (probe, (struct sockaddr *)&address, &bytes), 0);
  close (probe);
  return ntohs (address.sin_port);
}

/* Return the path of PROGRAM, relative to the build directory of this test
   program, to be freed with g_free.  */
static char *
program_path (const char *program)
{
  char *self = g_file_read_link ("/proc/self/exe", NULL);
  char *tests = g_path_get_dirname (self);
  char *path = g_build_filename (tests, "..", program, NULL);

  g_free (tests);
  g_free (self);
  return path;
}

/* Run PATH with ARGUMENTS in a child process that ends with this one, with its
   output in the file LOG.  */
static void
run_child (const char *path, const char *const *arguments, int output, int log)
{
  const char *argv[16] = { path };

  for (size_t i = 0; arguments[i] != NULL && i + 2 < G_N_ELEMENTS (argv); i++)
    argv[i + 1] = arguments[i];
  if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0
      || setenv ("ASAN_OPTIONS", SANITIZER_OPTIONS, 1) != 0
      || dup2 (output, STDOUT_FILENO) < 0 || dup2 (log, STDERR_FILENO) < 0)
    _exit (127);
  execv (path, (char *const *)argv);
  _exit (127);
}

static pid_t
start_child (const char *program, const char *const *arguments, int output)
{
  char *path = program_path (program);
  char *name = g_path_get_basename (program);
  char *log_name = g_strdup_printf ("%s.log", name);
  char *log_path = g_build_filename (crowd_directory (), log_name, NULL);
  int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t pid;

  CU_ASSERT_TRUE_FATAL (log >= 0);
  pid = fork ();
  CU_ASSERT_TRUE_FATAL (pid >= 0);
  if (pid == 0)
    run_child (path, arguments, output < 0 ? log : output, log);
  close (log);
  g_free (log_path);
  g_free (log_name);
  g_free (name);
  g_free (path);
  return pid;
}

/* Start PROGRAM of the build directory with ARGUMENTS, which end with NULL.
   If the port of PROCESS is 0, PROGRAM is a stand-in that prints its port.  */
void
crowd_start (struct crowd_process *process, const char *program,
             const char *const *arguments)
{
  int ends[2];
  char text[16] = "";

  process->peak_bytes = 0;
  process->peak_descriptors = 0;
  if (process->port != 0)
    {
      process->pid = start_child (program, arguments, -1);
      return;
    }
  CU_ASSERT_EQUAL_FATAL (pipe2 (ends, O_CLOEXEC), 0);
  process->pid = start_child (program, arguments, ends[1]);
  close (ends[1]);
  CU_ASSERT_TRUE_FATAL (read (ends[0], text, sizeof text - 1) > 0);
  close (ends[0]);
  process->port = (uint16_t)strtoul (text, NULL, 10);
}

/* Run PROGRAM with ARGUMENTS to its end and return its exit status.  */
int
crowd_call (const char *program, const char *const *arguments)
{
  pid_t pid = start_child (program, arguments, -1);
  int status = -1;

  CU_ASSERT_EQUAL_FATAL (waitpid (pid, &status, 0), pid);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Wait until PROCESS listens on its port.  */
void
crowd_await_port (struct crowd_process *process)
{
  for (int i = 0; i < START_TRIES_MAX; i++)
    {
      int fd = crowd_connect (process->port, MS_PER_S);

      if (fd >= 0)
        {
          close (fd);
          return;
        }
      g_usleep (START_POLL_US);
    }
  CU_FAIL_FATAL ("a process does not listen");
}

/* Return whether PROCESS has not ended.  */
bool
crowd_is_running (struct crowd_process *process)
{
  if (process->pid != 0 && waitpid (process->pid, NULL, WNOHANG) != 0)
    process->pid = 0;
  return process->pid != 0;
}

/* Return the number in the line NAME of the status of PROCESS.  */
static uint64_t
status_kb (const struct crowd_process *process, const char *name)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)process->pid);
  uint64_t kb = 0;
  char *text = NULL;
  const char *line;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      line = strstr (text, name);
      if (line != NULL)
        kb = g_ascii_strtoull (line + strlen (name), NULL, 10);
    }
  g_free (text);
  g_free (path);
  return kb;
}

/* Return the inodes of the sockets of PROCESS and set COUNT to the number of
   its descriptors.  */
static GHashTable *
open_sockets (const struct crowd_process *process, uint32_t *count)
{
  GHashTable *inodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *path = g_strdup_printf ("/proc/%d/fd", (int)process->pid);
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  *count = 0;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *link = g_build_filename (path, name, NULL);
      char *target = g_file_read_link (link, NULL);
      char inode[INODE_BYTES];

      (*count)++;
      if (target != NULL && sscanf (target, "socket:[%23[0-9]", inode) == 1)
        g_hash_table_add (inodes, g_strdup (inode));
      g_free (target);
      g_free (link);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_free (path);
  return inodes;
}

/* Return the number of bytes that have arrived for the sockets INODES and were
   not read yet.  */
static uint64_t
unread_bytes (GHashTable *inodes)
{
  FILE *file = fopen ("/proc/net/tcp", "r");
  uint64_t total = 0;
  char line[256];

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      unsigned int state;
      unsigned int queued;
      char inode[INODE_BYTES];

      if (sscanf (
              line,
              "%*d: %*x:%*x %*x:%*x %x %*x:%x %*x:%*x %*x %*u %*u %23[0-9]",
              &state, &queued, inode)
              == 3
          && (state == STATE_ESTABLISHED || state == STATE_CLOSE_WAIT)
          && g_hash_table_contains (inodes, inode))
        total += queued;
    }
  if (file != NULL)
    fclose (file);
  return total;
}

/* Update the peaks of PROCESS.  */
void
crowd_sample (struct crowd_process *process)
{
  uint32_t descriptors;
  GHashTable *inodes = open_sockets (process, &descriptors);
  uint64_t bytes
      = (status_kb (process, "VmRSS:") << 10) + unread_bytes (inodes);

  bytes = MAX (bytes, status_kb (process, "VmHWM:") << 10);
  process->peak_bytes = MAX (process->peak_bytes, bytes);
  process->peak_descriptors = MAX (process->peak_descriptors, descriptors);
  g_hash_table_destroy (inodes);
}

/* End PROCESS and wait for it.  */
void
crowd_stop (struct crowd_process *process)
{
  if (!crowd_is_running (process))
    return;
  (void)kill (process->pid, SIGTERM);
  for (int i = 0; i < STOP_TRIES_MAX && crowd_is_running (process); i++)
    g_usleep (START_POLL_US);
  if (crowd_is_running (process))
    {
      (void)kill (process->pid, SIGKILL);
      (void)waitpid (process->pid, NULL, 0);
    }
  process->pid = 0;
}

/* Connect to PORT of this machine.  Return a blocking socket whose calls take
   at most TIMEOUT_MS, or -1.  */
int
crowd_connect (uint16_t port, uint32_t timeout_ms)
{
  struct sockaddr_in peer
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval limit
      = { timeout_ms / MS_PER_S, timeout_ms % MS_PER_S * US_PER_MS };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0)
    return -1;
  if (setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0
      && setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit) == 0
      && connect (fd, (const struct sockaddr *)&peer, sizeof peer) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Send REQUEST to PORT and read the response.  Return its status if it is
   complete, or 0.  */
int
crowd_ask (uint16_t port, const char *request, uint32_t timeout_ms)
{
  char response[RESPONSE_BYTES];
  int fd = crowd_connect (port, timeout_ms);
  size_t used = 0;
  int status = 0;
  bool complete = false;

  if (fd < 0)
    return 0;
  if (send (fd, request, strlen (request), MSG_NOSIGNAL)
      == (ssize_t)strlen (request))
    while (!complete && used + 1 < sizeof response)
      {
        ssize_t bytes
            = recv (fd, response + used, sizeof response - 1 - used, 0);
        const char *end;
        const char *length;

        if (bytes <= 0)
          break;
        used += (size_t)bytes;
        response[used] = '\0';
        end = strstr (response, "\r\n\r\n");
        length = strcasestr (response, "\r\nContent-Length:");
        if (end != NULL && length != NULL)
          complete = used - (size_t)(end + 4 - response) >= strtoul (
                         length + strlen ("\r\nContent-Length:"), NULL, 10);
        else if (end != NULL)
          complete = strstr (end, "0\r\n\r\n") != NULL;
      }
  if (complete)
    (void)sscanf (response, "HTTP/1.1 %d", &status);
  close (fd);
  return status;
}
