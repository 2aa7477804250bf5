#ifndef VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_
#define VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_

#include <cstdint>

namespace vanillatiller {

// Position in the shedding order (rank, then request hash) above which a
// service refuses calls of one tenant and method. It fits the fixed64
// LoadReport.threshold.
//
// Compound admission levels that travel back with answers were published in
// "Overload Control for Scaling WeChat Microservices" (Zhou et al., 2018).
class AdmissionThreshold {
 public:
  // Admits everything.
  AdmissionThreshold() = default;

  // Admits ranks before `rank` (at most 255), and of `rank` the hashes up to
  // `last_hash`.
  static AdmissionThreshold At(uint32_t rank, uint32_t last_hash);

  // `share` in [0, 1] of the hashes of `rank`; 1 and above admits everything.
  static AdmissionThreshold AtShare(uint32_t rank, double share);

  // Values that no version packs admit everything.
  static AdmissionThreshold FromPacked(uint64_t packed);
  // 0 for a threshold that admits everything.
  uint64_t Packed() const { return m_packed; }

  bool Admits(uint32_t rank, uint32_t shed_hash) const;
  bool AdmitsAll() const { return m_packed == 0; }

  // Share of the hashes of `rank` that is admitted, in [0, 1].
  double Share(uint32_t rank) const;

  // The one of the two that admits less.
  static AdmissionThreshold Stricter(AdmissionThreshold first,
                                     AdmissionThreshold second);

  bool operator==(const AdmissionThreshold&) const = default;

 private:
  explicit AdmissionThreshold(uint64_t packed) : m_packed(packed) {}

  uint32_t Rank() const;
  uint32_t LastHash() const { return static_cast<uint32_t>(m_packed); }

  // Bit 63 marks a threshold; bits 32 to 39 hold the rank, the low 32 bits the
  // last admitted hash.
  uint64_t m_packed = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_
