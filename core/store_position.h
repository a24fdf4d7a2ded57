// Order of the versions of a store that may return from an older copy. It then gives the versions
// since that copy out again, so that a version alone does not tell which of two states is the newer
// one.
#pragma once

#include <cstdint>
#include <tuple>

namespace rattanramp::core {

struct StorePosition {
  /// Number of the store's history, which rises with each return; 0 also if it is not stated.
  std::int64_t era = 0;
  /// Version within that history; 0: none.
  std::int64_t version = 0;

  friend bool operator==(const StorePosition& a, const StorePosition& b) {
    return a.era == b.era && a.version == b.version;
  }
  friend bool operator<(const StorePosition& a, const StorePosition& b) {
    return std::tie(a.era, a.version) < std::tie(b.era, b.version);
  }
  friend bool operator>(const StorePosition& a, const StorePosition& b) { return b < a; }
  friend bool operator<=(const StorePosition& a, const StorePosition& b) { return !(b < a); }
  friend bool operator>=(const StorePosition& a, const StorePosition& b) { return !(a < b); }
};

/// The position in an answer of the store. An answer without an era belongs to the era known.
inline StorePosition PositionOf(std::int64_t era, std::int64_t version,
                                const StorePosition& known) {
  return {era > 0 ? era : known.era, version};
}

}  // namespace rattanramp::core
