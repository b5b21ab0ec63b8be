#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "drn.h"
#include "evs.h"
#include "fwd.h"
#include "rbg.h"
#include "rte.h"
#include "wtq.h"

/* Runs the decision functions of the gateway from commands, one a line:
     fwd END [may] [ran] [begun] [resume] runs=N of=N sends=N left=MS [other]
       [earlier]
     wtq [cold] [known] [stream] target=MS gap=MS total=MS waited=MS paused=MS
     begin left=MS age=MS held=N    at an instance that is starting
     drn [generates] left=MS grace=MS [margin=MS]
     limits RATIO EXTRA WINDOW-MS INSTANCES | request N | repeat N
     advance MS
     route HOST PREFIX KIND [resumable] [SERVICE=WEIGHT...]
     match HOST TARGET | service HOST TARGET DRAW
     feed TEXT       pass on part of a stream; "\n" stands for a line feed
     restart         resume the stream at another endpoint  */

#define ARGS_MAX  24
#define US_PER_MS 1000ULL

static struct tm_service *tm;
static struct rbg_budgets *budgets;
static struct rte_config *config;
static struct evs_parser events;
static char *args[ARGS_MAX];
static int arg_count;

static bool
has_flag (const char *token)
{
  for (int i = 1; i < arg_count; i++)
    if (strcmp (args[i], token) == 0)
      return true;
  return false;
}

static uint32_t
get_number (const char *name)
{
  size_t bytes = strlen (name);

  for (int i = 1; i < arg_count; i++)
    if (strncmp (args[i], name, bytes) == 0 && args[i][bytes] == '=')
      return (uint32_t)strtoul (args[i] + bytes + 1, NULL, 10);
  return 0;
}

static void
run_fwd (void)
{
  static const char *const end_names[]
      = { "not_sent", "not_run", "error", "lost", "slow" };
  static const char *const action_names[]
      = { "again", "wait", "refuse", "fail", "pass", "cut", "back" };
  struct fwd_input input = { .may_retry = has_flag ("may"),
                             .may_have_run = has_flag ("ran"),
                             .response_started = has_flag ("begun"),
                             .can_resume = has_flag ("resume"),
                             .runs = get_number ("runs"),
                             .runs_max = get_number ("of"),
                             .sends = get_number ("sends"),
                             .remaining_ms = get_number ("left"),
                             .endpoint_available = has_flag ("other"),
                             .earlier_open = has_flag ("earlier") };

  for (size_t i = 0; i < G_N_ELEMENTS (end_names); i++)
    if (strcmp (args[1], end_names[i]) == 0)
      input.end = (enum fwd_result)i;
  printf ("%s\n", action_names[fwd_decide (&input)]);
}

static void
run_wtq (void)
{
  struct wtq_input input = { .cold = has_flag ("cold"),
                             .model_configured = has_flag ("known"),
                             .stream = has_flag ("stream"),
                             .target_ms = get_number ("target"),
                             .gap_ms = get_number ("gap"),
                             .total_ms = get_number ("total"),
                             .waited_ms = get_number ("waited"),
                             .paused_ms = get_number ("paused") };

  printf ("%s\n", wtq_decide (&input) == WTQ_WAIT ? "hold" : "refuse");
}

static void
run_start (void)
{
  printf ("%u ms\n",
          wtq_start_wait_ms (get_number ("left"), get_number ("age"),
                             get_number ("held")));
}

static void
run_drn (void)
{
  struct drn_input input = { .generates = has_flag ("generates"),
                             .remaining_ms = get_number ("left"),
                             .grace_ms = get_number ("grace"),
                             .margin_ms = get_number ("margin") };

  printf ("%s\n", drn_accepts (&input) ? "take" : "refuse");
}

static void
run_budget (void)
{
  uint32_t count = arg_count > 1 ? (uint32_t)atoi (args[1]) : 0;
  uint32_t allowed = 0;

  if (strcmp (args[0], "limits") == 0)
    {
      struct rbg_limits limits = { .ratio = atof (args[1]),
                                   .extra = (uint32_t)atoi (args[2]),
                                   .window_ms = (uint32_t)atoi (args[3]),
                                   .instances = (uint32_t)atoi (args[4]) };

      rbg_set_limits (budgets, &limits);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (args[0], "request") == 0)
      rbg_count_request (budgets, "s");
    else
      allowed += rbg_acquire (budgets, "s");
  if (strcmp (args[0], "repeat") == 0)
    printf ("%u of %u\n", allowed, count);
}

static void
run_route (void)
{
  struct rte_route *route = rte_route_new ();

  route->name = g_strdup (args[2]);
  route->host = g_strdup (args[1]);
  route->prefix = g_strdup (args[2]);
  route->kind = strcmp (args[3], "stream") == 0       ? RTE_STREAM
                : strcmp (args[3], "idempotent") == 0 ? RTE_IDEMPOTENT
                                                      : RTE_AT_MOST_ONCE;
  route->resumable = has_flag ("resumable");
  for (int i = 4; i < arg_count; i++)
    {
      char *equals = strchr (args[i], '=');
      struct rte_target target;

      if (equals == NULL)
        continue;
      target.service = g_strndup (args[i], (gsize)(equals - args[i]));
      target.weight = (uint32_t)atoi (equals + 1);
      g_array_append_val (route->targets, target);
    }
  g_ptr_array_add (config->routes, route);
}

static void
run_match (void)
{
  const struct rte_route *route = rte_match (config, args[1], args[2]);
  const char *service;

  if (route == NULL)
    {
      printf ("no route\n");
      return;
    }
  if (strcmp (args[0], "match") == 0)
    {
      printf ("%s, %s\n", route->prefix,
              rte_may_retry (route) ? "may run again" : "runs once");
      return;
    }
  service = rte_pick_service (route, atof (args[3]));
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
run_command (void)
{
  const char *command = args[0];

  if (strcmp (command, "fwd") == 0)
    run_fwd ();
  else if (strcmp (command, "wtq") == 0)
    run_wtq ();
  else if (strcmp (command, "begin") == 0)
    run_start ();
  else if (strcmp (command, "drn") == 0)
    run_drn ();
  else if (strcmp (command, "route") == 0)
    run_route ();
  else if (strcmp (command, "match") == 0 || strcmp (command, "service") == 0)
    run_match ();
  else if (strcmp (command, "restart") == 0)
    evs_reset (&events);
  else if (strcmp (command, "advance") == 0)
    tm_advance (tm, tm_now_us (tm) + strtoull (args[1], NULL, 10) * US_PER_MS);
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
  arg_count = 0;
  for (char *token = strtok (line, " "); token != NULL && arg_count < ARGS_MAX;
       token = strtok (NULL, " "))
    args[arg_count++] = token;
  if (arg_count > 0)
    run_command ();
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
