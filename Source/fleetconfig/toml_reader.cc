#include "fleetconfig/toml_reader.h"

#include <algorithm>
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

std::string Expected(std::string_view key, std::string_view what) {
  std::string text = "field \"";
  text.append(key).append("\": expected ").append(what);
  return text;
}

}  // namespace

Place PlaceOf(const toml::node& node) {
  const toml::source_position begin = node.source().begin;
  return {begin.line, begin.column};
}

void TomlReader::ReadText(std::string_view text, const TableFunction& read) {
  if (text.size() > kMaxValueBytes) {
    Report({}, "the text has " + std::to_string(text.size()) +
                   " bytes; the limit is " + std::to_string(kMaxValueBytes));
    return;
  }
  try {
    const toml::table root = toml::parse(text, m_source);
    read(root);
  } catch (const toml::parse_error& error) {
    Report(error.source(), std::string(error.description()));
  }
}

void TomlReader::Report(const toml::source_region& region, std::string text) {
  m_findings->push_back({std::string(m_source), region.begin.line,
                         region.begin.column, std::move(text)});
}

void TomlReader::CheckFields(const toml::table& table,
                             std::initializer_list<std::string_view> known,
                             std::span<const std::string_view> also_known) {
  for (const auto& [key, value] : table) {
    const std::string_view name = key.str();
    if (std::ranges::count(known, name) != 0) continue;
    if (std::ranges::count(also_known, name) != 0) continue;
    Report(key.source(), "unknown field \"" + std::string(name) + "\"");
  }
}

void TomlReader::RequireFields(const toml::table& table,
                               std::span<const std::string_view> fields) {
  for (const std::string_view field : fields) Require(table, field);
}

const toml::node* TomlReader::Require(const toml::table& table,
                                      std::string_view key) {
  const toml::node* node = table.get(key);
  if (node == nullptr) {
    Report(table.source(), "field \"" + std::string(key) + "\" is missing");
  }
  return node;
}

void TomlReader::ReadString(const toml::table& table, std::string_view key,
                            std::string* out) {
  const toml::node* node = Require(table, key);
  if (node == nullptr) return;
  auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    Report(node->source(), Expected(key, "a non-empty string"));
    return;
  }
  *out = *std::move(value);
}

bool TomlReader::ReadInt64(const toml::table& table, std::string_view key,
                           int64_t low, int64_t high, int64_t* out) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return false;
  const auto value = node->value_exact<int64_t>();
  if (!value || *value < low || *value > high) {
    Report(node->source(),
           Expected(key, "an integer from " + std::to_string(low) + " to " +
                             std::to_string(high)));
    return false;
  }
  *out = *value;
  return true;
}

void TomlReader::ReadBool(const toml::table& table, std::string_view key,
                          bool* out) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<bool>();
  if (!value) {
    Report(node->source(), Expected(key, "true or false"));
    return;
  }
  *out = *value;
}

void TomlReader::ReadStrings(const toml::table& table, std::string_view key,
                             std::vector<std::string>* out,
                             std::vector<Place>* places) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(node->source(), Expected(key, "an array of strings"));
    return;
  }
  for (const toml::node& item : *array) {
    auto value = item.value_exact<std::string>();
    if (!value) {
      Report(item.source(), Expected(key, "an array of strings"));
      continue;
    }
    out->push_back(*std::move(value));
    if (places != nullptr) places->push_back(PlaceOf(item));
  }
}

void TomlReader::ForEach(const toml::table& table, std::string_view key,
                         const TableFunction& read) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(node->source(), Expected(key, "an array of tables"));
    return;
  }
  for (const toml::node& item : *array) {
    const toml::table* element = item.as_table();
    if (element == nullptr) {
      Report(item.source(), Expected(key, "an array of tables"));
      continue;
    }
    read(*element);
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
                std::vector<Place>* call_places) {
  int64_t timeout_ms = out->timeout.count();
  reader.ReadString(table, "rank", &out->rank);
  reader.ReadBool(table, "idempotent", &out->idempotent);
  reader.ReadInteger(table, "timeout_ms", 1, kMaxTimeoutMs, &timeout_ms);
  reader.ReadStrings(table, "calls", &out->calls, call_places);
  out->timeout = std::chrono::milliseconds(timeout_ms);
}

}  // namespace vanillatiller
