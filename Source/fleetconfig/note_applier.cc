#include "fleetconfig/note_applier.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "fleetconfig/canonical.h"

namespace vanillatiller {
namespace {

std::string Describe(const NoteItem& item) {
  return absl::StrCat(std::string(ItemKindName(item.kind)), " \"", item.name,
                      "\"");
}

// Services are added before their methods and withdrawn after them.
auto ApplyOrder(const NoteItem* item) {
  const int kind = static_cast<int>(item->kind);
  const bool is_withdrawn = item->action == NoteAction::kWithdrawn;
  return std::make_tuple(item->action, is_withdrawn ? -kind : kind);
}

std::string ServicePart(const std::string& method_name) {
  return method_name.substr(0, method_name.find('.'));
}

std::string MethodPart(const std::string& method_name) {
  const size_t dot = method_name.find('.');
  return dot == std::string::npos ? "" : method_name.substr(dot + 1);
}

}  // namespace

NoteApplier::NoteApplier(const FleetConfig& base, const ReleaseNote& note,
                         std::string_view source)
    : m_base(base),
      m_note(note),
      m_source(source),
      m_result(base),
      m_ranks(&m_result.ranks),
      m_tenants(&m_result.tenants),
      m_regions(&m_result.regions),
      m_failure_domains(&m_result.failure_domains),
      m_links(&m_result.links),
      m_services(&m_result.services) {}

FleetConfig NoteApplier::Run(Findings* findings) {
  if (CheckApplicability()) {
    CheckDuplicates();
    ApplyItems();
    CheckIdempotentFlags();
    FinalizeResult();
    CheckResult();
  }
  std::ranges::stable_sort(m_findings, {}, [](const Finding& finding) {
    return std::make_tuple(finding.line, finding.column);
  });
  findings->insert(findings->end(), m_findings.begin(), m_findings.end());
  return std::move(m_result);
}

void NoteApplier::Report(SourceLocation location, std::string text) {
  m_findings.push_back(
      {std::string(m_source), location.line, location.column, std::move(text)});
}

void NoteApplier::ReportItem(const NoteItem& item, std::string_view error) {
  Report(item.location, absl::StrCat(Describe(item), " ", std::string(error)));
}

bool NoteApplier::CheckApplicability() {
  if (m_note.version <= m_note.base_version) {
    Report(m_note.version_location,
           absl::StrCat("version ", m_note.version,
                        " does not follow base_version ", m_note.base_version));
    return false;
  }
  const Sha256Digest digest = ConfigDigest(m_base);
  const NoteApplicability applicability =
      ClassifyNote(m_base.version, digest, m_note);
  if (applicability == NoteApplicability::kApplicable) return true;
  Report(m_note.base_location,
         DescribeApplicability(applicability, m_base.version, digest, m_note));
  // Checking the items of an outdated note would report an error for each of
  // them.
  return applicability == NoteApplicability::kBaseDiffers ||
         applicability == NoteApplicability::kBaseMissing;
}

void NoteApplier::CheckDuplicates() {
  absl::flat_hash_map<std::string, const NoteItem*> seen;
  for (const NoteItem& item : m_note.items) {
    const auto [first, is_new] =
        seen.emplace(QualifiedItemName(item.kind, item.name), &item);
    if (is_new) continue;
    ReportItem(item,
               absl::StrCat("is listed twice: ",
                            std::string(NoteActionName(first->second->action)),
                            " on line ", first->second->location.line, " and ",
                            std::string(NoteActionName(item.action)), " here"));
  }
}

void NoteApplier::ApplyItems() {
  std::vector<const NoteItem*> items;
  items.reserve(m_note.items.size());
  for (const NoteItem& item : m_note.items) items.push_back(&item);
  std::ranges::stable_sort(items, {}, ApplyOrder);
  for (const NoteItem* item : items) {
    if (item->action == NoteAction::kWithdrawn) {
      m_withdrawn.emplace(QualifiedItemName(item->kind, item->name),
                          item->location);
    }
    switch (item->kind) {
      case ItemKind::kChain:
        ApplyChain(*item);
        break;
      case ItemKind::kRank:
        ApplyNamed(m_ranks, *item);
        break;
      case ItemKind::kTenant:
        ApplyNamed(m_tenants, *item);
        break;
      case ItemKind::kRegion:
        ApplyNamed(m_regions, *item);
        break;
      case ItemKind::kFailureDomain:
        ApplyNamed(m_failure_domains, *item);
        break;
      case ItemKind::kLink:
        ApplyNamed(m_links, *item);
        break;
      case ItemKind::kService:
        ApplyService(*item);
        break;
      case ItemKind::kMethod:
        ApplyMethod(*item);
        break;
    }
  }
}

void NoteApplier::ApplyChain(const NoteItem& item) {
  const auto* fields = std::get_if<ChainConfig>(&item.fields);
  if (item.action != NoteAction::kChanged || fields == nullptr ||
      item.name != "chain") {
    ReportItem(item, "can only be changed, under the name \"chain\"");
    return;
  }
  if (m_result.chain == *fields) {
    ReportItem(item, "is listed as changed but equals the base");
  }
  m_result.chain = *fields;
}

template <typename T>
void NoteApplier::ApplyNamed(ItemTable<T>& table, const NoteItem& item) {
  ApplyTo(table, item, item.name, std::get_if<T>(&item.fields));
}

template <typename T>
void NoteApplier::ApplyTo(ItemTable<T>& table, const NoteItem& item,
                          const std::string& name, const T* fields) {
  T* existing = table.Find(name);
  if (item.action == NoteAction::kAdded && existing != nullptr) {
    ReportItem(item, "is added but already exists");
    return;
  }
  if (item.action != NoteAction::kAdded && existing == nullptr) {
    ReportItem(item,
               absl::StrCat("is ", std::string(NoteActionName(item.action)),
                            " but does not exist"));
    return;
  }
  if (item.action == NoteAction::kWithdrawn) {
    table.Remove(name);
    return;
  }
  if (fields == nullptr) {
    ReportItem(item, "has no fields");
    return;
  }
  if (item.action == NoteAction::kAdded) {
    table.Add(*fields);
    return;
  }
  if (*existing == *fields) {
    ReportItem(item, "is listed as changed but equals the base");
  }
  *existing = *fields;
}

void NoteApplier::ApplyService(const NoteItem& item) {
  const ServiceConfig* existing = m_services.Find(item.name);
  const auto* fields = std::get_if<ServiceFields>(&item.fields);
  if (existing != nullptr && item.action == NoteAction::kWithdrawn) {
    CheckMethodsWithdrawn(item);
  }
  if (fields == nullptr) {
    ApplyTo<ServiceConfig>(m_services, item, item.name, nullptr);
    return;
  }
  ServiceConfig service;
  if (existing != nullptr) service = *existing;
  service.name = item.name;
  service.slots = fields->slots;
  service.connections = fields->connections;
  ApplyTo(m_services, item, item.name, &service);
}

void NoteApplier::CheckMethodsWithdrawn(const NoteItem& item) {
  MethodsOf(item.name)->Compact();
  for (const MethodConfig& method : m_services.Find(item.name)->methods) {
    ReportItem(item, absl::StrCat("is withdrawn but its method \"", item.name,
                                  ".", method.name, "\" is not"));
  }
}

ItemTable<MethodConfig>* NoteApplier::MethodsOf(const std::string& service) {
  ServiceConfig* existing = m_services.Find(service);
  if (existing == nullptr) return nullptr;
  return &m_methods.try_emplace(service, &existing->methods).first->second;
}

void NoteApplier::ApplyMethod(const NoteItem& item) {
  const std::string service = ServicePart(item.name);
  const std::string method = MethodPart(item.name);
  ItemTable<MethodConfig>* methods = MethodsOf(service);
  if (methods == nullptr) {
    ReportItem(
        item, absl::StrCat("belongs to the unknown service \"", service, "\""));
    return;
  }
  const MethodConfig* existing = methods->Find(method);
  const auto* fields = std::get_if<MethodConfig>(&item.fields);
  if (existing != nullptr && fields != nullptr &&
      existing->idempotent != fields->idempotent) {
    m_flag_changes.emplace(item.name, &item);
  }
  ApplyTo(*methods, item, method, fields);
}

// Nodes adopt a new version at slightly different times. In the meantime, a
// caller on the old version would retry a call that is no longer idempotent.
// The flag may therefore change only if no method calls the changed method in
// either version.
void NoteApplier::CheckIdempotentFlags() {
  if (m_flag_changes.empty()) return;
  CheckFlagChangesAgainst(m_base, "base");
  CheckFlagChangesAgainst(m_result, "result");
}

void NoteApplier::CheckFlagChangesAgainst(const FleetConfig& value,
                                          std::string_view which) {
  for (const ServiceConfig& service : value.services) {
    for (const MethodConfig& method : service.methods) {
      for (const std::string& call : method.calls) {
        const auto changed = m_flag_changes.find(call);
        if (changed == m_flag_changes.end()) continue;
        ReportItem(*changed->second,
                   absl::StrCat("changes its idempotent flag while method \"",
                                service.name, ".", method.name,
                                "\" calls it in the ", std::string(which)));
      }
    }
  }
}

void NoteApplier::FinalizeResult() {
  for (auto& [service, methods] : m_methods) {
    if (m_services.Find(service) != nullptr) methods.Compact();
  }
  m_ranks.Compact();
  m_tenants.Compact();
  m_regions.Compact();
  m_failure_domains.Compact();
  m_links.Compact();
  m_services.Compact();
  m_result.version = m_note.version;
  Canonicalize(&m_result);
}

void NoteApplier::CheckResult() {
  Findings errors =
      ConfigChecker(m_result, m_source, nullptr, &m_withdrawn).Run();
  if (!errors.empty()) {
    const ConfigLocations locations = LocateResultItems();
    errors = ConfigChecker(m_result, m_source, &locations, &m_withdrawn).Run();
  }
  m_findings.insert(m_findings.end(), errors.begin(), errors.end());
  // The digest of an invalid result is meaningless.
  if (!m_findings.empty()) return;
  const Sha256Digest digest = ConfigDigest(m_result);
  if (digest == m_note.digest) return;
  Report(m_note.digest_location,
         absl::StrCat("the note specifies digest ", ToHex(m_note.digest),
                      ", its result has digest ", ToHex(digest)));
}

ConfigLocations NoteApplier::LocateResultItems() const {
  absl::flat_hash_map<std::string, SourceLocation> by_name;
  for (const NoteItem& item : m_note.items) {
    by_name.emplace(QualifiedItemName(item.kind, item.name), item.location);
  }
  const auto find = [&](ItemKind kind, const std::string& name) {
    const auto found = by_name.find(QualifiedItemName(kind, name));
    return found == by_name.end() ? SourceLocation{} : found->second;
  };
  const auto find_all = [&](ItemKind kind, const auto& items) {
    std::vector<SourceLocation> locations;
    locations.reserve(items.size());
    for (const auto& item : items) {
      locations.push_back(find(kind, ItemName(item)));
    }
    return locations;
  };
  ConfigLocations locations;
  locations.ranks = find_all(ItemKind::kRank, m_result.ranks);
  locations.tenants = find_all(ItemKind::kTenant, m_result.tenants);
  locations.regions = find_all(ItemKind::kRegion, m_result.regions);
  locations.failure_domains =
      find_all(ItemKind::kFailureDomain, m_result.failure_domains);
  locations.links = find_all(ItemKind::kLink, m_result.links);
  for (const ServiceConfig& service : m_result.services) {
    ServiceLocations& service_locations = locations.services.emplace_back();
    service_locations.service = find(ItemKind::kService, service.name);
    service_locations.methods.reserve(service.methods.size());
    for (const MethodConfig& method : service.methods) {
      const SourceLocation location =
          find(ItemKind::kMethod, absl::StrCat(service.name, ".", method.name));
      service_locations.methods.push_back(
          {location,
           std::vector<SourceLocation>(method.calls.size(), location)});
    }
  }
  return locations;
}

Findings CheckNote(const FleetConfig& base, const ReleaseNote& note,
                   std::string_view source) {
  Findings findings;
  NoteApplier(base, note, source).Run(&findings);
  return findings;
}

std::optional<FleetConfig> ApplyNote(const FleetConfig& base,
                                     const ReleaseNote& note,
                                     std::string_view source,
                                     Findings* findings) {
  Findings found;
  FleetConfig result = NoteApplier(base, note, source).Run(&found);
  findings->insert(findings->end(), found.begin(), found.end());
  if (!found.empty()) return std::nullopt;
  return result;
}

}  // namespace vanillatiller
