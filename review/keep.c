/* Runs a program as the platform does: starts it again a second after it has
   ended, and records that.  SIGTERM ends it.

   rig keep NAME LOG-FILE MEMORY-MB PROGRAM ARGUMENT...

   A program that uses more than MEMORY-MB is killed; 0: no limit.  */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define RESTART_S 1.0
#define POLL_S    0.01

static volatile sig_atomic_t stopping;

static void
stop (int number)
{
  (void)number;
  stopping = 1;
}

static pid_t
start (const char *log, char **command)
{
  pid_t child = fork ();
  int fd;

  if (child != 0)
    return child;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fd = open (log, O_WRONLY | O_APPEND | O_CREAT, 0644);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (command[0], command);
  _exit (127);
}

/* Return how much memory PROCESS uses, in MB.  */
static long
used_mb (pid_t process)
{
  char path[64];
  long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)process);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*s %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * sysconf (_SC_PAGESIZE) >> 20;
}

int
rig_keep_main (int argc, char **argv)
{
  struct sigaction action = { .sa_handler = stop };
  long limit_mb;
  long peak_mb = 0;

  if (argc < 5)
    return 2;
  limit_mb = atol (argv[3]);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  while (!stopping)
    {
      pid_t child = start (argv[2], argv + 4);
      int status = 0;
      pid_t ended;

      rig_record ("%s starts", argv[1]);
      while ((ended = waitpid (child, &status, WNOHANG)) == 0 && !stopping)
        {
          long mb = used_mb (child);

          peak_mb = mb > peak_mb ? mb : peak_mb;
          if (limit_mb != 0 && mb > limit_mb)
            {
              rig_record ("%s uses %ld MB, over its limit, and is killed",
                          argv[1], mb);
              kill (child, SIGKILL);
            }
          rig_sleep (POLL_S);
        }
      if (stopping)
        {
          kill (child, SIGKILL);
          waitpid (child, &status, 0);
          rig_record ("%s was stopped by the script; peak %ld MB", argv[1],
                      peak_mb);
        }
      else if (WIFSIGNALED (status))
        rig_record ("%s ended by itself: signal %d", argv[1],
                    WTERMSIG (status));
      else
        rig_record ("%s ended by itself: status %d", argv[1],
                    WEXITSTATUS (status));
      if (!stopping)
        rig_sleep (RESTART_S);
    }
  return 0;
}
