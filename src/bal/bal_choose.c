/* Choice of a member: two random candidates, slow start of new members, and
   ejection of those that fail.  */

#include "bal/bal.h"

#include "bal/bal_table.h"
#include "base/mem.h"
#include "base/rnd.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Ejection after 5 failures or 20 refusals in a row.  A gate that sheds load
   refuses several calls in a row while it still serves others; at three times
   its capacity, 20 in a row have a probability of 0.03 %.  */
#define FAILURE_WEIGHT 4
#define REFUSAL_WEIGHT 1
#define EJECTION_WEIGHT 20

#define EJECTION_BASE CLK_SECOND
#define EJECTION_MAX (60 * CLK_SECOND)

/* A member is forgiven its earlier ejections after this time of service.  */
#define FORGIVE_AFTER (30 * CLK_SECOND)

/* A latency that was not measured again halves after this time, so that a
   member that was slow once gets a call to show that it has recovered.  */
#define LATENCY_HALF_LIFE (10 * CLK_SECOND)

/* Share of choices that reach a member at the start of its ramp.  */
#define RAMP_START 0.1

/* A failure counts as a sample of at least this latency.  */
#define FAILURE_LATENCY (100 * CLK_MILLISECOND)
#define MAX_LATENCY (60 * CLK_SECOND)

/* Draws before the search falls back to a scan of the group.  */
#define MAX_DRAWS 6

struct bal
{
  pthread_mutex_t lock;
  struct bal_options options;
  struct bal_table *table;
  struct rnd random;
};

/* One choice.  */
struct choice
{
  struct bal *bal;
  const struct bal_candidate *candidates;
  const uint64_t *tried;
  uint32_t tried_count;
  bool suspects;
  clk_time now;
};

struct bal *
bal_create (uint64_t seed, const struct bal_options *options)
{
  struct bal *bal = mem_alloc (1, sizeof *bal);

  pthread_mutex_init (&bal->lock, NULL);
  if (options != NULL)
    bal->options = *options;
  bal->table = bal_table_create ();
  rnd_init (&bal->random, seed);
  return bal;
}

void
bal_destroy (struct bal *bal)
{
  if (bal == NULL)
    return;
  bal_table_destroy (bal->table);
  pthread_mutex_destroy (&bal->lock);
  free (bal);
}

uint64_t
bal_key (const char *name, uint64_t incarnation)
{
  return XXH3_64bits_withSeed (name, strlen (name), incarnation);
}

static bool
was_tried (const struct choice *choice, uint64_t key)
{
  for (uint32_t i = 0; i < choice->tried_count; i++)
    if (choice->tried[i] == key)
      return true;
  return false;
}

/* Returns the member if it can be chosen, else null.  */
static struct bal_member *
get_usable (const struct choice *choice, uint32_t index)
{
  const struct bal_candidate *candidate = &choice->candidates[index];
  struct bal_member *member;

  if (!candidate->usable || candidate->suspect != choice->suspects
      || was_tried (choice, candidate->key))
    return NULL;
  member = bal_table_get (choice->bal->table, candidate->key, choice->now);
  return member->ejected_to > choice->now ? NULL : member;
}

/* Returns the member's share of its full traffic, RAMP_START to 1.  */
static double
ramp (const struct choice *choice, const struct bal_member *member)
{
  clk_time age = choice->now - member->since;

  if (choice->bal->options.no_slow_start || age >= BAL_RAMP)
    return 1;
  return RAMP_START + (1 - RAMP_START) * (double)age / (double)BAL_RAMP;
}

static uint32_t
draw (const struct choice *choice, uint32_t start, uint32_t count,
      uint32_t other)
{
  struct rnd *random = &choice->bal->random;
  uint32_t offset;

  for (int i = 0; i < MAX_DRAWS; i++)
    {
      uint32_t index = start + rnd_below (random, count);
      struct bal_member *member
          = index == other ? NULL : get_usable (choice, index);

      if (member != NULL && rnd_unit (random) < ramp (choice, member))
        return index;
    }
  offset = rnd_below (random, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = start + (offset + i) % count;

      if (index != other && get_usable (choice, index) != NULL)
        return index;
    }
  return BAL_NONE;
}

/* Returns the latency to compare by; 0 when it is not known.  */
static double
recent_latency (const struct choice *choice, const struct bal_member *member)
{
  clk_time age = choice->now - member->measured;
  clk_time halvings = age / LATENCY_HALF_LIFE;

  if (choice->bal->options.no_latency)
    return 1;
  return (double)(member->latency >> (halvings > 40 ? 40 : halvings));
}

/* Returns whether LEFT is the better one.  A member without a sample is taken
   to be as fast as the other.  */
static bool
is_better (const struct choice *choice, uint32_t left, uint32_t right)
{
  struct bal_table *table = choice->bal->table;
  const struct bal_member *first
      = bal_table_find (table, choice->candidates[left].key);
  const struct bal_member *second
      = bal_table_find (table, choice->candidates[right].key);
  double first_latency = recent_latency (choice, first);
  double second_latency = recent_latency (choice, second);

  if (first_latency == 0 || second_latency == 0)
    first_latency = second_latency = 1;
  return (first->outstanding + 1) * first_latency / ramp (choice, first)
         <= (second->outstanding + 1) * second_latency / ramp (choice, second);
}

static uint32_t
choose_in_group (const struct choice *choice, uint32_t start, uint32_t count)
{
  uint32_t first = draw (choice, start, count, BAL_NONE);
  uint32_t second
      = first == BAL_NONE ? BAL_NONE : draw (choice, start, count, first);

  if (second == BAL_NONE || is_better (choice, first, second))
    return first;
  return second;
}

/* Returns the untried candidate whose ejection ends first.  */
static uint32_t
choose_ejected (const struct choice *choice, uint32_t count)
{
  uint32_t best = BAL_NONE;
  clk_time best_end = CLK_NEVER;

  for (uint32_t i = 0; i < count; i++)
    if (choice->candidates[i].usable
        && !was_tried (choice, choice->candidates[i].key))
      {
        const struct bal_member *member = bal_table_get (
            choice->bal->table, choice->candidates[i].key, choice->now);

        if (member->ejected_to < best_end)
          {
            best = i;
            best_end = member->ejected_to;
          }
      }
  return best;
}

static uint32_t
choose (struct choice *choice, uint32_t count)
{
  uint32_t chosen = BAL_NONE;

  for (int pass = 0; pass < 2; pass++)
    {
      choice->suspects = pass == 1;
      for (uint32_t start = 0, end; start < count; start = end)
        {
          end = start + 1;
          while (end < count
                 && choice->candidates[end].locality
                        == choice->candidates[start].locality)
            end++;
          chosen = choose_in_group (choice, start, end - start);
          if (chosen != BAL_NONE)
            return chosen;
        }
    }
  return choose_ejected (choice, count);
}

uint32_t
bal_choose (struct bal *bal, const struct bal_candidate *candidates,
            uint32_t count, const uint64_t *tried, uint32_t tried_count,
            clk_time now)
{
  struct choice choice = { .bal = bal,
                           .candidates = candidates,
                           .tried = tried,
                           .tried_count = tried_count,
                           .now = now };
  uint32_t chosen;

  pthread_mutex_lock (&bal->lock);
  chosen = choose (&choice, count);
  if (chosen != BAL_NONE)
    bal_table_find (bal->table, candidates[chosen].key)->outstanding++;
  pthread_mutex_unlock (&bal->lock);
  return chosen;
}

void
bal_start (struct bal *bal, uint64_t key, clk_time now)
{
  pthread_mutex_lock (&bal->lock);
  bal_table_get (bal->table, key, now)->outstanding++;
  pthread_mutex_unlock (&bal->lock);
}

static void
add_sample (struct bal_member *member, int64_t sample, clk_time now)
{
  if (sample > MAX_LATENCY)
    sample = MAX_LATENCY;
  if (sample < 1)
    sample = 1;
  member->latency = member->latency == 0
                        ? sample
                        : member->latency + (sample - member->latency) / 8
                              + (sample > member->latency);
  member->measured = now;
}

/* Returns whether one more of the candidates may be ejected.  */
static bool
may_eject (struct bal *bal, const struct bal_candidate *candidates,
           uint32_t count, clk_time now)
{
  uint32_t ejected = 0;

  if (bal->options.no_ejection)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bal_member *member
          = bal_table_find (bal->table, candidates[i].key);

      ejected += member != NULL && member->ejected_to > now;
    }
  return bal->options.no_ejection_bound || (ejected + 1) * 2 <= count;
}

static void
eject (struct bal *bal, struct bal_member *member, clk_time now)
{
  uint32_t doublings = member->ejections < 6 ? member->ejections : 6;
  clk_time length = EJECTION_BASE << doublings;

  if (length > EJECTION_MAX)
    length = EJECTION_MAX;
  /* Members that failed together do not return together.  */
  length += (clk_time)(rnd_unit (&bal->random) * (double)length / 4);
  member->ejected_to = now + length;
  member->since = member->ejected_to;
  member->ejections++;
  /* One more failure after the return ejects again.  */
  member->failures = EJECTION_WEIGHT - FAILURE_WEIGHT;
}

void
bal_finish (struct bal *bal, const struct bal_candidate *candidates,
            uint32_t count, uint32_t chosen, enum bal_result result,
            clk_time elapsed, clk_time now)
{
  struct bal_member *member;
  int64_t sample = elapsed;

  pthread_mutex_lock (&bal->lock);
  member = bal_table_find (bal->table, candidates[chosen].key);
  if (member == NULL)
    {
      pthread_mutex_unlock (&bal->lock);
      return;
    }
  if (member->outstanding > 0)
    member->outstanding--;
  if (result == BAL_SERVED)
    {
      member->failures = 0;
      if (now - member->ejected_to > FORGIVE_AFTER)
        member->ejections = 0;
    }
  else
    {
      /* A member that fails fast must not look fast.  */
      int64_t least
          = result == BAL_FAILED ? FAILURE_LATENCY : 2 * member->latency;

      sample = sample > least ? sample : least;
      member->failures
          += result == BAL_FAILED ? FAILURE_WEIGHT : REFUSAL_WEIGHT;
    }
  add_sample (member, sample, now);
  if (member->failures >= EJECTION_WEIGHT && member->ejected_to <= now
      && may_eject (bal, candidates, count, now))
    eject (bal, member, now);
  pthread_mutex_unlock (&bal->lock);
}

bool
bal_is_ejected (struct bal *bal, uint64_t key, clk_time now)
{
  const struct bal_member *member;
  bool ejected;

  pthread_mutex_lock (&bal->lock);
  member = bal_table_find (bal->table, key);
  ejected = member != NULL && member->ejected_to > now;
  pthread_mutex_unlock (&bal->lock);
  return ejected;
}

uint32_t
bal_owner (const struct bal_candidate *candidates, uint32_t count,
           const char *order_key)
{
  uint32_t owner = BAL_NONE;
  uint64_t best = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t weight = XXH3_64bits_withSeed (order_key, strlen (order_key),
                                              candidates[i].name);

      if (owner == BAL_NONE || weight > best
          || (weight == best && candidates[i].name > candidates[owner].name))
        {
          owner = i;
          best = weight;
        }
    }
  return owner;
}
