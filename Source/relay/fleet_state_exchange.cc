#include "relay/fleet_state_exchange.h"

#include <algorithm>
#include <utility>

#include "relay/server_directory.h"

namespace vanillatiller {
FleetStateExchange::FleetStateExchange(FleetNode own, uint64_t incarnation,
                                       FleetStateTransport* transport,
                                       EventLog* log)
    : m_incarnation(incarnation),
      m_transport(transport),
      m_log(log),
      m_readers(std::move(own)) {}

void FleetStateExchange::SetStore(FleetStateStore* store) {
  m_store = store;
  m_store->SetListener([this](const FleetStateChanges& changes, TimePoint now) {
    OnChanges(changes, now);
  });
}

relay::View FleetStateExchange::View() const {
  return m_store != nullptr ? m_store->View() : relay::View();
}

void FleetStateExchange::SetNodes(std::vector<FleetNode> nodes, TimePoint now) {
  m_readers.SetNodes(std::move(nodes));
  if (m_store != nullptr) UpdateProviders(now);
}

relay::Frame FleetStateExchange::MakeSnapshotRequest() const {
  relay::Frame frame;
  *frame.mutable_snapshot_request()->mutable_view() = m_store->View();
  return frame;
}

void FleetStateExchange::OnFrame(const relay::Frame& frame, const Reply& reply,
                                 TimePoint now) {
  if (m_store == nullptr) return;
  switch (frame.content_case()) {
    case relay::Frame::kHello:
      if (m_store->IsPlatformUnreachable() &&
          m_store->IsBehind(frame.hello().view())) {
        reply(MakeSnapshotRequest());
      }
      break;
    case relay::Frame::kSnapshotRequest:
      if (IsNewer(m_store->View(), frame.snapshot_request().view())) {
        SendSnapshot(reply);
      }
      break;
    case relay::Frame::kSnapshot:
      OnSnapshot(frame.snapshot(), now);
      break;
    case relay::Frame::kSubscribe:
      OnSubscribe(frame.subscribe(), reply, now);
      break;
    default:
      break;
  }
}

void FleetStateExchange::OnNodeFrame(const SocketAddress& node,
                                     const relay::Frame& frame, TimePoint now) {
  if (m_store == nullptr) return;
  if (frame.has_feed()) {
    OnFeed(node, frame.feed(), now);
    return;
  }
  OnFrame(
      frame,
      [this, &node](const relay::Frame& reply) {
        m_transport->SendToNode(node, reply);
      },
      now);
}

void FleetStateExchange::OnSnapshot(const relay::Snapshot& snapshot,
                                    TimePoint now) {
  m_log->Write(LogTopic::kFleetState, "news-from-peer",
               {{"revision", StateRevision{snapshot.directory_era(),
                                           snapshot.directory_revision()}
                                 .ToString()},
                {"before", DirectoryOf(m_store->View()).ToString()},
                {"servers", std::to_string(snapshot.servers_size())}},
               now);
  m_store->ApplySnapshot(snapshot, now);
}

void FleetStateExchange::OnChanges(const FleetStateChanges& changes,
                                   TimePoint now) {
  if (changes.to > changes.from || !changes.items.empty()) {
    RememberChanges(changes);
    for (auto& [incarnation, subscriber] : m_subscribers) {
      Report(&subscriber, subscriber.wants_changes, now);
    }
    return;
  }
  for (auto& [incarnation, subscriber] : m_subscribers) {
    if (m_store->ConfirmedAt() - subscriber.reported_confirmation >=
        kReportedAdvance) {
      Report(&subscriber, false, now);
    }
  }
}

void FleetStateExchange::RememberChanges(const FleetStateChanges& changes) {
  // The first changes of an era hold all that is known; a snapshot is no
  // larger.
  if (changes.from.IsZero() || changes.from.era != changes.to.era) {
    m_recent.clear();
    m_recent_since = changes.to;
    return;
  }
  for (const ChangedItem& item : changes.items) {
    ChangedItem& last = m_recent[item.key];
    if (last.revision <= item.revision) last = item;
  }
  while (m_recent.size() > kMaxRecentChanges) {
    const auto oldest = std::min_element(
        m_recent.begin(), m_recent.end(), [](const auto& a, const auto& b) {
          return a.second.revision < b.second.revision;
        });
    m_recent_since = std::max(m_recent_since, oldest->second.revision);
    m_recent.erase(oldest);
  }
}

void FleetStateExchange::OnSubscribe(const relay::Subscribe& subscribe,
                                     const Reply& reply, TimePoint now) {
  if (subscribe.incarnation() == m_incarnation) return;
  const bool is_new = !m_subscribers.contains(subscribe.incarnation());
  Subscriber& subscriber = m_subscribers[subscribe.incarnation()];
  subscriber.send = reply;
  subscriber.last_renewed = now;
  subscriber.renewal_sent = std::chrono::microseconds(subscribe.sent_us());
  subscriber.revision = DirectoryOf(subscribe.view());
  subscriber.wants_changes = subscribe.wants_changes();
  if (is_new) UpdateReadMode(now);
  const relay::View own = m_store->View();
  if (is_new || subscriber.revision < DirectoryOf(own)) {
    Report(&subscriber, true, now);
    return;
  }
  // A version that the store lost is in no change of the present era.
  if (own.config_version() > subscribe.view().config_version()) {
    SendSnapshot(reply);
  }
}

void FleetStateExchange::SendSnapshot(const Reply& reply) const {
  relay::Frame frame;
  *frame.mutable_snapshot() = m_store->MakeSnapshot();
  reply(frame);
}

void FleetStateExchange::Report(Subscriber* subscriber, bool with_changes,
                                TimePoint now) {
  const StateRevision revision = DirectoryOf(m_store->View());
  subscriber->last_sent = now;
  relay::Frame frame;
  relay::Feed* feed = frame.mutable_feed();
  const TimePoint confirmed_at = m_store->ConfirmedAt();
  subscriber->reported_confirmation = confirmed_at;
  if (confirmed_at != TimePoint{}) {
    feed->set_confirmed_us(
        std::chrono::duration_cast<std::chrono::microseconds>(
            subscriber->renewal_sent +
            (confirmed_at - subscriber->last_renewed))
            .count());
  }
  feed->set_era(revision.era);
  feed->set_from_revision(revision.revision);
  feed->set_to_revision(revision.revision);
  feed->set_renewal_left_us(ToMicroseconds(m_store->RenewalLeft(now)));
  const StateRevision known = subscriber->revision;
  if (with_changes && known < revision) {
    subscriber->revision = revision;
    if (!m_recent_since.IsZero() && known >= m_recent_since) {
      feed->set_from_revision(known.revision);
      AddChanges(known, feed);
    } else {
      SendSnapshot(subscriber->send);
    }
  }
  subscriber->send(frame);
}

void FleetStateExchange::AddChanges(const StateRevision& since,
                                    relay::Feed* feed) const {
  for (const auto& [key, change] : m_recent) {
    if (change.revision <= since) continue;
    const auto item =
        change.removed ? std::nullopt : m_store->FindItem(change.key);
    relay::Item* added = feed->add_changes();
    if (item) {
      *added = *item;
      continue;
    }
    added->set_key(change.key);
    SetRevision(change.revision, added);
    added->set_removed(true);
  }
}

void FleetStateExchange::OnFeed(const SocketAddress& node,
                                const relay::Feed& feed, TimePoint now) {
  Provider* provider = FindProvider(node);
  // The subscription has ended.
  if (provider == nullptr) return;
  provider->last_received = now;
  m_store->ExtendRenewal(std::chrono::microseconds(std::min(
                             feed.renewal_left_us(),
                             ToMicroseconds(ServerDirectory::kRenewalGrace))),
                         now);
  const StateRevision known = DirectoryOf(m_store->View());
  if (StateRevision{feed.era(), feed.to_revision()} > known) {
    // The changes that lead to the beginning of an era are unknown.
    if (feed.era() != known.era || feed.from_revision() > known.revision) {
      if (!provider->announced) provider->announced = now;
      return;
    }
    m_store->ApplyFeed(feed, now);
    // Applying changes may have replaced the providers.
    provider = FindProvider(node);
    if (provider == nullptr) return;
  }
  provider->announced.reset();
  // A state of this era need not include what an earlier one has confirmed.
  if (feed.era() != DirectoryOf(m_store->View()).era) {
    UpdateReadMode(now);
    return;
  }
  // The provider's state is no newer than that of this node, so what confirms
  // it confirms this node's, too.
  const TimePoint confirmed_at{std::chrono::microseconds(feed.confirmed_us())};
  provider->confirmed_at =
      std::max(provider->confirmed_at, std::min(confirmed_at, now));
  m_store->OnConfirmed(provider->confirmed_at, now);
  UpdateReadMode(now);
}

FleetStateExchange::Provider* FleetStateExchange::FindProvider(
    const SocketAddress& node) {
  const auto found = std::find_if(
      m_providers.begin(), m_providers.end(),
      [&node](const Provider& provider) { return provider.node == node; });
  return found == m_providers.end() ? nullptr : &*found;
}

bool FleetStateExchange::IsAlive(const Provider& provider, TimePoint now) {
  return provider.is_subscribed &&
         now - provider.last_received < kProviderTimeout;
}

bool FleetStateExchange::IsCurrent(TimePoint confirmed_at, TimePoint now) {
  return confirmed_at != TimePoint{} &&
         now - confirmed_at < kMaxConfirmationAge;
}

void FleetStateExchange::ConfirmIfDue(TimePoint now) {
  const Duration age = now - m_store->ConfirmedAt();
  if (m_mode == ReadMode::kFromPeers || age < kConfirmAge) return;
  Duration due = kMaxConfirmationAge;
  if (m_mode == ReadMode::kReader) {
    const size_t steps =
        std::min(m_readers.CountReadersBefore(now), kMaxConfirmSteps);
    due = kConfirmAge + kConfirmStep * static_cast<int64_t>(steps);
  }
  if (age >= due) m_store->Confirm(now);
}

void FleetStateExchange::UpdateProviders(TimePoint now) {
  const bool is_platform_serving = IsCurrent(m_store->ConfirmedAt(), now);
  for (const Provider& provider : m_providers) {
    const bool is_silent =
        now - std::max(provider.selected, provider.last_received) >=
        kProviderTimeout;
    const bool is_unconfirmed =
        is_platform_serving &&
        now - std::max(provider.selected, provider.confirmed_at) >=
            kUnconfirmedTimeout;
    if (!is_silent && !is_unconfirmed) continue;
    m_log->Write(LogTopic::kFleetState,
                 is_silent ? "reader-silent" : "reader-unconfirmed",
                 {{"node", provider.node.ToString()},
                  {"confirmed_ms_ago", FormatAge(provider.confirmed_at, now)}},
                 now);
    m_readers.Avoid(provider.node, now);
  }
  const std::vector<SocketAddress> selected = m_readers.Select(now);
  // In the order of preference; see RenewSubscription().
  std::vector<Provider> providers;
  for (const SocketAddress& node : selected) {
    const Provider* known = FindProvider(node);
    providers.push_back(known != nullptr ? *known : Provider{node, now});
  }
  m_providers = std::move(providers);
  for (Provider& provider : m_providers) {
    const bool is_up = m_transport->KeepConnected(provider.node, now);
    if (!is_up) {
      provider.is_subscribed = false;
    } else if (!provider.is_subscribed || IsOverdue(provider, now)) {
      RenewSubscription(&provider, now);
    }
  }
  UpdateReadMode(now);
}

bool FleetStateExchange::IsOverdue(const Provider& provider, TimePoint now) {
  return now - provider.last_subscribed >= kSubscribePeriod ||
         (provider.announced && now - *provider.announced >= kAnnouncedWait);
}

void FleetStateExchange::RenewSubscription(Provider* provider, TimePoint now) {
  provider->is_subscribed = true;
  provider->last_subscribed = now;
  provider->announced.reset();
  relay::Frame frame;
  frame.mutable_subscribe()->set_incarnation(m_incarnation);
  // Only one provider sends large changes; it is in the same failure domain if
  // possible.
  frame.mutable_subscribe()->set_wants_changes(provider ==
                                               &m_providers.front());
  *frame.mutable_subscribe()->mutable_view() = m_store->View();
  frame.mutable_subscribe()->set_sent_us(
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch())
          .count());
  m_transport->SendToNode(provider->node, frame);
}

void FleetStateExchange::UpdateReadMode(TimePoint now) {
  // A provider that has just been selected gets some time, unless this node's
  // state is no longer current by then.
  const TimePoint confirmed_at = m_store->ConfirmedAt();
  const bool may_wait =
      confirmed_at == TimePoint{} || IsCurrent(confirmed_at, now);
  bool has_reader = false;
  bool has_alive = false;
  for (const Provider& provider : m_providers) {
    const bool is_starting = may_wait && provider.confirmed_at == TimePoint{} &&
                             now - provider.selected < kFirstReportTime;
    const bool is_alive = IsAlive(provider, now);
    has_alive = has_alive || is_alive;
    has_reader = has_reader || is_starting ||
                 (is_alive && IsCurrent(provider.confirmed_at, now));
  }
  ReadMode mode = ReadMode::kReader;
  if (m_subscribers.empty()) {
    if (has_alive) mode = ReadMode::kBackup;
    if (has_reader) mode = ReadMode::kFromPeers;
  }
  if (mode == std::exchange(m_mode, mode)) return;
  m_log->Write(LogTopic::kFleetState, "read-mode",
               {{"reads", mode == ReadMode::kFromPeers ? "no" : "yes"},
                {"confirmed_ms_ago", FormatAge(confirmed_at, now)},
                {"subscribers", std::to_string(m_subscribers.size())},
                {"providers", std::to_string(m_providers.size())}},
               now);
  m_store->SetReadMode(mode, now);
}

void FleetStateExchange::OnConnectionLost(const SocketAddress& node,
                                          TimePoint now) {
  Provider* provider = FindProvider(node);
  if (provider == nullptr) return;
  provider->is_subscribed = false;
  UpdateReadMode(now);
}

void FleetStateExchange::OnNodeView(const SocketAddress& node,
                                    const relay::View& view, TimePoint now) {
  if (m_store == nullptr || m_newer_node || !m_store->IsBehind(view)) return;
  m_newer_node = NewerNode{node, view, now};
}

void FleetStateExchange::CheckNewerNode(TimePoint now) {
  if (!m_newer_node || now - m_newer_node->since < kPropagationDelay) return;
  const NewerNode newer = *std::exchange(m_newer_node, std::nullopt);
  if (!m_store->IsBehind(newer.view)) return;
  const relay::View own = View();
  m_log->Write(LogTopic::kFleetState, "behind-peer",
               {{"node", newer.node.ToString()},
                {"revision", DirectoryOf(own).ToString()},
                {"its_revision", DirectoryOf(newer.view).ToString()},
                {"config", std::to_string(own.config_version())},
                {"its_config", std::to_string(newer.view.config_version())}},
               now);
  m_transport->SendToNode(newer.node, MakeSnapshotRequest());
}

void FleetStateExchange::RequestSnapshot(TimePoint now) {
  if (!m_store->IsPlatformUnreachable() || now < m_next_snapshot_request) {
    return;
  }
  m_next_snapshot_request = now + kSnapshotRequestPeriod;
  const std::vector<SocketAddress> nodes = m_transport->ConnectedNodes();
  if (nodes.empty()) return;
  // Connected nodes take turns.
  const auto next =
      std::upper_bound(nodes.begin(), nodes.end(), m_last_snapshot_node);
  m_last_snapshot_node = next == nodes.end() ? nodes.front() : *next;
  m_transport->SendToNode(m_last_snapshot_node, MakeSnapshotRequest());
}

void FleetStateExchange::Tick(TimePoint now) {
  if (m_store == nullptr) return;
  RequestSnapshot(now);
  CheckNewerNode(now);
  std::erase_if(m_subscribers, [now](const auto& item) {
    return now - item.second.last_renewed >= kSubscriptionLifetime;
  });
  for (auto& [incarnation, subscriber] : m_subscribers) {
    if (now - subscriber.last_sent >= kReportPeriod) {
      Report(&subscriber, false, now);
    }
  }
  UpdateProviders(now);
  ConfirmIfDue(now);
}

}  // namespace vanillatiller
