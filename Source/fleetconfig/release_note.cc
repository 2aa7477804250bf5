#include "fleetconfig/release_note.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "fleetconfig/canonical.h"

namespace vanillatiller {
namespace {

constexpr auto kActionNames =
    std::to_array<std::string_view>({"added", "changed", "withdrawn"});
constexpr auto kKindNames = std::to_array<std::string_view>(
    {"chain", "rank", "tenant", "region", "failure_domain", "link", "service",
     "method"});
constexpr auto kApplicabilityNames = std::to_array<std::string_view>(
    {"applicable", "in-force", "rival", "overtaken", "base-missing",
     "base-differs"});

// Hexadecimal digits of a digest in messages; enough to tell two digests apart.
constexpr size_t kShortDigestLength = 12;

std::string ShortDigest(const Sha256Digest& digest) {
  return ToHex(digest).substr(0, kShortDigestLength);
}

auto ItemKey(const NoteItem& item) { return std::tie(item.kind, item.name); }

auto SortKey(const NoteItem& item) {
  return std::tie(item.action, item.kind, item.name);
}

template <typename T>
void AppendItems(ItemKind kind, const std::vector<T>& values,
                 std::vector<NoteItem>* items) {
  for (const T& value : values) {
    items->push_back({NoteAction::kAdded, kind, value.name, value, {}});
  }
}

// Computes the differences between two sorted lists of items.
class DifferenceMerger {
 public:
  explicit DifferenceMerger(std::vector<NoteItem>* out) : m_out(out) {}

  void Merge(std::vector<NoteItem> before, std::vector<NoteItem> after) {
    auto old_item = before.begin();
    auto new_item = after.begin();
    while (old_item != before.end() || new_item != after.end()) {
      if (new_item == after.end() ||
          (old_item != before.end() &&
           ItemKey(*old_item) < ItemKey(*new_item))) {
        old_item->fields = std::monostate();
        Emit(NoteAction::kWithdrawn, std::move(*old_item++));
      } else if (old_item == before.end() ||
                 ItemKey(*new_item) < ItemKey(*old_item)) {
        Emit(NoteAction::kAdded, std::move(*new_item++));
      } else {
        if (old_item->fields != new_item->fields) {
          Emit(NoteAction::kChanged, std::move(*new_item));
        }
        ++old_item;
        ++new_item;
      }
    }
  }

 private:
  void Emit(NoteAction action, NoteItem item) {
    item.action = action;
    m_out->push_back(std::move(item));
  }

  std::vector<NoteItem>* m_out;
};

}  // namespace

std::string_view NoteActionName(NoteAction action) {
  return kActionNames.at(static_cast<size_t>(action));
}

std::string_view ItemKindName(ItemKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

std::string_view NoteApplicabilityName(NoteApplicability applicability) {
  return kApplicabilityNames.at(static_cast<size_t>(applicability));
}

NoteApplicability ClassifyNote(uint64_t version, const Sha256Digest& digest,
                               const ReleaseNote& note) {
  if (version == note.version) {
    return digest == note.digest ? NoteApplicability::kAlreadyApplied
                                 : NoteApplicability::kConflicting;
  }
  if (version > note.version) return NoteApplicability::kSuperseded;
  if (version < note.base_version) return NoteApplicability::kBaseMissing;
  if (version > note.base_version) return NoteApplicability::kSuperseded;
  return digest == note.base_digest ? NoteApplicability::kApplicable
                                    : NoteApplicability::kBaseDiffers;
}

std::string DescribeApplicability(NoteApplicability applicability,
                                  uint64_t version, const Sha256Digest& digest,
                                  const ReleaseNote& note) {
  switch (applicability) {
    case NoteApplicability::kApplicable:
      return "";
    case NoteApplicability::kAlreadyApplied:
      return absl::StrCat(
          "the note is already applied: the configuration has version ",
          version, " and the digest that the note specifies");
    case NoteApplicability::kConflicting:
      return absl::StrCat("a different note already produced version ", version,
                          ": the configuration has digest ",
                          ShortDigest(digest), ", this note produces ",
                          ShortDigest(note.digest),
                          "; recreate the note from the current configuration");
    case NoteApplicability::kSuperseded:
      return absl::StrCat(
          "the note updates version ", note.base_version, " to ", note.version,
          " but is outdated: the configuration already has version ", version,
          "; recreate the note from that version");
    case NoteApplicability::kBaseMissing:
      return absl::StrCat("the note is made on version ", note.base_version,
                          ", the configuration has version ", version,
                          "; apply the notes between them first");
    case NoteApplicability::kBaseDiffers:
      return absl::StrCat("the note is made on version ", note.base_version,
                          " with digest ", ShortDigest(note.base_digest),
                          ", the configuration of that version has digest ",
                          ShortDigest(digest));
  }
  return "";
}

std::vector<NoteItem> ListItems(const FleetConfig& config) {
  std::vector<NoteItem> items;
  items.push_back(
      {NoteAction::kAdded, ItemKind::kChain, "chain", config.chain, {}});
  AppendItems(ItemKind::kRank, config.ranks, &items);
  AppendItems(ItemKind::kTenant, config.tenants, &items);
  AppendItems(ItemKind::kRegion, config.regions, &items);
  AppendItems(ItemKind::kFailureDomain, config.failure_domains, &items);
  for (const LinkConfig& link : config.links) {
    items.push_back({NoteAction::kAdded,
                     ItemKind::kLink,
                     absl::StrCat(link.from, "->", link.to),
                     link,
                     {}});
  }
  for (const ServiceConfig& service : config.services) {
    items.push_back({NoteAction::kAdded,
                     ItemKind::kService,
                     service.name,
                     ServiceFields{service.slots, service.connections},
                     {}});
    for (const MethodConfig& method : service.methods) {
      items.push_back({NoteAction::kAdded,
                       ItemKind::kMethod,
                       absl::StrCat(service.name, ".", method.name),
                       method,
                       {}});
    }
  }
  std::ranges::sort(items, {}, ItemKey);
  return items;
}

ReleaseNote DiffNote(const FleetConfig& before, const FleetConfig& after) {
  FleetConfig old_value = before;
  FleetConfig new_value = after;
  Canonicalize(&old_value);
  Canonicalize(&new_value);
  ReleaseNote note;
  note.base_version = before.version;
  note.base_digest = ConfigDigest(old_value);
  note.version = after.version;
  note.digest = ConfigDigest(new_value);
  DifferenceMerger(&note.items)
      .Merge(ListItems(old_value), ListItems(new_value));
  std::ranges::stable_sort(note.items, {}, SortKey);
  return note;
}

}  // namespace vanillatiller
