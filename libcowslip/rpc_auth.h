#ifndef COWSLIP_RPC_AUTH_H
#define COWSLIP_RPC_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

/* Authentication of RPC calls and replies.  The credential names the sender
   and the receiver; the verifier holds an HMAC-SHA256 over the whole record,
   computed with the verifier set to zero.  */

#define RPC_AUTH_FLAVOR        0x20c051
#define RPC_AUTH_MAC_BYTES     32
#define RPC_AUTH_NAME_BYTES    129
#define RPC_AUTH_ADDRESS_BYTES 64

/* The receiver's address and incarnation prevent the replay of a recorded
   call to another instance, or to a later incarnation, which does not know
   the sequence numbers used before.  */
struct rpc_credential
{
  char instance[RPC_AUTH_NAME_BYTES];
  uint64_t incarnation;
  uint64_t sequence;
  char to_address[RPC_AUTH_ADDRESS_BYTES];
  uint64_t to_incarnation; /* 0: not known yet; null procedure only */
};

struct rpc_auth;

struct rpc_auth *rpc_auth_new (const void *key, size_t key_bytes);
void rpc_auth_set_key (struct rpc_auth *auth, const void *key,
                       size_t key_bytes);
void rpc_auth_free (struct rpc_auth *auth);
/* CALL_MAC binds a reply to its call; NULL for a call.  */
void rpc_auth_mac (const struct rpc_auth *auth, const uint8_t *call_mac,
                   const uint8_t *record, size_t bytes, uint8_t *mac);
bool rpc_auth_check (const struct rpc_auth *auth, const uint8_t *call_mac,
                     uint8_t *record, size_t bytes, size_t mac_offset,
                     uint8_t *mac);
bool_t xdr_rpc_credential (XDR *xdr, struct rpc_credential *credential);

#endif
