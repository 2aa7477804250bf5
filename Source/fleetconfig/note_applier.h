#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_NOTE_APPLIER_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_NOTE_APPLIER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleetconfig/config_checker.h"
#include "fleetconfig/item_table.h"
#include "fleetconfig/release_note.h"

namespace vanillatiller {

// Applies a note to a copy of its base configuration and collects all errors.
class NoteApplier {
 public:
  NoteApplier(const FleetConfig& base, const ReleaseNote& note,
              std::string_view source);

  // Returns the new configuration, which is valid only if there are no
  // findings.
  FleetConfig Run(Findings* findings);

 private:
  void Report(SourceLocation location, std::string text);
  void ReportItem(const NoteItem& item, std::string_view error);
  // Returns false if the items cannot be checked against this base.
  bool CheckApplicability();
  void CheckDuplicates();
  void ApplyItems();
  void ApplyChain(const NoteItem& item);
  template <typename T>
  void ApplyNamed(ItemTable<T>& table, const NoteItem& item);
  // `name` is the key in `table`; `fields` is null for a withdrawn item.
  template <typename T>
  void ApplyTo(ItemTable<T>& table, const NoteItem& item,
               const std::string& name, const T* fields);
  void ApplyService(const NoteItem& item);
  void CheckMethodsWithdrawn(const NoteItem& item);
  void ApplyMethod(const NoteItem& item);
  void CheckIdempotentFlags();
  void CheckFlagChangesAgainst(const FleetConfig& value,
                               std::string_view which);
  ItemTable<MethodConfig>* MethodsOf(const std::string& service);
  // Erases withdrawn items and restores the canonical order.
  void FinalizeResult();
  void CheckResult();
  ConfigLocations LocateResultItems() const;

  const FleetConfig& m_base;
  const ReleaseNote& m_note;
  std::string_view m_source;
  FleetConfig m_result;
  Findings m_findings;
  WithdrawnItems m_withdrawn;
  ItemTable<RankConfig> m_ranks;
  ItemTable<TenantConfig> m_tenants;
  ItemTable<RegionConfig> m_regions;
  ItemTable<FailureDomainConfig> m_failure_domains;
  ItemTable<LinkConfig> m_links;
  ItemTable<ServiceConfig> m_services;
  // Method tables, by service, of the services whose methods the note changes.
  std::map<std::string, ItemTable<MethodConfig>> m_methods;
  // Items that change an idempotent flag, by method name.
  absl::flat_hash_map<std::string, const NoteItem*> m_flag_changes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_NOTE_APPLIER_H_
