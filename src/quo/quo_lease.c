/* A node's credit of one tenant.  */

#include "quo/quo_lease.h"

#include <math.h>

/* Demand that a node asks credit for, in s.  */
#define DEMAND_PART 0.1

/* Time constant of the measured demand, in s.  */
#define DEMAND_TIME 0.5

/* After the owner had too little credit, a node asks only for the requests
   that wait, for this time: what it held for later ones would be missing at
   other nodes.  */
#define SCARCE_TIME (250 * CLK_MILLISECOND)

/* Part of the rate that the floors of all nodes add up to.  An owner that some
   nodes cannot see still grants the rate to the others.  */
#define FLOOR_PART 0.5

/* Expired credit is returned to the owner within this time.  */
#define RETURN_TIME (50 * CLK_MILLISECOND)

/* Part of the time until there is credit by which refused callers are
   spread.  */
#define SPREAD_PART 0.5

static double
seconds_of (clk_time time)
{
  return (double)time / (double)CLK_SECOND;
}

static clk_time
time_of (double seconds)
{
  return (clk_time)(seconds * (double)CLK_SECOND);
}

/* Returns the part of a measured rate that remains at NOW.  */
static double
remaining_part (const struct quo_lease *lease, clk_time now)
{
  return exp (-seconds_of (now - lease->measured_at) / DEMAND_TIME);
}

static void
fade (struct quo_lease *lease, clk_time now)
{
  double part = remaining_part (lease, now);

  lease->demand *= part;
  lease->served *= part;
  lease->measured_at = now;
}

void
quo_lease_note_arrival (struct quo_lease *lease, clk_time now)
{
  fade (lease, now);
  lease->demand += 1 / DEMAND_TIME;
}

static void
note_served (struct quo_lease *lease, clk_time now)
{
  fade (lease, now);
  lease->served += 1 / DEMAND_TIME;
}

bool
quo_lease_take (struct quo_lease *lease, clk_time now)
{
  if (lease->credit == 0 || now >= lease->expires_at)
    return false;
  lease->credit--;
  note_served (lease, now);
  return true;
}

void
quo_lease_return (struct quo_lease *lease, clk_time now)
{
  /* The lease of the credit may be over; the next one takes its place.  */
  if (now < lease->expires_at)
    lease->credit++;
}

uint32_t
quo_lease_wanted (const struct quo_lease *lease, uint32_t waiting,
                  clk_time now)
{
  double demand = lease->demand * remaining_part (lease, now) * DEMAND_PART;
  uint32_t wanted
      = demand < QUO_MAX_WANTED ? (uint32_t)demand : QUO_MAX_WANTED;

  if (wanted < waiting || now < lease->scarce_until)
    wanted = waiting;
  if (wanted == 0)
    wanted = 1;
  return wanted < QUO_MAX_WANTED ? wanted : QUO_MAX_WANTED;
}

uint32_t
quo_lease_take_expired (struct quo_lease *lease, uint64_t owner, clk_time now)
{
  uint32_t credit = lease->credit;

  lease->credit = 0;
  return lease->owner == owner && now < lease->expires_at + RETURN_TIME
             ? credit
             : 0;
}

void
quo_lease_grant (struct quo_lease *lease, uint32_t credit, uint32_t wanted,
                 uint64_t owner, clk_time asked_at)
{
  if (credit < wanted)
    lease->scarce_until = asked_at + SCARCE_TIME;
  lease->credit += credit;
  lease->owner = owner;
  lease->expires_at = asked_at + QUO_LEASE_TIME;
  lease->refused_until = 0;
  lease->floor_at = 0;
}

void
quo_lease_refuse (struct quo_lease *lease, clk_time wait, clk_time now)
{
  lease->refused_until = now + wait;
  lease->floor_at = 0;
  lease->scarce_until = now + wait + SCARCE_TIME;
}

bool
quo_lease_may_wait (const struct quo_lease *lease, uint32_t waiting,
                    double rate, clk_time deadline, clk_time now)
{
  clk_time limit = now + QUO_MAX_WAIT;

  if (lease->refused_until <= now)
    return true;
  if (deadline < limit)
    limit = deadline;
  return lease->refused_until + time_of (waiting / rate) < limit;
}

bool
quo_lease_take_floor (struct quo_lease *lease, double rate, size_t node_count,
                      double unit, clk_time now)
{
  if (node_count == 0)
    return false;
  if (lease->floor_at == 0)
    lease->floor_credit = unit;
  else
    lease->floor_credit += FLOOR_PART * rate / (double)node_count
                           * seconds_of (now - lease->floor_at);
  lease->floor_at = now;
  if (lease->floor_credit > 1)
    lease->floor_credit = 1;
  if (lease->floor_credit < 1)
    return false;
  lease->floor_credit -= 1;
  note_served (lease, now);
  return true;
}

/* Returns the rate at which this node can expect credit: as lately, at least
   an equal part.  */
static double
expected_rate (const struct quo_lease *lease, double rate, size_t node_count,
               clk_time now)
{
  double equal = rate / (double)(node_count > 0 ? node_count : 1);
  double served = lease->served * remaining_part (lease, now);

  if (served < equal)
    return equal;
  return served < rate ? served : rate;
}

clk_time
quo_lease_retry (struct quo_lease *lease, double rate, size_t node_count,
                 double unit, clk_time now)
{
  clk_time place = time_of (1 / expected_rate (lease, rate, node_count, now));
  clk_time at = lease->retry_until;
  clk_time wait;

  if (at < lease->refused_until)
    at = lease->refused_until;
  if (at < now)
    at = now;
  wait = at - now + place;
  if (wait >= QUO_LONGEST_RETRY)
    {
      lease->retry_until = now + QUO_LONGEST_RETRY;
      return QUO_LONGEST_RETRY - time_of (unit);
    }
  lease->retry_until = now + wait;
  wait += (clk_time)(unit * SPREAD_PART * (double)wait)
          + (clk_time)(unit * (double)QUO_SHORTEST_RETRY);
  if (wait < QUO_SHORTEST_RETRY)
    return QUO_SHORTEST_RETRY;
  return wait < QUO_LONGEST_RETRY ? wait : QUO_LONGEST_RETRY;
}
