#include <glib.h>

#include "adr.h"
#include "prb.h"

#define PRB_US_PER_MS UINT64_C (1000)

struct prb
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct tm_service *tm;
  struct tm_timer timer;
  prb_done done; /* NULL: ended or canceled */
  void *arg;
};

static void
prb_free (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Cancel PROBE without a callback.  */
void
prb_cancel (struct prb *probe)
{
  probe->done = NULL;
  tm_cancel (probe->tm, &probe->timer);
  if (!uv_is_closing ((uv_handle_t *)&probe->tcp))
    uv_close ((uv_handle_t *)&probe->tcp, prb_free);
}

static void
prb_end (struct prb *probe, enum prb_result result)
{
  prb_done done = probe->done;
  void *arg = probe->arg;

  prb_cancel (probe);
  if (done != NULL)
    done (arg, result);
}

static void
prb_on_connect (uv_connect_t *connect, int status)
{
  struct prb *probe = connect->data;

  if (probe->done == NULL)
    return;
  prb_end (probe, status == 0                 ? PRB_LISTENING
                  : status == UV_ECONNREFUSED ? PRB_REFUSED
                                              : PRB_NO_ANSWER);
}

static void
prb_timed_out (void *arg)
{
  prb_end (arg, PRB_NO_ANSWER);
}

/* Connect to ADDRESS, "IP:PORT", and close the connection at once.  DONE is
   called with ARG within TIMEOUT_MS, never from within this function.  Return
   NULL, without a callback, if the address is invalid.  */
struct prb *
prb_start (uv_loop_t *loop, struct tm_service *tm, const char *address,
           uint32_t timeout_ms, prb_done done, void *arg)
{
  struct prb *probe;
  struct sockaddr_in peer;
  uint64_t delay_us = timeout_ms * PRB_US_PER_MS;

  if (!adr_parse (address, &peer))
    return NULL;
  probe = g_new0 (struct prb, 1);
  probe->tm = tm;
  probe->done = done;
  probe->arg = arg;
  uv_tcp_init (loop, &probe->tcp);
  probe->tcp.data = probe;
  probe->connect.data = probe;
  if (uv_tcp_connect (&probe->connect, &probe->tcp,
                      (const struct sockaddr *)&peer, prb_on_connect)
      != 0)
    delay_us = 0;
  tm_after (tm, &probe->timer, delay_us, prb_timed_out, probe);
  return probe;
}

/* Return the name of RESULT for log lines.  */
const char *
prb_result_text (enum prb_result result)
{
  switch (result)
    {
    case PRB_LISTENING:
      return "listening";
    case PRB_REFUSED:
      return "refused";
    case PRB_NO_ANSWER:
      return "no_answer";
    }
  return "unknown";
}
