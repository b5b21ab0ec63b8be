#include <string.h>
#include <time.h>

#include <gsl/gsl_rng.h>

#include "evs.h"
#include "sse.h"
#include "unit.h"

/* Tests of the parsers of event streams on input that comes in many pieces. */

/* Below the limits of 256 KiB and 1 MiB for an event.  */
#define EVS_BYTES 262144
#define SSE_BYTES 1000000
/* Linear work takes some milliseconds.  */
#define CPU_MAX_S  2.0
#define SEEDS      200
#define TOKENS_MAX 60
#define CHUNK_MAX  7
#define SEPARATOR  "|"

static double
cpu_s (void)
{
  return (double)clock () / CLOCKS_PER_SEC;
}

static void
on_event (void *arg, const char *data, size_t bytes)
{
  GString *out = arg;

  g_string_append_len (out, data, (gssize)bytes);
  g_string_append (out, SEPARATOR);
}

/* Guards against an instance that answers nobody for seconds while an endpoint
   sends one event without end in small chunks.  */
static void
test_endless_event (void)
{
  GString *out = g_string_new (NULL);
  struct evs_parser parser;
  double start_s = cpu_s ();

  evs_init (&parser);
  evs_feed (&parser, "data: ", 6, on_event, out);
  for (size_t i = 6; i < EVS_BYTES; i++)
    evs_feed (&parser, "x", 1, on_event, out);
  CU_ASSERT_FALSE (parser.too_long);
  CU_ASSERT_EQUAL (out->len, 0);
  evs_feed (&parser, "x", 1, on_event, out);
  CU_ASSERT_TRUE (parser.too_long);
  CU_ASSERT_TRUE (cpu_s () - start_s < CPU_MAX_S);
  evs_clear (&parser);
  g_string_free (out, TRUE);
}

static bool
ignore_event (void *arg, enum rq_event_kind event, const char *text,
              size_t bytes)
{
  (void)event;
  (void)text;
  (void)bytes;
  ++*(uint32_t *)arg;
  return true;
}

/* The same for the parser of the OpenAI front.  */
static void
test_endless_sse_event (void)
{
  struct sse_parser parser;
  uint32_t events = 0;
  double start_s = cpu_s ();

  sse_init (&parser);
  for (size_t i = 0; i < SSE_BYTES; i++)
    CU_ASSERT_TRUE_FATAL (sse_feed (&parser, "x", 1, ignore_event, &events));
  CU_ASSERT_EQUAL (events, 0);
  CU_ASSERT_TRUE (cpu_s () - start_s < CPU_MAX_S);
  sse_clear (&parser);
}

/* Feed TEXT in pieces of at most CHUNK_BYTES and return what was passed on. */
static char *
parse (const GString *text, gsl_rng *rng, size_t chunk_bytes)
{
  GString *out = g_string_new (NULL);
  struct evs_parser parser;
  size_t bytes;

  evs_init (&parser);
  for (size_t i = 0; i < text->len; i += bytes)
    {
      /* MIN evaluates its arguments twice.  */
      bytes = 1 + gsl_rng_uniform_int (rng, chunk_bytes);
      bytes = MIN (bytes, text->len - i);
      evs_feed (&parser, text->str + i, bytes, on_event, out);
    }
  evs_clear (&parser);
  return g_string_free (out, FALSE);
}

/* Guards against events whose bounds depend on how the stream was cut into
   pieces.  */
static void
test_pieces (void)
{
  static const char *const tokens[]
      = { "a", "id: 1", ":", "\n", "\n", "\r\n", "\r\n", "data: x\n\n" };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      GString *text = g_string_new (NULL);
      char *whole;
      char *pieces;

      gsl_rng_set (rng, seed);
      for (size_t i = gsl_rng_uniform_int (rng, TOKENS_MAX); i > 0; i--)
        g_string_append (
            text, tokens[gsl_rng_uniform_int (rng, G_N_ELEMENTS (tokens))]);
      whole = parse (text, rng, TOKENS_MAX * 10);
      pieces = parse (text, rng, CHUNK_MAX);
      if (strcmp (whole, pieces) != 0)
        printf ("\nseed %lu: \"%s\", \"%s\"\n", seed, whole, pieces);
      CU_ASSERT_STRING_EQUAL (whole, pieces);
      g_free (whole);
      g_free (pieces);
      g_string_free (text, TRUE);
    }
  gsl_rng_free (rng);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "event without end", test_endless_event },
          { "event without end, OpenAI front", test_endless_sse_event },
          { "pieces", test_pieces },
          { NULL, NULL } };

  return unit_main ("evs", tests);
}
