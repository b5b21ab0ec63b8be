#include <stdbool.h>
#include <string.h>

#include <xxhash.h>

#include "pch.h"

/* A range of bytes in the base and the corresponding range in the text.  */
struct pch_range
{
  size_t base;
  size_t base_end;
  size_t text;
  size_t text_end;
};

/* A piece of text up to a newline or comma.  Splitting at commas, too, keeps
   the pieces of a document on a single line small.  */
struct pch_piece
{
  uint64_t hash;
  size_t at;
  size_t bytes;
};

/* A piece that occurs exactly once in each text.  */
struct pch_match
{
  const struct pch_piece *base;
  const struct pch_piece *text;
  guint previous; /* in the longest chain that ends here, 1-based; 0: none */
};

/* State of one comparison.  */
struct pch_comparison
{
  const char *base;
  const char *text;
  struct pch_patch *patch;
  size_t base_done; /* end of the last hunk in the base */
};

static bool
pch_is_utf8_continuation (char byte)
{
  return ((unsigned char)byte & 0xC0U) == 0x80U;
}

/* Remove the common prefix and suffix from RANGE.  No UTF-8 character is
   split, because the inserted text is encoded as JSON.  */
static void
pch_trim (const struct pch_comparison *comparison, struct pch_range *range)
{
  const char *base = comparison->base;
  const char *text = comparison->text;
  size_t start = range->text;

  while (range->base < range->base_end && range->text < range->text_end
         && base[range->base] == text[range->text])
    {
      range->base++;
      range->text++;
    }
  while (range->text > start
         && ((range->text < range->text_end
              && pch_is_utf8_continuation (text[range->text]))
             || (range->base < range->base_end
                 && pch_is_utf8_continuation (base[range->base]))))
    {
      range->base--;
      range->text--;
    }
  start = range->text_end;
  while (range->base < range->base_end && range->text < range->text_end
         && base[range->base_end - 1] == text[range->text_end - 1])
    {
      range->base_end--;
      range->text_end--;
    }
  while (range->text_end < start
         && pch_is_utf8_continuation (text[range->text_end]))
    {
      range->base_end++;
      range->text_end++;
    }
}

static void
pch_add_hunk (struct pch_comparison *comparison, struct pch_range range)
{
  struct pch_hunk hunk;

  pch_trim (comparison, &range);
  if (range.base == range.base_end && range.text == range.text_end)
    return;
  hunk.keep_bytes = range.base - comparison->base_done;
  hunk.drop_bytes = range.base_end - range.base;
  hunk.text_bytes = range.text_end - range.text;
  hunk.text = g_memdup2 (comparison->text + range.text, hunk.text_bytes);
  g_array_append_val (comparison->patch->hunks, hunk);
  comparison->base_done = range.base_end;
}

static bool
pch_ends_piece (char byte)
{
  return byte == '\n' || byte == ',';
}

/* Extend RANGE to whole pieces.  The bytes added are the same in both texts.
 */
static void
pch_widen (const struct pch_comparison *comparison, struct pch_range *range,
           size_t bytes)
{
  const char *text = comparison->text;

  while (range->text > 0 && range->base > 0
         && !pch_ends_piece (text[range->text - 1]))
    {
      range->base--;
      range->text--;
    }
  while (
      range->text_end < bytes
      && (range->text_end == 0 || !pch_ends_piece (text[range->text_end - 1])))
    {
      range->base_end++;
      range->text_end++;
    }
}

static GArray *
pch_split (const char *text, size_t at, size_t end)
{
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct pch_piece));

  while (at < end)
    {
      struct pch_piece piece = { .at = at };

      while (at < end && !pch_ends_piece (text[at]))
        at++;
      at += at < end;
      piece.bytes = at - piece.at;
      piece.hash = XXH3_64bits (text + piece.at, piece.bytes);
      g_array_append_val (pieces, piece);
    }
  return pieces;
}

/* Return a table from the hash of each of PIECES to the piece, or to NULL if
   it occurs more than once.  */
static GHashTable *
pch_index (GArray *pieces)
{
  GHashTable *index = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (guint i = 0; i < pieces->len; i++)
    {
      struct pch_piece *piece = &g_array_index (pieces, struct pch_piece, i);
      bool seen = g_hash_table_contains (index, &piece->hash);

      g_hash_table_insert (index, &piece->hash, seen ? NULL : piece);
    }
  return index;
}

/* Return the matches (struct pch_match) of both texts in the order of the new
   text.  */
static GArray *
pch_match_pieces (const struct pch_comparison *comparison, GArray *base,
                  GArray *text)
{
  GArray *matches = g_array_new (FALSE, FALSE, sizeof (struct pch_match));
  GHashTable *base_index = pch_index (base);
  GHashTable *text_index = pch_index (text);

  for (guint i = 0; i < text->len; i++)
    {
      const struct pch_piece *piece
          = &g_array_index (text, struct pch_piece, i);
      struct pch_match match
          = { g_hash_table_lookup (base_index, &piece->hash), piece, 0 };

      if (match.base != NULL && match.base->bytes == piece->bytes
          && g_hash_table_lookup (text_index, &piece->hash) != NULL
          && memcmp (comparison->base + match.base->at,
                     comparison->text + piece->at, piece->bytes)
                 == 0)
        g_array_append_val (matches, match);
    }
  g_hash_table_destroy (base_index);
  g_hash_table_destroy (text_index);
  return matches;
}

/* Return how many of the COUNT chains end before AT in the base; ENDS holds
   the last match of the best chain of each length.  */
static guint
pch_chains_before (GArray *matches, const guint *ends, guint count, size_t at)
{
  guint low = 0;

  while (low < count)
    {
      guint middle = low + (count - low) / 2;

      if (g_array_index (matches, struct pch_match, ends[middle]).base->at
          < at)
        low = middle + 1;
      else
        count = middle;
    }
  return low;
}

/* Return the indexes of the longest chain of MATCHES that ascends in both
   texts (patience sorting).  A moved piece does not prevent other matches.  */
static GArray *
pch_longest_chain (GArray *matches)
{
  guint *ends = g_new (guint, matches->len + 1);
  guint count = 0;
  GArray *chain;

  for (guint i = 0; i < matches->len; i++)
    {
      struct pch_match *match = &g_array_index (matches, struct pch_match, i);
      guint before = pch_chains_before (matches, ends, count, match->base->at);

      match->previous = before > 0 ? ends[before - 1] + 1 : 0;
      ends[before] = i;
      count = MAX (count, before + 1);
    }
  chain = g_array_sized_new (FALSE, TRUE, sizeof (guint), count);
  g_array_set_size (chain, count);
  for (guint at = count > 0 ? ends[count - 1] + 1 : 0; at > 0;
       at = g_array_index (matches, struct pch_match, at - 1).previous)
    g_array_index (chain, guint, --count) = at - 1;
  g_free (ends);
  return chain;
}

/* Add hunks for the parts of RANGE between the pieces that both texts share.
 */
static void
pch_compare (struct pch_comparison *comparison, struct pch_range range)
{
  GArray *base = pch_split (comparison->base, range.base, range.base_end);
  GArray *text = pch_split (comparison->text, range.text, range.text_end);
  GArray *matches = pch_match_pieces (comparison, base, text);
  GArray *chain = pch_longest_chain (matches);

  for (guint i = 0; i < chain->len; i++)
    {
      const struct pch_match *match = &g_array_index (
          matches, struct pch_match, g_array_index (chain, guint, i));

      pch_add_hunk (comparison,
                    (struct pch_range){ range.base, match->base->at,
                                        range.text, match->text->at });
      range.base = match->base->at + match->base->bytes;
      range.text = match->text->at + match->text->bytes;
    }
  pch_add_hunk (comparison, range);
  g_array_free (base, TRUE);
  g_array_free (text, TRUE);
  g_array_free (matches, TRUE);
  g_array_free (chain, TRUE);
}

/* Return the difference from the BASE_BYTES at BASE to the BYTES at TEXT, in
   O(n log n) time.  */
struct pch_patch *
pch_diff (const char *base, size_t base_bytes, const char *text, size_t bytes)
{
  struct pch_comparison comparison = { base, text, pch_new (), 0 };
  struct pch_range range = { 0, base_bytes, 0, bytes };

  pch_digest (base, base_bytes, comparison.patch->base);
  pch_digest (text, bytes, comparison.patch->digest);
  pch_trim (&comparison, &range);
  pch_widen (&comparison, &range, bytes);
  pch_compare (&comparison, range);
  return comparison.patch;
}
