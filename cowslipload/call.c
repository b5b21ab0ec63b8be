#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "call.h"
#include "http_client.h"
#include "tm_uv.h"

#define LD_CALL_TIMEOUT_MS 10000
#define LD_CALL_RETRY_US   100000
#define LD_US_PER_S        1000000U
#define LD_CALL_ARGS_MAX   4

/* An HTTP call made from the command line.  */
struct ld_single_call
{
  uv_loop_t loop;
  struct tm_uv driver;
  struct http_client *client;
  const char *args[LD_CALL_ARGS_MAX]; /* method, address, path, body */
  uint64_t wait_us;
  uint64_t start_us;
  struct tm_timer retry;
  bool succeeded;
};

static const struct argp_option options[]
    = { { "wait", 'w', "SECONDS", 0,
          "retry the call until it succeeds, for at most SECONDS", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct ld_single_call *single = state->input;

  switch (key)
    {
    case 'w':
      single->wait_us = strtoull (arg, NULL, 10) * LD_US_PER_S;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num >= LD_CALL_ARGS_MAX)
        argp_usage (state);
      single->args[state->arg_num] = arg;
      return 0;
    case ARGP_KEY_END:
      if (state->arg_num < LD_CALL_ARGS_MAX - 1)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void ld_single_send (void *arg);

static void
ld_single_done (void *arg, const struct http_response *response)
{
  struct ld_single_call *single = arg;
  uint64_t now_us = tm_now_us (single->driver.service);

  single->succeeded
      = response->outcome == HTTP_COMPLETE && response->status < 300;
  if (!single->succeeded && now_us - single->start_us < single->wait_us)
    {
      tm_after (single->driver.service, &single->retry, LD_CALL_RETRY_US,
                ld_single_send, single);
      return;
    }
  if (response->body_bytes > 0)
    printf ("%.*s\n", (int)response->body_bytes, response->body);
  if (!single->succeeded)
    fprintf (stderr, "cowslipload: %s%s: %s, status %u\n", single->args[1],
             single->args[2], http_outcome_text (response->outcome),
             response->status);
  uv_stop (&single->loop);
}

static void
ld_single_send (void *arg)
{
  struct ld_single_call *single = arg;
  const char *body = single->args[3];
  struct http_request request
      = { .method = single->args[0],
          .address = single->args[1],
          .path = single->args[2],
          .body = body,
          .body_bytes = body == NULL ? 0 : strlen (body),
          .timeout_ms = LD_CALL_TIMEOUT_MS };

  (void)http_fetch (single->client, &request, ld_single_done, single);
}

/* Make one HTTP call and print the response, for example to inject a fault
   into a stand-in.  Return EXIT_SUCCESS if the status of the response is below
   300.  */
int
ld_call (int argc, char **argv)
{
  static const struct argp parser
      = { options,
          parse_option,
          "METHOD ADDRESS PATH [BODY]",
          "Make one HTTP call, for example to inject a fault into a stand-in.",
          NULL,
          NULL,
          NULL };
  static struct ld_single_call single;

  argp_parse (&parser, argc, argv, 0, NULL, &single);
  uv_loop_init (&single.loop);
  tm_uv_start (&single.driver, &single.loop);
  single.client = http_client_new (&single.loop, single.driver.service);
  single.start_us = tm_now_us (single.driver.service);
  ld_single_send (&single);
  uv_run (&single.loop, UV_RUN_DEFAULT);
  return single.succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
