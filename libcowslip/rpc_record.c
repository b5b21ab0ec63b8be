#include <string.h>

#include "rpc_record.h"

#define RPC_RECORD_LAST 0x80000000U

/* Initialize RECORD for a stream with records of up to MAX_BYTES.  */
void
rpc_record_init (struct rpc_record *record, uint32_t max_bytes)
{
  memset (record, 0, sizeof *record);
  record->data = g_byte_array_new ();
  record->max_bytes = max_bytes;
}

/* Free the contents of RECORD.  */
void
rpc_record_clear (struct rpc_record *record)
{
  g_byte_array_free (record->data, TRUE);
}

/* Discard the complete record and prepare for the next.  */
void
rpc_record_next (struct rpc_record *record)
{
  g_byte_array_set_size (record->data, 0);
  record->last = false;
}

/* Reject an empty fragment that is not the last: a sender could keep the
   stream busy with them without ever completing a record.  */
static bool
rpc_record_start_fragment (struct rpc_record *record)
{
  uint32_t header;

  memcpy (&header, record->header, sizeof header);
  header = GUINT32_FROM_BE (header);
  record->header_bytes = 0;
  record->last = (header & RPC_RECORD_LAST) != 0;
  record->remaining_bytes = header & ~RPC_RECORD_LAST;
  if (record->remaining_bytes == 0 && !record->last)
    return false;
  return record->remaining_bytes <= record->max_bytes - record->data->len;
}

/* Consume bytes from DATA, which is advanced, until a record is complete or
   BYTES is 0.  The record is in RECORD's data until rpc_record_next.  Return
   RPC_RECORD_MALFORMED if a record exceeds the limit or has an invalid
   fragment.  */
enum rpc_record_state
rpc_record_feed (struct rpc_record *record, const uint8_t **data,
                 size_t *bytes)
{
  while (*bytes > 0)
    {
      size_t count;

      if (record->remaining_bytes == 0)
        {
          record->header[record->header_bytes++] = **data;
          (*data)++;
          (*bytes)--;
          if (record->header_bytes < RPC_RECORD_HEADER_BYTES)
            continue;
          if (!rpc_record_start_fragment (record))
            return RPC_RECORD_MALFORMED;
        }
      count = MIN (*bytes, record->remaining_bytes);
      g_byte_array_append (record->data, *data, (guint)count);
      *data += count;
      *bytes -= count;
      record->remaining_bytes -= (uint32_t)count;
      if (record->remaining_bytes == 0 && record->last)
        return RPC_RECORD_COMPLETE;
    }
  return RPC_RECORD_INCOMPLETE;
}

/* Write the record mark for a single fragment into the first four bytes of
   RECORD, which are reserved for it.  */
void
rpc_record_mark (GByteArray *record)
{
  uint32_t header = GUINT32_TO_BE (RPC_RECORD_LAST
                                   | (record->len - RPC_RECORD_HEADER_BYTES));

  memcpy (record->data, &header, sizeof header);
}
