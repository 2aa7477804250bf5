#include "eventio/http_reader.h"

#include <algorithm>
#include <utility>

#include "base/base.h"

namespace vanillatiller {
namespace {

// Return value of the on_headers_complete callback that aborts parsing.
constexpr int kAbort = -1;
// Bytes of a field as sent that the parser does not report: the colon and the
// end of the line.
constexpr size_t kFieldFraming = 3;
// Memory that a text of the head takes at most, relative to its size: a string
// that grows has up to twice the size, and the allocator adds a header.
constexpr size_t kMemoryOfText = 3;
// Part of its size by which a body grows while memory is short.
constexpr size_t kSmallGrowthDivisor = 8;

// The parser accepts spaces in field names. Other parsers strip them or end the
// name there (RFC 9112, 5.1), so such messages are rejected.
bool AreNamesValid(const HttpHeaders& headers) {
  return std::none_of(headers.fields().begin(), headers.fields().end(),
                      [](const HttpHeader& field) {
                        return field.name.empty() ||
                               field.name.find_first_of(" \t") !=
                                   std::string::npos;
                      });
}

}  // namespace

HttpReader::HttpReader(Kind kind, Limits limits, ByteCharge charge)
    : m_kind(kind), m_limits(limits), m_uncharged(std::move(charge)) {
  http_parser_init(&m_parser,
                   kind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
}

HttpReader* HttpReader::Self(http_parser* parser) {
  return static_cast<HttpReader*>(parser->data);
}

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings* callbacks = [] {
    auto* made = new http_parser_settings;
    http_parser_settings_init(made);
    made->on_message_begin = &HttpReader::OnMessageBegin;
    made->on_url = &HttpReader::OnTarget;
    made->on_header_field = &HttpReader::OnField;
    made->on_header_value = &HttpReader::OnValue;
    made->on_headers_complete = &HttpReader::OnHeadersComplete;
    made->on_body = &HttpReader::OnBody;
    made->on_message_complete = &HttpReader::OnMessageComplete;
    return made;
  }();
  return *callbacks;
}

HttpReader::Result HttpReader::Read(std::string_view* data) {
  const size_t read =
      http_parser_execute(&m_parser, &Callbacks(), data->data(), data->size());
  if (m_complete) {
    http_parser_pause(&m_parser, 0);
    m_complete = false;
    data->remove_prefix(read);
    return Result::kMessage;
  }
  if (m_too_large) return Result::kTooLarge;
  if (m_no_memory) return Result::kNoMemory;
  if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade != 0) {
    return Result::kError;
  }
  data->remove_prefix(read);
  // The parser skips empty lines before a message without a limit.
  m_skipped_bytes = m_in_message ? 0 : m_skipped_bytes + read;
  m_message_bytes += read;
  if (m_in_message && !m_headers_complete && !TakeMemory(0)) {
    return m_too_large ? Result::kTooLarge : Result::kNoMemory;
  }
  return m_skipped_bytes > m_limits.max_header_bytes || HasTooMuchFraming()
             ? Result::kTooLarge
             : Result::kNeedsMore;
}

bool HttpReader::HasTooMuchFraming() const {
  return m_kind == Kind::kResponses && m_in_message &&
         m_message_bytes >
             2 * (m_limits.max_header_bytes + m_message.body.size());
}

HttpReader::Result HttpReader::ReadEof() {
  http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
  if (m_complete) {
    m_complete = false;
    return Result::kMessage;
  }
  return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK ? Result::kNeedsMore
                                                : Result::kError;
}

ParsedMessage HttpReader::Take() {
  m_in_message = false;
  m_headers_complete = false;
  return std::exchange(m_message, {});
}

void HttpReader::Discard() {
  m_message = {};
  m_in_message = false;
}

size_t HttpReader::HeadMemory() const {
  return kMemoryOfText * m_header_bytes + m_message.headers.ListBytes();
}

bool HttpReader::TakeMemory(size_t body_capacity) {
  const size_t bytes = HeadMemory() + body_capacity;
  if (m_kind == Kind::kResponses) {
    m_no_memory = !m_message.charge.TryResize(bytes);
    return !m_no_memory;
  }
  const bool is_ordinary = bytes <= ByteBudget::kOrdinaryBytes;
  m_no_memory = !m_message.charge.TryResize(
      is_ordinary ? ByteUse::kOrdinaryRequest : ByteUse::kLargeRequest, bytes);
  // It will not fit later either.
  m_too_large = m_no_memory && m_message.charge.ExceedsBudget(bytes);
  return !m_no_memory;
}

bool HttpReader::GrowBody(size_t size) {
  std::string& body = m_message.body;
  if (size <= body.capacity()) return true;
  const size_t before = body.capacity();
  size_t capacity =
      std::max(size, std::min(2 * before, m_limits.max_body_bytes));
  // Others are not made to give way for room that may not be needed.
  if (!m_message.charge.HasRoomFor(ByteUse::kLargeRequest, capacity - before)) {
    capacity = std::max(size, before + before / kSmallGrowthDivisor);
  }
  if (!TakeMemory(capacity)) return false;
  body.reserve(capacity);
  return true;
}

bool HttpReader::ReserveBody(uint64_t size) {
  if (size > m_limits.max_body_bytes) {
    m_too_large = true;
    return false;
  }
  if (!TakeMemory(size)) return false;
  m_message.body.reserve(size);
  return true;
}

bool HttpReader::CountHeaderBytes(size_t size) {
  m_header_bytes += size;
  m_too_large = m_header_bytes > m_limits.max_header_bytes;
  return !m_too_large;
}

int HttpReader::OnMessageBegin(http_parser* parser) {
  HttpReader* self = Self(parser);
  self->m_message = {};
  self->m_message.charge = self->m_uncharged.Split(0);
  self->m_header_bytes = 0;
  self->m_message_bytes = 0;
  self->m_in_message = true;
  self->m_headers_complete = false;
  self->m_last_was_value = true;
  return 0;
}

int HttpReader::OnTarget(http_parser* parser, const char* data, size_t size) {
  HttpReader* self = Self(parser);
  self->m_message.target.append(data, size);
  return self->CountHeaderBytes(size) ? 0 : 1;
}

int HttpReader::OnField(http_parser* parser, const char* data, size_t size) {
  HttpReader* self = Self(parser);
  if (self->m_last_was_value) {
    self->m_message.headers.m_fields.emplace_back();
    self->m_last_was_value = false;
    self->m_header_bytes += kFieldFraming;
  }
  self->m_message.headers.m_fields.back().name.append(data, size);
  return self->CountHeaderBytes(size) ? 0 : 1;
}

int HttpReader::OnValue(http_parser* parser, const char* data, size_t size) {
  HttpReader* self = Self(parser);
  self->m_last_was_value = true;
  if (self->m_message.headers.m_fields.empty()) return 1;
  self->m_message.headers.m_fields.back().value.append(data, size);
  return self->CountHeaderBytes(size) ? 0 : 1;
}

int HttpReader::OnHeadersComplete(http_parser* parser) {
  HttpReader* self = Self(parser);
  self->m_headers_complete = true;
  self->m_message.method =
      parser->type == HTTP_REQUEST
          ? http_method_str(static_cast<http_method>(parser->method))
          : "";
  self->m_message.status = static_cast<int>(parser->status_code);
  if (!AreNamesValid(self->m_message.headers)) return kAbort;
  if (self->m_kind == Kind::kResponses &&
      !IsHttpStatus(self->m_message.status)) {
    return kAbort;
  }
  if (self->m_no_body) return 1;
  const bool is_announced = (parser->flags & F_CONTENTLENGTH) != 0;
  return self->ReserveBody(is_announced ? parser->content_length : 0) ? 0
                                                                      : kAbort;
}

int HttpReader::OnBody(http_parser* parser, const char* data, size_t size) {
  HttpReader* self = Self(parser);
  const size_t bytes = self->m_message.body.size() + size;
  self->m_too_large = bytes > self->m_limits.max_body_bytes;
  if (self->m_too_large || !self->GrowBody(bytes)) return 1;
  self->m_message.body.append(data, size);
  return 0;
}

int HttpReader::OnMessageComplete(http_parser* parser) {
  HttpReader* self = Self(parser);
  self->m_message.keep_alive = http_should_keep_alive(parser) != 0;
  self->m_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace vanillatiller
