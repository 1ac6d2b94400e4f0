/* Doubly linked list.  */

#include "base/lst.h"

void
lst_add (struct lst *list, struct lst_link *link)
{
  link->next = list->first;
  link->previous = NULL;
  if (link->next != NULL)
    link->next->previous = link;
  list->first = link;
}

void
lst_remove (struct lst *list, struct lst_link *link)
{
  if (link->previous == NULL && list->first != link)
    return;
  if (link->previous != NULL)
    link->previous->next = link->next;
  else
    list->first = link->next;
  if (link->next != NULL)
    link->next->previous = link->previous;
  *link = (struct lst_link){ NULL, NULL };
}

struct lst_link *
lst_take (struct lst *list)
{
  struct lst_link *link = list->first;

  if (link != NULL)
    lst_remove (list, link);
  return link;
}
