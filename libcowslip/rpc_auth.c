#include <string.h>

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "rpc_auth.h"

struct rpc_auth
{
  EVP_MAC *method;
  EVP_MAC_CTX *keyed; /* copied for each record */
};

/* Return an authentication context with the shared KEY.  */
struct rpc_auth *
rpc_auth_new (const void *key, size_t key_bytes)
{
  struct rpc_auth *auth = g_new0 (struct rpc_auth, 1);

  auth->method = EVP_MAC_fetch (NULL, "HMAC", NULL);
  auth->keyed = EVP_MAC_CTX_new (auth->method);
  rpc_auth_set_key (auth, key, key_bytes);
  return auth;
}

/* Use KEY from now on.  */
void
rpc_auth_set_key (struct rpc_auth *auth, const void *key, size_t key_bytes)
{
  char digest[] = "SHA256";
  OSSL_PARAM params[]
      = { OSSL_PARAM_construct_utf8_string ("digest", digest, 0),
          OSSL_PARAM_construct_end () };

  if (EVP_MAC_init (auth->keyed, key, key_bytes, params) != 1)
    g_error ("HMAC-SHA256 is not available");
}

void
rpc_auth_free (struct rpc_auth *auth)
{
  if (auth == NULL)
    return;
  EVP_MAC_CTX_free (auth->keyed);
  EVP_MAC_free (auth->method);
  g_free (auth);
}

/* Compute the HMAC of RECORD, whose verifier is zero, into the
   RPC_AUTH_MAC_BYTES of MAC.  */
void
rpc_auth_mac (const struct rpc_auth *auth, const uint8_t *call_mac,
              const uint8_t *record, size_t bytes, uint8_t *mac)
{
  /* The direction is part of the MAC, so that a call cannot be reflected as a
     reply or a reply as a call.  */
  const uint8_t direction = call_mac == NULL ? 'C' : 'R';
  EVP_MAC_CTX *context = EVP_MAC_CTX_dup (auth->keyed);
  size_t written = 0;

  EVP_MAC_update (context, &direction, sizeof direction);
  if (call_mac != NULL)
    EVP_MAC_update (context, call_mac, RPC_AUTH_MAC_BYTES);
  EVP_MAC_update (context, record, bytes);
  if (EVP_MAC_final (context, mac, &written, RPC_AUTH_MAC_BYTES) != 1
      || written != RPC_AUTH_MAC_BYTES)
    g_error ("HMAC-SHA256 failed");
  EVP_MAC_CTX_free (context);
}

/* Return whether the HMAC at MAC_OFFSET of RECORD is valid, and copy it to
   MAC.  It is zeroed in RECORD.  */
bool
rpc_auth_check (const struct rpc_auth *auth, const uint8_t *call_mac,
                uint8_t *record, size_t bytes, size_t mac_offset, uint8_t *mac)
{
  uint8_t expected[RPC_AUTH_MAC_BYTES];

  memcpy (mac, record + mac_offset, RPC_AUTH_MAC_BYTES);
  memset (record + mac_offset, 0, RPC_AUTH_MAC_BYTES);
  rpc_auth_mac (auth, call_mac, record, bytes, expected);
  return CRYPTO_memcmp (mac, expected, RPC_AUTH_MAC_BYTES) == 0;
}

/* Encode or decode CREDENTIAL.  */
bool_t
xdr_rpc_credential (XDR *xdr, struct rpc_credential *credential)
{
  char *instance = credential->instance;
  char *to_address = credential->to_address;

  return xdr_string (xdr, &instance, RPC_AUTH_NAME_BYTES - 1)
         && xdr_u_int64_t (xdr, &credential->incarnation)
         && xdr_u_int64_t (xdr, &credential->sequence)
         && xdr_string (xdr, &to_address, RPC_AUTH_ADDRESS_BYTES - 1)
         && xdr_u_int64_t (xdr, &credential->to_incarnation);
}
