#include <signal.h>
#include <stdio.h>

#include "lg.h"
#include "standin.h"

#define STAND_BODY_MAX_BYTES (4U << 20)

static void
stand_on_signal (uv_signal_t *signal, int number)
{
  (void)number;
  uv_stop (signal->loop);
}

/* Initialize HOST; IDENT is the program name in log lines.  */
void
stand_init (struct stand_host *host, const char *ident)
{
  lg_open (ident);
  /* h2o may write to a socket that the peer has closed.  */
  (void)signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&host->loop);
  tm_uv_start (&host->driver, &host->loop);
  host->tm = host->driver.service;
  host->client = http_client_new (&host->loop, host->tm);
  uv_signal_init (&host->loop, &host->terminate);
  uv_signal_init (&host->loop, &host->interrupt);
  uv_signal_start (&host->terminate, stand_on_signal, SIGTERM);
  uv_signal_start (&host->interrupt, stand_on_signal, SIGINT);
}

/* Listen on ADDRESS ("IP:PORT", port 0 selects a free one) and pass requests
   to HANDLER with ARG.  Print the port to standard output, which tells the
   parent process that the program is listening.  Log the error and return
   false if the address cannot be used.  */
bool
stand_listen (struct stand_host *host, const char *address,
              http_handler handler, void *arg)
{
  GError *error = NULL;
  struct http_server *server
      = http_server_new (&host->loop, host->tm, address, STAND_BODY_MAX_BYTES,
                         handler, arg, &error);

  if (server != NULL)
    {
      printf ("%u\n", http_server_port (server));
      return fflush (stdout) == 0;
    }
  lg_write (LG_LISTEN_FAILED, "%s", error->message);
  g_error_free (error);
  return false;
}

/* Run the event loop until SIGTERM or SIGINT.  */
void
stand_run (struct stand_host *host)
{
  uv_run (&host->loop, UV_RUN_DEFAULT);
}

/* Return the monotonic time in microseconds, which is comparable between the
   records of all stand-ins on one machine.  */
uint64_t
stand_now_us (void)
{
  return uv_hrtime () / 1000;
}
