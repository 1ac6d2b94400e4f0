/* Tenants of callers, by the key in their requests.  */

#include "base/err.h"
#include "base/mem.h"
#include "pfm.h"
#include "snp/snp.h"
#include "ten/ten.h"

#include <cmath>
#include <cstring>
#include <gtest/gtest.h>
#include <string>

/* Returns a request with these header fields.  */
static struct htp_message
make_request (const std::string &fields)
{
  const struct htp_limits limits = { 16384, 1024 };
  std::string text = "GET /a/ HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
  struct htp_message message;
  struct htp_reader reader;
  size_t used;

  htp_reader_init (&reader, HTP_REQUEST, &limits);
  EXPECT_EQ (htp_read (&reader, text.data (), text.size (), &used),
             HTP_COMPLETE);
  htp_take_message (&reader, &message);
  htp_reader_close (&reader);
  return message;
}

class Tenants : public testing::Test
{
protected:
  /* Reads a document with these entries.  */
  enum ptf_status
  read (const std::string &entries)
  {
    std::string text = "{'Version':1,'Resources':[" + entries + "]}";
    json_t *content;
    uint64_t version;
    enum ptf_status status;

    for (char &c : text)
      c = c == '\'' ? '"' : c;
    content = json_loads (text.c_str (), 0, nullptr);
    EXPECT_NE (content, nullptr) << text;
    doc_destroy (document);
    status = pfm_read_config (content, &version, &document);
    json_decref (content);
    return status;
  }

  /* Returns the tenant of a request, or its status.  */
  std::string
  tenant_of (const std::string &fields)
  {
    struct ten_index *index = ten_index_create (document);
    struct htp_message request = make_request (fields);
    const struct doc_tenant *tenant;
    enum ten_status status
        = ten_authenticate (index, &pfm_platform, &request, &tenant);
    std::string result = status == TEN_OK        ? tenant->name
                         : status == TEN_MISSING ? "missing"
                                                 : "unknown";

    htp_message_close (&request);
    ten_index_destroy (index);
    return result;
  }

  ~Tenants () override { doc_destroy (document); }

  static std::string
  tenant (const std::string &name, const std::string &spec)
  {
    return "{'EntryType':'Tenants','Metadata':{'Name':'" + name + "'},'Spec':{"
           + spec + "}}";
  }

  struct doc_document *document = nullptr;
};

/* Guards against limits of tenants that are lost when the document is read. */
TEST_F (Tenants, HaveLimitsFromTheDocument)
{
  ASSERT_EQ (read (tenant ("b", "'ApiKeys':['k1','k2'],'Priority':2,"
                                "'RatePerS':39.5,'Burst':7")
                   + "," + tenant ("a", "'ApiKeys':[]")),
             PTF_OK)
      << err_last ();
  EXPECT_TRUE (document->requires_keys);
  const struct doc_tenant *found = doc_find_tenant (document, "b");
  ASSERT_NE (found, nullptr);
  EXPECT_EQ (found->key_count, 2u);
  EXPECT_EQ (found->priority, 2u);
  EXPECT_EQ (found->rate, 39.5);
  EXPECT_EQ (found->burst, 7);
  EXPECT_EQ (doc_find_tenant (document, "c"), nullptr);
}

/* Guards against a caller that passes for another tenant, or for one without a
   key: other schemes, several keys, parts of a key, spaces and case.  */
TEST_F (Tenants, AreFoundByTheWholeKeyOnly)
{
  ASSERT_EQ (read (tenant ("a", "'ApiKeys':['secret-a','other-a']") + ","
                   + tenant ("b", "'ApiKeys':['secret-b']")),
             PTF_OK)
      << err_last ();
  EXPECT_EQ (tenant_of ("Authorization: Token secret-a\r\n"), "a");
  EXPECT_EQ (tenant_of ("Authorization: Token other-a\r\n"), "a");
  EXPECT_EQ (tenant_of ("aUTHORIZATION:   token   secret-b  \r\n"), "b");
  EXPECT_EQ (tenant_of (""), "missing");
  for (const char *fields :
       { "Authorization: Token secret-\r\n",
         "Authorization: Token SECRET-A\r\n",
         "Authorization: Token secret-aa\r\n", "Authorization: Token\r\n",
         "Authorization: Token \r\n", "Authorization: Tokensecret-a\r\n",
         "Authorization: Bearer secret-a\r\n", "Authorization: secret-a\r\n",
         "Authorization: Token secret-a, Token secret-b\r\n",
         "Authorization: Token secret-a\r\nauthorization: Token secret-a\r\n",
         "Authorization: Token secret-a\r\nAuthorization: Token "
         "secret-b\r\n",
         "Authorization: Token secret-\r\n a\r\n",
         "Authorization: Token\tsecret-a\r\n",
         "Authorization: \r\nAuthorization: Token secret-a\r\n" })
    EXPECT_EQ (tenant_of (fields), "unknown") << fields;
}

/* Guards against invalid tenants that take effect in part, and against errors
   that quote a key.  */
TEST_F (Tenants, RefuseInvalidDocuments)
{
  for (const std::string &entries :
       { tenant ("", "'ApiKeys':['secret']"),
         tenant (std::string (64, 'n'), "'ApiKeys':['secret']"),
         tenant ("a", "'ApiKeys':['']"), tenant ("a", "'ApiKeys':'secret'"),
         tenant ("a", "'ApiKeys':['secret',7]"),
         tenant ("a", "'ApiKeys':['" + std::string (1025, 'k') + "']"),
         tenant ("a", "'RatePerS':-1"), tenant ("a", "'RatePerS':'5'"),
         tenant ("a", "'Burst':-0.5"), tenant ("a", "'Priority':-1"),
         tenant ("a", "'ApiKeys':['secret']") + ","
             + tenant ("b", "'ApiKeys':['x','secret']"),
         tenant ("a", "") + "," + tenant ("a", "") })
    {
      EXPECT_EQ (read (entries), PTF_INVALID) << entries;
      EXPECT_EQ (document, nullptr);
      EXPECT_EQ (std::string (err_last ()).find ("secret"), std::string::npos);
    }
}

/* Guards against names that a header field cannot hold, so that upstreams get
   requests without a tenant.  */
TEST_F (Tenants, RefuseNamesWithControlCharacters)
{
  for (const char *name : { "a\\nb", "a\\r", "\\ta", "a\\u007f" })
    EXPECT_EQ (read (tenant (name, "'ApiKeys':['secret']")), PTF_INVALID)
        << name;
  EXPECT_EQ (read (tenant ("caf\u00e9 n\u00b0 1", "'ApiKeys':['secret']")),
             PTF_OK);
}

/* Guards against a rate of -0, which equals 0 but has another digest: other
   nodes rejected such a version.  */
TEST_F (Tenants, HaveNoNegativeZeroAsLimit)
{
  ASSERT_EQ (read (tenant ("a", "'RatePerS':-0.0,'Burst':-0.0")), PTF_OK);
  EXPECT_FALSE (std::signbit (document->tenants[0].rate));
  EXPECT_FALSE (std::signbit (document->tenants[0].burst));
}

/* Guards against documents without tenants that start to require keys.  */
TEST_F (Tenants, AreNotRequired)
{
  ASSERT_EQ (read (""), PTF_OK) << err_last ();
  EXPECT_FALSE (document->requires_keys);
  EXPECT_EQ (tenant_of ("Authorization: Token secret\r\n"), "unknown");
}

/* Guards against keys that are lost or found at another tenant when a table
   holds many.  */
TEST_F (Tenants, AreFoundAmongManyKeys)
{
  std::string entries;

  for (int i = 0; i < 3000; i++)
    entries += (i > 0 ? "," : "")
               + tenant ("t" + std::to_string (i),
                         "'ApiKeys':['k" + std::to_string (i) + "','q"
                             + std::to_string (i) + "']");
  ASSERT_EQ (read (entries), PTF_OK) << err_last ();
  for (int i = 0; i < 3000; i += 97)
    {
      std::string number = std::to_string (i);

      EXPECT_EQ (tenant_of ("Authorization: Token k" + number + "\r\n"),
                 "t" + number);
      EXPECT_EQ (tenant_of ("Authorization: Token q" + number + "\r\n"),
                 "t" + number);
      EXPECT_EQ (tenant_of ("Authorization: Token z" + number + "\r\n"),
                 "unknown");
    }
}

/* Guards against types of routes that let a request run twice.  */
TEST_F (Tenants, RouteTypesSayWhatMayRepeat)
{
  const std::pair<const char *, enum doc_class> types[]
      = { { "safe", DOC_IDEMPOTENT },
          { "unsafe", DOC_AT_MOST_ONCE },
          { "download", DOC_IDEMPOTENT },
          { "upload", DOC_AT_MOST_ONCE } };

  for (const auto &[type, call_class] : types)
    {
      ASSERT_EQ (
          read ("{'EntryType':'Services','Metadata':{'Name':'s'},'Spec':{}},"
                "{'EntryType':'Routes','Metadata':{'Name':'r'},'Spec':{"
                "'Host':'h','PathPrefix':'/p/','RouteType':'"
                + std::string (type)
                + "','TimeoutS':1,'Service':'s','Public':true}}"),
          PTF_OK)
          << err_last ();
      EXPECT_EQ (document->routes[0].call_class, call_class);
      EXPECT_TRUE (document->routes[0].is_public);
    }
}
