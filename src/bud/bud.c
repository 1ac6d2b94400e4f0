/* Budget of repeats.  */

#include "bud/bud.h"

#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Part of the budget that a node uses.  The rest covers calls that a repeated
   run makes, which count as repeats too and are not seen as such here.  */
#define USED_PART 0.7

/* Services that a budget knows; callers cannot add any, documents do.  */
#define MAX_SERVICES 1024

/* What happened in one step of a window.  */
struct step
{
  int64_t number; /* of the step since time 0 */
  uint32_t requests;
  uint32_t repeats;
};

struct service
{
  char name[BUD_NAME_SIZE];
  struct step steps[BUD_WINDOW_BUCKETS];
};

struct bud
{
  struct service *services;
  size_t count;
};

struct bud *
bud_create (void)
{
  return mem_alloc (1, sizeof (struct bud));
}

void
bud_destroy (struct bud *budget)
{
  if (budget == NULL)
    return;
  free (budget->services);
  free (budget);
}

static struct service *
find_service (struct bud *budget, const char *name)
{
  for (size_t i = 0; i < budget->count; i++)
    if (strcmp (budget->services[i].name, name) == 0)
      return &budget->services[i];
  if (budget->count == MAX_SERVICES || strlen (name) >= BUD_NAME_SIZE)
    return NULL;
  budget->services = mem_resize (budget->services, budget->count + 1,
                                 sizeof *budget->services);
  memset (&budget->services[budget->count], 0, sizeof *budget->services);
  strcpy (budget->services[budget->count].name, name);
  return &budget->services[budget->count++];
}

/* Returns the step of NOW, emptied when it held an earlier one.  */
static struct step *
current_step (struct service *service, const struct bud_limits *limits,
              clk_time now)
{
  int64_t number = now / (limits->window / BUD_WINDOW_BUCKETS);
  struct step *step = &service->steps[number % BUD_WINDOW_BUCKETS];

  if (step->number != number)
    *step = (struct step){ .number = number };
  return step;
}

void
bud_count_request (struct bud *budget, const char *name,
                   const struct bud_limits *limits, clk_time now)
{
  struct service *service = find_service (budget, name);

  if (service != NULL)
    current_step (service, limits, now)->requests++;
}

bool
bud_take_retry (struct bud *budget, const char *name,
                const struct bud_limits *limits, clk_time now)
{
  struct service *service = find_service (budget, name);
  struct step *step;
  double requests = 0;
  double repeats = 0;
  double allowed;

  if (service == NULL)
    return false;
  step = current_step (service, limits, now);
  for (size_t i = 0; i < BUD_WINDOW_BUCKETS; i++)
    if (service->steps[i].number > step->number - BUD_WINDOW_BUCKETS)
      {
        requests += service->steps[i].requests;
        repeats += service->steps[i].repeats;
      }
  allowed = limits->ratio * requests;
  if (limits->node_count > 0)
    allowed += limits->base_retries / (double)limits->node_count;
  if (repeats + 1 > USED_PART * allowed)
    return false;
  step->repeats++;
  return true;
}
