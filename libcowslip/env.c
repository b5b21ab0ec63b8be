#include <string.h>

#include "env_document.h"

G_DEFINE_QUARK (env - error - quark, env_error)

static void
env_class_free (gpointer data)
{
  struct env_class *class = data;

  g_free (class->name);
  g_free (class);
}

static void
env_pool_free (gpointer data)
{
  struct env_pool *pool = data;

  g_free (pool->name);
  if (pool->endpoints != NULL)
    g_ptr_array_free (pool->endpoints, TRUE);
  g_free (pool);
}

static void
env_model_free (gpointer data)
{
  struct env_model *model = data;

  g_free (model->name);
  g_free (model->version);
  if (model->budgets != NULL)
    g_ptr_array_free (model->budgets, TRUE);
  g_free (model);
}

static void
env_adapter_free (gpointer data)
{
  struct env_adapter *adapter = data;

  g_free (adapter->name);
  g_free (adapter->version);
  g_free (adapter);
}

static void
env_service_free (gpointer data)
{
  struct env_service *service = data;

  g_free (service->name);
  if (service->endpoints != NULL)
    g_ptr_array_free (service->endpoints, TRUE);
  g_free (service);
}

/* Return an empty document with one reference.  */
struct env_document *
env_document_new (void)
{
  struct env_document *document = g_new0 (struct env_document, 1);

  document->references = 1;
  document->classes = g_ptr_array_new_with_free_func (env_class_free);
  document->pools = g_ptr_array_new_with_free_func (env_pool_free);
  document->models = g_ptr_array_new_with_free_func (env_model_free);
  document->adapters = g_ptr_array_new_with_free_func (env_adapter_free);
  document->services = g_ptr_array_new_with_free_func (env_service_free);
  document->zones = g_ptr_array_new_with_free_func (g_free);
  document->class_index = g_hash_table_new (g_str_hash, g_str_equal);
  document->pool_index = g_hash_table_new (g_str_hash, g_str_equal);
  document->model_index = g_hash_table_new (g_str_hash, g_str_equal);
  document->adapter_index = g_hash_table_new (g_str_hash, g_str_equal);
  document->service_index = g_hash_table_new (g_str_hash, g_str_equal);
  return document;
}

struct env_document *
env_ref (struct env_document *document)
{
  document->references++;
  return document;
}

/* Release a reference to DOCUMENT, which may be NULL, and free it with the
   last one.  */
void
env_unref (struct env_document *document)
{
  if (document == NULL || --document->references > 0)
    return;
  g_hash_table_destroy (document->class_index);
  g_hash_table_destroy (document->pool_index);
  g_hash_table_destroy (document->model_index);
  g_hash_table_destroy (document->adapter_index);
  g_hash_table_destroy (document->service_index);
  g_ptr_array_free (document->classes, TRUE);
  g_ptr_array_free (document->pools, TRUE);
  g_ptr_array_free (document->models, TRUE);
  g_ptr_array_free (document->adapters, TRUE);
  g_ptr_array_free (document->services, TRUE);
  g_ptr_array_free (document->zones, TRUE);
  g_free (document->name);
  g_free (document->text);
  g_free (document);
}

/* Return the name of the environment, as the document gives it.  */
const char *
env_name (const struct env_document *document)
{
  return document->name;
}

/* Return the exact text of DOCUMENT and set BYTES to its length.  */
const char *
env_text (const struct env_document *document, size_t *bytes)
{
  *bytes = document->text_bytes;
  return document->text;
}

/* Return the digest of the document's text, 16 hexadecimal digits.  */
const char *
env_digest (const struct env_document *document)
{
  return document->digest;
}

const struct env_limits *
env_limits (const struct env_document *document)
{
  return &document->limits;
}

/* Return the class NAME, or NULL.  */
const struct env_class *
env_class (const struct env_document *document, const char *name)
{
  return g_hash_table_lookup (document->class_index, name);
}

/* Return the pool NAME, or NULL.  */
const struct env_pool *
env_pool (const struct env_document *document, const char *name)
{
  return g_hash_table_lookup (document->pool_index, name);
}

/* Return the model NAME, or NULL.  */
const struct env_model *
env_model (const struct env_document *document, const char *name)
{
  return g_hash_table_lookup (document->model_index, name);
}

/* Return the adapter NAME, or NULL.  */
const struct env_adapter *
env_adapter (const struct env_document *document, const char *name)
{
  return g_hash_table_lookup (document->adapter_index, name);
}

/* Return the service NAME, or NULL.  */
const struct env_service *
env_service (const struct env_document *document, const char *name)
{
  return g_hash_table_lookup (document->service_index, name);
}

/* Return all pools, as struct env_pool.  */
const GPtrArray *
env_pools (const struct env_document *document)
{
  return document->pools;
}

/* Return all models, as struct env_model.  */
const GPtrArray *
env_models (const struct env_document *document)
{
  return document->models;
}

/* Return all adapters, as struct env_adapter.  */
const GPtrArray *
env_adapters (const struct env_document *document)
{
  return document->adapters;
}

/* Return all services, as struct env_service.  */
const GPtrArray *
env_services (const struct env_document *document)
{
  return document->services;
}

/* Return the names (char *) of all availability zones that have an endpoint.
 */
const GPtrArray *
env_zones (const struct env_document *document)
{
  return document->zones;
}

/* Return the maximum number of replicas of MODEL in ZONE, 0 if the document
   sets none.  */
uint32_t
env_budget (const struct env_model *model, const char *zone)
{
  for (guint i = 0; i < model->budgets->len; i++)
    {
      const struct env_budget *budget = g_ptr_array_index (model->budgets, i);

      if (strcmp (budget->zone, zone) == 0)
        return budget->replicas;
    }
  return 0;
}
