#include "retry/window_budget.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

// Part of a window's allowance that is paid out evenly over its length. The
// rest covers the saved part below.
constexpr double kSteadyPart = 0.85;
// Part of a window's allowance that can be saved up for a short failure.
constexpr double kSavedPart = 0.1;

}  // namespace

WindowBudget::WindowBudget(const WindowBudgetSettings& settings, TimePoint now)
    : m_settings(settings),
      m_bucket_length(settings.window / kBucketsInWindow),
      m_newest_start(now),
      m_tokens(settings.burst),
      m_refilled(now) {}

void WindowBudget::Advance(TimePoint now) {
  for (size_t i = 0; i < kBuckets && now >= m_newest_start + m_bucket_length;
       ++i) {
    m_newest = (m_newest + 1) % kBuckets;
    Newest() = {};
    m_newest_start += m_bucket_length;
  }
  // All buckets are empty after a pause longer than they cover.
  if (now >= m_newest_start + m_bucket_length) m_newest_start = now;
}

uint32_t WindowBudget::Sum(uint32_t Bucket::*part, size_t newest,
                           size_t oldest) const {
  uint32_t sum = 0;
  for (size_t age = newest; age <= oldest; ++age) {
    sum += m_buckets[(m_newest + kBuckets - age) % kBuckets].*part;
  }
  return sum;
}

uint32_t WindowBudget::PayingRequests(size_t age) const {
  constexpr size_t kHalf = kBucketsInWindow / 2;
  // A window may begin anywhere in its bucket, so only buckets count that lie
  // within it whatever its beginning.
  const uint32_t own = age == 0 ? 0 : Sum(&Bucket::requests, 0, age - 1);
  const size_t half_newest = age < kHalf ? 0 : age - kHalf + 1;
  const uint32_t half_before =
      Sum(&Bucket::requests, half_newest, age + kHalf - 1);
  const uint32_t before =
      Sum(&Bucket::requests, age + 1, age + kBucketsInWindow - 1);
  return std::max({own, half_before, before});
}

bool WindowBudget::KeepsBound() const {
  uint32_t repeats = 1;
  for (size_t age = 0; age <= kBucketsInWindow; ++age) {
    repeats += Sum(&Bucket::repeats, age, age);
    if (repeats > m_settings.ratio * PayingRequests(age) + m_settings.burst) {
      return false;
    }
  }
  return true;
}

void WindowBudget::RecordRequest(TimePoint now) {
  Advance(now);
  ++Newest().requests;
}

void WindowBudget::RecordRepeat(TimePoint now) {
  Advance(now);
  ++Newest().repeats;
  m_tokens = std::max(0.0, m_tokens - 1);
}

bool WindowBudget::TrySpend(double standing, TimePoint now) {
  Advance(now);
  const double allowance = m_settings.ratio * PayingRequests(kBucketsInWindow);
  const double capacity = std::max(m_settings.burst, kSavedPart * allowance);
  if (now > m_refilled) {
    const double windows = std::chrono::duration<double>(now - m_refilled) /
                           std::chrono::duration<double>(m_settings.window);
    m_tokens = std::min(
        capacity,
        m_tokens + windows * (kSteadyPart * allowance + m_settings.burst));
    m_refilled = now;
  }
  // A small budget has no room for an order.
  const bool is_short =
      m_tokens < capacity - 1 && m_tokens < standing * capacity;
  if (m_tokens < 1 || is_short || !KeepsBound()) return false;
  RecordRepeat(now);
  return true;
}

}  // namespace vanillatiller
