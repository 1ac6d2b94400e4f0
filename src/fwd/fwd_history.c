/* History of the attempts of a call.  */

#include "fwd/fwd_history.h"

void
fwd_history_add (struct fwd_history *history, uint32_t number, dir_handle peer,
                 clk_time now)
{
  if (history->count == FWD_HISTORY_SIZE)
    {
      history->omitted++;
      return;
    }
  history->attempts[history->count++]
      = (struct fwd_attempt){ .number = number, .peer = peer, .sent_at = now };
}

/* Returns the attempt with this number that has not ended, or null.  */
static struct fwd_attempt *
find_under_way (struct fwd_history *history, uint32_t number)
{
  for (unsigned i = 0; i < history->count; i++)
    if (history->attempts[i].number == number
        && history->attempts[i].end == FWD_UNDER_WAY)
      return &history->attempts[i];
  return NULL;
}

void
fwd_history_end (struct fwd_history *history, uint32_t number,
                 enum fwd_end end, enum gat_refusal refusal, clk_time now)
{
  struct fwd_attempt *attempt = find_under_way (history, number);

  if (attempt == NULL)
    return;
  attempt->end = end;
  attempt->refusal = refusal;
  attempt->ended_at = now;
}

void
fwd_history_note_overdue (struct fwd_history *history, uint32_t number)
{
  struct fwd_attempt *attempt = find_under_way (history, number);

  if (attempt != NULL)
    attempt->ping_overdue = true;
}

const char *
fwd_end_name (enum fwd_end end)
{
  static const char *const names[FWD_END_COUNT] = { "under way", "answered",
                                                    "not run",   "lost",
                                                    "link lost", "cancelled" };

  return names[end];
}

static void
print_attempt (const struct fwd_attempt *attempt, const char *node,
               clk_time arrival, clk_time now, struct buf *text)
{
  clk_time end = attempt->end == FWD_UNDER_WAY ? now : attempt->ended_at;

  buf_printf (text, "%s %.1f+%.1f %s", node,
              (double)(attempt->sent_at - arrival) / (double)CLK_MILLISECOND,
              (double)(end - attempt->sent_at) / (double)CLK_MILLISECOND,
              fwd_end_name (attempt->end));
  if (attempt->end == FWD_NOT_RUN)
    buf_printf (text, " (%s)", gat_refusal_name (attempt->refusal));
  if (attempt->ping_overdue)
    buf_printf (text, " (ping overdue)");
}

void
fwd_history_print (const struct fwd_history *history,
                   const struct dir *directory, clk_time arrival, clk_time now,
                   struct buf *text)
{
  for (unsigned i = 0; i < history->count; i++)
    {
      const struct fwd_attempt *attempt = &history->attempts[i];
      const struct mbr_member *member = dir_get (directory, attempt->peer);

      if (i > 0)
        buf_printf (text, ", ");
      print_attempt (attempt, member != NULL ? member->name : "(gone)",
                     arrival, now, text);
    }
  if (history->omitted > 0)
    buf_printf (text, ", and more");
}
