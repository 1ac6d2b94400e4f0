/* The recent documents, which serve as bases of deltas.  */

#include "ver/ver.h"

void
ver_recent_add (struct ver_recent *recent, struct snp_stamp stamp,
                const char *text, size_t length)
{
  struct ver_document *document = &recent->documents[recent->next];

  if (ver_recent_find (recent, stamp) != NULL)
    return;
  recent->next = (recent->next + 1) % VER_MAX_RECENT;
  buf_close (&document->text);
  document->stamp = stamp;
  buf_append (&document->text, text, length);
}

const struct ver_document *
ver_recent_find (const struct ver_recent *recent, struct snp_stamp stamp)
{
  for (size_t i = 0; i < VER_MAX_RECENT; i++)
    if (stamp.version != 0 && ver_equal (recent->documents[i].stamp, stamp))
      return &recent->documents[i];
  return NULL;
}

void
ver_recent_close (struct ver_recent *recent)
{
  for (size_t i = 0; i < VER_MAX_RECENT; i++)
    buf_close (&recent->documents[i].text);
}
