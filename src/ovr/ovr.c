/* Reports that a tenant is over its share: a hash table with chains.  Freed
   places have deadline 0, so they are the first to be used again.  */

#include "ovr/ovr.h"

#include "base/mem.h"

#include <stdlib.h>
#include <xxhash.h>

#define CHAIN_COUNT 256u

/* No place; places are numbered from 0.  */
#define NO_PLACE UINT16_MAX

struct ovr
{
  struct ovr_report reports[OVR_MAX_REPORTS];
  uint16_t next[OVR_MAX_REPORTS]; /* of the same chain */
  uint16_t chains[CHAIN_COUNT];   /* first place of each */
  clk_time latest;                /* deadline of the newest report */
};

struct ovr *
ovr_create (void)
{
  struct ovr *table = mem_alloc (1, sizeof *table);

  for (size_t i = 0; i < CHAIN_COUNT; i++)
    table->chains[i] = NO_PLACE;
  return table;
}

void
ovr_destroy (struct ovr *table)
{
  free (table);
}

static bool
is_same (const struct ovr_key *left, const struct ovr_key *right)
{
  return left->tenant == right->tenant && left->peer == right->peer
         && left->route == right->route;
}

static size_t
chain_of (const struct ovr_key *key)
{
  return XXH3_64bits (key, sizeof *key) % CHAIN_COUNT;
}

/* Returns the place of KEY, NO_PLACE when it has none.  */
static uint16_t
find_place (const struct ovr *table, const struct ovr_key *key)
{
  uint16_t place = table->chains[chain_of (key)];

  while (place != NO_PLACE && !is_same (&table->reports[place].key, key))
    place = table->next[place];
  return place;
}

/* Takes a place out of its chain.  */
static void
free_place (struct ovr *table, uint16_t place)
{
  uint16_t *link = &table->chains[chain_of (&table->reports[place].key)];

  while (*link != place)
    link = &table->next[*link];
  *link = table->next[place];
  table->reports[place].deadline = 0;
}

/* Returns the place of the oldest report, out of its chain.  */
static uint16_t
take_oldest (struct ovr *table)
{
  uint16_t oldest = 0;

  for (uint16_t i = 1; i < OVR_MAX_REPORTS; i++)
    if (table->reports[i].deadline < table->reports[oldest].deadline)
      oldest = i;
  if (table->reports[oldest].deadline != 0)
    free_place (table, oldest);
  return oldest;
}

void
ovr_add (struct ovr *table, const struct ovr_key *key, clk_time wait,
         clk_time now)
{
  uint16_t place = find_place (table, key);

  if (place == NO_PLACE)
    {
      uint16_t *chain = &table->chains[chain_of (key)];

      place = take_oldest (table);
      table->next[place] = *chain;
      *chain = place;
    }
  table->latest = now + OVR_REPORT_TIME;
  table->reports[place] = (struct ovr_report){ *key, wait, table->latest };
}

/* Removes the reports of a peer: those of one tenant, or all for 0.  */
static void
clear (struct ovr *table, uint64_t tenant, uint32_t peer)
{
  for (uint16_t i = 0; i < OVR_MAX_REPORTS; i++)
    {
      const struct ovr_report *report = &table->reports[i];

      if (report->deadline != 0 && report->key.peer == peer
          && (tenant == 0 || report->key.tenant == tenant))
        free_place (table, i);
    }
}

void
ovr_clear_tenant (struct ovr *table, uint64_t tenant, uint32_t peer,
                  clk_time now)
{
  if (now < table->latest)
    clear (table, tenant, peer);
}

void
ovr_clear_peer (struct ovr *table, uint32_t peer)
{
  clear (table, 0, peer);
}

const struct ovr_report *
ovr_find (const struct ovr *table, const struct ovr_key *key, clk_time now)
{
  uint16_t place;

  if (now >= table->latest)
    return NULL;
  place = find_place (table, key);
  if (place == NO_PLACE || now >= table->reports[place].deadline)
    return NULL;
  return &table->reports[place];
}

clk_time
ovr_age (const struct ovr_report *report, clk_time now)
{
  return now - (report->deadline - OVR_REPORT_TIME);
}
