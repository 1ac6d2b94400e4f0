/* Shared strings: one copy of a text with several owners.  One thread.  */

#ifndef MULBERRYSHIFT_BASE_STR_H
#define MULBERRYSHIFT_BASE_STR_H

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns a copy of TEXT with one owner.  It must not be changed.  */
  char *str_create (const char *text);

  /* Adds an owner and returns TEXT, which str_create made.  */
  char *str_retain (char *text);

  /* Drops an owner; the last one frees.  Null is allowed.  */
  void str_release (char *text);

#ifdef __cplusplus
}
#endif

#endif
