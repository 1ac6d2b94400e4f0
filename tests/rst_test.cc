/* Tests the decisions on node records after a restore of the store.  */

#include "rst/rst.h"

#include <cstdio>
#include <gtest/gtest.h>

static struct mbr_member
make_record (uint64_t incarnation, uint64_t sequence)
{
  struct mbr_member record = {};

  snprintf (record.name, sizeof record.name, "node-1");
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = MBR_ALIVE;
  return record;
}

/* Guards against a node that the store has lost and nobody writes again.  */
TEST (Rst, WritesALostRecord)
{
  struct mbr_member known = make_record (5, 2);

  EXPECT_EQ (rst_decide (&known, nullptr), RST_WRITE);
}

/* Guards against an acknowledged departure that is gone with the record.  */
TEST (Rst, WritesALostDeparture)
{
  struct mbr_member known = make_record (5, 3);
  struct mbr_member stored = make_record (5, 2);

  known.upstream_leaving = true;
  EXPECT_EQ (rst_decide (&known, &stored), RST_WRITE);
}

/* Guards against a write for each node at each restore: the store rarely holds
   the newest sequence.  */
TEST (Rst, KeepsAnEquivalentRecord)
{
  struct mbr_member known = make_record (5, 9);
  struct mbr_member stored = make_record (5, 2);

  stored.platform_distance = 3;
  stored.mesh_size = 4;
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
}

/* Guards against a record of a node's later process that is overwritten.  */
TEST (Rst, KeepsALaterIncarnation)
{
  struct mbr_member known = make_record (5, 9);
  struct mbr_member stored = make_record (6, 1);

  stored.slots = 7;
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
  known.state = MBR_DEAD;
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
}

/* Guards against a node that left and is back in the store for ever.  */
TEST (Rst, RemovesTheRecordOfADeadNode)
{
  struct mbr_member known = make_record (5, 9);
  struct mbr_member stored = make_record (5, 2);

  known.state = MBR_DEAD;
  EXPECT_EQ (rst_decide (&known, &stored), RST_REMOVE);
  EXPECT_EQ (rst_decide (&known, nullptr), RST_KEEP);
}

/* Guards against a departure that is gone with the store's later records while
   the node that acknowledged it is stopped.  */
TEST (Rst, WritesALostDepartureOfALeavingNode)
{
  struct mbr_member known = make_record (5, 3);
  struct mbr_member stored = make_record (5, 2);

  snprintf (known.upstream, sizeof known.upstream, "i-1");
  known.upstream_born = 1000;
  known.upstream_leaving = true;
  known.state = MBR_LEAVING;
  EXPECT_EQ (rst_decide (&known, &stored), RST_WRITE);
  stored = known;
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
  stored.upstream_leaving = false;
  stored.upstream_born = 2000;
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
  stored = make_record (6, 1);
  EXPECT_EQ (rst_decide (&known, &stored), RST_KEEP);
}

/* Guards against the record of a leaving node that is written after the node
   removed it.  */
TEST (Rst, LeavesALeavingNodeAlone)
{
  struct mbr_member known = make_record (5, 9);

  known.state = MBR_LEAVING;
  EXPECT_EQ (rst_decide (&known, nullptr), RST_KEEP);
}
