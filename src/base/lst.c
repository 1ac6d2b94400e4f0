/* Doubly linked list.  */

#include "base/lst.h"

void
lst_push_front (struct lst *list, struct lst_entry *entry)
{
  entry->next = list->first;
  entry->previous = NULL;
  if (entry->next != NULL)
    entry->next->previous = entry;
  list->first = entry;
}

void
lst_remove (struct lst *list, struct lst_entry *entry)
{
  if (entry->previous == NULL && list->first != entry)
    return;
  if (entry->previous != NULL)
    entry->previous->next = entry->next;
  else
    list->first = entry->next;
  if (entry->next != NULL)
    entry->next->previous = entry->previous;
  *entry = (struct lst_entry){ NULL, NULL };
}

struct lst_entry *
lst_pop_front (struct lst *list)
{
  struct lst_entry *entry = list->first;

  if (entry != NULL)
    lst_remove (list, entry);
  return entry;
}
