#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "chg.h"

#define CHG_VALUE_MAX_BYTES 1000000
#define CHG_ATTEMPTS_MAX    5
#define CHG_RETRY_DELAY_US  300000

/* A change in progress.  */
struct chg_operation
{
  const struct kv_store *kv;
  struct tm_service *tm;
  chg_done done;
  void *arg;
  char *environment;
  char *change_id;
  char *key;
  char *history_key;
  char *text;
  char *value;
  struct json_object *history; /* the entry without its patch */
  uint64_t base;
  uint64_t generation;
  uint32_t attempts;
  bool may_have_written;
  struct tm_timer timer;
};

struct chg_read_request
{
  chg_read_done done;
  void *arg;
};

static void chg_attempt (void *arg);

/* Return the members that the document record and the history entry share.  */
static struct json_object *
chg_metadata (const struct chg_change *change, uint64_t generation)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "generation",
                          json_object_new_uint64 (generation));
  json_object_object_add (object, "digest",
                          json_object_new_string (change->digest));
  json_object_object_add (object, "author",
                          json_object_new_string (change->author));
  json_object_object_add (object, "comment",
                          json_object_new_string (change->comment));
  json_object_object_add (object, "change_id",
                          json_object_new_string (change->change_id));
  json_object_object_add (object, "time_ms",
                          json_object_new_int64 (change->time_ms));
  return object;
}

static const char *
chg_encode (struct json_object *object)
{
  return json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

static char *
chg_encode_record (const struct chg_change *change, uint64_t generation)
{
  struct json_object *object = chg_metadata (change, generation);
  char *value;

  json_object_object_add (object, "document",
                          json_object_new_string (change->text));
  value = g_strdup (chg_encode (object));
  json_object_put (object);
  return value;
}

/* Return the patch from the text of BASE to TEXT as JSON, or NULL if it is too
   long or BASE has no text.  */
static struct json_object *
chg_encode_patch (const struct chg_record *base, const char *text)
{
  struct json_object *object;
  struct pch_patch *patch;

  if (base->text == NULL)
    return NULL;
  patch = pch_diff (base->text, strlen (base->text), text, strlen (text));
  object = pch_encode (patch);
  pch_free (patch);
  if (strlen (chg_encode (object)) <= CHG_PATCH_MAX_BYTES)
    return object;
  json_object_put (object);
  return NULL;
}

static void
chg_finish (struct chg_operation *operation, enum chg_outcome outcome,
            const struct chg_record *record)
{
  operation->done (operation->arg, outcome, record);
  tm_cancel (operation->tm, &operation->timer);
  g_free (operation->environment);
  g_free (operation->change_id);
  g_free (operation->key);
  g_free (operation->history_key);
  g_free (operation->text);
  g_free (operation->value);
  json_object_put (operation->history);
  g_free (operation);
}

/* Schedule another attempt, or finish with the outcome known so far.  */
static void
chg_retry (struct chg_operation *operation)
{
  if (++operation->attempts < CHG_ATTEMPTS_MAX)
    tm_after (operation->tm, &operation->timer, CHG_RETRY_DELAY_US,
              chg_attempt, operation);
  else
    chg_finish (operation,
                operation->may_have_written ? CHG_UNKNOWN : CHG_UNAVAILABLE,
                NULL);
}

static void
chg_write_done (void *arg, const struct kv_result *result)
{
  struct chg_operation *operation = arg;

  operation->may_have_written
      |= result->outcome == KV_UNKNOWN || result->outcome == KV_OK;
  /* Read the record back whatever the outcome.  After a lost reply only the
     record shows whether this change took effect.  */
  chg_retry (operation);
}

/* Replace BASE, whose revision is 0 if there is no document.  */
static void
chg_write (struct chg_operation *operation, const struct chg_record *base)
{
  struct json_object *patch = chg_encode_patch (base, operation->text);
  struct kv_compare compare = { operation->key, base->revision };
  struct kv_op ops[3] = { { .kind = KV_PUT,
                            .key = operation->key,
                            .value = operation->value,
                            .value_bytes = strlen (operation->value) },
                          { .kind = KV_PUT, .key = operation->history_key },
                          { .kind = KV_DELETE } };
  struct kv_txn txn = {
    .compares = &compare, .compare_count = 1, .then_ops = ops, .then_count = 2
  };
  char *expired = NULL;

  if (operation->generation > CHG_HISTORY_MAX_ENTRIES)
    {
      expired
          = chg_history_key (operation->environment,
                             operation->generation - CHG_HISTORY_MAX_ENTRIES);
      ops[txn.then_count++].key = expired;
    }
  if (patch != NULL)
    json_object_object_add (operation->history, "patch", patch);
  ops[1].value = chg_encode (operation->history);
  ops[1].value_bytes = strlen (ops[1].value);
  kv_txn (operation->kv, &txn, chg_write_done, operation);
  g_free (expired);
}

static void
chg_check_entry (void *arg, const struct kv_result *result)
{
  struct chg_operation *operation = arg;
  struct chg_record *entry = NULL;

  if (result->outcome == KV_OK && result->pair_count == 1)
    entry = chg_record_parse (result->pairs[0].value,
                              result->pairs[0].value_bytes);
  if (entry == NULL)
    chg_retry (operation);
  else if (strcmp (entry->change_id, operation->change_id) == 0)
    chg_finish (operation, CHG_ACCEPTED, entry);
  else
    chg_finish (operation, CHG_CONFLICT, entry);
  chg_record_free (entry);
}

static void
chg_check_document (void *arg, const struct chg_record *record)
{
  struct chg_operation *operation = arg;

  if (record == NULL)
    {
      chg_retry (operation);
      return;
    }
  if (record->generation == operation->generation
      && strcmp (record->change_id, operation->change_id) == 0)
    chg_finish (operation, CHG_ACCEPTED, record);
  else if (record->generation == operation->base)
    chg_write (operation, record);
  /* A later generation may be based on this change.  The history entry of this
     generation shows whether it is.  */
  else if (operation->may_have_written
           && record->generation > operation->generation)
    kv_get (operation->kv, operation->history_key, chg_check_entry, operation);
  else
    chg_finish (operation, CHG_CONFLICT, record);
}

/* Without an entry the change has not taken effect so far.  */
static void
chg_entry_read (void *arg, const struct kv_result *result)
{
  struct chg_operation *operation = arg;

  if (result->outcome == KV_OK && result->pair_count == 0)
    chg_read (operation->kv, operation->environment, chg_check_document,
              operation);
  else
    chg_check_entry (operation, result);
}

/* Read the current state.  After a write the history entry, which is short,
   shows whose change took effect.  */
static void
chg_attempt (void *arg)
{
  struct chg_operation *operation = arg;

  if (operation->may_have_written)
    kv_get (operation->kv, operation->history_key, chg_entry_read, operation);
  else
    chg_read (operation->kv, operation->environment, chg_check_document,
              operation);
}

/* Replace the document of CHANGE's environment if its generation is still
   CHANGE->base, and add a history entry in the same transaction.  DONE is
   called once.  The outcome is CHG_ACCEPTED only after the change has been
   read back from KV, which must be linearizable.  */
void
chg_apply (const struct kv_store *kv, struct tm_service *tm,
           const struct chg_change *change, chg_done done, void *arg)
{
  struct chg_operation *operation = g_new0 (struct chg_operation, 1);

  operation->kv = kv;
  operation->tm = tm;
  operation->done = done;
  operation->arg = arg;
  operation->environment = g_strdup (change->environment);
  operation->change_id = g_strdup (change->change_id);
  operation->base = change->base;
  operation->generation = change->base + 1;
  operation->key = chg_document_key (change->environment);
  operation->history_key
      = chg_history_key (change->environment, operation->generation);
  operation->text = g_strdup (change->text);
  operation->value = chg_encode_record (change, operation->generation);
  operation->history = chg_metadata (change, operation->generation);
  if (strlen (operation->value) > CHG_VALUE_MAX_BYTES)
    chg_finish (operation, CHG_TOO_LARGE, NULL);
  else
    chg_attempt (operation);
}

static void
chg_read_result (void *arg, const struct kv_result *result)
{
  struct chg_read_request *request = arg;
  struct chg_record none = { 0 };
  struct chg_record *record = NULL;

  if (result->outcome == KV_OK && result->pair_count == 0)
    request->done (request->arg, &none);
  else
    {
      if (result->outcome == KV_OK)
        record = chg_record_parse (result->pairs[0].value,
                                   result->pairs[0].value_bytes);
      if (record != NULL)
        record->revision = result->pairs[0].revision;
      request->done (request->arg, record);
      chg_record_free (record);
    }
  g_free (request);
}

/* Read the document of ENVIRONMENT.  DONE gets a record with generation 0 if
   there is no document, and NULL if KV did not answer or the value is
   malformed.  */
void
chg_read (const struct kv_store *kv, const char *environment,
          chg_read_done done, void *arg)
{
  struct chg_read_request *request = g_new (struct chg_read_request, 1);
  char *key = chg_document_key (environment);

  request->done = done;
  request->arg = arg;
  kv_get (kv, key, chg_read_result, request);
  g_free (key);
}
