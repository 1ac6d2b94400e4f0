/* Difference of the routes of two documents.  */

#include "base/mem.h"
#include "doc/doc_diff_list.h"
#include "doc/doc_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* One route of a sorted list.  */
struct place
{
  const struct doc_route *route;
};

/* Routes of one document, sorted by host, path and place in the text.  */
struct side
{
  const struct doc_document *document;
  struct place *places;
  size_t count;
  size_t start; /* of the group of equal host and path that is compared */
  size_t end;
  size_t *partners; /* index + 1 of the paired route of the other side */
};

static int
compare_places (const struct doc_route *left, const struct doc_route *right)
{
  int order = strcasecmp (left->host, right->host);

  return order != 0 ? order : strcmp (left->path, right->path);
}

static int
compare_routes (const void *left, const void *right)
{
  const struct doc_route *a = ((const struct place *)left)->route;
  const struct doc_route *b = ((const struct place *)right)->route;
  int order = compare_places (a, b);

  if (order != 0)
    return order;
  return a < b ? -1 : a > b;
}

static void
open_side (struct side *side, const struct doc_document *document)
{
  side->document = document;
  side->count = document->route_count;
  side->start = 0;
  side->places = mem_alloc (side->count, sizeof *side->places);
  side->partners = mem_alloc (side->count, sizeof *side->partners);
  for (size_t i = 0; i < side->count; i++)
    side->places[i].route = &document->routes[i];
  qsort (side->places, side->count, sizeof *side->places, compare_routes);
}

static void
close_side (struct side *side)
{
  free (side->places);
  free (side->partners);
}

/* Sets the end of the group that starts at START when its host and path are
   those of FIRST; else leaves an empty group.  */
static void
find_group (struct side *side, const struct doc_route *first)
{
  side->end = side->start;
  while (side->end < side->count
         && compare_places (side->places[side->end].route, first) == 0)
    side->end++;
}

static void
print_subject (const struct doc_route *route, struct buf *output)
{
  buf_printf (output, "route ");
  doc_print_methods (route->methods, output);
  buf_printf (output, " %s%s%s", route->path,
              route->host[0] != '\0' ? " at " : "", route->host);
}

static const char *
service_name (const struct side *side, size_t index)
{
  return side->document->services[side->places[index].route->service].name;
}

/* Pairs the routes of both groups that are left, only those with equal methods
   when EXACT.  */
static void
pair_routes (struct side *from, struct side *to, bool exact)
{
  for (size_t i = from->start; i < from->end; i++)
    for (size_t j = to->start; j < to->end && from->partners[i] == 0; j++)
      if (to->partners[j] == 0
          && (!exact
              || from->places[i].route->methods
                     == to->places[j].route->methods))
        {
          from->partners[i] = j + 1;
          to->partners[j] = i + 1;
        }
}

static void
compare_pair (struct doc_diff *diff, const struct side *from, size_t i,
              const struct side *to, size_t j)
{
  const struct doc_route *left = from->places[i].route;
  const struct doc_route *right = to->places[j].route;
  struct buf subject = { 0 };
  struct buf from_methods = { 0 };
  struct buf to_methods = { 0 };

  print_subject (left, &subject);
  doc_print_methods (left->methods, &from_methods);
  doc_print_methods (right->methods, &to_methods);
  doc_diff_field (diff, buf_text (&subject), "methods",
                  buf_text (&from_methods), buf_text (&to_methods));
  doc_diff_field (diff, buf_text (&subject), "service", service_name (from, i),
                  service_name (to, j));
  doc_diff_field (diff, buf_text (&subject), "class",
                  doc_class_name (left->call_class),
                  doc_class_name (right->call_class));
  doc_diff_number (diff, buf_text (&subject), "deadline_ms", left->deadline_ms,
                   right->deadline_ms);
  buf_close (&subject);
  buf_close (&from_methods);
  buf_close (&to_methods);
}

/* Reports routes that share a method and changed places: the first one in the
   text gets the requests.  */
static void
compare_order (struct doc_diff *diff, const struct side *from)
{
  for (size_t i = from->start; i < from->end; i++)
    for (size_t j = i + 1; j < from->end; j++)
      if (from->partners[i] != 0 && from->partners[j] != 0
          && from->partners[i] > from->partners[j]
          && (from->places[i].route->methods & from->places[j].route->methods)
                 != 0)
        {
          struct buf subject = { 0 };
          struct buf before = { 0 };
          struct buf after = { 0 };

          print_subject (from->places[i].route, &subject);
          buf_printf (&before, "before ");
          print_subject (from->places[j].route, &before);
          buf_printf (&after, "after ");
          print_subject (from->places[j].route, &after);
          doc_diff_add (diff, DOC_CHANGED, buf_text (&subject), "place",
                        buf_text (&before), buf_text (&after));
          buf_close (&subject);
          buf_close (&before);
          buf_close (&after);
        }
}

static void
report_single (struct doc_diff *diff, enum doc_change_kind kind,
               const struct side *side, size_t index)
{
  const struct doc_route *route = side->places[index].route;
  struct buf subject = { 0 };
  struct buf text = { 0 };

  print_subject (route, &subject);
  if (kind == DOC_ADDED)
    buf_printf (&text, "to service \"%s\", class %s, deadline %u ms",
                service_name (side, index), doc_class_name (route->call_class),
                route->deadline_ms);
  doc_diff_add (diff, kind, buf_text (&subject), "", "", buf_text (&text));
  buf_close (&subject);
  buf_close (&text);
}

static void
compare_group (struct doc_diff *diff, struct side *from, struct side *to)
{
  pair_routes (from, to, true);
  pair_routes (from, to, false);
  for (size_t i = from->start; i < from->end; i++)
    if (from->partners[i] == 0)
      report_single (diff, DOC_REMOVED, from, i);
    else
      compare_pair (diff, from, i, to, from->partners[i] - 1);
  for (size_t j = to->start; j < to->end; j++)
    if (to->partners[j] == 0)
      report_single (diff, DOC_ADDED, to, j);
  compare_order (diff, from);
}

void
doc_diff_routes (struct doc_diff *diff, const struct doc_document *from,
                 const struct doc_document *to)
{
  struct side old_side;
  struct side new_side;

  open_side (&old_side, from);
  open_side (&new_side, to);
  while (old_side.start < old_side.count || new_side.start < new_side.count)
    {
      const struct doc_route *first;

      if (new_side.start == new_side.count
          || (old_side.start < old_side.count
              && compare_places (old_side.places[old_side.start].route,
                                 new_side.places[new_side.start].route)
                     <= 0))
        first = old_side.places[old_side.start].route;
      else
        first = new_side.places[new_side.start].route;
      find_group (&old_side, first);
      find_group (&new_side, first);
      compare_group (diff, &old_side, &new_side);
      old_side.start = old_side.end;
      new_side.start = new_side.end;
    }
  close_side (&old_side);
  close_side (&new_side);
}
