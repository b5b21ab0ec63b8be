#ifndef COWSLIP_RPC_RECORD_H
#define COWSLIP_RPC_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define RPC_RECORD_MAX_BYTES                 (2U << 20)
#define RPC_RECORD_HEADER_BYTES              4
#define RPC_RECORD_UNAUTHENTICATED_MAX_BYTES 1024

/* Assembles the records of one TCP stream from their fragments (RFC 5531,
   section 11).  */
struct rpc_record
{
  GByteArray *data;
  uint32_t max_bytes;       /* of one record */
  uint32_t remaining_bytes; /* of the current fragment */
  uint8_t header[RPC_RECORD_HEADER_BYTES];
  uint8_t header_bytes;
  bool last;
};

enum rpc_record_state
{
  RPC_RECORD_INCOMPLETE,
  RPC_RECORD_COMPLETE,
  RPC_RECORD_MALFORMED
};

void rpc_record_init (struct rpc_record *record, uint32_t max_bytes);
void rpc_record_clear (struct rpc_record *record);
enum rpc_record_state rpc_record_feed (struct rpc_record *record,
                                       const uint8_t **data, size_t *bytes);
void rpc_record_next (struct rpc_record *record);
void rpc_record_mark (GByteArray *record);

#endif
