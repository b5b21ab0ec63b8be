#include "flt_impl.h"

/* The weights of engines and the entries of endpoints.  */

static void
flt_model_free (gpointer data)
{
  struct flt_model *model = data;

  g_free (model->name);
  g_ptr_array_free (model->adapters, TRUE);
  g_free (model);
}

/* Initialize WEIGHTS.  */
void
flt_weights_init (struct flt_weights *weights)
{
  *weights = (struct flt_weights){ 0 };
  weights->models = g_ptr_array_new_with_free_func (flt_model_free);
  weights->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  weights->in_memory = g_ptr_array_new_with_free_func (g_free);
  weights->on_disk = g_ptr_array_new_with_free_func (g_free);
  weights->incoming = g_ptr_array_new_with_free_func (g_free);
}

/* Free the contents of WEIGHTS.  */
void
flt_weights_clear (struct flt_weights *weights)
{
  g_hash_table_destroy (weights->by_name);
  g_ptr_array_free (weights->models, TRUE);
  g_ptr_array_free (weights->in_memory, TRUE);
  g_ptr_array_free (weights->on_disk, TRUE);
  g_ptr_array_free (weights->incoming, TRUE);
  *weights = (struct flt_weights){ 0 };
}

/* Remove all models from WEIGHTS.  */
void
flt_weights_drop_models (struct flt_weights *weights)
{
  g_hash_table_remove_all (weights->by_name);
  g_ptr_array_set_size (weights->models, 0);
}

/* Set the version of the model called NAME in WEIGHTS to VERSION, adding the
   model if it is missing, and return it.  */
struct flt_model *
flt_weights_add (struct flt_weights *weights, const char *name,
                 uint64_t version)
{
  struct flt_model *model = flt_weights_find (weights, name);

  if (model == NULL)
    {
      model = g_new0 (struct flt_model, 1);
      model->name = g_strdup (name);
      model->adapters = g_ptr_array_new_with_free_func (g_free);
      g_ptr_array_add (weights->models, model);
      g_hash_table_insert (weights->by_name, model->name, model);
    }
  model->version = version;
  return model;
}

/* Remove MODEL from WEIGHTS.  Return whether it was there.  */
bool
flt_weights_drop (struct flt_weights *weights, const char *model)
{
  struct flt_model *found = flt_weights_find (weights, model);

  if (found == NULL)
    return false;
  g_hash_table_remove (weights->by_name, model);
  return g_ptr_array_remove (weights->models, found);
}

/* Return MODEL in WEIGHTS, or NULL.  */
struct flt_model *
flt_weights_find (const struct flt_weights *weights, const char *model)
{
  return g_hash_table_lookup (weights->by_name, model);
}

/* Return whether LIST (char *) contains TEXT.  */
bool
flt_list_has (const GPtrArray *list, const char *text)
{
  for (guint i = 0; i < list->len; i++)
    if (g_str_equal (g_ptr_array_index (list, i), text))
      return true;
  return false;
}

/* Return whether ADAPTER of MODEL is loaded.  */
bool
flt_model_has (const struct flt_model *model, const char *adapter)
{
  return flt_list_has (model->adapters, adapter);
}

/* Return an empty entry.  */
struct flt_entry *
flt_entry_new (void)
{
  struct flt_entry *entry = g_new0 (struct flt_entry, 1);

  flt_weights_init (&entry->weights);
  return entry;
}

/* Free the contents of ENTRY.  */
void
flt_entry_clear (struct flt_entry *entry)
{
  g_free (entry->id);
  g_free (entry->service);
  g_free (entry->address);
  g_free (entry->zone);
  flt_weights_clear (&entry->weights);
}

/* Free ENTRY, which may be NULL.  */
void
flt_entry_free (struct flt_entry *entry)
{
  if (entry == NULL)
    return;
  flt_entry_clear (entry);
  g_free (entry);
}

static void
flt_copy_strings (GPtrArray *to, const GPtrArray *from)
{
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_strdup (g_ptr_array_index (from, i)));
}

/* Copy the models of FROM to TO, which must be initialized and hold none.  */
void
flt_weights_copy_models (struct flt_weights *to,
                         const struct flt_weights *from)
{
  for (guint i = 0; i < from->models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (from->models, i);

      flt_copy_strings (
          flt_weights_add (to, model->name, model->version)->adapters,
          model->adapters);
    }
}
