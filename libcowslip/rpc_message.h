#ifndef COWSLIP_RPC_MESSAGE_H
#define COWSLIP_RPC_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "rpc.h"
#include "rpc_auth.h"

/* Encoding of ONC RPC messages (RFC 5531) with the credential of rpc_auth.h.
   Encoded messages start with four bytes for the record mark.  */

/* A received call.  */
struct rpc_incoming
{
  uint32_t xid;
  uint32_t procedure;
  bool program_supported;
  struct rpc_credential credential;
  uint8_t mac[RPC_AUTH_MAC_BYTES];
  const uint8_t *body;
  size_t body_bytes;
};

/* A received reply.  */
struct rpc_reply
{
  bool accepted;
  enum accept_stat status;
  const uint8_t *body;
  size_t body_bytes;
};

enum rpc_message_verdict
{
  RPC_MESSAGE_VALID,
  RPC_MESSAGE_MALFORMED,
  RPC_MESSAGE_BAD_MAC
};

GByteArray *rpc_message_encode (xdrproc_t encode, void *value);
bool rpc_message_decode (xdrproc_t decode, void *value, const uint8_t *body,
                         size_t bytes);
GByteArray *rpc_message_call (const struct rpc_auth *auth,
                              const struct rpc_credential *credential,
                              uint32_t xid, uint32_t procedure,
                              const GByteArray *body, uint8_t *mac);
GByteArray *rpc_message_reply (const struct rpc_auth *auth,
                               const uint8_t *call_mac, uint32_t xid,
                               enum accept_stat status,
                               const GByteArray *body);
GByteArray *rpc_message_denied (uint32_t xid);
enum rpc_message_verdict rpc_message_parse_call (const struct rpc_auth *auth,
                                                 uint8_t *record, size_t bytes,
                                                 struct rpc_incoming *call);
bool rpc_message_xid (const uint8_t *record, size_t bytes, uint32_t *xid);
enum rpc_message_verdict rpc_message_parse_reply (const struct rpc_auth *auth,
                                                  const uint8_t *call_mac,
                                                  uint8_t *record,
                                                  size_t bytes,
                                                  struct rpc_reply *reply);

#endif
