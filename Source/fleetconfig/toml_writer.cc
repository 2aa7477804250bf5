#include "fleetconfig/toml_writer.h"

#include <charconv>

namespace vanillatiller {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool NeedsEscape(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f || c == '"' || c == '\\';
}

void AppendEscaped(std::string* text, char c) {
  if (c == '"' || c == '\\') {
    text->push_back('\\');
    text->push_back(c);
    return;
  }
  const auto byte = static_cast<unsigned char>(c);
  text->append("\\u00");
  text->push_back(kHexDigits[byte >> 4]);
  text->push_back(kHexDigits[byte & 0xf]);
}

}  // namespace

void TomlWriter::Table(std::string_view key) {
  m_text->append("[").append(key).append("]\n");
}

void TomlWriter::ArrayTable(std::string_view key) {
  m_text->append("[[").append(key).append("]]\n");
}

void TomlWriter::Write(std::string_view key, std::string_view value) {
  BeginField(key);
  AppendQuoted(value);
  m_text->push_back('\n');
}

void TomlWriter::Write(std::string_view key, uint64_t value) {
  BeginField(key);
  char digits[24];
  const auto result = std::to_chars(digits, digits + sizeof(digits), value);
  m_text->append(digits, result.ptr);
  m_text->push_back('\n');
}

void TomlWriter::WriteBool(std::string_view key, bool value) {
  BeginField(key);
  m_text->append(value ? "true\n" : "false\n");
}

void TomlWriter::Write(std::string_view key,
                       const std::vector<std::string>& values) {
  BeginField(key);
  m_text->push_back('[');
  for (size_t i = 0; i < values.size(); ++i) {
    if (i != 0) m_text->append(", ");
    AppendQuoted(values[i]);
  }
  m_text->append("]\n");
}

void TomlWriter::BeginField(std::string_view key) {
  m_text->append(key).append(" = ");
}

void TomlWriter::AppendQuoted(std::string_view value) {
  m_text->push_back('"');
  for (const char c : value) {
    if (NeedsEscape(c)) {
      AppendEscaped(m_text, c);
    } else {
      m_text->push_back(c);
    }
  }
  m_text->push_back('"');
}

void WriteFields(TomlWriter& writer, const ChainConfig& item) {
  writer.Write("extra_attempts", item.extra_attempts);
  writer.Write("max_depth", item.max_depth);
}

void WriteFields(TomlWriter& writer, const RankConfig& item) {
  writer.Write("order", item.order);
  writer.WriteBool("protected", item.is_protected);
}

void WriteFields(TomlWriter& writer, const TenantConfig& item) {
  writer.Write("weight", item.weight);
}

void WriteFields(TomlWriter& /*writer*/, const RegionConfig& /*item*/) {}

void WriteFields(TomlWriter& writer, const FailureDomainConfig& item) {
  writer.Write("region", item.region);
}

void WriteFields(TomlWriter& writer, const LinkConfig& item) {
  writer.Write("bytes_per_second", item.bytes_per_second);
}

void WriteFields(TomlWriter& writer, const ServiceFields& item) {
  writer.Write("slots", item.slots);
  writer.Write("connections", item.connections);
}

void WriteFields(TomlWriter& writer, const MethodConfig& item) {
  writer.Write("rank", item.rank);
  writer.WriteBool("idempotent", item.idempotent);
  writer.Write("timeout_ms", static_cast<uint64_t>(item.timeout.count()));
  writer.Write("calls", item.calls);
}

}  // namespace vanillatiller
