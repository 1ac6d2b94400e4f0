/* Tests the snapshots.  */

#include "base/err.h"
#include "rte/rte.h"
#include "snp/snp.h"

#include <gtest/gtest.h>
#include <string>

/* Guards against a snapshot that refers to the caller's text, which may be
   freed, and against one that is freed while it has a reference.  */
TEST (Snapshot, OwnsItsTextUntilTheLastReferenceIsReleased)
{
  std::string text = "[[service]]\nname = \"s\"\n[[route]]\npath = \"/\"\n"
                     "service = \"s\"\nclass = \"once\"\n";
  std::string copy = text;
  struct snp_snapshot *snapshot;

  ASSERT_EQ (snp_create (7, text.data (), text.size (), &snapshot), SNP_OK);
  text.assign (text.size (), 'x');
  EXPECT_EQ (snapshot->stamp.version, 7u);
  EXPECT_EQ (snapshot->stamp.hash, snp_hash (copy.data (), copy.size ()));
  snp_retain (snapshot);
  snp_release (snapshot);
  EXPECT_EQ (std::string (snapshot->text, snapshot->length), copy);
  EXPECT_NE (rte_match (snapshot, "", "/x", "GET"), nullptr);
  snp_release (snapshot);
}

/* Guards against a version that is applied in part (invariant I3): an invalid
   document yields no snapshot, and the reason is reported.  */
TEST (Snapshot, IsNotCreatedFromAnInvalidDocument)
{
  std::string text = "[[service]]\nname = \"s\"\n[[route]]\npath = \"/\"\n"
                     "service = \"none\"\nclass = \"once\"\n";
  struct snp_snapshot *snapshot;

  EXPECT_EQ (snp_create (7, text.data (), text.size (), &snapshot),
             SNP_INVALID);
  EXPECT_EQ (snapshot, nullptr);
  EXPECT_NE (std::string (err_last ()).find ("version 7 is invalid"),
             std::string::npos);
}
