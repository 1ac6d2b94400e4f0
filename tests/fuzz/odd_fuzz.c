/* Fuzzes what the sidecar reads of the platform when one field of one entry
   holds anything: an entry of a list, an event of a watch, and a heartbeat.
   The first byte of an input chooses the message, the second one the field;
   the rest is the value of the field as it stands.  As long as that is one
   value, the entries beside the odd one must be read.  */

#include "jsn/jsn.h"
#include "pfm.h"
#include "pfm_names.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Parts of an object with one place for a value; the rest is valid.  */
static const char *const object_fields[][2] = {
  { "{\"Metadata\":", ",\"Spec\":{}}" },
  { "{\"Metadata\":{\"Name\":", ",\"Revision\":2},\"Spec\":{}}" },
  { "{\"Metadata\":{\"Name\":\"b\",\"Revision\":", "},\"Spec\":{}}" },
  { "{\"Metadata\":{\"Name\":\"b\",\"Revision\":2,\"Deleting\":", "}}" },
  { "{\"Metadata\":{\"Name\":\"b\",\"Revision\":2},\"Spec\":", "}" },
  { "{\"Metadata\":{\"Name\":\"b\",\"Revision\":2},\"Spec\":{\"port\":",
    "}}" },
  { "", "" },
};

static const char *const heartbeat_fields[][2] = {
  { "{\"Address\":", "}" },
  { "{\"Address\":\"10.0.0.1:80\",\"Info\":", "}" },
  { "{\"Address\":\"10.0.0.1:80\",\"born\":5,\"Info\":{\"Service\":\"s\","
    "\"Zone\":\"z\","
    "\"Slots\":",
    "},\"Status\":{\"State\":\"ready\",\"Seq\":1}}" },
  { "{\"Address\":\"10.0.0.1:80\",\"born\":5,\"Info\":{\"Service\":\"s\","
    "\"Zone\":\"z\","
    "\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Seq\":",
    "}}" },
  { "{\"Address\":\"10.0.0.1:80\",\"born\":5,\"Info\":{\"Service\":\"s\","
    "\"Zone\":\"z\","
    "\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Seq\":1,\"ColdLeftS\":",
    "}}" },
  { "{\"Address\":\"10.0.0.1:80\",\"Info\":{\"Service\":\"s\",\"Zone\":\"z\","
    "\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Seq\":1},\"born\":",
    "}" },
};

/* Returns whether VALUE is exactly one value, so that it cannot change where
   the entries beside it start and end.  */
static bool
is_one_value (const uint8_t *value, size_t size)
{
  struct buf array = { 0 };
  struct jsn_text text;
  struct jsn_text element = { 0 };
  bool result;

  buf_append (&array, "[", 1);
  buf_append (&array, value, size);
  buf_append (&array, "]", 1);
  text = (struct jsn_text){ (const char *)array.data, array.length };
  result = jsn_is_array (text) && jsn_next_element (text, &element)
           && element.length == size;
  buf_close (&array);
  return result;
}

static bool
has_object (const struct sto_reply *reply, const char *name)
{
  for (size_t i = 0; i < reply->object_count; i++)
    if (strcmp (reply->objects[i].name, name) == 0)
      return true;
  return false;
}

static void
put_neighbour (struct buf *body, bool event, const char *name)
{
  buf_printf (body,
              event ? "{\"Object\":{\"Metadata\":{\"Name\":\"%s\","
                      "\"Revision\":1},\"Spec\":{}},\"Deleted\":false}"
                    : "{\"Metadata\":{\"Name\":\"%s\",\"Revision\":1},"
                      "\"Spec\":{}}",
              name);
}

static void
read_entries (bool event, uint8_t field, const uint8_t *value, size_t size)
{
  size_t count = sizeof object_fields / sizeof *object_fields;
  const char *const *parts = object_fields[field % count];
  struct sto_request request
      = { .operation = event ? STO_WATCH : STO_LIST, .kind = "things" };
  struct htp_message message = { .status = 200 };
  struct sto_reply reply;

  buf_printf (&message.body, "{\"%s\":[", event ? PFM_EVENTS : PFM_ITEMS);
  put_neighbour (&message.body, event, "first");
  buf_printf (&message.body, ",%s%s", event ? "{\"Object\":" : "", parts[0]);
  buf_append (&message.body, value, size);
  buf_printf (&message.body, "%s%s,", parts[1],
              event ? ",\"Deleted\":false}" : "");
  put_neighbour (&message.body, event, "last");
  buf_printf (&message.body, "],\"AsOf\":7}");
  pfm_read_store_reply (&request, &message, &reply);
  if (is_one_value (value, size)
      && (reply.status != STO_OK || reply.revision != 7
          || !has_object (&reply, "first") || !has_object (&reply, "last")))
    abort ();
  sto_reply_close (&reply);
  buf_close (&message.body);
}

static void
read_heartbeat (uint8_t field, const uint8_t *value, size_t size)
{
  static const char head[] = "POST " PFM_HEARTBEAT_PATH "i-1 HTTP/1.1\r\n"
                             "Content-Length: ";
  static const struct htp_limits limits = { 65536, 65536 };
  size_t count = sizeof heartbeat_fields / sizeof *heartbeat_fields;
  const char *const *parts = heartbeat_fields[field % count];
  struct buf text = { 0 };
  struct htp_message message = { 0 };
  struct htp_reader reader;
  struct ptf_heartbeat heartbeat;
  enum ptf_control control;
  size_t used;

  buf_printf (&text, "%s%zu\r\n\r\n%s", head,
              strlen (parts[0]) + size + strlen (parts[1]), parts[0]);
  buf_append (&text, value, size);
  buf_printf (&text, "%s", parts[1]);
  htp_reader_init (&reader, HTP_REQUEST, &limits);
  if (htp_read (&reader, text.data, text.length, &used) != HTP_COMPLETE)
    abort ();
  htp_take_message (&reader, &message);
  if (pfm_read_control (&message, &control, &heartbeat) == PTF_OK
      && (heartbeat.slots == 0 || heartbeat.address.port == 0
          || heartbeat.service[0] == '\0' || heartbeat.warmup_left < 0))
    abort ();
  htp_message_close (&message);
  htp_reader_close (&reader);
  buf_close (&text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 2)
    return 0;
  if (data[0] % 3 == 2)
    read_heartbeat (data[1], data + 2, size - 2);
  else
    read_entries (data[0] % 3 == 1, data[1], data + 2, size - 2);
  return 0;
}
