#include <string.h>

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

#include "cowslip.h"
#include "rpc_message.h"
#include "rpc_record.h"

/* Buffer for a call or reply header with the longest credential.  */
#define RPC_MESSAGE_HEADER_BYTES 512
/* Offset of the verifier's bytes in an accepted reply: after the transaction
   id, message type, reply status, flavor and length.  */
#define RPC_MESSAGE_REPLY_MAC_OFFSET 20

/* Encode or decode nothing, for procedures without arguments or result.  */
bool_t
rpc_xdr_void (XDR *xdr, void *value)
{
  (void)xdr;
  (void)value;
  return TRUE;
}

/* Return VALUE encoded with ENCODE, or NULL if it cannot be encoded.  */
GByteArray *
rpc_message_encode (xdrproc_t encode, void *value)
{
  u_long bytes = xdr_sizeof (encode, value);
  GByteArray *body = g_byte_array_new ();
  XDR xdr;
  bool ok;

  g_byte_array_set_size (body, (guint)bytes);
  xdrmem_create (&xdr, (char *)body->data, (u_int)bytes, XDR_ENCODE);
  ok = encode (&xdr, value) && xdr_getpos (&xdr) == bytes;
  xdr_destroy (&xdr);
  if (ok)
    return body;
  g_byte_array_free (body, TRUE);
  return NULL;
}

/* Decode BYTES of BODY into VALUE.  Return false if they are not exactly one
   value; VALUE must be freed with xdr_free in both cases.  */
bool
rpc_message_decode (xdrproc_t decode, void *value, const uint8_t *body,
                    size_t bytes)
{
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *)body, (u_int)bytes, XDR_DECODE);
  ok = decode (&xdr, value) && xdr_getpos (&xdr) == bytes;
  xdr_destroy (&xdr);
  return ok;
}

static size_t
rpc_message_header (GByteArray *record, struct rpc_msg *message)
{
  XDR xdr;
  size_t bytes;
  bool ok;

  g_byte_array_set_size (record,
                         RPC_RECORD_HEADER_BYTES + RPC_MESSAGE_HEADER_BYTES);
  xdrmem_create (&xdr, (char *)record->data + RPC_RECORD_HEADER_BYTES,
                 RPC_MESSAGE_HEADER_BYTES, XDR_ENCODE);
  ok = message->rm_direction == CALL ? xdr_callmsg (&xdr, message)
                                     : xdr_replymsg (&xdr, message);
  g_assert (ok);
  bytes = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  g_byte_array_set_size (record, (guint)(RPC_RECORD_HEADER_BYTES + bytes));
  return bytes;
}

static void
rpc_message_sign (const struct rpc_auth *auth, const uint8_t *call_mac,
                  GByteArray *record, size_t mac_offset, uint8_t *mac)
{
  rpc_auth_mac (auth, call_mac, record->data + RPC_RECORD_HEADER_BYTES,
                record->len - RPC_RECORD_HEADER_BYTES, mac);
  memcpy (record->data + RPC_RECORD_HEADER_BYTES + mac_offset, mac,
          RPC_AUTH_MAC_BYTES);
  rpc_record_mark (record);
}

/* Return the record of a call of PROCEDURE with the encoded arguments BODY,
   and store its HMAC in MAC.  */
GByteArray *
rpc_message_call (const struct rpc_auth *auth,
                  const struct rpc_credential *credential, uint32_t xid,
                  uint32_t procedure, const GByteArray *body, uint8_t *mac)
{
  struct rpc_credential copy = *credential;
  char encoded[MAX_AUTH_BYTES];
  char zeros[RPC_AUTH_MAC_BYTES] = { 0 };
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = CALL };
  struct call_body *call = &message.rm_call;
  GByteArray *record = g_byte_array_new ();
  size_t header_bytes;
  XDR xdr;

  xdrmem_create (&xdr, encoded, sizeof encoded, XDR_ENCODE);
  if (!xdr_rpc_credential (&xdr, &copy))
    g_error ("RPC credential too long");
  call->cb_rpcvers = RPC_MSG_VERSION;
  call->cb_prog = COWSLIP_PROGRAM;
  call->cb_vers = COWSLIP_VERSION;
  call->cb_proc = procedure;
  call->cb_cred
      = (struct opaque_auth){ RPC_AUTH_FLAVOR, encoded, xdr_getpos (&xdr) };
  call->cb_verf = (struct opaque_auth){ RPC_AUTH_FLAVOR, zeros, sizeof zeros };
  xdr_destroy (&xdr);
  header_bytes = rpc_message_header (record, &message);
  if (body != NULL)
    g_byte_array_append (record, body->data, body->len);
  rpc_message_sign (auth, NULL, record, header_bytes - RPC_AUTH_MAC_BYTES,
                    mac);
  return record;
}

/* Return the record of the reply to the call XID, whose HMAC is CALL_MAC.
   BODY is the encoded result if STATUS is SUCCESS.  */
GByteArray *
rpc_message_reply (const struct rpc_auth *auth, const uint8_t *call_mac,
                   uint32_t xid, enum accept_stat status,
                   const GByteArray *body)
{
  char zeros[RPC_AUTH_MAC_BYTES] = { 0 };
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = REPLY };
  GByteArray *record = g_byte_array_new ();
  uint8_t mac[RPC_AUTH_MAC_BYTES];

  message.rm_reply.rp_stat = MSG_ACCEPTED;
  message.acpted_rply.ar_stat = status;
  message.acpted_rply.ar_verf
      = (struct opaque_auth){ RPC_AUTH_FLAVOR, zeros, sizeof zeros };
  message.acpted_rply.ar_results.proc = (xdrproc_t)rpc_xdr_void;
  (void)rpc_message_header (record, &message);
  if (body != NULL)
    g_byte_array_append (record, body->data, body->len);
  rpc_message_sign (auth, call_mac, record, RPC_MESSAGE_REPLY_MAC_OFFSET, mac);
  return record;
}

/* Return the record that denies the call XID because of its credential.  */
GByteArray *
rpc_message_denied (uint32_t xid)
{
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = REPLY };
  GByteArray *record = g_byte_array_new ();

  message.rm_reply.rp_stat = MSG_DENIED;
  message.rjcted_rply.rj_stat = AUTH_ERROR;
  message.rjcted_rply.rj_why = AUTH_REJECTEDCRED;
  (void)rpc_message_header (record, &message);
  rpc_record_mark (record);
  return record;
}

static bool
rpc_message_credential (const struct opaque_auth *auth,
                        struct rpc_credential *credential)
{
  memset (credential, 0, sizeof *credential);
  return auth->oa_flavor == RPC_AUTH_FLAVOR
         && rpc_message_decode ((xdrproc_t)xdr_rpc_credential, credential,
                                (const uint8_t *)auth->oa_base,
                                auth->oa_length);
}

/* Parse the call in RECORD into CALL, whose body points into RECORD.  CALL's
   xid is set unless the result is RPC_MESSAGE_MALFORMED.  */
enum rpc_message_verdict
rpc_message_parse_call (const struct rpc_auth *auth, uint8_t *record,
                        size_t bytes, struct rpc_incoming *call)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg message = { 0 };
  size_t header_bytes;
  XDR xdr;
  bool ok;

  message.rm_call.cb_cred.oa_base = credential;
  message.rm_call.cb_verf.oa_base = verifier;
  xdrmem_create (&xdr, (char *)record, (u_int)bytes, XDR_DECODE);
  ok = xdr_callmsg (&xdr, &message);
  header_bytes = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (!ok || message.rm_direction != CALL
      || message.rm_call.cb_verf.oa_flavor != RPC_AUTH_FLAVOR
      || message.rm_call.cb_verf.oa_length != RPC_AUTH_MAC_BYTES
      || !rpc_message_credential (&message.rm_call.cb_cred, &call->credential))
    return RPC_MESSAGE_MALFORMED;
  call->xid = message.rm_xid;
  call->procedure = (uint32_t)message.rm_call.cb_proc;
  call->program_supported = message.rm_call.cb_prog == COWSLIP_PROGRAM
                            && message.rm_call.cb_vers == COWSLIP_VERSION;
  call->body = record + header_bytes;
  call->body_bytes = bytes - header_bytes;
  return rpc_auth_check (auth, NULL, record, bytes,
                         header_bytes - RPC_AUTH_MAC_BYTES, call->mac)
             ? RPC_MESSAGE_VALID
             : RPC_MESSAGE_BAD_MAC;
}

/* Read the transaction id of RECORD into XID.  */
bool
rpc_message_xid (const uint8_t *record, size_t bytes, uint32_t *xid)
{
  if (bytes < sizeof *xid)
    return false;
  memcpy (xid, record, sizeof *xid);
  *xid = GUINT32_FROM_BE (*xid);
  return true;
}

/* Parse the reply in RECORD to the call with the HMAC CALL_MAC into REPLY,
   whose body points into RECORD.  A denial carries no HMAC.  */
enum rpc_message_verdict
rpc_message_parse_reply (const struct rpc_auth *auth, const uint8_t *call_mac,
                         uint8_t *record, size_t bytes,
                         struct rpc_reply *reply)
{
  char verifier[MAX_AUTH_BYTES];
  uint8_t mac[RPC_AUTH_MAC_BYTES];
  struct rpc_msg message = { 0 };
  size_t header_bytes;
  XDR xdr;
  bool ok;

  message.acpted_rply.ar_verf.oa_base = verifier;
  message.acpted_rply.ar_results.proc = (xdrproc_t)rpc_xdr_void;
  xdrmem_create (&xdr, (char *)record, (u_int)bytes, XDR_DECODE);
  ok = xdr_replymsg (&xdr, &message);
  header_bytes = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (!ok || message.rm_direction != REPLY)
    return RPC_MESSAGE_MALFORMED;
  memset (reply, 0, sizeof *reply);
  if (message.rm_reply.rp_stat != MSG_ACCEPTED)
    return RPC_MESSAGE_VALID;
  if (message.acpted_rply.ar_verf.oa_length != RPC_AUTH_MAC_BYTES)
    return RPC_MESSAGE_MALFORMED;
  reply->accepted = true;
  reply->status = message.acpted_rply.ar_stat;
  reply->body = record + header_bytes;
  reply->body_bytes = bytes - header_bytes;
  return rpc_auth_check (auth, call_mac, record, bytes,
                         RPC_MESSAGE_REPLY_MAC_OFFSET, mac)
             ? RPC_MESSAGE_VALID
             : RPC_MESSAGE_BAD_MAC;
}
