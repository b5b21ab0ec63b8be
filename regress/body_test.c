#include <string.h>

#include "body.h"
#include "sse.h"
#include "unit.h"

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]"

struct body_case
{
  bool chat;
  bool valid;
  const char *text;
};

/* Guards against forwarding bodies that an engine cannot serve, and against
   refusing valid ones.  */
static void
test_bodies (void)
{
  static const struct body_case cases[] = {
    { false, true, "{\"model\":\"m\",\"prompt\":\"x\"}" },
    { false, true, "{\"model\":\"m\",\"prompt\":[1,2],\"max_tokens\":1}" },
    { false, true,
      "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1000000}" },
    { true, true, "{\"model\":\"m\"," MESSAGES ",\"temperature\":1}" },
    { true, true, "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":null}" },
    { false, false, "" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\"" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\"}}" },
    { false, false, "[]" },
    { false, false, "{\"prompt\":\"x\"}" },
    { false, false, "{\"model\":7,\"prompt\":\"x\"}" },
    { false, false, "{\"model\":\"\",\"prompt\":\"x\"}" },
    { false, false, "{\"model\":\"m\"}" },
    { false, false, "{\"model\":\"m\",\"prompt\":{}}" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}" },
    { false, false,
      "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1000001}" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e99}" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":\"yes\"}" },
    { true, false, "{\"model\":\"m\",\"messages\":[]}" },
    { true, false, "{\"model\":\"m\",\"messages\":[\"x\"]}" },
    { true, false, "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}" },
    { true, false, "{\"model\":\"m\"," MESSAGES ",\"top_p\":\"1\"}" },
    { false, false, "{\"model\":\"m\",\"prompt\":\"\xff\"}" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct cd_body body;
      const char *failure = cd_body_parse (&body, cases[i].chat, cases[i].text,
                                           strlen (cases[i].text));

      if ((failure == NULL) != cases[i].valid)
        printf ("\n    %s: %s", cases[i].text,
                failure == NULL ? "ok" : failure);
      CU_ASSERT_EQUAL (failure == NULL, cases[i].valid);
      cd_body_clear (&body);
    }
}

/* Guards against passing on engine fields that the caller has set, and against
   resuming a request without its id.  */
static void
test_write (void)
{
  static const char text[]
      = "{\"model\":\"m\",\"prompt\":\"x\",\"priority\":99"
        ",\"resume_from\":3,\"resume_id\":\"y\"}";
  struct cd_body body;
  char *out;

  CU_ASSERT_PTR_NULL_FATAL (cd_body_parse (&body, false, text, strlen (text)));
  out = cd_body_write (&body, 5, "id", 0);
  CU_ASSERT_STRING_EQUAL (out,
                          "{\"model\":\"m\",\"prompt\":\"x\",\"priority\":5}");
  g_free (out);
  out = cd_body_write (&body, 5, "id", 2);
  CU_ASSERT_STRING_EQUAL (out,
                          "{\"model\":\"m\",\"prompt\":\"x\",\"priority\":5,"
                          "\"resume_id\":\"id\",\"resume_from\":2}");
  g_free (out);
  cd_body_clear (&body);
}

static bool
on_event (void *arg, enum rq_event_kind kind, const char *data, size_t bytes)
{
  static const char letters[] = { 'T', 'D', 'E' };

  (void)data;
  g_string_append_printf (arg, "%c%zu ", letters[kind], bytes);
  return true;
}

/* Guards against lost, duplicated or misparsed events when reads split the
   stream at arbitrary positions.  */
static void
test_stream (void)
{
  static const char stream[]
      = ": ping\n\ndata: {\"a\":1}\n\ndata:{\"b\":\"[DONE]\"}\r\n\r\n"
        "event: x\ndata: {\"error\":null}\n\ndata: {\"error\":{}}\n\n"
        "data: {\"text\":\"\\\"error\\\"\"}\n\ndata: [DONE]\r\n\r\ndata: x";
  size_t bytes = strlen (stream);

  for (size_t first = 0; first <= bytes; first++)
    for (size_t step = 1; step < 8; step++)
      {
        GString *events = g_string_new (NULL);
        struct sse_parser parser;

        sse_init (&parser);
        CU_ASSERT_TRUE (sse_feed (&parser, stream, first, on_event, events));
        for (size_t at = first; at < bytes; at += step)
          CU_ASSERT_TRUE (sse_feed (&parser, stream + at,
                                    MIN (step, bytes - at), on_event, events));
        CU_ASSERT_STRING_EQUAL (events->str, "T15 T23 T31 E20 T28 D16 ");
        sse_clear (&parser);
        g_string_free (events, TRUE);
      }
}

/* Guards against unbounded memory use by an event that does not end.  */
static void
test_large (void)
{
  static char block[65536];
  struct sse_parser parser;
  uint32_t accepted_blocks = 0;

  memset (block, 'x', sizeof block);
  sse_init (&parser);
  while (accepted_blocks < 64
         && sse_feed (&parser, block, sizeof block, on_event, NULL))
    accepted_blocks++;
  CU_ASSERT_TRUE (accepted_blocks >= 15 && accepted_blocks <= 16);
  sse_clear (&parser);
}

/* Guards against bodies whose parsed form takes far more memory than
   estimated, and against refusing text for what its strings contain.  */
static void
test_memory (void)
{
  static const char text[] = "{\"a\":\"[[{{,,\\\"[{,\\\\\"}";
  static const char plain[] = "{\"a\":\"0123456789abc\"}";
  char *values = g_strnfill (3000, '{');
  char *after_string = g_strdup_printf ("\"\\\\\"%s", values);

  CU_ASSERT_EQUAL (strlen (text), strlen (plain));
  CU_ASSERT_EQUAL (cd_body_memory_bytes (text, strlen (text)),
                   cd_body_memory_bytes (plain, strlen (plain)));
  CU_ASSERT_TRUE (cd_body_memory_bytes (values, 3000) > 3000 * 800);
  CU_ASSERT_TRUE (cd_body_memory_bytes (after_string, strlen (after_string))
                  > 3000 * 800);
  g_free (after_string);
  g_free (values);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "bodies", test_bodies }, { "write", test_write },
          { "stream", test_stream }, { "large", test_large },
          { "memory", test_memory }, { NULL, NULL } };

  return unit_main ("body", tests);
}
