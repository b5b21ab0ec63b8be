#include "res_impl.h"

/* Replica counts and copy lists, computed once per step.  With 60 engines and
   320 models, computing them for each pair used all CPU time of a small
   instance.  */

/* Return whether ENDPOINT is a usable engine of SERVICE.  */
bool
res_is_available (struct res_table *table, const struct rte_service *service,
                  const struct flt_endpoint *endpoint)
{
  return g_str_equal (endpoint->entry.service, service->name)
         && flt_usable (table->fleet, endpoint);
}

/* Return the number of available engines that hold MODEL.  */
uint32_t
res_replicas (const struct res_table *table, const char *model)
{
  const uint32_t *count = g_hash_table_lookup (table->replicas, model);

  return count == NULL ? 0 : *count;
}

/* Return whether an engine is loading MODEL or is reserved for it.  */
bool
res_is_pending (const struct res_table *table, const char *model)
{
  return g_hash_table_contains (table->pending, model);
}

static void
res_add_name (GHashTable *names, const char *name)
{
  if (name != NULL)
    g_hash_table_add (names, g_strdup (name));
}

static void
res_count_endpoint (struct res_table *table, struct flt_endpoint *endpoint)
{
  const GPtrArray *models = endpoint->entry.weights.models;

  for (guint i = 0; i < models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (models, i);
      uint32_t *count = g_hash_table_lookup (table->replicas, model->name);

      if (!flt_holds (table->fleet, endpoint, model->name, NULL))
        continue;
      if (count == NULL)
        {
          count = g_new0 (uint32_t, 1);
          g_hash_table_insert (table->replicas, g_strdup (model->name), count);
        }
      (*count)++;
    }
}

/* Return the requests per second at ENDPOINT, assuming that those for each
   model are spread evenly over its replicas.  */
static double
res_engine_rate (const struct res_table *table,
                 const struct flt_endpoint *endpoint)
{
  const GPtrArray *models = endpoint->entry.weights.models;
  double rate = 0;

  for (guint i = 0; i < models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (models, i);

      rate += res_rate (table, model->name)
              / MAX (res_replicas (table, model->name), 1);
    }
  return rate;
}

/* Count the replicas of the models of SERVICE, the request rate of each of its
   engines, and the pending models.  */
void
res_count_replicas (struct res_table *table, const struct rte_service *service)
{
  GPtrArray *all = flt_all (table->fleet);

  table->generation++;
  g_hash_table_remove_all (table->replicas);
  g_hash_table_remove_all (table->pending);
  for (guint i = 0; i < all->len; i++)
    if (res_is_available (table, service, g_ptr_array_index (all, i)))
      res_count_endpoint (table, g_ptr_array_index (all, i));
  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      struct res_engine *engine;

      if (!res_is_available (table, service, endpoint))
        continue;
      engine = res_engine (table, endpoint);
      engine->request_rate = res_engine_rate (table, endpoint);
      res_add_name (table->pending, res_loading_model (engine));
      res_add_name (table->pending, engine->reserved);
    }
}

static void
res_add_copies (GHashTable *copies, struct flt_endpoint *endpoint,
                const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      GPtrArray *holders = g_hash_table_lookup (copies, name);

      if (holders == NULL)
        {
          holders = g_ptr_array_new ();
          g_hash_table_insert (copies, g_strdup (name), holders);
        }
      /* The engine may have a copy in memory and another on disk.  */
      if (holders->len == 0
          || g_ptr_array_index (holders, holders->len - 1) != endpoint)
        g_ptr_array_add (holders, endpoint);
    }
}

/* Update the lists of engines with a copy.  They are reused, because
   allocating 320 of them took a fifth of a step.  */
static void
res_find_copies (struct res_table *table, const struct rte_service *service)
{
  GPtrArray *all = flt_all (table->fleet);
  GHashTableIter iter;
  gpointer holders;

  g_hash_table_iter_init (&iter, table->copies);
  while (g_hash_table_iter_next (&iter, NULL, &holders))
    g_ptr_array_set_size (holders, 0);
  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);

      if (!res_is_available (table, service, endpoint))
        continue;
      res_add_copies (table->copies, endpoint, endpoint->reported.in_memory);
      res_add_copies (table->copies, endpoint, endpoint->reported.on_disk);
    }
}

/* Return the engines of SERVICE (struct flt_endpoint) that have a copy of
   MODEL in host memory or on disk.  */
GPtrArray *
res_copy_holders (struct res_table *table, const struct rte_service *service,
                  const char *model)
{
  GPtrArray *holders;

  if (!table->copies_valid)
    res_find_copies (table, service);
  table->copies_valid = true;
  holders = g_hash_table_lookup (table->copies, model);
  return holders == NULL ? table->no_engines : holders;
}
