/* Fuzzes what the sidecar reads of the platform: heartbeats, the operator's
   document, replies of the store, and records of nodes.  The first byte of an
   input chooses which.  */

#include "dir/dir.h"
#include "dlt/dlt.h"
#include "pfm.h"
#include "pfm_names.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct htp_limits limits = { 65536, 65536 };

/* Reads one HTTP message of KIND.  Returns whether it is complete.  */
static bool
read_message (enum htp_kind kind, const uint8_t *data, size_t size,
              struct htp_message *message)
{
  struct htp_reader reader;
  enum htp_status status;
  size_t used;

  htp_reader_init (&reader, kind, &limits);
  status = htp_read (&reader, data, size, &used);
  if (used > size)
    abort ();
  if (status == HTP_INCOMPLETE)
    status = htp_read_eof (&reader);
  if (status == HTP_COMPLETE)
    htp_take_message (&reader, message);
  htp_reader_close (&reader);
  return status == HTP_COMPLETE;
}

static void
read_heartbeat (const uint8_t *data, size_t size)
{
  struct htp_message message = { 0 };
  struct ptf_heartbeat announcement;
  enum ptf_control control;

  if (!read_message (HTP_REQUEST, data, size, &message))
    return;
  if (pfm_read_control (&message, &control, &announcement) == PTF_OK
      && control == PTF_CONTROL_HEARTBEAT
      && (announcement.slots == 0 || announcement.name[0] == '\0'
          || announcement.service[0] == '\0' || announcement.warmup_left < 0))
    abort ();
  htp_message_close (&message);
}

static void
read_document (const uint8_t *data, size_t size)
{
  json_t *content = json_loadb ((const char *)data, size, 0, NULL);
  struct doc_document *document = NULL;
  uint64_t version;

  if (content != NULL
      && pfm_read_config (content, &version, &document) == PTF_OK)
    {
      for (size_t i = 0; i < document->route_count; i++)
        if (document->routes[i].weighted_service_count == 0
            && document->routes[i].service >= document->service_count)
          abort ();
      doc_destroy (document);
    }
  json_decref (content);
}

static void
read_reply (const uint8_t *data, size_t size)
{
  struct sto_request request
      = { .operation = STO_LIST, .kind = PFM_CONFIG_KIND };
  struct htp_message message = { 0 };
  struct sto_reply reply;

  if (size == 0 || !read_message (HTP_RESPONSE, data + 1, size - 1, &message))
    return;
  request.operation = (enum sto_operation) (data[0] % (STO_REMOVE + 1));
  pfm_read_store_reply (&request, &message, &reply);
  sto_reply_close (&reply);
  htp_message_close (&message);
}

static void
read_record (const uint8_t *data, size_t size)
{
  json_t *content = json_loadb ((const char *)data, size, 0, NULL);
  struct mbr_member member;

  if (content != NULL && dir_from_json (content, &member)
      && (member.name[0] == '\0'
          || memchr (member.name, '\0', sizeof member.name) == NULL))
    abort ();
  json_decref (content);
}

static void
read_difference (const uint8_t *data, size_t size)
{
  struct doc_document *document = NULL;

  if (dlt_apply (NULL, data, size, &document) == DLT_OK)
    {
      dlt_digest (document);
      doc_destroy (document);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static void (*const readers[]) (const uint8_t *, size_t)
      = { read_heartbeat, read_document, read_reply, read_record,
          read_difference };

  if (size > 0)
    readers[data[0] % (sizeof readers / sizeof *readers)](data + 1, size - 1);
  return 0;
}
