/* Verdict on a new version of a service: compares what its upstreams answered
   with what those of the old version answered over the same seconds.  Pure.

   Load that it answers: services with 3 to 300 requests a second, of which
   the new version gets about a tenth; a few routes that fail and take
   different times; servers that differ in speed up to threefold; days on which
   both versions are slow or fail.

   Failures are compared by the score of Mantel and Haenszel, each route
   against the same route of the old version, for each route alone and for all
   routes together.  Times are compared as means, again for each route alone
   and for all routes together, in the mix of routes of the new version.

   See docs/design/rollouts.md for the measured rates of error.  */

#ifndef MULBERRYSHIFT_ROL_ROL_VERDICT_H
#define MULBERRYSHIFT_ROL_ROL_VERDICT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Routes that are counted apart; the last place sums up all further ones.  */
#define ROL_MAX_ROUTES 32

/* Bad answers below which a version is never judged as bad.  */
#define ROL_MIN_BAD 5

/* Bad answers at which the new version is bad without a test, unless the old
   one fails alike.  */
#define ROL_MAX_BAD 30

  enum rol_verdict
  {
    ROL_UNDECIDED, /* too little was seen to tell */
    ROL_GOOD,
    ROL_BAD
  };

  /* Answers of one version on one route.  */
  struct rol_count
  {
    uint64_t answers; /* good and bad ones */
    uint64_t bad;     /* failed by the upstream, lost or damaged */
    double seconds;   /* sum of the times in a slot of good answers, s */
    double squares;   /* sum of their squares, s^2 */
  };

  /* Answers of both versions.  The routes are indices of the caller's.  */
  struct rol_counts
  {
    struct rol_count old_version[ROL_MAX_ROUTES];
    struct rol_count new_version[ROL_MAX_ROUTES];
  };

/* Counts that are kept of the recent period, one a judgement.  */
#define ROL_RECENT_COUNT 10

  /* The periods over which counts are judged: the whole canary phase or the
     whole time since the switch, and the last ROL_RECENT_COUNT judgements, so
     that failures that begin late are not hidden by good answers before.
     Zero-initialise.  */
  struct rol_periods
  {
    struct rol_counts recent[ROL_RECENT_COUNT]; /* the oldest first */
    size_t recent_count;
    struct rol_counts at_switch; /* 0 before it, and at small loads */
    /* What the old version answered shortly before the switch; stands for it
       afterwards.  */
    struct rol_count baseline[ROL_MAX_ROUTES];
    bool has_switched;
  };

  /* What decided a verdict, for the log.  */
  struct rol_evidence
  {
    struct rol_count old_version; /* sums over all routes */
    struct rol_count new_version;
    double failure_score; /* largest score of a route or of all */
    double time_ratio;    /* largest ratio of mean times with enough samples */
  };

  /* Judges COUNTS.  EVIDENCE may be null.  */
  enum rol_verdict rol_judge (const struct rol_counts *counts,
                              struct rol_evidence *evidence);

  /* Judges TOTALS, which are cumulative, over all periods and adds them to the
     recent ones.  SWITCHED: the old version gets no requests any more.  */
  enum rol_verdict rol_judge_periods (struct rol_periods *periods,
                                      const struct rol_counts *totals,
                                      bool switched,
                                      struct rol_evidence *evidence);

  /* Sets DIFFERENCE to what was added to BEFORE to give AFTER.  */
  void rol_subtract_counts (const struct rol_counts *after,
                            const struct rol_counts *before,
                            struct rol_counts *difference);

  /* Returns the sum of COUNTS, which has ROL_MAX_ROUTES elements.  */
  struct rol_count rol_sum_counts (const struct rol_count *counts);

  /* Returns whether BAD answers of the new version end a roll-out without a
     test: they are ROL_MAX_BAD at least, and the old version does not fail
     alike.  */
  bool rol_is_out_of_hand (const struct rol_count *old_version,
                           const struct rol_count *new_version);

#ifdef __cplusplus
}
#endif

#endif
