// membership_comparison: compares the probe strategies in a simulated fleet in
// virtual time, for docs/decisions/membership.md.

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "fleet_harness.h"

ABSL_FLAG(std::vector<std::string>, domain_sizes,
          (std::vector<std::string>{"4", "34"}),
          "numbers of nodes in each of the six failure domains");
ABSL_FLAG(int, kills, 12, "number of nodes to kill, one after another");

namespace vanillatiller {
namespace {

struct Variant {
  const char* name;
  ProbeStrategy strategy;
  uint32_t successors;
};

constexpr std::array kVariants = {
    Variant{"ring, 2 successors", ProbeStrategy::kRing, 2},
    Variant{"ring, 3 successors", ProbeStrategy::kRing, 3},
    Variant{"random (SWIM), 1", ProbeStrategy::kRandom, 1},
    Variant{"random (SWIM), 3", ProbeStrategy::kRandom, 3},
    Variant{"intervals by distance", ProbeStrategy::kByDistance, 3},
    Variant{"all peers", ProbeStrategy::kAllPeers, 3},
};

void Compare(const Variant& variant, uint32_t nodes_per_domain) {
  FleetOptions options;
  options.nodes_per_domain = nodes_per_domain;
  options.membership.strategy = variant.strategy;
  options.membership.successors = variant.successors;
  Fleet fleet(options);
  fleet.Publish(1, "first");
  fleet.StartAll();
  fleet.Run(seconds(20));
  const uint64_t bytes = fleet.Sum(&Fleet::Node::bytes);
  const uint64_t messages = fleet.Sum(&Fleet::Node::messages);
  constexpr double kWindow = 10;
  fleet.Run(seconds(10));
  const double scale = kWindow * static_cast<double>(fleet.size());
  const double byte_rate =
      static_cast<double>(fleet.Sum(&Fleet::Node::bytes) - bytes) / scale;
  const double message_rate =
      static_cast<double>(fleet.Sum(&Fleet::Node::messages) - messages) / scale;
  double sum = 0;
  double worst = 0;
  const auto kills = static_cast<size_t>(absl::GetFlag(FLAGS_kills));
  for (size_t i = 0; i < kills; ++i) {
    const size_t victim = i * fleet.size() / kills;
    fleet.Run(milliseconds(137 * i));
    fleet.Kill(victim);
    const auto time = fleet.RunUntil(
        [&] { return fleet.IsRemovedEverywhere(victim); }, seconds(60));
    const double removal_ms = time ? ToMilliseconds(*time) : 60000;
    sum += removal_ms;
    worst = std::max(worst, removal_ms);
    fleet.Start(victim);
    fleet.Run(seconds(8));
  }
  std::printf("%zu | %s | %.0f | %.0f | %.1f | %.0f\n", fleet.size(),
              variant.name, sum / static_cast<double>(kills), worst,
              message_rate, byte_rate);
  std::fflush(stdout);
}

int Run() {
  std::printf(
      "nodes | probed peers | out mean ms | out worst ms | messages/s per node "
      "| bytes/s per node\n");
  for (const std::string& text : absl::GetFlag(FLAGS_domain_sizes)) {
    uint32_t size = 0;
    if (!absl::SimpleAtoi(text, &size) || size == 0) return 2;
    for (const Variant& variant : kVariants) Compare(variant, size);
  }
  return 0;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  try {
    absl::ParseCommandLine(argc, argv);
    return vanillatiller::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
