#include "eventio/http_message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace vanillatiller {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length"};

bool EqualNames(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

void AppendFields(const HttpHeaders& headers, std::string* text) {
  for (const HttpHeader& field : headers.fields()) {
    *text += field.name;
    *text += ": ";
    *text += field.value;
    *text += "\r\n";
  }
}

void AppendLength(size_t bytes, std::string* text) {
  *text += "Content-Length: ";
  *text += std::to_string(bytes);
  *text += "\r\n";
}

bool ExpectsBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

const char* ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  m_fields.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : m_fields) {
    if (EqualNames(field.name, name)) return field.value;
  }
  return std::nullopt;
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(m_fields, [name](const HttpHeader& field) {
    return EqualNames(field.name, name);
  });
}

void HttpHeaders::RemoveConnectionFields() {
  std::vector<std::string> named;
  for (const HttpHeader& field : m_fields) {
    if (!EqualNames(field.name, "connection")) continue;
    for (const absl::string_view part : absl::StrSplit(field.value, ',')) {
      named.emplace_back(absl::StripAsciiWhitespace(part));
    }
  }
  for (const std::string& name : named) Remove(name);
  for (const std::string_view name : kConnectionFields) Remove(name);
}

std::string FormatRequestHead(const HttpRequest& request, size_t body_bytes) {
  std::string text;
  text.reserve(512);
  text += request.method;
  text += ' ';
  text += request.target;
  text += " HTTP/1.1\r\n";
  AppendFields(request.headers, &text);
  if (body_bytes > 0 || ExpectsBody(request.method)) {
    AppendLength(body_bytes, &text);
  }
  text += "\r\n";
  return text;
}

std::string FormatResponse(const HttpResponse& response, bool keep_alive,
                           bool has_body) {
  std::string text;
  text.reserve(512 + response.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(response.status);
  text += ' ';
  text += ReasonPhrase(response.status);
  text += "\r\n";
  AppendFields(response.headers, &text);
  if (response.status != 204 && response.status != 304) {
    AppendLength(response.body.size(), &text);
  }
  if (!keep_alive) text += "Connection: close\r\n";
  text += "\r\n";
  if (has_body) text += response.body;
  return text;
}

}  // namespace vanillatiller
