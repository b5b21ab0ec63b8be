#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dsp.h"

/* Runs the dispatcher on commands and prints its actions.  Attempts are
   numbered in the order of their launch.  Commands:
     limits WAITING PERCENT       endpoint NAME BATCH     model NAME BUDGET
     configured (ends the three above)
     view FENCE [MODEL ENDPOINT STATE READY_IN_MS]...
     request NAME MODEL CLASS PRIORITY DEADLINE FIRST EXPECTED [resume]
     after MS                     head A                  token A TEXT
     end A                        error A                 answer A STATUS
     not_started A                refused A               cut A
     incomplete A                 gone NAME               slow NAME
     told TICKET                  quiesce MODEL ENDPOINT  leaving ENDPOINT
     back ENDPOINT                crossed A NAME TEXT     same NAME AS
     suspect NAME CRASHES AGE_MS  probed ENDPOINT MS
   "told" acknowledges a report to the peers, "gone" disconnects the caller,
   and "slow" means that the caller reads too slowly.  "crossed" delivers a
   token of attempt A to another request.  The fingerprint of a request is its
   number, or the one of the request named by "same".  */

#define LINE_BYTES 512
#define NAMES_MAX  64
#define MS         1000ULL
#define START_US   1000000000ULL

struct request_slot
{
  char name[32];
  struct dsp_request *request; /* NULL: finished */
  uint64_t fingerprint;
};

static struct tm_service *tm;
static struct dsp *dsp;
static struct request_slot request_slots[NAMES_MAX];
static uint32_t request_slot_count;
static struct request_slot *attempt_owner[NAMES_MAX];

static void
print_event (const char *what, const char *name)
{
  printf ("%6llu %s %s",
          (unsigned long long)((tm_now_us (tm) - START_US) / MS), what, name);
}

static struct request_slot *
find_request_slot (const char *name)
{
  for (uint32_t i = 0; i < request_slot_count; i++)
    if (strcmp (request_slots[i].name, name) == 0)
      return &request_slots[i];
  g_strlcpy (request_slots[request_slot_count].name, name,
             sizeof request_slots[0].name);
  request_slots[request_slot_count].fingerprint = request_slot_count + 1;
  return &request_slots[request_slot_count++];
}

static void
on_launch (void *owner, const struct dsp_launch *launch)
{
  struct request_slot *request_slot = owner;

  attempt_owner[launch->attempt] = request_slot;
  print_event ("launch", request_slot->name);
  printf (" attempt %llu at %s", (unsigned long long)launch->attempt,
          launch->address);
  if (launch->resume_from > 0)
    printf (" resume from %u", launch->resume_from);
  printf ("\n");
}

static void
on_cancel (void *owner, uint64_t attempt)
{
  print_event ("cancel", ((struct request_slot *)owner)->name);
  printf (" attempt %llu\n", (unsigned long long)attempt);
}

static void
on_send (void *owner, const char *data, size_t bytes)
{
  print_event ("send", ((struct request_slot *)owner)->name);
  printf (" %.*s\n", (int)bytes, data);
}

static void
on_response (void *owner, const struct rq_response *answer)
{
  print_event ("answer", ((struct request_slot *)owner)->name);
  printf (" %u\n", answer->status);
}

static void
on_refuse (void *owner, enum rsn_refusal reason, bool not_run, bool started)
{
  print_event ("refuse", ((struct request_slot *)owner)->name);
  printf (" %s%s%s\n", rsn_refusal_text (reason), not_run ? " not run" : "",
          started ? " in stream" : "");
}

static void
on_done (void *owner, enum rq_outcome outcome)
{
  struct request_slot *request_slot = owner;

  request_slot->request = NULL;
  print_event ("done", request_slot->name);
  printf (" %s\n", rq_outcome_text (outcome));
}

static void
on_suspects (void *arg, const struct dsp_suspect *suspects, uint32_t count,
             uint64_t ticket)
{
  (void)arg;
  print_event ("tell peers", "ticket");
  printf (" %llu:", (unsigned long long)ticket);
  for (uint32_t i = 0; i < count; i++)
    printf (" %llu x%u", (unsigned long long)suspects[i].fingerprint,
            suspects[i].crashes);
  printf ("\n");
}

static void
on_probe (void *arg, const char *address, const char *model)
{
  (void)arg;
  print_event ("probe", address);
  printf (" %s\n", model);
}

static void
on_ejected (void *arg, const char *address, bool ejected)
{
  (void)arg;
  print_event (ejected ? "ejected" : "returned", address);
  printf ("\n");
}

static void
on_unreachable (void *arg, const char *address)
{
  (void)arg;
  print_event ("unreachable", address);
  printf ("\n");
  dsp_set_leaving (dsp, address, true);
}

static void
on_demand (void *arg, const struct adm_demand *demands, uint32_t count)
{
  (void)arg;
  for (uint32_t i = 0; i < count; i++)
    if (demands[i].waiting > 0)
      {
        print_event ("demand", demands[i].model);
        printf (" %u waiting, priority %d\n", demands[i].waiting,
                demands[i].priority);
      }
}

static void
run_view (char *text)
{
  static const char *const states[]
      = { "cold", "loading", "ready", "quiescing", "doubtful", "blocked" };
  char *at = NULL;
  static uint64_t sequence;
  const char *fence = strtok_r (text, " ", &at);
  struct vw_view *view = vw_new ("z", strtoull (fence, NULL, 10), ++sequence);
  const char *model;

  while ((model = strtok_r (NULL, " ", &at)) != NULL)
    {
      const char *endpoint = strtok_r (NULL, " ", &at);
      const char *state = strtok_r (NULL, " ", &at);
      uint64_t in_ms = strtoull (strtok_r (NULL, " ", &at), NULL, 10);

      for (int i = 0; i <= VW_BLOCKED; i++)
        if (strcmp (states[i], state) == 0)
          vw_add (view, model, endpoint, (enum vw_state)i,
                  in_ms == 0 ? 0 : tm_now_us (tm) + in_ms * MS);
    }
  dsp_apply_view (dsp, view);
  vw_free (view);
}

static void
run_request (const char *text)
{
  static char models[NAMES_MAX][32];
  static char classes[NAMES_MAX][32];
  static uint32_t used;
  char name[32];
  char resume[16] = "";
  struct dsp_spec spec = { .pool = "p", .stream = true };
  struct request_slot *request_slot;

  (void)sscanf (text, "%31s %31s %31s %d %u %u %u %15s", name, models[used],
                classes[used], &spec.priority, &spec.deadline_ms,
                &spec.first_token_ms, &spec.expected_ms, resume);
  request_slot = find_request_slot (name);
  spec.model = models[used];
  spec.class_name = classes[used++];
  spec.can_resume = resume[0] != '\0';
  spec.fingerprint = request_slot->fingerprint;
  request_slot->request = dsp_request_new (dsp, &spec, request_slot);
  dsp_request_start (request_slot->request);
}

static void
run_attempt (const char *word, uint64_t attempt, const char *rest)
{
  struct rq_response answer = { .status = (uint16_t)atoi (rest), .body = "" };
  struct request_slot *request_slot = attempt_owner[attempt];
  char other[32] = "";

  if (strcmp (word, "crossed") == 0)
    {
      (void)sscanf (rest, "%31s", other);
      request_slot = find_request_slot (other);
    }
  if (request_slot == NULL || request_slot->request == NULL)
    return;
  if (strcmp (word, "head") == 0)
    dsp_response_head (request_slot->request, attempt);
  else if (strcmp (word, "token") == 0 || strcmp (word, "crossed") == 0)
    dsp_event (request_slot->request, attempt, RQ_EVENT_TOKEN, rest,
               strlen (rest));
  else if (strcmp (word, "end") == 0)
    dsp_event (request_slot->request, attempt, RQ_EVENT_END, "[DONE]", 6);
  else if (strcmp (word, "error") == 0)
    dsp_event (request_slot->request, attempt, RQ_EVENT_ERROR, "", 0);
  else if (strcmp (word, "answer") == 0)
    dsp_response (request_slot->request, attempt, &answer);
  else if (strcmp (word, "not_started") == 0)
    {
      answer.status = 503;
      answer.not_started = true;
      dsp_response (request_slot->request, attempt, &answer);
    }
  else if (strcmp (word, "refused") == 0)
    dsp_attempt_failed (request_slot->request, attempt, RQ_CONNECT_FAILED,
                        false);
  else if (strcmp (word, "cut") == 0)
    dsp_attempt_failed (request_slot->request, attempt, RQ_CONNECTION_LOST,
                        true);
  else if (strcmp (word, "incomplete") == 0)
    dsp_attempt_failed (request_slot->request, attempt, RQ_INCOMPLETE, true);
  else
    printf ("unknown command %s\n", word);
}

static void
run_zone (const char *word, const char *rest)
{
  char name[32] = "";
  char other[32] = "";
  unsigned a = 0;
  unsigned b = 0;

  if (strcmp (word, "after") == 0)
    tm_advance (tm, tm_now_us (tm) + strtoull (rest, NULL, 10) * MS);
  else if (strcmp (word, "limits") == 0 && sscanf (rest, "%u %u", &a, &b) == 2)
    dsp_set_limits (dsp, a, b);
  else if (strcmp (word, "endpoint") == 0
           && sscanf (rest, "%31s %u", name, &a) == 2)
    dsp_add_endpoint (dsp, name, "p", a);
  else if (strcmp (word, "model") == 0
           && sscanf (rest, "%31s %u", name, &a) == 2)
    dsp_add_model (dsp, name, a);
  else if (strcmp (word, "configured") == 0)
    dsp_configure_end (dsp);
  else if (strcmp (word, "told") == 0)
    dsp_report_acked (dsp, strtoull (rest, NULL, 10));
  else if (strcmp (word, "leaving") == 0 || strcmp (word, "back") == 0)
    dsp_set_leaving (dsp, rest, strcmp (word, "leaving") == 0);
  else if (strcmp (word, "quiesce") == 0
           && sscanf (rest, "%31s %31s", name, other) == 2)
    printf ("%6s in flight %u\n", "", dsp_quiesce (dsp, name, other));
  else if (strcmp (word, "suspect") == 0
           && sscanf (rest, "%31s %u %u", name, &a, &b) == 3)
    dsp_merge_suspect (dsp, find_request_slot (name)->fingerprint, a, b);
  else if (strcmp (word, "same") == 0
           && sscanf (rest, "%31s %31s", name, other) == 2)
    find_request_slot (name)->fingerprint
        = find_request_slot (other)->fingerprint;
  else if (strcmp (word, "probed") == 0
           && sscanf (rest, "%31s %u", name, &a) == 2)
    dsp_probe_done (dsp, name, true, a * MS);
  else if (strcmp (word, "gone") == 0
           && find_request_slot (rest)->request != NULL)
    dsp_caller_disconnected (find_request_slot (rest)->request);
  else if (strcmp (word, "slow") == 0
           && find_request_slot (rest)->request != NULL)
    dsp_caller_too_slow (find_request_slot (rest)->request);
  else
    printf ("unknown command %s\n", word);
}

static void
run_line (char *line)
{
  char *rest = strchr (line, ' ');
  char *end;
  uint64_t attempt;

  if (rest != NULL)
    *rest++ = '\0';
  else
    rest = line + strlen (line);
  attempt = strtoull (rest, &end, 10);
  if (strcmp (line, "view") == 0)
    run_view (rest);
  else if (strcmp (line, "request") == 0)
    run_request (rest);
  else if (end != rest && strcmp (line, "after") != 0
           && strcmp (line, "limits") != 0 && strcmp (line, "told") != 0)
    run_attempt (line, attempt, *end == ' ' ? end + 1 : end);
  else
    run_zone (line, rest);
}

int
main (void)
{
  static const struct dsp_actions actions
      = { on_launch,  on_cancel,      on_send,     on_response,
          on_refuse,  on_done,        on_suspects, on_probe,
          on_ejected, on_unreachable, on_demand };
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  struct ctr_set *counters = ctr_new ();
  char line[LINE_BYTES];

  gsl_rng_set (random, 1);
  tm = tm_new (START_US);
  dsp = dsp_new (tm, random, counters, &actions, NULL);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      if (line[0] == '#')
        printf ("%s\n", line);
      else if (line[0] != '\0')
        run_line (line);
    }
  printf ("active %u\n", dsp_active (dsp));
  dsp_free (dsp);
  ctr_free (counters);
  gsl_rng_free (random);
  tm_free (tm);
  return 0;
}
