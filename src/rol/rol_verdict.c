/* Verdict on a new version.  */

#include "rol/rol_verdict.h"

#include <math.h>
#include <string.h>

/* Score of failures, in standard deviations, from which the new version is
   bad.  The counts are judged five times a second, for each route and over two
   periods, so a smaller one would be reached by chance.  */
#define BAD_SCORE 4.5

/* Part of answers that the new version fails more than the old one below which
   the difference does not matter.  */
#define MIN_FAILURE_DIFFERENCE 0.01

/* Ratio of mean times from which the new version is bad.  Two canary servers
   may be slower than the mean of the old ones by a factor of two.  */
#define BAD_TIME_RATIO 2.5

/* Ratio that the mean less its error must exceed.  */
#define SURE_TIME_RATIO 2.

/* Standard errors by which the mean time may be wrong.  */
#define TIME_ERRORS 4.

/* Good answers of either version below which their times are not compared.  */
#define MIN_TIMED 15

/* Difference of mean times that is not noticed by callers, s.  */
#define MIN_TIME_DIFFERENCE 0.002

/* A version that fails this part of its answers is bad if the old one fails at
   most that part of this many answers at least; at small loads the score is
   not reached.  */
#define MOST_FAIL 0.5
#define FEW_FAIL 0.05
#define MIN_FEW_ANSWERS 20

/* Answers of the old version shortly before the switch from which they stand
   for it.  */
#define MIN_BASELINE 40

/* Answers of the new version from which one that is not bad is good.  */
#define MIN_ANSWERS 20

/* The old version fails alike when it fails this part of the new one's
   part.  */
#define ALIKE 0.35

/* Answers of the old version that show whether it fails alike.  */
#define MIN_ALIKE_ANSWERS 10

/* Sums of the score of Mantel and Haenszel.  */
struct score
{
  double excess;   /* bad answers more than expected */
  double variance; /* of EXCESS */
  uint64_t bad;
  uint64_t old_answers;
  uint64_t new_answers;
};

/* Sums of the comparison of times.  */
struct times
{
  double actual;   /* time of the new version, s */
  double expected; /* of the old one for the same answers, s */
  double variance; /* of ACTUAL, s^2 */
  uint64_t answers;
};

static uint64_t
timed (const struct rol_count *count)
{
  return count->answers - count->bad;
}

static void
add_score (const struct rol_count *before, const struct rol_count *after,
           struct score *score)
{
  double n0 = (double)before->answers;
  double n1 = (double)after->answers;
  double part;

  if (before->answers == 0 || after->answers == 0)
    return;
  part = (double)(before->bad + after->bad) / (n0 + n1);
  score->excess += (double)after->bad - n1 * part;
  score->variance += n0 * n1 / (n0 + n1) * part * (1 - part);
  score->bad += after->bad;
  score->old_answers += before->answers;
  score->new_answers += after->answers;
}

/* Returns the score in standard deviations, with a correction for counts being
   whole numbers; 0 when there are too few bad answers, or too few more.  */
static double
score_of (const struct score *score)
{
  double n0 = (double)score->old_answers;
  double n1 = (double)score->new_answers;

  if (score->bad < ROL_MIN_BAD)
    return 0;
  /* EXCESS is the difference of the parts times n0 n1 / (n0 + n1).  */
  if (score->excess * (n0 + n1) / (n0 * n1) < MIN_FAILURE_DIFFERENCE)
    return 0;
  /* Without variance every answer was bad, of both versions.  */
  if (score->variance <= 0)
    return 0;
  return (score->excess - 0.5) / sqrt (score->variance);
}

static void
add_times (const struct rol_count *before, const struct rol_count *after,
           struct times *times)
{
  double count = (double)timed (after);
  double mean;

  if (timed (before) < MIN_TIMED || timed (after) == 0)
    return;
  mean = after->seconds / count;
  times->actual += after->seconds;
  times->expected += count * before->seconds / (double)timed (before);
  times->variance += fmax (0, after->squares - count * mean * mean);
  times->answers += timed (after);
}

/* Returns the ratio of times when it is sure enough, else 0.  */
static double
ratio_of (const struct times *times)
{
  double count = (double)times->answers;
  double error;

  if (times->answers < MIN_TIMED || times->expected <= 0
      || times->actual - times->expected < count * MIN_TIME_DIFFERENCE)
    return 0;
  error = TIME_ERRORS * sqrt (times->variance * count / (count - 1));
  if (times->actual - error < SURE_TIME_RATIO * times->expected)
    return 0;
  return times->actual / times->expected;
}

struct rol_count
rol_sum_counts (const struct rol_count *counts)
{
  struct rol_count sum = { 0 };

  for (size_t i = 0; i < ROL_MAX_ROUTES; i++)
    {
      sum.answers += counts[i].answers;
      sum.bad += counts[i].bad;
      sum.seconds += counts[i].seconds;
      sum.squares += counts[i].squares;
    }
  return sum;
}

bool
rol_is_out_of_hand (const struct rol_count *old_version,
                    const struct rol_count *new_version)
{
  double old_part;
  double new_part;

  if (new_version->bad < ROL_MAX_BAD)
    return false;
  if (old_version->answers < MIN_ALIKE_ANSWERS)
    return true;
  old_part = (double)old_version->bad / (double)old_version->answers;
  new_part = (double)new_version->bad / (double)new_version->answers;
  return old_part < ALIKE * new_part;
}

/* Returns whether most answers of the new version fail and few of the old
   one.  */
static bool
fails_mostly (const struct rol_count *old_version,
              const struct rol_count *new_version)
{
  return new_version->bad >= ROL_MIN_BAD
         && (double)new_version->bad
                >= MOST_FAIL * (double)new_version->answers
         && old_version->answers >= MIN_FEW_ANSWERS
         && (double)old_version->bad
                <= FEW_FAIL * (double)old_version->answers;
}

/* Finds the largest score and ratio of a route and of all routes.  */
static void
compare (const struct rol_counts *counts, struct rol_evidence *evidence)
{
  struct score all_scores = { 0 };
  struct times all_times = { 0 };

  for (size_t i = 0; i < ROL_MAX_ROUTES; i++)
    {
      const struct rol_count *before = &counts->old_version[i];
      const struct rol_count *after = &counts->new_version[i];
      struct score score = { 0 };
      struct times times = { 0 };

      add_score (before, after, &score);
      add_score (before, after, &all_scores);
      add_times (before, after, &times);
      add_times (before, after, &all_times);
      evidence->failure_score
          = fmax (evidence->failure_score, score_of (&score));
      evidence->time_ratio = fmax (evidence->time_ratio, ratio_of (&times));
    }
  evidence->failure_score
      = fmax (evidence->failure_score, score_of (&all_scores));
  evidence->time_ratio = fmax (evidence->time_ratio, ratio_of (&all_times));
}

enum rol_verdict
rol_judge (const struct rol_counts *counts, struct rol_evidence *evidence)
{
  struct rol_evidence found = { 0 };

  found.old_version = rol_sum_counts (counts->old_version);
  found.new_version = rol_sum_counts (counts->new_version);
  compare (counts, &found);
  if (evidence != NULL)
    *evidence = found;
  if (found.failure_score >= BAD_SCORE || found.time_ratio >= BAD_TIME_RATIO
      || fails_mostly (&found.old_version, &found.new_version)
      || rol_is_out_of_hand (&found.old_version, &found.new_version))
    return ROL_BAD;
  return found.new_version.answers >= MIN_ANSWERS ? ROL_GOOD : ROL_UNDECIDED;
}

static void
subtract (const struct rol_count *after, const struct rol_count *before,
          struct rol_count *difference)
{
  difference->answers = after->answers - before->answers;
  difference->bad = after->bad - before->bad;
  difference->seconds = after->seconds - before->seconds;
  difference->squares = after->squares - before->squares;
}

void
rol_subtract_counts (const struct rol_counts *after,
                     const struct rol_counts *before,
                     struct rol_counts *difference)
{
  for (size_t i = 0; i < ROL_MAX_ROUTES; i++)
    {
      subtract (&after->old_version[i], &before->old_version[i],
                &difference->old_version[i]);
      subtract (&after->new_version[i], &before->new_version[i],
                &difference->new_version[i]);
    }
}

/* Judges what was added to TOTALS since BEFORE.  */
static enum rol_verdict
judge_since (const struct rol_periods *periods,
             const struct rol_counts *totals, const struct rol_counts *before,
             struct rol_evidence *evidence)
{
  struct rol_counts period;

  rol_subtract_counts (totals, before, &period);
  if (periods->has_switched)
    memcpy (period.old_version, periods->baseline, sizeof period.old_version);
  return rol_judge (&period, evidence);
}

static void
remember (struct rol_periods *periods, const struct rol_counts *totals)
{
  if (periods->recent_count == ROL_RECENT_COUNT)
    {
      memmove (periods->recent, periods->recent + 1,
               (ROL_RECENT_COUNT - 1) * sizeof *periods->recent);
      periods->recent_count--;
    }
  periods->recent[periods->recent_count++] = *totals;
}

/* Notes the counts at the switch.  The last answers of the old version are the
   ones to compare with, as the day may have become slow.  When they are too
   few, the whole roll-out is judged.  */
static void
note_switch (struct rol_periods *periods, const struct rol_counts *totals)
{
  struct rol_counts recent;

  periods->has_switched = true;
  memcpy (periods->baseline, totals->old_version, sizeof periods->baseline);
  if (periods->recent_count == 0)
    return;
  rol_subtract_counts (totals, &periods->recent[0], &recent);
  if (rol_sum_counts (recent.old_version).answers < MIN_BASELINE)
    return;
  memcpy (periods->baseline, recent.old_version, sizeof periods->baseline);
  periods->at_switch = *totals;
}

enum rol_verdict
rol_judge_periods (struct rol_periods *periods,
                   const struct rol_counts *totals, bool switched,
                   struct rol_evidence *evidence)
{
  struct rol_evidence found;
  enum rol_verdict verdict;

  if (switched && !periods->has_switched)
    note_switch (periods, totals);
  verdict = judge_since (periods, totals, &periods->at_switch, evidence);
  if (verdict != ROL_BAD && periods->recent_count == ROL_RECENT_COUNT
      && judge_since (periods, totals, &periods->recent[0], &found) == ROL_BAD)
    {
      verdict = ROL_BAD;
      *evidence = found;
    }
  remember (periods, totals);
  return verdict;
}
