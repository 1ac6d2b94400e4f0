/* HTTP messages: assembly from fragments, framing, limits.  */

#include "htp/htp.h"

#include <cstring>
#include <gtest/gtest.h>
#include <string>

class Messages : public testing::Test
{
protected:
  void
  start (enum htp_kind kind, size_t header = 4096, size_t body = 4096)
  {
    struct htp_limits limits = { header, body };

    htp_reader_close (&reader);
    htp_reader_init (&reader, kind, &limits);
  }
  /* Reads TEXT in fragments of SIZE bytes and stores what follows the first
     message in REST.  */
  enum htp_status
  read (const std::string &text, size_t size = 100000)
  {
    enum htp_status status = HTP_INCOMPLETE;
    size_t at = 0;

    while (at < text.size () && status == HTP_INCOMPLETE)
      {
        size_t used;

        status = htp_read (&reader, text.data () + at,
                           std::min (size, text.size () - at), &used);
        at += used;
      }
    rest = text.substr (at);
    return status;
  }
  std::string
  body () const
  {
    return std::string (buf_text (&reader.message.body),
                        reader.message.body.length);
  }
  void
  TearDown () override
  {
    htp_reader_close (&reader);
  }
  struct htp_reader reader = {};
  std::string rest;
};

static const char post[] = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nEmpty:\r\n"
                           "X-Id:  7 \r\nContent-Length: 3\r\n\r\nabc";

/* Guards against results that depend on how many bytes each read returns.  */
TEST_F (Messages, FragmentsOfAnySizeGiveTheSameMessage)
{
  for (size_t size = 1; size < sizeof post; size++)
    {
      start (HTP_REQUEST);
      ASSERT_EQ (read (std::string (post) + "GET /", size), HTP_COMPLETE);
      EXPECT_STREQ (htp_method (&reader.message), "POST");
      EXPECT_STREQ (htp_target (&reader.message), "/a/b?c=1");
      EXPECT_STREQ (htp_find_header (&reader.message, "host"), "x");
      EXPECT_STREQ (htp_find_header (&reader.message, "Empty"), "");
      EXPECT_STREQ (htp_find_header (&reader.message, "x-id"), "7");
      EXPECT_EQ (htp_find_header (&reader.message, "y"), nullptr);
      EXPECT_EQ (body (), "abc");
      EXPECT_EQ (rest, "GET /");
      EXPECT_TRUE (reader.message.keep_alive);
    }
}

/* Guards against chunk sizes that are stored as part of the body, and trailer
   fields that are stored as header fields.  */
TEST_F (Messages, JoinsChunks)
{
  start (HTP_REQUEST);
  EXPECT_EQ (read ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nab\r\n1\r\nc\r\n0\r\nX-Late: 1\r\n\r\n",
                   3),
             HTP_COMPLETE);
  EXPECT_EQ (body (), "abc");
  EXPECT_EQ (htp_find_header (&reader.message, "X-Late"), nullptr);
}

/* Guards against request smuggling: a message whose end is ambiguous is
   invalid.  */
TEST_F (Messages, RejectsAmbiguousFraming)
{
  static const char *const texts[]
      = { ("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
           "chunked\r\n\r\n0\r\n\r\n"),
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n",
          "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
          "GET /a b HTTP/1.1\r\n\r\n",
          "\x01\x02\x03\r\n\r\n" };

  for (const char *text : texts)
    {
      start (HTP_REQUEST);
      EXPECT_EQ (read (text), HTP_INVALID) << text;
    }
}

/* Guards against a CR without an LF that ends a head early, so that the rest
   of the head becomes the body, and against chunks that lack their line ends.
 */
TEST_F (Messages, RejectsInvalidLineEnds)
{
  static const std::string head = "HTTP/1.1 200 OK\r\nA: 1\r\n";
  static const std::string chunks
      = head + "Transfer-Encoding: chunked\r\n\r\n";

  for (const std::string &text :
       { head + "\rContent-Length: 2\r\n\r\nok", head + "\r\rok",
         std::string ("HTTP/1.1 200 OK\nA: 1\n\rok"),
         head + "Content-Length: 2\r\n\rxok", chunks + "2\rxok\r\n0\r\n\r\n",
         chunks + "2\r\nokxy0\r\n\r\n", chunks + "2\r\nok\rx0\r\n\r\n",
         chunks + "2\r\nok\n\n0\r\n\r\n", chunks + "2\r\nok\r\n0\r\n\rx",
         "HTTP/1.1 100 Continue\r\n\rx" + head + "Content-Length: 0\r\n\r\n" })
    for (size_t size : { 1, 2, 3, 7, 100000 })
      {
        start (HTP_RESPONSE);
        EXPECT_EQ (read (text, size), HTP_INVALID) << text << " " << size;
      }
}

/* Guards against a body that is passed on in a transfer coding that nobody
   undoes, or of which the chunk sizes are taken for a part.  */
TEST_F (Messages, RejectsUnknownTransferEncodings)
{
  for (const char *coding :
       { "", "identity", "gzip", "gzip, chunked", "chunked, gzip", "chunke",
         "chunkedx", "chun\r\n ked", "\"chunked\"",
         "chunked\r\nTransfer-Encoding: identity",
         "chunked\r\nTransfer-Encoding: chunked" })
    {
      start (HTP_RESPONSE);
      EXPECT_EQ (read (std::string ("HTTP/1.1 200 OK\r\nTransfer-Encoding: ")
                       + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                 HTP_INVALID)
          << coding;
    }
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked \r\n\r\n"
                   "2;a=b\r\nok\r\n0\r\n\r\n"),
             HTP_COMPLETE);
  EXPECT_EQ (body (), "ok");
}

/* Guards against memory that is used for messages above the limits.  */
TEST_F (Messages, EnforcesTheLimits)
{
  start (HTP_REQUEST, 100, 10);
  EXPECT_EQ (read ("GET / HTTP/1.1\r\nA: " + std::string (200, 'x')),
             HTP_HEADER_TOO_LARGE);
  start (HTP_REQUEST, 100, 10);
  EXPECT_EQ (read ("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"),
             HTP_BODY_TOO_LARGE);
  EXPECT_EQ (reader.message.body.length, 0u);
  start (HTP_REQUEST, 100, 10);
  EXPECT_EQ (read ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "b\r\n01234567890\r\n"),
             HTP_BODY_TOO_LARGE);
  start (HTP_REQUEST, 100000, 10);
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i <= HTP_MAX_HEADERS; i++)
    many += "A: 1\r\n";
  EXPECT_EQ (read (many + "\r\n"), HTP_HEADER_TOO_LARGE);
}

/* Guards against a truncated response that counts as complete when its
   connection ends, and a close-delimited one that never becomes complete.  */
TEST_F (Messages, EndOfConnectionCompletesCloseDelimitedResponses)
{
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\n\r\nabc"), HTP_INCOMPLETE);
  EXPECT_TRUE (reader.message.close_delimited);
  EXPECT_EQ (htp_read_eof (&reader), HTP_COMPLETE);
  EXPECT_EQ (body (), "abc");
  EXPECT_FALSE (reader.message.keep_alive);
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"),
             HTP_INCOMPLETE);
  EXPECT_EQ (htp_read_eof (&reader), HTP_INVALID);
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n"),
             HTP_INCOMPLETE);
  EXPECT_EQ (htp_read_eof (&reader), HTP_INVALID);
  start (HTP_RESPONSE);
  EXPECT_EQ (htp_read_eof (&reader), HTP_INCOMPLETE);
}

/* Guards against waiting for the body of a response that has none.  */
TEST_F (Messages, SomeResponsesHaveNoBody)
{
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 204 No Content\r\n\r\n"), HTP_COMPLETE);
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 304 Not Modified\r\n\r\n"), HTP_COMPLETE);
  start (HTP_RESPONSE);
  reader.without_body = true;
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
             HTP_COMPLETE);
}

/* Guards against memory that is taken from a shared budget beyond its size, or
   that is never returned.  */
TEST_F (Messages, ShareABudget)
{
  struct htp_budget budget = { 6, 0 };
  struct htp_message message;

  start (HTP_RESPONSE);
  htp_reader_set_budget (&reader, &budget);
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"),
             HTP_INCOMPLETE);
  EXPECT_EQ (budget.used_bytes, 3u);
  EXPECT_EQ (read ("d"), HTP_COMPLETE);
  htp_take_message (&reader, &message);
  htp_message_close (&message);
  EXPECT_EQ (budget.used_bytes, 0u);
  budget.used_bytes = 3;
  EXPECT_EQ (read ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"),
             HTP_INCOMPLETE);
  EXPECT_EQ (read ("d"), HTP_NO_MEMORY);
  htp_reader_set_budget (&reader, nullptr);
  EXPECT_EQ (budget.used_bytes, 3u);
}

/* Guards against a request that is read in part before it is known that its
   body does not fit.  */
TEST_F (Messages, TakeTheBudgetOfARequestBeforeItsBody)
{
  struct htp_budget budget = { 6, 0 };

  start (HTP_REQUEST);
  htp_reader_set_budget (&reader, &budget);
  EXPECT_EQ (read ("POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n"),
             HTP_NO_MEMORY);
  EXPECT_EQ (budget.used_bytes, 0u);
  htp_reader_reset (&reader);
  EXPECT_EQ (read ("POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\n"),
             HTP_INCOMPLETE);
  EXPECT_EQ (budget.used_bytes, 6u);
  htp_reader_reset (&reader);
  EXPECT_EQ (budget.used_bytes, 0u);
}

/* Guards against an interim response that is returned as the final one.  */
TEST_F (Messages, SkipsInterimResponses)
{
  start (HTP_RESPONSE);
  EXPECT_EQ (read ("HTTP/1.1 100 Continue\r\nA: 1\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
             HTP_COMPLETE);
  EXPECT_EQ (reader.message.status, 200);
  EXPECT_EQ (reader.message.header_count, 1u);
}

/* Guards against a response with a status that no response has, and that is
   passed on as an answer, and against one that http_parser reads as another
   status.  */
TEST_F (Messages, RejectsStatusesOutOfRange)
{
  for (const char *status :
       { "000", "0", "2", "20", "099", "101", "600", "999", "1000", "0200",
         "00200", "2000", "20O", "OK", "", "-200", "+200", "2 00" })
    for (const char *interim : { "", "HTTP/1.1 100 Continue\r\n\r\n" })
      for (size_t size : { 1, 7, 100000 })
        {
          start (HTP_RESPONSE);
          EXPECT_GT (read (interim + std::string ("HTTP/1.1 ") + status
                               + " OK\r\nContent-Length: 1\r\n\r\nx",
                           size),
                     HTP_COMPLETE)
              << status << " " << size;
        }
}

/* Guards against valid statuses that are rejected, with or without a reason
   phrase, after an interim response, a line end or a second space.  */
TEST_F (Messages, TakesStatusesInRange)
{
  for (unsigned status : { 200u, 299u, 304u, 421u, 500u, 599u })
    for (const char *before :
         { "", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.0 199\r\n\r\n" })
      for (const char *reason : { "", " ", " OK" })
        for (size_t size : { 1, 7, 100000 })
          {
            start (HTP_RESPONSE);
            reader.without_body = true;
            ASSERT_EQ (read (before + std::string ("HTTP/1.1")
                                 + (size == 7 ? "  " : " ")
                                 + std::to_string (status) + reason
                                 + "\r\n\r\n",
                             size),
                       HTP_COMPLETE)
                << before << status << reason;
            EXPECT_EQ (reader.message.status, status);
          }
}

/* Guards against a response that is read from the start of one and the rest of
   another, with the status of the first and the body of the second.  */
TEST_F (Messages, RejectsAStatusLineInsideAHeader)
{
  for (const char *inside : { "OK", "OKHTTP/1.1 500 Error", "HTTP/1.1 500 ",
                              "HTTP/HTTP/1.0 204", "HTTP/1.1 5x" })
    for (const char *field : { "", "A: ", "A: 1" })
      for (size_t size : { 1, 3, 100000 })
        {
          bool sound = strstr (inside, "OK") == inside
                           ? strlen (inside) == 2
                           : strstr (inside, "5x") != nullptr;
          std::string text = "HTTP/1.1 200 ";

          if (field[0] != '\0')
            text += std::string ("Fine\r\n") + field;
          text += std::string (inside) + "\r\nContent-Length: 0\r\n\r\n";
          start (HTP_RESPONSE);
          EXPECT_EQ (read (text, size), sound ? HTP_COMPLETE : HTP_INVALID)
              << text;
        }
}

/* Guards against forwarding header fields that concern one connection.  */
TEST_F (Messages, RecognizesHopByHopFields)
{
  EXPECT_TRUE (htp_is_hop_by_hop ("connection"));
  EXPECT_TRUE (htp_is_hop_by_hop ("Keep-Alive"));
  EXPECT_TRUE (htp_is_hop_by_hop ("CONTENT-LENGTH"));
  EXPECT_FALSE (htp_is_hop_by_hop ("Host"));
}

/* Guards against header injection: a name or value with a line end would start
   another header field.  */
TEST_F (Messages, RejectsHeaderInjection)
{
  struct buf output = {};

  EXPECT_TRUE (htp_put_header (&output, "A", "1"));
  EXPECT_FALSE (htp_put_header (&output, "B", "1\r\nC: 2"));
  EXPECT_FALSE (htp_put_header (&output, "D\r\n", "1"));
  EXPECT_STREQ (buf_text (&output), "A: 1\r\n");
  buf_close (&output);
}
