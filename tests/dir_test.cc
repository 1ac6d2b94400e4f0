/* Tests the directory of nodes.  */

#include "base/err.h"
#include "dir/dir.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <string>

static struct mbr_member
make_member (const char *name, uint64_t incarnation, uint64_t sequence)
{
  struct mbr_member member = {};

  snprintf (member.name, sizeof member.name, "%s", name);
  snprintf (member.data_centre, sizeof member.data_centre, "a");
  snprintf (member.region, sizeof member.region, "r");
  member.address = { 0x0a000001, 8300 };
  member.incarnation = incarnation;
  member.sequence = sequence;
  return member;
}

class Directory : public testing::Test
{
protected:
  void
  TearDown () override
  {
    dir_destroy (directory);
  }
  enum dir_change
  merge (const char *name, uint64_t incarnation, uint64_t sequence,
         bool leaving = false)
  {
    struct mbr_member member = make_member (name, incarnation, sequence);

    member.upstream_leaving = leaving;
    return dir_merge (directory, &member, 0, &handle);
  }
  struct dir *directory = dir_create ();
  dir_handle handle = DIR_NONE;
};

/* Guards against an older record replacing a newer one: records of one node
   arrive over several paths and in any order.  */
TEST_F (Directory, KeepsTheNewerRecord)
{
  EXPECT_EQ (merge ("n", 5, 2, true), DIR_NEW);
  EXPECT_EQ (merge ("n", 5, 1), DIR_OLDER);
  EXPECT_EQ (merge ("n", 4, 9), DIR_OLDER);
  EXPECT_TRUE (dir_get (directory, handle)->upstream_leaving);
  EXPECT_EQ (merge ("n", 5, 2, true), DIR_SAME);
  EXPECT_EQ (merge ("n", 6, 1), DIR_CHANGED);
  EXPECT_FALSE (dir_get (directory, handle)->upstream_leaving);
}

class Departures : public Directory
{
protected:
  enum dir_change
  merge_upstream (uint64_t incarnation, uint64_t sequence,
                  const std::string &upstream, uint64_t born, bool leaving)
  {
    struct mbr_member member = make_member ("n", incarnation, sequence);

    snprintf (member.upstream, sizeof member.upstream, "%s",
              upstream.c_str ());
    member.upstream_born = born;
    member.upstream_leaving = leaving;
    return dir_merge (directory, &member, 0, &handle);
  }
  /* Returns the name of the upstream that has left, "" if none is known.  */
  std::string
  departed () const
  {
    const struct mbr_member *record = dir_departure (directory, handle);

    return record != nullptr ? record->upstream : "";
  }
};

/* Guards against a departure that is lost with the process that acknowledged
   it: the records of the next one lack it, however many follow.  */
TEST_F (Departures, OutliveTheirProcess)
{
  merge_upstream (5, 1, "i-1", 1000, false);
  EXPECT_EQ (departed (), "");
  merge_upstream (5, 2, "i-1", 1000, true);
  EXPECT_EQ (departed (), "i-1");
  merge_upstream (6, 1, "", 0, false);
  merge_upstream (7, 1, "", 0, false);
  EXPECT_EQ (departed (), "i-1");
  EXPECT_EQ (dir_departure (directory, handle)->incarnation, 5u);
  /* A late heartbeat has brought the upstream back.  */
  merge_upstream (7, 2, "i-1", 1000, false);
  EXPECT_EQ (departed (), "i-1");
  merge_upstream (7, 3, "i-1", 1000, true);
  EXPECT_EQ (dir_departure (directory, handle)->incarnation, 7u);
}

/* Guards against a departure that binds the upstream which follows, also one
   that starts again under its name.  */
TEST_F (Departures, EndWithALaterStart)
{
  merge_upstream (5, 1, "i-1", 1000, true);
  merge_upstream (6, 1, "i-1", 2000, false);
  EXPECT_EQ (departed (), "");
  merge_upstream (6, 2, "i-1", 2000, true);
  merge_upstream (7, 1, "", 0, false);
  merge_upstream (7, 2, "i-2", 3000, false);
  EXPECT_EQ (departed (), "");
}

/* Guards against a departure that ends with the record of an earlier start,
   which a process that starts may have read from a copy of the store.  */
TEST_F (Departures, DoNotEndWithAnEarlierStart)
{
  merge_upstream (5, 1, "i-2", 2000, true);
  merge_upstream (6, 1, "i-1", 1000, true);
  EXPECT_EQ (departed (), "i-2");
  merge_upstream (6, 2, "i-1", 1000, false);
  EXPECT_EQ (departed (), "i-2");
}

/* Guards against a departure that is ignored because its record arrives after
   the first one of the next process.  */
TEST_F (Departures, MayArriveLate)
{
  merge_upstream (6, 1, "", 0, false);
  EXPECT_EQ (merge_upstream (5, 2, "i-1", 1000, true), DIR_OLDER);
  EXPECT_EQ (departed (), "i-1");
  EXPECT_EQ (merge_upstream (5, 1, "i-0", 900, true), DIR_OLDER);
  EXPECT_EQ (departed (), "i-1");
  dir_remove (directory, handle);
  merge_upstream (6, 1, "", 0, false);
  EXPECT_EQ (departed (), "");
}

/* Guards against a handle that changes while its node is known, and against
   one handle for two nodes.  */
TEST_F (Directory, HandlesAreStableAndReusedAfterRemoval)
{
  dir_handle first;
  dir_handle second;

  merge ("a", 1, 1);
  first = handle;
  merge ("b", 1, 1);
  second = handle;
  EXPECT_NE (first, second);
  merge ("a", 1, 2);
  EXPECT_EQ (handle, first);
  dir_remove (directory, first);
  EXPECT_EQ (dir_get (directory, first), nullptr);
  EXPECT_EQ (dir_find (directory, "a"), DIR_NONE);
  merge ("c", 1, 1);
  EXPECT_EQ (handle, first);
  EXPECT_EQ (dir_count (directory), 2u);
}

/* Guards against an older record that revives a dead node, and against records
   of dead nodes that are never removed.  */
TEST_F (Directory, RecordsOfDeadNodesAreKeptUntilPurged)
{
  struct mbr_member member = make_member ("n", 5, 3);

  merge ("n", 5, 2);
  member.state = MBR_DEAD;
  EXPECT_EQ (dir_merge (directory, &member, 100, &handle), DIR_CHANGED);
  EXPECT_EQ (dir_alive_count (directory), 0u);
  EXPECT_EQ (merge ("n", 5, 2), DIR_OLDER);
  dir_purge_dead (directory, 100);
  EXPECT_EQ (dir_count (directory), 1u);
  dir_purge_dead (directory, 101);
  EXPECT_EQ (dir_count (directory), 0u);
}

/* Guards against a directory that grows without bound.  */
TEST_F (Directory, IsBounded)
{
  for (int i = 0; i < DIR_MAX_NODES; i++)
    ASSERT_EQ (merge (("n" + std::to_string (i)).c_str (), 1, 1), DIR_NEW);
  EXPECT_EQ (merge ("more", 1, 1), DIR_FULL);
}

/* Guards against equal digests of different directories, and against different
   digests of equal directories whose records arrived in another order.  */
TEST_F (Directory, DigestDependsOnRecordsButNotOnTheirOrder)
{
  struct dir *other = dir_create ();
  struct mbr_member a = make_member ("a", 1, 1);
  struct mbr_member b = make_member ("b", 1, 1);

  merge ("a", 1, 1);
  merge ("b", 1, 1);
  dir_merge (other, &b, 0, &handle);
  EXPECT_NE (dir_digest (directory), dir_digest (other));
  dir_merge (other, &a, 0, &handle);
  EXPECT_EQ (dir_digest (directory), dir_digest (other));
  b.sequence = 2;
  dir_merge (other, &b, 0, &handle);
  EXPECT_NE (dir_digest (directory), dir_digest (other));
  dir_destroy (other);
}

/* Guards against fields that are lost or changed when a record is written to
   the store and read back.  */
TEST_F (Directory, RecordsSurviveAJsonRoundTrip)
{
  struct mbr_member member = make_member ("n", 5, 2);
  struct mbr_member copy;
  json_t *content;

  member.slots = 6;
  member.upstream_born = 1234567890123;
  member.upstream_leaving = true;
  member.platform_distance = 21;
  member.mesh_size = 304;
  snprintf (member.service, sizeof member.service, "stock");
  snprintf (member.upstream, sizeof member.upstream, "i-1");
  content = dir_to_json (&member);
  EXPECT_TRUE (dir_from_json (content, &copy));
  EXPECT_TRUE (mbr_member_equal (&member, &copy));
  EXPECT_EQ (copy.mesh_size, 304u);
  json_decref (content);
}

/* Guards against records of other programs that are rejected because they lack
   the number of nodes or have further fields.  */
TEST_F (Directory, AcceptsRecordsWithOtherFields)
{
  struct mbr_member member = make_member ("n", 5, 2);
  struct mbr_member copy;
  json_t *content = dir_to_json (&member);

  json_object_del (content, "mesh_size");
  json_object_set_new (content, "later_field", json_array ());
  EXPECT_TRUE (dir_from_json (content, &copy));
  EXPECT_EQ (copy.mesh_size, 0u);
  json_decref (content);
}

/* Guards against invalid records written by another program: missing fields,
   other types, names that are too long.  */
TEST_F (Directory, RejectsInvalidRecords)
{
  static const char *const fields[]
      = { "node",          "data_centre",      "region",
          "address",       "service",          "upstream",
          "incarnation",   "sequence",         "slots",
          "upstream_born", "upstream_leaving", "platform_distance_ms",
          "capacity" };
  struct mbr_member member = make_member ("n", 5, 2);
  struct mbr_member copy;

  for (const char *field : fields)
    {
      json_t *content = dir_to_json (&member);

      json_object_set_new (content, field, json_array ());
      EXPECT_FALSE (dir_from_json (content, &copy)) << field;
      json_object_del (content, field);
      EXPECT_FALSE (dir_from_json (content, &copy)) << field;
      json_decref (content);
    }
  json_t *content = dir_to_json (&member);
  json_object_set_new (content, "node",
                       json_string (std::string (64, 'x').c_str ()));
  EXPECT_FALSE (dir_from_json (content, &copy));
  json_decref (content);
  EXPECT_FALSE (dir_from_json (nullptr, &copy));
}
