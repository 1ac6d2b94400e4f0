/* Collection of the parts of a version.  */

#include "syn/syn_part.h"

#include "ver/ver.h"

uint32_t
syn_part_count (size_t length)
{
  return (uint32_t)((length + SYN_PART_LENGTH - 1) / SYN_PART_LENGTH);
}

void
syn_collector_clear (struct syn_collector *collector)
{
  buf_close (&collector->payload);
  *collector = (struct syn_collector){ 0 };
}

static bool
is_valid (const struct syn_part *part)
{
  return part->count > 1 && part->index < part->count && part->length > 0
         && part->length <= SYN_PART_LENGTH;
}

/* Returns whether PART is the one that is expected next.  */
static bool
continues (const struct syn_collector *collector, const struct syn_part *part)
{
  return collector->count == part->count && collector->next == part->index
         && collector->sender == part->sender
         && ver_equal (collector->base, part->base)
         && ver_equal (collector->result, part->result);
}

static void
begin (struct syn_collector *collector, const struct syn_part *part)
{
  syn_collector_clear (collector);
  collector->sender = part->sender;
  collector->base = part->base;
  collector->result = part->result;
  collector->count = part->count;
}

enum syn_part_status
syn_collector_add (struct syn_collector *collector,
                   const struct syn_part *part, clk_time now)
{
  bool collecting = collector->count > 0;

  if (collecting && part->sender != collector->sender
      && now < collector->deadline)
    return SYN_PART_IGNORED;
  if (is_valid (part) && part->index == 0)
    begin (collector, part);
  if (!is_valid (part) || !continues (collector, part)
      || collector->payload.length + part->length > SYN_PART_MAX_TOTAL)
    {
      syn_collector_clear (collector);
      return collecting ? SYN_PART_DISCARDED : SYN_PART_UNEXPECTED;
    }
  buf_append (&collector->payload, part->data, part->length);
  collector->next++;
  collector->deadline = now + SYN_FETCH_TIMEOUT;
  return collector->next == collector->count ? SYN_PART_COMPLETE
                                             : SYN_PART_ADDED;
}
