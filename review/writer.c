/* Another writer of the store: an entry under servers/ with a field of another
   type, written again at each report interval as an engine does.

   rig writer STORE-PORT DELAY-S MODELS  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define BEAT_S     1.2
#define VALUE_MAX  1048576 /* ValueBytes */
#define MODEL_MAX  40
#define LETTERS    26
#define HEAD_BYTES 512

int
rig_writer_main (int argc, char **argv)
{
  uint16_t port;
  int models;
  char *entry;

  if (argc != 4)
    return 2;
  port = (uint16_t)atoi (argv[1]);
  models = atoi (argv[3]);
  entry = malloc ((size_t)models * MODEL_MAX + HEAD_BYTES);
  rig_sleep (atof (argv[2]));
  for (long seq = 1;; seq++)
    {
      size_t bytes;
      char *value;
      char *body = NULL;
      int status = 0;

      /* Slots is a text; in the entries of engines it is a number.  */
      bytes = (size_t)sprintf (
          entry,
          "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:9\","
          "\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":\"many\","
          "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":%ld,\"Models\":[",
          seq);
      for (int i = 0; i < models; i++)
        bytes += (size_t)sprintf (
            entry + bytes, "%s{\"Name\":\"%c%c%c%c\",\"Version\":1}",
            i == 0 ? "" : ",", 'a' + i % LETTERS, 'a' + i / LETTERS % LETTERS,
            'a' + i / (LETTERS * LETTERS) % LETTERS,
            'a' + i / (LETTERS * LETTERS * LETTERS) % LETTERS);
      bytes += (size_t)sprintf (entry + bytes, "]}");
      if (bytes > VALUE_MAX)
        return 2;
      value = rig_base64 (entry, bytes);
      if (asprintf (&body,
                    "{\"Precondition\":[],\"Puts\":[{\"Key\":"
                    "\"servers/other\",\"Value\":\"%s\",\"Lease\":0}],"
                    "\"Remove\":[]}",
                    value)
          > 0)
        status = rig_post_store (port, "/api/kv-txn", body);
      rig_record ("another writer wrote servers/other, %zu bytes, Slots a "
                  "text: %d",
                  bytes, status);
      free (body);
      free (value);
      rig_sleep (BEAT_S);
    }
}
