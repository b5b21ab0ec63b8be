#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "clm.h"

static const char *const clm_states[] = { [CS_CLAIM_OPEN] = "open",
                                          [CS_CLAIM_COMPLETE] = "done",
                                          [CS_CLAIM_RELEASE] = "released" };

/* Return a deep copy of CLAIM, to be freed with clm_free.  */
cs_claim *
clm_copy (const cs_claim *claim)
{
  cs_claim *copy = g_new0 (cs_claim, 1);

  *copy = *claim;
  copy->key = g_strdup (claim->key);
  copy->owner = g_strdup (claim->owner);
  copy->content_type = g_strdup (claim->content_type);
  copy->body.body_val = g_memdup2 (claim->body.body_val, claim->body.body_len);
  return copy;
}

/* Free CLAIM; NULL is allowed.  */
void
clm_free (cs_claim *claim)
{
  if (claim == NULL)
    return;
  g_free (claim->key);
  g_free (claim->owner);
  g_free (claim->content_type);
  g_free (claim->body.body_val);
  g_free (claim);
}

static void
clm_add_hex (struct json_object *object, const char *name, uint64_t value)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" PRIx64, value);
  json_object_object_add (object, name, json_object_new_string (text));
}

static void
clm_add_response (struct json_object *object, const cs_claim *claim)
{
  char *body = g_base64_encode ((const guchar *)claim->body.body_val,
                                claim->body.body_len);

  json_object_object_add (object, "status",
                          json_object_new_int64 (claim->status));
  json_object_object_add (object, "content_type",
                          json_object_new_string (claim->content_type));
  json_object_object_add (object, "body", json_object_new_string (body));
  g_free (body);
}

/* Encode CLAIM as it is stored: open, completed with its response, or
   released, depending on its kind.  The body is in base64, because it may be
   binary.  The caller frees the result with g_free.  */
char *
clm_encode (const cs_claim *claim)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  clm_add_hex (object, "claim_id", claim->claim_id);
  json_object_object_add (object, "owner",
                          json_object_new_string (claim->owner));
  clm_add_hex (object, "incarnation", claim->owner_incarnation);
  clm_add_hex (object, "request_digest", claim->request_digest);
  json_object_object_add (object, "state",
                          json_object_new_string (clm_states[claim->kind]));
  if (claim->kind == CS_CLAIM_COMPLETE)
    clm_add_response (object, claim);
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static const char *
clm_string (struct json_object *object, const char *name)
{
  struct json_object *member;

  if (!json_object_object_get_ex (object, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  return json_object_get_string (member);
}

static bool
clm_hex (struct json_object *object, const char *name, uint64_t *out)
{
  const char *text = clm_string (object, name);
  char *end;

  if (text == NULL || *text == '\0')
    return false;
  *out = strtoull (text, &end, 16);
  return *end == '\0';
}

static bool
clm_parse_response (struct json_object *object, cs_claim *claim)
{
  const char *type = clm_string (object, "content_type");
  const char *body = clm_string (object, "body");
  struct json_object *status;
  gsize bytes;

  if (type == NULL || body == NULL
      || !json_object_object_get_ex (object, "status", &status)
      || !json_object_is_type (status, json_type_int)
      || strlen (type) > COWSLIP_NAME_MAX)
    return false;
  claim->status = (uint32_t)json_object_get_int64 (status);
  g_free (claim->content_type);
  claim->content_type = g_strdup (type);
  claim->body.body_val = (char *)g_base64_decode (body, &bytes);
  claim->body.body_len = (uint32_t)bytes;
  return bytes <= COWSLIP_BODY_MAX;
}

static bool
clm_parse_object (struct json_object *object, cs_claim *claim)
{
  const char *owner = clm_string (object, "owner");
  const char *state = clm_string (object, "state");
  uint64_t id;
  uint64_t incarnation;
  uint64_t digest;

  if (owner == NULL || strlen (owner) > COWSLIP_NAME_MAX || state == NULL
      || !clm_hex (object, "claim_id", &id)
      || !clm_hex (object, "incarnation", &incarnation)
      || !clm_hex (object, "request_digest", &digest))
    return false;
  claim->claim_id = id;
  claim->owner_incarnation = incarnation;
  claim->request_digest = digest;
  g_free (claim->owner);
  claim->owner = g_strdup (owner);
  for (size_t i = 0; i < G_N_ELEMENTS (clm_states); i++)
    if (strcmp (state, clm_states[i]) == 0)
      {
        claim->kind = (cs_claim_kind)i;
        return claim->kind != CS_CLAIM_COMPLETE
               || clm_parse_response (object, claim);
      }
  return false;
}

/* Decode the stored VALUE.  The result has an empty key and the kind that was
   stored.  Return NULL if VALUE is malformed.  The caller frees the result
   with clm_free.  */
cs_claim *
clm_decode (const char *value)
{
  struct json_object *object = json_tokener_parse (value);
  cs_claim *claim = g_new0 (cs_claim, 1);
  bool valid;

  claim->kind = CS_CLAIM_OPEN;
  claim->key = g_strdup ("");
  claim->owner = g_strdup ("");
  claim->content_type = g_strdup ("");
  valid = json_object_is_type (object, json_type_object)
          && clm_parse_object (object, claim);
  json_object_put (object);
  if (valid)
    return claim;
  clm_free (claim);
  return NULL;
}

/* Fill in REPLY from the claim STORED, which keeps ownership of the
   strings.  */
void
clm_fill_reply (cs_claim_reply *reply, const cs_claim *stored)
{
  reply->outcome
      = stored->kind == CS_CLAIM_COMPLETE ? CS_CLAIM_DONE : CS_CLAIM_HELD;
  reply->request_digest = stored->request_digest;
  reply->owner = stored->owner;
  reply->owner_incarnation = stored->owner_incarnation;
  reply->status = stored->status;
  reply->content_type = stored->content_type;
  reply->body.body_len = stored->body.body_len;
  reply->body.body_val = stored->body.body_val;
}

/* Return a random 64-bit claim id.  It includes the incarnation, because
   generators with equal seeds would produce equal ids.  */
uint64_t
clm_new_id (gsl_rng *random, uint64_t incarnation)
{
  uint64_t parts[3]
      = { incarnation, gsl_rng_get (random), gsl_rng_get (random) };

  return XXH3_64bits (parts, sizeof parts);
}

/* Return the key of the claim for a call to SERVICE with IDEMPOTENCY_KEY, as
   "SERVICE/HASH".  The hash is cryptographic, because callers choose the
   idempotency keys.  The caller frees the result with g_free.  */
char *
clm_key (const char *service, const char *idempotency_key)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  char *key;

  g_checksum_update (sum, (const guchar *)service,
                     (gssize)strlen (service) + 1);
  g_checksum_update (sum, (const guchar *)idempotency_key, -1);
  key = g_strdup_printf ("%.*s/%.*s", CLM_NAME_CHARS, service, CLM_HASH_CHARS,
                         g_checksum_get_string (sum));
  g_checksum_free (sum);
  return key;
}

/* Return a digest of a request, which detects different requests that use the
   same idempotency key.  */
uint64_t
clm_digest (const char *method, const char *path, const char *query,
            const void *body, size_t bytes)
{
  XXH3_state_t *state = XXH3_createState ();
  uint64_t digest;

  XXH3_64bits_reset (state);
  XXH3_64bits_update (state, method, strlen (method) + 1);
  XXH3_64bits_update (state, path, strlen (path) + 1);
  XXH3_64bits_update (state, query, strlen (query) + 1);
  XXH3_64bits_update (state, body, bytes);
  digest = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return digest;
}
