#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "arrivals.h"
#include "reply.h"
#include "unit.h"

#define MIX                                                                   \
  "\"mix\": [{\"kind\": \"chat\", \"models\": [\"m\"], \"weight\": 3},"       \
  " {\"name\": \"b\", \"kind\": \"service\", \"services\": [\"s\"]}]}"
#define SECONDS 20

static struct ld_experiment *
parse_experiment (const char *arrival)
{
  char *text = g_strdup_printf ("{\"duration_s\": %d, /* comment */ "
                                "\"arrival\": %s, " MIX,
                                SECONDS, arrival);
  GError *error = NULL;
  struct ld_experiment *experiment = ld_experiment_parse (text, &error);

  CU_ASSERT_PTR_NOT_NULL_FATAL (experiment);
  g_free (text);
  return experiment;
}

/* Count the arrivals in each second and return a digest of all arrivals.  */
static uint64_t
count_arrivals (const struct ld_experiment *experiment, uint64_t seed,
                uint32_t counts[SECONDS])
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  struct ld_arrivals *arrivals;
  const struct ld_mix *mix;
  uint64_t digest = 0;
  uint64_t last_us = 0;
  uint64_t at_us;

  memset (counts, 0, SECONDS * sizeof counts[0]);
  gsl_rng_set (random, seed);
  arrivals = ld_arrivals_new (experiment, random, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (arrivals);
  while (ld_arrivals_next (arrivals, &at_us, &mix))
    {
      CU_ASSERT_TRUE (at_us >= last_us);
      last_us = at_us;
      counts[at_us / 1000000]++;
      digest = digest * 31 + at_us + (uint64_t)mix->kind;
    }
  ld_arrivals_free (arrivals);
  gsl_rng_free (random);
  return digest;
}

/* Guards against a swing that does not reach its factor, and against runs that
   are not reproducible from their seed.  */
static void
test_swing (void)
{
  struct ld_experiment *experiment = parse_experiment (
      "{\"kind\": \"swing\", \"rate\": 500, \"factor\": 10,"
      " \"at_s\": 5, \"rise_s\": 5, \"hold_s\": 5}");
  uint32_t counts[SECONDS];
  uint64_t digest = count_arrivals (experiment, 1, counts);

  CU_ASSERT_TRUE (counts[2] > 400 && counts[2] < 600);
  CU_ASSERT_TRUE (counts[12] > 4700 && counts[12] < 5300);
  CU_ASSERT_TRUE (counts[7] > 2300 && counts[7] < 3200);
  CU_ASSERT_EQUAL (digest, count_arrivals (experiment, 1, counts));
  CU_ASSERT_NOT_EQUAL (digest, count_arrivals (experiment, 2, counts));
  ld_experiment_free (experiment);
}

/* Guards against bursts that are spread over time or missing.  */
static void
test_burst (void)
{
  struct ld_experiment *experiment = parse_experiment (
      "{\"kind\": \"burst\", \"burst\": 30, \"every_ms\": 2000}");
  uint32_t counts[SECONDS];

  count_arrivals (experiment, 1, counts);
  for (uint32_t s = 0; s < SECONDS; s++)
    CU_ASSERT_EQUAL (counts[s], s % 2 == 0 ? 30 : 0);
  ld_experiment_free (experiment);
}

/* Guards against a replay that changes the order or kind of requests, and
   against an invalid line that is ignored.  */
static void
test_replay (void)
{
  char file[] = "/tmp/cowslipload.XXXXXX";
  int fd = mkstemp (file);
  char *arrival
      = g_strdup_printf ("{\"kind\": \"replay\", \"file\": \"%s\"}", file);
  struct ld_experiment *experiment = parse_experiment (arrival);
  uint32_t counts[SECONDS];

  g_file_set_contents (file, "# ms\n3500,b\n200\n", -1, NULL);
  count_arrivals (experiment, 1, counts);
  CU_ASSERT_EQUAL (counts[0], 1);
  CU_ASSERT_EQUAL (counts[3], 1);
  g_file_set_contents (file, "200,unknown\n", -1, NULL);
  CU_ASSERT_PTR_NULL (ld_arrivals_new (experiment, NULL, NULL));
  ld_experiment_free (experiment);
  g_free (arrival);
  close (fd);
  unlink (file);
}

/* Guards against experiments that are accepted although they contain unknown
   or invalid members.  */
static void
test_refused (void)
{
  static const char *const invalid[]
      = { "{\"arrival\": {\"kind\": \"poisson\", \"rate\": 1}, \"x\": 1, " MIX,
          "{\"arrival\": {\"kind\": \"poisson\"}, " MIX,
          "{\"arrival\": {\"kind\": \"burst\", \"burst\": 1}, " MIX,
          "{\"arrival\": {\"kind\": \"poisson\", \"rate\": -1}, " MIX,
          "{\"arrival\": {\"kind\": \"poisson\", \"rate\": 1}}",
          "{" };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      GError *error = NULL;

      CU_ASSERT_PTR_NULL (ld_experiment_parse (invalid[i], &error));
      CU_ASSERT_PTR_NOT_NULL_FATAL (error);
      g_error_free (error);
    }
}

/* Guards against events that are lost or merged when a chunk boundary splits
   the stream, at every possible offset.  */
static void
test_events (void)
{
  static const char stream[]
      = "data: {\"choices\":[{\"text\":\" one\"}]}\n\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\" two\"}}]}\n\n"
        "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}"
        "\n\ndata: [DONE]\n\n";

  for (size_t split = 0; split < sizeof stream; split++)
    {
      struct ld_reply reply;
      uint32_t tokens;

      ld_reply_init (&reply);
      ld_reply_set_head (&reply, 200, "text/event-stream");
      tokens = ld_reply_add_body (&reply, stream, split);
      CU_ASSERT_EQUAL (reply.done, split == sizeof stream - 1);
      tokens += ld_reply_add_body (&reply, stream + split,
                                   sizeof stream - 1 - split);
      CU_ASSERT_EQUAL (tokens, 2);
      CU_ASSERT_STRING_EQUAL (reply.text->str, " one two");
      CU_ASSERT_TRUE (reply.done);
      CU_ASSERT_FALSE (ld_reply_is_refusal (&reply));
      ld_reply_clear (&reply);
    }
}

/* Guards against a refusal in a stream that is counted as an incomplete
   response.  */
static void
test_refusal (void)
{
  static const char stream[]
      = "data: {\"error\":{\"reason\":\"deadline\",\"not_run\":false}}\n\n";
  struct ld_reply reply;

  ld_reply_init (&reply);
  ld_reply_set_head (&reply, 200, "text/event-stream");
  ld_reply_add_body (&reply, stream, sizeof stream - 1);
  CU_ASSERT_TRUE (ld_reply_is_refusal (&reply));
  CU_ASSERT_STRING_EQUAL (reply.reason, "deadline");
  CU_ASSERT_FALSE (reply.not_run);
  CU_ASSERT_FALSE (reply.done);
  ld_reply_clear (&reply);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "swing", test_swing },
                                            { "burst", test_burst },
                                            { "replay", test_replay },
                                            { "refused", test_refused },
                                            { "events", test_events },
                                            { "refusal", test_refusal },
                                            { NULL, NULL } };

  return unit_main ("load", tests);
}
