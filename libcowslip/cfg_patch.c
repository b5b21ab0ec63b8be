#include <string.h>

#include "cfg_impl.h"
#include "chg.h"

/* The result of applying consecutive history entries to the text in force.  */
struct cfg_chain
{
  uint64_t generation;
  char digest[PCH_DIGEST_CHARS + 1];
  char *text;
  size_t bytes;
  GPtrArray *bases; /* base digest of each entry applied (char *) */
  size_t skipped;   /* entries before the first applied one */
};

/* Report an entry older than the generation in force, or of this generation
   but with another digest.  */
static void
cfg_report_old (struct cfg_state *cfg, const struct chg_record *record)
{
  struct cfg_document document
      = { .generation = record->generation, .digest = record->digest };

  if (record->generation < cfg->generation
      || strcmp (record->digest, cfg->digest) != 0)
    cfg->callbacks->ignored (cfg->arg, &document,
                             record->generation == cfg->generation);
}

/* Apply the patch of RECORD to the end of CHAIN.  Return false if RECORD is
   not the next generation or its patch does not apply.  */
static bool
cfg_chain_extend (const struct cfg_state *cfg, struct cfg_chain *chain,
                  const struct chg_record *record)
{
  const char *base = chain->text != NULL ? chain->text : cfg->text;
  size_t base_bytes = chain->text != NULL ? chain->bytes : cfg->bytes;
  char *text;

  if (record->generation != chain->generation + 1 || record->patch == NULL
      || strcmp (record->digest, record->patch->digest) != 0)
    return false;
  text = pch_apply (record->patch, base, base_bytes, &base_bytes);
  if (text == NULL)
    return false;
  g_free (chain->text);
  chain->text = text;
  chain->bytes = base_bytes;
  chain->generation = record->generation;
  g_strlcpy (chain->digest, record->digest, sizeof chain->digest);
  g_ptr_array_add (chain->bases, g_strdup (record->patch->base));
  return true;
}

/* Add ENTRY to CHAIN if it is newer than the generation in force.  Return
   false if it is malformed or does not apply.  */
static bool
cfg_chain_add (struct cfg_state *cfg, struct cfg_chain *chain,
               const struct cfg_entry *entry)
{
  struct chg_record *record = chg_record_parse (entry->value, entry->bytes);
  bool ok = true;

  if (record == NULL)
    return false;
  if (record->generation > cfg->generation)
    ok = cfg_chain_extend (cfg, chain, record);
  else
    {
      cfg_report_old (cfg, record);
      chain->skipped++;
    }
  chg_record_free (record);
  return ok;
}

/* Install the last generation of CHAIN, without those between, and cache the
   entries.  */
static void
cfg_chain_install (struct cfg_state *cfg, const struct cfg_chain *chain,
                   const struct cfg_entry *entries)
{
  struct cfg_document document
      = { chain->generation, chain->digest, chain->text, chain->bytes };
  uint64_t before = cfg->generation;

  if (chain->text == NULL || !cfg_install (cfg, &document))
    return;
  for (guint i = 0; i < chain->bases->len; i++)
    cfg_cache_add (cfg->history_cache, before + 1 + i,
                   g_ptr_array_index (chain->bases, i),
                   &entries[chain->skipped + i]);
}

/* Apply COUNT history entries, oldest first.  Return false if not all of them
   apply, so that the whole document is needed.  */
bool
cfg_apply_entries (struct cfg_state *cfg, const struct cfg_entry *entries,
                   size_t count)
{
  struct cfg_chain chain = { .generation = cfg->generation };
  bool ok = !cfg->starting && cfg->generation > 0;

  if (!ok)
    return false;
  chain.bases = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < count && ok; i++)
    ok = cfg_chain_add (cfg, &chain, &entries[i]);
  cfg_chain_install (cfg, &chain, entries);
  g_ptr_array_free (chain.bases, TRUE);
  g_free (chain.text);
  return ok;
}
