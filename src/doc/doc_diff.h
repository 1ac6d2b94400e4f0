/* Difference of two documents, for operators.

   Example of the lines:

     service "stock": across changed from false to true
     route GET /stock: deadline_ms changed from 1000 to 2000
     route POST /orders at shop.example.org: added, to service "orders"  */

#ifndef MULBERRYSHIFT_DOC_DOC_DIFF_H
#define MULBERRYSHIFT_DOC_DOC_DIFF_H

#include "doc/doc.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum doc_change_kind
  {
    DOC_ADDED,
    DOC_REMOVED,
    DOC_CHANGED
  };

  struct doc_change
  {
    enum doc_change_kind kind;
    char *subject; /* for example: service "stock" */
    char *field;   /* the key that changed; "" unless DOC_CHANGED */
    char *from;    /* "" when added */
    char *to;      /* "" when removed */
  };

  struct doc_diff
  {
    struct doc_change *changes;
    size_t count;
    size_t capacity;
    bool same_text;
  };

  /* Compares two documents.  SAME_TEXT says whether their texts are equal byte
     for byte.  The caller frees the result with doc_diff_destroy.  */
  struct doc_diff *doc_diff_create (const struct doc_document *from,
                                    const struct doc_document *to,
                                    bool same_text);

  /* Frees a difference; null is allowed.  */
  void doc_diff_destroy (struct doc_diff *diff);

  /* Appends one line a change; without changes one line that says so.  */
  void doc_diff_print (const struct doc_diff *diff, struct buf *output);

  /* Appends {"same_text": BOOLEAN, "changes": [{"kind": "added" | "removed" |
     "changed", "subject", "field", "from", "to"}]} and a newline.  */
  void doc_diff_print_json (const struct doc_diff *diff, struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
