#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <openssl/rand.h>

#include "admin.h"
#include "claims.h"
#include "control.h"
#include "daemon.h"
#include "drain.h"
#include "gw.h"
#include "gws.h"
#include "kv_etcd.h"
#include "lg.h"
#include "peers.h"
#include "refuse.h"
#include "requests.h"
#include "services.h"

#define MAIN_SIGNAL_COUNT         3
#define MAIN_MMAP_THRESHOLD_BYTES (128 << 10)
#define MAIN_BYTES_PER_MB         (UINT64_C (1) << 20)

/* Command-line options.  */
struct main_options
{
  const char *settings_file;
  uint32_t memory_mb; /* 0: as in the settings */
  bool check_only;
};

/* Process-wide state.  */
struct main_process
{
  struct cd_daemon daemon;
  struct main_options options;
  struct kv_etcd *kv;
  uv_signal_t signals[MAIN_SIGNAL_COUNT];
};

const char *argp_program_version = "cowslipcoved 0.1";

static const struct argp_option main_option_list[]
    = { { "check", 'n', NULL, 0, "check the settings and exit", 0 },
        { "memory", 'm', "MIB", 0,
          "memory of the machine, instead of \"memory_mb\" in the settings",
          0 },
        { 0 } };

/* Return the memory that the argument TEXT states.  */
static uint32_t
main_parse_memory (const char *text, struct argp_state *state)
{
  guint64 memory_mb;

  if (!g_ascii_string_to_unsigned (text, 10, MBG_MEMORY_MIN_MB,
                                   MBG_MEMORY_MAX_MB, &memory_mb, NULL))
    argp_error (state, "the memory must be a number from %u to %u",
                MBG_MEMORY_MIN_MB, MBG_MEMORY_MAX_MB);
  return (uint32_t)memory_mb;
}

static error_t
main_parse_option (int key, char *argument, struct argp_state *state)
{
  struct main_options *options = state->input;

  switch (key)
    {
    case 'n':
      options->check_only = true;
      return 0;
    case 'm':
      options->memory_mb = main_parse_memory (argument, state);
      return 0;
    case ARGP_KEY_ARG:
      if (options->settings_file != NULL)
        argp_usage (state);
      options->settings_file = argument;
      return 0;
    case ARGP_KEY_END:
      if (options->settings_file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp main_argp
    = { main_option_list,
        main_parse_option,
        "SETTINGS_FILE",
        "Serves rarely used models as one instance of cowslipcove.",
        NULL,
        NULL,
        NULL };

/* Pass a request to the module that serves its path.  */
static void
main_dispatch (void *arg, struct http_exchange *exchange)
{
  struct cd_daemon *daemon = arg;
  const char *path = http_path (exchange);

  if (g_str_has_prefix (path, "/v1/"))
    {
      cd_drain_requested (daemon);
      cd_requests_handle (daemon, exchange);
    }
  else if (g_str_has_prefix (path, "/svc/"))
    {
      cd_drain_requested (daemon);
      cd_services_handle (daemon, exchange);
    }
  else
    cd_admin_handle (daemon, exchange);
}

static void
main_reload (struct main_process *process)
{
  struct set_settings *old = process->daemon.settings;
  struct set_settings *settings;
  GError *error = NULL;
  char *token;

  settings = set_load (process->options.settings_file, &error);
  if (settings == NULL)
    {
      lg_write (LG_SETTINGS_INVALID, "%s", error->message);
      g_error_free (error);
      return;
    }
  /* The other settings are bound to sockets and store records and need a
     restart.  */
  token = old->operator_token;
  old->operator_token = settings->operator_token;
  settings->operator_token = token;
  old->drain_notice_ms = settings->drain_notice_ms;
  old->drain_max_ms = settings->drain_max_ms;
  old->log_level = settings->log_level;
  lg_set_threshold ((enum lg_severity)old->log_level);
  lg_write (LG_RELOAD, "log_level %u, drain_max_ms %u", old->log_level,
            old->drain_max_ms);
  set_free (settings);
}

static void
main_on_signal (uv_signal_t *handle, int number)
{
  struct main_process *process = handle->data;

  if (number == SIGHUP)
    main_reload (process);
  else
    cd_drain (&process->daemon);
}

static void
main_watch_signals (struct main_process *process)
{
  static const int numbers[MAIN_SIGNAL_COUNT] = { SIGTERM, SIGINT, SIGHUP };

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < MAIN_SIGNAL_COUNT; i++)
    {
      uv_signal_init (process->daemon.loop, &process->signals[i]);
      process->signals[i].data = process;
      uv_signal_start (&process->signals[i], main_on_signal, numbers[i]);
    }
}

static bool
main_init_random (struct cd_daemon *daemon)
{
  unsigned long seed;

  if (RAND_bytes ((unsigned char *)&daemon->incarnation,
                  sizeof daemon->incarnation)
          != 1
      || RAND_bytes ((unsigned char *)&seed, sizeof seed) != 1)
    return false;
  daemon->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (daemon->random, seed);
  return true;
}

static bool
main_start_network (struct main_process *process, GError **error)
{
  struct cd_daemon *daemon = &process->daemon;
  const struct set_settings *settings = daemon->settings;
  static const struct http_server_events events
      = { cd_refuse_rejected, cd_admin_is_control };
  struct rpc_config rpc = { .instance = settings->instance,
                            .incarnation = daemon->incarnation,
                            .address = settings->rpc_address,
                            .key = settings->peer_key,
                            .key_bytes = settings->peer_key_bytes };

  daemon->budget
      = mbg_new (daemon->tm, settings->memory_mb * MAIN_BYTES_PER_MB);
  daemon->client = http_client_new (daemon->loop, daemon->tm);
  http_client_set_budget (daemon->client, daemon->budget);
  process->kv = kv_etcd_new (daemon->client, daemon->tm, daemon->counters,
                             settings->kv_address, daemon->random);
  daemon->kv = kv_etcd_store (process->kv);
  rpc.budget = daemon->budget;
  daemon->rpc
      = rpc_node_new (daemon->loop, daemon->tm, daemon->counters, &rpc, error);
  if (daemon->rpc == NULL)
    return false;
  daemon->server = http_server_new (
      daemon->loop, daemon->tm, settings->http_address,
      settings->body_max_bytes, main_dispatch, daemon, error);
  if (daemon->server == NULL)
    return false;
  http_server_set_limits (daemon->server, daemon->budget,
                          settings->connections_max, &events);
  return true;
}

static void
main_start_modules (struct cd_daemon *daemon)
{
  daemon->peers = cd_peers_new (daemon);
  daemon->control = cd_control_new (daemon);
  daemon->claims = cd_claims_new (daemon);
  daemon->requests = cd_requests_new (daemon);
  daemon->services = cd_services_new (daemon);
  daemon->admin = cd_admin_new (daemon);
}

static int
main_run (struct main_process *process)
{
  struct cd_daemon *daemon = &process->daemon;
  GError *error = NULL;

  daemon->loop = uv_default_loop ();
  tm_uv_start (&daemon->clock, daemon->loop);
  daemon->tm = daemon->clock.service;
  daemon->counters = ctr_new ();
  if (!main_init_random (daemon))
    {
      fprintf (stderr, "cowslipcoved: cannot get random bytes\n");
      return EXIT_FAILURE;
    }
  if (!main_start_network (process, &error))
    {
      lg_write (LG_LISTEN_FAILED, "%s", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  main_start_modules (daemon);
  main_watch_signals (process);
  lg_write (LG_START,
            "instance %s in %s, environment %s, HTTP %s, RPC %s, memory_mb=%u "
            "budget_bytes=%" G_GUINT64_FORMAT " connections_max=%u",
            daemon->settings->instance, daemon->settings->zone,
            daemon->settings->environment, daemon->settings->http_address,
            daemon->settings->rpc_address, daemon->settings->memory_mb,
            mbg_limit_bytes (daemon->budget, MBG_CLIENT),
            daemon->settings->connections_max);
  uv_run (daemon->loop, UV_RUN_DEFAULT);
  lg_write (LG_STOP, "instance %s", daemon->settings->instance);
  set_free (daemon->settings);
  return EXIT_SUCCESS;
}

/* Run as a gateway, or only check its settings.  */
static int
main_gateway (const struct main_options *options)
{
  struct gws_settings *settings;
  GError *error = NULL;

  if (!options->check_only)
    return gw_run (options->settings_file, options->memory_mb);
  settings = gws_load (options->settings_file, &error);
  if (settings != NULL)
    {
      gws_free (settings);
      return EXIT_SUCCESS;
    }
  fprintf (stderr, "cowslipcoved: %s\n", error->message);
  return EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static struct main_process process;
  GError *error = NULL;

  /* Memory of large bodies goes back to the system when they are freed.  */
  (void)mallopt (M_MMAP_THRESHOLD, MAIN_MMAP_THRESHOLD_BYTES);
  lg_open ("cowslipcoved");
  argp_parse (&main_argp, argc, argv, 0, NULL, &process.options);
  if (gws_is_gateway (process.options.settings_file))
    return main_gateway (&process.options);
  process.daemon.settings = set_load (process.options.settings_file, &error);
  if (process.daemon.settings == NULL)
    {
      fprintf (stderr, "cowslipcoved: %s\n", error->message);
      return EXIT_FAILURE;
    }
  if (process.options.check_only)
    return EXIT_SUCCESS;
  if (process.options.memory_mb != 0)
    process.daemon.settings->memory_mb = process.options.memory_mb;
  lg_set_threshold ((enum lg_severity)process.daemon.settings->log_level);
  return main_run (&process);
}
