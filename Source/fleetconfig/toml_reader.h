#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_TOML_READER_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_TOML_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"
#include "fleetconfig/release_note.h"
#include "toml++/toml.h"

namespace vanillatiller {

Place PlaceOf(const toml::node& node);

// Reads the fields of TOML tables and collects what is wrong with them.
class TomlReader {
 public:
  using TableFunction = std::function<void(const toml::table&)>;

  TomlReader(std::string_view source, Findings* findings)
      : m_source(source), m_findings(findings) {}

  // Parses `text` and calls `read` with its root; reports a syntax error.
  void ReadText(std::string_view text, const TableFunction& read);

  void Report(const toml::source_region& region, std::string text);

  // Reports fields of `table` that are in neither list.
  void CheckFields(const toml::table& table,
                   std::initializer_list<std::string_view> known,
                   std::span<const std::string_view> also_known = {});
  // Reports fields of the list that `table` lacks.
  void RequireFields(const toml::table& table,
                     std::span<const std::string_view> fields);
  const toml::node* Require(const toml::table& table, std::string_view key);

  // Each leaves `out` as it is if the field is missing or faulty.
  void ReadString(const toml::table& table, std::string_view key,
                  std::string* out);
  void ReadBool(const toml::table& table, std::string_view key, bool* out);
  void ReadStrings(const toml::table& table, std::string_view key,
                   std::vector<std::string>* out, std::vector<Place>* places);
  template <typename T>
  void ReadInteger(const toml::table& table, std::string_view key, int64_t low,
                   int64_t high, T* out) {
    int64_t value = 0;
    if (ReadInt64(table, key, low, high, &value)) *out = static_cast<T>(value);
  }

  // Calls `read` for each table of the array of tables `key`.
  void ForEach(const toml::table& table, std::string_view key,
               const TableFunction& read);

 private:
  bool ReadInt64(const toml::table& table, std::string_view key, int64_t low,
                 int64_t high, int64_t* out);

  std::string_view m_source;
  Findings* m_findings;
};

// Names of the fields of each kind of item, its name excepted.
std::span<const std::string_view> FieldNames(ItemKind kind);

// Read the fields of an item, its name excepted.
void ReadFields(TomlReader& reader, const toml::table& table, ChainConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table, RankConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table,
                TenantConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table,
                RegionConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table,
                FailureDomainConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table, LinkConfig* out);
void ReadFields(TomlReader& reader, const toml::table& table,
                ServiceFields* out);
// `call_places` may be null.
void ReadFields(TomlReader& reader, const toml::table& table, MethodConfig* out,
                std::vector<Place>* call_places);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_TOML_READER_H_
