#include <stdio.h>

#include <glib.h>

#include "env.h"

#define INPUT_MAX_BYTES (1 << 20)

/* Parses the environment document on standard input and prints a summary or
   the error.  Guards against accepting invalid documents and against error
   messages without the position of the error.  */
int
main (void)
{
  static char text[INPUT_MAX_BYTES];
  size_t bytes = fread (text, 1, sizeof text, stdin);
  GError *error = NULL;
  struct env_document *document = env_parse_for (text, bytes, "trial", &error);

  if (document == NULL)
    {
      printf ("refused: %s\n", error->message);
      g_error_free (error);
      return 0;
    }
  printf ("name %s\n", env_name (document));
  for (guint i = 0; i < env_pools (document)->len; i++)
    {
      const struct env_pool *pool
          = g_ptr_array_index (env_pools (document), i);

      printf ("pool %s: %u endpoints, batch %u\n", pool->name,
              pool->endpoints->len, pool->batch);
    }
  for (guint i = 0; i < env_models (document)->len; i++)
    {
      const struct env_model *model
          = g_ptr_array_index (env_models (document), i);

      printf ("model %s: pool %s, class %s, budget %u in za, %u in zb\n",
              model->name, model->pool->name, model->default_class->name,
              env_budget (model, "za"), env_budget (model, "zb"));
    }
  printf ("%u adapters, %u services, %u zones, retry %u%%\n",
          env_adapters (document)->len, env_services (document)->len,
          env_zones (document)->len, env_limits (document)->retry_percent);
  env_unref (document);
  return 0;
}
