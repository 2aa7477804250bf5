#ifndef VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_
#define VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_

#include <cstdint>

namespace vanillatiller {

// Position in the shedding order (rank, then request hash) above which a
// service refuses calls of one tenant and method. Encoded in the fixed64 field
// LoadReport.threshold.
//
// The design of compound admission levels piggybacked on responses follows
// "Overload Control for Scaling WeChat Microservices" (Zhou et al., 2018).
class AdmissionThreshold {
 public:
  // Admits everything.
  AdmissionThreshold() = default;

  // Admits all ranks before `rank` (clamped to 255), and hashes of `rank` up to
  // and including `last_hash`.
  static AdmissionThreshold At(uint32_t rank, uint32_t last_hash);

  // Admits the fraction `share` of the hashes of `rank`; a share of 1 or more
  // admits everything.
  static AdmissionThreshold AtShare(uint32_t rank, double share);

  // Invalid encodings admit everything.
  static AdmissionThreshold FromPacked(uint64_t packed);
  // Returns 0 for a threshold that admits everything.
  uint64_t Packed() const { return m_packed; }

  bool Admits(uint32_t rank, uint32_t shed_hash) const;
  bool AdmitsAll() const { return m_packed == 0; }

  // Returns the admitted fraction of the hashes of `rank`, in [0, 1].
  double Share(uint32_t rank) const;

  // Returns the threshold that admits less.
  static AdmissionThreshold Stricter(AdmissionThreshold first,
                                     AdmissionThreshold second);

  bool operator==(const AdmissionThreshold&) const = default;

 private:
  explicit AdmissionThreshold(uint64_t packed) : m_packed(packed) {}

  uint32_t Rank() const;
  uint32_t LastHash() const { return static_cast<uint32_t>(m_packed); }

  // Bit 63 is set if there is a threshold; bits 32 to 39 hold the rank, and the
  // low 32 bits the last admitted hash.
  uint64_t m_packed = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_ADMISSION_THRESHOLD_H_
