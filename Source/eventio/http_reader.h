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
  // Of the memory of the message.
  ByteCharge charge;
};

// Strict incremental parser for the HTTP/1.1 messages of one connection. A
// message whose framing is ambiguous between parsers is an error, and so is a
// response whose status is not one of the protocol, from 100 to 599. Parsing
// stops after each message. The memory of a message is counted as it grows: of
// a body that is announced as soon as its head has been read, of others in
// growing steps. A response whose framing takes more bytes than its
// body and twice the limit of the headers is too large: parsing chunks of
// single bytes up to the limit of the body takes the node's time from other
// calls.
class HttpReader {
 public:
  enum class Kind : uint8_t { kRequests, kResponses };
  enum class Result : uint8_t {
    kNeedsMore,
    kMessage,
    kError,
    // The message exceeds a limit, or what the process can ever hold.
    kTooLarge,
    // The budget refused the message.
    kNoMemory,
  };

  struct Limits {
    // The head as sent, and the body.
    size_t max_header_bytes = size_t{64} << 10;
    size_t max_body_bytes = size_t{64} << 20;
  };

  // `charge` names the budget and the use of what is read. Requests are counted
  // as ordinary or large ones, by their size.
  HttpReader(Kind kind, Limits limits, ByteCharge charge = {});
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Parses up to the end of one message and removes the consumed bytes from
  // `data`. After kMessage, Take() returns the message.
  Result Read(std::string_view* data);
  // Handles an orderly close of the connection. Returns kMessage if the close
  // completes a response without Content-Length.
  Result ReadEof();
  ParsedMessage Take();
  // Discards the message that is being read. No further message can be read.
  void Discard();

  // Must not be called within a message.
  void SetLimits(const Limits& limits) { m_limits = limits; }
  // Set if the next response answers a HEAD request.
  void ExpectNoBody(bool expected) { m_no_body = expected; }
  // Whether a message has been partially read.
  bool IsInMessage() const { return m_in_message; }
  // Whether the headers of the current message are complete.
  bool AreHeadersComplete() const { return m_headers_complete; }
  const ParsedMessage& Current() const { return m_message; }
  // Memory of the message that is being read.
  size_t HeldBytes() const { return m_message.charge.bytes(); }

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
  // Memory of the head.
  size_t HeadMemory() const;
  // Counts the message with a body of this capacity.
  bool TakeMemory(size_t body_capacity);
  // Makes room for a body that has `size` bytes, and may grow.
  bool GrowBody(size_t size);
  // As GrowBody(), for a body whose size is announced.
  bool ReserveBody(uint64_t size);

  const Kind m_kind;
  Limits m_limits;
  // Empty; names the budget and the use.
  ByteCharge m_uncharged;
  http_parser m_parser;
  ParsedMessage m_message;
  size_t m_header_bytes = 0;
  // Of the current message, including its framing.
  size_t m_message_bytes = 0;
  // Empty lines read since the last message.
  size_t m_skipped_bytes = 0;
  bool m_in_message = false;
  bool m_headers_complete = false;
  bool m_complete = false;
  bool m_too_large = false;
  bool m_no_memory = false;
  bool m_no_body = false;
  bool m_last_was_value = true;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_READER_H_
