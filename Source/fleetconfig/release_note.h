#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

enum class NoteAction : uint8_t { kAdded, kChanged, kWithdrawn };

enum class ItemKind : uint8_t {
  kChain,
  kRank,
  kTenant,
  kRegion,
  kFailureDomain,
  kLink,
  kService,
  kMethod,
};

// "added", "changed" or "withdrawn".
std::string_view NoteActionName(NoteAction action);
// "chain", "rank", ..., as in the `kind` field of a note.
std::string_view ItemKindName(ItemKind kind);

// A service without its methods, which are separate items.
struct ServiceFields {
  uint32_t slots = 1;
  uint32_t connections = 1;

  bool operator==(const ServiceFields&) const = default;
};

// The fields of an item; monostate if the item is withdrawn.
using ItemFields = std::variant<std::monostate, ChainConfig, RankConfig,
                                TenantConfig, RegionConfig, FailureDomainConfig,
                                LinkConfig, ServiceFields, MethodConfig>;

// One entry of a release note.
struct NoteItem {
  NoteAction action = NoteAction::kAdded;
  ItemKind kind = ItemKind::kRank;
  // "service.method" for a method, "from->to" for a link, "chain" for the
  // chain, and the name of the item otherwise.
  std::string name;
  ItemFields fields;
  // Location in the text of the note; ignored by operator==.
  SourceLocation location;

  bool operator==(const NoteItem& other) const {
    return action == other.action && kind == other.kind && name == other.name &&
           fields == other.fields;
  }
};

// A delta between two versions of the fleet configuration. Operators write
// release notes, and nodes send them to each other.
struct ReleaseNote {
  uint64_t base_version = 0;
  Sha256Digest base_digest{};
  uint64_t version = 0;
  Sha256Digest digest{};
  // Sorted by action, kind and name.
  std::vector<NoteItem> items;
  // Locations of the fields in the text of the note; ignored by operator==.
  SourceLocation base_location;
  SourceLocation version_location;
  SourceLocation digest_location;

  bool operator==(const ReleaseNote& other) const {
    return base_version == other.base_version &&
           base_digest == other.base_digest && version == other.version &&
           digest == other.digest && items == other.items;
  }
};

// Whether a note can be applied to the current configuration.
enum class NoteApplicability : uint8_t {
  // The current configuration is the base of the note.
  kApplicable,
  // The current configuration is the result of the note.
  kAlreadyApplied,
  // The current configuration has the note's version but a different digest:
  // another note was applied to the same base.
  kConflicting,
  // The current configuration is newer than the result or the base of the note.
  kSuperseded,
  // The current configuration is older than the base of the note.
  kBaseMissing,
  // The current configuration has the base version but a different digest.
  kBaseDiffers,
};

// "applicable", "in-force" (kAlreadyApplied), "rival" (kConflicting),
// "overtaken" (kSuperseded), "base-missing" or "base-differs".
std::string_view NoteApplicabilityName(NoteApplicability applicability);

NoteApplicability ClassifyNote(uint64_t version, const Sha256Digest& digest,
                               const ReleaseNote& note);

// Returns an error message that says why `note` cannot be applied to the given
// version and how to proceed. Empty for kApplicable.
std::string DescribeApplicability(NoteApplicability applicability,
                                  uint64_t version, const Sha256Digest& digest,
                                  const ReleaseNote& note);

// Returns all items of a configuration, sorted by kind and name, with the
// action kAdded.
std::vector<NoteItem> ListItems(const FleetConfig& config);

// Returns the note that changes `before` into `after`.
ReleaseNote DiffNote(const FleetConfig& before, const FleetConfig& after);

// Parses a note in TOML, in which all fields of an item are required. Returns
// nullopt on any finding; all findings are reported, not only the first.
// Validates fields and types only; see CheckNote.
std::optional<ReleaseNote> ParseNote(std::string_view text,
                                     std::string_view source,
                                     Findings* findings);

std::string FormatNote(const ReleaseNote& note);

// Reports every error that prevents `note` from being applied to `base`; if
// there is none, ApplyNote succeeds. In addition to running CheckFleetConfig on
// the result, detects a wrong base, items that are listed twice, added although
// they exist, changed or withdrawn although they do not exist, or withdrawn
// while in use, an idempotent flag that changes while another method calls the
// method, and a digest that does not match the result.
Findings CheckNote(const FleetConfig& base, const ReleaseNote& note,
                   std::string_view source);

// Runs CheckNote and applies `note` to `base`. The digest of the result equals
// note.digest. Returns nullopt on any finding.
std::optional<FleetConfig> ApplyNote(const FleetConfig& base,
                                     const ReleaseNote& note,
                                     std::string_view source,
                                     Findings* findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_
