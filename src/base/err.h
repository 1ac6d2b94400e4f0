/* Last error message of the calling thread.

   Every module returns a status enum of its own, whose zero value means
   success, and stores here one sentence that describes the failure to the
   operator.  */

#ifndef MULBERRYSHIFT_BASE_ERR_H
#define MULBERRYSHIFT_BASE_ERR_H

#ifdef __cplusplus
extern "C"
{
#endif

/* Longest message kept, in bytes, including the terminating null.  */
#define ERR_MESSAGE_SIZE 512

  /* Stores a printf-style message; longer ones are truncated.  */
  void err_set (const char *format, ...)
      __attribute__ ((format (printf, 1, 2)));

  /* Prepends a printf-style text and ": " to the stored message; a caller adds
     the operation that failed.  */
  void err_wrap (const char *format, ...)
      __attribute__ ((format (printf, 1, 2)));

  /* Returns the last message of the calling thread; never null.  The string
     changes with the next err_set or err_wrap of the same thread.  */
  const char *err_last (void);

#ifdef __cplusplus
}
#endif

#endif
