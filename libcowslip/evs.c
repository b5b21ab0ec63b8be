#include <stdlib.h>
#include <string.h>

#include "evs.h"

/* Prepare CUTTER.  */
void
evs_init (struct evs_cutter *cutter)
{
  *cutter = (struct evs_cutter){ .partial = g_string_new (NULL) };
}

/* Free what CUTTER holds.  */
void
evs_clear (struct evs_cutter *cutter)
{
  if (cutter->partial != NULL)
    g_string_free (cutter->partial, TRUE);
  cutter->partial = NULL;
}

/* The stream goes on at another endpoint, with a whole event.  */
void
evs_restart (struct evs_cutter *cutter)
{
  g_string_truncate (cutter->partial, 0);
}

/* Return the length of the first whole event of TEXT, its blank line
   included, or 0.  */
static size_t
evs_event_bytes (const char *text, size_t bytes)
{
  for (size_t i = 0; i + 1 < bytes; i++)
    {
      if (text[i] != '\n')
        continue;
      if (text[i + 1] == '\n')
        return i + 2;
      if (i + 2 < bytes && text[i + 1] == '\r' && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Store the id of the event in ID.  Return false if it has none that is a
   number.  */
static bool
evs_event_id (const char *text, size_t bytes, uint64_t *id)
{
  static const char name[] = "id:";
  const char *line = text;
  const char *end = text + bytes;

  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));

      if ((size_t)(end - line) > sizeof name
          && strncmp (line, name, sizeof name - 1) == 0)
        {
          char *stop;

          *id = strtoull (line + sizeof name - 1, &stop, 10);
          return stop != line + sizeof name - 1;
        }
      line = next == NULL ? end : next + 1;
    }
  return false;
}

/* Pass the whole events in DATA, after what was fed before, to PASS.  An event
   that was passed on before by its id is left out.  */
void
evs_feed (struct evs_cutter *cutter, const char *data, size_t bytes,
          evs_pass pass, void *arg)
{
  size_t begin = 0;
  size_t used;

  g_string_append_len (cutter->partial, data, (gssize)bytes);
  while ((used = evs_event_bytes (cutter->partial->str + begin,
                                  cutter->partial->len - begin))
         > 0)
    {
      const char *event = cutter->partial->str + begin;
      uint64_t id;

      if (!evs_event_id (event, used, &id))
        pass (arg, event, used);
      else if (!cutter->any || id > cutter->last_id)
        {
          cutter->any = true;
          cutter->last_id = id;
          pass (arg, event, used);
        }
      begin += used;
    }
  g_string_erase (cutter->partial, 0, (gssize)begin);
}
