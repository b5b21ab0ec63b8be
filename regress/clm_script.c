#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clm_call.h"

/* Drives the state machine of one call to a service.  Commands, one a line:
   call [repeatable] [deduplicates]      a call with a deadline of 4 s arrives
   endpoints N                           endpoints for each call (default 3)
   budget N                              retries allowed (default 9)
   claimed OUTCOME [OWNER|STATUS BODY]   reply to the claim
   claimed_other OUTCOME                 same, with another request digest
   head STATUS, body TEXT, fill BYTES    parts of the endpoint's response
   head_events STATUS, events TEXT       the same of an event stream; \\n in
                                         TEXT is a newline
   end whole|not_sent|cut|timeout        the attempt ends
   gone                                  the caller disconnects
   after MS                              advance the time
   pause MS                              advance the clock without running
                                         timers, as when the process is paused
   Output lines that start with "  " are actions that the call requests.  */

struct script
{
  struct tm_service *tm;
  struct clm_call *call;
  int endpoints;
  int untried_endpoints; /* not yet tried by this call */
  int budget;
};

static uint64_t now_us;

static uint64_t
clock_us (void)
{
  return now_us;
}

static void
on_claim (void *context, const cs_claim *claim)
{
  (void)context;
  (void)claim;
  puts ("  claim");
}

static void
on_settle (void *context, const cs_claim *claim)
{
  (void)context;
  if (claim->kind == CS_CLAIM_RELEASE)
    puts ("  release");
  else
    printf ("  complete %u%s%.*s\n", claim->status,
            claim->body.body_len > 0 ? " " : "", (int)claim->body.body_len,
            claim->body.body_len > 0 ? claim->body.body_val : "");
}

static bool
on_attempt (void *context)
{
  struct script *script = context;

  if (script->untried_endpoints == 0)
    return false;
  script->untried_endpoints--;
  puts ("  attempt");
  return true;
}

static bool
on_has_endpoint (void *context)
{
  return ((const struct script *)context)->untried_endpoints > 0;
}

static void
on_cancel_attempt (void *context)
{
  (void)context;
  puts ("  abandon");
}

static bool
on_may_retry (void *context, enum rty_reason reason)
{
  struct script *script = context;

  printf ("  may retry for %s: %s\n", rty_reason_text (reason),
          script->budget > 0 ? "yes" : "no");
  return script->budget-- > 0;
}

static bool
on_is_owner_alive (void *context, const char *owner, uint64_t incarnation)
{
  (void)context;
  return strcmp (owner, "alive") == 0 && incarnation == 7;
}

static void
on_response (void *context, const struct clm_response *response)
{
  (void)context;
  printf ("  answer%s %u %.*s\n", response->is_replay ? " again" : "",
          response->status, (int)response->body_bytes, response->body);
}

static void
on_refuse (void *context, enum rsn_refusal reason, bool not_run)
{
  (void)context;
  printf ("  refuse %u %s%s\n", rsn_refusal_status (reason),
          rsn_refusal_text (reason), not_run ? ", not run" : "");
}

static void
on_stream_start (void *context, uint32_t status, const char *content_type)
{
  (void)context;
  printf ("  stream %u %s\n", status, content_type);
}

static void
on_stream_data (void *context, const char *data, size_t bytes)
{
  (void)context;
  (void)data;
  printf ("  stream %zu bytes\n", bytes);
}

static void
on_stream_end (void *context, bool complete)
{
  (void)context;
  printf ("  stream %s\n", complete ? "whole" : "cut");
}

static void
on_finished (void *context)
{
  struct script *script = context;

  puts ("  finished");
  clm_call_free (script->call);
  script->call = NULL;
}

static void
run_call (struct script *script, const char *flags)
{
  static const struct clm_call_actions actions = {
    .claim = on_claim,
    .settle = on_settle,
    .attempt = on_attempt,
    .has_endpoint = on_has_endpoint,
    .cancel_attempt = on_cancel_attempt,
    .may_retry = on_may_retry,
    .is_owner_alive = on_is_owner_alive,
    .response = on_response,
    .refuse = on_refuse,
    .stream_start = on_stream_start,
    .stream_data = on_stream_data,
    .stream_end = on_stream_end,
    .finished = on_finished,
  };
  char text[] = "";
  cs_claim claim = {
    .key = text, .request_digest = 1, .owner = text, .content_type = text
  };
  struct clm_call_config config
      = { .actions = &actions,
          .context = script,
          .tm = script->tm,
          .is_repeatable = strstr (flags, "repeatable") != NULL,
          .deduplicates = strstr (flags, "deduplicates") != NULL,
          .deadline_us = tm_now_us (script->tm) + 4000000,
          .claim = &claim };

  clm_call_free (script->call);
  script->untried_endpoints = script->endpoints;
  script->call = clm_call_new (&config);
  clm_call_start (script->call);
}

static void
run_claimed (struct script *script, const char *outcome, char *rest,
             uint64_t digest)
{
  static const char *const outcome_names[]
      = { "granted", "held", "done", "unavailable", "unknown" };
  char *body = strchr (rest, ' ');
  cs_claim_reply reply = { .request_digest = digest,
                           .owner = rest,
                           .owner_incarnation = 7,
                           .status = (uint32_t)atoi (rest),
                           .content_type = rest };

  for (int i = 0; i < (int)G_N_ELEMENTS (outcome_names); i++)
    if (strcmp (outcome, outcome_names[i]) == 0)
      reply.outcome = (cs_claim_outcome)i;
  reply.body.body_val = body == NULL ? NULL : body + 1;
  reply.body.body_len = body == NULL ? 0 : (uint32_t)strlen (body + 1);
  clm_call_claimed (script->call, &reply);
}

static void
run_end (struct script *script, const char *name)
{
  static const char *const end_names[]
      = { "whole", "not_sent", "cut", "timeout" };

  for (int i = 0; i < (int)G_N_ELEMENTS (end_names); i++)
    if (strcmp (name, end_names[i]) == 0)
      {
        clm_call_attempt_ended (script->call, (enum clm_attempt_result)i);
        return;
      }
}

static void
run_response (struct script *script, const char *command, const char *rest)
{
  if (strcmp (command, "head") == 0)
    clm_call_head (script->call, (uint32_t)atoi (rest), "text/plain");
  else if (strcmp (command, "head_events") == 0)
    clm_call_head (script->call, (uint32_t)atoi (rest), "text/event-stream");
  else if (strcmp (command, "events") == 0)
    {
      char *text = g_strcompress (rest);

      clm_call_body (script->call, text, strlen (text));
      g_free (text);
    }
  else if (strcmp (command, "body") == 0)
    clm_call_body (script->call, rest, strlen (rest));
  else
    {
      char *filler = g_strnfill ((gsize)atoi (rest), '.');

      clm_call_body (script->call, filler, strlen (filler));
      g_free (filler);
    }
}

static void
run_line (struct script *script, char *line)
{
  char *rest = strchr (line, ' ');
  char empty[] = "";

  if (rest == NULL)
    rest = empty;
  else
    *rest++ = '\0';
  if (strcmp (line, "call") == 0)
    run_call (script, rest);
  else if (strcmp (line, "endpoints") == 0)
    script->endpoints = atoi (rest);
  else if (strcmp (line, "budget") == 0)
    script->budget = atoi (rest);
  else if (strcmp (line, "after") == 0 || strcmp (line, "pause") == 0)
    {
      now_us += (uint64_t)atoi (rest) * 1000;
      if (strcmp (line, "after") == 0)
        tm_advance (script->tm, now_us);
    }
  else if (script->call == NULL)
    puts ("  no call");
  else if (g_str_has_prefix (line, "claimed"))
    {
      char *argument = strchr (rest, ' ');

      if (argument != NULL)
        *argument++ = '\0';
      run_claimed (script, rest, argument == NULL ? empty : argument,
                   strcmp (line, "claimed") == 0 ? 1 : 2);
    }
  else if (strcmp (line, "end") == 0)
    run_end (script, rest);
  else if (strcmp (line, "gone") == 0)
    clm_call_caller_disconnected (script->call);
  else
    run_response (script, line, rest);
}

int
main (void)
{
  struct script script
      = { .tm = tm_new_clock (clock_us), .endpoints = 3, .budget = 9 };
  char line[256];

  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      puts (line);
      if (line[0] != '#' && line[0] != '\0')
        run_line (&script, line);
    }
  clm_call_free (script.call);
  tm_free (script.tm);
  return EXIT_SUCCESS;
}
