#include "res_impl.h"

/* Lists of replicas and copies, computed once per step.  With 60 engines and
   320 models, computing them for each pair used all CPU time of a small
   instance.  */

/* Return whether ENDPOINT is an engine of SERVICE that serves requests, at the
   latest after a short pause.  */
bool
res_is_available (struct res_table *table, const struct rte_service *service,
                  const struct flt_endpoint *endpoint)
{
  return g_str_equal (endpoint->entry.service, service->name)
         && flt_in_service (table->fleet, endpoint)
         && flt_pause_ms (table->fleet, endpoint) <= FLT_PAUSE_SHORT_MS;
}

/* Return the available engines (struct flt_endpoint) that hold MODEL.  */
const GPtrArray *
res_replica_holders (const struct res_table *table, const char *model)
{
  const GPtrArray *holders = g_hash_table_lookup (table->replicas, model);

  return holders == NULL ? table->no_engines : holders;
}

/* Return the number of available engines that hold MODEL.  */
uint32_t
res_replicas (const struct res_table *table, const char *model)
{
  return res_replica_holders (table, model)->len;
}

/* Note that ENDPOINT was ordered to evict MODEL.  */
void
res_replica_evicted (struct res_table *table, struct flt_endpoint *endpoint,
                     const char *model)
{
  GPtrArray *holders = g_hash_table_lookup (table->replicas, model);

  if (holders != NULL)
    (void)g_ptr_array_remove_fast (holders, endpoint);
}

/* Return the number of engines that load MODEL or are reserved for it.  */
uint32_t
res_pending (const struct res_table *table, const char *model)
{
  const uint32_t *count = g_hash_table_lookup (table->pending, model);

  return count == NULL ? 0 : *count;
}

/* Note that one more engine loads MODEL, which may be NULL, or is reserved for
   it.  */
void
res_add_pending (struct res_table *table, const char *model)
{
  uint32_t *count;

  if (model == NULL)
    return;
  count = g_hash_table_lookup (table->pending, model);
  if (count == NULL)
    {
      count = g_new0 (uint32_t, 1);
      g_hash_table_insert (table->pending, g_strdup (model), count);
    }
  (*count)++;
}

/* Add ENDPOINT to the engines in HOLDERS, name -> GPtrArray, for NAME.  The
   lists are reused, because allocating one for each of hundreds of models took
   a fifth of a step.  */
static void
res_add_holder (GHashTable *holders, const char *name,
                struct flt_endpoint *endpoint)
{
  GPtrArray *list = g_hash_table_lookup (holders, name);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (holders, g_strdup (name), list);
    }
  /* An engine may have a copy in memory and another on disk.  */
  if (list->len == 0 || g_ptr_array_index (list, list->len - 1) != endpoint)
    g_ptr_array_add (list, endpoint);
}

static void
res_clear_holders (GHashTable *holders)
{
  GHashTableIter iter;
  gpointer list;

  g_hash_table_iter_init (&iter, holders);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    g_ptr_array_set_size (list, 0);
}

static void
res_count_endpoint (struct res_table *table, struct flt_endpoint *endpoint)
{
  const GPtrArray *models = endpoint->entry.weights.models;

  for (guint i = 0; i < models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (models, i);

      if (flt_holds (table->fleet, endpoint, model->name, NULL))
        res_add_holder (table->replicas, model->name, endpoint);
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
  res_clear_holders (table->replicas);
  g_hash_table_remove_all (table->pending);
  g_ptr_array_set_size (table->available, 0);
  for (guint i = 0; i < all->len; i++)
    if (res_is_available (table, service, g_ptr_array_index (all, i)))
      {
        g_ptr_array_add (table->available, g_ptr_array_index (all, i));
        res_count_endpoint (table, g_ptr_array_index (all, i));
      }
  for (guint i = 0; i < table->available->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (table->available, i);
      struct res_engine *engine = res_engine (table, endpoint);

      engine->request_rate = res_engine_rate (table, endpoint);
      /* An engine stays reserved for a model while it loads it.  */
      res_add_pending (table, engine->reserved != NULL
                                  ? engine->reserved
                                  : res_loading_model (engine));
    }
}

static void
res_add_copies (GHashTable *copies, struct flt_endpoint *endpoint,
                const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    res_add_holder (copies, g_ptr_array_index (names, i), endpoint);
}

/* Update the lists of engines with a copy.  */
static void
res_find_copies (struct res_table *table)
{
  res_clear_holders (table->copies);
  for (guint i = 0; i < table->available->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (table->available, i);

      res_add_copies (table->copies, endpoint, endpoint->reported.in_memory);
      res_add_copies (table->copies, endpoint, endpoint->reported.on_disk);
    }
}

/* Return the available engines (struct flt_endpoint) that have a copy of MODEL
   in host memory or on disk.  */
GPtrArray *
res_copy_holders (struct res_table *table, const char *model)
{
  GPtrArray *holders;

  if (!table->copies_valid)
    res_find_copies (table);
  table->copies_valid = true;
  holders = g_hash_table_lookup (table->copies, model);
  return holders == NULL ? table->no_engines : holders;
}
