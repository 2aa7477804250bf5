#include "fleetconfig/item_fields.h"

#include <array>

namespace vanillatiller {
namespace {

constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr int64_t kMaxRankOrder = 255;
constexpr int64_t kMaxExtraAttempts = 1000;
constexpr int64_t kMaxChainDepth = 64;

constexpr std::array<std::string_view, 2> kChainFields = {"extra_attempts",
                                                          "max_depth"};
constexpr std::array<std::string_view, 2> kRankFields = {"order", "protected"};
constexpr std::array<std::string_view, 1> kTenantFields = {"weight"};
constexpr std::array<std::string_view, 1> kFailureDomainFields = {"region"};
constexpr std::array<std::string_view, 1> kLinkFields = {"bytes_per_second"};
constexpr std::array<std::string_view, 2> kServiceFields = {"slots",
                                                            "connections"};
constexpr std::array<std::string_view, 4> kMethodFields = {
    "rank", "idempotent", "timeout_ms", "calls"};

void ReadCallLocations(const toml::table& table,
                       std::vector<SourceLocation>* locations) {
  const toml::array* calls = table["calls"].as_array();
  if (calls == nullptr) return;
  for (const toml::node& call : *calls) {
    if (call.is_string()) locations->push_back(LocationOf(call));
  }
}

}  // namespace

SourceLocation LocationOf(const toml::node& node) {
  const toml::source_position begin = node.source().begin;
  return {begin.line, begin.column};
}

void ParseToml(TomlReader& reader, std::string_view text,
               std::string_view source,
               const std::function<void(const toml::table&)>& read) {
  if (text.size() > kMaxValueBytes) {
    reader.Report({}, "the text has " + std::to_string(text.size()) +
                          " bytes; the limit is " +
                          std::to_string(kMaxValueBytes));
    return;
  }
  try {
    const toml::table root = toml::parse(text, source);
    read(root);
  } catch (const toml::parse_error& error) {
    reader.Report(error.source(), std::string(error.description()));
  }
}

std::span<const std::string_view> FieldNames(ItemKind kind) {
  switch (kind) {
    case ItemKind::kChain:
      return kChainFields;
    case ItemKind::kRank:
      return kRankFields;
    case ItemKind::kTenant:
      return kTenantFields;
    case ItemKind::kRegion:
      return {};
    case ItemKind::kFailureDomain:
      return kFailureDomainFields;
    case ItemKind::kLink:
      return kLinkFields;
    case ItemKind::kService:
      return kServiceFields;
    case ItemKind::kMethod:
      return kMethodFields;
  }
  return {};
}

void ReadFields(TomlReader& reader, const toml::table& table,
                ChainConfig* out) {
  reader.ReadInteger(table, "extra_attempts", 0, kMaxExtraAttempts,
                     &out->extra_attempts);
  reader.ReadInteger(table, "max_depth", 1, kMaxChainDepth, &out->max_depth);
}

void ReadFields(TomlReader& reader, const toml::table& table, RankConfig* out) {
  reader.ReadInteger(table, "order", 0, kMaxRankOrder, &out->order);
  reader.ReadBool(table, "protected", &out->is_protected);
}

void ReadFields(TomlReader& reader, const toml::table& table,
                TenantConfig* out) {
  reader.ReadInteger(table, "weight", 1, kMaxCount, &out->weight);
}

void ReadFields(TomlReader& /*reader*/, const toml::table& /*table*/,
                RegionConfig* /*out*/) {}

void ReadFields(TomlReader& reader, const toml::table& table,
                FailureDomainConfig* out) {
  reader.ReadString(table, "region", &out->region);
}

void ReadFields(TomlReader& reader, const toml::table& table, LinkConfig* out) {
  if (reader.Require(table, "bytes_per_second") == nullptr) return;
  reader.ReadInteger(table, "bytes_per_second", 1, INT64_MAX,
                     &out->bytes_per_second);
}

void ReadFields(TomlReader& reader, const toml::table& table,
                ServiceFields* out) {
  reader.ReadInteger(table, "slots", 1, kMaxCount, &out->slots);
  reader.ReadInteger(table, "connections", 1, kMaxCount, &out->connections);
}

void ReadFields(TomlReader& reader, const toml::table& table, MethodConfig* out,
                std::vector<SourceLocation>* call_locations) {
  int64_t timeout_ms = out->timeout.count();
  reader.ReadString(table, "rank", &out->rank);
  reader.ReadBool(table, "idempotent", &out->idempotent);
  reader.ReadInteger(table, "timeout_ms", 1, kMaxTimeoutMs, &timeout_ms);
  reader.ReadStrings(table, "calls", &out->calls);
  if (call_locations != nullptr) ReadCallLocations(table, call_locations);
  out->timeout = std::chrono::milliseconds(timeout_ms);
}

}  // namespace vanillatiller
