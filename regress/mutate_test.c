#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "chg.h"
#include "cowslip.h"
#include "env.h"
#include "kv_etcd_json.h"
#include "mutate.h"
#include "rpc_message.h"
#include "set.h"
#include "sse.h"
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

static const char txn_reply[]
    = "{\"header\":{\"revision\":\"7\"},\"succeeded\":true,\"responses\":["
      "{\"response_put\":{}},{\"response_range\":{\"kvs\":[{\"key\":"
      "\"YQ==\",\"value\":\"YmM=\",\"mod_revision\":\"5\",\"lease\":"
      "\"3\"}],\"count\":\"1\"}}]}";

static const char stream[]
    = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n: c\n\n"
      "event: x\r\ndata: {}\r\n\r\ndata: [DONE]\n\n";

static char *settings_file;

static void
decode_txn_reply (const char *data, size_t bytes)
{
  struct json_object *object = kv_etcd_parse (data, bytes);
  GArray *pairs = kv_etcd_pairs_new ();
  struct kv_result result = { 0 };

  if (object != NULL)
    accepted += kv_etcd_decode_txn (object, KV_ETCD_TXN, pairs, &result);
  g_array_free (pairs, TRUE);
  json_object_put (object);
}

static bool
count_event (void *arg, enum rq_event_kind kind, const char *data,
             size_t bytes)
{
  (void)arg;
  (void)data;
  (void)bytes;
  accepted += kind == RQ_EVENT_END;
  return true;
}

/* Feeds the stream in two pieces, because an event may be split across
   reads.  */
static void
decode_stream (const char *data, size_t bytes)
{
  struct sse_parser parser;

  sse_init (&parser);
  if (sse_feed (&parser, data, bytes / 2, count_event, NULL))
    (void)sse_feed (&parser, data + bytes / 2, bytes - bytes / 2, count_event,
                    NULL);
  sse_clear (&parser);
}

static void
decode_settings (const char *data, size_t bytes)
{
  struct set_settings *parsed = set_parse (data, bytes, settings_file, NULL);

  accepted += parsed != NULL;
  set_free (parsed);
}

static void
decode_claim (const char *data, size_t bytes)
{
  cs_claim claim = { 0 };

  accepted += rpc_message_decode ((xdrproc_t)xdr_cs_claim, &claim,
                                  (const uint8_t *)data, bytes);
  xdr_free ((xdrproc_t)xdr_cs_claim, (char *)&claim);
}

/* Runs one target.  Some mutations must be accepted and some refused;
   otherwise the inputs exercise only part of the decoder.  */
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

/* Guards against crashes on invalid environment documents.  */
static void
test_document (void)
{
  run ("document", document, sizeof document - 1, decode_document);
}

/* Guards against crashes on invalid stored change records.  */
static void
test_record (void)
{
  run ("record", record, sizeof record - 1, decode_record);
}

/* Guards against crashes on invalid responses of the key-value service.  */
static void
test_txn_reply (void)
{
  run ("answer", txn_reply, sizeof txn_reply - 1, decode_txn_reply);
}

/* Guards against crashes on invalid event streams of an engine.  */
static void
test_stream (void)
{
  run ("stream", stream, sizeof stream - 1, decode_stream);
}

/* Guards against crashes on invalid settings, which must be refused.  */
static void
test_settings (void)
{
  static const char format[]
      = "{\"instance\":\"i\",\"member_number\":1,\"zone\":\"z\",\"region\":"
        "\"r\",\"environment\":\"e\",\"http_address\":\"10.0.0.1:1\","
        "\"rpc_address\":\"10.0.0.1:2\",\"kv_address\":\"10.0.0.1:3\","
        "\"peers\":[\"10.0.0.2:2\"],\"peer_key_file\":\"key\","
        "\"operator_token_file\":\"key\"}";
  char *directory = g_dir_make_tmp ("mutate-XXXXXX", NULL);
  char *key = g_build_filename (directory, "key", NULL);

  settings_file = g_build_filename (directory, "settings", NULL);
  g_file_set_contents (key, "0123456789abcdef0123456789abcdef", -1, NULL);
  run ("settings", format, sizeof format - 1, decode_settings);
  g_unlink (key);
  g_rmdir (directory);
  g_free (key);
  g_free (settings_file);
  g_free (directory);
}

/* Guards against crashes on invalid claims from peers.  The decoder gets only
   authenticated messages, but a peer may run another version.  */
static void
test_claim (void)
{
  char name[] = "booking/0123";
  char body[] = "answer";
  cs_claim claim = { .kind = CS_CLAIM_COMPLETE,
                     .key = name,
                     .claim_id = 7,
                     .owner = name,
                     .status = 200,
                     .content_type = name,
                     .body = { sizeof body, body } };
  GByteArray *record = rpc_message_encode ((xdrproc_t)xdr_cs_claim, &claim);

  run ("claim", (const char *)record->data, record->len, decode_claim);
  g_byte_array_free (record, TRUE);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "document", test_document },
                                            { "record", test_record },
                                            { "answer", test_txn_reply },
                                            { "stream", test_stream },
                                            { "settings", test_settings },
                                            { "claim", test_claim },
                                            { NULL, NULL } };

  return unit_main ("mutate", tests);
}
