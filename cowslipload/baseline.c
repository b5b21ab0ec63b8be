#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baseline.h"

#define BL_ROUTERS_MAX    64
#define BL_BODY_MAX_BYTES (4U << 20)
#define BL_KEEP_ALIVE_MS  600000

/* Parsed command line.  */
struct bl_arguments
{
  const char *address;
  const char *document;
  unsigned long routers;
  uint64_t keep_alive_ms;
  uint64_t seed;
};

static const struct argp_option options[]
    = { { "listen", 'l', "ADDRESS", 0, "first router's address (IP:PORT)", 0 },
        { "routers", 'n', "NUMBER", 0, "routers, on consecutive ports", 0 },
        { "keep-alive", 'k', "MS", 0,
          "unload models that are unused for MS (default 600000)", 0 },
        { "seed", 's', "NUMBER", 0, "seed of all random choices", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct bl_arguments *arguments = state->input;

  switch (key)
    {
    case 'l':
      arguments->address = arg;
      return 0;
    case 'n':
      arguments->routers = strtoul (arg, NULL, 10);
      return 0;
    case 'k':
      arguments->keep_alive_ms = strtoull (arg, NULL, 10);
      return 0;
    case 's':
      arguments->seed = strtoull (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->document != NULL)
        argp_usage (state);
      arguments->document = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->document == NULL || arguments->address == NULL
          || strrchr (arguments->address, ':') == NULL
          || arguments->routers == 0 || arguments->routers > BL_ROUTERS_MAX)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
bl_read_document (struct bl_context *context, const char *file, GError **error)
{
  gsize bytes;
  char *text;

  if (!g_file_get_contents (file, &text, &bytes, error))
    return false;
  context->document = env_parse (text, bytes, error);
  g_free (text);
  return context->document != NULL;
}

static bool
bl_listen (struct bl_context *context, const struct bl_arguments *arguments,
           GError **error)
{
  const char *colon = strrchr (arguments->address, ':');
  unsigned long port = strtoul (colon + 1, NULL, 10);

  for (unsigned long i = 0; i < arguments->routers; i++)
    {
      char *address
          = g_strdup_printf ("%.*s:%lu", (int)(colon - arguments->address),
                             arguments->address, port + i);
      struct http_server *server = http_server_new (
          &context->loop, context->tm, address, BL_BODY_MAX_BYTES, bl_handle,
          bl_router_new (context, arguments->seed + i), error);

      g_free (address);
      if (server == NULL)
        return false;
    }
  return true;
}

/* Run the baseline routers until the process is terminated.  */
int
bl_main (int argc, char **argv)
{
  static const struct argp parser
      = { options,    parse_option,
          "DOCUMENT", "Route by the baseline policy, for comparison.",
          NULL,       NULL,
          NULL };
  static struct bl_context context;
  struct bl_arguments arguments
      = { .routers = 1, .keep_alive_ms = BL_KEEP_ALIVE_MS, .seed = 1 };
  GError *error = NULL;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  uv_loop_init (&context.loop);
  tm_uv_start (&context.driver, &context.loop);
  context.tm = context.driver.service;
  context.client = http_client_new (&context.loop, context.tm);
  context.keep_alive_us = arguments.keep_alive_ms * BL_US_PER_MS;
  if (!bl_read_document (&context, arguments.document, &error)
      || !bl_listen (&context, &arguments, &error))
    {
      fprintf (stderr, "cowslipload: %s\n", error->message);
      return EXIT_FAILURE;
    }
  uv_run (&context.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
