/* Reading of a document's tables with checks.  Used inside this module.  */

#ifndef MULBERRYSHIFT_DOC_DOC_READER_H
#define MULBERRYSHIFT_DOC_DOC_READER_H

#include "doc/doc.h"
#include "toml/toml_report.h"

#define DOC_COUNT(array) (sizeof (array) / sizeof *(array))

/* Suggestions for missing services that are searched; the search compares all
   names, so a document of thousands of wrong names would take seconds.  */
#define DOC_MAX_SUGGESTIONS 20

/* Stands in the methods of a route whose list of methods has a fault, so that
   it is not compared with others.  */
#define DOC_FAULTY_METHODS (1u << 31)

struct doc_reader
{
  struct toml_report report;
  struct doc_document *document;
  uint32_t *services_by_name; /* indexes of services, sorted */
  unsigned suggestions;
};

/* One table that is being read.  */
struct doc_table
{
  const struct toml_node *node;
  const char *where; /* for example "[[route]]" */
};

/* Returns the value at KEY when it is of this kind; else null, with a fault
   when it is of another kind, or missing while MANDATORY.  EXAMPLE is what a
   correct value looks like.  */
const struct toml_node *doc_read (struct doc_reader *reader,
                                  struct doc_table table, const char *key,
                                  enum toml_kind kind, bool mandatory,
                                  const char *example);

/* Returns the number at KEY; FALLBACK when it is missing or faulty.  */
uint32_t doc_read_number (struct doc_reader *reader, struct doc_table table,
                          const char *key, bool mandatory, uint32_t minimum,
                          uint32_t maximum, uint32_t fallback);

/* Returns the index of the text at KEY among COUNT choices; FALLBACK when it
   is missing or faulty.  */
unsigned doc_read_choice (struct doc_reader *reader, struct doc_table table,
                          const char *key, bool mandatory,
                          const char *const *choices, unsigned count,
                          unsigned fallback);

/* Returns a copy of the mandatory name at "name".  */
char *doc_read_name (struct doc_reader *reader, struct doc_table table);

/* Reads all services and reports duplicate names.  */
void doc_read_services (struct doc_reader *reader,
                        const struct toml_node *root);

/* Returns the index of the service NAME, UINT32_MAX when there is none.  */
uint32_t doc_find_service (const struct doc_reader *reader, const char *name);

/* Reads all routes.  */
void doc_read_routes (struct doc_reader *reader, const struct toml_node *root);

/* Reads tenants and the preference of classes.  */
void doc_read_limits (struct doc_reader *reader, const struct toml_node *root);

/* Reports duplicate routes, routes that never match, and services without
   routes.  */
void doc_check_routes (struct doc_reader *reader);

/* Returns the tables of the list [[KEY]], at most MAXIMUM; reports a wrong
   kind and more tables than that.  */
size_t doc_read_list (struct doc_reader *reader, const struct toml_node *root,
                      const char *key, size_t maximum,
                      const struct toml_node **tables);

#endif
