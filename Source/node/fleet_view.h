#ifndef VANILLATILLER_SOURCE_NODE_FLEET_VIEW_H_
#define VANILLATILLER_SOURCE_NODE_FLEET_VIEW_H_

#include <memory>

#include "fleetconfig/fleetconfig.h"
#include "membership/membership.h"
#include "node/rcu_pointer.h"

namespace vanillatiller {

// The fleet state that the request path reads: the configuration in force and
// the member list. The control plane replaces each as a whole. Thread-safe.
class FleetView {
 public:
  // nullptr until a configuration is in force.
  std::shared_ptr<const FleetConfig> config() const { return m_config.Get(); }
  // nullptr until the first member list is published.
  std::shared_ptr<const MemberList> members() const { return m_members.Get(); }

  void SetConfig(FleetConfig config) {
    m_config.Set(std::make_shared<const FleetConfig>(std::move(config)));
  }
  void SetMembers(MemberList members) {
    m_members.Set(std::make_shared<const MemberList>(std::move(members)));
  }

 private:
  RcuPointer<FleetConfig> m_config;
  RcuPointer<MemberList> m_members;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_FLEET_VIEW_H_
