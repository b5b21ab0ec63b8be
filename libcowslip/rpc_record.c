#include <string.h>

#include "rpc_record.h"

#define RPC_RECORD_LAST 0x80000000U

/* Start a stream whose records may hold LIMIT_BYTES.  */
void
rpc_record_init (struct rpc_record *record, uint32_t limit_bytes)
{
  memset (record, 0, sizeof *record);
  record->data = g_byte_array_new ();
  record->limit_bytes = limit_bytes;
}

/* Free what RECORD holds.  */
void
rpc_record_clear (struct rpc_record *record)
{
  g_byte_array_free (record->data, TRUE);
}

/* Forget the whole record and go on with the next.  */
void
rpc_record_next (struct rpc_record *record)
{
  g_byte_array_set_size (record->data, 0);
  record->last = false;
}

/* An empty fragment that is not the last would let a sender keep the stream
   busy without ever sending a record.  */
static bool
rpc_record_begin (struct rpc_record *record)
{
  uint32_t head;

  memcpy (&head, record->head, sizeof head);
  head = GUINT32_FROM_BE (head);
  record->head_bytes = 0;
  record->last = (head & RPC_RECORD_LAST) != 0;
  record->left_bytes = head & ~RPC_RECORD_LAST;
  if (record->left_bytes == 0 && !record->last)
    return false;
  return record->left_bytes <= record->limit_bytes - record->data->len;
}

/* Take bytes from DATA, which moves forward, until a record is whole or BYTES
   are used up.  The record is in RECORD's data until rpc_record_next.  Return
   RPC_RECORD_BAD if a record is larger than the limit or is no record.  */
enum rpc_record_state
rpc_record_feed (struct rpc_record *record, const uint8_t **data,
                 size_t *bytes)
{
  while (*bytes > 0)
    {
      size_t taken;

      if (record->left_bytes == 0)
        {
          record->head[record->head_bytes++] = **data;
          (*data)++;
          (*bytes)--;
          if (record->head_bytes < RPC_RECORD_HEAD_BYTES)
            continue;
          if (!rpc_record_begin (record))
            return RPC_RECORD_BAD;
        }
      taken = MIN (*bytes, record->left_bytes);
      g_byte_array_append (record->data, *data, (guint)taken);
      *data += taken;
      *bytes -= taken;
      record->left_bytes -= (uint32_t)taken;
      if (record->left_bytes == 0 && record->last)
        return RPC_RECORD_WHOLE;
    }
  return RPC_RECORD_MORE;
}

/* Write the mark of a record with one fragment into the first four bytes of
   RECORD, which are reserved for it.  */
void
rpc_record_mark (GByteArray *record)
{
  uint32_t head = GUINT32_TO_BE (RPC_RECORD_LAST
                                 | (record->len - RPC_RECORD_HEAD_BYTES));

  memcpy (record->data, &head, sizeof head);
}
