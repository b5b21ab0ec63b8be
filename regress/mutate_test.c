#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "chg.h"
#include "env.h"
#include "mutate.h"
#include "unit.h"

#define SEED   20261204
#define INPUTS 100000

static uint32_t accepted;

static const char document[]
    = "{\"name\":\"r\",/*c*/\"classes\":{\"c\":{\"deadline_ms\":40,"
      "\"priority\":1}},\"pools\":{\"p\":{\"memory_bytes\":100,"
      "\"endpoints\":[{\"address\":\"10.0.0.1:80\",\"zone\":\"z\"}]}},"
      "\"models\":{\"m\":{\"pool\":\"p\",\"class\":\"c\",\"version\":\"1\","
      "\"bytes\":9,\"adapter_bytes\":2,\"replicas\":{\"z\":1}}},"
      "\"adapters\":{\"a\":{\"model\":\"m\",\"version\":\"1\",\"bytes\":1}},"
      "\"services\":{\"s\":{\"class\":\"c\",\"endpoints\":[]}}}";

static const char record[]
    = "{\"generation\":3,\"digest\":\"00ff\",\"author\":\"a\",\"comment\":"
      "\"\",\"change_id\":\"1\",\"time_ms\":5,\"document\":\"{}\","
      "\"patch\":{\"base\":\"0123456789abcdef\",\"digest\":"
      "\"fedcba9876543210\",\"hunks\":[[3,1,\"x\"],[4,0,\"y\"]]}}";

static void
decode_document (const char *data, size_t bytes)
{
  struct env_document *parsed = env_parse (data, bytes, NULL);

  accepted += parsed != NULL;
  env_unref (parsed);
}

static void
decode_record (const char *data, size_t bytes)
{
  struct chg_record *parsed = chg_record_parse (data, bytes);

  accepted += parsed != NULL;
  chg_record_free (parsed);
}

/* Runs one target; some mutations must be accepted and some refused, or the
   inputs do not reach the decoder's depths.  */
static void
run (const char *name, const char *input, size_t bytes,
     void (*decode) (const char *data, size_t bytes))
{
  struct mutate_target target = { name, input, bytes, decode };

  accepted = 0;
  mutate_run (&target, SEED, INPUTS);
  printf ("%s: %u of %u accepted, seed %u\n", name, accepted, INPUTS, SEED);
  CU_ASSERT_TRUE (accepted > 0);
  CU_ASSERT_TRUE (accepted < INPUTS);
}

/* Guards against documents that crash the instance that reads them.  */
static void
test_document (void)
{
  run ("document", document, sizeof document - 1, decode_document);
}

/* Guards against stored values that crash the instance that reads them.  */
static void
test_record (void)
{
  run ("record", record, sizeof record - 1, decode_record);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "document", test_document },
                                            { "record", test_record },
                                            { NULL, NULL } };

  return unit_main ("mutate", tests);
}
