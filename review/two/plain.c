#include <stdio.h>
#include <string.h>

#include "plain.h"
#include "rig.h"
#include "store.h"

bool
plain_answer (int fd, int status, const char *request_id,
              const char *engine_id, const char *extra, const char *body)
{
  char text[2048];

  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 %d X\r\nX-Cowslipcove-Request-Id: %s\r\n"
                  "%s%s%sX-Cowslipcove-Instance-Id: %s\r\n%s"
                  "Content-Length: %zu\r\n\r\n%s",
                  status, request_id,
                  status == 200 ? "X-Cowslipcove-Response-Seal: s-" : "",
                  status == 200 ? request_id : "", status == 200 ? "\r\n" : "",
                  engine_id, extra, strlen (body), body);
  return rig_write (fd, text, strlen (text));
}

void
plain_put_entry (const struct plain_entry *entry)
{
  char key[64];
  char born[64] = "";
  char text[1024];

  if (entry->born_ms != 0)
    (void)snprintf (born, sizeof born, ",\"born\":%llu",
                    (unsigned long long)entry->born_ms);
  (void)snprintf (key, sizeof key, "servers/%s", entry->id);
  (void)snprintf (text, sizeof text,
                  "{\"Service\":\"%s\",\"Address\":\"%s\","
                  "\"Zone\":\"port-louis\",\"Version\":\"1\",\"Slots\":%u,"
                  "\"State\":\"%s\",\"ColdLeftMs\":0,\"Seq\":%u%s}",
                  entry->service, entry->address, entry->slots, entry->state,
                  entry->seq, born);
  store_put (key, text);
}

void
plain_put_config (uint32_t version, const char *service, const char *second,
                  uint32_t timeout_ms)
{
  char other[128] = "";
  char text[2048];

  if (second != NULL)
    (void)snprintf (other, sizeof other, ",{\"Name\":\"%s\",\"MaxConns\":110}",
                    second);
  (void)snprintf (
      text, sizeof text,
      "{\"Version\":%u,\"Routes\":[{\"Name\":\"r-book\",\"Host\":\"shop."
      "example\",\"PathPrefix\":\"/book/\",\"Kind\":\"non_idempotent\","
      "\"TimeoutMs\":%u,\"TargetLatencyMs\":300,\"Priority\":2,"
      "\"MaxAttempts\":1,\"Service\":\"%s\"}],"
      "\"Services\":[{\"Name\":\"%s\",\"MaxConns\":110}%s],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}}",
      version, timeout_ms, service, service, other);
  store_put ("op/config", text);
}
