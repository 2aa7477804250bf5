#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_TOML_WRITER_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_TOML_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleetconfig/fleet_config.h"
#include "fleetconfig/release_note.h"

namespace vanillatiller {

// Appends TOML tables and key/value pairs to a string.
class TomlWriter {
 public:
  explicit TomlWriter(std::string* text) : m_text(text) {}

  // Append the headers "[key]" and "[[key]]".
  void Table(std::string_view key);
  void ArrayTable(std::string_view key);

  void Write(std::string_view key, std::string_view value);
  void Write(std::string_view key, uint64_t value);
  void WriteBool(std::string_view key, bool value);
  void Write(std::string_view key, const std::vector<std::string>& values);

 private:
  void BeginField(std::string_view key);
  // Appends a TOML basic string.
  void AppendQuoted(std::string_view value);

  std::string* m_text;
};

// Write all fields of an item, except its name.
void WriteFields(TomlWriter& writer, const ChainConfig& item);
void WriteFields(TomlWriter& writer, const RankConfig& item);
void WriteFields(TomlWriter& writer, const TenantConfig& item);
void WriteFields(TomlWriter& writer, const RegionConfig& item);
void WriteFields(TomlWriter& writer, const FailureDomainConfig& item);
void WriteFields(TomlWriter& writer, const LinkConfig& item);
void WriteFields(TomlWriter& writer, const ServiceFields& item);
void WriteFields(TomlWriter& writer, const MethodConfig& item);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_TOML_WRITER_H_
