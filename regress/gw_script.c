#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "drn.h"
#include "evs.h"
#include "fwd.h"
#include "rbg.h"
#include "rte.h"
#include "wtq.h"

/* Runs the decisions of the gateway from commands, one a line:
     fwd END [may] [ran] [begun] [resume] runs=N of=N sends=N left=MS [other]
     wtq [cold] [known] [stream] target=MS gap=MS total=MS waited=MS
     drn [stream] left=MS grace=MS
     limits RATIO EXTRA WINDOW-MS INSTANCES | request N | repeat N
     advance MS
     route HOST PREFIX KIND [resumable] [SERVICE=WEIGHT...]
     match HOST TARGET | service HOST TARGET DRAW
     feed TEXT       part of a stream; "\n" is a line feed
     restart         the stream goes on at another endpoint  */

#define WORDS_MAX 24
#define US_PER_MS 1000ULL

static struct tm_service *tm;
static struct rbg_budgets *budgets;
static struct rte_config *config;
static struct evs_parser events;
static char *words[WORDS_MAX];
static int word_count;

static bool
has (const char *word)
{
  for (int i = 1; i < word_count; i++)
    if (strcmp (words[i], word) == 0)
      return true;
  return false;
}

static uint32_t
number (const char *name)
{
  size_t bytes = strlen (name);

  for (int i = 1; i < word_count; i++)
    if (strncmp (words[i], name, bytes) == 0 && words[i][bytes] == '=')
      return (uint32_t)strtoul (words[i] + bytes + 1, NULL, 10);
  return 0;
}

static void
run_fwd (void)
{
  static const char *const ends[]
      = { "not_sent", "not_run", "error", "lost", "slow" };
  static const char *const steps[]
      = { "again", "wait", "refuse", "fail", "pass", "cut" };
  struct fwd_input facts = { .may_retry = has ("may"),
                             .may_have_run = has ("ran"),
                             .answer_begun = has ("begun"),
                             .can_resume = has ("resume"),
                             .runs = number ("runs"),
                             .runs_max = number ("of"),
                             .sends = number ("sends"),
                             .left_ms = number ("left"),
                             .endpoint_available = has ("other") };

  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    if (strcmp (words[1], ends[i]) == 0)
      facts.end = (enum fwd_end)i;
  printf ("%s\n", steps[fwd_decide (&facts)]);
}

static void
run_wtq (void)
{
  struct wtq_input facts = { .cold = has ("cold"),
                             .known_model = has ("known"),
                             .stream = has ("stream"),
                             .target_ms = number ("target"),
                             .gap_ms = number ("gap"),
                             .total_ms = number ("total"),
                             .waited_ms = number ("waited") };

  printf ("%s\n", wtq_decide (&facts) == WTQ_WAIT ? "hold" : "refuse");
}

static void
run_drn (void)
{
  struct drn_input facts = { .stream = has ("stream"),
                             .left_ms = number ("left"),
                             .grace_ms = number ("grace") };

  printf ("%s\n", drn_accepts (&facts) ? "take" : "refuse");
}

static void
run_budget (void)
{
  uint32_t count = word_count > 1 ? (uint32_t)atoi (words[1]) : 0;
  uint32_t allowed = 0;

  if (strcmp (words[0], "limits") == 0)
    {
      struct rbg_limits limits = { .ratio = atof (words[1]),
                                   .extra = (uint32_t)atoi (words[2]),
                                   .window_ms = (uint32_t)atoi (words[3]),
                                   .instances = (uint32_t)atoi (words[4]) };

      rbg_set_limits (budgets, &limits);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (words[0], "request") == 0)
      rbg_count_request (budgets, "s");
    else
      allowed += rbg_acquire (budgets, "s");
  if (strcmp (words[0], "repeat") == 0)
    printf ("%u of %u\n", allowed, count);
}

static void
run_route (void)
{
  struct rte_route *route = rte_route_new ();

  route->name = g_strdup (words[2]);
  route->host = g_strdup (words[1]);
  route->prefix = g_strdup (words[2]);
  route->kind = strcmp (words[3], "stream") == 0       ? RTE_STREAM
                : strcmp (words[3], "idempotent") == 0 ? RTE_IDEMPOTENT
                                                       : RTE_AT_MOST_ONCE;
  route->resumable = has ("resumable");
  for (int i = 4; i < word_count; i++)
    {
      char *equals = strchr (words[i], '=');
      struct rte_target target;

      if (equals == NULL)
        continue;
      target.service = g_strndup (words[i], (gsize)(equals - words[i]));
      target.weight = (uint32_t)atoi (equals + 1);
      g_array_append_val (route->targets, target);
    }
  g_ptr_array_add (config->routes, route);
}

static void
run_match (void)
{
  const struct rte_route *route = rte_match (config, words[1], words[2]);
  const char *service;

  if (route == NULL)
    {
      printf ("no route\n");
      return;
    }
  if (strcmp (words[0], "match") == 0)
    {
      printf ("%s, %s\n", route->prefix,
              rte_may_retry (route) ? "may run again" : "runs once");
      return;
    }
  service = rte_pick_service (route, atof (words[3]));
  printf ("%s\n", service == NULL ? "none" : service);
}

static void
print_event (void *arg, const char *data, size_t bytes)
{
  char *text = g_strndup (data, bytes);
  char *escaped = g_strescape (text, NULL);

  (void)arg;
  printf ("passed \"%s\"\n", escaped);
  g_free (escaped);
  g_free (text);
}

static void
run_feed (const char *text)
{
  char *data = g_strcompress (text);

  evs_feed (&events, data, strlen (data), print_event, NULL);
  printf ("kept %zu bytes\n", events.partial->len);
  g_free (data);
}

static void
run_words (void)
{
  const char *command = words[0];

  if (strcmp (command, "fwd") == 0)
    run_fwd ();
  else if (strcmp (command, "wtq") == 0)
    run_wtq ();
  else if (strcmp (command, "drn") == 0)
    run_drn ();
  else if (strcmp (command, "route") == 0)
    run_route ();
  else if (strcmp (command, "match") == 0 || strcmp (command, "service") == 0)
    run_match ();
  else if (strcmp (command, "restart") == 0)
    evs_reset (&events);
  else if (strcmp (command, "advance") == 0)
    tm_advance (tm,
                tm_now_us (tm) + strtoull (words[1], NULL, 10) * US_PER_MS);
  else
    run_budget ();
}

static void
run_line (char *line)
{
  printf ("> %s\n", line);
  if (strncmp (line, "feed ", 5) == 0)
    {
      run_feed (line + 5);
      return;
    }
  word_count = 0;
  for (char *word = strtok (line, " "); word != NULL && word_count < WORDS_MAX;
       word = strtok (NULL, " "))
    words[word_count++] = word;
  if (word_count > 0)
    run_words ();
}

int
main (void)
{
  char line[512];

  tm = tm_new (1);
  budgets = rbg_new (tm);
  config = rte_config_new ();
  evs_init (&events);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      if (line[0] != '#' && line[0] != '\0')
        run_line (line);
    }
  evs_clear (&events);
  rte_config_unref (config);
  rbg_free (budgets);
  tm_free (tm);
  return EXIT_SUCCESS;
}
