#include <inttypes.h>

#include <glib.h>

#include "chg.h"
#include "jsn.h"

/* Return the key of the document of ENVIRONMENT.  The caller frees it.  */
char *
chg_document_key (const char *environment)
{
  return g_strdup_printf ("cowslip/%s/document", environment);
}

/* Return the key prefix of the history of ENVIRONMENT.  The caller frees it.
 */
char *
chg_history_prefix (const char *environment)
{
  return g_strdup_printf ("cowslip/%s/history/", environment);
}

/* Return the key of one history entry.  The caller frees it.  Generations are
   padded to ten digits so that keys sort by generation.  */
char *
chg_history_key (const char *environment, uint64_t generation)
{
  return g_strdup_printf ("cowslip/%s/history/%010" PRIu64, environment,
                          generation);
}

/* Return the patch, or NULL if there is none.  A malformed patch makes the
   whole record malformed.  */
static struct pch_patch *
chg_record_patch (struct jsn_reader *reader)
{
  struct json_object *object
      = jsn_get (reader, "patch", json_type_object, false);
  struct pch_patch *patch = object == NULL ? NULL : pch_decode (object);

  if (object != NULL && patch == NULL)
    jsn_fail (reader, "patch", "malformed");
  return patch;
}

/* Return the record in the BYTES at VALUE, or NULL if it is malformed.  */
struct chg_record *
chg_record_parse (const char *value, size_t bytes)
{
  struct json_object *object = jsn_parse (value, bytes, NULL);
  struct chg_record *record;
  struct jsn_reader reader;
  struct jsn_range any = { 1, INT64_MAX, .required = true, .fallback = 0 };

  if (object == NULL)
    return NULL;
  record = g_new0 (struct chg_record, 1);
  jsn_open (&reader, object, "");
  record->generation = jsn_number (&reader, "generation", any);
  record->time_ms = (int64_t)jsn_number (&reader, "time_ms", any);
  record->digest = jsn_string (&reader, "digest", true);
  record->author = jsn_string (&reader, "author", true);
  record->comment = jsn_string (&reader, "comment", false);
  record->change_id = jsn_string (&reader, "change_id", true);
  record->text = jsn_string (&reader, "document", false);
  record->patch = chg_record_patch (&reader);
  if (!jsn_close (&reader, NULL))
    {
      chg_record_free (record);
      record = NULL;
    }
  json_object_put (object);
  return record;
}

/* Free RECORD, which may be NULL.  */
void
chg_record_free (struct chg_record *record)
{
  if (record == NULL)
    return;
  g_free (record->digest);
  g_free (record->author);
  g_free (record->comment);
  g_free (record->change_id);
  g_free (record->text);
  pch_free (record->patch);
  g_free (record);
}
