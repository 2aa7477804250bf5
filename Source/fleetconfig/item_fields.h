#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_FIELDS_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_FIELDS_H_

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"
#include "fleetconfig/release_note.h"
#include "toml/toml.h"

namespace vanillatiller {

SourceLocation LocationOf(const toml::node& node);

// Parses `text` and calls `read` with the root table. Reports syntax errors and
// texts larger than kMaxValueBytes.
void ParseToml(TomlReader& reader, std::string_view text,
               std::string_view source,
               const std::function<void(const toml::table&)>& read);

// Returns the field names of a kind of item, except "name".
std::span<const std::string_view> FieldNames(ItemKind kind);

// Read the fields of an item, except its name.
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
// `call_locations` may be null.
void ReadFields(TomlReader& reader, const toml::table& table, MethodConfig* out,
                std::vector<SourceLocation>* call_locations);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_FIELDS_H_
