#ifndef VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_
#define VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace vanillatiller {

// What bytes are held for.
enum class ByteUse : uint8_t {
  // Requests of at most ByteBudget::kOrdinaryBytes, and parts of them.
  kOrdinaryRequest,
  kLargeRequest,
  // Answers that are being read from a backend server.
  kServerAnswer,
  // Answers that are being read from another node.
  kPeerAnswer,
  // Data queued for sending, and answers that wait for earlier ones.
  kOutput,
  // Answers that are kept until the calling node has acknowledged them.
  kRetainedAnswer,
  // Messages that control the fleet; they are small, and never refused.
  kControl,
};
inline constexpr size_t kByteUses = 7;

// Memory for all bytes that a process holds on behalf of others, in bytes.
// Everything that comes from outside and has not left yet is counted here, each
// byte once, by the object that owns it; see ByteCharge.
//
// The uses differ in when they are refused. Requests that have not begun come
// first: nothing is lost when they are refused. Large ones leave a part of the
// budget to ordinary ones. Answers may exceed the budget by a part, because the
// work for them has been done; large answers leave a part of that to small
// ones.
class ByteBudget {
 public:
  // Called when bytes for `use` are about to be refused. Returns true if it has
  // released bytes that others held.
  using Reclaimer = std::function<bool(ByteUse use)>;

  // Size up to which a request is ordinary.
  static constexpr size_t kOrdinaryBytes = size_t{64} << 10;

  explicit ByteBudget(size_t capacity = kUnlimited) { SetCapacity(capacity); }
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  void SetCapacity(size_t capacity);
  void SetReclaimer(Reclaimer reclaimer) { m_reclaimer = std::move(reclaimer); }

  // Whether the limit of the use allows `bytes` more.
  bool HasRoom(ByteUse use, size_t bytes) const;
  // Returns false, and takes nothing, if that would exceed the limit of the
  // use.
  bool TryTake(ByteUse use, size_t bytes);
  // Lets the reclaimer release bytes; false if there is nothing to release.
  bool Reclaim(ByteUse use) const { return m_reclaimer && m_reclaimer(use); }
  // Takes bytes that cannot be refused.
  void Take(ByteUse use, size_t bytes);
  void Return(ByteUse use, size_t bytes);

  // Whether a request may begin that will need memory for its answer. Bounds
  // the answers that wait for slow readers. Urgent requests may begin for
  // longer, and so may those whose answers are expected to be small.
  bool MayBeginRequest(bool is_urgent, bool is_small) const;
  // Size of the largest request that can ever be held.
  size_t LargestRequest() const { return LimitOf(ByteUse::kLargeRequest).all; }
  // Size of the retained answers above which the oldest ones are discarded.
  size_t RetainedLimit() const;

  size_t capacity() const { return m_capacity; }
  size_t used() const { return m_used; }
  size_t used(ByteUse use) const { return m_used_by[Index(use)]; }

 private:
  struct Limit {
    // Bytes of this use that are never refused.
    size_t share = 0;
    // Bytes of this use, of all answers, and of all uses together.
    size_t own = kUnlimited;
    size_t answers = kUnlimited;
    size_t all = kUnlimited;
  };

  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  static size_t Index(ByteUse use) { return static_cast<size_t>(use); }
  const Limit& LimitOf(ByteUse use) const { return m_limits[Index(use)]; }
  size_t AnswerBytes() const;

  size_t m_capacity = kUnlimited;
  std::array<Limit, kByteUses> m_limits{};
  size_t m_used = 0;
  std::array<size_t, kByteUses> m_used_by{};
  Reclaimer m_reclaimer;
};

// Bytes taken from a budget, which are returned with this object. Without a
// budget nothing is counted.
class ByteCharge {
 public:
  ByteCharge() = default;
  ByteCharge(ByteBudget* budget, ByteUse use) : m_budget(budget), m_use(use) {}
  ~ByteCharge() { Resize(0); }
  ByteCharge(ByteCharge&& other) noexcept { *this = std::move(other); }
  ByteCharge& operator=(ByteCharge&& other) noexcept;
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  // Holds `bytes` for `use` from now on. Returns false, and changes nothing, if
  // the budget refuses that.
  bool TryResize(ByteUse use, size_t bytes);
  bool TryResize(size_t bytes) { return TryResize(m_use, bytes); }
  // As TryResize(), but cannot be refused.
  void Resize(ByteUse use, size_t bytes);
  void Resize(size_t bytes) { Resize(m_use, bytes); }
  // Moves `bytes`, or what there is, to another charge of the same use.
  ByteCharge Split(size_t bytes);

  size_t bytes() const { return m_bytes; }
  // Whether the limit of `use` allows this charge to hold `bytes` more.
  bool HasRoomFor(ByteUse use, size_t bytes) const {
    return m_budget == nullptr || m_budget->HasRoom(use, bytes);
  }
  // Whether a request of this size can never be held.
  bool ExceedsBudget(size_t bytes) const {
    return m_budget != nullptr && bytes > m_budget->LargestRequest();
  }

 private:
  ByteBudget* m_budget = nullptr;
  ByteUse m_use = ByteUse::kOrdinaryRequest;
  size_t m_bytes = 0;
};

// Immutable text that several owners share, such as a body that is kept for
// another attempt while it is being sent. It is counted once.
class HeldBytes {
 public:
  HeldBytes(std::string text, ByteCharge charge)
      : m_text(std::move(text)), m_charge(std::move(charge)) {}

  std::string_view text() const { return m_text; }
  size_t size() const { return m_text.size(); }

 private:
  const std::string m_text;
  const ByteCharge m_charge;
};

using HeldBytesPtr = std::shared_ptr<const HeldBytes>;

// Counts `text` in the budget; it cannot be refused.
HeldBytesPtr Hold(std::string text, ByteBudget* budget, ByteUse use);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_
