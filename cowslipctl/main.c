#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ctl.h"

#define MAIN_ARGS_MAX        4
#define MAIN_WAIT_DEFAULT_MS 16000
#define MAIN_MS_PER_S        1000

/* A command, the number of its arguments and whether it calls an instance.  */
struct main_command
{
  const char *name;
  enum ctl_status (*run) (const struct ctl_options *options, char **args);
  int arg_count;
  bool remote;
};

/* Parsed command line.  */
struct main_invocation
{
  struct ctl_options options;
  char *args[MAIN_ARGS_MAX + 1];
  int arg_count;
};

static const struct main_command main_commands[] = {
  { "check", ctl_check, 1, false },  { "diff", ctl_diff, 1, true },
  { "apply", ctl_apply, 1, true },   { "promote", ctl_promote, 1, true },
  { "show", ctl_show, 0, true },     { "history", ctl_history, 0, true },
  { "status", ctl_state, 0, true },  { "watch", ctl_watch, 0, true },
  { "models", ctl_models, 0, true }, { "endpoints", ctl_endpoints, 0, true },
  { "drain", ctl_drain, 0, true },   { "counters", ctl_counters, 0, true }
};

const char *argp_program_version = "cowslipctl 0.1";

static const struct argp_option main_option_list[] = {
  { "server", 's', "ADDRESS", 0, "HTTP address of an instance, IP:PORT", 0 },
  { "token-file", 't', "FILE", 0, "file with the operator token", 0 },
  { "environment", 'e', "NAME", 0, "environment (default: production)", 0 },
  { "author", 'a', "NAME", 0, "author of a change (default: $USER)", 0 },
  { "comment", 'm', "TEXT", 0, "reason for a change", 0 },
  { "base", 'b', "GENERATION", 0,
    "generation to be replaced (default: the current one)", 0 },
  { "wait", 'w', "SECONDS", 0,
    "maximum wait until a change is in force (default: 16)", 0 },
  { "json", 'j', NULL, 0, "print JSON", 0 },
  { 0 }
};

static error_t
main_parse_option (int key, char *argument, struct argp_state *state)
{
  struct main_invocation *invocation = state->input;

  switch (key)
    {
    case 's':
      invocation->options.address = argument;
      return 0;
    case 't':
      invocation->options.token_file = argument;
      return 0;
    case 'e':
      invocation->options.environment = argument;
      return 0;
    case 'a':
      invocation->options.author = argument;
      return 0;
    case 'm':
      invocation->options.comment = argument;
      return 0;
    case 'b':
      invocation->options.base = strtoll (argument, NULL, 10);
      return 0;
    case 'w':
      invocation->options.wait_ms
          = (uint32_t)strtoul (argument, NULL, 10) * MAIN_MS_PER_S;
      return 0;
    case 'j':
      invocation->options.json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (invocation->arg_count >= MAIN_ARGS_MAX)
        argp_usage (state);
      invocation->args[invocation->arg_count++] = argument;
      return 0;
    case ARGP_KEY_END:
      if (invocation->arg_count == 0)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp main_argp
    = { main_option_list,
        main_parse_option,
        "COMMAND [ARGUMENT...]",
        "Operate environments and instances of cowslipcove.\v"
        "Commands: check FILE, diff FILE, apply FILE, promote ENVIRONMENT, "
        "show, history, status, watch, models, endpoints, drain, counters.",
        NULL,
        NULL,
        NULL };

static const struct main_command *
main_find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (main_commands); i++)
    if (strcmp (main_commands[i].name, name) == 0)
      return &main_commands[i];
  return NULL;
}

static bool
main_read_token (struct ctl_options *options)
{
  GError *error = NULL;

  if (options->address == NULL || options->token_file == NULL)
    {
      fprintf (stderr, "cowslipctl: options -s and -t are required\n");
      return false;
    }
  if (!g_file_get_contents (options->token_file, &options->token, NULL,
                            &error))
    {
      fprintf (stderr, "cowslipctl: %s\n", error->message);
      g_error_free (error);
      return false;
    }
  g_strstrip (options->token);
  return true;
}

int
main (int argc, char **argv)
{
  struct main_invocation invocation
      = { .options = { .environment = "production",
                       .author = g_get_user_name (),
                       .comment = "",
                       .base = -1,
                       .wait_ms = MAIN_WAIT_DEFAULT_MS } };
  const struct main_command *command;
  enum ctl_status status;

  argp_err_exit_status = CTL_USAGE;
  argp_parse (&main_argp, argc, argv, 0, NULL, &invocation);
  command = main_find_command (invocation.args[0]);
  if (command == NULL || invocation.arg_count != command->arg_count + 1)
    {
      fprintf (stderr, "cowslipctl: %s: %s\n", invocation.args[0],
               command == NULL ? "unknown command"
                               : "wrong number of arguments");
      return CTL_USAGE;
    }
  if (command->remote && !main_read_token (&invocation.options))
    return CTL_USAGE;
  status = command->run (&invocation.options, invocation.args + 1);
  g_free (invocation.options.token);
  return (int)status;
}
