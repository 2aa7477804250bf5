#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_READER_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_READER_H_

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "eventio/byte_budget.h"
#include "eventio/http_message.h"

namespace vanillatiller {

// One parsed HTTP message.
struct ParsedMessage {
  // Requests only.
  std::string method;
  std::string target;
  // Responses only.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // Whether the sender keeps the connection open.
  bool keep_alive = false;
};

// Strict incremental parser for the HTTP/1.1 messages of one connection. A
// message whose framing is ambiguous between parsers is an error. Parsing
// stops after each message. A response whose framing takes more bytes than its
// body and twice the limit of the headers is too large: parsing chunks of
// single bytes up to the limit of the body takes the node's time from other
// calls.
class HttpReader {
 public:
  enum class Kind : uint8_t { kRequests, kResponses };
  enum class Result : uint8_t { kNeedsMore, kMessage, kError, kTooLarge };

  struct Limits {
    size_t max_header_bytes = size_t{64} << 10;
    size_t max_body_bytes = size_t{64} << 20;
    // Holds the bytes of the body that is being read, if set. Must outlive the
    // reader.
    ByteBudget* body_budget = nullptr;
  };

  HttpReader(Kind kind, Limits limits);
  ~HttpReader() { ReturnBodyBytes(); }
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Parses up to the end of one message and removes the consumed bytes from
  // `data`. After kMessage, Take() returns the message.
  Result Read(std::string_view* data);
  // Handles an orderly close of the connection. Returns kMessage if the close
  // completes a response without Content-Length.
  Result ReadEof();
  ParsedMessage Take();

  // Must not be called within a message.
  void SetLimits(const Limits& limits) { m_limits = limits; }
  // Set if the next response answers a HEAD request.
  void ExpectNoBody(bool expected) { m_no_body = expected; }
  // Whether a message has been partially read.
  bool IsInMessage() const { return m_in_message; }
  // Whether the headers of the current message are complete.
  bool AreHeadersComplete() const { return m_headers_complete; }
  const ParsedMessage& Current() const { return m_message; }

 private:
  static HttpReader* Self(http_parser* parser);
  static int OnMessageBegin(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* data, size_t size);
  static int OnField(http_parser* parser, const char* data, size_t size);
  static int OnValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  bool CountHeaderBytes(size_t size);
  bool HasTooMuchFraming() const;
  bool TakeBodyBytes(size_t size);
  void ReturnBodyBytes();

  const Kind m_kind;
  Limits m_limits;
  http_parser m_parser;
  ParsedMessage m_message;
  size_t m_header_bytes = 0;
  // Of the current message, including its framing.
  size_t m_message_bytes = 0;
  // Empty lines read since the last message.
  size_t m_skipped_bytes = 0;
  // Taken from the budget.
  size_t m_budgeted_bytes = 0;
  bool m_in_message = false;
  bool m_headers_complete = false;
  bool m_complete = false;
  bool m_too_large = false;
  bool m_no_body = false;
  bool m_last_was_value = true;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_READER_H_
