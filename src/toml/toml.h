/* TOML text to a plain tree.  The only part of the program that knows the
   C++ parser behind it.  */

#ifndef MULBERRYSHIFT_TOML_TOML_H
#define MULBERRYSHIFT_TOML_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum toml_status
  {
    TOML_OK,
    TOML_SYNTAX,      /* see struct toml_error */
    TOML_TOO_DEEP,    /* nested deeper than TOML_MAX_DEPTH */
    TOML_BAD_ENCODING /* not UTF-8, or a null character */
  };

  enum toml_kind
  {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_STRING,
    TOML_INTEGER,
    TOML_FLOAT,
    TOML_BOOLEAN,
    TOML_DATE /* any date or time; its value is not kept */
  };

/* Deepest nesting accepted.  */
#define TOML_MAX_DEPTH 16

  /* One value.  Children of a table have keys, those of an array do not.
     Lines and columns count from 1.  Children are in source order.  */
  struct toml_node
  {
    enum toml_kind kind;
    char *key;
    unsigned key_line;
    unsigned key_column;
    unsigned line;
    unsigned column;
    char *string;
    int64_t integer;
    double real;
    bool boolean;
    struct toml_node *children;
    size_t child_count;
  };

  struct toml_error
  {
    unsigned line;
    unsigned column;
    char message[256];
  };

  /* Parses LENGTH bytes.  On TOML_OK *ROOT is a table that the caller frees
     with toml_destroy; else ERROR is filled in.  */
  enum toml_status toml_parse (const char *text, size_t length,
                               struct toml_node **root,
                               struct toml_error *error);

  /* Frees a tree; null is allowed.  */
  void toml_destroy (struct toml_node *root);

  /* Returns the child of TABLE with this key, or null.  */
  const struct toml_node *toml_get (const struct toml_node *table,
                                    const char *key);

  /* Returns "a table", "a string", ... for messages.  */
  const char *toml_kind_name (enum toml_kind kind);

#ifdef __cplusplus
}
#endif

#endif
