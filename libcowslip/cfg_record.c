#include "cfg_record.h"

/* Parse the document record in the BYTES at VALUE and fill DOCUMENT, whose
   strings belong to the returned object.  Return NULL if the record is
   malformed.  */
struct json_object *
cfg_record_parse (const char *value, size_t bytes,
                  struct cfg_document *document)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *record
      = json_tokener_parse_ex (tokener, value, (int)bytes);
  struct json_object *generation;
  struct json_object *digest;
  struct json_object *text;

  json_tokener_free (tokener);
  if (json_object_object_get_ex (record, "generation", &generation)
      && json_object_is_type (generation, json_type_int)
      && json_object_get_int64 (generation) > 0
      && json_object_object_get_ex (record, "digest", &digest)
      && json_object_is_type (digest, json_type_string)
      && json_object_object_get_ex (record, "document", &text)
      && json_object_is_type (text, json_type_string))
    {
      document->generation = (uint64_t)json_object_get_int64 (generation);
      document->digest = json_object_get_string (digest);
      document->text = json_object_get_string (text);
      document->bytes = (size_t)json_object_get_string_len (text);
      return record;
    }
  json_object_put (record);
  return NULL;
}
