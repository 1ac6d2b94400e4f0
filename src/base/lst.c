/* Doubly linked list.  */

#include "base/lst.h"

void
lst_push_front (struct lst *list, struct lst_entry *link)
{
  link->next = list->first;
  link->previous = NULL;
  if (link->next != NULL)
    link->next->previous = link;
  list->first = link;
}

void
lst_remove (struct lst *list, struct lst_entry *link)
{
  if (link->previous == NULL && list->first != link)
    return;
  if (link->previous != NULL)
    link->previous->next = link->next;
  else
    list->first = link->next;
  if (link->next != NULL)
    link->next->previous = link->previous;
  *link = (struct lst_entry){ NULL, NULL };
}

struct lst_entry *
lst_pop_front (struct lst *list)
{
  struct lst_entry *link = list->first;

  if (link != NULL)
    lst_remove (list, link);
  return link;
}
