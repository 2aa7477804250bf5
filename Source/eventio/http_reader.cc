#include "eventio/http_reader.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {
namespace {

// Return value of the on_headers_complete callback that aborts parsing.
constexpr int kInvalidHeaders = -1;

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

HttpReader::HttpReader(Kind kind, Limits limits)
    : m_kind(kind), m_limits(limits) {
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
  if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade != 0) {
    return Result::kError;
  }
  data->remove_prefix(read);
  // The parser skips empty lines before a message without a limit.
  m_skipped_bytes = m_in_message ? 0 : m_skipped_bytes + read;
  m_message_bytes += read;
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
  ReturnBodyBytes();
  return std::exchange(m_message, {});
}

bool HttpReader::TakeBodyBytes(size_t size) {
  if (m_message.body.size() + size > m_limits.max_body_bytes) return false;
  if (m_limits.body_budget == nullptr) return true;
  if (!m_limits.body_budget->TryTake(size)) return false;
  m_budgeted_bytes += size;
  return true;
}

void HttpReader::ReturnBodyBytes() {
  if (m_budgeted_bytes == 0) return;
  m_limits.body_budget->Return(std::exchange(m_budgeted_bytes, 0));
}

bool HttpReader::CountHeaderBytes(size_t size) {
  m_header_bytes += size;
  m_too_large = m_header_bytes > m_limits.max_header_bytes;
  return !m_too_large;
}

int HttpReader::OnMessageBegin(http_parser* parser) {
  HttpReader* self = Self(parser);
  self->m_message = {};
  self->ReturnBodyBytes();
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
  if (!AreNamesValid(self->m_message.headers)) return kInvalidHeaders;
  return self->m_no_body ? 1 : 0;
}

int HttpReader::OnBody(http_parser* parser, const char* data, size_t size) {
  HttpReader* self = Self(parser);
  if (!self->TakeBodyBytes(size)) {
    self->m_too_large = true;
    return 1;
  }
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
