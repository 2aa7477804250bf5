#include "fleetconfig/canonical.h"

#include <algorithm>
#include <tuple>

#include "fleetconfig/toml_writer.h"

namespace vanillatiller {
namespace {

auto RankKey(const RankConfig& rank) {
  return std::tie(rank.order, rank.name, rank.is_protected);
}

auto LinkKey(const LinkConfig& link) {
  return std::tie(link.from, link.to, link.bytes_per_second);
}

template <typename T>
const std::string& Name(const T& item) {
  return item.name;
}

template <typename T>
bool IsSortedByName(const std::vector<T>& items) {
  return std::ranges::is_sorted(items, {}, Name<T>);
}

bool IsCanonical(const ServiceConfig& service) {
  return IsSortedByName(service.methods) &&
         std::ranges::all_of(service.methods, [](const MethodConfig& method) {
           return std::ranges::is_sorted(method.calls);
         });
}

bool IsCanonical(const FleetConfig& config) {
  return std::ranges::is_sorted(config.ranks, {}, RankKey) &&
         IsSortedByName(config.tenants) && IsSortedByName(config.regions) &&
         IsSortedByName(config.failure_domains) &&
         std::ranges::is_sorted(config.links, {}, LinkKey) &&
         IsSortedByName(config.services) &&
         std::ranges::all_of(config.services, [](const ServiceConfig& service) {
           return IsCanonical(service);
         });
}

template <typename T>
void SortByName(std::vector<T>* items) {
  std::ranges::stable_sort(*items, {}, Name<T>);
}

template <typename T>
void WriteItems(TomlWriter& writer, ItemKind kind,
                const std::vector<T>& items) {
  for (const T& item : items) {
    writer.ArrayTable(ItemKindName(kind));
    writer.Write("name", item.name);
    WriteFields(writer, item);
  }
}

void WriteService(TomlWriter& writer, const ServiceConfig& service) {
  writer.ArrayTable("service");
  writer.Write("name", service.name);
  WriteFields(writer, ServiceFields{service.slots, service.connections});
  for (const MethodConfig& method : service.methods) {
    writer.ArrayTable("service.method");
    writer.Write("name", method.name);
    WriteFields(writer, method);
  }
}

std::string FormatCanonical(const FleetConfig& config) {
  std::string text;
  TomlWriter writer(&text);
  writer.Write("version", config.version);
  writer.Table("chain");
  WriteFields(writer, config.chain);
  WriteItems(writer, ItemKind::kRank, config.ranks);
  WriteItems(writer, ItemKind::kTenant, config.tenants);
  WriteItems(writer, ItemKind::kRegion, config.regions);
  WriteItems(writer, ItemKind::kFailureDomain, config.failure_domains);
  for (const LinkConfig& link : config.links) {
    writer.ArrayTable("link");
    writer.Write("from", link.from);
    writer.Write("to", link.to);
    WriteFields(writer, link);
  }
  for (const ServiceConfig& service : config.services) {
    WriteService(writer, service);
  }
  return text;
}

}  // namespace

void Canonicalize(FleetConfig* config) {
  if (IsCanonical(*config)) return;
  std::ranges::stable_sort(config->ranks, {}, RankKey);
  SortByName(&config->tenants);
  SortByName(&config->regions);
  SortByName(&config->failure_domains);
  std::ranges::stable_sort(config->links, {}, LinkKey);
  SortByName(&config->services);
  for (ServiceConfig& service : config->services) {
    SortByName(&service.methods);
    for (MethodConfig& method : service.methods) {
      std::ranges::sort(method.calls);
    }
  }
}

std::string FormatFleetConfig(const FleetConfig& config) {
  if (IsCanonical(config)) return FormatCanonical(config);
  FleetConfig copy = config;
  Canonicalize(&copy);
  return FormatCanonical(copy);
}

Sha256Digest ConfigDigest(const FleetConfig& config) {
  return Sha256(FormatFleetConfig(config));
}

}  // namespace vanillatiller
