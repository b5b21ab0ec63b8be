#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

#define ENG_GB UINT64_C (1000000000)

enum option_key
{
  OPTION_MEMORY = 256,
  OPTION_HOST,
  OPTION_DISK,
  OPTION_MEMORY_RATE,
  OPTION_DISK_RATE,
  OPTION_REMOTE_RATE,
  OPTION_BATCH,
  OPTION_WAITING,
  OPTION_TOKEN_MS,
  OPTION_PREFILL_MS,
  OPTION_REPORT_LAG_MS,
  OPTION_CACHE_LAG_MS,
  OPTION_CACHE_GAPS,
  OPTION_ADAPTER_MS,
  OPTION_UNLOAD_MS,
  OPTION_RECORDS,
  OPTION_SEED,
  OPTION_ADAPTER_STORE,
  OPTION_CHECK_FENCING,
  OPTION_LOG,
  OPTION_CRASH_ON,
  OPTION_OVERCOMMIT,
  OPTION_RESUME_OWN
};

static const struct argp_option options[] = {
  { "listen", 'l', "ADDRESS", 0, "listen on ADDRESS (IP:PORT)", 0 },
  { "count", 'n', "NUMBER", 0, "serve NUMBER engines on consecutive ports",
    0 },
  { "weights", 'w', "ADDRESS", 0, "fetch remote weights from ADDRESS", 0 },
  { "check-fencing", OPTION_CHECK_FENCING, NULL, 0,
    "refuse orders with a stale fencing number", 0 },
  { "log", OPTION_LOG, "FILE", 0,
    "append every record to FILE, which remains after a crash", 0 },
  { "crash-on", OPTION_CRASH_ON, "TEXT", 0,
    "crash on a prompt that contains TEXT", 0 },
  { "accept-overcommit", OPTION_OVERCOMMIT, NULL, 0,
    "accept loads that exceed the memory, and record them", 0 },
  { "resume-own", OPTION_RESUME_OWN, NULL, 0,
    "resume only requests that this engine served", 0 },
  { "adapter-store", OPTION_ADAPTER_STORE, NULL, 0,
    "load adapters from the weight store, which all engines share", 0 },
  { "memory", OPTION_MEMORY, "BYTES", 0, "memory capacity (default 80 GB)",
    0 },
  { "host-memory", OPTION_HOST, "BYTES", 0,
    "checkpoint cache in host memory (default 64 GB)", 0 },
  { "disk", OPTION_DISK, "BYTES", 0,
    "checkpoint cache on disk (default 512 GB)", 0 },
  { "memory-rate", OPTION_MEMORY_RATE, "BYTES", 0,
    "load rate from host memory in bytes/s (default 40 GB)", 0 },
  { "disk-rate", OPTION_DISK_RATE, "BYTES", 0,
    "load rate from disk in bytes/s (default 8 GB)", 0 },
  { "remote-rate", OPTION_REMOTE_RATE, "BYTES", 0,
    "expected load rate from the weight store in bytes/s (default 2 GB)", 0 },
  { "batch", OPTION_BATCH, "NUMBER", 0,
    "requests in a batch at most (default 32)", 0 },
  { "waiting", OPTION_WAITING, "NUMBER", 0,
    "queued requests at most (default 1000)", 0 },
  { "token-ms", OPTION_TOKEN_MS, "MS", 0, "time per token (default 20)", 0 },
  { "prefill-ms", OPTION_PREFILL_MS, "MS", 0,
    "time to first token (default 30)", 0 },
  { "report-lag-ms", OPTION_REPORT_LAG_MS, "MS", 0,
    "age of load reports (default 500)", 0 },
  { "cache-lag-ms", OPTION_CACHE_LAG_MS, "MS", 0,
    "delay of cache events (default 1000)", 0 },
  { "cache-gaps", OPTION_CACHE_GAPS, "PERCENT", 0,
    "share of cache events that are lost (default 5)", 0 },
  { "adapter-ms", OPTION_ADAPTER_MS, "MS", 0,
    "duration of an adapter load (default: random, 5 to 14)", 0 },
  { "unload-ms", OPTION_UNLOAD_MS, "MS", 0,
    "duration of an unload (default 50)", 0 },
  { "records", OPTION_RECORDS, "NUMBER", 0,
    "entries in each list of records at most (default 50000)", 0 },
  { "seed", OPTION_SEED, "NUMBER", 0, "seed of the random numbers (default 1)",
    0 },
  { 0 }
};

static struct eng_options settings = { .address = "127.0.0.1:7101",
                                       .count = 1,
                                       .memory_bytes = 80 * ENG_GB,
                                       .host_bytes = 64 * ENG_GB,
                                       .disk_bytes = 512 * ENG_GB,
                                       .memory_rate = 40 * ENG_GB,
                                       .disk_rate = 8 * ENG_GB,
                                       .remote_rate = 2 * ENG_GB,
                                       .batch = 32,
                                       .waiting_max = 1000,
                                       .token_ms = 20,
                                       .prefill_ms = 30,
                                       .report_lag_ms = 500,
                                       .cache_lag_ms = 1000,
                                       .cache_gap_percent = 5,
                                       .unload_ms = 50,
                                       .records_max = 50000,
                                       .seed = 1 };

static uint32_t *
uint32_setting (int key)
{
  switch (key)
    {
    case 'n':
      return &settings.count;
    case OPTION_BATCH:
      return &settings.batch;
    case OPTION_WAITING:
      return &settings.waiting_max;
    case OPTION_TOKEN_MS:
      return &settings.token_ms;
    case OPTION_PREFILL_MS:
      return &settings.prefill_ms;
    case OPTION_REPORT_LAG_MS:
      return &settings.report_lag_ms;
    case OPTION_CACHE_LAG_MS:
      return &settings.cache_lag_ms;
    case OPTION_CACHE_GAPS:
      return &settings.cache_gap_percent;
    case OPTION_ADAPTER_MS:
      return &settings.adapter_ms;
    case OPTION_UNLOAD_MS:
      return &settings.unload_ms;
    case OPTION_RECORDS:
      return &settings.records_max;
    case OPTION_SEED:
      return &settings.seed;
    default:
      return NULL;
    }
}

static uint64_t *
uint64_setting (int key)
{
  switch (key)
    {
    case OPTION_MEMORY:
      return &settings.memory_bytes;
    case OPTION_HOST:
      return &settings.host_bytes;
    case OPTION_DISK:
      return &settings.disk_bytes;
    case OPTION_MEMORY_RATE:
      return &settings.memory_rate;
    case OPTION_DISK_RATE:
      return &settings.disk_rate;
    case OPTION_REMOTE_RATE:
      return &settings.remote_rate;
    default:
      return NULL;
    }
}

static error_t
parse_other_option (int key, const char *arg)
{
  switch (key)
    {
    case 'l':
      settings.address = arg;
      return 0;
    case 'w':
      settings.weights_address = arg;
      return 0;
    case OPTION_ADAPTER_STORE:
      settings.adapters_from_store = true;
      return 0;
    case OPTION_CHECK_FENCING:
      settings.check_fencing = true;
      return 0;
    case OPTION_LOG:
      settings.log_file = arg;
      return 0;
    case OPTION_CRASH_ON:
      settings.crash_on = arg;
      return 0;
    case OPTION_OVERCOMMIT:
      settings.accept_overcommit = true;
      return 0;
    case OPTION_RESUME_OWN:
      settings.resume_own_only = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  uint32_t *number32 = uint32_setting (key);
  uint64_t *number64 = uint64_setting (key);
  char *end;
  uint64_t value;

  if (number32 == NULL && number64 == NULL)
    return parse_other_option (key, arg);
  value = strtoull (arg, &end, 10);
  if (*end != '\0' || end == arg || (number32 != NULL && value > UINT32_MAX))
    argp_error (state, "invalid number: %s", arg);
  if (number32 != NULL)
    *number32 = (uint32_t)value;
  else
    *number64 = value;
  return 0;
}

static bool
start_engines (struct stand_host *host, struct engine *engines)
{
  const char *colon = strrchr (settings.address, ':');
  unsigned long port = colon == NULL ? 0 : strtoul (colon + 1, NULL, 10);

  for (uint32_t i = 0; i < settings.count; i++)
    {
      struct engine *engine = &engines[i];
      int host_chars = colon == NULL ? 0 : (int)(colon - settings.address);

      (void)g_snprintf (engine->address, sizeof engine->address, "%.*s:%lu",
                        host_chars, settings.address, port + i);
      eng_init (engine, host, &settings, i);
      if (!stand_listen (host, engine->address, eng_handle, engine))
        return false;
    }
  return true;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Stand-in for a model engine.",
          NULL,    NULL,         NULL };
  static struct stand_host host;
  static struct engine *engines;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  if (settings.token_ms == 0 || settings.count == 0
      || (settings.count > 1 && settings.log_file != NULL))
    return EXIT_FAILURE;
  stand_init (&host, "standin-engine");
  engines = g_new0 (struct engine, settings.count);
  if (!start_engines (&host, engines))
    return EXIT_FAILURE;
  stand_run (&host);
  return EXIT_SUCCESS;
}
