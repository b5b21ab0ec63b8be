#include <stdlib.h>
#include <string.h>

#include "jsn.h"
#include "ldr_impl.h"

const char ldr_prefix[] = "cowslip/";
const char ldr_leader_key[] = "cowslip/leader";
const char ldr_term_key[] = "cowslip/term";
const char ldr_peer_key_key[] = "cowslip/peer-key";
const char ldr_peak_members_key[] = "cowslip/strength";
static const char ldr_member_prefix[] = "cowslip/members/";

static void
ldr_member_free (gpointer data)
{
  struct ldr_member *member = data;

  g_free (member->instance);
  g_free (member->zone);
  g_free (member->address);
  g_free (member);
}

/* Discard the cached copy of the store's contents.  */
void
ldr_table_clear (struct ldr *ldr)
{
  if (ldr->members != NULL)
    g_ptr_array_unref (ldr->members);
  ldr->members = g_ptr_array_new_with_free_func (ldr_member_free);
  g_free (ldr->leader.instance);
  ldr->leader = (struct ldr_record){ 0 };
  ldr->term_revision = 0;
  ldr->term_era = 0;
  g_free (ldr->past_leaders);
  ldr->past_leaders = NULL;
  ldr->peer_key_revision = 0;
  ldr->peer_key_stored = false;
  ldr->peak_revision = 0;
  ldr->peak_stored = 0;
  ldr->registered = false;
}

/* Encode the member record of this instance, which also serves as the leader
   record.  The caller frees it.  */
char *
ldr_encode (const struct ldr *ldr)
{
  struct json_object *json = json_object_new_object ();
  char *text;

  json_object_object_add (json, "instance",
                          json_object_new_string (ldr->config.instance));
  json_object_object_add (json, "zone",
                          json_object_new_string (ldr->config.zone));
  json_object_object_add (json, "address",
                          json_object_new_string (ldr->config.address));
  json_object_object_add (json, "incarnation",
                          json_object_new_uint64 (ldr->config.incarnation));
  json_object_object_add (json, "cpu_percent",
                          json_object_new_int64 (ldr->config.cpu_percent));
  text = g_strdup (
      json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return text;
}

/* Return the key of this instance's member record.  The caller frees it.  */
char *
ldr_member_key (const struct ldr *ldr)
{
  return g_strconcat (ldr_member_prefix, ldr->config.instance, NULL);
}

/* Decode a member or leader record.  Return NULL if it is malformed.  */
static struct ldr_member *
ldr_decode (const char *text, size_t bytes, uint64_t *incarnation)
{
  struct ldr_member *member = NULL;
  GError *error = NULL;
  struct json_object *json = jsn_parse (text, bytes, &error);
  struct jsn_reader reader;

  if (json != NULL)
    {
      member = g_new0 (struct ldr_member, 1);
      jsn_open (&reader, json, "");
      member->instance = jsn_string (&reader, "instance", true);
      member->zone = jsn_string (&reader, "zone", true);
      member->address = jsn_string (&reader, "address", true);
      *incarnation
          = jsn_number (&reader, "incarnation",
                        (struct jsn_range){ 0, UINT64_MAX, .required = true });
      member->cpu_percent = (uint32_t)jsn_number (
          &reader, "cpu_percent",
          (struct jsn_range){ 0, UINT32_MAX, .required = true });
      if (!jsn_close (&reader, &error))
        {
          ldr_member_free (member);
          member = NULL;
        }
    }
  json_object_put (json);
  g_clear_error (&error);
  return member;
}

static void
ldr_remove_member (struct ldr *ldr, const char *instance)
{
  const struct ldr_member *member = ldr_find_member (ldr, instance);

  if (member != NULL)
    g_ptr_array_remove (ldr->members, (gpointer)member);
}

/* Return whether a member whose record is missing at REVISION may have lost it
   in a restoration of the store, and will register again.  */
static bool
ldr_may_be_lost (const struct ldr *ldr, int64_t revision)
{
  return kv_revision_era (revision) > ldr->era
         || (ldr->era_began_us != 0
             && tm_now_us (ldr->config.tm) - ldr->era_began_us
                    < LDR_TTL_S * LDR_MS_PER_S * LDR_US_PER_MS);
}

/* Keep MEMBER, whose record is missing, for the TTL of a record.  */
static void
ldr_retain_member (const struct ldr *ldr, struct ldr_member *member)
{
  if (member->expires_us == 0)
    member->expires_us = tm_now_us (ldr->config.tm)
                         + LDR_TTL_S * LDR_MS_PER_S * LDR_US_PER_MS;
}

static gint
ldr_compare_members (gconstpointer a, gconstpointer b)
{
  const struct ldr_member *const *x = a;
  const struct ldr_member *const *y = b;

  return strcmp ((*x)->instance, (*y)->instance);
}

/* Keep those of the members BEFORE a read that it lacks, if the store may have
   lost their records.  Others would send them nothing until they have
   registered again.  */
void
ldr_table_retain (struct ldr *ldr, const GPtrArray *before)
{
  for (guint i = 0; i < before->len && ldr_may_be_lost (ldr, 0); i++)
    {
      const struct ldr_member *old = g_ptr_array_index (before, i);
      struct ldr_member *member;

      if (ldr_find_member (ldr, old->instance) != NULL)
        continue;
      member = g_memdup2 (old, sizeof *old);
      member->instance = g_strdup (old->instance);
      member->zone = g_strdup (old->zone);
      member->address = g_strdup (old->address);
      ldr_retain_member (ldr, member);
      g_ptr_array_add (ldr->members, member);
    }
  g_ptr_array_sort (ldr->members, ldr_compare_members);
}

/* Remove the members that have not registered again.  Return whether there
   were any.  */
bool
ldr_table_expire (struct ldr *ldr)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);
  guint before = ldr->members->len;

  for (guint i = before; i-- > 0;)
    {
      const struct ldr_member *member = g_ptr_array_index (ldr->members, i);

      if (member->expires_us != 0 && now_us >= member->expires_us)
        g_ptr_array_remove_index (ldr->members, i);
    }
  return ldr->members->len < before;
}

static void
ldr_apply_member (struct ldr *ldr, const char *instance, const char *value,
                  size_t bytes, int64_t revision, int64_t lease)
{
  bool own = g_str_equal (instance, ldr->config.instance);
  struct ldr_member *member
      = (struct ldr_member *)ldr_find_member (ldr, instance);
  uint64_t incarnation = 0;

  if (own)
    ldr->registered
        = value != NULL && lease != 0 && lease == ldr->member_lease.id;
  if (value == NULL && member != NULL && ldr_may_be_lost (ldr, revision))
    {
      ldr_retain_member (ldr, member);
      return;
    }
  ldr_remove_member (ldr, instance);
  member = value == NULL ? NULL : ldr_decode (value, bytes, &incarnation);
  if (member == NULL)
    return;
  g_ptr_array_add (ldr->members, member);
  g_ptr_array_sort (ldr->members, ldr_compare_members);
}

static void
ldr_apply_leader (struct ldr *ldr, const char *value, size_t bytes,
                  int64_t revision, int64_t lease)
{
  struct ldr_member *member;
  uint64_t incarnation = 0;

  /* Ignore updates that are older than the cached record: the reply to our own
     write and the watch event may arrive in either order.  */
  if (revision < ldr->leader.revision)
    return;
  g_free (ldr->leader.instance);
  ldr->leader = (struct ldr_record){ .revision = revision, .lease = lease };
  member = value == NULL ? NULL : ldr_decode (value, bytes, &incarnation);
  if (member == NULL)
    return;
  ldr->leader.instance = g_strdup (member->instance);
  ldr->leader.incarnation = incarnation;
  ldr_member_free (member);
}

static void
ldr_apply_term (struct ldr *ldr, const char *value, size_t bytes,
                int64_t revision)
{
  /* As for the leader: a reply may have brought a newer one.  */
  if (revision < ldr->term_revision)
    return;
  ldr->term_revision = revision;
  ldr->term_era = 0;
  g_free (ldr->past_leaders);
  ldr->past_leaders = value == NULL ? NULL : g_strndup (value, bytes);
  if (ldr->past_leaders != NULL && *ldr->past_leaders == LDR_ERA_MARK)
    {
      char *names;

      ldr->term_era = g_ascii_strtoll (ldr->past_leaders + 1, &names, 10);
      names = g_strdup (g_strchug (names));
      g_free (ldr->past_leaders);
      ldr->past_leaders = names;
    }
}

/* Use KEY unless it is in use already.  */
static void
ldr_set_peer_key (struct ldr *ldr, const guchar *key)
{
  if (ldr->has_peer_key && memcmp (ldr->peer_key, key, LDR_KEY_BYTES) == 0)
    return;
  ldr->has_peer_key = true;
  memcpy (ldr->peer_key, key, LDR_KEY_BYTES);
  ldr->callbacks.key (ldr->arg, key, LDR_KEY_BYTES);
}

static void
ldr_apply_peer_key (struct ldr *ldr, const char *value, size_t bytes,
                    int64_t revision)
{
  gsize length = 0;
  char *text;
  guchar *key;

  ldr->peer_key_revision = value == NULL ? 0 : revision;
  ldr->peer_key_stored = false;
  if (value == NULL)
    return;
  text = g_strndup (value, bytes);
  key = g_base64_decode (text, &length);
  if (length == LDR_KEY_BYTES)
    {
      ldr->peer_key_stored = true;
      ldr_set_peer_key (ldr, key);
    }
  explicit_bzero (key, length);
  g_free (key);
  g_free (text);
}

static void
ldr_apply_peak_members (struct ldr *ldr, const char *value, size_t bytes,
                        int64_t revision)
{
  char *text = value == NULL ? g_strdup ("0") : g_strndup (value, bytes);

  ldr->peak_revision = value == NULL ? 0 : revision;
  ldr->peak_stored = (uint32_t)strtoul (text, NULL, 10);
  ldr->peak_members = MAX (ldr->peak_members, ldr->peak_stored);
  g_free (text);
}

/* Update the cached copy of KEY.  VALUE is NULL if the key was deleted.  */
void
ldr_table_apply (struct ldr *ldr, const char *key, const char *value,
                 size_t bytes, int64_t revision, int64_t lease)
{
  size_t prefix_bytes = sizeof ldr_member_prefix - 1;

  if (strncmp (key, ldr_member_prefix, prefix_bytes) == 0)
    ldr_apply_member (ldr, key + prefix_bytes, value, bytes, revision, lease);
  else if (g_str_equal (key, ldr_leader_key))
    ldr_apply_leader (ldr, value, bytes, revision, lease);
  else if (g_str_equal (key, ldr_term_key))
    ldr_apply_term (ldr, value, bytes, revision);
  else if (g_str_equal (key, ldr_peak_members_key))
    ldr_apply_peak_members (ldr, value, bytes, revision);
  else if (g_str_equal (key, ldr_peer_key_key))
    ldr_apply_peer_key (ldr, value, bytes, revision);
}
