/* Outcome of a call, as reported to callers.  */

#ifndef MULBERRYSHIFT_OUT_OUT_H
#define MULBERRYSHIFT_OUT_OUT_H

#ifdef __cplusplus
extern "C"
{
#endif

  enum out_outcome
  {
    OUT_ANSWERED, /* the upstream's whole response follows */
    OUT_NOT_RUN,  /* the call did not run and never will */
    OUT_UNKNOWN   /* the call may have run */
  };

  /* Returns "answered", "not-run" or "unknown", for the outcome header.  */
  const char *out_name (enum out_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
