#include <string.h>

#include "engine.h"

static void
eng_checkpoint_free (struct eng_checkpoint *cached)
{
  g_free (cached->name);
  g_free (cached->version);
  g_free (cached);
}

/* Return the cached checkpoint of NAME and VERSION, or NULL.  */
struct eng_checkpoint *
eng_checkpoint (struct engine *engine, const char *name, const char *version)
{
  for (GList *l = engine->cached.head; l != NULL; l = l->next)
    {
      struct eng_checkpoint *cached = l->data;

      if (strcmp (cached->name, name) == 0
          && strcmp (cached->version, version) == 0)
        return cached;
    }
  return NULL;
}

/* Assign the most recently loaded checkpoints to host memory and the next ones
   to disk, and evict the others.  */
static void
eng_cache_assign_tiers (struct engine *engine)
{
  uint64_t host_bytes = 0;
  uint64_t disk_bytes = 0;
  GList *next;

  for (GList *l = engine->cached.head; l != NULL; l = next)
    {
      struct eng_checkpoint *cached = l->data;

      next = l->next;
      if (host_bytes + cached->bytes <= engine->options->host_bytes)
        {
          cached->tier = ENG_TIER_HOST_MEMORY;
          host_bytes += cached->bytes;
          continue;
        }
      if (disk_bytes + cached->bytes <= engine->options->disk_bytes)
        {
          cached->tier = ENG_TIER_DISK;
          disk_bytes += cached->bytes;
          continue;
        }
      eng_checkpoint_free (cached);
      g_queue_delete_link (&engine->cached, l);
    }
}

/* Add the checkpoint of MODEL to the cache as the most recently loaded one. */
void
eng_cache_put (struct engine *engine, const struct eng_model *model)
{
  struct eng_checkpoint *cached
      = eng_checkpoint (engine, model->name, model->version);

  if (cached == NULL)
    {
      cached = g_new0 (struct eng_checkpoint, 1);
      cached->name = g_strdup (model->name);
      cached->version = g_strdup (model->version);
      cached->bytes = model->bytes;
    }
  else
    g_queue_remove (&engine->cached, cached);
  g_queue_push_head (&engine->cached, cached);
  eng_cache_assign_tiers (engine);
}
