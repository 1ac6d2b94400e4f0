/* Owners of subjects.  */

#include "own/own.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

class Owners : public testing::Test
{
protected:
  Owners () { directory = dir_create (); }
  ~Owners () override { dir_destroy (directory); }

  dir_handle
  add (const std::string &name, enum mbr_state state = MBR_ALIVE,
       uint64_t sequence = 1)
  {
    struct mbr_member member = {};
    dir_handle handle;

    snprintf (member.name, sizeof member.name, "%s", name.c_str ());
    snprintf (member.data_centre, sizeof member.data_centre, "a");
    member.incarnation = 1;
    member.sequence = sequence;
    member.state = state;
    dir_merge (directory, &member, 0, &handle);
    return handle;
  }

  std::string
  owner_of (const std::string &subject)
  {
    dir_handle owner = own_find_owner (directory, "kind", subject.c_str (),
                                       is_reachable, this);

    return owner == DIR_NONE ? "" : dir_get (directory, owner)->name;
  }

  static bool
  is_reachable (void *context, dir_handle node)
  {
    return static_cast<Owners *> (context)->unreachable.count (node) == 0;
  }

  struct dir *directory;
  std::set<dir_handle> unreachable;
};

/* Guards against an owner that depends on the order in which records have
   arrived: all nodes must name the same one.  */
TEST_F (Owners, DependOnNamesOnly)
{
  for (int i = 0; i < 50; i++)
    add ("node-" + std::to_string (i));
  std::string owner = owner_of ("stock");

  dir_destroy (directory);
  directory = dir_create ();
  for (int i = 49; i >= 0; i--)
    add ("node-" + std::to_string (i));
  EXPECT_EQ (owner_of ("stock"), owner);
}

/* Guards against one node that owns most subjects.  */
TEST_F (Owners, AreSpreadOverTheNodes)
{
  std::map<std::string, int> counts;

  for (int i = 0; i < 80; i++)
    add ("node-" + std::to_string (i));
  for (int i = 0; i < 8000; i++)
    counts[owner_of ("tenant-" + std::to_string (i))]++;
  EXPECT_EQ (counts.size (), 80u);
  for (const auto &[node, count] : counts)
    EXPECT_LT (count, 200) << node;
}

/* Guards against a subject without an owner after its owner was lost, and
   against subjects of other owners that move then.  */
TEST_F (Owners, PassToTheNextNode)
{
  std::map<std::string, std::string> before;

  for (int i = 0; i < 20; i++)
    add ("node-" + std::to_string (i));
  for (int i = 0; i < 200; i++)
    before["t" + std::to_string (i)] = owner_of ("t" + std::to_string (i));
  unreachable.insert (dir_find (directory, "node-3"));
  add ("node-4", MBR_DEAD, 2);
  for (const auto &[subject, owner] : before)
    if (owner == "node-3" || owner == "node-4")
      {
        EXPECT_NE (owner_of (subject), "node-3");
        EXPECT_NE (owner_of (subject), "node-4");
        EXPECT_NE (owner_of (subject), "");
      }
    else
      EXPECT_EQ (owner_of (subject), owner);
}

/* Guards against an owner that cannot be reached by anybody.  */
TEST_F (Owners, AreNoneWithoutNodes)
{
  EXPECT_EQ (owner_of ("stock"), "");
  unreachable.insert (add ("node-0"));
  EXPECT_EQ (owner_of ("stock"), "");
}
