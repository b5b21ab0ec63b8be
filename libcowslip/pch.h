#ifndef COWSLIP_PCH_H
#define COWSLIP_PCH_H

/* Computes, encodes and applies patches between two versions of a text.  */

#include <stddef.h>

#include <glib.h>
#include <json-c/json.h>

#define PCH_DIGEST_CHARS 16

/* Limit on the result of a patch.  Values of the key-value service are no
   larger.  */
#define PCH_TEXT_MAX_BYTES 1000000

/* Copies KEEP_BYTES of the base, skips DROP_BYTES and inserts TEXT.  */
struct pch_hunk
{
  size_t keep_bytes;
  size_t drop_bytes;
  char *text;
  size_t text_bytes;
};

/* The difference between two texts.  The base after the last hunk is copied.
 */
struct pch_patch
{
  char base[PCH_DIGEST_CHARS + 1];   /* digest of the base text */
  char digest[PCH_DIGEST_CHARS + 1]; /* digest of the new text */
  GArray *hunks;                     /* struct pch_hunk */
};

struct pch_patch *pch_diff (const char *base, size_t base_bytes,
                            const char *text, size_t bytes);
char *pch_apply (const struct pch_patch *patch, const char *base,
                 size_t base_bytes, size_t *bytes);
struct json_object *pch_encode (const struct pch_patch *patch);
struct pch_patch *pch_decode (struct json_object *object);
void pch_free (struct pch_patch *patch);
struct pch_patch *pch_new (void);
void pch_digest (const char *text, size_t bytes,
                 char digest[PCH_DIGEST_CHARS + 1]);

#endif
