#include <string.h>

#include <xxhash.h>

#include "jsn.h"
#include "pch.h"

#define PCH_HUNK_FIELDS 3

static void
pch_hunk_clear (void *data)
{
  g_free (((struct pch_hunk *)data)->text);
}

/* Return a patch without hunks or digests.  */
struct pch_patch *
pch_new (void)
{
  struct pch_patch *patch = g_new0 (struct pch_patch, 1);

  patch->hunks = g_array_new (FALSE, TRUE, sizeof (struct pch_hunk));
  g_array_set_clear_func (patch->hunks, pch_hunk_clear);
  return patch;
}

/* Free PATCH, which may be NULL.  */
void
pch_free (struct pch_patch *patch)
{
  if (patch == NULL)
    return;
  g_array_free (patch->hunks, TRUE);
  g_free (patch);
}

/* Write the digest of the BYTES at TEXT to DIGEST: 16 hexadecimal digits, as
   env_digest returns them.  */
void
pch_digest (const char *text, size_t bytes, char digest[PCH_DIGEST_CHARS + 1])
{
  g_snprintf (digest, PCH_DIGEST_CHARS + 1, "%016llx",
              (unsigned long long)XXH3_64bits (text, bytes));
}

/* Apply HUNK to the base from OFFSET on and append the result to RESULT.
   Return the offset after the hunk, or SIZE_MAX if the hunk exceeds the base
   or the result the limit.  */
static size_t
pch_apply_hunk (GString *result, const struct pch_hunk *hunk, const char *base,
                size_t base_bytes, size_t offset)
{
  if (hunk->keep_bytes > base_bytes - offset
      || hunk->drop_bytes > base_bytes - offset - hunk->keep_bytes
      || result->len + hunk->keep_bytes + hunk->text_bytes
             > PCH_TEXT_MAX_BYTES)
    return SIZE_MAX;
  g_string_append_len (result, base + offset, (gssize)hunk->keep_bytes);
  g_string_append_len (result, hunk->text, (gssize)hunk->text_bytes);
  return offset + hunk->keep_bytes + hunk->drop_bytes;
}

static bool
pch_apply_all (const struct pch_patch *patch, const char *base,
               size_t base_bytes, GString *result)
{
  size_t offset = 0;

  for (guint i = 0; i < patch->hunks->len && offset != SIZE_MAX; i++)
    offset = pch_apply_hunk (result,
                             &g_array_index (patch->hunks, struct pch_hunk, i),
                             base, base_bytes, offset);
  if (offset == SIZE_MAX
      || result->len + base_bytes - offset > PCH_TEXT_MAX_BYTES)
    return false;
  g_string_append_len (result, base + offset, (gssize)(base_bytes - offset));
  return true;
}

/* Apply PATCH to the BASE_BYTES at BASE.  Return the result, to be freed by
   the caller, and set BYTES to its length.  Return NULL if the digest of BASE
   or of the result does not match the patch.  */
char *
pch_apply (const struct pch_patch *patch, const char *base, size_t base_bytes,
           size_t *bytes)
{
  char digest[PCH_DIGEST_CHARS + 1];
  GString *result;

  pch_digest (base, base_bytes, digest);
  if (strcmp (digest, patch->base) != 0)
    return NULL;
  result = g_string_sized_new (base_bytes);
  if (pch_apply_all (patch, base, base_bytes, result))
    {
      pch_digest (result->str, result->len, digest);
      if (strcmp (digest, patch->digest) == 0)
        {
          *bytes = result->len;
          return g_string_free (result, FALSE);
        }
    }
  g_string_free (result, TRUE);
  return NULL;
}

/* Return PATCH as JSON: {"base", "digest", "hunks": [[KEEP, DROP, "TEXT"]]}.
 */
struct json_object *
pch_encode (const struct pch_patch *patch)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < patch->hunks->len; i++)
    {
      const struct pch_hunk *hunk
          = &g_array_index (patch->hunks, struct pch_hunk, i);
      struct json_object *fields = json_object_new_array ();

      json_object_array_add (fields,
                             json_object_new_uint64 (hunk->keep_bytes));
      json_object_array_add (fields,
                             json_object_new_uint64 (hunk->drop_bytes));
      json_object_array_add (fields, json_object_new_string_len (
                                         hunk->text, (int)hunk->text_bytes));
      json_object_array_add (list, fields);
    }
  json_object_object_add (object, "base",
                          json_object_new_string (patch->base));
  json_object_object_add (object, "digest",
                          json_object_new_string (patch->digest));
  json_object_object_add (object, "hunks", list);
  return object;
}

static bool
pch_decode_length (struct json_object *field, size_t *bytes)
{
  int64_t number = json_object_get_int64 (field);

  if (!json_object_is_type (field, json_type_int) || number < 0
      || number > PCH_TEXT_MAX_BYTES)
    return false;
  *bytes = (size_t)number;
  return true;
}

static bool
pch_decode_hunk (struct json_object *fields, GArray *hunks)
{
  struct pch_hunk hunk = { 0 };
  struct json_object *text;

  if (!json_object_is_type (fields, json_type_array)
      || json_object_array_length (fields) != PCH_HUNK_FIELDS
      || !pch_decode_length (json_object_array_get_idx (fields, 0),
                             &hunk.keep_bytes)
      || !pch_decode_length (json_object_array_get_idx (fields, 1),
                             &hunk.drop_bytes))
    return false;
  text = json_object_array_get_idx (fields, 2);
  if (!json_object_is_type (text, json_type_string))
    return false;
  hunk.text_bytes = (size_t)json_object_get_string_len (text);
  hunk.text = g_memdup2 (json_object_get_string (text), hunk.text_bytes);
  g_array_append_val (hunks, hunk);
  return true;
}

static bool
pch_decode_hunks (struct json_object *list, GArray *hunks)
{
  size_t count = list == NULL ? 0 : json_object_array_length (list);

  for (size_t i = 0; i < count; i++)
    if (!pch_decode_hunk (json_object_array_get_idx (list, i), hunks))
      return false;
  return true;
}

static void
pch_decode_digest (struct jsn_reader *reader, const char *key, char *digest)
{
  char *text = jsn_string (reader, key, true);

  if (text != NULL && strlen (text) != PCH_DIGEST_CHARS)
    jsn_fail (reader, key, "not a digest");
  g_strlcpy (digest, text == NULL ? "" : text, PCH_DIGEST_CHARS + 1);
  g_free (text);
}

/* Return the patch in OBJECT, or NULL if it is malformed.  */
struct pch_patch *
pch_decode (struct json_object *object)
{
  struct pch_patch *patch = pch_new ();
  struct jsn_reader reader;

  jsn_open (&reader, object, "patch");
  pch_decode_digest (&reader, "base", patch->base);
  pch_decode_digest (&reader, "digest", patch->digest);
  if (!pch_decode_hunks (jsn_get (&reader, "hunks", json_type_array, true),
                         patch->hunks))
    jsn_fail (&reader, "hunks", "malformed");
  if (jsn_close (&reader, NULL))
    return patch;
  pch_free (patch);
  return NULL;
}
