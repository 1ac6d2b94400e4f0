/* Reference-counted strings: one copy of a text for several owners.  They must
   not be shared between threads.  */

#ifndef MULBERRYSHIFT_BASE_STR_H
#define MULBERRYSHIFT_BASE_STR_H

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns a copy of TEXT with one reference.  It must not be changed.  */
  char *str_create (const char *text);

  /* Adds a reference to TEXT, which str_create has returned, and returns
     TEXT.  */
  char *str_retain (char *text);

  /* Removes a reference; frees TEXT with the last one.  Null is allowed.  */
  void str_release (char *text);

#ifdef __cplusplus
}
#endif

#endif
