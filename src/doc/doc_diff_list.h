/* Building a difference.  Used inside this module.  */

#ifndef MULBERRYSHIFT_DOC_DOC_DIFF_LIST_H
#define MULBERRYSHIFT_DOC_DOC_DIFF_LIST_H

#include "doc/doc_diff.h"

/* Appends a change; copies the texts.  */
void doc_diff_add (struct doc_diff *diff, enum doc_change_kind kind,
                   const char *subject, const char *field, const char *from,
                   const char *to);

/* Appends a change of FIELD unless both texts are equal.  */
void doc_diff_field (struct doc_diff *diff, const char *subject,
                     const char *field, const char *from, const char *to);

/* Appends a change of FIELD unless both numbers are equal.  */
void doc_diff_number (struct doc_diff *diff, const char *subject,
                      const char *field, uint32_t from, uint32_t to);

/* Compares the routes.  */
void doc_diff_routes (struct doc_diff *diff, const struct doc_document *from,
                      const struct doc_document *to);

#endif
