/* Split of requests between versions.  */

#include "rol/rol_split.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

static size_t
count_version (const struct rol_upstream *upstreams, size_t count,
               const char *version, uint64_t *first_ms)
{
  size_t found = 0;

  *first_ms = UINT64_MAX;
  for (size_t i = 0; i < count; i++)
    if (strcmp (upstreams[i].version, version) == 0)
      {
        found++;
        if (upstreams[i].started_ms < *first_ms)
          *first_ms = upstreams[i].started_ms;
      }
  return found;
}

const char *
rol_find_version (const struct rol_upstream *upstreams, size_t count,
                  const char *excluded)
{
  const char *best = NULL;
  size_t best_count = 0;
  uint64_t best_first = 0;

  for (size_t i = 0; i < count; i++)
    {
      const char *version = upstreams[i].version;
      uint64_t first;
      size_t found;

      if ((excluded != NULL && strcmp (version, excluded) == 0)
          || (best != NULL && strcmp (version, best) == 0))
        continue;
      found = count_version (upstreams, count, version, &first);
      if (best == NULL || found > best_count
          || (found == best_count
              && (first < best_first
                  || (first == best_first && strcmp (version, best) < 0))))
        {
          best = version;
          best_count = found;
          best_first = first;
        }
    }
  return best;
}

const char *
rol_find_first_version (const struct rol_upstream *upstreams, size_t count)
{
  const struct rol_upstream *first = NULL;

  for (size_t i = 0; i < count; i++)
    if (first == NULL || upstreams[i].started_ms < first->started_ms
        || (upstreams[i].started_ms == first->started_ms
            && strcmp (upstreams[i].version, first->version) < 0))
      first = &upstreams[i];
  return first != NULL ? first->version : NULL;
}

static bool
has_usable (const struct rol_upstream *upstreams, size_t count,
            const char *version)
{
  for (size_t i = 0; i < count; i++)
    if (upstreams[i].usable && strcmp (upstreams[i].version, version) == 0)
      return true;
  return false;
}

static void
copy_version (char to[PTF_NAME_SIZE], const char *from)
{
  size_t length = strnlen (from, PTF_NAME_SIZE - 1);

  memcpy (to, from, length);
  to[length] = '\0';
}

void
rol_update_in_use (struct rol_in_use *in_use,
                   const struct rol_upstream *upstreams, size_t count,
                   bool settled, clk_time now)
{
  const char *most = settled ? rol_find_version (upstreams, count, NULL)
                             : rol_find_first_version (upstreams, count);

  if (most == NULL || strcmp (most, in_use->version) == 0)
    {
      in_use->other[0] = '\0';
      return;
    }
  if (strcmp (most, in_use->other) != 0)
    {
      copy_version (in_use->other, most);
      in_use->other_since = now;
    }
  if (settled && has_usable (upstreams, count, in_use->version)
      && now - in_use->other_since < ROL_ADOPTION_TIME)
    return;
  copy_version (in_use->version, most);
  in_use->other[0] = '\0';
}

/* Returns the place of a node in the order in which canaries are chosen.  */
static uint64_t
rank_of (const struct rol_upstream *upstream, const char *service)
{
  return XXH3_64bits_withSeed (upstream->node, strlen (upstream->node),
                               XXH3_64bits (service, strlen (service)));
}

static bool
is_eligible (const struct rol_upstream *upstream, const char *version)
{
  return upstream->usable && strcmp (upstream->version, version) == 0;
}

/* Returns the first upstream in the order of canaries that is not one yet,
   null when there is none.  */
static struct rol_upstream *
find_next_canary (struct rol_upstream *upstreams, size_t count,
                  const char *service, const char *version)
{
  struct rol_upstream *best = NULL;

  for (size_t i = 0; i < count; i++)
    if (!upstreams[i].is_canary && is_eligible (&upstreams[i], version)
        && (best == NULL
            || rank_of (&upstreams[i], service) > rank_of (best, service)))
      best = &upstreams[i];
  return best;
}

void
rol_choose_canaries (struct rol_upstream *upstreams, size_t count,
                     const char *service, const char *version, double share)
{
  size_t eligible = 0;
  size_t wanted;

  for (size_t i = 0; i < count; i++)
    {
      upstreams[i].is_canary = false;
      if (is_eligible (&upstreams[i], version))
        eligible++;
    }
  wanted = (size_t)ceil (share * (double)eligible);
  if (wanted < ROL_MIN_CANARIES)
    wanted = ROL_MIN_CANARIES;
  while (wanted-- > 0)
    {
      struct rol_upstream *next
          = find_next_canary (upstreams, count, service, version);

      if (next != NULL)
        next->is_canary = true;
    }
}

double
rol_share_of (enum rol_phase phase, double max_share, clk_time contact_at,
              clk_time now)
{
  switch (phase)
    {
    case ROL_CANARY:
      return now - contact_at < ROL_CONTACT_TIME ? ROL_SHARE_PART * max_share
                                                 : 0;
    case ROL_SWITCHING:
    case ROL_COMPLETED:
      return 1;
    default:
      return 0;
    }
}

enum rol_side
rol_take_side (struct rol_share *state, double share)
{
  if (share >= 1)
    return ROL_NEW;
  if (share <= 0)
    return ROL_OLD;
  state->earned += share;
  if (state->earned < 1)
    return ROL_OLD;
  state->earned -= 1;
  return ROL_NEW;
}

void
rol_return_side (struct rol_share *state)
{
  /* Requests that found no room do not add up to a burst.  */
  state->earned = fmin (state->earned + 1, 1);
}
