#include "vtctl/note_json.h"

namespace vanillatiller {
namespace {

using Json = nlohmann::json;

struct FieldsToJson {
  Json operator()(const std::monostate& /*fields*/) const {
    return Json::object();
  }
  Json operator()(const ChainConfig& chain) const {
    return {{"extra_attempts", chain.extra_attempts},
            {"max_depth", chain.max_depth}};
  }
  Json operator()(const RankConfig& rank) const {
    return {{"order", rank.order}, {"protected", rank.is_protected}};
  }
  Json operator()(const TenantConfig& tenant) const {
    return {{"weight", tenant.weight}};
  }
  Json operator()(const RegionConfig& /*region*/) const {
    return Json::object();
  }
  Json operator()(const FailureDomainConfig& domain) const {
    return {{"region", domain.region}};
  }
  Json operator()(const LinkConfig& link) const {
    return {{"bytes_per_second", link.bytes_per_second}};
  }
  Json operator()(const ServiceFields& service) const {
    return {{"slots", service.slots}, {"connections", service.connections}};
  }
  Json operator()(const MethodConfig& method) const {
    return {{"rank", method.rank},
            {"idempotent", method.idempotent},
            {"timeout_ms", method.timeout.count()},
            {"calls", method.calls}};
  }
};

}  // namespace

nlohmann::json FindingsToJson(const Findings& findings) {
  Json result = Json::array();
  for (const Finding& finding : findings) {
    result.push_back({{"source", finding.source},
                      {"line", finding.line},
                      {"column", finding.column},
                      {"text", finding.text}});
  }
  return result;
}

nlohmann::json NoteToJson(const ReleaseNote& note) {
  Json result = {{"base_version", note.base_version},
                 {"base_digest", ToHex(note.base_digest)},
                 {"version", note.version},
                 {"digest", ToHex(note.digest)},
                 {"added", Json::array()},
                 {"changed", Json::array()},
                 {"withdrawn", Json::array()}};
  for (const NoteItem& item : note.items) {
    Json fields = std::visit(FieldsToJson(), item.fields);
    fields["kind"] = ItemKindName(item.kind);
    fields["name"] = item.name;
    result[std::string(NoteActionName(item.action))].push_back(
        std::move(fields));
  }
  return result;
}

}  // namespace vanillatiller
